"""Tests of the platform stand-in's store and admission control, in virtual time."""

import pytest

from sardinehold import errors
from sardinehold_standins import admission
from sardinehold_standins import store as stores


def test_update_of_another_version_conflicts():
    store = stores.Store()
    first = store.create("role", "allocator-0", {"vm": "a"})
    store.update("role", "allocator-0", {"vm": "b"}, first.version)
    with pytest.raises(errors.VersionConflict):
        store.update("role", "allocator-0", {"vm": "c"}, first.version)
    assert store.get("role", "allocator-0").value == {"vm": "b"}


def test_create_of_an_existing_object_conflicts():
    store = stores.Store()
    store.create("role", "allocator-0", {})
    with pytest.raises(errors.VersionConflict):
        store.create("role", "allocator-0", {})


def test_watch_sees_only_later_changes_of_its_kinds():
    store = stores.Store()
    store.create("role", "a", {"n": 1})
    listed = store.list(("role",))
    store.create("document", "current", {})
    assert store.read_changes(("role",), listed.revision).objects == []
    store.delete("role", "a", 1)
    changes = store.read_changes(("role",), listed.revision)
    assert [(entry.name, entry.value) for entry in changes.objects] == [("a", None)]
    assert changes.revision == store.revision


def test_watch_of_an_old_revision_expires():
    store = stores.Store(history=2)
    for number in range(4):
        store.create("role", str(number), {})
    assert len(store.read_changes(("role",), 2).objects) == 2
    with pytest.raises(errors.WatchExpired):
        store.read_changes(("role",), 1)


@pytest.mark.parametrize(("size", "fits"), [(1024, True), (1024 * 1024, False)])
def test_value_is_limited_to_one_mebibyte(size, fits):
    store = stores.Store()
    if fits:
        assert store.create("document", "current", {"text": "x" * size})
        return
    with pytest.raises(stores.ValueTooLarge):
        store.create("document", "current", {"text": "x" * size})
    assert store.revision == 0


def test_list_of_vms_lags():
    store = stores.Store(list_lag=5.0)
    store.vms.put(0.0, "entry-1", {"state": "live"})
    store.vms.put(3.0, "entry-1", {"state": "leaving"})
    store.vms.put(4.0, "entry-1", None)
    assert store.vms.read(4.9).objects == []
    assert store.vms.read(7.9).objects[0].value == {"state": "live"}
    assert store.vms.read(8.0).objects[0].value == {"state": "leaving"}
    assert store.vms.read(9.0).objects == []


def test_rate_limits_of_reads_and_writes_are_independent():
    controller = admission.AdmissionControl(reads=2, writes=1)
    controller.admit(0.0, "a", "update role", is_write=True)
    with pytest.raises(admission.Refused) as refused:
        controller.admit(0.0, "a", "update role", is_write=True)
    assert refused.value.status == 429
    controller.admit(0.0, "a", "get role", is_write=False)
    controller.admit(1.0, "a", "update role", is_write=True)
    assert controller.counts == {"a": {"update role": 3, "get role": 1}}


def test_faults_block_calls():
    controller = admission.AdmissionControl()
    controller.faults.change({"unreachable": ["a"]})
    with pytest.raises(admission.Unreachable):
        controller.admit(0.0, "a", "get role", is_write=False)
    controller.admit(0.0, "b", "get role", is_write=False)
    controller.faults.change({"unreachable": [], "down": True})
    with pytest.raises(admission.Refused) as refused:
        controller.admit(0.0, "b", "get role", is_write=False)
    assert refused.value.status == 503


def test_configured_number_of_answers_is_lost():
    controller = admission.AdmissionControl()
    controller.faults.change({"lose_answers": 1, "lose_callers": ["a"]})
    assert [controller.lose_answer(caller) for caller in ("b", "a", "a")] == [
        False,
        True,
        False,
    ]


def test_unknown_switch_is_refused():
    with pytest.raises(KeyError):
        admission.AdmissionControl().faults.change({"dwon": True})

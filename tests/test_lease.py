import pytest

from sardinehold import objects
from sardinehold.core import fence
from sardinehold.core import lease
from sardinehold.core import membership


def make_record(vms, removed=(), earlier=()):
    entry = {"zone": "z", "address": "a:1", "incarnation": "i"}
    value = {
        "members": dict.fromkeys(vms, entry),
        "removed": list(removed),
        "earlier": list(earlier),
    }
    return membership.Record(objects.StoredObject("members", "current", 1, value))


def test_lease_counts_from_before_the_question():
    held = lease.Lease()
    held.renew(lease.compute_as_of(sent_at=100.0, age=0.5))
    assert held.write_deadline <= 100.0 - 0.5 + lease.LEASE
    assert held.serve_deadline <= 100.0 - 0.5 + lease.SERVE_BOUND


def test_lease_never_moves_back():
    held = lease.Lease()
    assert held.renew(10.0)
    assert not held.renew(9.0)
    assert held.as_of == 10.0


def test_node_without_lease_may_do_nothing():
    held = lease.Lease()
    assert held.write_deadline == held.serve_deadline == 0.0


@pytest.mark.parametrize("rate", [1 - lease.CLOCK_DRIFT, 1.0, 1 + lease.CLOCK_DRIFT])
@pytest.mark.parametrize("other", [1 - lease.CLOCK_DRIFT, 1.0, 1 + lease.CLOCK_DRIFT])
def test_lapse_outlasts_leases_of_clocks_at_other_rates(rate, other):
    held = lease.Lease()
    held.renew(0.0)
    lease_ends = held.write_deadline / rate
    fence_ends = lease.find_expiry(0.0) / other
    assert lease_ends < fence_ends


def test_fence_passes_at_once_when_all_know():
    record = make_record("abc")
    assert fence.Fence(7).is_passed(0.0, record, {"a": 7, "b": 8, "c": 7})


def test_fence_waits_for_the_lapse_when_one_is_silent():
    record = make_record("abc")
    known = {"a": 7, "b": 7, "c": 6}
    waiting = fence.Fence(7)
    assert not waiting.is_passed(0.0, record, known)
    assert not waiting.is_passed(lease.LEASE, record, known)
    assert waiting.is_passed(lease.find_expiry(0.0), record, known)


def test_fence_without_quorum_never_passes():
    waiting = fence.Fence(7)
    record = make_record("abcdef")
    known = {"a": 7, "b": 7}
    assert not waiting.is_passed(0.0, record, known)
    assert not waiting.is_passed(1000.0, record, known)


def test_removed_member_costs_the_lapse():
    record = make_record("abc", removed=["d/i"])
    known = {"a": 7, "b": 7, "c": 7}
    waiting = fence.Fence(7)
    assert not waiting.is_passed(0.0, record, known)
    assert waiting.is_passed(lease.find_expiry(0.0), record, known)


def test_member_that_left_by_itself_costs_nothing():
    record = make_record("abc", earlier=[{"joined": [], "left": ["d"]}])
    assert fence.Fence(7).is_passed(0.0, record, {"a": 7, "b": 7, "c": 7})


def test_fence_counts_the_members_of_earlier_sets():
    joined = [{"joined": list("cdefgh"), "left": []}]
    record = make_record("abcdefgh", earlier=joined)
    known = dict.fromkeys("cdefgh", 7)
    waiting = fence.Fence(7)
    assert not waiting.is_passed(0.0, record, known)
    assert not waiting.is_passed(1000.0, record, known)

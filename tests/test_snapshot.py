from sardinehold import objects
from sardinehold.core import snapshot as snapshots


def make_object(name, version, value=None):
    return objects.StoredObject("role", name, version, value)


def make_snapshot():
    snapshot = snapshots.Snapshot()
    listed = [make_object("a", 3, {}), make_object("b", 5, {})]
    snapshot.replace(objects.Changes(listed, 5))
    return snapshot


def test_old_list_is_dropped():
    snapshot = make_snapshot()
    assert not snapshot.replace(objects.Changes([], 4))
    assert snapshot.version == 5
    assert set(snapshot.find_all("role")) == {"a", "b"}


def test_old_changes_are_dropped():
    snapshot = make_snapshot()
    assert not snapshot.apply(objects.Changes([make_object("a", 4, {"x": 1})], 4), 3)
    assert snapshot.find("role", "a").value == {}


def test_changes_with_a_hole_before_them_are_dropped():
    snapshot = make_snapshot()
    assert not snapshot.apply(objects.Changes([make_object("a", 9, {})], 9), 7)
    assert snapshot.version == 5


def test_bookmark_moves_the_version_only():
    snapshot = make_snapshot()
    assert not snapshot.apply(objects.Changes([], 8), 5)
    assert snapshot.version == 8


def test_changes_reach_a_follower_with_deletions():
    leader, follower = make_snapshot(), make_snapshot()
    changes = [make_object("a", 0), make_object("c", 7, {"x": 1})]
    leader.apply(objects.Changes(changes, 7), 5)
    assert follower.apply(leader.collect_changes(5), 5)
    assert set(follower.find_all("role")) == {"b", "c"}
    assert follower.version == 7


def test_forgotten_deletions_need_the_whole_list():
    snapshot = make_snapshot()
    for number in range(snapshots.TOMBSTONE_LIMIT + 2):
        version = snapshot.version
        created = make_object(f"t{number}", version + 1, {})
        snapshot.apply(objects.Changes([created], version + 1), version)
        deleted = make_object(f"t{number}", 0)
        snapshot.apply(objects.Changes([deleted], version + 2), version + 1)
    assert snapshot.collect_changes(5) is None
    assert snapshot.collect_changes(snapshot.version) is not None


def test_replaced_primary_stays_replaced_when_the_store_is_restored():
    def list_state(era, revision, term):
        version = objects.make_version(era, revision)
        stored = objects.StoredObject("group-state", "g", version, {"term": term})
        return objects.Changes([stored], version)

    snapshot = snapshots.Snapshot()
    snapshot.replace(list_state(1, 80, 2))
    snapshot.replace(list_state(2, 50, 1))
    assert snapshot.find("group-state", "g").value["term"] == 2

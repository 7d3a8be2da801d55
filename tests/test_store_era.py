"""Conditions, watches and answers of different eras of the store."""

import anyio
import pytest

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import store_era


class Store:
    """Store that answers with given versions and counts the calls."""

    def __init__(self, *versions):
        self.versions = list(versions)
        self.calls = 0

    def _next(self):
        self.calls += 1
        return self.versions.pop(0)

    async def list(self, kind):
        *found, revision = self._next()
        items = [objects.StoredObject(kind, "a", version, {}) for version in found]
        return objects.Changes(items, revision)

    async def watch(self, kind, revision, wait):
        return await self.list(kind)

    async def create(self, kind, name, value):
        return objects.StoredObject(kind, name, self._next(), value)

    async def update(self, kind, name, value, version):
        return await self.create(kind, name, value)


def at(era, revision):
    return objects.make_version(era, revision)


def run(store, *calls):
    """Run calls on a store in turn; return the eras that were noticed, and it."""
    noticed = []
    wrapped = store_era.EraStore(store, noticed.append)

    async def main():
        for call in calls:
            await call(wrapped)

    anyio.run(main)
    return noticed, wrapped


def test_restore_is_noticed_once():
    def read(store):
        return store.list("k")

    store = Store([at(1, 5)], [at(1, 6)], [at(2, 3)], [at(2, 4)])
    noticed, wrapped = run(store, read, read, read, read)
    assert noticed == [2]
    assert wrapped.remembers_earlier_era()


def test_list_of_two_eras_is_refused():
    store = Store([at(1, 3), at(2, 3), at(1, 5)])
    with pytest.raises(errors.StoreRestored):
        run(store, lambda store: store.list("k"))


def test_answer_of_an_earlier_era_is_refused():
    store = Store([at(2, 5)], [at(1, 6)])
    with pytest.raises(errors.StoreRestored):
        run(store, lambda store: store.list("k"), lambda store: store.list("k"))


def test_watch_does_not_continue_in_another_era():
    # The revision is in the store again, for other contents.
    store = Store([at(1, 5)], [at(2, 9), at(2, 9)])
    with pytest.raises(errors.WatchExpired):
        run(
            store,
            lambda store: store.list("k"),
            lambda store: store.watch("k", at(1, 5), 1.0),
        )


@pytest.mark.parametrize("name", ["watch", "update"])
def test_earlier_version_is_refused_without_a_call(name):
    store = Store([at(2, 5)])
    calls = {
        "watch": lambda store: store.watch("k", at(1, 5), 1.0),
        "update": lambda store: store.update("k", "a", {}, at(1, 5)),
    }
    with pytest.raises((errors.WatchExpired, errors.VersionConflict)):
        run(store, lambda store: store.list("k"), calls[name])
    assert store.calls == 1


@pytest.mark.parametrize("name", ["create", "update"])
def test_write_across_a_restore_does_not_count(name):
    # The store has given the condition's revision to other contents.
    store = Store([at(1, 5)], at(2, 6))
    calls = {
        "create": lambda store: store.create("k", "a", {}),
        "update": lambda store: store.update("k", "a", {}, at(1, 5)),
    }
    with pytest.raises(errors.StoreRestored):
        run(store, lambda store: store.list("k"), calls[name])

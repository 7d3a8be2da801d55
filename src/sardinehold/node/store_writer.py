"""Writes of a node to the store: its entry, leadership, and group states."""

import secrets
import typing

import anyio

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import endpoint_lists
from sardinehold.node import jitter
from sardinehold.node import leadership
from sardinehold.node import membership
from sardinehold.node import store_mirror

if typing.TYPE_CHECKING:
    from sardinehold.node import groups
    from sardinehold.node import node as nodes

LEAD_TIMEOUT = 0.6
"""Timeout in seconds of a leadership renewal, after which it is retried over another
connection: a slow store answers within a quarter of a second."""

STORE_RETRY = 0.3
"""Seconds between attempts to write an object of this node."""

MIN_CHECK_DELAY = 0.01
MAX_CHECK_DELAY = 0.1
"""Bounds in seconds of the delay between two checks whether a renewal is due: the
minimum avoids a busy loop, the maximum lets a loss of leadership be noticed within a
lease."""

FIRST_LIST_TIMEOUT = 0.3
"""Seconds that a new process waits for its first list of fleet objects before it writes
its entry regardless of the stored one; a slow store answers within a quarter of a
second."""

SECRET_JITTER = 0.5
"""Seconds over which nodes that found no secret spread their attempts to create one."""

SECRET_BYTES = 32
"""Bytes of the key that signs datagrams between nodes: 256 bits."""


class StoreWriter:
    """Writer of a node's objects in the store.

    :param wrote_at: time at which the store last acknowledged a leadership renewal.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize the writer."""
        self.node = node
        self.wrote_at = float("-inf")
        self._entry_missing = anyio.Event()
        self._is_leading = False
        self._had_timeout = False

    async def write_state(self, state: catalog.GroupState) -> catalog.GroupState:
        """Write a group's state if the stored version is the one it was derived from.

        :raises sardinehold.errors.PlatformError: another version is stored, or the
            store did not answer.
        """
        name = f"{store_mirror.GROUP_PREFIX}{state.group}"
        kind = store_mirror.FLEET_KIND
        value = state.dump(self.node.store.era)
        if objects.find_revision(state.version):
            stored = await self.node.store.update(kind, name, value, state.version)
        else:
            stored = await self.node.store.create(kind, name, value)
        written = state.move(stored.version, True)
        self.node.store_mirror.take_state(written)
        return written

    async def write_endpoints(
        self, group: "groups.Group", listed: endpoint_lists.Listed
    ) -> None:
        """Write the list of a group's endpoints; see :mod:`.endpoint_lists`.

        :raises sardinehold.errors.PlatformError: as for :meth:`write_state`.
        """
        name = f"{store_mirror.ENDPOINTS_PREFIX}{group.name}"
        kind, version = store_mirror.FLEET_KIND, group.list_version
        value = endpoint_lists.dump(listed)
        if objects.find_revision(version):
            stored = await self.node.store.update(kind, name, value, version)
        else:
            stored = await self.node.store.create(kind, name, value)
        group.apply_list(listed, stored.version, clock.read())

    async def maintain_entry(self) -> None:
        """Keep this node's entry in the store, and create the secret if needed."""
        loaded = self.node.settings
        value = membership.Member(
            loaded.name,
            loaded.zone,
            *loaded.peer_listen,
            self.node.incarnation,
            loaded.weight,
        ).dump()
        name = f"{store_mirror.MEMBER_PREFIX}{self.node.settings.name}"
        while True:
            try:
                await self._overwrite(name, value)
                await self._create_secret()
                await self._entry_missing.wait()
            except errors.PlatformError as error:
                self.node.journal.note("member_not_written", reason=str(error))
                await anyio.sleep(jitter.spread(STORE_RETRY))

    def restore_entry(self) -> None:
        """Request that this node's entry and the secret, if missing, are written."""
        self._entry_missing.set()

    async def remove_member(self, name: str) -> None:
        """Remove a member's entry unless it was written again.

        :raises sardinehold.errors.PlatformError: the entry has another version, or the
            store did not answer.
        """
        await self.node.store.delete(
            store_mirror.FLEET_KIND,
            f"{store_mirror.MEMBER_PREFIX}{name}",
            self.node.store_mirror.member_versions[name],
        )

    async def _overwrite(self, name: str, value: dict) -> None:
        """Write an object of which this node is the only writer, whatever is stored."""
        with anyio.move_on_after(FIRST_LIST_TIMEOUT):
            # The first list shows whether the entry and the secret exist.
            await self.node.store_mirror.fleet_listed.wait()
        # This write covers entries that lists up to now did not contain.
        self._entry_missing = anyio.Event()
        stored_version = self.node.store_mirror.member_versions.get(
            self.node.settings.name
        )
        kind = store_mirror.FLEET_KIND
        try:
            if (
                stored_version is not None
                and self.node.settings.name in self.node.members
            ):
                await self.node.store.update(kind, name, value, stored_version)
            else:
                await self.node.store.create(kind, name, value)
        except (errors.VersionConflict, errors.ObjectMissing):
            found = await self.node.store.list(kind)
            versions = {stored.name: stored.version for stored in found.objects}
            if name in versions:
                await self.node.store.update(kind, name, value, versions[name])
            else:
                await self.node.store.create(kind, name, value)

    async def _create_secret(self) -> None:
        # Jitter: among nodes that start together, one should create it first.
        await anyio.sleep(self.node.leadership.spread * SECRET_JITTER)
        if self.node.store_mirror.is_secret_stored:
            return
        try:
            # Nodes that have a key go on with it when the store has lost it.
            key = self.node.peers.key or secrets.token_bytes(SECRET_BYTES)
            value = {"key": key.hex()}
            await self.node.store.create(
                store_mirror.FLEET_KIND, store_mirror.SECRET_NAME, value
            )
        except errors.VersionConflict:
            # Another node created it; the watch will deliver it.
            return

    async def maintain_lead(self) -> None:
        """Acquire, renew or lose leadership when due."""
        while True:
            now = clock.read()
            self._update_lead(self.node.leadership.leads(now))
            due = self.node.leadership.find_next_write(now)
            is_deferred = due <= now and self.node.store_mirror.defers_to_candidates()
            if self.node.is_stopping or due > now or is_deferred:
                await anyio.sleep(min(MAX_CHECK_DELAY, max(MIN_CHECK_DELAY, due - now)))
                continue
            await self._write_lead()

    async def _write_lead(self) -> None:
        lead = self.node.leadership
        if not lead.leads(clock.read()) and not lead.has_current_reserves():
            # The reserves of the previous leader are stored only in its object.
            await self.node.store_mirror.leader_watcher.step(relist=True)
            if lead.find_next_write(clock.read()) > clock.read():
                return
        sent_at = clock.read()
        was_leading = lead.leads(sent_at)
        reserves = self.node.leader.plan_reserves(sent_at)
        value = lead.make_value(reserves)
        try:
            with anyio.fail_after(LEAD_TIMEOUT):
                stored = await self._put_lead(value)
            if not was_leading:
                # The last writes of the previous leader must be known before acting.
                changes = await self.node.store.list(store_mirror.FLEET_KIND)
                self.node.store_mirror.apply_fleet_list(changes, sent_at)
        except (errors.PlatformError, TimeoutError) as error:
            lead.note_failed(clock.read())
            if not isinstance(error, errors.VersionConflict):
                self._had_timeout = True
            self.node.journal.note("lead_not_written", reason=str(error) or "no answer")
            if isinstance(error, errors.VersionConflict):
                await self.node.store_mirror.leader_watcher.step(relist=True)
            return
        self.wrote_at = clock.read()
        if self._had_timeout:
            # Watches that were pending meanwhile may be on silent connections.
            self._had_timeout = False
            self.node.store_mirror.restart_watches("the store answers again")
        lead.note_written(sent_at, stored.version, reserves)
        self.node.leader.set_reserves(reserves)
        if was_leading and lead.acquired_version == stored.version:
            # The store was restored within the lease.
            self.node.exchange.announce(list(self.node.members))

    async def _put_lead(self, value: dict) -> objects.StoredObject:
        version = self.node.leadership.version
        if not objects.find_revision(version):
            return await self.node.store.create(
                store_mirror.LEADER_KIND, leadership.NAME, value
            )
        return await self.node.store.update(
            store_mirror.LEADER_KIND, leadership.NAME, value, version
        )

    def _update_lead(self, leads: bool) -> None:
        if leads is self._is_leading:
            return
        if (
            not leads
            and self.node.leader.find_exclusive_until(clock.read()) is not None
        ):
            # The store is unreachable for all members, so no other node can have taken
            # over.
            return
        self._is_leading = leads
        if leads:
            self.node.leader.start_leading()
            # The other nodes now depend on this node's watches, which were started
            # while it depended on another node's: a silent connection would not be
            # noticed for long.
            self.node.store_mirror.restart_watches("this node leads")
        else:
            self.node.leader.stop_leading()
        self.node.journal.note(
            "lead_taken" if leads else "lead_lost",
            version=self.node.leadership.version,
            reserves=self.node.leadership.reserves,
        )

    async def write_resignation(self) -> None:
        """Write the leader's object so that any node can take over."""
        lead = self.node.leadership
        value = lead.make_resignation(self.node.leader.plan_last_reserves(clock.read()))
        try:
            await self.node.store.update(
                store_mirror.LEADER_KIND, leadership.NAME, value, lead.version
            )
        except errors.PlatformError as error:
            # Another node has taken over already, or will when the lease expires.
            self.node.journal.note("lead_not_written", reason=str(error))

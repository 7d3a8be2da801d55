"""Local mirror of the store: configuration, endpoints, members, groups and leader."""

import functools
import typing

import anyio

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import endpoint_lists
from sardinehold.node import leadership
from sardinehold.node import membership
from sardinehold.node import ownership
from sardinehold.node import store_watch

if typing.TYPE_CHECKING:
    from sardinehold.node import groups
    from sardinehold.node import node as nodes

FLEET_KIND = "sardinehold"
"""Kind of the fleet's own objects in the store: groups, their endpoints, members, the
secret."""

LEADER_KIND = "sardinehold-leader"
"""Kind of the leader's object. It is separate because it changes with every renewal:
nodes that receive the leader's messages need not watch it."""

GROUP_PREFIX = "group."
MEMBER_PREFIX = "member."
ENDPOINTS_PREFIX = "endpoints."
SECRET_NAME = "secret"

LEADER_CHECK_INTERVAL = 0.1
"""Seconds between checks whether the leader is reachable; a tenth of a lease."""

FLEET_BATCH_DELAY = 0.3
"""Seconds between two watches of the fleet's own objects after changes: all members may
join at once, and group states are also sent by the leader."""

CANDIDATE_GRACE = 4.0
"""Seconds without a leader during which a node that is no candidate waits for an
announcement; a candidate takes over within three."""

MEMBER_GRACE = 2.5
"""Seconds after a restore of the store during which members and evacuations whose
entries are missing are kept: running nodes write theirs again at once, and entries that
were lost with the store are back within two."""

LIST_INTERVAL = 0.4
"""Seconds between lists that renew the leases; one of them may fail within a lease."""


class StoreMirror:
    """Local copies of the objects in the store, kept up to date by watches.

    :param stored_catalog: the active configuration as it is stored.
    :param member_versions: versions of the members' entries, by name.
    :param fleet_listed: set once the fleet's own objects have been listed.
    :param is_secret_stored: whether the store holds the fleet's secret.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize the mirror and its watchers."""
        self.node = node
        self.stored_catalog: object = None
        self.member_versions: dict[str, int] = {}
        self.fleet_listed = anyio.Event()
        self.is_secret_stored = False
        self._members_kept_until = float("-inf")
        self._members_current_at = float("-inf")
        self._store_state: dict[str, bool] = {}
        self._refused: dict[str, int] = {}
        self._owners: dict[str, list[str]] = {}
        self._owners_inputs: tuple[dict, dict] = ({}, {})
        sources = node.sources
        self.configuration = self._make_watcher(
            sources.configuration_kind,
            self._apply_config_changes,
            self._apply_config_changes,
        )
        self.endpoints = self._make_watcher(
            sources.endpoint_kind, self._apply_endpoints, self._apply_endpoint_changes
        )
        self.fleet = self._make_watcher(
            FLEET_KIND, self._apply_fleet, self._apply_fleet_changes, FLEET_BATCH_DELAY
        )
        self.leader_watcher = self._make_watcher(
            LEADER_KIND, self._apply_leader, self._apply_leader_changes
        )
        self.watchers = [self.configuration, self.endpoints, self.fleet]
        self.evacuations: store_watch.Watcher | None = None
        if node.settings.evacuation_limit is not None:
            self.evacuations = self._make_watcher(
                sources.evacuation_kind,
                self._apply_evacuations,
                self._apply_evacuation_changes,
            )
            # Last: nodes compare the revisions of their watchers by position.
            self.watchers.append(self.evacuations)

    def list_tasks(self) -> list[typing.Callable[[], typing.Awaitable[None]]]:
        """Return the functions that watch each kind.

        The fleet's own objects are not delayed: they show which node leads and which
        one reads the store.
        """
        await_leader = self.node.store_readers.await_leader
        tasks = [
            functools.partial(self.configuration.run, await_leader),
            functools.partial(self.endpoints.run, await_leader),
            self.fleet.run,
        ]
        if self.evacuations is not None:
            tasks.append(functools.partial(self.evacuations.run, await_leader))
        return tasks

    def _make_watcher(
        self,
        kind: str,
        apply_list: typing.Callable,
        apply_changes: typing.Callable,
        batch_delay: float = store_watch.BATCH_DELAY,
    ) -> store_watch.Watcher:
        return store_watch.Watcher(
            self.node.store,
            kind,
            apply_list,
            apply_changes,
            self._find_wait,
            self._log_store_state,
            self._log_unreadable,
            batch_delay,
            self.node.store_readers.find_relay if kind != LEADER_KIND else _find_none,
        )

    def _find_wait(self) -> float:
        if self.node.leader.leads():
            return store_watch.LEADER_WAIT
        if self.node.exchange.is_leader_reachable() or self.node.catalog is None:
            return store_watch.LONG_WAIT
        return store_watch.SHORT_WAIT

    def list_revisions(self) -> list[int]:
        """Return the revision of the newest change of each watched kind."""
        return [watcher.changed for watcher in self.watchers]

    def refresh_stale(
        self, changed: typing.Sequence[int], now: float, as_of: float
    ) -> None:
        """Refresh the kinds for which the leader received newer changes.

        :param as_of: time from which on the leader had received these.
        """
        for watcher, revision in zip(self.watchers, changed, strict=False):
            watcher.refresh_if_stale(revision, now)
            if watcher is self.fleet and not watcher.is_behind(revision):
                self._members_current_at = max(self._members_current_at, as_of)

    def find_members_current_at(self) -> float:
        """Return the latest time at which no change of the members was missing here.

        The leader told so, or the store itself answered.
        """
        if self.fleet.is_relayed:
            return self._members_current_at
        return max(self._members_current_at, self.fleet.answered_at)

    def restart_watches(self, reason: str) -> None:
        """Restart all watches: their connections may have gone silent."""
        self.node.journal.note("watches_renewed", reason=reason)
        for watcher in self.watchers:
            watcher.restart_watch()

    def handle_restore(self, era: int) -> None:
        """Read everything again: the store was restored from an older copy."""
        now = clock.read()
        self.node.journal.note("store_restored", era=era)
        self.is_secret_stored = False
        self._members_kept_until = now + MEMBER_GRACE
        self.node.leadership.begin_era(now)
        for watcher in [*self.watchers, self.leader_watcher]:
            watcher.restart_watch()
        self.node.spawn(self._list_members_after_grace)

    async def _list_members_after_grace(self) -> None:
        """List again once members and evacuations that are missing may be dropped."""
        await anyio.sleep(MEMBER_GRACE)
        self.fleet.refresh()
        if self.evacuations is not None:
            self.evacuations.refresh()

    def _log_unreadable(self, kind: str, reasons: list[str]) -> None:
        self.node.journal.note(
            "objects_unread", kind=kind, count=len(reasons), reason=reasons[0]
        )

    def _log_store_state(self, kind: str, is_up: bool, reason: str) -> None:
        if self._store_state.get(kind) is is_up:
            return
        self._store_state[kind] = is_up
        self.node.journal.note(
            "store_regained" if is_up else "store_lost", kind=kind, reason=reason
        )

    def _apply_config_changes(self, changes: objects.Changes, sent_at: float) -> None:
        for stored in changes.objects:
            if stored.name == self.node.sources.configuration_name and stored.value:
                self.read_catalog(stored.value, "store")

    def read_catalog(self, value: object, source: str) -> None:
        """Parse a stored configuration and activate it if it is newer.

        :param source: origin of the configuration, ``store`` or ``leader``.
        """
        try:
            found = self.node.sources.parse_catalog(value)
        except errors.DocumentError as error:
            self.node.journal.note(
                "configuration_refused", reason=str(error), source=source
            )
            return
        if self.node.catalog is None or found.version > self.node.catalog.version:
            self.stored_catalog = value
            self._activate_catalog(found, source)

    def _activate_catalog(self, found: catalog.Catalog, source: str) -> None:
        before, self.node.catalog = self.node.catalog, found
        self.node.configured.set()
        self.node.journal.note(
            "configuration",
            version=found.version,
            source=source,
            routes=len(found.routes),
            keys=len(found.teams_by_key),
            rates=catalog.find_changed_rates(before, found),
        )
        self.node.revoke_transactions()
        for name, config in found.groups.items():
            self.node.find_group(name).config = config
        self.update_shares()
        self.node.leader.configure()

    def _apply_endpoints(self, changes: objects.Changes, sent_at: float) -> None:
        now = clock.read()
        names = {stored.name for stored in changes.objects}
        for group in self.node.groups.values():
            for name in group.endpoints.keys() - names:
                self.log_endpoint("endpoint_missing", name, group.name)
                group.mark_missing(name, now)
        self._apply_endpoint_changes(changes, sent_at)

    def _apply_endpoint_changes(self, changes: objects.Changes, sent_at: float) -> None:
        for stored in changes.objects:
            self._apply_one(self._apply_endpoint, stored)
        self.update_shares()

    def _apply_evacuations(self, changes: objects.Changes, sent_at: float) -> None:
        now = clock.read()
        keeps_missing = now < self._members_kept_until
        self.node.evacuation_tasks.apply_list(changes, now, keeps_missing)

    def _apply_evacuation_changes(
        self, changes: objects.Changes, sent_at: float
    ) -> None:
        self.node.evacuation_tasks.apply_changes(changes, clock.read())

    def _apply_one(
        self,
        apply: typing.Callable[[objects.StoredObject], None],
        stored: objects.StoredObject,
    ) -> None:
        """Apply one change; an error costs nothing but this one.

        Anyone may write to the store, and a watch that fails is repeated for ever.
        """
        try:
            apply(stored)
        except Exception as error:
            self.node.registry.count("tasks_failed")
            self.node.journal.note(
                "object_failed", kind=stored.kind, name=stored.name, reason=repr(error)
            )

    def _apply_endpoint(self, stored: objects.StoredObject) -> None:
        now = clock.read()
        if stored.value is None:
            self._refused.pop(stored.name, None)
            for group in self.node.groups.values():
                if stored.name in group.endpoints:
                    self.log_endpoint("endpoint_missing", stored.name, group.name)
                group.mark_missing(stored.name, now)
            return
        try:
            record = self.node.sources.parse_endpoint(stored.name, stored.value)
        except errors.DocumentError as error:
            self._log_refused(stored, str(error))
            return
        group = self.node.find_group(record.group)
        known = group.endpoints.get(record.name)
        if known is None or _has_changed(known.record, record):
            self.log_endpoint(
                "endpoint",
                record.name,
                record.group,
                draining=record.is_draining,
                primary=record.claims_primary,
                born=record.born,
                cold=record.cold_for,
            )
        group.apply_record(record, now)

    def _log_refused(self, stored: objects.StoredObject, reason: str) -> None:
        """Log an endpoint's entry that cannot be parsed, once per version."""
        if self._refused.get(stored.name) != stored.version:
            self._refused[stored.name] = stored.version
            self.node.journal.note(
                "endpoint_refused", endpoint=stored.name, reason=reason
            )

    def log_endpoint(self, event: str, name: str, group: str, **fields: object) -> None:
        """Log an event of an endpoint."""
        self.node.journal.note(event, endpoint=name, group=group, **fields)

    def _apply_fleet(self, changes: objects.Changes, sent_at: float) -> None:
        names = {stored.name for stored in changes.objects}
        if clock.read() >= self._members_kept_until:
            listed = {f"{MEMBER_PREFIX}{name}" for name in self.node.members} - names
            for name in listed:
                self._drop_member(name.removeprefix(MEMBER_PREFIX))
        self.apply_fleet_list(changes, sent_at)

    def apply_fleet_list(self, changes: objects.Changes, sent_at: float) -> None:
        """Apply a list of the fleet's own objects that was requested at ``sent_at``.

        A list renews the leases. A watch does not: one whose connection is silent looks
        like one without changes. A list without this node's entry does not renew them
        either, since other nodes do not wait for this node then; nor does a state that
        was not written since the store was restored.
        """
        self._apply_fleet_changes(changes, sent_at)
        self.fleet_listed.set()
        names = {stored.name for stored in changes.objects}
        self._note_lost_states(names, objects.find_era(changes.revision))
        self._note_lost_lists(names, changes.revision)
        self.is_secret_stored = SECRET_NAME in names
        member = self.node.members.get(self.node.settings.name)
        is_current = member is not None and member.incarnation == self.node.incarnation
        is_registered = f"{MEMBER_PREFIX}{self.node.settings.name}" in names
        if not (is_registered and is_current and self.is_secret_stored):
            self.node.store_writer.restore_entry()
        if not is_registered:
            return
        for group in self.node.groups.values():
            state = group.state
            is_serving = state is not None and state.phase is catalog.Phase.SERVING
            if is_serving and state.is_stored:
                group.lease.confirm(sent_at)
                group.dispatch_waiting()

    def _note_lost_states(self, names: set[str], era: int) -> None:
        """Mark the states whose objects a complete list lacks."""
        for name, group in self.node.groups.items():
            if group.state is not None and f"{GROUP_PREFIX}{name}" not in names:
                group.state = group.state.move(objects.make_version(era, 0), False)

    def _note_lost_lists(self, names: set[str], version: int) -> None:
        """Forget the lists of endpoints that a complete list of objects lacks."""
        for name, group in self.node.groups.items():
            if f"{ENDPOINTS_PREFIX}{name}" not in names:
                self._drop_list(group, version)

    def _drop_list(self, group: "groups.Group", version: int) -> None:
        """Have the leader write a group's list again, unless a newer one is known."""
        if version > group.list_version:
            era = objects.find_era(version)
            group.listed = {}
            group.list_version = objects.make_version(era, 0)

    def _apply_fleet_changes(self, changes: objects.Changes, sent_at: float) -> None:
        # Apply all members before shares are computed from their number.
        for stored in changes.objects:
            if stored.name.startswith(MEMBER_PREFIX):
                self._apply_one(self._apply_member, stored)
        self.update_shares()
        for stored in changes.objects:
            if stored.name == SECRET_NAME and stored.value:
                self._apply_one(self._apply_secret, stored)
            elif stored.name.startswith(GROUP_PREFIX) and stored.value is not None:
                self._apply_one(self._apply_state, stored)
            elif stored.name.startswith(ENDPOINTS_PREFIX):
                self._apply_one(self._apply_list, stored)

    async def confirm_leases(self) -> None:
        """Renew the leases by listing the fleet objects while the leader is silent.

        Long watches are restarted as well: no leader announces changes that they may
        have missed.
        """
        await anyio.sleep(LIST_INTERVAL)
        was_isolated = False
        while True:
            is_isolated = self.node.exchange.has_lost_leader(clock.read())
            if is_isolated and not was_isolated:
                for watcher in self.watchers:
                    if not watcher.is_relayed:
                        watcher.refresh()
            was_isolated = is_isolated
            has_leases = any(group.state for group in self.node.groups.values())
            if self.node.exchange.is_leader_reachable() or not has_leases:
                await anyio.sleep(LEADER_CHECK_INTERVAL)
            else:
                relay = self.node.store_readers.find_relay()
                await self.fleet.step(relist=True, relay=relay)
                await anyio.sleep(LIST_INTERVAL)

    async def watch_leader(self) -> None:
        """Watch the leader's object while the leader is not reachable."""
        while True:
            is_reachable = self.node.exchange.is_leader_reachable()
            if (
                is_reachable and self.node.leadership.is_observed
            ) or self.defers_to_candidates():
                await anyio.sleep(LEADER_CHECK_INTERVAL)
            else:
                await self.leader_watcher.step()
                await anyio.sleep(0)

    def defers_to_candidates(self) -> bool:
        """Return whether to await a candidate's announcement before taking over."""
        if self.node.leadership.is_own():
            return False
        if self.node.exchange.measure_leader_silence(clock.read()) > CANDIDATE_GRACE:
            return False
        members = self.node.members
        if len(members) <= ownership.LEADER_CANDIDATES:
            return False
        return self.node.settings.name not in ownership.list_leader_candidates(
            members.values()
        )

    def _apply_leader(self, changes: objects.Changes, sent_at: float) -> None:
        found = [item for item in changes.objects if item.name == leadership.NAME]
        self.node.leadership.observe(
            found[0] if found else None,
            clock.read(),
            objects.find_era(changes.revision),
        )

    def _apply_leader_changes(self, changes: objects.Changes, sent_at: float) -> None:
        for stored in changes.objects:
            if stored.name == leadership.NAME:
                is_removed = stored.value is None
                self.node.leadership.observe(
                    None if is_removed else stored,
                    clock.read(),
                    objects.find_era(changes.revision),
                )

    def find_store_contact(self) -> float:
        """Return the time at which the store last answered this node."""
        watchers = [*self.watchers, self.leader_watcher]
        contact = max(watcher.answered_at for watcher in watchers)
        return max(contact, self.node.store_writer.wrote_at)

    def _apply_member(self, stored: objects.StoredObject) -> None:
        name = stored.name.removeprefix(MEMBER_PREFIX)
        if stored.value is None:
            self._drop_member(name)
            return
        try:
            member = membership.parse_member(name, stored.value)
        except errors.DocumentError as error:
            self.node.journal.note("member_refused", member=name, reason=str(error))
            if name == self.node.settings.name:
                self.node.store_writer.restore_entry()
            return
        old = self.node.members.get(name, member)
        self.node.members[name] = member
        self.member_versions[name] = stored.version
        if old.incarnation != member.incarnation:
            self.node.leader.note_restart(name, old.incarnation, member.incarnation)

    def _apply_secret(self, stored: objects.StoredObject) -> None:
        self.node.peers.key = bytes.fromhex(stored.value["key"])
        self.is_secret_stored = True

    def _drop_member(self, name: str) -> None:
        if self.node.members.pop(name, None) is None:
            return
        now = clock.read()
        self.node.journal.note("member_gone", member=name)
        self.node.removals.note(now)
        for group in self.node.groups.values():
            group.reset_acknowledged(now + membership.LAST_ANSWER_DELAY)
        if name == self.node.settings.name:
            self.node.store_writer.restore_entry()

    def _apply_state(self, stored: objects.StoredObject) -> None:
        name = stored.name.removeprefix(GROUP_PREFIX)
        try:
            state = catalog.parse_group_state(name, stored.value, stored.version)
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            self.node.journal.note("state_refused", group=name, reason=repr(error))
            group = self.node.groups.get(name)
            if group is not None and group.state is not None:
                # The leader writes it again, over the version that is stored now.
                group.state = group.state.move(stored.version, False)
            return
        self.take_state(state)

    def _apply_list(self, stored: objects.StoredObject) -> None:
        group = self.node.find_group(stored.name.removeprefix(ENDPOINTS_PREFIX))
        if stored.value is None:
            # The change has no version; if the list exists, it is read again.
            group.listed = {}
            group.list_version = objects.make_version(self.node.store.era, 0)
            return
        try:
            listed = endpoint_lists.parse(stored.value)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self.node.journal.note("list_refused", group=group.name, reason=repr(error))
            listed = {}
        group.apply_list(listed, stored.version, clock.read())

    def take_state(self, state: catalog.GroupState) -> None:
        """Apply a group's state, unless a later one is known."""
        group = self.node.find_group(state.group)
        held = group.state
        if held is not None:
            state = held.merge(state)
            if state.stage == held.stage and state.primary == held.primary:
                group.state = state
                return
        self.node.journal.note(
            "group_state",
            group=state.group,
            term=state.term,
            primary=state.primary,
            phase=state.phase.value,
            version=state.version,
            stored=state.is_stored,
        )
        group.apply_state(state)
        self.update_shares()
        if state.phase is catalog.Phase.SEALED:
            self.node.exchange.report_now()

    def update_shares(self) -> None:
        """Compute the shares of connections and rates from the current members."""
        count = len(self.node.members)
        self.node.exchange.forget_sections()
        owners_by_endpoint = self._find_owners()
        for group in self.node.groups.values():
            group.assign_owners(owners_by_endpoint, self.node.settings.name)
        if self.node.catalog is not None:
            self.node.rate_limiter.configure(self.node.catalog, count)
            self.node.leader.configure()

    def _find_owners(self) -> dict[str, list[str]]:
        """Return each endpoint's owners; they are assigned again after changes."""
        zones = {
            endpoint.name: endpoint.record.zone
            for group in self.node.groups.values()
            for endpoint in group.endpoints.values()
        }
        weights = {
            member.name: (member.zone, member.weight)
            for member in self.node.members.values()
        }
        if (zones, weights) != self._owners_inputs:
            self._owners_inputs = (zones, weights)
            self._owners = ownership.assign(
                zones, self.node.members.values(), self.node.settings.compare_zones
            )
        return self._owners


def _find_none() -> None:
    """Return None: without a reachable leader, its object is read from the store."""


def _has_changed(old: catalog.EndpointRecord, new: catalog.EndpointRecord) -> bool:
    return _summarize(old) != _summarize(new)


def _summarize(record: catalog.EndpointRecord) -> tuple:
    """Return the parts whose changes are logged; not the countdown of a cold period."""
    return (
        record.is_draining,
        record.claims_primary,
        record.born,
        record.host,
        record.port,
        bool(record.cold_for),
    )

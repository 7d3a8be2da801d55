"""Message exchange between a node and the leader, in both directions."""

import typing

import anyio

from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import pool
from sardinehold.node import reports

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

REPORT_INTERVAL = 0.4
"""Seconds between reports to the leader; one of them may be lost within a lease."""

MIN_REPORT_INTERVAL = 0.03
"""Minimum seconds between two reports, so that urgent ones are sent together."""

EMPTY_RETRY_DELAY = 0.15
"""Seconds before tokens are requested again from an allocator that had none left."""

EXCHANGE_TIMEOUT = 0.3
"""Seconds after which an exchange with the allocator counts as lost."""

RESPONSE_LIFETIME = 0.9
"""Seconds after which the response to a report is outdated and ignored."""

LEADER_TIMEOUT = 0.7
"""Seconds without a response after which a node renews its lease from the store: a
report was lost, or there is no leader. A slow store still answers within the lease."""

LEADER_LOST_AFTER = 1.5
"""Seconds without a response after which a node uses an equal share of the full rates;
longer than the leader needs to leave that share to it."""

OUTAGE_REPORT_AGE = 0.8
"""Seconds since the store's last answer from which a report may let a leader without
the store continue; longer than a short watch. A node in a long watch reports this age
as well, and contacts the store at the leader's request."""

FIRST_TOKENS_DELAY = 1.0
"""Seconds after a leader's first response until its first tokens are expected: it waits
until those of the previous leader have expired."""

NO_STAGE: catalog.Stage = (0, False, 0)
"""Stage of a group of which the leader has sent no state: before all others."""

STORE_CHECK_INTERVAL = 0.8
"""Seconds between two checks of the store for a leader that it does not answer."""


class Exchange:
    """Reports of one node, and the responses of the leader.

    :param leader_contact_at: send time of the last report that was answered.
    :param outage_reported_at: time of the last report that the store is unreachable.
    :param leader_since: time of the first response of the current leader.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize the exchange without a leader."""
        self.node = node
        self.leader_contact_at = float("-inf")
        self.outage_reported_at = float("-inf")
        self.leader_since = float("-inf")
        self._started_at = clock.read()
        self._has_leader_resigned = False
        self._sequence = 0
        self._sequence_until = float("-inf")
        self._sequence_at = float("-inf")
        self._is_exchange_pending = False
        self._allocator_empty_until = float("-inf")
        self._store_checked_at = float("-inf")
        self._report_due = anyio.Event()
        self._catalog_hint = 0
        self._catalog_hint_at = float("-inf")
        self._last_response: reports.LeaderResponse | None = None
        self._last_response_at = 0.0

    def report_soon(self) -> None:
        """Send a report soon, unless the allocator recently had no tokens left."""
        if clock.read() >= self._allocator_empty_until:
            self.report_now()

    def report_now(self) -> None:
        """Send a report immediately, whatever the last response was."""
        self._report_due.set()

    def is_leader_reachable(self) -> bool:
        """Return whether the leader responded recently."""
        is_recent = clock.read() - self.leader_contact_at < LEADER_TIMEOUT
        return is_recent and not self._has_leader_resigned

    def is_isolated(self, now: float) -> bool:
        """Return whether this node has had no contact with a leader for long."""
        return self.measure_leader_silence(now) > LEADER_LOST_AFTER

    def has_lost_leader(self, now: float) -> bool:
        """Return whether this node had contact with a leader, but not for long."""
        return self.leader_contact_at > float("-inf") and self.is_isolated(now)

    def measure_isolation(self, now: float) -> float:
        """Return the seconds since the last contact with a leader or the store."""
        last_contact = max(
            self.leader_contact_at,
            self.node.store_mirror.find_store_contact(),
            self._started_at,
        )
        return now - last_contact

    def is_leader_new(self, now: float) -> bool:
        """Return whether the first tokens of a leader are expected soon."""
        if not self.is_leader_reachable():
            return not self.is_isolated(now)
        return now - self.leader_since < FIRST_TOKENS_DELAY

    def measure_leader_silence(self, now: float) -> float:
        """Return the seconds since any leader's response, or since the start."""
        return now - max(self.leader_contact_at, self._started_at)

    async def run(self) -> None:
        """Send reports to the leader until cancelled."""
        while True:
            with anyio.move_on_after(REPORT_INTERVAL):
                await self._report_due.wait()
            self._report_due = anyio.Event()
            self._report()
            await anyio.sleep(MIN_REPORT_INTERVAL)

    def _report(self) -> None:
        holder = self.node.leadership.holder
        if not holder or self.node.catalog is None:
            return
        now = clock.read()
        sequence, usages = self._begin_exchange(now)
        response = self._last_response
        if now - self.node.store_mirror.find_store_contact() > OUTAGE_REPORT_AGE:
            self.outage_reported_at = now
        report = reports.Report(
            self.node.settings.name,
            self.node.incarnation,
            now,
            {name: g.state.stage for name, g in self.node.groups.items() if g.state},
            self.collect_samples(now),
            {
                name: group.acknowledged
                for name, group in self.node.groups.items()
                if group.acknowledged is not None
            },
            self.node.collect_failing(now),
            sequence,
            usages,
            self.node.catalog.version,
            response.sent_at if response else None,
            response.incarnation if response else "",
            now - self._last_response_at,
            now - self.node.store_mirror.find_store_contact(),
            self._list_full(now),
            self.measure_leader_silence(now),
            self.node.store.era,
            self._list_later_states(),
            tuple(
                name for name, group in self.node.groups.items() if group.is_overtaken()
            ),
        )
        if holder == self.node.settings.name:
            response = self.node.leader.handle_report(report)
            if response is not None:
                self._handle_response(response)
            return
        member = self.node.members.get(holder)
        if member is not None:
            self.node.peers.send(report.dump(), member.address)

    def _list_later_states(self) -> list[catalog.GroupState]:
        """Return the states that the leader does not know, by its last response.

        A leader that started after a restore only knows what the store did not lose.
        """
        if self._last_response is None:
            return []
        advised = {state.group: state.stage for state in self._last_response.states}
        return [
            group.state
            for name, group in self.node.groups.items()
            if group.state is not None
            and group.state.stage > advised.get(name, NO_STAGE)
        ]

    def _list_full(self, now: float) -> tuple[str, ...]:
        """Return the endpoints that recently refused this node a connection."""
        return tuple(
            endpoint.name
            for group in self.node.groups.values()
            for endpoint in group.endpoints.values()
            if now - endpoint.refused_at < pool.PRESSURE_DURATION
        )

    def _release_idle(self, names: tuple[str, ...], now: float) -> None:
        """Release idle connections to endpoints at their connection limits."""
        for group in self.node.groups.values():
            for name in names:
                if name in group.endpoints:
                    group.endpoints[name].pressure_until = now + pool.PRESSURE_DURATION

    def _begin_exchange(self, now: float) -> tuple[int, list[quota.Usage]]:
        """Return the sequence number and usages of an exchange with the allocator.

        Exchanges never overlap: returns 0 and no usages while one is pending.
        """
        if now < self._sequence_until:
            return 0, []
        if self._is_exchange_pending:
            self.node.exchange_load.count_lost_exchange()
        self._sequence += 1
        self._sequence_at = now
        self._is_exchange_pending = True
        self._sequence_until = now + EXCHANGE_TIMEOUT
        return self._sequence, self.node.rate_limiter.collect_usages(now)

    def handle_message(self, message: dict, address: tuple[str, int]) -> None:
        """Handle a message of another node."""
        try:
            parsed = reports.parse(message)
        except (KeyError, TypeError, ValueError) as error:
            self.node.journal.note("message_refused", reason=repr(error))
            return
        if isinstance(parsed, reports.Report):
            answer = self.node.leader.handle_report(parsed)
            if answer is not None:
                self.node.peers.send(answer.dump(), address)
        elif isinstance(parsed, reports.LeaderResponse):
            self._handle_response(parsed)
        elif isinstance(parsed, reports.ConfigurationRequest):
            if self.node.store_mirror.stored_catalog is not None:
                stored = reports.Configuration(self.node.store_mirror.stored_catalog)
                self.node.peers.send(stored.dump(), address)
        elif isinstance(parsed, reports.Configuration):
            self.node.store_mirror.read_catalog(parsed.value, "leader")
        elif isinstance(parsed, reports.Announcement):
            self._handle_announcement(parsed, clock.read())

    def _handle_announcement(
        self, announcement: reports.Announcement, now: float
    ) -> None:
        self.node.store.note_era(announcement.version)
        if announcement.resigns:
            self.node.leadership.accept_resignation(
                announcement.incarnation, announcement.version, now
            )
            self._has_leader_resigned = True
            return
        self.node.leadership.accept_announcement(
            announcement.node, announcement.incarnation, announcement.version, now
        )
        self.report_now()

    def announce(self, names: list[str], resigns: bool = False) -> None:
        """Announce a leadership change, so that nodes report immediately.

        :param resigns: whether this leader resigns.
        """
        lead = self.node.leadership
        version = lead.version if resigns else lead.acquired_version
        message = reports.Announcement(
            self.node.settings.name, self.node.incarnation, version, resigns
        ).dump()
        for name in names:
            member = self.node.members.get(name)
            if name == self.node.settings.name:
                self.report_now()
            elif member is not None:
                self.node.peers.send(message, member.address)

    def _handle_response(self, response: reports.LeaderResponse) -> None:
        now = clock.read()
        self.node.exchange_load.count_response(now - response.echo)
        if response.echo > now or now - response.echo > RESPONSE_LIFETIME:
            return
        self.node.store.note_era(response.lead_version)
        if (
            not self._last_response
            or response.incarnation != self._last_response.incarnation
        ):
            self.leader_since = now
        self._has_leader_resigned = False
        self.leader_contact_at = max(self.leader_contact_at, response.echo)
        self.node.store_mirror.refresh_stale(response.changed, now)
        self.node.rate_limiter.record_shortage(
            response.short, now + quota.SHORTAGE_DURATION
        )
        self.node.leadership.note_heartbeat(
            response.incarnation, response.lead_version, now
        )
        self._last_response = response
        self._last_response_at = now
        for state in response.states:
            self.node.store_mirror.take_state(state)
            group = self.node.groups[state.group]
            if group.state.stage != state.stage:
                continue
            if state.phase is catalog.Phase.SERVING:
                group.lease.confirm(response.date(response.certain_age))
            if state.group in response.samples:
                age, position = response.samples[state.group]
                group.record_position(response.date(age), position)
            group.dispatch_waiting()
        if response.asks_store and now > self._store_checked_at + STORE_CHECK_INTERVAL:
            self._store_checked_at = now
            self.node.spawn(self.node.store_mirror.leader_watcher.step, True)
        for name in response.suspects:
            self._probe(name, now)
        self._release_idle(response.full, now)
        if response.sequence == self._sequence:
            self._apply_grants(response)
        self.fetch_newer_catalog(response.node, response.catalog_version)

    def fetch_newer_catalog(self, peer: str, version: int) -> None:
        """Fetch the configuration of another node if it is newer.

        A store that was restored may have lost it: it is then fetched from the node.
        """
        known = self.node.find_version()
        if version <= known:
            return
        if version > self._catalog_hint:
            self._catalog_hint, self._catalog_hint_at = version, clock.read()
        watcher = self.node.store_mirror.configuration
        is_lost = watcher.listed_at > self._catalog_hint_at
        if watcher.is_failing() or is_lost:
            member = self.node.members.get(peer)
            if member is not None:
                self.node.peers.send(
                    reports.ConfigurationRequest(known).dump(), member.address
                )
        else:
            watcher.refresh()

    def _probe(self, name: str, now: float) -> None:
        """Probe an endpoint that another node cannot reach."""
        for group in self.node.groups.values():
            endpoint = group.endpoints.get(name)
            if endpoint is not None and now - endpoint.answered_at > pool.PROBE_AFTER:
                group.probe(endpoint)

    def _apply_grants(self, response: reports.LeaderResponse) -> None:
        self._sequence_until = float("-inf")
        if self._is_exchange_pending:
            self._is_exchange_pending = False
            self.node.exchange_load.count_exchange(clock.read() - self._sequence_at)
        for grant in response.grants:
            deadline = response.echo + grant.lifetime * (1 - clock.RATE_MARGIN)
            self.node.rate_limiter.take_grant(
                grant.team, grant.grant_id, grant.tokens, deadline
            )
        if self.node.rate_limiter.has_waiting():
            if not all(grant.tokens for grant in response.grants):
                self._allocator_empty_until = clock.read() + EMPTY_RETRY_DELAY
            self.report_soon()

    def collect_samples(
        self, now: float
    ) -> dict[str, tuple[float, positions.Position]]:
        """Return the newest known position of each primary, with its age."""
        for group in self.node.groups.values():
            if group.frozen is not None and self.node.leadership.leads(now):
                group.lease.record_position(now, group.frozen)
        return {
            name: (now - group.lease.latest.sent_at, group.lease.latest.position)
            for name, group in self.node.groups.items()
            if group.lease.latest is not None
        }

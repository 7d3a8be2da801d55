"""Message exchange between a node and the leader, in both directions."""

import typing

import anyio

from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import pool
from sardinehold.node import pool_messages
from sardinehold.node import primary_lease
from sardinehold.node import rate_limiter
from sardinehold.node import reports
from sardinehold.node import sections

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

REPORT_INTERVAL = 0.4
"""Seconds between reports to the leader; one of them may be lost within a lease."""

MIN_REPORT_INTERVAL = 0.03
"""Minimum seconds between two reports, so that urgent ones are sent together."""

SUMMARY_INTERVAL = 0.15
"""Seconds between reports of an aggregator: what it tells its section is as old."""

OUTAGE_REPORT_INTERVAL = 0.15
"""Seconds between reports while the leader may have to go on without the store: its
leases are then as old as the oldest report."""

AGGREGATOR_TIMEOUT = 0.25
"""Seconds after which an aggregator that responds to none of two reports is avoided:
within a lease, a report to the next one can still be answered."""

AVOID_DELAY = 2.0
"""Seconds for which an aggregator is not used that did not respond, or that has no
contact with the leader itself."""

FALLBACK_INTERVAL = 0.6
"""Minimum seconds between reports to the leader of a node that has no usable
aggregator: within ``LEADER_TIMEOUT``, and no more often, since the leader gets the
reports of all nodes if those of all sections are silent."""

EMPTY_RETRY_DELAY = 0.15
"""Seconds before tokens are requested again from an allocator that had none left."""

SECTION_RETRY_DELAY = 0.05
"""The same for an aggregator, which requests for all nodes of its section: some of them
may still be served before their callers are refused."""

LATE_ANSWER_DELAY = 0.05
"""Seconds after which the allocator's answer is overdue, so that tokens are requested
of other nodes: a round trip across regions."""

SPARE_REPORT_INTERVAL = 0.2
"""Minimum seconds between two early reports for surplus tokens; half of the usual
interval, since all nodes have some at the same time."""

SPARE_CONTACT_AGE = 0.1
"""Seconds since the last response within which surplus tokens are moved to the
allocator. What is sent to one that has failed is lost when it is needed most."""

EXCHANGE_TIMEOUT = 0.3
"""Seconds after which an exchange with the allocator counts as lost. Doubled with each
loss in a row, up to ``RESPONSE_LIFETIME``: an allocator that is late would otherwise
get more requests, and none of its grants would be used."""

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
    :param last_response: the last response of the leader or of an aggregator.
    :param certain_at: time as of which its states were certain.
    :param shortage_until: until when its list of teams that lack tokens holds.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize the exchange without a leader."""
        self.node = node
        self.leader_contact_at = float("-inf")
        self.outage_reported_at = float("-inf")
        self.leader_since = float("-inf")
        self._started_at = clock.read()
        self._resigned = ""
        self._resigned_version = 0
        self._sequence = 0
        self._sequence_until = float("-inf")
        self._sequence_at = float("-inf")
        self._sequence_timeout = EXCHANGE_TIMEOUT
        self._is_exchange_pending = False
        self._pending_since = float("-inf")
        self._spare_reported_at = float("-inf")
        self._is_exchange_wanted = False
        self._target = ""
        self._unanswered_since = float("inf")
        self._avoided_until: dict[str, float] = {}
        self._avoided_under = ""
        self._fallback_at = float("-inf")
        self._aggregators: list[str] = []
        self._aggregators_of = ""
        self._sections = 1
        self._empty_until: dict[str, float] = {}
        self._store_checked_at = float("-inf")
        self._report_due = anyio.Event()
        self._catalog_hint = 0
        self._catalog_hint_at = float("-inf")
        self._is_catalog_requested = False
        self._is_fetching_catalog = False
        self.last_response: reports.LeaderResponse | None = None
        self._last_response_at = 0.0
        self.certain_at = float("-inf")
        self.shortage_until = float("-inf")

    def request_tokens(self, team: str) -> None:
        """Request a team's tokens soon, unless there were none left recently.

        While an exchange is pending, the next one begins when it ends.
        """
        now = clock.read()
        if now < self._sequence_until:
            self._is_exchange_wanted = True
        elif now >= self._empty_until.get(team, now):
            self.report_now()

    def report_now(self) -> None:
        """Send a report immediately, whatever the last response was."""
        self._report_due.set()

    def is_leader_reachable(self) -> bool:
        """Return whether the leader responded recently."""
        is_recent = clock.read() - self.leader_contact_at < LEADER_TIMEOUT
        return is_recent and not self._resigned

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
            with anyio.move_on_after(self._find_interval(clock.read())):
                await self._report_due.wait()
            self._report_due = anyio.Event()
            self._report()
            pace = 1.0
            if self.node.aggregator.has_members(clock.read()):
                pace = sections.find_pace(self._sections)
            await anyio.sleep(MIN_REPORT_INTERVAL * pace)

    def _find_interval(self, now: float) -> float:
        """Return the seconds until the next report, unless one is urgent."""
        response = self.last_response
        if self.node.aggregator.has_members(now):
            interval = SUMMARY_INTERVAL
        elif response is None or not self.is_leader_reachable():
            interval = REPORT_INTERVAL
        elif response.asks_store:
            interval = OUTAGE_REPORT_INTERVAL
        else:
            # One report may be lost before a lease of the last response expires.
            remaining = self.certain_at + primary_lease.LEASE - now
            interval = min(REPORT_INTERVAL, max(OUTAGE_REPORT_INTERVAL, remaining / 2))
        if self._unanswered_since < now:
            interval = min(interval, AGGREGATOR_TIMEOUT / 2)
        if self._is_exchange_wanted:
            interval = min(interval, max(0.0, self._sequence_until - now))
        return interval

    def is_empty(self, team: str, now: float) -> bool:
        """Return whether no tokens of a team can be expected soon."""
        is_lacking = now < self._empty_until.get(team, now)
        is_late = (
            self._is_exchange_pending
            and now - self._sequence_at > rate_limiter.MAX_WAIT
        )
        return is_lacking or is_late or not self.is_leader_reachable()

    def is_allocator_late(self, now: float) -> bool:
        """Return whether an exchange is overdue, or the leader is not reachable.

        It is never late in a fleet that does not pool tokens.
        """
        if not sections.has_pool(len(self.node.members)):
            return False
        is_overdue = (
            self._is_exchange_pending and now - self._pending_since > LATE_ANSWER_DELAY
        )
        return is_overdue or not self.is_leader_reachable()

    # The node to which reports are sent

    def forget_sections(self) -> None:
        """Find the aggregators again: members have joined or left."""
        self._aggregators_of = ""
        self.node.token_sharing.forget_members()

    def _list_aggregators(self, holder: str) -> list[str]:
        """Return the nodes through which this one reports to a leader."""
        if self._avoided_under != holder:
            self._avoided_under = holder
            self._avoided_until.clear()
        if self._aggregators_of != holder:
            self._aggregators_of = holder
            self._aggregators = sections.list_aggregators(
                self.node.settings.name, self.node.members, holder
            )
            self._sections = sections.count_sections(self.node.members)
        return self._aggregators

    def _choose_target(self, holder: str, now: float) -> str:
        """Return the node that gets the next report: an aggregator, or the leader.

        A node to which others report sends its summary to the leader.
        """
        aggregators = self._list_aggregators(holder)
        is_silent = now - self._unanswered_since > AGGREGATOR_TIMEOUT
        if is_silent and self._target in aggregators:
            self._avoid(self._target, now)
        target = holder
        if holder != self.node.settings.name and not (
            self.node.aggregator.has_members(now)
        ):
            usable = (
                name
                for name in aggregators
                if now >= self._avoided_until.get(name, now)
            )
            target = next(usable, holder)
        if target != self._target:
            self._target = target
            self._unanswered_since = float("inf")
            # An answer of the previous one would no longer be used.
            self._sequence_until = float("-inf")
            self._is_exchange_pending = False
            self.node.rate_limiter.forget_grants()
        return target

    def _avoid(self, name: str, now: float) -> None:
        """Use another aggregator for some time."""
        if now >= self._avoided_until.get(name, now):
            self.node.journal.note("aggregator_lost", peer=name)
        self._avoided_until[name] = now + AVOID_DELAY

    def _is_deferred(self, target: str, now: float) -> bool:
        """Return whether a report is not sent because the leader gets too many."""
        is_fallback = (
            target == self.node.leadership.holder != self.node.settings.name
            and bool(self._aggregators)
            and not self.node.aggregator.has_members(now)
        )
        if is_fallback and now < self._fallback_at + FALLBACK_INTERVAL:
            return True
        self._fallback_at = now if is_fallback else float("-inf")
        return False

    def _report(self) -> None:
        holder = self.node.leadership.holder
        if not holder or self.node.catalog is None:
            return
        now = clock.read()
        target = self._choose_target(holder, now)
        if self._is_deferred(target, now):
            return
        sequence, usages = self._begin_exchange(now)
        response = self.last_response
        if now - self.node.store_mirror.find_store_contact() > OUTAGE_REPORT_AGE:
            self.outage_reported_at = now
        report = reports.Report(
            self.node.settings.name,
            self.node.incarnation,
            now,
            {name: g.state.stage for name, g in self.node.groups.items() if g.state},
            self.collect_samples(now),
            self.node.find_final_commits(now),
            self.node.collect_failing(now),
            sequence,
            usages,
            self.node.catalog.version,
            response.sent_at if response else None,
            response.sender_incarnation if response else "",
            now - self._last_response_at,
            now - self.node.store_mirror.find_store_contact(),
            self._list_full(now),
            self.measure_leader_silence(now),
            self.node.store.era,
            self._list_later_states(),
            tuple(
                name for name, group in self.node.groups.items() if group.is_overtaken()
            ),
            replicated=self.node.find_replicated(),
        )
        if target == self.node.settings.name:
            response = self.node.leader.handle_report(report)
            if response is not None:
                self._handle_response(response)
            return
        if target == holder:
            self.node.aggregator.summarize(report, now)
        member = self.node.members.get(target)
        if member is not None:
            self._unanswered_since = min(self._unanswered_since, now)
            self.node.peers.send(report.dump(), member.address)

    def _list_later_states(self) -> list[catalog.GroupState]:
        """Return the states that the leader does not know, by its last response.

        A leader that started after a restore only knows what the store did not lose.
        """
        if self.last_response is None:
            return []
        advised = {state.group: state.stage for state in self.last_response.states}
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
        self._sequence_timeout = EXCHANGE_TIMEOUT
        if self._is_exchange_pending:
            self.node.exchange_load.count_lost_exchange()
            waited = self._sequence_until - self._sequence_at
            self._sequence_timeout = min(RESPONSE_LIFETIME, 2 * waited)
        else:
            self._pending_since = now
        self._sequence += 1
        self._sequence_at = now
        self._is_exchange_pending = True
        self._is_exchange_wanted = False
        self._sequence_until = now + self._sequence_timeout
        lenders = self._sections if self.node.aggregator.has_members(now) else 0
        is_fresh = (
            now - self._last_response_at < SPARE_CONTACT_AGE
            or not sections.has_pool(len(self.node.members))
        )
        usages = self.node.rate_limiter.collect_usages(now, lenders, is_fresh)
        if lenders:
            self.node.aggregator.add_urgent(usages)
        return self._sequence, usages

    def handle_message(self, message: dict, address: tuple[str, int]) -> None:
        """Handle a message of another node."""
        try:
            parsed = reports.parse(message)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self.node.journal.note("message_refused", reason=repr(error))
            return
        if isinstance(parsed, reports.Report):
            if not self.node.leadership.is_own():
                self.node.aggregator.handle_report(parsed)
                return
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
        elif isinstance(parsed, pool_messages.Message):
            self.node.token_sharing.handle_message(parsed)
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
            self._resigned = announcement.incarnation
            self._resigned_version = announcement.version
            return
        self.node.leadership.accept_announcement(
            announcement.node, announcement.incarnation, announcement.version, now
        )
        for name in announcement.suspects:
            self._probe(name, now)
        self.report_now()

    def announce(
        self,
        names: list[str],
        resigns: bool = False,
        suspects: typing.Sequence[str] = (),
    ) -> None:
        """Announce a leadership change, so that nodes report immediately.

        :param resigns: whether this leader resigns.
        :param suspects: primaries that the nodes are to probe.
        """
        lead = self.node.leadership
        version = lead.version if resigns else lead.acquired_version
        message = reports.Announcement(
            self.node.settings.name, self.node.incarnation, version, resigns, suspects
        ).dump()
        members = self.node.members
        if self.node.settings.name in names:
            self.report_now()
        self.node.peers.send_to_all(
            message,
            [
                members[name].address
                for name in dict.fromkeys(names)
                if name in members and name != self.node.settings.name
            ],
        )

    def _is_outdated(self, response: reports.LeaderResponse) -> bool:
        """Return whether an aggregator repeats what a former leader told it."""
        lead = self.node.leadership
        if not response.is_relayed():
            return False
        if response.incarnation == self._resigned:
            return response.lead_version <= self._resigned_version
        is_other = response.incarnation != lead.holder_incarnation
        return is_other and response.lead_version < lead.version

    def _handle_response(self, response: reports.LeaderResponse) -> None:
        now = clock.read()
        self.node.exchange_load.count_response(now - response.echo)
        if response.echo > now or now - response.echo > RESPONSE_LIFETIME:
            return
        if response.sender == self._target:
            self._unanswered_since = float("inf")
        if self._is_outdated(response):
            return
        self.node.store.note_era(response.lead_version)
        previous = self.last_response
        if previous is None or response.incarnation != previous.incarnation:
            self.leader_since = now
        self._resigned = ""
        heard_at = now - response.leader_age
        if response.is_relayed():
            if response.leader_age > LEADER_TIMEOUT:
                self._avoid(response.sender, now)
            self.node.leadership.accept_announcement(
                response.node, response.incarnation, response.lead_version, heard_at
            )
        self.leader_contact_at = max(
            self.leader_contact_at, response.date(response.leader_age)
        )
        self.node.store_mirror.refresh_stale(
            response.changed, now, response.date(response.leader_age)
        )
        self.node.evacuation_tasks.apply_message(
            response.evacuations, now, response.date(response.leader_age)
        )
        self.node.rate_limiter.record_shortage(
            response.short, now + quota.SHORTAGE_DURATION
        )
        self.node.leadership.note_heartbeat(
            response.incarnation, response.lead_version, heard_at
        )
        self.last_response = response
        self._last_response_at = now
        self.certain_at = response.date(response.certain_age)
        self.shortage_until = now + quota.SHORTAGE_DURATION
        for state in response.states:
            self.node.store_mirror.take_state(state)
            group = self.node.groups[state.group]
            if group.state.stage != state.stage:
                continue
            if state.phase is catalog.Phase.SERVING:
                group.lease.confirm(self.certain_at)
            if state.group in response.samples:
                age, position = response.samples[state.group]
                group.record_position(response.date(age), position)
            group.dispatch_waiting()
        # The checks of the aggregators suffice: one node that reaches the store does.
        is_check_due = now > self._store_checked_at + STORE_CHECK_INTERVAL
        if response.asks_store and is_check_due and not response.is_relayed():
            self._store_checked_at = now
            self.node.spawn(self.node.store_mirror.leader_watcher.step, True)
        for name, witnesses in response.suspects.items():
            if self.node.settings.name in witnesses:
                self._probe(name, now)
        self._release_idle(response.full, now)
        if response.sequence == self._sequence:
            self._apply_grants(response)
            is_pooled = sections.has_pool(len(self.node.members))
            is_due = now - self._spare_reported_at >= SPARE_REPORT_INTERVAL
            if is_pooled and is_due and self.node.rate_limiter.has_spare(now):
                self._spare_reported_at = now
                self.report_now()
        self.fetch_newer_catalog(response.sender, response.catalog_version)
        if previous is None or (
            response.sender_incarnation != previous.sender_incarnation
        ):
            # Only a report that echoes the sender's clock can be dated by it.
            self.report_now()
        if not response.is_relayed():
            self.node.aggregator.relay_news(response, now)

    def fetch_newer_catalog(self, peer: str, version: int) -> None:
        """Fetch the configuration of another node if it is newer.

        A store that was restored may have lost it: it is then fetched from the node.
        """
        known = self.node.find_version()
        if version <= known:
            return
        if version > self._catalog_hint:
            self._catalog_hint, self._catalog_hint_at = version, clock.read()
            self._is_catalog_requested = False
        watcher = self.node.store_mirror.configuration
        is_lost = watcher.listed_at > self._catalog_hint_at
        if watcher.is_failing() or is_lost:
            self._request_catalog(peer, known)
        else:
            watcher.refresh()

    def _request_catalog(self, peer: str, known: int) -> None:
        """Request another node's configuration.

        A datagram arrives sooner, but cannot carry a large configuration: if the first
        request did not help, the next ones also use a link.
        """
        member = self.node.members.get(peer)
        if member is None:
            return
        self.node.peers.send(reports.ConfigurationRequest(known).dump(), member.address)
        if self._is_catalog_requested and not self._is_fetching_catalog:
            self._is_fetching_catalog = True
            self.node.spawn(self._fetch_catalog, peer)
        self._is_catalog_requested = True

    async def _fetch_catalog(self, peer: str) -> None:
        """Fetch another node's configuration over a link."""
        try:
            value = await self.node.store_readers.fetch_held_configuration(peer)
        finally:
            self._is_fetching_catalog = False
        if value is not None:
            self.node.store_mirror.read_catalog(value, "leader")

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
            if not grant.tokens:
                self._empty_until[grant.team] = clock.read() + (
                    SECTION_RETRY_DELAY
                    if self.node.aggregator.has_members(clock.read())
                    else EMPTY_RETRY_DELAY
                )
        self.node.aggregator.serve_waiting(clock.read())
        if response.is_relayed() and not self._is_exchange_wanted:
            # The aggregator sends what is missing without another request.
            return
        for team in self.node.rate_limiter.list_waiting():
            self.request_tokens(team)

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

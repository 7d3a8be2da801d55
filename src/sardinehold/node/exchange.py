"""A node's talk with the leader, and the leader's with the nodes."""

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

REPORT_LEAST = 0.03
"""Seconds between two reports at least, so that urgent ones are sent together."""

EMPTY_PAUSE = 0.15
"""Seconds before the allocator is asked again that had no tokens left."""

EXCHANGE_LIMIT = 0.3
"""Seconds after which an exchange with the allocator counts as lost."""

ADVICE_LIFETIME = 0.9
"""Seconds after which an answer to a report says nothing of now any more."""

ADVISED_WITHIN = 0.7
"""Seconds after which a node without advice dates its lease by the store: a report was
lost, or there is no leader. A slow store still answers within the lease."""

ALONE_AFTER = 1.5
"""Seconds without advice after which a node takes an even part of the whole rates;
longer than the leader takes to leave that part to it."""

VOUCH_AGE = 0.8
"""Seconds since the last answer of the store from which a report may let a leader
without the store go on; longer than a short watch. A node in a long watch reports so as
well, and asks the store when the leader wants to know."""

SETTLING = 1.0
"""Seconds after a leader is first heard in which its first tokens are on their way: it
waits until those of the leader before have lapsed."""

STORE_ASK_INTERVAL = 0.8
"""Seconds between two questions to the store for a leader that it does not answer."""


class Exchange:
    """Reports of one node, and the advice that it got.

    :param advised_at: when the last advice was asked for.
    :param vouched_at: when a report last said that the store is out of reach.
    :param led_since: when the present leader was first heard.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Start with nothing heard."""
        self.node = node
        self.advised_at = float("-inf")
        self.vouched_at = float("-inf")
        self.led_since = float("-inf")
        self._started_at = clock.read()
        self._has_left = False
        self._number = 0
        self._number_until = float("-inf")
        self._empty_until = float("-inf")
        self._asked_store_at = float("-inf")
        self._wanted = anyio.Event()
        self._last_advice: reports.Advice | None = None
        self._last_advice_at = 0.0

    def report_soon(self) -> None:
        """Report to the leader soon, unless its allocator had nothing left."""
        if clock.read() >= self._empty_until:
            self.report_now()

    def report_now(self) -> None:
        """Report to the leader at once, whatever it answered last."""
        self._wanted.set()

    def is_advised(self) -> bool:
        """Return whether the leader has been heard of late."""
        is_recent = clock.read() - self.advised_at < ADVISED_WITHIN
        return is_recent and not self._has_left

    def is_isolated(self, now: float) -> bool:
        """Return whether this node has been out of touch with the leader for long."""
        return self.count_unadvised(now) > ALONE_AFTER

    def count_unheard(self, now: float) -> float:
        """Return the seconds since a leader or the store was heard."""
        heard = max(
            self.advised_at,
            self.node.following.find_store_contact(),
            self._started_at,
        )
        return now - heard

    def is_leader_new(self, now: float) -> bool:
        """Return whether a leader's tokens are expected to come soon."""
        if not self.is_advised():
            return not self.is_isolated(now)
        return now - self.led_since < SETTLING

    def count_unadvised(self, now: float) -> float:
        """Return the seconds since any leader's advice, or since the start."""
        return now - max(self.advised_at, self._started_at)

    async def run(self) -> None:
        """Report to the leader until cancelled."""
        while True:
            with anyio.move_on_after(REPORT_INTERVAL):
                await self._wanted.wait()
            self._wanted = anyio.Event()
            self._report()
            await anyio.sleep(REPORT_LEAST)

    def _report(self) -> None:
        holder = self.node.leadership.holder
        if not holder or self.node.catalog is None:
            return
        now = clock.read()
        sequence, usages = self._begin_exchange(now)
        advice = self._last_advice
        if now - self.node.following.find_store_contact() > VOUCH_AGE:
            self.vouched_at = now
        report = reports.Report(
            self.node.settings.name,
            self.node.incarnation,
            now,
            {name: g.state.version for name, g in self.node.groups.items() if g.state},
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
            advice.sent_at if advice else None,
            advice.incarnation if advice else "",
            now - self._last_advice_at,
            now - self.node.following.find_store_contact(),
            self._list_full(now),
            self.count_unadvised(now),
        )
        if holder == self.node.settings.name:
            advice = self.node.leader.answer(report)
            if advice is not None:
                self._take_advice(advice)
            return
        member = self.node.members.get(holder)
        if member is not None:
            self.node.peers.send(report.dump(), member.address)

    def _list_full(self, now: float) -> tuple[str, ...]:
        """Return the endpoints that refused this node a connection of late."""
        return tuple(
            endpoint.name
            for group in self.node.groups.values()
            for endpoint in group.endpoints.values()
            if now - endpoint.refused_at < pool.PRESSED_FOR
        )

    def _press(self, names: tuple[str, ...], now: float) -> None:
        """Give back free connections to endpoints at their limits."""
        for group in self.node.groups.values():
            for name in names:
                if name in group.endpoints:
                    group.endpoints[name].pressed_until = now + pool.PRESSED_FOR

    def _begin_exchange(self, now: float) -> tuple[int, list[quota.Usage]]:
        """Return number and contents of an exchange with the allocator.

        Exchanges never overlap: 0 and nothing while one is not answered.
        """
        if now < self._number_until:
            return 0, []
        self._number += 1
        self._number_until = now + EXCHANGE_LIMIT
        return self._number, self.node.rate_limiter.collect_usages(now)

    def hear(self, message: dict, address: tuple[str, int]) -> None:
        """Take a message of another node."""
        try:
            parsed = reports.parse(message)
        except (KeyError, TypeError, ValueError) as error:
            self.node.journal.note("message_refused", reason=repr(error))
            return
        if isinstance(parsed, reports.Report):
            answer = self.node.leader.answer(parsed)
            if answer is not None:
                self.node.peers.send(answer.dump(), address)
        elif isinstance(parsed, reports.Advice):
            self._take_advice(parsed)
        elif isinstance(parsed, reports.Request):
            if self.node.following.stored_catalog is not None:
                stored = reports.Configuration(self.node.following.stored_catalog)
                self.node.peers.send(stored.dump(), address)
        elif isinstance(parsed, reports.Configuration):
            self.node.following.read_catalog(parsed.value, "leader")
        elif isinstance(parsed, reports.Call):
            self._take_call(parsed, clock.read())

    def _take_call(self, call: reports.Call, now: float) -> None:
        if call.resigns:
            self.node.leadership.hear_resignation(call.incarnation, call.version, now)
            self._has_left = True
            return
        self.node.leadership.hear(call.node, call.incarnation, call.version, now)
        self.report_now()

    def call(self, names: list[str], resigns: bool = False) -> None:
        """Have nodes report, and so hear of what changed, at once.

        :param resigns: whether this leader makes way.
        """
        lead = self.node.leadership
        version = lead.version if resigns else lead.taken_version
        message = reports.Call(
            self.node.settings.name, self.node.incarnation, version, resigns
        ).dump()
        for name in names:
            member = self.node.members.get(name)
            if name == self.node.settings.name:
                self.report_now()
            elif member is not None:
                self.node.peers.send(message, member.address)

    def _take_advice(self, advice: reports.Advice) -> None:
        now = clock.read()
        if advice.echo > now or now - advice.echo > ADVICE_LIFETIME:
            return
        if not self._last_advice or advice.incarnation != self._last_advice.incarnation:
            self.led_since = now
        self._has_left = False
        self.advised_at = max(self.advised_at, advice.echo)
        self.node.following.compare_changed(advice.changed, now)
        self.node.rate_limiter.note_shortage(advice.short, now + quota.SHORT_FOR)
        self.node.leadership.note_alive(advice.incarnation, advice.lead_version, now)
        self._last_advice = advice
        self._last_advice_at = now
        for state in advice.states:
            self.node.following.take_state(state)
            group = self.node.groups[state.group]
            if group.state.version != state.version:
                continue
            if state.phase is catalog.Phase.SERVING:
                group.lease.confirm(advice.date(advice.certain_age))
            if state.group in advice.samples:
                age, position = advice.samples[state.group]
                group.note_position(advice.date(age), position)
            group.pump()
        if advice.asks_store and now > self._asked_store_at + STORE_ASK_INTERVAL:
            self._asked_store_at = now
            self.node.spawn(self.node.following.leader_watcher.step, True)
        for name in advice.suspects:
            self._look_at(name, now)
        self._press(advice.full, now)
        if advice.sequence == self._number:
            self._take_grants(advice)
        self.compare_catalog(advice.node, advice.catalog_version)

    def compare_catalog(self, peer: str, version: int) -> None:
        """Get the configuration that another node has, if it is newer."""
        known = self.node.find_version()
        if version <= known:
            return
        watcher = self.node.following.configuration
        if watcher.is_failing():
            member = self.node.members.get(peer)
            if member is not None:
                self.node.peers.send(reports.Request(known).dump(), member.address)
        else:
            watcher.hurry()

    def _look_at(self, name: str, now: float) -> None:
        """Find out about an endpoint that another node cannot reach."""
        for group in self.node.groups.values():
            endpoint = group.endpoints.get(name)
            if endpoint is not None and now - endpoint.answered_at > pool.PROBE_AFTER:
                group.probe(endpoint)

    def _take_grants(self, advice: reports.Advice) -> None:
        self._number_until = float("-inf")
        for grant in advice.grants:
            deadline = advice.echo + grant.lifetime * (1 - clock.RATE_MARGIN)
            self.node.rate_limiter.take_grant(
                grant.team, grant.grant_id, grant.tokens, deadline
            )
        if self.node.rate_limiter.has_waiting():
            if not all(grant.tokens for grant in advice.grants):
                self._empty_until = clock.read() + EMPTY_PAUSE
            self.report_soon()

    def collect_samples(
        self, now: float
    ) -> dict[str, tuple[float, positions.Position]]:
        """Return the newest known position of each primary, with its age."""
        for group in self.node.groups.values():
            if group.frozen is not None and self.node.leadership.leads(now):
                group.lease.note_position(now, group.frozen)
        return {
            name: (now - group.lease.latest.sent_at, group.lease.latest.position)
            for name, group in self.node.groups.items()
            if group.lease.latest is not None
        }

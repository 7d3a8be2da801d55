"""The relay side of a node: answers followers and exchanges summaries."""

from sardinehold.core import agent_actions
from sardinehold.core import confirmation
from sardinehold.core import fleet_node as nodes
from sardinehold.core import lease
from sardinehold.core import membership
from sardinehold.core import messages
from sardinehold.core import relay
from sardinehold.core import relay_client
from sardinehold.core import view as core_view

SUMMARY_INTERVAL = 0.5
"""Seconds between summaries while the view is fresh."""

OUTAGE_INTERVAL = 0.2
"""Seconds between summaries while the view is stale."""

COALESCE = 0.004
"""Seconds for which an urgent change is delayed, to batch several in a summary."""


class RelayServer:
    """Answers followers, pushes changes and sends summaries to other relays."""

    __slots__ = (
        "node",
        "relay_client",
        "followers",
        "relays",
        "_due",
        "_pushed",
        "_last_sent",
        "_rotation",
        "_urgent",
        "_last_states",
    )

    def __init__(self, node: nodes.Node, client: relay_client.RelayClient) -> None:
        """Initialize without followers."""
        self.node = node
        self.relay_client = client
        self.followers = relay.FollowerTable(node.incarnation)
        self.relays = relay.RelayTable(node.incarnation)
        self._due = 0.0
        self._pushed = 0
        self._last_sent: object = None
        self._rotation = 0
        self._urgent = False
        self._last_states: dict[str, object] = {}

    def consume_urgent(self) -> bool:
        """Return and reset whether a change arrived that shared roles must act on."""
        urgent = self._urgent
        self._urgent = False
        return urgent

    def _record_change(self, vm: str, state: object) -> None:
        """Store a VM's reported state; a change makes the next poll urgent."""
        if self._last_states.get(vm) != state:
            self._last_states[vm] = state
            self._urgent = True

    def poll(self, now: float) -> float:
        """Push changes, send due summaries and return the time of the next poll."""
        if self.node.snapshot.changed_version > self._pushed:
            self._push(now)
        if not self.relay_client.is_relay():
            return now + SUMMARY_INTERVAL
        if now >= self._due:
            self._send_summaries(now)
        return self._due

    def schedule_summary(self, now: float) -> None:
        """Send summaries soon if the zone's state has changed since the last ones."""
        state = self._collect_state(now)
        self._record_change(self.node.vm, state)
        if self.relay_client.is_relay() and state != self._last_sent:
            self._due = min(self._due, now + COALESCE)

    def handle_renew(self, now: float, renew: messages.Renew) -> None:
        """Answer a follower's renewal."""
        if not self.followers.receive(now, renew):
            return
        if renew.version > self.node.snapshot.version:
            self.relay_client.request_changes(now, renew.vm)
        self._send_current(now, renew, renew.sequence)
        self.schedule_summary(now)

    def handle_summary(self, now: float, summary: messages.Summary) -> None:
        """Store another relay's summary and renew the lease from it if possible."""
        entry = self.relays.receive(now, summary)
        if entry is None:
            return
        reports = tuple((c.endpoint, c.unhealthy, c.isolated) for c in summary.reports)
        state = (summary.default_version, summary.exceptions, reports)
        self._record_change(summary.vm, (state, summary.unquiesced))
        if summary.version > self.node.snapshot.version:
            self.relay_client.request_changes(now, summary.vm)
        elif entry.sent_at is not None and summary.age >= 0:
            self.node.renew_lease(
                now, entry.sent_at - summary.age * (1 + lease.CLOCK_DRIFT)
            )
        self.renew_by_quorum(now)

    def renew_by_quorum(self, now: float) -> None:
        """Renew the lease if a quorum of members confirms the view."""
        if not self.node.is_stale(now) or not self.node.record.members:
            return
        quorum = membership.count_confirm_quorum(len(self.node.record.members))
        as_of = confirmation.find_confirmed_instant(
            self.node.snapshot.version, quorum, self._collect_confirmations(now)
        )
        if as_of is not None:
            self.node.renew_lease(now, min(as_of, now))

    def collect_acknowledged(self, now: float) -> dict[str, int]:
        """Return the latest acknowledged version of each member, by VM."""
        acknowledged = self._collect_own(now)
        for entry in self.relays.list_fresh(now):
            read = relay.read_acknowledged(entry.summary, self.node.record)
            for vm, version in read.items():
                acknowledged[vm] = max(version, acknowledged.get(vm, 0))
        return acknowledged

    def list_live_relays(self, now: float, max_platform_age: float) -> list[str]:
        """Return the relays that the platform answered recently.

        :param max_platform_age: maximum seconds since the platform's answer.
        """
        live = [
            entry.summary.vm
            for entry in self.relays.list_fresh(now)
            if 0 <= entry.summary.platform_age <= max_platform_age
            and self.node.record.is_member(entry.summary.vm, entry.summary.incarnation)
            and not self.node.record.members[entry.summary.vm].leaving
        ]
        seen = self.node.platform_answered_at
        if seen is not None and now - seen <= max_platform_age and self._may_lead():
            live.append(self.node.vm)
        return live

    def find_platform_age(self, now: float, vm: str) -> float | None:
        """Return the seconds since the platform answered a relay, None if unknown."""
        if vm == self.node.vm:
            seen = self.node.platform_answered_at
            return None if seen is None else now - seen
        for entry in self.relays.list_fresh(now):
            if entry.summary.vm == vm and entry.summary.platform_age >= 0:
                return entry.summary.platform_age + now - entry.received_at
        return None

    def count_reports(self, now: float) -> dict[str, dict[str, messages.ReportCount]]:
        """Return the counts of reports by endpoint and zone."""
        found: dict[str, dict[str, messages.ReportCount]] = {}
        own = (self.node.zone, relay.count_reports(self._list_renews(now)))
        others = [
            (entry.summary.zone, entry.summary.reports)
            for entry in self.relays.list_fresh(now)
        ]
        for zone, counts in [own, *others]:
            for count in counts:
                zones = found.setdefault(count.endpoint, {})
                zones[zone] = _merge_counts(zones.get(zone), count)
        return found

    def list_quiesced(self, now: float, group: str) -> set[str]:
        """Return the members on which no work of a draining group runs."""
        since = self._find_draining().get(group)
        if since is None:
            return set()
        quiesced = {
            renew.vm
            for renew in self._list_renews(now)
            if relay.is_quiesced(renew, group, since)
        }
        for entry in self.relays.list_fresh(now):
            running = entry.summary.unquiesced.get(group)
            if running is None:
                continue
            read = relay.read_acknowledged(entry.summary, self.node.record)
            quiesced |= read.keys() - set(running)
        return quiesced

    def _may_lead(self) -> bool:
        return self.node.is_member and not self.node.leaving

    def _list_renews(self, now: float) -> list[messages.Renew]:
        own = self.relay_client.make_renew(self.node.vm)
        others = [r for r in self.followers.list_recent(now) if r.vm != self.node.vm]
        return [own, *others]

    def _collect_own(self, now: float) -> dict[str, int]:
        acknowledged = {}
        for renew in self.followers.list_recent(now):
            if self.node.record.is_member(renew.vm, renew.incarnation):
                acknowledged[renew.vm] = renew.version
        if self.node.is_member:
            acknowledged[self.node.vm] = self.node.snapshot.version
        return acknowledged

    def _collect_confirmations(self, now: float) -> list[confirmation.Confirmations]:
        times, version = self._collect_own_confirmations(now)
        dated = tuple(
            (time, len(times) - index) for index, time in enumerate(sorted(times))
        )
        confirmations = [confirmation.Confirmations(self.node.zone, version, dated)]
        for entry in self.relays.list_fresh(now):
            summary = entry.summary
            if summary.members_version != self.node.record.version:
                continue
            if entry.sent_at is None:
                continue
            counts = confirmation.timestamp_counts(entry.sent_at, summary.vouches)
            confirmations.append(
                confirmation.Confirmations(
                    summary.zone, summary.vouched_version, counts
                )
            )
        return confirmations

    def _collect_own_confirmations(self, now: float) -> tuple[list[float], int]:
        node = self.node
        live = self.followers.list_live(now, node.record, node.zone)
        times = [
            follower.confirmed_at
            for vm, follower in live.items()
            if follower.confirmed_at is not None and vm != node.vm
        ]
        versions = [
            self._cap_version(follower.renew.version)
            for follower in live.values()
            if follower.confirmed_at is not None
        ]
        if node.is_member:
            times.append(now)
        return times, max([*versions, node.snapshot.changed_version])

    def _cap_version(self, version: int) -> int:
        """Return ``version``, capped at the last change unless newer than the view."""
        if version > self.node.snapshot.version:
            return version
        return min(version, self.node.snapshot.changed_version)

    def _send_current(self, now: float, renew: messages.Renew, sequence: int) -> None:
        node = self.node
        age = node.lease.measure_age(now)
        changes = node.snapshot.collect_changes(renew.version)
        whole = changes is None or renew.version == 0
        if whole:
            changes = node.snapshot.collect_all()
        message = messages.Current(
            node.vm,
            node.incarnation,
            sequence,
            node.snapshot.version,
            messages.UNKNOWN_AGE if age is None else age,
            now,
            renew.version,
            whole,
            changes.objects,
            self._list_relays(now) if sequence else (),
        )
        if renew.address:
            node.emit(agent_actions.Send(renew.vm, renew.address, message))
        else:
            node.send(renew.vm, message)

    def _list_relays(self, now: float) -> tuple[str, ...]:
        node = self.node
        present = self.followers.list_live(now, node.record, node.zone)
        live = [
            vm
            for vm in node.record.list_zone(node.zone)
            if vm in present or vm == node.vm
        ]
        return tuple(live[: relay.RELAYS_PER_ZONE])

    def _push(self, now: float) -> None:
        self._pushed = self.node.snapshot.changed_version
        self.followers.remove_stale(now)
        for renew in self.followers.list_recent(now):
            if renew.version < self._pushed:
                self._send_current(now, renew, 0)
        self.schedule_summary(now)

    def _collect_state(self, now: float) -> object:
        """Return the state of the zone whose change triggers an early summary."""
        acknowledged, reports, unquiesced = self._collect_zone(now)
        flat = tuple((c.endpoint, c.unhealthy, c.isolated) for c in reports)
        return acknowledged, flat, unquiesced

    def _collect_zone(
        self, now: float
    ) -> tuple[
        tuple[int, dict[str, int]],
        tuple[messages.ReportCount, ...],
        dict[str, tuple[str, ...]],
    ]:
        node = self.node
        acknowledged = relay.compress_acknowledged(
            self._collect_own(now),
            node.record.list_zone(node.zone),
            node.snapshot.changed_version,
        )
        renews = self._list_renews(now)
        reports = relay.count_reports(renews)
        return (
            acknowledged,
            reports,
            relay.list_unquiesced(renews, self._find_draining()),
        )

    def _find_draining(self) -> dict[str, int]:
        if self.node.view is None:
            return {}
        return {
            name: self.node.snapshot.find("group-state", name).version
            for name, state in self.node.view.groups.items()
            if state.phase is core_view.Phase.DRAINING
        }

    def _send_summaries(self, now: float) -> None:
        node = self.node
        interval = OUTAGE_INTERVAL if node.is_stale(now) else SUMMARY_INTERVAL
        self._due = now + interval
        self.renew_by_quorum(now)
        self._last_sent = self._collect_state(now)
        zone = self._collect_zone(now)
        times, confirmed = self._collect_own_confirmations(now)
        counts = confirmation.count_ages(now, times)
        for vm in self._list_recipients(now):
            node.send(vm, self._make_summary(now, vm, zone, confirmed, counts))

    def _make_summary(
        self, now: float, vm: str, zone: tuple, confirmed: int, counts: tuple[int, ...]
    ) -> messages.Summary:
        node = self.node
        (default, exceptions), reports, unquiesced = zone
        age = node.lease.measure_age(now)
        seen = node.platform_answered_at
        echo, echo_of, held = self.relays.find_echo(now, vm)
        return messages.Summary(
            vm=node.vm,
            incarnation=node.incarnation,
            zone=node.zone,
            members_version=node.record.version,
            version=node.snapshot.changed_version,
            age=messages.UNKNOWN_AGE if age is None else age,
            platform_age=messages.UNKNOWN_AGE if seen is None else now - seen,
            clock=now,
            echo=echo,
            echo_of=echo_of,
            held=held,
            default_version=default,
            exceptions=exceptions,
            vouched_version=confirmed,
            vouches=counts,
            reports=reports,
            unquiesced=unquiesced,
        )

    def _list_recipients(self, now: float) -> list[str]:
        """Return the known relays of all zones and the holders of shared roles."""
        node = self.node
        self._rotation += 1
        fresh = {
            entry.summary.vm: entry.summary for entry in self.relays.list_fresh(now)
        }
        recipients = set(fresh)
        live = self.collect_acknowledged(now)
        for zone in node.record.list_zones():
            order = node.record.list_zone(zone)
            known = [vm for vm in order if vm in live]
            is_reached = any(summary.zone == zone for summary in fresh.values())
            if zone == node.zone or is_reached:
                recipients.update(known[: relay.RELAYS_PER_ZONE])
            else:
                recipients.update(order[: relay.RELAYS_PER_ZONE])
                recipients.add(order[self._rotation % len(order)])
        recipients.update(self._list_holders())
        return sorted(recipients - {node.vm})

    def _list_holders(self) -> list[str]:
        if self.node.view is None:
            return []
        return [holder.vm for holder in self.node.view.roles.values()]


def _merge_counts(
    held: messages.ReportCount | None, count: messages.ReportCount
) -> messages.ReportCount:
    if held is None:
        return count
    return messages.ReportCount(
        count.endpoint,
        max(held.unhealthy, count.unhealthy),
        max(held.isolated, count.isolated),
    )

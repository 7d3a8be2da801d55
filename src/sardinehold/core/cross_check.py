"""Checks of reported primaries from zones that do not use them.

One node's report may be caused by its own network, so a failover requires
reports from several zones. If a group is in use in one zone only, the relays of
the other zones check its primary themselves once they receive a report.
"""

from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import candidates
from sardinehold.core import failover
from sardinehold.core import fleet_node as nodes
from sardinehold.core import messages
from sardinehold.core import relay_client
from sardinehold.core import relay_server as relay_servers

CHECK_INTERVAL = 0.4
"""Seconds between checks of a primary that other nodes report."""

IDLE_INTERVAL = 1.0
"""Seconds until the next poll when there are no reports."""


class Check:
    """The state of this node's check of one reported primary.

    :param due: when to check again.
    :param is_pending: whether a query is unanswered.
    :param confirmed: highest offset that a replica had acknowledged, None
        before the first answer.
    :param has_reported: whether this node's report results from the check.
    """

    __slots__ = ("due", "is_pending", "confirmed", "has_reported")

    def __init__(self) -> None:
        """Initialize a check that is due at once."""
        self.due = 0.0
        self.is_pending = False
        self.confirmed: int | None = None
        self.has_reported = False


class CrossChecker:
    """Adds this node's own report about primaries that others have reported.

    .. versionadded:: 0.1
    """

    __slots__ = ("node", "relay_server", "relay_client", "checks")

    def __init__(
        self,
        node: nodes.Node,
        relay_server: relay_servers.RelayServer,
        client: relay_client.RelayClient,
    ) -> None:
        """Initialize without checks."""
        self.node = node
        self.relay_server = relay_server
        self.relay_client = client
        self.checks: dict[str, Check] = {}

    def poll(self, now: float) -> float:
        """Run due checks of reported primaries and return the time of the next poll."""
        reported = self._find_reported(now)
        for name in self.checks.keys() - reported.keys():
            self._clear(now, name, self.checks.pop(name))
        due = now + IDLE_INTERVAL
        for name, group in reported.items():
            check = self.checks.setdefault(name, Check())
            if not check.is_pending and now >= check.due:
                self._query(now, check, group, name)
            due = min(due, max(check.due, now + CHECK_INTERVAL))
        return due

    def _find_reported(self, now: float) -> dict[str, str]:
        """Return the groups of reported primaries, by endpoint."""
        view = self.node.view
        if view is None or not self.relay_client.is_relay():
            return {}
        reports = self.relay_server.count_reports(now)
        if not reports:
            return {}
        return {
            state.primary: state.name
            for state in view.groups.values()
            if state.primary in reports and self._may_check(state.primary)
        }

    def _may_check(self, name: str) -> bool:
        """Return whether no report of this node's own engine exists."""
        return name in self.checks or name not in self.node.reports

    def _query(self, now: float, check: Check, group: str, name: str) -> None:
        check.is_pending = True
        check.due = now + CHECK_INTERVAL
        call_id = self.node.start_call(
            lambda later, event: self._handle_answer(later, event, check, name)
        )
        deadline = now + failover.STATUS_TIMEOUT
        self.node.emit(
            agent_actions.QueryEndpoint(
                call_id, group, name, failover.STATUS_SQL, deadline
            )
        )

    def _handle_answer(
        self, now: float, event: agent_events.AgentEvent, check: Check, name: str
    ) -> None:
        check.is_pending = False
        if self.checks.get(name) is not check:
            return
        status = None
        if isinstance(event, agent_events.EndpointAnswered):
            status = candidates.parse_status(event.rows)
        if status is None:
            self._report(now, check, messages.EndpointReport(name, True, False))
        elif self._is_isolated(check, status) and self._is_reported_isolated(now, name):
            self._report(now, check, messages.EndpointReport(name, False, True))
        else:
            self._clear(now, name, check)

    def _is_reported_isolated(self, now: float, name: str) -> bool:
        """Return whether a node reports the endpoint as isolated."""
        counts = self.relay_server.count_reports(now).get(name, {})
        return any(count.isolated for count in counts.values())

    @staticmethod
    def _is_isolated(check: Check, status: candidates.LogStatus) -> bool:
        """Return whether no replica has advanced since the previous check."""
        best = max(status.confirmed.values(), default=-1)
        is_unchanged = check.confirmed == best
        check.confirmed = best
        return is_unchanged and best < status.received

    def _report(
        self, now: float, check: Check, report: messages.EndpointReport
    ) -> None:
        check.has_reported = True
        self.node.reports[report.endpoint] = report
        self._publish_report(now)

    def _clear(self, now: float, name: str, check: Check) -> None:
        if not check.has_reported:
            return
        check.has_reported = False
        self.node.reports.pop(name, None)
        self._publish_report(now)

    def _publish_report(self, now: float) -> None:
        self.relay_client.schedule_renew()
        self.relay_server.schedule_summary(now)

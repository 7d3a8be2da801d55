"""The supervisor role: failover of groups and reconciliation of objects."""

from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import candidates
from sardinehold.core import failover
from sardinehold.core import fleet_node as nodes
from sardinehold.core import reconciler
from sardinehold.core import relay_server as relay_servers
from sardinehold.core import roles
from sardinehold.core import view as core_view

ROLE = "supervisor-0"

SUSPECTING_NODES = 2
"""Minimum number of nodes that must report a primary before it is replaced."""

SUSPECTING_ZONES = 2
"""Minimum number of zones that the reporting nodes must be in."""

AUDIT_INTERVAL = 1.0
"""Seconds between audits; each covers the endpoints of the next group."""

FOLLOW_TIMEOUT = 1.0
"""Seconds that an endpoint may take to become a replica."""


@roles.role(ROLE)
class Supervisor:
    """Acts for the whole fleet while its holder's lease is valid."""

    fenced = False

    __slots__ = (
        "node",
        "relay_server",
        "epoch",
        "procedures",
        "reconciler",
        "_audit_due",
        "_audit_index",
    )

    def __init__(
        self,
        node: nodes.Node,
        relay_server: relay_servers.RelayServer,
        epoch: int,
        now: float,
    ) -> None:
        """Initialize with no state beyond the view."""
        self.node = node
        self.relay_server = relay_server
        self.epoch = epoch
        self.procedures: dict[str, failover.Procedure] = {}
        self.reconciler = reconciler.Reconciler(node, relay_server, now)
        self._audit_due = now
        self._audit_index = 0

    def poll(self, now: float) -> float:
        """Do what is due and return the time of the next poll."""
        due = self.reconciler.poll(now)
        suspects = self._find_suspects(now)
        for name, state in self.node.view.groups.items():
            procedure = self._find_procedure(name)
            due = min(due, procedure.poll(now, state.primary in suspects))
            self._send_follow_requests(now, procedure)
        if now >= self._audit_due:
            self._audit(now)
        return min(due, self._audit_due)

    def _find_procedure(self, name: str) -> failover.Procedure:
        procedure = self.procedures.get(name)
        if procedure is None:
            procedure = failover.Procedure(self.node, self.relay_server, name)
            self.procedures[name] = procedure
        return procedure

    def _find_suspects(self, now: float) -> set[str]:
        """Return the endpoints reported by enough nodes in enough zones."""
        live = self.relay_server.collect_acknowledged(now).keys()
        members = self.node.record.members
        zones = {members[vm].zone for vm in live if vm in members}
        min_nodes = min(SUSPECTING_NODES, max(1, len(live)))
        min_zones = min(SUSPECTING_ZONES, max(1, len(zones)))
        suspects = set()
        for endpoint, counts in self.relay_server.count_reports(now).items():
            reported = [max(c.unhealthy, c.isolated) for c in counts.values()]
            reported = [count for count in reported if count]
            if sum(reported) >= min_nodes and len(reported) >= min_zones:
                suspects.add(endpoint)
        return suspects

    def _audit(self, now: float) -> None:
        """Query the endpoints of the next group whether they follow its primary."""
        self._audit_due = now + AUDIT_INTERVAL
        names = sorted(self.node.view.groups)
        if not names:
            return
        self._audit_index = (self._audit_index + 1) % len(names)
        state = self.node.view.groups[names[self._audit_index]]
        group = self.node.view.document.groups.get(state.name)
        if group is None or state.phase is not core_view.Phase.SERVING:
            return
        for endpoint in group.endpoints:
            if endpoint.name != state.primary:
                self._check_endpoint(now, state, endpoint.name)

    def _check_endpoint(
        self, now: float, state: core_view.GroupState, name: str
    ) -> None:
        call_id = self.node.start_call(
            lambda later, event: self._handle_audit(event, state, name)
        )
        deadline = now + failover.STATUS_TIMEOUT
        self.node.emit(
            agent_actions.QueryEndpoint(
                call_id, state.name, name, failover.STATUS_SQL, deadline
            )
        )

    def _handle_audit(
        self, event: agent_events.AgentEvent, state: core_view.GroupState, name: str
    ) -> None:
        if not isinstance(event, agent_events.EndpointAnswered):
            return
        status = candidates.parse_status(event.rows)
        if status is None:
            return
        if status.term < state.term or status.role == "primary":
            self._find_procedure(state.name).pending_followers.add(name)

    def _send_follow_requests(self, now: float, procedure: failover.Procedure) -> None:
        """Make replaced primaries and outdated replicas follow the current primary."""
        state = self.node.view.groups[procedure.name]
        group = self.node.view.document.groups.get(procedure.name)
        if group is None or state.phase is not core_view.Phase.SERVING:
            return
        if not procedure.pending_followers or procedure.state != "serving":
            return
        targets = procedure.pending_followers - {state.primary}
        procedure.pending_followers = set()
        endpoints = {endpoint.name: endpoint for endpoint in group.endpoints}
        primary = endpoints[state.primary]
        sql = f"SELECT cluster_follow({state.term}, '{primary.host}', {primary.port})"
        for name in sorted(targets & endpoints.keys()):
            call_id = self.node.start_call(lambda later, event: None)
            deadline = now + FOLLOW_TIMEOUT
            self.node.emit(
                agent_actions.QueryEndpoint(call_id, state.name, name, sql, deadline)
            )

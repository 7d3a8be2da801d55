"""Exchange of tokens and connection shares between nodes and the allocator."""

from sardinehold.core import actions
from sardinehold.core import agent_actions
from sardinehold.core import balance as balances
from sardinehold.core import events
from sardinehold.core import fleet_node as nodes
from sardinehold.core import lease
from sardinehold.core import messages
from sardinehold.core import quota
from sardinehold.core import relay_server as relay_servers
from sardinehold.core import roles
from sardinehold.core import shares
from sardinehold.core import view as core_view

ROLE = "allocator-0"

COALESCE = 0.003
"""Seconds for which a demand is delayed so that several are sent together."""

DEMAND_INTERVAL = 0.15
"""Seconds between demands while tokens are wanted or a balance must be reported."""

SHARE_INTERVAL = 1.0
"""Seconds between demands for connections."""

ANSWER_TIMEOUT = 0.3
"""Seconds after which an unanswered demand counts as lost."""


class Balance:
    """One team's tokens on this node, as last reported by the engine.

    :param left: unspent tokens.
    :param returned: tokens that the engine released, to be returned.
    :param wanted: tokens that the engine requests.
    :param received: identifier of the last grant received.
    """

    __slots__ = ("left", "returned", "wanted", "received", "deadline")

    def __init__(self) -> None:
        """Initialize an empty balance."""
        self.left = 0
        self.returned = 0
        self.wanted = 0
        self.received = 0
        self.deadline = 0.0


class AllocatorClient:
    """Sends the node's demands, one at a time, to the holder of the role."""

    __slots__ = (
        "node",
        "balances",
        "connections",
        "_due",
        "_shares_due",
        "_sequence",
        "_asked_at",
        "_epoch",
    )

    def __init__(self, node: nodes.Node) -> None:
        """Initialize without demand."""
        self.node = node
        self.balances: dict[str, Balance] = {}
        self.connections: dict[str, int] = {}
        self._due = 0.0
        self._shares_due = 0.0
        self._sequence = 0
        self._asked_at: float | None = None
        self._epoch = 0

    def request_tokens(self, now: float, action: actions.RequestTokens) -> None:
        """Record the engine's request for tokens of a team."""
        balance = self.balances.setdefault(action.team, Balance())
        balance.left = action.left
        if action.tokens:
            balance.wanted = action.tokens
            self._due = min(self._due, now + COALESCE)

    def return_tokens(self, now: float, action: actions.ReturnTokens) -> None:
        """Record tokens that the engine will not spend and that must be returned."""
        balance = self.balances.setdefault(action.team, Balance())
        balance.left = action.left
        balance.returned += action.tokens
        self._due = min(self._due, now + COALESCE)

    def request_connections(
        self, now: float, action: actions.RequestConnections
    ) -> None:
        """Record the engine's request for connections to an endpoint."""
        if self.connections.get(action.endpoint) != action.connections:
            self._shares_due = min(self._shares_due, now + COALESCE)
        self.connections[action.endpoint] = action.connections

    def poll(self, now: float) -> float:
        """Send a demand if one is due and return the time of the next poll."""
        self._check_epoch(now)
        if self._asked_at is not None:
            if now < self._asked_at + ANSWER_TIMEOUT:
                return self._asked_at + ANSWER_TIMEOUT
            self._drop_pending()
        due = self._find_due(now)
        if now >= due:
            self._send(now)
            return now + ANSWER_TIMEOUT
        return due

    def handle_grants(self, now: float, message: messages.Grants) -> None:
        """Deliver the allocator's grants to the engine."""
        if message.sequence != self._sequence or self._asked_at is None:
            return
        if message.epoch < self._epoch:
            return
        asked_at = self._asked_at
        self._asked_at = None
        for grant in message.tokens:
            self._deliver_grant(asked_at, grant)
        for share in message.shares:
            deadline = asked_at + share.lifetime * (1 - lease.CLOCK_DRIFT)
            event = events.ConnectionsGranted(
                share.endpoint, share.connections, deadline
            )
            self.node.emit(agent_actions.Deliver(event))

    def _deliver_grant(self, asked_at: float, grant: messages.TokenGrant) -> None:
        balance = self.balances.setdefault(grant.team, Balance())
        balance.received = grant.grant_id
        if not grant.tokens:
            return
        balance.left += grant.tokens
        balance.wanted = max(0, balance.wanted - grant.tokens)
        deadline = asked_at + grant.lifetime * (1 - lease.CLOCK_DRIFT)
        balance.deadline = max(balance.deadline, deadline)
        event = events.TokensGranted(grant.team, grant.tokens, deadline)
        self.node.emit(agent_actions.Deliver(event))

    def _check_epoch(self, now: float) -> None:
        """Report to a new allocator at once, so that it need not wait for a timeout."""
        view = self.node.view
        holder = view.roles.get(ROLE) if view else None
        if holder is not None and holder.epoch != self._epoch:
            self._epoch = holder.epoch
            self._due = now
            self._shares_due = now
            self._asked_at = None

    def _drop_pending(self) -> None:
        # The demand may have arrived, so its returned tokens are not sent again.
        self._asked_at = None

    def _find_due(self, now: float) -> float:
        busy = any(
            balance.wanted or balance.returned or balance.deadline > now
            for balance in self.balances.values()
        )
        due = self._due if busy else now + SHARE_INTERVAL
        if self.connections:
            due = min(due, self._shares_due)
        return min(due, self._due) if self._due <= now else due

    def _send(self, now: float) -> None:
        view = self.node.view
        holder = view.roles.get(ROLE) if view else None
        self._due = now + DEMAND_INTERVAL
        if holder is None or not holder.vm:
            self._shares_due = max(self._shares_due, self._due)
            return
        self._sequence += 1
        self._asked_at = now
        self.node.send(holder.vm, self._make_demand(now))

    def _make_demand(self, now: float) -> messages.Demand:
        usages = []
        for team, balance in self.balances.items():
            if balance.deadline <= now:
                balance.left = 0
            if balance.wanted or balance.returned or balance.deadline > now:
                usages.append(
                    messages.TokenUsage(
                        team,
                        balance.left,
                        balance.returned,
                        balance.wanted,
                        balance.received,
                    )
                )
            balance.returned = 0
        connections = {}
        if now >= self._shares_due:
            connections = dict(self.connections)
            self._shares_due = now + SHARE_INTERVAL
        return messages.Demand(
            self.node.vm,
            self.node.incarnation,
            self._sequence,
            tuple(usages),
            connections,
        )


@roles.role(ROLE)
class AllocatorWorker:
    """Answers demands while this node holds the allocator role."""

    fenced = True

    __slots__ = ("node", "epoch", "allocator", "share_allocator", "_configured")

    def __init__(
        self,
        node: nodes.Node,
        relay_server: relay_servers.RelayServer,
        epoch: int,
        now: float,
    ) -> None:
        """Initialize with a start time after all of the predecessor's grants expire."""
        margin = 1 + 2 * lease.CLOCK_DRIFT
        expected = frozenset(
            f"{member.vm}/{member.incarnation}"
            for member in node.record.members.values()
        )
        self.node = node
        self.epoch = epoch
        self.allocator = quota.Allocator(
            epoch,
            now,
            now + quota.GRANT_LIFETIME * margin,
            expected | node.record.removed,
        )
        self.share_allocator = shares.ShareAllocator(
            epoch, now, now + shares.SHARE_LIFETIME * margin
        )
        self._configured: object = None

    def poll(self, now: float) -> float:
        """Apply the rates and limits of the view."""
        view = self.node.view
        if view is not self._configured:
            self._configured = view
            self.allocator.configure(now, collect_rates(view))
            self.share_allocator.configure(now, collect_limits(view), len(view.members))
        return now + SHARE_INTERVAL

    def handle_demand(self, now: float, demand: messages.Demand) -> None:
        """Answer a node's demand."""
        if not self.node.record.is_member(demand.vm, demand.incarnation):
            return
        self.poll(now)
        usages = [
            quota.Usage(
                usage.team, usage.left, usage.returned, usage.wanted, usage.received
            )
            for usage in demand.usages
        ]
        identity = f"{demand.vm}/{demand.incarnation}"
        grants = self.allocator.exchange(now, identity, demand.sequence, usages)
        if grants is None:
            return
        allocated = [
            self.share_allocator.allocate(now, demand.vm, endpoint, wanted)
            for endpoint, wanted in demand.connections.items()
        ]
        message = messages.Grants(
            self.node.vm,
            self.epoch,
            demand.sequence,
            tuple(
                messages.TokenGrant(g.grant_id, g.team, g.tokens, g.lifetime)
                for g in grants
            ),
            tuple(
                messages.ConnectionShare(s.endpoint, s.connections, s.lifetime)
                for s in allocated
            ),
        )
        self.node.send(demand.vm, message)


def collect_rates(view: core_view.View) -> dict[str, quota.Rate]:
    """Return the token rates of all teams and open routes."""
    document = view.document
    rates = {
        name: quota.Rate(team.rate, team.burst) for name, team in document.teams.items()
    }
    for name, route in document.routes.items():
        if route.open:
            rates[balances.ROUTE_PREFIX + name] = quota.Rate(route.rate, route.burst)
    return rates


def collect_limits(view: core_view.View) -> dict[str, int]:
    """Return the connection limits of all endpoints."""
    return {
        endpoint.name: group.connections
        for group in view.document.groups.values()
        for endpoint in group.endpoints
    }

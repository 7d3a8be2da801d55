"""Allocation of each endpoint's connections to the nodes.

Every member may always hold ``BASE_CONNECTIONS`` to each endpoint, so that it
can serve without an allocator. The allocator grants the rest by demand, each
grant for a limited time, and the sum of bases and grants stays within the
limit while members join and leave.
"""

BASE_CONNECTIONS = 1
"""Connections to an endpoint that each member may hold without a grant."""

PROBE_CONNECTIONS = 1
"""Connections to an endpoint that each member reserves for probes."""

JOIN_RESERVE = 2
"""Joining members not yet known for which base and probe connections are kept."""

SHARE_LIFETIME = 3.0
"""Seconds from a node's request to the expiry of its grant."""

CLOCK_RATE_MARGIN = 0.01
"""Fraction by which the rates of two monotonic clocks may differ."""


class Share:
    """The number of connections that a node may hold to an endpoint.

    :param lifetime: seconds from the node's request to the expiry of the share;
        afterwards only the base remains.
    """

    __slots__ = ("endpoint", "connections", "lifetime")

    def __init__(self, endpoint: str, connections: int, lifetime: float) -> None:
        """Store the fields of the share."""
        self.endpoint = endpoint
        self.connections = connections
        self.lifetime = lifetime


class _Grant:
    """Connections above the base that one node may hold until a deadline."""

    __slots__ = ("connections", "deadline", "wanted")

    def __init__(self, connections: int, deadline: float, wanted: int) -> None:
        self.connections = connections
        self.deadline = deadline
        self.wanted = wanted


class ShareAllocator:
    """Allocates the connections of all endpoints.

    :param epoch: epoch in which this allocator holds the role.
    :param starts_at: when all grants of the predecessor have certainly expired.

    .. versionadded:: 0.1
    """

    __slots__ = ("epoch", "starts_at", "_limits", "_members", "_grants")

    def __init__(self, epoch: int, now: float, starts_at: float) -> None:
        """Initialize without grants."""
        self.epoch = epoch
        self.starts_at = max(now, starts_at)
        self._limits: dict[str, int] = {}
        self._members = 1
        self._grants: dict[str, dict[str, list[_Grant]]] = {}

    def configure(self, now: float, limits: dict[str, int], members: int) -> None:
        """Set the limits of the endpoints and the number of members."""
        self._limits = dict(limits)
        self._members = max(1, members)

    def allocate(self, now: float, vm: str, endpoint: str, wanted: int) -> Share:
        """Grant a node the connections it wants, as far as the others leave them.

        :param wanted: connections that the node could use, including the base.
        """
        spare = self.measure_spare(endpoint)
        if now < self.starts_at or spare <= 0:
            return Share(endpoint, BASE_CONNECTIONS, SHARE_LIFETIME)
        grants = self._prune(now, endpoint)
        requested = max(0, wanted - BASE_CONNECTIONS)
        fair = self._divide(grants, vm, requested, spare)
        granted_to_others = sum(
            max(grant.connections for grant in held)
            for other, held in grants.items()
            if other != vm
        )
        extra = max(0, min(requested, fair, spare - granted_to_others))
        deadline = now + SHARE_LIFETIME * (1 + CLOCK_RATE_MARGIN)
        grants.setdefault(vm, []).append(_Grant(extra, deadline, requested))
        return Share(endpoint, BASE_CONNECTIONS + extra, SHARE_LIFETIME)

    def measure_spare(self, endpoint: str) -> int:
        """Return the part of the limit above all bases and probe connections."""
        limit = self._limits.get(endpoint, 0)
        reserved = BASE_CONNECTIONS + PROBE_CONNECTIONS
        return limit - reserved * (self._members + JOIN_RESERVE)

    def count_granted(self, now: float, endpoint: str) -> int:
        """Return the connections granted above the bases."""
        grants = self._prune(now, endpoint)
        return sum(max(grant.connections for grant in held) for held in grants.values())

    def _prune(self, now: float, endpoint: str) -> dict[str, list[_Grant]]:
        grants = self._grants.setdefault(endpoint, {})
        for vm in list(grants):
            grants[vm] = [grant for grant in grants[vm] if grant.deadline > now]
            if not grants[vm]:
                del grants[vm]
        return grants

    @staticmethod
    def _divide(
        grants: dict[str, list[_Grant]], vm: str, requested: int, spare: int
    ) -> int:
        """Return the node's part of ``spare`` in proportion to demand."""
        others = sum(held[-1].wanted for name, held in grants.items() if name != vm)
        demand = requested + others
        if demand <= spare:
            return requested
        return max(1, spare * requested // demand) if requested else 0

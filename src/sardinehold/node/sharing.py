"""Division of an endpoint's connections among the nodes.

Many nodes share the few connections that an endpoint accepts: its owner holds most of
them, and some are left for nodes that cannot reach the owner.
"""

RESERVED_CONNECTIONS = 2
"""Connections to each endpoint that are reserved for queries about its log."""

OWNER_SHARE = 0.75
"""Share of an endpoint's connections that its owner may hold; the rest is for nodes
that cannot reach the owner, or compute another one while the membership changes."""

NON_OWNERS = 3
"""Number of nodes besides the owner that can have connections concurrently."""


def compute_limit(connections: int, is_owner: bool) -> int:
    """Return how many connections to an endpoint one node may hold.

    :param connections: how many the endpoint accepts in total.
    """
    usable = max(1, connections - RESERVED_CONNECTIONS)
    if is_owner:
        return max(1, int(usable * OWNER_SHARE))
    return max(1, int(usable * (1 - OWNER_SHARE) / NON_OWNERS))

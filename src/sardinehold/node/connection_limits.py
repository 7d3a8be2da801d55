"""How the few connections of an endpoint are divided among the nodes.

Answers the load of many nodes in front of few endpoints: the endpoint's home holds
most of its connections, and nodes that cannot reach the home find some left.
"""

RESERVED_CONNECTIONS = 2
"""Connections to each endpoint that are left for questions about its log."""

OWNER_SHARE = 0.75
"""Part of an endpoint's connections that its home may hold; the rest is for nodes that
do not reach the home, or take another one for it while members come and go."""

NON_OWNERS = 3
"""Nodes that find connections of their own beside the home."""


def compute_limit(connections: int, is_owner: bool) -> int:
    """Return how many connections to an endpoint one node may hold.

    :param connections: how many the endpoint takes.
    """
    usable = max(1, connections - RESERVED_CONNECTIONS)
    if is_owner:
        return max(1, int(usable * OWNER_SHARE))
    return max(1, int(usable * (1 - OWNER_SHARE) / NON_OWNERS))

"""How the few connections of an endpoint are divided among the nodes.

Answers the load of many nodes in front of few endpoints, of which some need more
than others at the moment: each keeps a part that is always there, none takes all.
"""

SPARE_CONNECTIONS = 2
"""Connections to each endpoint that are left for questions about its log."""

LIMIT_PART = 3
"""Part of an endpoint's connections that one node may hold, as a divisor: several
nodes may be busy at once, and one must not take all."""

KEPT_PART = 1.25
"""Divisor of an even part by which a node's kept connections are found: the rest is
left for nodes that need more at the moment."""


def find_limit(connections: int) -> int:
    """Return how many connections to an endpoint one node may hold.

    :param connections: how many the endpoint takes.
    """
    return max(1, _count_usable(connections) // LIMIT_PART)


def find_kept(connections: int, sharers: int) -> int:
    """Return how many connections to an endpoint one node keeps when they are idle.

    :param connections: how many the endpoint takes.
    :param sharers: nodes that use it at all times; 0 if this one does not.
    """
    if not sharers:
        return 0
    return max(1, int(_count_usable(connections) / (KEPT_PART * sharers)))


def _count_usable(connections: int) -> int:
    return max(1, connections - SPARE_CONNECTIONS)

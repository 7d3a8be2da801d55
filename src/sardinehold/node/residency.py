"""Allowed regions of statements: where they may run and which nodes may read them.

The load: routes and teams whose data must stay in some regions, in a fleet whose
endpoints, owners and hedges are spread over more of them.

Allowed regions are a set of names, or None where nothing restricts them; an empty set
means that no endpoint may serve. A zone whose region is unknown is in no allowed one.
"""

import typing

if typing.TYPE_CHECKING:
    from sardinehold.node import catalog

Regions = frozenset[str] | None
"""Allowed regions, None if all are allowed."""


def combine(*restrictions: frozenset[str]) -> Regions:
    """Return the regions that all restrictions allow; an empty one allows all."""
    given = [regions for regions in restrictions if regions]
    return frozenset.intersection(*given) if given else None


def allows_endpoint(regions: Regions, region: str | None) -> bool:
    """Return whether an endpoint in a region may run a statement.

    :param region: of the endpoint's zone, None if unknown.
    """
    return regions is None or region in regions


def allows_node(regions: Regions, region: str | None, is_own: bool) -> bool:
    """Return whether a node may receive a statement's text.

    :param is_own: whether it is the node that the client is connected to.
    """
    return is_own or allows_endpoint(regions, region)


def find_common(routes: "typing.Iterable[catalog.Route]", group: str) -> frozenset[str]:
    """Return the regions that all restricting routes of a group allow.

    :returns: an empty set if no route restricts them, or no region suits all.
    """
    restrictions = [route.regions for route in routes if route.group == group]
    return combine(*restrictions) or frozenset()


def explain_refusal(regions: frozenset[str], group: str) -> str:
    """Return why a statement cannot be served, with the remedy."""
    if not regions:
        return (
            "the route and the team allow no region in common: correct the allowed"
            " regions of one of them"
        )
    names = ", ".join(sorted(regions))
    return (
        f"no endpoint of group {group} that can serve this is in an allowed region"
        f" ({names}): allow its region, or run one in an allowed region"
    )

"""Where a statement of a route would go now, and why: the answer of ``/explain``.

The group's own selection decides, on the same data as for statements.
"""

import typing
import urllib.parse

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import placement_policies
from sardinehold.node import pool
from sardinehold.node import primary_lease
from sardinehold.node import residency
from sardinehold.node import waiting

if typing.TYPE_CHECKING:
    from sardinehold.node import groups
    from sardinehold.node import node as nodes

DRAWS = 100
"""Evenly spaced random numbers for which the policy is asked; gives its shares."""


class Unexplained(Exception):
    """Raised when a query does not name a statement; the text names the remedy."""


class Query:
    """A parsed query.

    :param team: the team in whose name the statement would run.
    :param last_commit: position of the session's last commit to the group, or None.
    """

    __slots__ = ("route", "team", "last_commit")

    def __init__(
        self, route: str, team: str, last_commit: positions.Position | None
    ) -> None:
        """Store the query."""
        self.route = route
        self.team = team
        self.last_commit = last_commit


def parse_query(text: str) -> Query:
    """Parse the query ``route=R&team=T&position=TERM.OFFSET``.

    :raises Unexplained: the route is missing or the position is malformed.
    """
    fields = dict(urllib.parse.parse_qsl(text))
    if not fields.get("route"):
        raise Unexplained("name a route: /explain?route=NAME")
    position = fields.get("position")
    last_commit = None
    if position is not None:
        try:
            term, offset = position.split(".")
            last_commit = positions.Position(int(term), int(offset))
        except ValueError:
            raise Unexplained(
                f"position {position!r} is not TERM.OFFSET, such as 3.1207"
            ) from None
    return Query(fields["route"], fields.get("team", ""), last_commit)


def answer(node: "nodes.Node", text: str) -> tuple[int, dict[str, object]]:
    """Return the HTTP status and the content of the page for a query string."""
    try:
        return 200, explain(node, parse_query(text), clock.read())
    except Unexplained as error:
        return 400, {"error": str(error)}


def explain(node: "nodes.Node", query: Query, now: float) -> dict[str, object]:
    """Return where a read and a write would go now, and why.

    :raises Unexplained: the node knows no such route or team.
    """
    found = node.catalog
    route = found.routes.get(query.route) if found is not None else None
    if route is None:
        raise Unexplained(f"this node knows no route {query.route!r}")
    if query.team and query.team not in found.teams:
        raise Unexplained(f"this node knows no team {query.team!r}")
    group = node.groups.get(route.group)
    if group is None:
        raise Unexplained(f"this node does not know group {route.group!r} yet")
    team = found.teams.get(query.team)
    waiter = waiting.Waiter(
        query.team,
        route,
        now,
        now + route.statement_timeout,
        query.last_commit,
        route.consistency is catalog.Consistency.LATEST,
        diverted=frozenset(),
        regions=residency.combine(
            route.regions, team.regions if team is not None else frozenset()
        ),
    )
    return {
        "node": node.settings.name,
        "route": route.name,
        "group": group.name,
        "consistency": route.consistency.value,
        "policy": node.settings.placement,
        "holds_lease": group.lease.holds_lease(now),
        "lease_age": _measure_age(group.lease.as_of, now),
        "write": _explain_write(group, waiter, now),
        "read": _explain_read(group, waiter, now),
        "endpoints": [
            _describe(endpoint, endpoint is group.primary, now)
            for endpoint in group.endpoints.values()
        ],
    }


def _explain_write(
    group: "groups.Group", waiter: waiting.Waiter, now: float
) -> dict[str, object]:
    primary = group.primary
    reason = group.explain_primary(waiter, now)
    name = primary.name if primary is not None and reason is None else None
    return {"endpoint": name, "reason": reason}


def _explain_read(
    group: "groups.Group", waiter: waiting.Waiter, now: float
) -> dict[str, object]:
    """Return the choice for a read, with the policy's shares of the endpoints."""
    if waiter.needs_primary:
        return _explain_write(group, waiter, now)
    floor = primary_lease.find_floor(
        group.lease, waiter.route, waiter.arrived_at, waiter.last_commit
    )
    selections = [
        group.select_for_read(waiter, floor, now, (number + 0.5) / DRAWS)
        for number in range(DRAWS)
    ]
    shares: dict[str, float] = {}
    for found in selections:
        if found.chosen is not None:
            name = found.chosen.name
            shares[name] = shares.get(name, 0.0) + 1 / DRAWS
    name = max(shares, key=shares.__getitem__, default=None)
    chosen = next(
        (found for found in selections if found.chosen and found.chosen.name == name),
        selections[0],
    )
    return {
        "endpoint": name,
        "reason": None if name else group.explain_refusal(waiter),
        "floor": None if floor is None else list(floor),
        "divert_at": chosen.divert_at,
        "shares": {key: round(value, 2) for key, value in shares.items()},
        "skipped": chosen.skipped,
    }


def _describe(
    endpoint: pool.Endpoint, is_primary: bool, now: float
) -> dict[str, object]:
    """Return the inputs of the choice for one endpoint, with their ages in seconds."""
    candidate = endpoint.make_candidate(now, is_primary)
    missing = candidate.missing_position
    return {
        "name": endpoint.name,
        "zone": endpoint.record.zone,
        "is_primary": is_primary,
        "is_remote_region": candidate.is_remote_region,
        "owners": endpoint.owners,
        "is_owned": endpoint.is_owned,
        "slots": candidate.slots,
        "ahead": candidate.ahead,
        "reported": endpoint.view.ahead,
        "report_age": _measure_age(endpoint.view.at, now),
        "own": len(endpoint.view.sent),
        "service_time": candidate.service_time,
        "round_trip": candidate.round_trip,
        "failed": candidate.failed,
        "latency": placement_policies.estimate_latency(candidate),
        "applied": None if candidate.applied is None else list(candidate.applied),
        "answered_age": _measure_age(endpoint.answered_at, now),
        "missing_position": None if missing is None else list(missing),
    }


def _measure_age(since: float, now: float) -> float | None:
    """Return the seconds since an instant, None if it has not been yet."""
    return None if since == float("-inf") else now - since

"""Rules for which endpoints may take a new statement.

The rules only exclude; among the endpoints that are left,
:mod:`sardinehold.node.placement` chooses. A rule returns the reason for which it
excludes an endpoint, so that logs and refusals can name it.
"""

import enum
import typing

from sardinehold.node import residency

if typing.TYPE_CHECKING:
    from sardinehold.node import groups
    from sardinehold.node import pool
    from sardinehold.node import waiting


class Use(enum.Enum):
    """What an endpoint is to be used for."""

    READ = "read"
    """A read that a replica may serve; the primary is one of the candidates."""

    PRIMARY = "primary"
    """A statement that only the primary may run."""


Rule = typing.Callable[
    ["pool.Endpoint", "waiting.Waiter", "groups.Group", float], str | None
]
"""Takes endpoint, waiting statement, group and time; returns a reason or None."""

RULES: dict[Use, list[Rule]] = {use: [] for use in Use}
"""Registered rules by use, in the order in which they are applied."""


def excludes(*uses: Use) -> typing.Callable[[Rule], Rule]:
    """Register the decorated function as a rule for some uses."""

    def register(rule: Rule) -> Rule:
        for use in uses:
            RULES[use].append(rule)
        return rule

    return register


def find_exclusion(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
    use: Use,
) -> str | None:
    """Return why an endpoint may not take a statement now, None if it may."""
    for rule in RULES[use]:
        reason = rule(endpoint, waiter, group, now)
        if reason is not None:
            return reason
    return None


@excludes(Use.READ)
def exclude_failed(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude endpoints on which the statement already failed."""
    return "the statement failed there" if endpoint.name in waiter.avoided else None


@excludes(Use.READ)
def exclude_unreachable(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude endpoints that do not answer."""
    return "it is unreachable" if endpoint.failing_since is not None else None


@excludes(Use.READ, Use.PRIMARY)
def exclude_cooling_down(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude endpoints that all owners have just reported as unreachable."""
    return "its owners cannot reach it" if now < endpoint.cooldown_until else None


@excludes(Use.READ, Use.PRIMARY)
def exclude_other_log(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude a primary that has started again without its log."""
    if endpoint is group.primary and now < endpoint.other_log_until:
        return "it does not have the primary's log"
    return None


@excludes(Use.READ)
def exclude_leaving(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude endpoints that are draining or gone, unless it is the primary."""
    if endpoint.accepts_new_work() or endpoint is group.primary:
        return None
    return "it is draining or gone"


@excludes(Use.READ)
def exclude_evacuated(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude endpoints whose availability zone is evacuated."""
    if group.evacuations.is_closed(endpoint.record.zone, now, is_primary=False):
        return "its zone is evacuated"
    return None


@excludes(Use.PRIMARY)
def exclude_evacuated_primary(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude a primary in an evacuated zone that was not replaced in time."""
    if group.evacuations.is_closed(endpoint.record.zone, now, is_primary=True):
        return "its zone is evacuated"
    return None


@excludes(Use.READ)
def exclude_returning(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude a part of the reads from a zone that returns from an evacuation.

    They are not excluded while no other zone can take them.
    """
    zones, zone = group.evacuations, endpoint.record.zone
    if not zones.is_returning(zone, now):
        return None
    if zones.admits_read(zone, f"{waiter.arrived_at} {endpoint.name}", now):
        return None
    if not any(
        other.failing_since is None
        and other.accepts_new_work()
        and other.name not in waiter.avoided
        and not zones.is_closed(other.record.zone, now, is_primary=False)
        and not zones.is_returning(other.record.zone, now)
        for other in group.endpoints.values()
    ):
        return None
    return "its zone returns from an evacuation"


@excludes(Use.READ, Use.PRIMARY)
def exclude_regions(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude endpoints in regions that the route or the team does not allow."""
    if waiter.regions is None or residency.allows_endpoint(
        waiter.regions, endpoint.region
    ):
        return None
    return "it is in a region that is not allowed"


@excludes(Use.READ)
def exclude_exhausted(
    endpoint: "pool.Endpoint",
    waiter: "waiting.Waiter",
    group: "groups.Group",
    now: float,
) -> str | None:
    """Exclude cold endpoints without budget while another endpoint can serve."""
    if now >= endpoint.exhausted_until:
        return None
    others = (
        other
        for other in group.endpoints.values()
        if other is not endpoint and now >= other.exhausted_until
    )
    if any(
        find_exclusion(other, waiter, group, now, Use.READ) is None for other in others
    ):
        return "it is cold and has no budget left"
    return None

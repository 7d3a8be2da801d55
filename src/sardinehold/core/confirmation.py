"""Lease renewal by a quorum of members while the platform is unreachable.

A member that acknowledged version ``v`` and sends any later message confirms
that it had acknowledged nothing newer when it sent it. Its version never
decreases, and a change counts as in force only when a set of members that
intersects every confirming quorum has acknowledged it. A view that a quorum
has confirmed since ``T`` is therefore not replaced by a change whose fence
started before ``T``.

Confirmations are sent as counts per zone, so that their cost does not grow with
the square of the fleet. If two relays report for one zone, the larger count
is taken, never the sum: both may have counted the same members.
"""

import typing

from sardinehold.core import lease

AGES = (0.15, 0.3, 0.45, 0.6, 0.8, 1.0, 1.3)
"""Ages in seconds for which relays count the confirmations in their zones."""


class Confirmations(typing.NamedTuple):
    """The confirmations counted by one relay, on the clock of the node reading them.

    :param version: newest version among the confirmations.
    :param dated: pairs of an instant and the members that confirmed since then.
    """

    zone: str
    version: int
    dated: tuple[tuple[float, int], ...]


def count_ages(now: float, confirmed: list[float]) -> tuple[int, ...]:
    """Return the number of confirmations within each of :data:`AGES`."""
    return tuple(sum(now - time <= age for time in confirmed) for age in AGES)


def timestamp_counts(
    sent: float, counts: tuple[int, ...]
) -> tuple[tuple[float, int], ...]:
    """Return the counts with instants of the own clock.

    :param sent: own clock at or before the counts were made.
    """
    return tuple(
        (sent - age * (1 + lease.CLOCK_DRIFT), count)
        for age, count in zip(AGES, counts, strict=False)
    )


def find_confirmed_instant(
    version: int, quorum: int, confirmations: list[Confirmations]
) -> float | None:
    """Return the latest instant since which ``quorum`` members have confirmed.

    :param version: the own version; confirmations of newer ones do not count.
    :returns: None if too few members have confirmed.
    """
    usable = [item for item in confirmations if item.version <= version]
    instants = sorted({time for item in usable for time, _ in item.dated}, reverse=True)
    for instant in instants:
        if _count_since(instant, usable) >= quorum:
            return instant
    return None


def _count_since(instant: float, confirmations: list[Confirmations]) -> int:
    by_zone: dict[str, int] = {}
    for item in confirmations:
        counts = [count for time, count in item.dated if time >= instant]
        best = max(counts, default=0)
        by_zone[item.zone] = max(best, by_zone.get(item.zone, 0))
    return sum(by_zone.values())

"""Leases without the platform: a quorum of members vouches for a view.

A member that acknowledged version ``v`` and sends any later message vouches
that it had acknowledged nothing newer when it sent it. Members never go back,
and a change counts as in force only when a set of members that meets every
vouch quorum has acknowledged it. A view for which a quorum has vouched since
``T`` is therefore not replaced by a change whose fence began before ``T``.

Vouches travel as counts for each zone, so that their cost does not grow with
the square of the fleet. Where two relays speak for one zone the larger count
is taken, never the sum: both may have counted the same members.
"""

import typing

from sardinehold.core import lease

AGE_BUCKETS = (0.15, 0.3, 0.45, 0.6, 0.8, 1.0, 1.3)
"""Ages in seconds for which relays count the vouches of their zones."""


class Confirmations(typing.NamedTuple):
    """What one relay counted, dated by the clock of the node that reads it.

    :param timestamped: pairs of an instant and the members that vouched since then.
    """

    zone: str
    version: int
    timestamped: tuple[tuple[float, int], ...]


def count_ages(now: float, confirmed: list[float]) -> tuple[int, ...]:
    """Return for each of :data:`AGE_BUCKETS` how many vouches are no older."""
    return tuple(sum(now - time <= age for time in confirmed) for age in AGE_BUCKETS)


def timestamp_counts(
    sent: float, counts: tuple[int, ...]
) -> tuple[tuple[float, int], ...]:
    """Return the counts with instants of the own clock.

    :param sent: own clock at or before the counts were made.
    """
    return tuple(
        (sent - age * (1 + lease.CLOCK_DRIFT), count)
        for age, count in zip(AGE_BUCKETS, counts, strict=False)
    )


def find_confirmed_instant(
    version: int, quorum: int, confirmations: list[Confirmations]
) -> float | None:
    """Return the latest instant since when ``quorum`` members vouch.

    :param version: the own version; vouches for newer ones do not count.
    :returns: None if too few members vouch at all.
    """
    usable = [item for item in confirmations if item.version <= version]
    instants = sorted(
        {time for item in usable for time, _ in item.timestamped}, reverse=True
    )
    for instant in instants:
        if _count_since(instant, usable) >= quorum:
            return instant
    return None


def _count_since(instant: float, confirmations: list[Confirmations]) -> int:
    by_zone: dict[str, int] = {}
    for item in confirmations:
        counts = [count for time, count in item.timestamped if time >= instant]
        best = max(counts, default=0)
        by_zone[item.zone] = max(best, by_zone.get(item.zone, 0))
    return sum(by_zone.values())

"""The choice of an endpoint for a read, with the reasons against the others.

One pure function decides; logs and metrics use the reasons that it gives.
"""

import typing

from sardinehold.core import positions
from sardinehold.node import diversion
from sardinehold.node import placement
from sardinehold.node import placement_policies

NO_FLOOR = "no position is known that it must have reached"
BEHIND = "it is behind the position that the read needs"
NO_LEASE = "this node holds no lease on the primary"
DIVERTED = "its owner had no room for the read"
REMOTE = "it is in another region"
ESTIMATE = "another one was preferred by estimate"

OTHER = "other"
"""Counted in place of a reason above ``MAX_REASONS``."""

MAX_REASONS = 40
"""Maximum number of reasons that are counted each by itself."""


class Selection:
    """An endpoint for a read, or none.

    :param chosen: the candidate, None if the read has to wait.
    :param divert_at: statements at the endpoint from which on its owner sends the read
        back, None if it is queued there.
    :param skipped: why the other endpoints were not chosen, by name.
    """

    __slots__ = ("chosen", "divert_at", "skipped")

    def __init__(
        self,
        chosen: placement.Candidate | None,
        divert_at: int | None,
        skipped: dict[str, str],
    ) -> None:
        """Store the selection."""
        self.chosen = chosen
        self.divert_at = divert_at
        self.skipped = skipped


def find_misfit(
    candidate: placement.Candidate,
    floor: positions.Position | None,
    holds_lease: bool,
) -> str | None:
    """Return why an endpoint may not serve a read consistently, None if it may.

    :param floor: position that a replica must have reached, None if none is known.
    :param holds_lease: whether the primary may be read without a position.
    """
    if candidate.is_primary:
        return None if holds_lease else NO_LEASE
    if floor is None:
        return NO_FLOOR
    return None if placement.may_have_position(candidate, floor) else BEHIND


def select(
    candidates: list[placement.Candidate],
    excluded: dict[str, str],
    floor: positions.Position | None,
    holds_lease: bool,
    policy: placement_policies.Policy,
    draw: float,
    diverted: frozenset[str] | None = None,
) -> Selection:
    """Return the endpoint for a read.

    :param excluded: reasons against endpoints that are no candidates, by name.
    :param draw: random number of [0, 1).
    :param diverted: endpoints whose owners sent the read back; None if it may not be
        sent back. They are used again if no other one may serve it.
    """
    skipped = dict(excluded)
    fitting = []
    for candidate in candidates:
        reason = find_misfit(candidate, floor, holds_lease)
        if reason is None:
            fitting.append(candidate)
        else:
            skipped[candidate.name] = reason
    untried = [item for item in fitting if item.name not in (diverted or ())]
    usable = untried or fitting
    chosen = policy.choose(usable, draw) if usable else None
    for candidate in fitting:
        if candidate is not chosen:
            skipped[candidate.name] = _explain(candidate, candidate in usable)
    divert_at = None
    if chosen is not None and diverted is not None and policy.diverts:
        divert_at = diversion.find_limit(chosen, usable, len(diverted))
    return Selection(chosen, divert_at, skipped)


def _explain(candidate: placement.Candidate, was_usable: bool) -> str:
    if not was_usable:
        return DIVERTED
    return REMOTE if candidate.is_remote_region else ESTIMATE


class Counter:
    """Counts of the reasons for which replicas were skipped, bounded in number.

    :param count: counts a metric, by its name.
    :param label: returns the metric's name for a reason.
    """

    __slots__ = ("_count", "_label", "_names")

    def __init__(
        self,
        count: typing.Callable[[str], None],
        label: typing.Callable[[str], str],
    ) -> None:
        """Create a counter without reasons."""
        self._count = count
        self._label = label
        self._names: dict[str, str] = {}

    def record(self, reason: str) -> None:
        """Count a replica that was skipped for a reason."""
        name = self._names.get(reason)
        if name is None:
            if len(self._names) >= MAX_REASONS:
                reason = OTHER
            name = self._names[reason] = self._label(reason)
        self._count(name)

"""Endpoints that started again under their names, and what they may have lost.

An endpoint that restarts may hold nothing of before, and its earlier start may have had
the only copy of a commit. So may an endpoint of which a node that started later knows
nothing. A log that reaches a position which the primary reported later has all of these
commits.
"""

from sardinehold.core import positions

POSITION_WAIT = 0.5
"""Seconds after a restart in which an answer to a statement may show the position; then
the leader queries the primary."""


class Restart:
    """The newest restart of an endpoint, or the start of this node.

    :param at: when this node learned of it.
    :param position: covers all commits that were acknowledged up to then; None while
        the primary has reported none since.
    """

    __slots__ = ("at", "position")

    def __init__(self, at: float) -> None:
        """Store the time, with the position unknown."""
        self.at = at
        self.position: positions.Position | None = None


class Restarts:
    """Restarts of one group's endpoints, by their names.

    :param now: when this node started; it does not know of earlier restarts, nor of
        endpoints that left.
    """

    def __init__(self, now: float) -> None:
        """Create a record without restarts."""
        self._own = Restart(now)
        self._by_name: dict[str, Restart] = {}

    def record(self, name: str, now: float) -> None:
        """Record that an endpoint started again."""
        self._by_name[name] = Restart(now)

    def find_newest(self, name: str) -> float | None:
        """Return when this node learned of an endpoint's newest restart."""
        restart = self._by_name.get(name)
        return restart.at if restart is not None else None

    def record_position(self, sent_at: float, position: positions.Position) -> None:
        """Record the primary's answer to a request sent at an instant."""
        for restart in (self._own, *self._by_name.values()):
            if restart.position is None and sent_at >= restart.at:
                restart.position = position

    def needs_position(self, now: float) -> bool:
        """Return whether no answer has shown a position since a restart."""
        return any(
            restart.position is None and now > restart.at + POSITION_WAIT
            for restart in self._by_name.values()
        )

    def is_behind(self, end: positions.Position) -> bool:
        """Return whether a log lacks commits from before this node started.

        It is not known while the primary has reported no position.
        """
        return self._own.position is not None and end < self._own.position

    def find_uncovered(self, end: positions.Position) -> frozenset[str]:
        """Return the endpoints that may have lost a commit beyond a log's end."""
        return frozenset(
            name
            for name, restart in self._by_name.items()
            if restart.position is None or end < restart.position
        )

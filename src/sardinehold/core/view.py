"""The versioned view: the state on which the fleet has agreed.

The view is stored as objects in the platform and changed only by conditional
update. Its version is the platform's revision as of which it was read.
"""

import enum

from sardinehold import document
from sardinehold.core import positions


class Phase(enum.Enum):
    """Phases of a group that determine whether it accepts writes."""

    SERVING = "serving"
    DRAINING = "draining"
    SEALED = "sealed"


class TermStart:
    """The log position at which a term starts.

    :param term: the term that starts.
    :param offset: last offset shared with the previous term.
    """

    __slots__ = ("term", "offset")

    def __init__(self, term: int, offset: int) -> None:
        """Store the term and the offset."""
        self.term = term
        self.offset = offset


class GroupState:
    """Term, primary and phase of one database group.

    :param primary: name of the endpoint, ``""`` if there is none.
    :param history: starts of all known terms, oldest first.
    :param change_id: identifier of the change that wrote this state, by which
        its writer recognizes it if the platform's answer was lost.
    """

    __slots__ = ("name", "term", "primary", "phase", "history", "change_id")

    def __init__(
        self,
        name: str,
        term: int,
        primary: str,
        phase: Phase = Phase.SERVING,
        history: tuple[TermStart, ...] = (),
        change_id: str = "",
    ) -> None:
        """Store the fields of the state."""
        self.name = name
        self.term = term
        self.primary = primary
        self.phase = phase
        self.history = history
        self.change_id = change_id

    def translate(self, position: positions.Position) -> positions.Position | None:
        """Return ``position`` as a position of the current term.

        :returns: None if a later term does not contain the position.
        """
        for start in self.history:
            if start.term <= position.term:
                continue
            if position.offset > start.offset:
                return None
        return positions.Position(self.term, position.offset)


class Member:
    """One VM of the fleet.

    :param incarnation: unique identifier of this run of the process.
    :param address: ``host:port`` of its peer service.
    """

    __slots__ = ("vm", "zone", "address", "incarnation", "leaving")

    def __init__(
        self,
        vm: str,
        zone: str,
        address: str,
        incarnation: str,
        leaving: bool = False,
    ) -> None:
        """Store the fields of the member."""
        self.vm = vm
        self.zone = zone
        self.address = address
        self.incarnation = incarnation
        self.leaving = leaving


class RoleHolder:
    """The holder of a shared role (``allocator-0``, ``supervisor-0``).

    :param epoch: fencing token that grows with each new holder.
    """

    __slots__ = ("role", "vm", "incarnation", "epoch", "change_id")

    def __init__(
        self, role: str, vm: str, incarnation: str, epoch: int, change_id: str = ""
    ) -> None:
        """Store the fields of the holder."""
        self.role = role
        self.vm = vm
        self.incarnation = incarnation
        self.epoch = epoch
        self.change_id = change_id


class View:
    """An immutable snapshot of the state on which the fleet has agreed.

    :param version: the platform's revision as of which the view was read.
    :param leaving: names of the endpoints that get no new work.
    :param token_keys: keys that sign session tokens, newest first.
    """

    __slots__ = (
        "version",
        "document",
        "groups",
        "members",
        "roles",
        "leaving",
        "token_keys",
    )

    def __init__(
        self,
        version: int,
        document: document.Document,
        groups: dict[str, GroupState],
        members: dict[str, Member] | None = None,
        roles: dict[str, RoleHolder] | None = None,
        leaving: frozenset[str] = frozenset(),
        token_keys: tuple[bytes, ...] = (),
    ) -> None:
        """Store the fields of the view."""
        self.version = version
        self.document = document
        self.groups = groups
        self.members = members or {}
        self.roles = roles or {}
        self.leaving = leaving
        self.token_keys = token_keys

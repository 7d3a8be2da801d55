"""The versioned view: all that the fleet has agreed on.

The view is kept as objects in the platform and changed only by conditional
update. Its version is the platform's revision as of which it was read.
"""

import enum

from sardinehold import document
from sardinehold.core import positions


class Phase(enum.Enum):
    """What a group does with writes."""

    SERVING = "serving"
    DRAINING = "draining"
    SEALED = "sealed"


class TermStart:
    """Where a term took over the log of the term before it.

    :param term: the term that starts.
    :param offset: the last offset that it shares with the term before.
    """

    __slots__ = ("term", "offset")

    def __init__(self, term: int, offset: int) -> None:
        """Keep the term and the offset."""
        self.term = term
        self.offset = offset


class GroupState:
    """Term, primary and phase of one database group.

    :param primary: the endpoint's name, or ``""`` when there is none.
    :param history: the starts of all known terms, oldest first.
    :param change_id: identity of the change that wrote this state, by which
        its writer recognises it when the platform's answer was lost.
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
        """Keep the parts of the state."""
        self.name = name
        self.term = term
        self.primary = primary
        self.phase = phase
        self.history = history
        self.change_id = change_id

    def translate(self, position: positions.Position) -> positions.Position | None:
        """Return ``position`` as one of the current term.

        :returns: None if a later term does not contain the position.
        """
        for start in self.history:
            if start.term <= position.term:
                continue
            if position.offset > start.offset:
                return None
        return positions.Position(self.term, position.offset)


class Member:
    """One VM of the system.

    :param incarnation: identity of this start of the process.
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
        """Keep the parts of the member."""
        self.vm = vm
        self.zone = zone
        self.address = address
        self.incarnation = incarnation
        self.leaving = leaving


class RoleHolder:
    """Who does a shared job (``allocator-0``, ``supervisor-0``).

    :param epoch: grows with each holder and fences the one before.
    """

    __slots__ = ("role", "vm", "incarnation", "epoch", "change_id")

    def __init__(
        self, role: str, vm: str, incarnation: str, epoch: int, change_id: str = ""
    ) -> None:
        """Keep the parts of the holder."""
        self.role = role
        self.vm = vm
        self.incarnation = incarnation
        self.epoch = epoch
        self.change_id = change_id


class View:
    """An immutable snapshot of what the fleet agrees on.

    :param version: the platform's revision as of which the view holds.
    :param leaving: names of the endpoints that take no new work.
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
        """Keep the parts of the view."""
        self.version = version
        self.document = document
        self.groups = groups
        self.members = members or {}
        self.roles = roles or {}
        self.leaving = leaving
        self.token_keys = token_keys

"""Who the members are, when one's entry is removed, and what follows for the others.

Answers the load of VMs that are replaced day by day: nothing in the store expires by
itself, and each entry that stays takes its part of the rates and connections, and
is waited for at every change of leader or primary.
"""

import math
import typing

from sardinehold import errors
from sardinehold.node import clock
from sardinehold.node import primary_lease

REMOVAL_DELAY = 8.0
"""Seconds without a report after which a member's entry is removed: a process that is
stopped as planned has six to end, and starts within a second."""

STATEMENT_LIMIT = 4.0
"""Seconds that a statement takes at most, of the routes' longest timeouts."""

LEASE_EXPIRY_DELAY = (primary_lease.COMMIT_RENEWAL_LIMIT + primary_lease.LEASE) * (
    1 + 2 * clock.RATE_MARGIN
)
"""Seconds after a removal in which the removed node may still hold a lease: it learns
of the removal from the store, or hears nobody any more."""

LAST_ANSWER_DELAY = LEASE_EXPIRY_DELAY + STATEMENT_LIMIT
"""Seconds after a removal in which it may still tell a caller of a commit."""


class Member:
    """A node as its entry in the store describes it.

    :param host: address that other nodes reach it at.
    :param port: its port for datagrams and links.
    :param incarnation: differs between the processes of one VM.
    :param weight: how much work it takes, next to others.
    """

    __slots__ = ("name", "zone", "host", "port", "incarnation", "weight")

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        port: int,
        incarnation: str = "",
        weight: float = 1.0,
    ) -> None:
        """Keep the parts of the entry."""
        self.name = name
        self.zone = zone
        self.host = host
        self.port = port
        self.incarnation = incarnation
        self.weight = weight

    @property
    def address(self) -> tuple[str, int]:
        """Where other nodes reach it."""
        return self.host, self.port

    def dump(self) -> dict:
        """Return the entry."""
        return {
            "zone": self.zone,
            "host": self.host,
            "port": self.port,
            "incarnation": self.incarnation,
            "weight": self.weight,
        }


def parse_member(name: str, value: typing.Any) -> Member:
    """Return the member that an entry describes.

    :raises sardinehold.errors.DocumentError: it cannot be read.
    """
    try:
        weight = float(value.get("weight", 1.0))
        if not (math.isfinite(weight) and weight > 0):
            raise ValueError(f"weight {weight}")
        return Member(
            name,
            str(value["zone"]),
            str(value["host"]),
            int(value["port"]),
            str(value.get("incarnation", "")),
            weight,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.DocumentError(
            f"The entry of member {name} cannot be read: {error!r}.",
            "Restart that node; it writes its entry anew.",
        ) from error


class Absences:
    """Which members have not been heard, and since when."""

    __slots__ = ("_silent_since",)

    def __init__(self) -> None:
        """Start with everybody heard."""
        self._silent_since: dict[str, float] = {}

    def note(self, silent: typing.Collection[str], now: float) -> None:
        """Take note of the members that do not report at the moment."""
        for name in self._silent_since.keys() - set(silent):
            del self._silent_since[name]
        for name in silent:
            self._silent_since.setdefault(name, now)

    def list_overdue(self, now: float) -> list[str]:
        """Return the members whose entries are to be removed."""
        return sorted(
            name
            for name, since in self._silent_since.items()
            if now - since > REMOVAL_DELAY
        )


class Removals:
    """What a node has seen of removals.

    :param now: the node's start: of removals before it, it knows nothing.
    """

    __slots__ = ("leases_expired_at",)

    def __init__(self, now: float) -> None:
        """Start as if a node had been removed just now."""
        self.leases_expired_at = now + LEASE_EXPIRY_DELAY

    def note(self, now: float) -> None:
        """Take note of a removal."""
        self.leases_expired_at = now + LEASE_EXPIRY_DELAY

    def are_leases_expired(self, now: float) -> bool:
        """Return whether no removed node can hold a lease any more."""
        return now > self.leases_expired_at

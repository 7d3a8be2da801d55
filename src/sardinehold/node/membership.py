"""Fleet members, the removal of their entries, and its effects on other nodes.

VMs are replaced daily, and entries in the store do not expire. An entry that is not
removed keeps its share of rates and connections, and every change of leader or primary
waits for its node.
"""

import math
import typing

from sardinehold import errors
from sardinehold.node import clock
from sardinehold.node import primary_lease

REMOVAL_DELAY = 8.0
"""Seconds without a report after which a member's entry is removed: a planned restart
takes at most six seconds to stop and one to start."""

STATEMENT_LIMIT = 4.0
"""Maximum seconds that a statement takes, from the longest timeout of the routes."""

CONTACT_LIMIT = 3.0
"""Maximum seconds for which a removed node may still be in contact with others."""

LEASE_EXPIRY_DELAY = (CONTACT_LIMIT + primary_lease.LEASE) * (1 + 2 * clock.RATE_MARGIN)
"""Seconds after a removal during which the removed node may still hold a lease: it
reads of the removal in the store, or has no contact with any node."""

LAST_ANSWER_DELAY = LEASE_EXPIRY_DELAY + STATEMENT_LIMIT
"""Seconds after a removal during which the removed node may still acknowledge a commit
to a caller."""


class Member:
    """Node as described by its entry in the store.

    :param host: address at which other nodes reach it.
    :param port: its port for datagrams and links.
    :param incarnation: identifier that differs between the processes of one VM.
    :param weight: its share of the work relative to other nodes.
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
        """Store the fields of the entry."""
        self.name = name
        self.zone = zone
        self.host = host
        self.port = port
        self.incarnation = incarnation
        self.weight = weight

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which other nodes reach the member."""
        return self.host, self.port

    def dump(self) -> dict:
        """Return the entry as it is stored."""
        return {
            "zone": self.zone,
            "host": self.host,
            "port": self.port,
            "incarnation": self.incarnation,
            "weight": self.weight,
        }


def parse_member(name: str, value: typing.Any) -> Member:
    """Parse a member's entry.

    :raises sardinehold.errors.DocumentError: the entry is malformed.
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
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise errors.DocumentError(
            f"The entry of member {name} cannot be read: {error!r}.",
            "Restart that node; it writes its entry again.",
        ) from error


class Absences:
    """Members without recent reports, and the time since when."""

    __slots__ = ("_silent_since",)

    def __init__(self) -> None:
        """Initialize with no absent members."""
        self._silent_since: dict[str, float] = {}

    def note(self, silent: typing.Collection[str], now: float) -> None:
        """Record the members that do not report at ``now``."""
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
    """Member removals as observed by a node.

    :param now: start of the node; it has no information on earlier removals.
    """

    __slots__ = ("leases_expired_at",)

    def __init__(self, now: float) -> None:
        """Initialize as if a node had been removed at ``now``."""
        self.leases_expired_at = now + LEASE_EXPIRY_DELAY

    def note(self, now: float) -> None:
        """Record a removal."""
        self.leases_expired_at = now + LEASE_EXPIRY_DELAY

    def are_leases_expired(self, now: float) -> bool:
        """Return whether the leases of all removed nodes have expired."""
        return now > self.leases_expired_at

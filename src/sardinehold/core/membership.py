"""Fleet membership and the quorums derived from it.

The object ``members/current`` holds the members and, until the latest changes
are acknowledged by all nodes, the earlier member sets and the incarnations
that were removed while they might still have held a lease.
"""

import hashlib
import math

from sardinehold import objects
from sardinehold import views
from sardinehold.core import view as core_view

PENDING_LIMIT = 32
"""Pending changes beyond which further joins have to wait."""

DIGEST_BYTES = 8

CONFIRM_SHARE = (2, 3)
"""Numerator and denominator of the share of members that confirms a view."""


def order_vms(key: str, vms: list[str]) -> list[str]:
    """Return ``vms`` in order of preference for ``key``.

    Rendezvous hashing: D. Thaler and C. Ravishankar, "A Name-Based Mapping
    Scheme for Rendezvous", 1996. Removing a VM remaps only its own keys.
    """
    return sorted(vms, key=lambda vm: _digest(f"{key} {vm}"), reverse=True)


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def count_confirm_quorum(size: int) -> int:
    """Return how many of ``size`` members must confirm a view."""
    return math.ceil(size * CONFIRM_SHARE[0] / CONFIRM_SHARE[1])


def count_fence_quorum(size: int) -> int:
    """Return how many acknowledgements prevent a quorum for an older view.

    Any set of that many members intersects every quorum that confirms a view.
    """
    return size - count_confirm_quorum(size) + 1


class Record:
    """The parsed object ``members/current``.

    :param removed: ``vm/incarnation`` of removed nodes that may still hold a
        lease.
    :param earlier: earlier member sets from which a lease may still derive.
    """

    __slots__ = ("version", "members", "removed", "earlier", "_zones")

    def __init__(self, stored: objects.StoredObject | None) -> None:
        """Parse the stored object; None stands for a fleet without members."""
        value = {"members": {}} if stored is None else stored.value
        self.version = 0 if stored is None else stored.version
        self.members: dict[str, core_view.Member] = views.parse_members(stored)
        self.removed = frozenset(value.get("removed", ()))
        self.earlier = _undo_changes(set(self.members), value.get("earlier", []))
        self._zones: dict[str, list[str]] = {}
        for vm, member in self.members.items():
            self._zones.setdefault(member.zone, []).append(vm)
        for zone, vms in self._zones.items():
            self._zones[zone] = order_vms(zone, vms)

    def list_sets(self) -> list[set[str]]:
        """Return the current and all earlier member sets, newest first."""
        return [set(self.members), *self.earlier]

    def is_member(self, vm: str, incarnation: str) -> bool:
        """Return whether this incarnation of a VM is a member."""
        member = self.members.get(vm)
        return member is not None and member.incarnation == incarnation

    def list_zone(self, zone: str) -> list[str]:
        """Return the VMs of a zone in the order in which relays are chosen."""
        return self._zones.get(zone, [])

    def list_zones(self) -> list[str]:
        """Return the names of all zones that have members."""
        return sorted(self._zones)


def _undo_changes(current: set[str], changes: list[dict]) -> list[set[str]]:
    sets = []
    for change in reversed(changes):
        current = (current - set(change["joined"])) | set(change["left"])
        sets.append(current)
    return sets


def add_member(
    value: dict | None, member: core_view.Member, change_id: str
) -> dict | None:
    """Return the value with ``member`` added, None if the join has to wait.

    An earlier incarnation of the VM is recorded as removed.
    """
    value = value or {"members": {}}
    if len(value.get("earlier", ())) >= PENDING_LIMIT:
        return None
    held = value["members"].get(member.vm)
    removed = list(value.get("removed", ()))
    earlier = list(value.get("earlier", ()))
    if held is None:
        earlier.append({"joined": [member.vm], "left": []})
    elif held["incarnation"] != member.incarnation:
        removed.append(f"{member.vm}/{held['incarnation']}")
    members = value["members"] | {member.vm: views.dump_member(member)}
    return _make_value(members, removed, earlier, change_id)


def remove_member(value: dict, vm: str, clean: bool, change_id: str) -> dict:
    """Return the value without ``vm``.

    :param clean: whether the node has released its lease itself.
    """
    members = dict(value["members"])
    held = members.pop(vm)
    removed = list(value.get("removed", ()))
    if not clean:
        removed.append(f"{vm}/{held['incarnation']}")
    earlier = [*value.get("earlier", ()), {"joined": [], "left": [vm]}]
    return _make_value(members, removed, earlier, change_id)


def mark_leaving(value: dict, vm: str, change_id: str) -> dict:
    """Return the value with ``vm`` marked as leaving."""
    member = value["members"][vm] | {"leaving": True}
    members = value["members"] | {vm: member}
    return _make_value(
        members, value.get("removed", ()), value.get("earlier", ()), change_id
    )


def clear_pending_changes(value: dict, change_id: str) -> dict:
    """Return the value without earlier sets and removed incarnations.

    Called once all nodes have acknowledged the changes.
    """
    return _make_value(value["members"], (), (), change_id)


def _make_value(
    members: dict, removed: list | tuple, earlier: list | tuple, change_id: str
) -> dict:
    return {
        "members": members,
        "removed": list(removed),
        "earlier": list(earlier),
        "change_id": change_id,
    }

"""Conversion between the view and the platform's objects."""

from sardinehold import document
from sardinehold import errors
from sardinehold import objects
from sardinehold.core import snapshot as snapshots
from sardinehold.core import view as views


class ViewBuilder:
    """Builder of views from snapshots that parses each document version only once.

    :param refused: number of documents that were not valid, or older.
    """

    __slots__ = ("refused", "_version", "_document")

    def __init__(self) -> None:
        """Start without a document."""
        self.refused = 0
        self._version = 0
        self._document: document.Document | None = None

    def build(self, snapshot: snapshots.Snapshot) -> views.View | None:
        """Return the view of ``snapshot``, None if there is no valid document yet.

        A document that is not valid, or older than the one in force, changes nothing,
        so that a node that acknowledges the version acts on its groups and members.
        """
        stored = snapshot.find("document", "current")
        if stored is None:
            return None
        if stored.version != self._version:
            self._version = stored.version
            self._read_document(stored.value)
        if self._document is None:
            return None
        return views.View(
            version=snapshot.version,
            document=self._document,
            groups={
                name: parse_group_state(name, item.value)
                for name, item in snapshot.find_all("group-state").items()
            },
            members=parse_members(snapshot.find("members", "current")),
            roles={
                name: parse_role(name, item.value)
                for name, item in snapshot.find_all("role").items()
            },
            leaving=parse_leaving(snapshot.find("leaving", "endpoints")),
            token_keys=parse_token_keys(snapshot.find("secret", "token-keys")),
        )

    def _read_document(self, value: dict) -> None:
        held = self._document
        try:
            read = document.parse_document(value, strict=False)
        except errors.DocumentError:
            self.refused += 1
            return
        if held is not None and read.version < held.version:
            self.refused += 1
            return
        self._document = read


def parse_group_state(name: str, value: dict) -> views.GroupState:
    """Return the state in the value of an object of kind ``group-state``."""
    return views.GroupState(
        name,
        value["term"],
        value["primary"],
        views.Phase(value.get("phase", "serving")),
        tuple(
            views.TermStart(start["term"], start["offset"])
            for start in value.get("history", ())
        ),
        value.get("change_id", ""),
    )


def dump_group_state(state: views.GroupState) -> dict:
    """Return the value to store; the inverse of :func:`parse_group_state`."""
    return {
        "name": state.name,
        "term": state.term,
        "primary": state.primary,
        "phase": state.phase.value,
        "history": [
            {"term": start.term, "offset": start.offset} for start in state.history
        ],
        "change_id": state.change_id,
    }


def parse_members(stored: objects.StoredObject | None) -> dict[str, views.Member]:
    """Return the members in the object ``members/current``, by VM."""
    if stored is None:
        return {}
    return {
        vm: parse_member(vm, entry) for vm, entry in stored.value["members"].items()
    }


def parse_member(vm: str, entry: dict) -> views.Member:
    """Return the member in one entry of the object ``members/current``."""
    return views.Member(
        vm,
        entry["zone"],
        entry["address"],
        entry["incarnation"],
        entry.get("leaving", False),
    )


def dump_member(member: views.Member) -> dict:
    """Return the value to store; the inverse of :func:`parse_member`."""
    return {
        "zone": member.zone,
        "address": member.address,
        "incarnation": member.incarnation,
        "leaving": member.leaving,
    }


def parse_role(name: str, value: dict) -> views.RoleHolder:
    """Return the role holder in the value of an object of kind ``role``."""
    return views.RoleHolder(
        name,
        value["vm"],
        value["incarnation"],
        value["epoch"],
        value.get("change_id", ""),
    )


def dump_role(holder: views.RoleHolder) -> dict:
    """Return the value to store; the inverse of :func:`parse_role`."""
    return {
        "role": holder.role,
        "vm": holder.vm,
        "incarnation": holder.incarnation,
        "epoch": holder.epoch,
        "change_id": holder.change_id,
    }


def parse_leaving(stored: objects.StoredObject | None) -> frozenset[str]:
    """Return the endpoints in the object ``leaving/endpoints``."""
    if stored is None:
        return frozenset()
    return frozenset(stored.value["endpoints"])


def parse_token_keys(stored: objects.StoredObject | None) -> tuple[bytes, ...]:
    """Return the keys in the object ``secret/token-keys``."""
    if stored is None:
        return ()
    return tuple(bytes.fromhex(key) for key in stored.value["keys"])

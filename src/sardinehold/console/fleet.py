"""What the console knows of the fleet: status of VMs, groups and hand-overs."""

import typing

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects

KINDS = ("status", "members", "group-state", "handover")
"""Kinds of objects that the status page reads, in one call."""

Labels = tuple[tuple[str, str], ...]


class Vm:
    """What a VM last said of itself.

    :param version: of the document that is in force there.
    :param state: ``serving``, ``reading`` (writes wait), ``cut off`` or
        ``leaving`` as it says, ``silent`` when it is a member without a status.
    """

    __slots__ = ("name", "zone", "version", "state")

    def __init__(self, name: str, zone: str, version: int, state: str) -> None:
        """Keep the parts."""
        self.name = name
        self.zone = zone
        self.version = version
        self.state = state


class Fleet:
    """A snapshot of the fleet.

    :param vms: by name.
    :param groups: value of ``group-state`` by name of the group.
    :param handovers: pending hand-overs by name of the group.
    :param counters: summed over all VMs.
    :param histograms: encoded, by name, one for each VM that has it.
    """

    __slots__ = ("vms", "groups", "handovers", "counters", "histograms")

    def __init__(self) -> None:
        """Start with an empty fleet."""
        self.vms: dict[str, Vm] = {}
        self.groups: dict[str, dict] = {}
        self.handovers: dict[str, dict] = {}
        self.counters: dict[str, int] = {}
        self.histograms: dict[str, list[str]] = {}

    def count_in_force(self, version: int) -> int:
        """Return on how many VMs a version of the document is in force."""
        return sum(1 for vm in self.vms.values() if vm.version >= version)

    def list_furthest_behind(self, count: int) -> list[Vm]:
        """Return VMs in the order of their versions, the furthest behind first."""
        order = sorted(self.vms.values(), key=lambda vm: (vm.version, vm.name))
        return order[:count]

    def format_in_force(self, version: int) -> str:
        """Return the sentence that operators read about a version."""
        if not self.vms:
            return "no VM has reported yet"
        done, total = self.count_in_force(version), len(self.vms)
        return f"in force on {done} of {total} VMs"

    def sum_counter(self, name: str, **labels: str) -> int:
        """Return the sum of a counter over all values of the other labels."""
        return sum(
            amount
            for full, amount in self.counters.items()
            if _matches(full, name, labels)
        )

    def list_labels(self, name: str, label: str) -> list[str]:
        """Return the values of a label of a counter."""
        split = (metrics.split_name(full) for full in self.counters)
        found = {labels.get(label) for bare, labels in split if bare == name}
        return sorted(value for value in found if value)

    def read_percentile(self, name: str, percentile: float) -> float | None:
        """Return a percentile over all VMs in seconds, None if none was seen."""
        encoded = self.histograms.get(name, [])
        merged = metrics.merge_histograms(encoded)
        if not merged.get_total_count():
            return None
        return merged.get_value_at_percentile(percentile) / 1e6


def _matches(full: str, name: str, labels: dict[str, str]) -> bool:
    bare, found = metrics.split_name(full)
    return bare == name and labels.items() <= found.items()


async def read_fleet(client: objects.ObjectClient) -> Fleet:
    """Return what the platform's objects say of the fleet."""
    listed = await client.list(KINDS)
    fleet = Fleet()
    members = {}
    for item in listed.objects:
        value = item.value or {}
        if item.kind == "status":
            _add_zone(fleet, item.name, value)
        elif item.kind == "members":
            members = value.get("members", {})
        elif item.kind == "group-state":
            fleet.groups[item.name] = value
        elif item.kind == "handover":
            fleet.handovers[item.name] = value
    _apply_members(fleet, members)
    return fleet


def _add_zone(fleet: Fleet, zone: str, value: dict) -> None:
    for name, report in value.get("vms", {}).items():
        version = int(report.get("document_version", 0))
        state = str(report.get("state", ""))
        fleet.vms[name] = Vm(name, zone, version, state)
        for counter, amount in report.get("counters", {}).items():
            fleet.counters[counter] = fleet.counters.get(counter, 0) + amount
        for histogram, encoded in report.get("histograms", {}).items():
            fleet.histograms.setdefault(histogram, []).append(encoded)


def _apply_members(fleet: Fleet, members: dict[str, dict]) -> None:
    """Add silent members, and drop VMs that are no members any more."""
    if not members:
        return
    fleet.vms = {name: vm for name, vm in fleet.vms.items() if name in members}
    for name, member in members.items():
        if name not in fleet.vms:
            fleet.vms[name] = Vm(name, member.get("zone", ""), 0, "silent")


async def list_platform_groups(
    client: objects.ObjectClient,
) -> dict[str, dict[str, typing.Any]]:
    """Return the endpoints of each database group that the platform runs."""
    try:
        listed = await client.list_groups()
    except errors.PlatformError:
        return {}
    return {
        item.name: (item.value or {}).get("endpoints", {}) for item in listed.objects
    }

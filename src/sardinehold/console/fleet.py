"""State of the fleet as seen by the console: VMs, groups and handovers."""

import typing

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects

KINDS = ("status", "members", "group-state", "handover")
"""Kinds of objects that the status page reads in one request."""

Labels = tuple[tuple[str, str], ...]


class Vm:
    """The last status that a VM reported.

    :param version: version of the document that is in force on the VM.
    :param state: ``serving``, ``reading`` (writes wait), ``cut off`` or ``leaving``
        as reported, ``silent`` for a member without a status.
    """

    __slots__ = ("name", "zone", "version", "state")

    def __init__(self, name: str, zone: str, version: int, state: str) -> None:
        """Initialise the status."""
        self.name = name
        self.zone = zone
        self.version = version
        self.state = state


class Fleet:
    """A snapshot of the fleet.

    :param vms: VMs by name.
    :param groups: values of ``group-state`` objects by group name.
    :param handovers: pending handovers by group name.
    :param counters: counters by full name, summed over all VMs.
    :param histograms: encoded histograms by name, one for each VM that reports it.
    """

    __slots__ = ("vms", "groups", "handovers", "counters", "histograms")

    def __init__(self) -> None:
        """Initialise an empty snapshot."""
        self.vms: dict[str, Vm] = {}
        self.groups: dict[str, dict] = {}
        self.handovers: dict[str, dict] = {}
        self.counters: dict[str, int] = {}
        self.histograms: dict[str, list[str]] = {}

    def count_in_force(self, version: int) -> int:
        """Return the number of VMs on which a version of the document is in force."""
        return sum(1 for vm in self.vms.values() if vm.version >= version)

    def list_furthest_behind(self, count: int) -> list[Vm]:
        """Return up to ``count`` VMs ordered by document version, oldest first."""
        order = sorted(self.vms.values(), key=lambda vm: (vm.version, vm.name))
        return order[:count]

    def format_in_force(self, version: int) -> str:
        """Return a text for operators on how many VMs a version is in force."""
        if not self.vms:
            return "no VM has reported yet"
        done, total = self.count_in_force(version), len(self.vms)
        return f"in force on {done} of {total} VMs"

    def sum_counter(self, name: str, **labels: str) -> int:
        """Return the sum of a counter over all values of the other labels."""
        return sum(
            amount
            for full_name, amount in self.counters.items()
            if _matches(full_name, name, labels)
        )

    def list_labels(self, name: str, label: str) -> list[str]:
        """Return the sorted values of a label of a counter."""
        split = (metrics.split_name(full_name) for full_name in self.counters)
        found = {labels.get(label) for base_name, labels in split if base_name == name}
        return sorted(value for value in found if value)

    def read_percentile(self, name: str, percentile: float) -> float | None:
        """Return a percentile over all VMs in seconds, None without samples."""
        encoded = self.histograms.get(name, [])
        merged = metrics.merge_histograms(encoded)
        if not merged.get_total_count():
            return None
        return merged.get_value_at_percentile(percentile) / 1e6


def _matches(full_name: str, name: str, labels: dict[str, str]) -> bool:
    base_name, found = metrics.split_name(full_name)
    return base_name == name and labels.items() <= found.items()


async def read_fleet(client: objects.ObjectClient) -> Fleet:
    """Return a snapshot of the fleet from the platform's objects."""
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
    """Add members without a status and drop VMs that are no longer members."""
    if not members:
        return
    fleet.vms = {name: vm for name, vm in fleet.vms.items() if name in members}
    for name, member in members.items():
        if name not in fleet.vms:
            fleet.vms[name] = Vm(name, member.get("zone", ""), 0, "silent")


async def list_platform_groups(
    client: objects.ObjectClient,
) -> dict[str, dict[str, typing.Any]]:
    """Return the endpoints of each database group of the platform.

    Empty if the request to the platform fails.
    """
    try:
        listed = await client.list_groups()
    except errors.PlatformError:
        return {}
    return {
        item.name: (item.value or {}).get("endpoints", {}) for item in listed.objects
    }

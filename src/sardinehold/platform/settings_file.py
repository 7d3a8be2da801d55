"""Reader of the settings file that the platform writes for a process."""

import pathlib
import tomllib
import typing

from sardinehold import errors
from sardinehold.node import settings
from sardinehold.platform import records

SETTINGS_VARIABLE = "SARDINEHOLD_SETTINGS"
"""Environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""Port of the metrics page; must equal the one in ``deploy/system.toml``."""


LINK_MBPS_PER_CORE = 20.0
"""Megabits per second that one core can forward: a thousand statements of 2 KB."""


class _Reader:
    """Reads fields of a table and collects the invalid ones."""

    def __init__(self, table: dict) -> None:
        self.table = table
        self.faults: list[str] = []

    def take(self, path: str, kind: type | tuple[type, ...], default: object) -> object:
        """Return the field at a dotted path; it is required if default is ``...``."""
        found: typing.Any = self.table
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        if found is None and default is not ...:
            return default
        if not isinstance(found, kind) or isinstance(found, bool):
            self.faults.append(f"{path} = {found!r}")
            return default if default is not ... else kind()
        return found

    def take_address(self, path: str) -> tuple[str, int]:
        """Return a required ``host:port`` field as host and port."""
        text = self.take(path, str, ...)
        try:
            return records.split_address(text)
        except ValueError:
            self.faults.append(f"{path} = {text!r}")
            return "", 0


def _compute_weight(reader: _Reader) -> float:
    """Return the VM's capacity in cores, limited by the bandwidth of its link."""
    number = (int, float)
    # "CpuShare" is the fraction of a core; "CpuCores" is that core's relative speed.
    share = reader.take("Limits.CpuShare", number, 1.0)
    cores = share * reader.take("Limits.CpuCores", number, 1)
    carried = (
        reader.take("Limits.LinkMbps", number, LINK_MBPS_PER_CORE) / LINK_MBPS_PER_CORE
    )
    weight = min(cores, carried)
    if weight <= 0:
        reader.faults.append(f"Limits.CpuShare, CpuCores, LinkMbps yield {weight}")
        return 1.0
    return weight


def _take_evacuation_limit(reader: _Reader) -> float | None:
    """Return the limit in seconds, None if zones are not evacuated here."""
    limit = reader.take("Bounds.EvacuationMs", (int, float), None)
    return None if limit is None else limit * records.MS


def load(path: pathlib.Path) -> settings.Settings:
    """Read and validate the settings file.

    :raises sardinehold.errors.SettingsError: the file cannot be read, or
        fields are invalid; the message names all of them.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError(
            f"{path} cannot be read: {error}.",
            f"Set {SETTINGS_VARIABLE} to the path of a readable TOML file.",
        ) from error
    return parse(table, str(path))


def parse(table: dict, path: str) -> settings.Settings:
    """Build the settings from a parsed table; see :func:`load`."""
    reader = _Reader(table)
    ports = reader.take("InternalPorts", list, ...)
    if not ports or not all(isinstance(port, int) for port in ports):
        reader.faults.append(f"InternalPorts = {ports!r}")
        ports = [0]
    number = (int, float)
    loaded = settings.Settings(
        reader.take("NodeName", str, ...),
        reader.take("Zone", str, ...),
        reader.take("Zones", dict, {}),
        reader.take_address("BindAddresses.Frontend"),
        reader.take_address("BindAddresses.Readiness"),
        (reader.take("Ip", str, ...), ports[0]),
        METRICS_PORT,
        reader.take_address("platform.Address"),
        reader.take_address("CloudApi.Address"),
        float(reader.take("Bounds.GracePeriodS", number, 6)),
        reader.take("Bounds.DrainMs", number, 7000) * records.MS,
        float(reader.take("Bounds.QuotaWindowS", number, 5)),
        float(reader.take("Bounds.QuotaOverage", number, 0.1)),
        float(reader.take("Bounds.QuotaSlack", number, 20)),
        _compute_weight(reader),
        _take_evacuation_limit(reader),
        cold_overage=float(reader.take("Bounds.ColdOverage", number, 1.5)),
        cold_slack=float(reader.take("Bounds.ColdSlack", number, 5)),
        memory_mb=reader.take("Limits.MemoryMb", number, None),
        max_fds=reader.take("Limits.MaxFds", number, None),
    )
    if reader.faults:
        raise errors.SettingsError(
            f"{path}: invalid fields: {'; '.join(reader.faults)}.",
            "Compare them with the platform's documentation of settings.",
        )
    return loaded

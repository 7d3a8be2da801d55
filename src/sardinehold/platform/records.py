"""Decoders of the configuration and endpoint records in the platform's store.

This is the only module that uses the field names of these records.
"""

import ipaddress
import typing

from sardinehold import errors
from sardinehold.node import catalog
from sardinehold.node import evacuations
from sardinehold.platform import lines

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"
EVACUATION_KIND = "evacuations"

_CONSISTENCIES = {
    "primary": catalog.Consistency.LATEST,
    "bounded": catalog.Consistency.BOUNDED,
    "read_your_writes": catalog.Consistency.SESSION,
}

MS = 0.001
"""Seconds per millisecond."""

_DEFAULT_TRANSACTION_IDLE_MS = 3000
"""Idle timeout of transactions if the configuration states none, as in the example of
the protocol documentation."""

_STATES = frozenset({"ready", "draining"})
_ROLES = {"primary": True, "replica": False}


def parse_catalog(value: typing.Any) -> catalog.Catalog:
    """Decode the configuration stored under ``config/main``.

    :raises sardinehold.errors.DocumentError: it is malformed.
    """
    try:
        return _parse_catalog(value)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise errors.DocumentError(
            f"The stored configuration is malformed: {error!r}.",
            "Write a corrected version; the previous one stays in force until then.",
        ) from error


def _parse_catalog(value: dict) -> catalog.Catalog:
    teams: dict[str, catalog.Team] = {}
    teams_by_key: dict[str, str] = {}
    for entry in value.get("Tenants", ()):
        team = catalog.Team(
            entry["Name"],
            float(entry["RatePerS"]),
            float(entry["Burst"]),
            int(entry.get("Priority", 0)),
            _parse_regions(entry),
        )
        teams[team.name] = team
        for key in entry["ApiKeys"]:
            teams_by_key[key] = team.name
    idle = value.get("Limits", {}).get("TxIdleMs", _DEFAULT_TRANSACTION_IDLE_MS)
    # "Host" is the database name in a caller's START; "Name" is only a label.
    routes = {entry["Host"]: _parse_route(entry) for entry in value["Routes"]}
    groups = {entry["Name"]: _parse_group(entry) for entry in value["Services"]}
    return catalog.Catalog(
        int(value["Version"]),
        routes,
        teams,
        teams_by_key,
        groups,
        float(idle) * MS,
        _find_unnameable([*teams, *groups]),
    )


def _find_unnameable(names: typing.Iterable[str]) -> frozenset[str]:
    """Return the names that no START line can hold."""
    return frozenset(name for name in names if name and not lines.is_field(name))


def _parse_route(entry: dict) -> catalog.Route:
    return catalog.Route(
        entry["Host"],
        entry["Service"],
        _CONSISTENCIES[entry["Kind"]],
        float(entry.get("MaxStalenessMs", 0)) * MS,
        float(entry["TimeoutMs"]) * MS,
        float(entry["TargetLatencyMs"]) * MS,
        int(entry.get("Priority", 0)),
        bool(entry.get("Public", False)),
        _parse_regions(entry),
    )


def _parse_regions(entry: dict) -> frozenset[str]:
    regions = entry.get("AllowedRegions", [])
    if not isinstance(regions, list) or not all(
        isinstance(region, str) for region in regions
    ):
        raise TypeError(f"AllowedRegions is {regions!r}")
    return frozenset(regions)


def _parse_group(entry: dict) -> catalog.Group:
    return catalog.Group(
        entry["Name"],
        int(entry["MaxConnections"]),
        int(entry.get("SyncReplicas", 0)),
        max(0.0, float(entry.get("ColdPerS", 0))),
        max(0.0, float(entry.get("ColdStartS", 0))),
    )


def parse_endpoint(name: str, value: typing.Any) -> catalog.EndpointRecord:
    """Decode the record that an endpoint publishes about itself.

    :raises sardinehold.errors.DocumentError: the entry is not a valid endpoint
        record; another program may have written it.
    """
    try:
        return _parse_endpoint(name, value)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise errors.DocumentError(
            f"Entry {name} is not a valid endpoint record: {error!r}.",
            "Check which program writes it; it is ignored until it changes.",
        ) from error


def _parse_endpoint(name: str, value: dict) -> catalog.EndpointRecord:
    if value["State"] not in _STATES:
        raise ValueError(f"state {value['State']!r}")
    host, port = split_address(_require(value, "Address", str))
    return catalog.EndpointRecord(
        lines.check_field(name),
        lines.check_field(_require(value, "Service", str)),
        str(ipaddress.IPv4Address(host)),
        port,
        _require(value, "Zone", str),
        # "Capacity" is the number of statements that the endpoint runs concurrently.
        max(1, _require(value, "Capacity", int)),
        value["State"] == "draining",
        _ROLES[value["DatabaseRole"]],
        _require(value, "born", int) if "born" in value else 0,
        _parse_cold(value),
    )


def parse_evacuation(name: str, value: typing.Any) -> evacuations.Entry:
    """Decode an evacuation: its name is the zone, and its value is empty.

    The name alone holds the meaning, so that a value of another form is a fault of the
    entry and no error.
    """
    return evacuations.Entry(name, "" if value == {} else f"its value is {value!r:.80}")


def _parse_cold(value: dict) -> float | None:
    """Return the seconds for which an endpoint is still cold, None if not stated."""
    if "ColdMs" not in value:
        return None
    left = _require(value, "ColdMs", (int, float)) * MS
    if not 0 <= left < float("inf"):
        raise ValueError(f"ColdMs is {value['ColdMs']!r}")
    return left


def _require(value: dict, name: str, kind: type | tuple[type, ...]) -> typing.Any:
    found = value[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f"{name} is {found!r}")
    return found


def split_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port.

    :raises ValueError: the text has another form, or the port is out of range.
    """
    host, colon, port = text.rpartition(":")
    number = int(port)
    if not colon or not host or not 0 < number < 65536:
        raise ValueError(f"address {text!r}")
    return host, number


class Sources:
    """Locations and decoders of the stored records; implements a port of the node."""

    configuration_kind = CONFIGURATION_KIND
    configuration_name = CONFIGURATION_NAME
    endpoint_kind = ENDPOINT_KIND
    evacuation_kind = EVACUATION_KIND

    parse_catalog = staticmethod(parse_catalog)
    parse_endpoint = staticmethod(parse_endpoint)
    parse_evacuation = staticmethod(parse_evacuation)

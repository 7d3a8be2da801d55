"""Addresses and keys of the fleet under test."""

import json
import pathlib

from sardinehold import errors


class Fleet:
    """A running fleet, as described by its launcher.

    :param proxies: addresses for callers, ``host:port``.
    :param keys: API key by team.
    :param routes: name of the route by team.
    :param controls: URL of the control API of each stand-in, by endpoint.
    :param platform: URL of the platform.
    """

    __slots__ = ("proxies", "keys", "routes", "controls", "platform")

    def __init__(
        self,
        proxies: list[str],
        keys: dict[str, str],
        routes: dict[str, str],
        controls: dict[str, str],
        platform: str,
    ) -> None:
        """Create the description of a fleet."""
        self.proxies = proxies
        self.keys = keys
        self.routes = routes
        self.controls = controls
        self.platform = platform


def load_fleet(path: pathlib.Path) -> Fleet:
    """Read a fleet from the JSON file that its launcher writes.

    :raises errors.SettingsError: the file is missing, malformed or incomplete.
    """
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
        return Fleet(**data)
    except (OSError, ValueError, TypeError) as error:
        raise errors.SettingsError(
            f"Fleet file {path} cannot be used: {error!r}.",
            "Specify the fleet.json that the launcher of the fleet wrote.",
        ) from error

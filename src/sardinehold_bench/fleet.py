"""Addresses and keys of a running fleet that is put under load."""

import json
import pathlib

from sardinehold import errors


class Fleet:
    """A running fleet.

    :param proxies: addresses for callers, ``host:port``.
    :param keys: key by team.
    :param routes: route by team.
    :param controls: control URL of each endpoint stand-in, by endpoint.
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
        """Keep the parts of the fleet."""
        self.proxies = proxies
        self.keys = keys
        self.routes = routes
        self.controls = controls
        self.platform = platform


def load_fleet(path: pathlib.Path) -> Fleet:
    """Read a fleet from the JSON file that its launcher wrote.

    :raises errors.SettingsError: the file is missing or not complete.
    """
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
        return Fleet(**data)
    except (OSError, ValueError, TypeError) as error:
        raise errors.SettingsError(
            f"Fleet file {path} cannot be used: {error!r}.",
            "Name the fleet.json that the launcher of the fleet wrote.",
        ) from error

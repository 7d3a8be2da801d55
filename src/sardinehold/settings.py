"""INI settings of a process, checked before anything starts."""

import pathlib


class Tls:
    """Certificate files of one side; all empty means no TLS.

    :param certificate: path of the certificate chain, PEM.
    :param key: path of its private key, PEM.
    :param authority: path of the authorities that peers must be signed by.
    """

    __slots__ = ("certificate", "key", "authority")

    def __init__(
        self, certificate: str = "", key: str = "", authority: str = ""
    ) -> None:
        """Keep the paths."""
        self.certificate = certificate
        self.key = key
        self.authority = authority


class ProxySettings:
    """Settings of a proxy process; sections [vm], [proxy], [platform], [tls].

    :param vm: name of the VM, unique in the fleet.
    :param zone: its availability zone.
    :param listen: ``host:port`` for callers; port 0 takes a free one.
    :param peer_listen: ``host:port`` of the peer service.
    :param metrics_listen: ``host:port`` of the metrics page, ``""`` for none.
    :param platform_url: base URL of the platform's object API.
    :param timeline: path of the events file, ``""`` for none.
    :param drain_deadline: seconds that a planned stop may take.
    """

    __slots__ = (
        "vm",
        "zone",
        "listen",
        "peer_listen",
        "metrics_listen",
        "platform_url",
        "timeline",
        "drain_deadline",
        "caller_tls",
        "endpoint_tls",
        "peer_tls",
        "platform_tls",
    )

    def __init__(
        self,
        vm: str,
        zone: str,
        listen: str,
        peer_listen: str,
        platform_url: str,
        metrics_listen: str = "",
        timeline: str = "",
        drain_deadline: float = 30.0,
        caller_tls: Tls | None = None,
        endpoint_tls: Tls | None = None,
        peer_tls: Tls | None = None,
        platform_tls: Tls | None = None,
    ) -> None:
        """Keep the settings."""
        self.vm = vm
        self.zone = zone
        self.listen = listen
        self.peer_listen = peer_listen
        self.platform_url = platform_url
        self.metrics_listen = metrics_listen
        self.timeline = timeline
        self.drain_deadline = drain_deadline
        self.caller_tls = caller_tls or Tls()
        self.endpoint_tls = endpoint_tls or Tls()
        self.peer_tls = peer_tls or Tls()
        self.platform_tls = platform_tls or Tls()


class ConsoleSettings:
    """Settings of a console process; sections [vm], [console], [platform], [tls].

    :param listen: ``host:port`` of the forms and the administration API.
    :param bootstrap_key: path of a file with the first operator's key.
    """

    __slots__ = (
        "vm",
        "zone",
        "listen",
        "platform_url",
        "timeline",
        "bootstrap_key",
        "console_tls",
        "platform_tls",
    )

    def __init__(
        self,
        vm: str,
        zone: str,
        listen: str,
        platform_url: str,
        timeline: str = "",
        bootstrap_key: str = "",
        console_tls: Tls | None = None,
        platform_tls: Tls | None = None,
    ) -> None:
        """Keep the settings."""
        self.vm = vm
        self.zone = zone
        self.listen = listen
        self.platform_url = platform_url
        self.timeline = timeline
        self.bootstrap_key = bootstrap_key
        self.console_tls = console_tls or Tls()
        self.platform_tls = platform_tls or Tls()


def load_proxy(path: pathlib.Path) -> ProxySettings:
    """Read and check the settings of a proxy.

    :raises sardinehold.errors.SettingsError: naming every fault with its
        section, key and remedy.
    """
    raise NotImplementedError


def load_console(path: pathlib.Path) -> ConsoleSettings:
    """Read and check the settings of a console.

    :raises sardinehold.errors.SettingsError: naming every fault.
    """
    raise NotImplementedError

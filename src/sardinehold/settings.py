"""INI settings of a process, validated before it starts any service."""

import configparser
import pathlib
import ssl
import typing

from sardinehold import errors
from sardinehold import faults
from sardinehold import options

split_address = options.split_address


class Tls:
    """Certificate files of one kind of connection; all empty means no TLS.

    :param certificate: path of the certificate chain, PEM.
    :param key: path of its private key, PEM.
    :param authority: path of the certificate authorities that must have signed
        the peer's certificate, PEM.
    """

    __slots__ = ("certificate", "key", "authority")

    def __init__(
        self, certificate: str = "", key: str = "", authority: str = ""
    ) -> None:
        """Store the paths."""
        self.certificate = certificate
        self.key = key
        self.authority = authority


class ProxySettings:
    """Settings of a proxy process.

    :param vm: name of the VM, unique in the fleet.
    :param zone: its availability zone.
    :param listen: ``host:port`` for callers; port 0 selects a free port.
    :param peer_listen: ``host:port`` of the peer service.
    :param metrics_listen: ``host:port`` of the metrics page, ``""`` for none.
    :param platform_url: base URL of the platform's object API.
    :param timeline: path of the events file, ``""`` for none.
    :param drain_deadline: seconds that a graceful shutdown may take.
    :param seeds: ``host:port`` of peer services from which the view is requested
        while the platform is unreachable.
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
        "seeds",
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
        seeds: tuple[str, ...] = (),
        caller_tls: Tls | None = None,
        endpoint_tls: Tls | None = None,
        peer_tls: Tls | None = None,
        platform_tls: Tls | None = None,
    ) -> None:
        """Store the settings."""
        self.vm = vm
        self.zone = zone
        self.listen = listen
        self.peer_listen = peer_listen
        self.platform_url = platform_url
        self.metrics_listen = metrics_listen
        self.timeline = timeline
        self.drain_deadline = drain_deadline
        self.seeds = seeds
        self.caller_tls = caller_tls or Tls()
        self.endpoint_tls = endpoint_tls or Tls()
        self.peer_tls = peer_tls or Tls()
        self.platform_tls = platform_tls or Tls()


class ConsoleSettings:
    """Settings of a console process.

    :param vm: name of the VM, unique in the fleet.
    :param zone: its availability zone.
    :param listen: ``host:port`` of the forms and the administration API.
    :param platform_url: base URL of the platform's object API.
    :param timeline: path of the events file, ``""`` for none.
    :param bootstrap_key: path of a file that contains the key of the first operator,
        ``""`` for none.
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
        """Store the settings."""
        self.vm = vm
        self.zone = zone
        self.listen = listen
        self.platform_url = platform_url
        self.timeline = timeline
        self.bootstrap_key = bootstrap_key
        self.console_tls = console_tls or Tls()
        self.platform_tls = platform_tls or Tls()


class InvalidSettings(errors.SettingsError):
    """A settings file is not valid.

    :param found: every fault in the file.
    """

    def __init__(self, path: pathlib.Path, found: list[faults.Fault]) -> None:
        """Store the faults."""
        super().__init__(
            f"{path}: {faults.format_faults(found)}",
            "Nothing was started; `sardinehold check FILE` validates it again.",
        )
        self.faults = found


_VM = (
    options.Option(
        "name", options.convert_name, "name of the VM, unique in the fleet", None, "vm"
    ),
    options.Option("zone", options.convert_name, "availability zone of the VM"),
)
_PLATFORM = (
    options.Option(
        "url",
        options.convert_url,
        "base URL of the platform's object API",
        None,
        "platform_url",
    ),
)
_TIMELINE = (
    options.Option(
        "path",
        options.convert_output_path,
        "file to which events are appended; empty to record none",
        "",
        "timeline",
    ),
)
_TLS = (
    options.Option(
        "certificate", options.convert_input_path, "certificate chain, PEM", ""
    ),
    options.Option(
        "key", options.convert_input_path, "private key of the certificate, PEM", ""
    ),
    options.Option(
        "authority",
        options.convert_input_path,
        "certificate authorities that must have signed the peer's certificate, PEM",
        "",
    ),
)

PROXY_SECTIONS: dict[str, tuple[options.Option, ...]] = {
    "vm": _VM,
    "proxy": (
        options.Option(
            "listen",
            options.convert_address,
            "IP:PORT for callers; port 0 selects a free port",
        ),
        options.Option(
            "peer_listen", options.convert_address, "IP:PORT of the peer service"
        ),
        options.Option(
            "metrics_listen",
            options.convert_optional_address,
            "IP:PORT of the metrics page; empty for none",
            "",
        ),
        options.Option(
            "drain_deadline",
            options.convert_seconds,
            "seconds that a graceful shutdown may take",
            "30",
        ),
        options.Option(
            "seeds",
            options.convert_addresses,
            "IP:PORT of other proxies' peer services, separated by spaces, from which a"
            " proxy started during an outage of the platform requests the view",
            "",
        ),
    ),
    "platform": _PLATFORM,
    "timeline": _TIMELINE,
    "caller_tls": _TLS,
    "endpoint_tls": _TLS,
    "peer_tls": _TLS,
    "platform_tls": _TLS,
}
"""Options of a proxy's settings by section."""

_SERVER_SECTIONS = ("caller_tls", "peer_tls", "console_tls")
"""Sections that configure listening sockets, where this process is the server."""

CONSOLE_SECTIONS: dict[str, tuple[options.Option, ...]] = {
    "vm": _VM,
    "console": (
        options.Option(
            "listen",
            options.convert_address,
            "IP:PORT of the forms and the administration API",
        ),
        options.Option(
            "bootstrap_key",
            options.convert_input_path,
            "file that contains the key of the first operator; empty for none",
            "",
        ),
    ),
    "platform": _PLATFORM,
    "timeline": _TIMELINE,
    "console_tls": _TLS,
    "platform_tls": _TLS,
}
"""Options of a console's settings by section."""


def load_proxy(path: pathlib.Path) -> ProxySettings:
    """Read and validate the settings of a proxy from the INI file ``path``.

    :raises sardinehold.errors.SettingsError: the settings are not valid; the
        message lists every fault with its section, key and remedy.
    """
    return ProxySettings(**_load(pathlib.Path(path), PROXY_SECTIONS))


def load_console(path: pathlib.Path) -> ConsoleSettings:
    """Read and validate the settings of a console from the INI file ``path``.

    :raises sardinehold.errors.SettingsError: the settings are not valid; the
        message lists every fault.
    """
    return ConsoleSettings(**_load(pathlib.Path(path), CONSOLE_SECTIONS))


def load_any(path: pathlib.Path) -> ProxySettings | ConsoleSettings:
    """Read and validate settings of a console if they have its section, else a proxy.

    :raises sardinehold.errors.SettingsError: the settings are not valid; the
        message lists every fault.
    """
    if "console" in _read_sections(pathlib.Path(path)):
        return load_console(path)
    return load_proxy(path)


def _read_sections(path: pathlib.Path) -> dict[str, dict[str, str]]:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be read ({error.strerror}).",
            "Give the path of a settings file that exists and is readable.",
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        problem = str(error).replace("\n", " ")
        raise errors.SettingsError(
            f"{path} is not an INI file: {problem}.",
            "Write [section] lines and `key = value` lines in UTF-8.",
        ) from error
    return {name: dict(parser[name]) for name in parser.sections()}


def _load(
    path: pathlib.Path, sections: dict[str, tuple[options.Option, ...]]
) -> dict[str, typing.Any]:
    values_by_section = _read_sections(path)
    found = _find_unknown(values_by_section, sections)
    values: dict[str, typing.Any] = {}
    for name, section in sections.items():
        converted = _convert_section(name, section, values_by_section.get(name), found)
        if section is _TLS:
            values[name] = _build_tls(name, converted, found)
        else:
            values.update(converted)
    if found:
        raise InvalidSettings(path, found)
    return values


def _find_unknown(
    values_by_section: dict[str, dict[str, str]],
    sections: dict[str, tuple[options.Option, ...]],
) -> list[faults.Fault]:
    found = []
    for name, keys in values_by_section.items():
        if name not in sections:
            remedy = f"Remove it. {faults.suggest_name(name, list(sections))}"
            found.append(faults.Fault(f"[{name}]", "is an unknown section", remedy))
            continue
        known = [option.key for option in sections[name]]
        for key in keys:
            if key not in known:
                remedy = f"Remove it. {faults.suggest_name(key, known)}"
                found.append(
                    faults.Fault(f"[{name}] {key}", "is an unknown key", remedy)
                )
    return found


def _convert_section(
    name: str,
    section: tuple[options.Option, ...],
    values_by_section: dict[str, str] | None,
    found: list[faults.Fault],
) -> dict[str, typing.Any]:
    values = {}
    for option in section:
        text = (values_by_section or {}).get(option.key, option.default)
        place = f"[{name}] {option.key}"
        if text is None:
            missing = (
                "is missing"
                if values_by_section is not None
                else "and its section are missing"
            )
            found.append(faults.Fault(place, missing, f"Add it: {option.doc}."))
            continue
        try:
            values[option.parameter] = option.convert(text)
        except ValueError as error:
            problem, remedy = error.args
            shown = faults.format_value(text)
            found.append(faults.Fault(place, problem, remedy, shown))
    return values


def _build_tls(
    section: str, paths: dict[str, str], found: list[faults.Fault]
) -> Tls | None:
    if len(paths) < len(_TLS):
        return None
    tls = Tls(**paths)
    if bool(tls.certificate) != bool(tls.key):
        found.append(
            faults.Fault(
                f"[{section}]",
                "has only one of certificate and key",
                "Set both, or neither to use no certificate.",
            )
        )
        return None
    if section in _SERVER_SECTIONS and tls.authority and not tls.certificate:
        found.append(
            faults.Fault(
                f"[{section}]",
                "has an authority and no certificate",
                "Set the certificate and its key too.",
            )
        )
    try:
        _check_tls(tls)
    except (ssl.SSLError, OSError, ValueError) as error:
        found.append(
            faults.Fault(
                f"[{section}]",
                f"cannot be loaded ({error})",
                "Give PEM files, and the key that belongs to the certificate.",
            )
        )
    return tls


def _check_tls(tls: Tls) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key, password=_refuse_password)
    if tls.authority:
        context.load_verify_locations(tls.authority)


def _refuse_password() -> str:
    raise ValueError("the private key is encrypted")

"""Scenarios in INI files: a deployment, its teams and traffic, and planned faults."""

import configparser
import pathlib

from sardinehold import errors

SCENARIOS = pathlib.Path(__file__).parent / "scenarios"


class Deployment:
    """Sizes and latencies of a deployment.

    :param endpoint_latency: one-way latency between proxy and endpoint, in seconds.
    :param connect_delay: time to open a connection to an endpoint, in seconds.
    :param replica_lag: lag of each replica in seconds, in the order of the
        endpoints.
    """

    __slots__ = (
        "name",
        "zones",
        "proxies",
        "groups",
        "slots",
        "connections",
        "endpoint_latency",
        "connect_delay",
        "replica_lag",
    )

    def __init__(
        self,
        name: str,
        zones: tuple[str, ...],
        proxies: int,
        groups: tuple[str, ...],
        slots: int,
        connections: int,
        endpoint_latency: float,
        connect_delay: float,
        replica_lag: tuple[float, ...],
    ) -> None:
        """Create the deployment."""
        self.name = name
        self.zones = zones
        self.proxies = proxies
        self.groups = groups
        self.slots = slots
        self.connections = connections
        self.endpoint_latency = endpoint_latency
        self.connect_delay = connect_delay
        self.replica_lag = replica_lag


class TeamLoad:
    """Rate limit and demand of a team.

    :param rate: allowed statements per second.
    :param demand: statements per second that the team sends.
    :param surge: factor applied to the demand during a surge.
    :param aged: reads accept data as old as the scenario's ``max_age``.
    """

    __slots__ = ("name", "rate", "burst", "demand", "surge", "group", "aged")

    def __init__(
        self,
        name: str,
        rate: float,
        burst: int,
        demand: float,
        surge: float,
        group: str,
        aged: bool,
    ) -> None:
        """Create the load of a team."""
        self.name = name
        self.rate = rate
        self.burst = burst
        self.demand = demand
        self.surge = surge
        self.group = group
        self.aged = aged


class Scenario:
    """One experiment.

    :param seconds: duration of a run.
    :param roam_share: share of statements before which the session moves to
        another proxy.
    :param sessions: sessions per team.
    :param surge_at: fraction of the run after which surges start.
    :param cut_at: fraction of the run after which a primary is partitioned from
        its replicas; 0 for no such fault.
    :param max_age: staleness in seconds that aged reads accept.
    """

    __slots__ = (
        "deployment",
        "teams",
        "seconds",
        "write_share",
        "roam_share",
        "sessions",
        "surge_at",
        "cut_at",
        "max_age",
    )

    def __init__(
        self,
        deployment: Deployment,
        teams: tuple[TeamLoad, ...],
        seconds: float,
        write_share: float,
        roam_share: float,
        sessions: int,
        surge_at: float,
        cut_at: float,
        max_age: float,
    ) -> None:
        """Create the scenario."""
        self.deployment = deployment
        self.teams = teams
        self.seconds = seconds
        self.write_share = write_share
        self.roam_share = roam_share
        self.sessions = sessions
        self.surge_at = surge_at
        self.cut_at = cut_at
        self.max_age = max_age


def find_scenario(name: str) -> pathlib.Path:
    """Return the path of a scenario given as INI file or by its included name."""
    path = pathlib.Path(name)
    if path.suffix == ".ini":
        return path
    return SCENARIOS / f"{name}.ini"


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario.

    :raises errors.SettingsError: the file is missing or a value is invalid.
    """
    parser = configparser.ConfigParser()
    try:
        if parser.read(path, encoding="utf-8"):
            return _build_scenario(parser)
    except (configparser.Error, ValueError) as error:
        raise errors.SettingsError(
            f"Scenario {path} is not valid: {error}.",
            "Compare it with the included scenarios.",
        ) from error
    raise errors.SettingsError(
        f"Scenario {path} cannot be read.",
        f"Specify an INI file, or one of {', '.join(list_scenarios())}.",
    )


def list_scenarios() -> list[str]:
    """Return the names of the included scenarios."""
    return sorted(path.stem for path in SCENARIOS.glob("*.ini"))


def _build_scenario(parser: configparser.ConfigParser) -> Scenario:
    load = parser["load"] if "load" in parser else parser["DEFAULT"]
    teams = tuple(
        _build_team(section.removeprefix("team:"), parser[section])
        for section in parser.sections()
        if section.startswith("team:")
    )
    return Scenario(
        deployment=_build_deployment(parser),
        teams=teams,
        seconds=load.getfloat("seconds", 20.0),
        write_share=load.getfloat("write_share", 0.1),
        roam_share=load.getfloat("roam_share", 0.02),
        sessions=load.getint("sessions_per_team", 8),
        surge_at=load.getfloat("surge_at", 0.0),
        cut_at=load.getfloat("cut_at", 0.0),
        max_age=load.getfloat("max_age", 2.0),
    )


def _build_deployment(parser: configparser.ConfigParser) -> Deployment:
    section = "deployment"
    return Deployment(
        name=parser.get(section, "name"),
        zones=tuple(parser.get(section, "zones").split()),
        proxies=parser.getint(section, "proxies"),
        groups=tuple(parser.get(section, "groups").split()),
        slots=parser.getint(section, "slots"),
        connections=parser.getint(section, "connections"),
        endpoint_latency=parser.getfloat(section, "endpoint_latency"),
        connect_delay=parser.getfloat(section, "connect_delay"),
        replica_lag=tuple(
            float(lag) for lag in parser.get(section, "replica_lag").split()
        ),
    )


def _build_team(name: str, section: configparser.SectionProxy) -> TeamLoad:
    return TeamLoad(
        name=name,
        rate=section.getfloat("rate"),
        burst=section.getint("burst"),
        demand=section.getfloat("demand"),
        surge=section.getfloat("surge", 1.0),
        group=section.get("group"),
        aged=section.getboolean("aged", False),
    )

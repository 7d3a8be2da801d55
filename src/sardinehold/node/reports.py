"""Messages between nodes: reports to the leader, and its responses.

Every time is sent as an age. The receiver dates it by a reading of its own clock that
was taken before the message was created; the response carries the reading that the
report contained. Thus no network delay makes anything appear newer.
"""

import typing

from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import pool_messages


class Report:
    """Report of a node to the leader.

    :param sent_at: reading of the node's clock, to be echoed.
    :param states: stage of each group's state that the node uses.
    :param samples: newest position of each primary, with its age.
    :param acknowledged: newest commit that was acknowledged to a caller, of each group
        in which no later one can be.
    :param failing: endpoints that the node cannot reach, with the seconds since when.
    :param sequence: number of the exchange with the allocator.
    :param echo: reading of a leader's clock from its last response, None before one.
    :param echo_of: incarnation of that leader; clocks of others cannot be compared.
    :param held: seconds since that response arrived.
    :param unadvised: seconds since any leader's response, or since the node's start.
    :param contact_age: seconds since the store last answered the node.
    :param full: endpoints that recently refused more connections.
    :param era: era of the store that the node knows of.
    :param later: states that the node knows and the leader's last response lacked.
    :param overtaken: groups of which an endpoint answered in a later term than that of
        the state that the node uses.
    :param covered: members whose reports this one summarizes: their incarnations, and
        the seconds since any leader's response to each.
    :param covered_age: seconds since the first of these reports was sent.
    :param covered_failing: endpoints that covered members cannot reach, as in
        ``failing``, by member.
    :param replicated: positions that the replicas of sealed groups have received, as
        acknowledged commits show.

    A summary has the earliest stages, the newest commits (for groups of which every
    covered member reported one) and the latest contact with the store.
    """

    __slots__ = (
        "node",
        "incarnation",
        "sent_at",
        "states",
        "samples",
        "acknowledged",
        "failing",
        "sequence",
        "usages",
        "catalog_version",
        "echo",
        "echo_of",
        "held",
        "contact_age",
        "full",
        "unadvised",
        "era",
        "later",
        "overtaken",
        "covered",
        "covered_age",
        "covered_failing",
        "replicated",
    )

    def __init__(
        self,
        node: str,
        incarnation: str,
        sent_at: float,
        states: dict[str, catalog.Stage],
        samples: dict[str, tuple[float, positions.Position]],
        acknowledged: dict[str, positions.Position],
        failing: dict[str, float],
        sequence: int,
        usages: list[quota.Usage],
        catalog_version: int,
        echo: float | None = None,
        echo_of: str = "",
        held: float = 0.0,
        contact_age: float = 0.0,
        full: tuple[str, ...] = (),
        unadvised: float = 0.0,
        era: int = 0,
        later: typing.Sequence[catalog.GroupState] = (),
        overtaken: tuple[str, ...] = (),
        covered: dict[str, tuple[str, float]] | None = None,
        covered_age: float = 0.0,
        covered_failing: dict[str, dict[str, float]] | None = None,
        replicated: dict[str, positions.Position] | None = None,
    ) -> None:
        """Store the fields of the report."""
        self.node = node
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.states = states
        self.samples = samples
        self.acknowledged = acknowledged
        self.failing = failing
        self.sequence = sequence
        self.usages = usages
        self.catalog_version = catalog_version
        self.echo = echo
        self.echo_of = echo_of
        self.held = held
        self.contact_age = contact_age
        self.full = full
        self.unadvised = unadvised
        self.era = era
        self.later = later
        self.overtaken = overtaken
        self.covered = covered or {}
        self.covered_age = covered_age
        self.covered_failing = covered_failing or {}
        self.replicated = replicated or {}

    def list_members(self) -> list[str]:
        """Return the members whose state the report tells."""
        return [self.node, *self.covered]

    def find_failing(self, member: str) -> dict[str, float]:
        """Return the endpoints that a member cannot reach."""
        if member == self.node:
            return self.failing
        return self.covered_failing.get(member, {})

    def date(self, age: float, incarnation: str) -> float | None:
        """Return a time on the leader's clock, not later than ``age`` ago.

        :param incarnation: incarnation of the leader whose clock is meant; None is
            returned if the node has no reading of that clock.
        """
        if self.echo is None or self.echo_of != incarnation:
            return None
        margin = clock.RATE_MARGIN
        return self.echo + self.held * (1 - margin) - age * (1 + margin)

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "report",
            "node": self.node,
            "inc": self.incarnation,
            "at": self.sent_at,
            "states": self.states,
            "samples": _dump_samples(self.samples),
            "acknowledged": self.acknowledged,
            "failing": _dump_ages(self.failing),
            "seq": self.sequence,
            "usages": [
                [
                    usage.team,
                    usage.left,
                    usage.returned,
                    usage.wanted,
                    usage.received,
                    usage.spare,
                ]
                for usage in self.usages
            ],
            "catalog": self.catalog_version,
            "echo": self.echo,
            "echo_of": self.echo_of,
            "held": self.held,
            "contact": round(self.contact_age, 4),
            "full": self.full,
            "unadvised": round(self.unadvised, 3),
            "era": self.era,
            "later": _dump_states(self.later),
            "overtaken": self.overtaken,
            **({"replicated": self.replicated} if self.replicated else {}),
            **self._dump_urgent(),
            **self._dump_covered(),
        }

    def _dump_urgent(self) -> dict:
        urgent = {usage.team: usage.urgent for usage in self.usages if usage.urgent}
        return {"urgent": urgent} if urgent else {}

    def _dump_covered(self) -> dict:
        if not self.covered:
            return {}
        return {
            "covered": {
                name: [incarnation, round(unadvised, 2)]
                for name, (incarnation, unadvised) in self.covered.items()
            },
            "covered_age": round(self.covered_age, 3),
            "covered_failing": {
                name: _dump_ages(failing)
                for name, failing in self.covered_failing.items()
            },
        }


class LeaderResponse:
    """Response of the leader to a report, or of an aggregator in its place.

    An aggregator repeats what the leader told it, with its age.

    :param node: name of the leader.
    :param incarnation: incarnation of the leader's process.
    :param echo: the ``sent_at`` of the report.
    :param states: the groups' states, as far as the store holds them.
    :param samples: newest positions of the primaries, with their ages.
    :param grants: tokens granted to the node.
    :param suspects: primaries that some node cannot reach, with the members that are to
        probe each.
    :param sent_at: reading of the responding node's clock, to be echoed.
    :param certain_age: seconds since no other node could have been the leader.
    :param full: endpoints that recently refused some node more connections.
    :param short: teams of which some node did not get all the tokens requested.
    :param changed: version of the newest change of each kind the leader watches.
    :param lead_version: version of the leader's object as last written.
    :param asks_store: whether the leader requests a check that other nodes reach the
        store.
    :param sender: name of the responding node, by default the leader.
    :param sender_incarnation: incarnation of its process.
    :param leader_age: seconds since the leader's last response was requested, 0 for
        one of the leader.
    :param evacuations: version of the store, and by evacuated zone that of its object;
        None if the responding node does not know.
    """

    __slots__ = (
        "node",
        "incarnation",
        "echo",
        "states",
        "samples",
        "grants",
        "catalog_version",
        "sequence",
        "sent_at",
        "suspects",
        "certain_age",
        "asks_store",
        "lead_version",
        "full",
        "short",
        "changed",
        "sender",
        "sender_incarnation",
        "leader_age",
        "evacuations",
    )

    def __init__(
        self,
        node: str,
        incarnation: str,
        echo: float,
        states: list[catalog.GroupState],
        samples: dict[str, tuple[float, positions.Position]],
        grants: list[quota.Grant],
        catalog_version: int,
        sequence: int,
        sent_at: float,
        suspects: dict[str, list[str]],
        certain_age: float = 0.0,
        asks_store: bool = False,
        lead_version: int = 0,
        full: tuple[str, ...] = (),
        short: tuple[str, ...] = (),
        changed: tuple[int, ...] = (),
        sender: str = "",
        sender_incarnation: str = "",
        leader_age: float = 0.0,
        evacuations: tuple[int, dict[str, int]] | None = None,
    ) -> None:
        """Store the fields of the response."""
        self.node = node
        self.incarnation = incarnation
        self.echo = echo
        self.states = states
        self.samples = samples
        self.grants = grants
        self.catalog_version = catalog_version
        self.sequence = sequence
        self.sent_at = sent_at
        self.suspects = suspects
        self.certain_age = certain_age
        self.asks_store = asks_store
        self.lead_version = lead_version
        self.full = full
        self.short = short
        self.changed = changed
        self.sender = sender or node
        self.sender_incarnation = sender_incarnation or incarnation
        self.leader_age = leader_age
        self.evacuations = evacuations

    def is_relayed(self) -> bool:
        """Return whether an aggregator sent the response in place of the leader."""
        return self.sender_incarnation != self.incarnation

    def date(self, age: float) -> float:
        """Return a time on the node's clock, not later than ``age`` ago."""
        return self.echo - age * (1 + clock.RATE_MARGIN)

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "advice",
            "node": self.node,
            "inc": self.incarnation,
            "echo": self.echo,
            "states": _dump_states(self.states),
            "samples": _dump_samples(self.samples),
            "grants": [
                [grant.grant_id, grant.team, grant.tokens, grant.lifetime]
                for grant in self.grants
            ],
            "catalog": self.catalog_version,
            "seq": self.sequence,
            "at": self.sent_at,
            "suspects": self.suspects,
            "certain": round(self.certain_age, 4),
            "asks_store": self.asks_store,
            "lead": self.lead_version,
            "full": self.full,
            "short": self.short,
            "changed": self.changed,
            **({"evacuations": self.evacuations} if self.evacuations else {}),
            **self._dump_sender(),
        }

    def _dump_sender(self) -> dict:
        if not self.is_relayed():
            return {}
        return {
            "sender": self.sender,
            "sender_inc": self.sender_incarnation,
            "leader_age": round(self.leader_age, 4),
        }


class Announcement:
    """Announcement of a leadership change, which nodes answer with a report.

    :param version: version of the leader's object when it took over.
    :param resigns: whether the leader resigns.
    :param suspects: primaries that the receiver is to probe immediately.
    """

    __slots__ = ("node", "incarnation", "version", "resigns", "suspects")

    def __init__(
        self,
        node: str,
        incarnation: str,
        version: int,
        resigns: bool = False,
        suspects: typing.Sequence[str] = (),
    ) -> None:
        """Store the fields of the announcement."""
        self.node = node
        self.incarnation = incarnation
        self.version = version
        self.resigns = resigns
        self.suspects = suspects

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "call",
            "node": self.node,
            "inc": self.incarnation,
            "version": self.version,
            "resigns": self.resigns,
            **({"suspects": list(self.suspects)} if self.suspects else {}),
        }


class ConfigurationRequest:
    """Request for another node's configuration while the store does not answer.

    :param version: version that the requesting node has, 0 for none.
    """

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        """Store the version."""
        self.version = version

    def dump(self) -> dict:
        """Return the encoded message."""
        return {"kind": "request", "version": self.version}


class Configuration:
    """The configuration as stored."""

    __slots__ = ("value",)

    def __init__(self, value: object) -> None:
        """Store the value."""
        self.value = value

    def dump(self) -> dict:
        """Return the encoded message."""
        return {"kind": "configuration", "value": self.value}


def _dump_ages(failing: dict[str, float]) -> dict[str, float]:
    return {name: round(age, 3) for name, age in failing.items()}


def _parse_ages(value: dict) -> dict[str, float]:
    return {name: float(age) for name, age in value.items()}


def _dump_states(states: typing.Iterable[catalog.GroupState]) -> list[list]:
    return [
        [
            item.group,
            item.term,
            item.primary,
            item.phase.value,
            item.version,
            item.attempt,
            *_dump_details(item),
        ]
        for item in states
    ]


def _dump_details(state: catalog.GroupState) -> list:
    """Return the fields that most states do not need."""
    if not state.is_stored:
        return [state.requested, False]
    return [state.requested] if state.requested else []


def _parse_states(value: list) -> list[catalog.GroupState]:
    return [
        catalog.GroupState(
            group,
            int(term),
            primary,
            catalog.Phase(phase),
            int(version),
            int(attempt),
            is_stored=details[1:2] != [False],
            requested=details[0] if details else "",
        )
        for group, term, primary, phase, version, attempt, *details in value
    ]


def _parse_stage(value: list) -> catalog.Stage:
    term, is_sealed, attempt = value
    return int(term), bool(is_sealed), int(attempt)


def _dump_samples(samples: dict[str, tuple[float, positions.Position]]) -> dict:
    return {
        name: [round(age, 4), position.term, position.offset]
        for name, (age, position) in samples.items()
    }


def _parse_samples(value: dict) -> dict[str, tuple[float, positions.Position]]:
    return {
        name: (float(age), positions.Position(int(term), int(offset)))
        for name, (age, term, offset) in value.items()
    }


Message = (
    Report
    | LeaderResponse
    | Announcement
    | ConfigurationRequest
    | Configuration
    | pool_messages.Message
)
"""Any message between nodes."""


def parse(message: dict) -> Message | None:
    """Parse a message, None if its kind is unknown.

    :raises KeyError, TypeError, ValueError: the message is malformed.
    """
    parser = _PARSERS.get(message.get("kind", ""))
    return parser(message) if parser is not None else None


def _parse_report(message: dict) -> Report:
    return Report(
        message["node"],
        message["inc"],
        float(message["at"]),
        {name: _parse_stage(stage) for name, stage in message["states"].items()},
        _parse_samples(message["samples"]),
        _parse_positions(message["acknowledged"]),
        _parse_ages(message["failing"]),
        int(message["seq"]),
        _parse_usages(message),
        int(message["catalog"]),
        None if message["echo"] is None else float(message["echo"]),
        str(message["echo_of"]),
        float(message["held"]),
        float(message["contact"]),
        tuple(str(name) for name in message["full"]),
        float(message["unadvised"]),
        int(message["era"]),
        _parse_states(message["later"]),
        tuple(str(name) for name in message.get("overtaken", ())),
        {
            name: (str(incarnation), float(unadvised))
            for name, (incarnation, unadvised) in message.get("covered", {}).items()
        },
        float(message.get("covered_age", 0.0)),
        {
            name: _parse_ages(failing)
            for name, failing in message.get("covered_failing", {}).items()
        },
        _parse_positions(message.get("replicated", {})),
    )


def _parse_positions(value: dict) -> dict[str, positions.Position]:
    return {
        name: positions.Position(int(term), int(offset))
        for name, (term, offset) in value.items()
    }


def _parse_usages(message: dict) -> list[quota.Usage]:
    usages = [quota.Usage(*usage) for usage in message["usages"]]
    urgent = message.get("urgent", {})
    for usage in usages:
        usage.urgent = max(0, int(urgent.get(usage.team, 0)))
    return usages


def _parse_response(message: dict) -> LeaderResponse:
    return LeaderResponse(
        message["node"],
        message["inc"],
        float(message["echo"]),
        _parse_states(message["states"]),
        _parse_samples(message["samples"]),
        [quota.Grant(*grant) for grant in message["grants"]],
        int(message["catalog"]),
        int(message["seq"]),
        float(message["at"]),
        {name: list(names) for name, names in message["suspects"].items()},
        float(message["certain"]),
        bool(message["asks_store"]),
        int(message["lead"]),
        tuple(str(name) for name in message["full"]),
        tuple(str(name) for name in message["short"]),
        tuple(int(revision) for revision in message["changed"]),
        str(message.get("sender", "")),
        str(message.get("sender_inc", "")),
        float(message.get("leader_age", 0.0)),
        _parse_evacuations(message.get("evacuations")),
    )


def _parse_evacuations(value: list | None) -> tuple[int, dict[str, int]] | None:
    if value is None:
        return None
    revision, versions = value
    return int(revision), {str(zone): int(item) for zone, item in versions.items()}


def _parse_announcement(message: dict) -> Announcement:
    return Announcement(
        message["node"],
        message["inc"],
        int(message["version"]),
        bool(message["resigns"]),
        [str(name) for name in message.get("suspects", ())],
    )


def _parse_request(message: dict) -> ConfigurationRequest:
    return ConfigurationRequest(int(message["version"]))


def _parse_configuration(message: dict) -> Configuration:
    return Configuration(message["value"])


_PARSERS: dict[str, typing.Callable[[dict], Message]] = {
    "report": _parse_report,
    "advice": _parse_response,
    "call": _parse_announcement,
    "request": _parse_request,
    "configuration": _parse_configuration,
    **pool_messages.PARSERS,
}

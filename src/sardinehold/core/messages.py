"""Messages between the agents of the fleet.

Delivery is best effort: a message may be lost, delayed, duplicated or
reordered. Times in messages are durations in seconds or readings of one
node's clock; a node never compares its own clock with another node's.
"""

from sardinehold import objects

UNKNOWN_AGE = -1.0
"""Age of a view if the time at which it was current is unknown to the sender."""


class Message:
    """Base class of all messages."""

    __slots__ = ()


class EndpointReport(Message):
    """One node's report of a faulty endpoint.

    :param unhealthy: whether new connections fail.
    :param isolated: whether it is a primary whose log no replica acknowledges.
    """

    __slots__ = ("endpoint", "unhealthy", "isolated")

    def __init__(self, endpoint: str, unhealthy: bool, isolated: bool) -> None:
        """Store the fields of the report."""
        self.endpoint = endpoint
        self.unhealthy = unhealthy
        self.isolated = isolated


class ReportCount(Message):
    """Numbers of nodes of a zone that report an endpoint."""

    __slots__ = ("endpoint", "unhealthy", "isolated")

    def __init__(self, endpoint: str, unhealthy: int, isolated: int) -> None:
        """Store the counts."""
        self.endpoint = endpoint
        self.unhealthy = unhealthy
        self.isolated = isolated


class Renew(Message):
    """A follower's request to a relay to renew its lease and view.

    It acknowledges ``version``: the follower no longer acts on an older view.

    :param sequence: increases with each message of this incarnation.
    :param version: version of the follower's view.
    :param echo: the relay's clock reading from its last answer, 0.0 for none.
    :param echo_of: incarnation of the relay that sent the reading.
    :param reports: all endpoint faults that the follower currently observes.
    :param quiesced: draining groups of which no work runs on the follower.
    :param address: where to answer, ``""`` for a member at its known address.
    """

    __slots__ = (
        "vm",
        "incarnation",
        "zone",
        "sequence",
        "version",
        "echo",
        "echo_of",
        "reports",
        "quiesced",
        "address",
    )

    def __init__(
        self,
        vm: str,
        incarnation: str,
        zone: str,
        sequence: int,
        version: int,
        echo: float = 0.0,
        echo_of: str = "",
        reports: tuple[EndpointReport, ...] = (),
        quiesced: tuple[str, ...] = (),
        address: str = "",
    ) -> None:
        """Store the fields of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.zone = zone
        self.sequence = sequence
        self.version = version
        self.echo = echo
        self.echo_of = echo_of
        self.reports = reports
        self.quiesced = quiesced
        self.address = address


class Current(Message):
    """A relay's answer to a follower, or a change pushed by it.

    :param sequence: sequence number of the request, 0 for a push.
    :param version: version of the relay's view.
    :param age: seconds since the version is known to have been current, or
        :data:`UNKNOWN_AGE`.
    :param clock: reading of the relay's clock, to be echoed.
    :param since: version after which ``objects`` were changed.
    :param whole: whether ``objects`` holds all objects of the view.
    :param relays: relays of the relay's zone.
    """

    __slots__ = (
        "vm",
        "incarnation",
        "sequence",
        "version",
        "age",
        "clock",
        "since",
        "whole",
        "objects",
        "relays",
    )

    def __init__(
        self,
        vm: str,
        incarnation: str,
        sequence: int,
        version: int,
        age: float,
        clock: float,
        since: int,
        whole: bool,
        objects: list[objects.StoredObject],
        relays: tuple[str, ...] = (),
    ) -> None:
        """Store the fields of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.version = version
        self.age = age
        self.clock = clock
        self.since = since
        self.whole = whole
        self.objects = objects
        self.relays = relays


class Summary(Message):
    """State of a zone as seen by one of its relays, for the relays of all zones.

    :param members_version: version of ``members/current`` that it refers to.
    :param version: version of the relay's view, which it acknowledges.
    :param age: seconds since the version is known to have been current, or
        :data:`UNKNOWN_AGE`.
    :param platform_age: seconds since the platform last answered the relay, or
        :data:`UNKNOWN_AGE`.
    :param clock: reading of the relay's clock, to be echoed.
    :param echo: the recipient's clock reading from its last summary.
    :param echo_of: incarnation of the recipient that sent the reading.
    :param held: seconds between the receipt of ``echo`` and this message.
    :param default_version: version acknowledged by all members of the zone
        that are not in ``exceptions``; 0 if unknown.
    :param exceptions: acknowledged versions by VM.
    :param vouched_version: newest version among the confirmations.
    :param vouches: for each age of :data:`confirmation.AGES`, the number of
        members of the zone that confirmed ``vouched_version`` or an older
        version within that age.
    :param reports: counts of endpoint reports in the zone.
    :param unquiesced: draining groups, with the VMs where work still runs.
    """

    __slots__ = (
        "vm",
        "incarnation",
        "zone",
        "members_version",
        "version",
        "age",
        "platform_age",
        "clock",
        "echo",
        "echo_of",
        "held",
        "default_version",
        "exceptions",
        "vouched_version",
        "vouches",
        "reports",
        "unquiesced",
    )

    def __init__(
        self,
        vm: str,
        incarnation: str,
        zone: str,
        members_version: int,
        version: int,
        age: float,
        platform_age: float,
        clock: float,
        echo: float,
        echo_of: str,
        held: float,
        default_version: int,
        exceptions: dict[str, int],
        vouched_version: int,
        vouches: tuple[int, ...],
        reports: tuple[ReportCount, ...] = (),
        unquiesced: dict[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Store the fields of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.zone = zone
        self.members_version = members_version
        self.version = version
        self.age = age
        self.platform_age = platform_age
        self.clock = clock
        self.echo = echo
        self.echo_of = echo_of
        self.held = held
        self.default_version = default_version
        self.exceptions = exceptions
        self.vouched_version = vouched_version
        self.vouches = vouches
        self.reports = reports
        self.unquiesced = unquiesced or {}


class TokenUsage(Message):
    """One team's tokens on a node; see :class:`quota.Usage`."""

    __slots__ = ("team", "left", "returned", "wanted", "received")

    def __init__(
        self, team: str, left: int, returned: int, wanted: int, received: int
    ) -> None:
        """Store the fields of the usage."""
        self.team = team
        self.left = left
        self.returned = returned
        self.wanted = wanted
        self.received = received


class Demand(Message):
    """A node's request to the allocator for tokens and connections.

    :param sequence: increases with each demand of this incarnation.
    :param usages: tokens of all teams with demand or a balance.
    :param connections: connections that the node could use, by endpoint.
    """

    __slots__ = ("vm", "incarnation", "sequence", "usages", "connections")

    def __init__(
        self,
        vm: str,
        incarnation: str,
        sequence: int,
        usages: tuple[TokenUsage, ...],
        connections: dict[str, int],
    ) -> None:
        """Store the fields of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.usages = usages
        self.connections = connections


class TokenGrant(Message):
    """Tokens of a team that expire ``lifetime`` seconds after the request."""

    __slots__ = ("grant_id", "team", "tokens", "lifetime")

    def __init__(self, grant_id: int, team: str, tokens: int, lifetime: float) -> None:
        """Store the fields of the grant."""
        self.grant_id = grant_id
        self.team = team
        self.tokens = tokens
        self.lifetime = lifetime


class ConnectionShare(Message):
    """Connections that may be held until ``lifetime`` seconds after the request."""

    __slots__ = ("endpoint", "connections", "lifetime")

    def __init__(self, endpoint: str, connections: int, lifetime: float) -> None:
        """Store the fields of the share."""
        self.endpoint = endpoint
        self.connections = connections
        self.lifetime = lifetime


class Grants(Message):
    """The allocator's answer to the demand with the same sequence number."""

    __slots__ = ("vm", "epoch", "sequence", "tokens", "shares")

    def __init__(
        self,
        vm: str,
        epoch: int,
        sequence: int,
        tokens: tuple[TokenGrant, ...],
        shares: tuple[ConnectionShare, ...],
    ) -> None:
        """Store the fields of the message."""
        self.vm = vm
        self.epoch = epoch
        self.sequence = sequence
        self.tokens = tokens
        self.shares = shares


class NodeStatus(Message):
    """A node's status, sent to its relay for the status object of the zone.

    :param body: the status as JSON text.
    """

    __slots__ = ("vm", "incarnation", "body")

    def __init__(self, vm: str, incarnation: str, body: str) -> None:
        """Store the fields of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.body = body

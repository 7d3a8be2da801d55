"""Messages between the agents of the fleet.

Delivery is best effort: a message may be lost, late, doubled or out of order.
Times in messages are readings of the clock of the node that made them, or
durations; a node never compares its own clock with another node's.
"""

from sardinehold import objects

UNKNOWN_AGE = -1.0
"""Age of a view of which the sender cannot tell when it was current."""


class Message:
    """Base of all messages."""

    __slots__ = ()


class EndpointReport(Message):
    """What one node sees of an endpoint that has a fault.

    :param unhealthy: whether new connections fail.
    :param isolated: whether it is a primary whose log no replica confirms.
    """

    __slots__ = ("endpoint", "unhealthy", "isolated")

    def __init__(self, endpoint: str, unhealthy: bool, isolated: bool) -> None:
        """Keep the parts of the report."""
        self.endpoint = endpoint
        self.unhealthy = unhealthy
        self.isolated = isolated


class ReportCount(Message):
    """How many nodes of a zone report an endpoint."""

    __slots__ = ("endpoint", "unhealthy", "isolated")

    def __init__(self, endpoint: str, unhealthy: int, isolated: int) -> None:
        """Keep the counts."""
        self.endpoint = endpoint
        self.unhealthy = unhealthy
        self.isolated = isolated


class Renew(Message):
    """A follower asks a relay whether its view is current.

    It acknowledges ``version``: the follower acts on no older view any more.

    :param sequence: grows with each message of this incarnation.
    :param echo: the relay's clock reading from its last answer, 0.0 for none.
    :param echo_of: the incarnation of the relay that gave it.
    :param reports: all faults of endpoints that the follower sees now.
    :param quiesced: draining groups for which nothing runs any more here.
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
        """Keep the parts of the message."""
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
    """A relay's answer to a follower, or a change that it pushes.

    :param sequence: of the question, 0 for a push.
    :param version: the relay's version.
    :param age: seconds since it is known that the version was current.
    :param clock: the relay's clock reading, to be echoed.
    :param since: version after which ``objects`` were changed.
    :param whole: whether ``objects`` is everything.
    :param relays: the relays of the relay's zone.
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
        """Keep the parts of the message."""
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
    """What a relay knows of its zone, for the relays of all zones.

    :param members_version: version of ``members/current`` that it refers to.
    :param version: the relay's version, which it acknowledges.
    :param age: seconds since it is known that the version was current.
    :param platform_age: seconds since the platform last answered the relay.
    :param clock: the relay's clock reading, to be echoed.
    :param echo: the recipient's clock reading from its last summary.
    :param echo_of: the incarnation of the recipient that gave it.
    :param held: seconds between the receipt of ``echo`` and this message.
    :param default_version: what all members of the zone have acknowledged
        that ``exceptions`` does not name; 0 for those not heard.
    :param exceptions: acknowledged versions by VM.
    :param vouches: for each age of :data:`confirmation.AGE_BUCKETS`, how many members of
        the zone vouched for ``vouched_version`` or an older one since then.
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
        """Keep the parts of the message."""
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
    """What a node says of one team's tokens; see :class:`quota.Usage`."""

    __slots__ = ("team", "left", "returned", "wanted", "received")

    def __init__(
        self, team: str, left: int, returned: int, wanted: int, received: int
    ) -> None:
        """Keep the parts of the usage."""
        self.team = team
        self.left = left
        self.returned = returned
        self.wanted = wanted
        self.received = received


class Demand(Message):
    """A node asks the allocator for tokens and connections.

    :param sequence: grows with each demand of this incarnation.
    :param connections: connections that could be used, by endpoint.
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
        """Keep the parts of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.usages = usages
        self.connections = connections


class TokenGrant(Message):
    """Tokens of a team, to be spent within ``lifetime`` seconds of asking."""

    __slots__ = ("grant_id", "team", "tokens", "lifetime")

    def __init__(self, grant_id: int, team: str, tokens: int, lifetime: float) -> None:
        """Keep the parts of the grant."""
        self.grant_id = grant_id
        self.team = team
        self.tokens = tokens
        self.lifetime = lifetime


class ConnectionShare(Message):
    """Connections that may be held open for ``lifetime`` s of asking."""

    __slots__ = ("endpoint", "connections", "lifetime")

    def __init__(self, endpoint: str, connections: int, lifetime: float) -> None:
        """Keep the parts of the share."""
        self.endpoint = endpoint
        self.connections = connections
        self.lifetime = lifetime


class Grants(Message):
    """The allocator's answer to a demand of the same sequence."""

    __slots__ = ("vm", "epoch", "sequence", "tokens", "shares")

    def __init__(
        self,
        vm: str,
        epoch: int,
        sequence: int,
        tokens: tuple[TokenGrant, ...],
        shares: tuple[ConnectionShare, ...],
    ) -> None:
        """Keep the parts of the message."""
        self.vm = vm
        self.epoch = epoch
        self.sequence = sequence
        self.tokens = tokens
        self.shares = shares


class NodeStatus(Message):
    """What a node tells its relay for the status object of the zone.

    :param body: the status as JSON text.
    """

    __slots__ = ("vm", "incarnation", "body")

    def __init__(self, vm: str, incarnation: str, body: str) -> None:
        """Keep the parts of the message."""
        self.vm = vm
        self.incarnation = incarnation
        self.body = body

"""The decision engine of one node: typed events in, typed actions out.

The engine does no I/O and reads no clock. A daemon, a test or a benchmark
passes in events and the time; the same events give the same actions.
"""

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import admission
from sardinehold.core import answers
from sardinehold.core import closing
from sardinehold.core import deadlines
from sardinehold.core import events
from sardinehold.core import handlers
from sardinehold.core import leases
from sardinehold.core import losses
from sardinehold.core import node as nodes
from sardinehold.core import opening
from sardinehold.core import pool
from sardinehold.core import probing
from sardinehold.core import quiescence
from sardinehold.core import routing
from sardinehold.core import shutdown
from sardinehold.core import timers
from sardinehold.core import updates

PARTS = (
    admission,
    answers,
    closing,
    deadlines,
    leases,
    losses,
    opening,
    pool,
    probing,
    shutdown,
    updates,
)
"""The modules whose handlers make up the engine."""


class Engine:
    """The engine of one node.

    It refuses all sessions until it has a view and a lease.

    :param seed: seed of the jitter that separates this node's timers from others'.
    :param now: the node's monotonic clock in seconds.
    :param zone: the node's availability zone, preferred on a tie.
    :param policies: names of the policies in force.
    :param counters: counters to use, such as those of the process; new ones by
        default.

    .. versionadded:: 0.1
    """

    __slots__ = ("node",)

    def __init__(
        self,
        seed: int,
        now: float,
        zone: str = "",
        policies: nodes.Policies | None = None,
        counters: dict[str, int] | None = None,
    ) -> None:
        """Start without a view and without a lease."""
        self.node = nodes.Node(seed, now, zone, policies or nodes.Policies())
        if counters is not None:
            self.node.counters = counters
        self.node.choose_replica = routing.CHOICES[self.node.policies.replica]

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        """Handle an event and return the resulting actions in order.

        :param now: the node's monotonic clock in seconds, never less than before.
        :raises sardinehold.errors.InvariantViolation: an invariant would not
            hold; the event's actions are discarded.
        """
        node = self.node
        node.now = now
        try:
            if now >= node.timers.next_time:
                node.timers.run_due(node, now)
            handlers.REGISTRY[type(event)](node, event)
        except errors.InvariantViolation:
            node.actions = []
            raise
        if node.draining:
            quiescence.report_quiesced(node)
        if node.drain_deadline is not None:
            shutdown.advance(node)
        if node.timers.next_time != node.scheduled_wake:
            self._announce_wake(node)
        result = node.actions
        node.actions = []
        return result

    def _announce_wake(self, node: nodes.Node) -> None:
        """Request a tick if the next timer is due before the last requested tick."""
        if node.scheduled_wake <= node.now:
            node.scheduled_wake = timers.NEVER
        if node.timers.next_time < node.scheduled_wake:
            node.scheduled_wake = node.timers.next_time
            node.actions.append(actions.WakeAt(node.scheduled_wake))

    def is_quiesced(self, group: str) -> bool:
        """Return whether no write and no transaction is open on the primary.

        A group that this node does not use is quiesced.
        """
        return quiescence.is_quiesced(self.node, group)

    @property
    def counters(self) -> dict[str, int]:
        """Return the counters by name."""
        return self.node.counters


@handlers.handles(events.Tick)
def tick(node: nodes.Node, event: events.Tick) -> None:
    """Do nothing: the engine runs due timers before each event."""

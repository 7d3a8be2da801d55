"""Queue disciplines for the requests that wait for an endpoint.

``fair`` is start-time fair queueing (Goyal, Vin and Cheng, 1996) over teams,
with the measured cost of a statement in place of a packet's length. Within a
team, reads and writes alternate by cost, so that writes do not starve reads.
``fifo`` is the baseline.
"""

import collections
import heapq
import typing

QUEUES: dict[str, type] = {}
"""Queue disciplines by name, filled by :func:`discipline`."""

INITIAL_COST = 0.002
"""Assumed cost of a statement in seconds before the first measurement."""

MIN_COST = 0.0001
"""Lower bound of a statement's cost in seconds."""

COST_SMOOTHING = 0.1
"""Weight of the newest sample in the moving average of the cost."""

BASE_SMOOTHING = 0.02
"""Weight of the newest sample in the slower average."""

BASE_DRIFT = 0.002
"""Fraction of its distance to the slower average by which the base rises."""

MAX_IDLE_FLOWS = 256
"""Number of flows above which those without queued requests are evicted."""


def discipline(name: str) -> typing.Callable[[type], type]:
    """Register the decorated class as the queue discipline ``name``."""

    def register(queue: type) -> type:
        QUEUES[name] = queue
        return queue

    return register


class Cost:
    """Cost of one kind of statement of one team on one endpoint.

    :param mean: seconds, a moving average of recent statements.
    :param base: seconds on an endpoint without load: the minimum of a slower
        average, which rises slowly.
    """

    __slots__ = ("mean", "base", "_slow")

    def __init__(self) -> None:
        """Start with the assumed cost."""
        self.mean = INITIAL_COST
        self.base = 0.0
        self._slow = 0.0

    def record(self, seconds: float) -> float:
        """Record a duration in the averages; return the base before it."""
        if seconds < MIN_COST:
            seconds = MIN_COST
        base = self.base
        if not base:
            self.mean = self.base = self._slow = seconds
            return seconds
        self.mean += COST_SMOOTHING * (seconds - self.mean)
        slow = self._slow = self._slow + BASE_SMOOTHING * (seconds - self._slow)
        if slow < base:
            self.base = slow
        else:
            self.base = base + BASE_DRIFT * (slow - base)
        return base


class Flow:
    """The queued requests of one team for one endpoint.

    :param finish: virtual finish time of the team's last request.
    :param weight: the team's share relative to others.
    :param read_cost: cost of its reads.
    :param write_cost: cost of all other statements.
    """

    __slots__ = (
        "finish",
        "weight",
        "read_cost",
        "write_cost",
        "reads",
        "writes",
        "_read_spent",
        "_write_spent",
    )

    def __init__(self, weight: float) -> None:
        """Start without requests."""
        self.finish = 0.0
        self.weight = weight
        self.read_cost = Cost()
        self.write_cost = Cost()
        self.reads: collections.deque = collections.deque()
        self.writes: collections.deque = collections.deque()
        self._read_spent = 0.0
        self._write_spent = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.reads) + len(self.writes)

    def push(self, request: typing.Any) -> None:
        """Append a request to those of its kind."""
        (self.reads if request.is_read else self.writes).append(request)

    def pop(self) -> tuple[typing.Any, float]:
        """Return the next request and its expected cost."""
        if self.reads and (not self.writes or self._read_spent <= self._write_spent):
            cost = self.read_cost.mean
            self._read_spent += cost
            request = self.reads.popleft()
        else:
            cost = self.write_cost.mean
            self._write_spent += cost
            request = self.writes.popleft()
        if not self.reads or not self.writes:
            self._read_spent = self._write_spent = 0.0
        return request, cost

    def find_cost(self, is_read: bool) -> Cost:
        """Return the cost of reads or of other statements."""
        return self.read_cost if is_read else self.write_cost


class _Queue:
    """Base of both disciplines: flows by team with their measured costs."""

    __slots__ = ("size", "flows")

    def __init__(self) -> None:
        """Start empty."""
        self.size = 0
        self.flows: dict[str, Flow] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self.size

    def find_flow(self, owner: str, weight: float) -> Flow:
        """Return the owner's flow, created on first use."""
        flow = self.flows.get(owner)
        if flow is None:
            if len(self.flows) > MAX_IDLE_FLOWS:
                self._evict_idle()
            flow = self.flows[owner] = Flow(weight)
        return flow

    def _evict_idle(self) -> None:
        self.flows = {owner: flow for owner, flow in self.flows.items() if len(flow)}


@discipline("fair")
class FairQueue(_Queue):
    """Start-time fair queueing over teams."""

    __slots__ = ("_virtual", "_heap", "_sequence")

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._virtual = 0.0
        self._heap: list[tuple[float, int, Flow]] = []
        self._sequence = 0

    def push(self, request: typing.Any, weight: float) -> None:
        """Add a request of ``request.owner``."""
        flow = self.find_flow(request.owner, weight)
        flow.weight = weight
        if not len(flow):
            self._activate(flow, max(self._virtual, flow.finish))
        flow.push(request)
        self.size += 1

    def _activate(self, flow: Flow, start: float) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (start, self._sequence, flow))

    def pop(self) -> typing.Any:
        """Remove and return the next request."""
        start, _, flow = heapq.heappop(self._heap)
        self._virtual = max(self._virtual, start)
        request, cost = flow.pop()
        flow.finish = start + cost / flow.weight
        if len(flow):
            self._activate(flow, flow.finish)
        self.size -= 1
        return request

    def estimate_wait(self, owner: str, weight: float, parallel: float) -> float:
        """Return the estimated wait in seconds of a new request of ``owner``.

        :param parallel: statements that run at once.
        """
        flow = self.flows.get(owner)
        if flow is None or not len(flow):
            return 0.0
        ahead = (
            len(flow.reads) * flow.read_cost.mean
            + len(flow.writes) * flow.write_cost.mean
        )
        competing = sum(other.weight for _, _, other in self._heap)
        return ahead * max(1.0, competing / weight) / parallel

    def drain(self) -> list:
        """Take all requests out."""
        return [self.pop() for _ in range(self.size)]


@discipline("fifo")
class FifoQueue(_Queue):
    """First come, first served."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._requests: collections.deque = collections.deque()

    def push(self, request: typing.Any, weight: float) -> None:
        """Add a request at the end."""
        self._requests.append(request)
        self.size += 1

    def pop(self) -> typing.Any:
        """Remove and return the oldest request."""
        self.size -= 1
        return self._requests.popleft()

    def estimate_wait(self, owner: str, weight: float, parallel: float) -> float:
        """Return the estimated wait in seconds of a new request."""
        return self.size * INITIAL_COST / parallel

    def drain(self) -> list:
        """Take all requests out."""
        return [self.pop() for _ in range(self.size)]

"""Refusals within a team's rate while its demand moves between VMs.

Run with ``python bench/quota_demand.py``. Real engines and the real allocator run
in virtual time; a request for tokens takes one round trip between zones of
different regions. The baseline splits rate and burst evenly among the VMs. The last
line is JSON.
"""

import argparse
import heapq
import itertools
import json
import random
import statistics

import worlds
from sardinehold.core import actions
from sardinehold.core import classifier
from sardinehold.core import engine as engines
from sardinehold.core import events
from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.core import view as views

VMS = 9
ROUND_TRIP = 0.016
"""Round-trip time in seconds between two regions."""

COALESCE = 0.003
"""Seconds for which a request for tokens is delayed to batch further ones."""

REPORT_DELAY = 0.15
"""Delay in seconds of a report without a request for tokens."""

SERVICE = 0.002
"""Duration of a statement on an endpoint, in seconds."""

TARGETS = {"steady": 0.0, "jumping": 0.001}
"""Maximum share of refused statements within the rate, by demand pattern."""

TEAM = "team-0"


class AllocatorPolicy:
    """Policy of the product: the allocator grants tokens after a round trip."""

    def __init__(self, fleet: "Fleet", rate: quota.Rate) -> None:
        """Create the allocator with a full bucket."""
        self.fleet = fleet
        self.allocator = quota.Allocator(1, -100.0, -100.0)
        self.allocator.configure(-100.0, {TEAM: rate})
        self.requested = [0] * VMS
        self.returned = [0] * VMS
        self.left = [0] * VMS
        self.received = [0] * VMS
        self.sequence = [0] * VMS
        self.busy = [False] * VMS

    def handle_action(self, vm: int, action: actions.Action) -> None:
        """Record requested or returned tokens, and schedule a report."""
        self.left[vm] = action.left
        if isinstance(action, actions.ReturnTokens):
            self.returned[vm] += action.tokens
        elif action.tokens:
            self.requested[vm] = action.tokens
        is_urgent = self.requested[vm] or self.returned[vm]
        delay = COALESCE if is_urgent else REPORT_DELAY
        self.fleet.schedule(delay, self._send, vm)

    def _send(self, vm: int) -> None:
        if self.busy[vm]:
            self.fleet.schedule(COALESCE, self._send, vm)
            return
        self.busy[vm] = True
        self.sequence[vm] += 1
        usage = quota.Usage(
            TEAM,
            self.left[vm],
            self.returned[vm],
            self.requested[vm],
            self.received[vm],
        )
        self.returned[vm] = self.requested[vm] = 0
        sent_at = self.fleet.now
        self.fleet.schedule(ROUND_TRIP / 2, self._answer, vm, usage, sent_at)

    def _answer(self, vm: int, usage: quota.Usage, sent_at: float) -> None:
        now = self.fleet.now
        grants = self.allocator.exchange(now, str(vm), self.sequence[vm], [usage])
        self.fleet.schedule(ROUND_TRIP / 2, self._deliver, vm, grants, sent_at)

    def _deliver(self, vm: int, grants: list[quota.Grant], sent_at: float) -> None:
        self.busy[vm] = False
        for grant in grants:
            self.received[vm] = grant.grant_id
            self.left[vm] += grant.tokens
            event = events.TokensGranted(TEAM, grant.tokens, sent_at + grant.lifetime)
            self.fleet.handle(vm, event)


class EvenSplitPolicy:
    """Baseline: each VM has a separate bucket with an equal part of the rate."""

    def __init__(self, fleet: "Fleet", rate: quota.Rate) -> None:
        """Create full buckets."""
        self.fleet = fleet
        part = quota.Rate(rate.rate / VMS, rate.burst / VMS)
        self.buckets = [quota.Allocator(1, -100.0, -100.0) for _ in range(VMS)]
        for bucket in self.buckets:
            bucket.configure(-100.0, {TEAM: part})
        self.sequence = itertools.count(1)

    def handle_action(self, vm: int, action: actions.Action) -> None:
        """Grant tokens from the VM's own bucket immediately."""
        if isinstance(action, actions.ReturnTokens):
            return
        now = self.fleet.now
        usage = quota.Usage(TEAM, 0, 0, action.tokens, -1)
        bucket = self.buckets[vm]
        bucket._buckets[TEAM].holdings.clear()
        grants = bucket.exchange(now, str(vm), next(self.sequence), [usage])
        for grant in grants:
            event = events.TokensGranted(TEAM, grant.tokens, now + grant.lifetime)
            self.fleet.schedule(0.0, self.fleet.handle, vm, event)


POLICIES = {"allocated": AllocatorPolicy, "even split": EvenSplitPolicy}


class Fleet:
    """Engines of all VMs in virtual time."""

    def __init__(self, policy: str, rate: quota.Rate) -> None:
        """Create the engines and open 100 sessions on each."""
        self.now = 0.0
        self.queue: list = []
        self.order = itertools.count()
        self.policy = POLICIES[policy](self, rate)
        self.arrived: dict[int, float] = {}
        self.waits: list[float] = []
        self.dispatch_times: list[float] = []
        self.refused = 0
        self.offset = 0
        view = worlds.build_view(1, 1, rate.rate, connections=45, timeout=2.0)
        view.members = {
            f"vm-{vm}": views.Member(f"vm-{vm}", "", "", "") for vm in range(VMS)
        }
        self.engines = [engines.Engine(vm, 0.0) for vm in range(VMS)]
        self.requests = itertools.count(1)
        key = worlds.get_key(TEAM).text
        for vm in range(VMS):
            self.handle(vm, events.ViewChanged(view))
            self.handle(
                vm,
                events.LeaseRenewed(worlds.DISTANT_DEADLINE, worlds.DISTANT_DEADLINE),
            )
            self.handle(
                vm, events.ConnectionsGranted("group-0-0", 40, worlds.DISTANT_DEADLINE)
            )
            for session in range(100):
                self.handle(vm, events.SessionOpened(session, "route-0", key))
        self.free = [list(range(100)) for _ in range(VMS)]
        self.sessions: dict[int, tuple[int, int]] = {}

    def schedule(self, delay: float, call, *arguments) -> None:
        """Schedule a call after a delay in virtual seconds."""
        heapq.heappush(
            self.queue, (self.now + delay, next(self.order), call, arguments)
        )

    def run(self, until: float) -> None:
        """Advance virtual time and make the calls that are due."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = until

    def handle(self, vm: int, event: events.Event) -> None:
        """Pass an event to an engine and execute its actions."""
        for action in self.engines[vm].handle(self.now, event):
            self._apply_action(vm, action)

    def _apply_action(self, vm: int, action: actions.Action) -> None:
        if isinstance(action, actions.RequestTokens | actions.ReturnTokens):
            self.policy.handle_action(vm, action)
        elif isinstance(action, actions.OpenConnection):
            event = events.ConnectionOpened(action.connection_id)
            self.schedule(0.0, self.handle, vm, event)
        elif isinstance(action, actions.WakeAt):
            delay = max(0.0, action.time - self.now)
            self.schedule(delay, self.handle, vm, events.Tick())
        elif isinstance(action, actions.Dispatch):
            self.waits.append(self.now - self.arrived[action.request_id])
            self.dispatch_times.append(self.now)
            event = events.RequestAnswered(
                action.request_id, action.connection_id, "I", "", self._append_to_log()
            )
            self.schedule(SERVICE, self.handle, vm, event)
        elif isinstance(action, actions.Acknowledge):
            self._release(action.request_id)
        elif isinstance(action, actions.Refuse):
            self.refused += 1
            self._release(action.request_id)

    def _append_to_log(self) -> positions.Position:
        self.offset += 1
        return positions.Position(1, self.offset)

    def _release(self, request_id: int) -> None:
        vm, session = self.sessions.pop(request_id)
        self.free[vm].append(session)

    def arrive(self, vm: int) -> None:
        """Send a statement to a VM."""
        request_id = next(self.requests)
        session = self.free[vm].pop()
        self.sessions[request_id] = (vm, session)
        self.arrived[request_id] = self.now
        traits = classifier.classify("update letters set approved = 1")
        self.handle(vm, events.RequestArrived(request_id, session, traits))


def pick_vm(pattern: str, generator: random.Random, time: float) -> int:
    """Return the VM that receives the next statement."""
    if pattern == "steady":
        return generator.randrange(VMS)
    return int(time) * 4 % VMS


def measure(policy: str, pattern: str, rate: quota.Rate, seconds: float) -> dict:
    """Return the results of Poisson demand at 0.8 of the rate."""
    fleet = Fleet(policy, rate)
    generator = random.Random(7)
    time = 1.0
    sent = 0
    while time < 1.0 + seconds:
        time += generator.expovariate(rate.rate * 0.8)
        fleet.run(time)
        fleet.arrive(pick_vm(pattern, generator, time))
        sent += 1
    fleet.run(time + 5.0)
    waits = sorted(fleet.waits)
    return {
        "policy": policy,
        "pattern": pattern,
        "statements": sent,
        "refused": fleet.refused,
        "refused_share": fleet.refused / sent,
        "wait_p50_ms": round(statistics.median(waits) * 1000, 2),
        "wait_p99_ms": round(waits[int(len(waits) * 0.99)] * 1000, 2),
        "excess": round(find_excess(fleet.dispatch_times, rate), 2),
    }


def find_excess(times: list[float], rate: quota.Rate) -> float:
    """Return the largest excess over rate and burst in any window, or 0."""
    lowest, worst = float("inf"), 0.0
    for index, time in enumerate(sorted(times)):
        lowest = min(lowest, index - rate.rate * time)
        worst = max(worst, index + 1 - rate.rate * time - lowest - rate.burst)
    return worst


def main() -> None:
    """Print a table and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=250.0)
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--burst", type=int, default=25)
    options = parser.parse_args()
    rate = quota.Rate(options.rate, options.burst)
    rows = []
    print(
        f"{'policy':12}{'demand':10}{'statements':>11}{'refused':>9}"
        f"{'p50 ms':>9}{'p99 ms':>9}{'excess':>8}"
    )
    for pattern, policy in itertools.product(TARGETS, POLICIES):
        row = measure(policy, pattern, rate, options.seconds)
        row["met"] = row["refused_share"] <= TARGETS[pattern] and not row["excess"]
        rows.append(row)
        print(
            f"{policy:12}{pattern:10}{row['statements']:11}{row['refused']:9}"
            f"{row['wait_p50_ms']:9}{row['wait_p99_ms']:9}{row['excess']:8}"
        )
    print(json.dumps({"targets": TARGETS, "rows": rows}))


if __name__ == "__main__":
    main()

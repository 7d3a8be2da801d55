"""Random faults against a local fleet under traffic (``make chaos``).

Kills, pauses and restarts proxies, partitions primaries, silences connections,
takes the platform down or slows it, and disconnects one proxy from the platform,
selected at random from a seed. Afterwards it runs the same checks as the demo; the
last line is a JSON object of totals. The exit code is 1 if an acknowledged write was
lost, a write was applied twice or despite being reported as not run, a read was
stale, or an endpoint received a caller's key.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import time

import fleet as fleets
import previews
import traffic
import verdict as verdicts

LOAD = 0.35
"""Demand of each team as a share of its rate."""

PAUSE_SECONDS = (0.5, 3.0)
"""Range of the pause between two faults."""

FAULT_SECONDS = (0.5, 6.0)
"""Range of the duration of a fault."""

SETTLE_SECONDS = 8.0
"""Time without faults before the check."""

SECOND_FAULT_SHARE = 0.25
"""Probability that two faults are injected concurrently."""

_FAULTS = {}
"""Fault functions by name; filled by :func:`fault`."""


def fault(function):
    """Register a coroutine function that starts a fault, waits and ends it."""
    _FAULTS[function.__name__] = function
    return function


class Chaos:
    """One run of random faults under traffic.

    :param fleet: the local fleet.
    :param seconds: duration of the faults.
    """

    def __init__(self, fleet: fleets.Fleet, seed: int, seconds: float) -> None:
        """Create the run; its time starts now."""
        self.fleet = fleet
        self.seed = seed
        self.generator = random.Random(seed)
        self.record = traffic.Record()
        self.counts: dict[str, int] = {}
        self.faulty_proxies: set[str] = set()
        self.started = time.monotonic()
        self.faults_until = self.started + seconds

    async def run(self) -> None:
        """Run traffic and faults until the end of the run."""
        deadline = self.faults_until + SETTLE_SECONDS
        callers = traffic.build_callers(self.fleet, self.record, self.seed, LOAD)
        readers = previews.build_previewers(self.fleet, self.record, callers, self.seed)
        running = [caller.run(deadline) for caller in (*callers, *readers)]
        await asyncio.gather(*running, self._inject(), self._report(deadline))

    async def wait_fault_duration(self) -> None:
        """Wait for the random duration of a fault, at most until faults must end."""
        left = self.faults_until - time.monotonic()
        await asyncio.sleep(max(0.0, min(self.generator.uniform(*FAULT_SECONDS), left)))

    def pick_proxy(self) -> str | None:
        """Return a random proxy, or None while one has a fault.

        At least two proxies keep serving.
        """
        free = [
            name
            for name in sorted(self.fleet.proxies)
            if name not in self.faulty_proxies
        ]
        return (
            self.generator.choice(free)
            if len(free) == len(self.fleet.proxies)
            else None
        )

    async def pick_primary(self) -> str:
        """Return the primary of a random group."""
        group = self.generator.choice(sorted(self.fleet.document["groups"]))
        return await asyncio.to_thread(self.fleet.read_primary, group)

    def print_progress(self, text: str) -> None:
        """Print a progress line."""
        print(f"{time.monotonic() - self.started:7.1f} s  {text}", flush=True)

    async def _inject(self) -> None:
        """Inject faults sequentially, sometimes two concurrently."""
        while time.monotonic() < self.faults_until:
            fault_count = 2 if self.generator.random() < SECOND_FAULT_SHARE else 1
            names = self.generator.sample(sorted(_FAULTS), fault_count)
            await asyncio.gather(*(self._run_fault(name) for name in names))
            await asyncio.sleep(self.generator.uniform(*PAUSE_SECONDS))

    async def _run_fault(self, name: str) -> None:
        """Run one fault and count it."""
        self.counts[name] = self.counts.get(name, 0) + 1
        try:
            await _FAULTS[name](self)
        except Exception as error:
            self.print_progress(f"{name} could not be injected: {error!r}")
            self.counts[f"{name}_failed"] = self.counts.get(f"{name}_failed", 0) + 1

    def check_standins(self) -> None:
        """Check that the stand-ins still run; otherwise the result is meaningless.

        :raises RuntimeError: a stand-in exited.
        """
        for name, process in self.fleet.running.items():
            if name not in self.fleet.proxies and not process.is_running:
                raise RuntimeError(f"{name} exited: {process.read_log()}")

    async def _report(self, deadline: float) -> None:
        """Print progress every ten seconds."""
        while time.monotonic() < deadline:
            await asyncio.sleep(min(10.0, max(0.1, deadline - time.monotonic())))
            self.check_standins()
            served = sum(
                team_counters.served for team_counters in self.record.teams.values()
            )
            self.print_progress(
                f"{self.record.statements} statements, {served} served, "
                f"{len(self.record.writes)} writes, {len(self.record.stale)} stale, "
                f"faults {sum(self.counts.values())}"
            )


@fault
async def kill_proxy(chaos: Chaos) -> None:
    """Kill a proxy and restart it."""
    name = chaos.pick_proxy()
    if name is None:
        return
    chaos.faulty_proxies.add(name)
    chaos.print_progress(f"kill {name}")
    chaos.fleet.running[name].send(signal.SIGKILL)
    await asyncio.to_thread(chaos.fleet.running[name].wait, 5.0)
    await chaos.wait_fault_duration()
    chaos.fleet.start_proxy(name)
    await asyncio.sleep(2.0)
    chaos.faulty_proxies.discard(name)


@fault
async def pause_proxy(chaos: Chaos) -> None:
    """Suspend a proxy's process with SIGSTOP."""
    name = chaos.pick_proxy()
    if name is None:
        return
    chaos.faulty_proxies.add(name)
    chaos.print_progress(f"pause {name}")
    chaos.fleet.running[name].send(signal.SIGSTOP)
    await chaos.wait_fault_duration()
    chaos.fleet.running[name].send(signal.SIGCONT)
    chaos.faulty_proxies.discard(name)


@fault
async def cut_off_primary(chaos: Chaos) -> None:
    """Partition a primary from its replicas while clients still reach it."""
    primary = await chaos.pick_primary()
    chaos.print_progress(f"partition {primary} from its replicas")
    await asyncio.to_thread(chaos.fleet.change_faults, primary, cut_off=True)
    await chaos.wait_fault_duration()
    await asyncio.to_thread(chaos.fleet.change_faults, primary, cut_off=False)


@fault
async def kill_primary(chaos: Chaos) -> None:
    """Crash a primary, which restarts with its data."""
    primary = await chaos.pick_primary()
    chaos.print_progress(f"crash {primary}")
    await asyncio.to_thread(chaos.fleet.change_faults, primary, dead=True)
    await chaos.wait_fault_duration()
    await asyncio.to_thread(chaos.fleet.change_faults, primary, dead=False)


@fault
async def silence_connections(chaos: Chaos) -> None:
    """Silence open connections to an endpoint; new ones work."""
    endpoint = chaos.generator.choice(sorted(chaos.fleet.controls))
    chaos.print_progress(f"silence connections to {endpoint}")
    await asyncio.to_thread(chaos.fleet.silence, endpoint, chaos.generator.random())


@fault
async def lose_answers(chaos: Chaos) -> None:
    """Lose answers after the commit."""
    primary = await chaos.pick_primary()
    chaos.print_progress(f"{primary} loses answers")
    how = chaos.generator.choice(["close", "silent"])
    await asyncio.to_thread(
        chaos.fleet.change_faults, primary, lose_answers=3, lose_how=how
    )


@fault
async def answer_late(chaos: Chaos) -> None:
    """Delay answers of an endpoint."""
    endpoint = chaos.generator.choice(sorted(chaos.fleet.controls))
    late = chaos.generator.uniform(0.05, 1.0)
    chaos.print_progress(f"{endpoint} answers {late:.2f} s late")
    change = chaos.fleet.change_faults
    await asyncio.to_thread(change, endpoint, late=late, late_share=0.2)
    await chaos.wait_fault_duration()
    await asyncio.to_thread(change, endpoint, late=0.0)


@fault
async def lag_replica(chaos: Chaos) -> None:
    """Increase the replication lag of an endpoint."""
    endpoint = chaos.generator.choice(sorted(chaos.fleet.controls))
    chaos.print_progress(f"{endpoint} lags")
    change = chaos.fleet.change_faults
    await asyncio.to_thread(change, endpoint, lag=[1.0, 4.0])
    await chaos.wait_fault_duration()
    await asyncio.to_thread(change, endpoint, lag=[0.02, 0.2])


@fault
async def take_platform_down(chaos: Chaos) -> None:
    """Make the platform refuse all calls."""
    chaos.print_progress("platform down")
    change = chaos.fleet.change_platform_faults
    await asyncio.to_thread(change, down=True)
    await chaos.wait_fault_duration()
    await asyncio.to_thread(change, down=False)


@fault
async def slow_platform(chaos: Chaos) -> None:
    """Delay the platform's responses by two seconds, and lose two of them."""
    chaos.print_progress("platform slow")
    change = chaos.fleet.change_platform_faults
    await asyncio.to_thread(change, slow=2.0, lose_answers=2)
    await chaos.wait_fault_duration()
    await asyncio.to_thread(change, slow=0.0, lose_answers=0)


@fault
async def cut_off_proxy(chaos: Chaos) -> None:
    """Partition one proxy from the platform."""
    name = chaos.generator.choice(sorted(chaos.fleet.proxies))
    chaos.print_progress(f"{name} cannot reach the platform")
    change = chaos.fleet.change_platform_faults
    await asyncio.to_thread(change, unreachable=[name])
    await chaos.wait_fault_duration()
    await asyncio.to_thread(change, unreachable=[])


def summarize(chaos: Chaos, verdict: verdicts.Verdict) -> dict:
    """Return the totals for the last line."""
    tallies = chaos.record.teams.values()
    return {
        "seed": chaos.seed,
        "minutes": round((chaos.faults_until - chaos.started) / 60, 2),
        "faults": dict(sorted(chaos.counts.items())),
        "statements": chaos.record.statements,
        "served": sum(team_counters.served for team_counters in tallies),
        "acknowledged_writes": verdict.acknowledged,
        "unknown_writes": verdict.unknown,
        "lost_writes": len(verdict.lost),
        "doubled_writes": len(verdict.doubled),
        "untrue_refusals": len(verdict.untrue),
        "read_your_writes_violations": len(verdict.stale),
        "aged_reads": chaos.record.aged_reads,
        "aged_reads_too_old": len(verdict.old),
        "wrongful_refusals": sum(
            team_counters.refused_in_rate for team_counters in tallies
        ),
        "replica_read_share": round(verdicts.read_replica_share(chaos.fleet), 4),
        "keys_seen_by_endpoints": verdicts.count_keys_seen(chaos.fleet),
    }


def main() -> int:
    """Run the faults and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", action="store_true", help="print logs at the end")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        with fleets.Fleet(free_ports=True, with_console=False) as fleet:
            chaos = Chaos(fleet, arguments.seed, arguments.minutes * 60)
            asyncio.run(chaos.run())
            verdict = verdicts.check_writes(fleet, chaos.record)
            totals = summarize(chaos, verdict)
            for name in ("lost", "doubled", "untrue", "stale", "old"):
                for item in getattr(verdict, name)[:10]:
                    print(f"{name}: {item}")
            if arguments.logs:
                for process in fleet.running.values():
                    print(f"--- {process.name}\n{process.read_log()}")
    except fleets.NotReady as error:
        print(error, file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    print(json.dumps(totals))
    return 0 if verdict.is_clean and not totals["keys_seen_by_endpoints"] else 1


if __name__ == "__main__":
    sys.exit(main())

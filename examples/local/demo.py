"""Twenty seconds of a local fleet under traffic and faults (``make demo``).

All teams send through all proxies with roaming sessions. During the run one key is
withdrawn, one team sends five times its rate, and one primary is partitioned from
its replicas. The last line is a JSON object of results; the exit code is 1 if an
acknowledged write was lost, a write was applied twice or despite being reported as
not run, a read was stale, or an endpoint received a caller's key.
"""

import argparse
import asyncio
import json
import math
import signal
import sys
import time

import fleet as fleets
import previews
import psycopg
import traffic
import verdict as verdicts

SECONDS = 20.0
WITHDRAW_AT = 3.0
BURST_FROM, BURST_UNTIL = 5.0, 11.0
CUT_AT = 12.0
"""Times of the events, in seconds since the start."""

LOAD = 0.6
"""Demand of each team as a share of its rate."""

BURST = 5.0
"""Demand of the bursting team as a multiple of its rate."""

BURST_SESSIONS = 500
"""Sessions of the bursting team; enough that waiting ones do not reduce its demand."""

KEY_WITHDRAWN = "28000"
"""SQLSTATE of a statement whose key was withdrawn."""

BURST_TEAM = "sports"
WITHDRAWN_TEAM = "interns"
CUT_GROUP = "letters-1"
POLL_SECONDS = 0.1
"""Interval between statements of a session that checks whether its key still works."""


class Demo:
    """One run of the demo.

    :param fleet: the local fleet.
    """

    def __init__(self, fleet: fleets.Fleet, seed: int) -> None:
        """Create the run."""
        self.fleet = fleet
        self.seed = seed
        self.record = traffic.Record()
        self.started = 0.0
        self.cut_at = 0.0
        self.withdrawn_at = 0.0
        self.key_ended_at = 0.0

    async def run(self) -> None:
        """Run traffic, the burst and the faults until the end of the run."""
        self.started = time.monotonic()
        deadline = self.started + SECONDS
        callers = traffic.build_callers(self.fleet, self.record, self.seed, LOAD)
        readers = previews.build_previewers(self.fleet, self.record, callers, self.seed)
        tasks = [self._run_caller(caller, deadline) for caller in callers]
        tasks += [reader.run(deadline) for reader in readers]
        await asyncio.gather(
            *tasks,
            self._withdraw(),
            self._burst(),
            self._cut(),
            self._report(deadline),
        )

    async def _run_caller(self, caller: traffic.Caller, deadline: float) -> None:
        """Run one caller; that of the withdrawn team ends before the withdrawal."""
        if caller.team == WITHDRAWN_TEAM:
            deadline = self.started + WITHDRAW_AT - 1.0
        await caller.run(deadline)

    async def _withdraw(self) -> None:
        """Withdraw a key and measure for how long open sessions still accept it."""
        await self._sleep_until(WITHDRAW_AT - 1.0)
        watchers = [
            asyncio.ensure_future(self._watch_key(name)) for name in self.fleet.proxies
        ]
        await self._sleep_until(WITHDRAW_AT)
        self.withdrawn_at = time.monotonic()
        self._print_progress(f"withdraw the key of {WITHDRAWN_TEAM}")
        await asyncio.to_thread(self.fleet.withdraw_key, WITHDRAWN_TEAM)
        self.key_ended_at = max(await asyncio.gather(*watchers))
        self._print_progress(
            f"the key was refused by all proxies after {self.key_withdrawal_ms:.0f} ms"
        )

    async def _watch_key(self, proxy: str) -> float:
        """Use a key on one connection; return the time at which it was refused."""
        dsn = self.fleet.format_dsn(proxy, "letters", WITHDRAWN_TEAM)
        connection = await psycopg.AsyncConnection.connect(dsn, autocommit=True)
        while time.monotonic() < self.started + SECONDS:
            try:
                await connection.execute("SELECT title FROM page")
            except psycopg.Error as error:
                if connection.closed or error.sqlstate == KEY_WITHDRAWN:
                    return self._check_withdrawn()
            await asyncio.sleep(POLL_SECONDS)
        return math.inf

    def _check_withdrawn(self) -> float:
        """Return the current time.

        :raises RuntimeError: the key was not withdrawn yet.
        """
        now = time.monotonic()
        if not self.withdrawn_at:
            raise RuntimeError("a connection ended before its key was withdrawn")
        return now

    async def _burst(self) -> None:
        """Send ``BURST`` times the rate of one team."""
        await self._sleep_until(BURST_FROM)
        self.record.bursting.add(BURST_TEAM)
        rate = self.fleet.document["teams"][BURST_TEAM]["rate"] * BURST / BURST_SESSIONS
        self._print_progress(f"{BURST_TEAM} sends {BURST:.0f} times its rate")
        callers = [
            traffic.Caller(
                self.fleet,
                self.record,
                BURST_TEAM,
                "letters",
                "letters-1",
                rate,
                f"{self.seed}/burst/{number}",
                write_share=0.1,
            )
            for number in range(BURST_SESSIONS)
        ]
        deadline = self.started + BURST_UNTIL
        await asyncio.gather(*(caller.run(deadline) for caller in callers))

    async def _cut(self) -> None:
        """Partition a primary from its replicas."""
        await self._sleep_until(CUT_AT)
        primary = await asyncio.to_thread(self.fleet.read_primary, CUT_GROUP)
        await asyncio.to_thread(self.fleet.change_faults, primary, cut_off=True)
        self.cut_at = time.monotonic()
        self._print_progress(
            f"partition {primary}, the primary of {CUT_GROUP}, from its replicas"
        )

    async def _report(self, deadline: float) -> None:
        """Print progress every two seconds."""
        while time.monotonic() < deadline:
            await asyncio.sleep(2.0)
            acknowledged = sum(
                write.outcome is traffic.Outcome.ACKNOWLEDGED
                for write in self.record.writes
            )
            self._print_progress(
                f"{self.record.statements} statements, "
                f"{acknowledged} acknowledged writes, {len(self.record.stale)} stale"
            )

    async def _sleep_until(self, offset: float) -> None:
        """Wait until ``offset`` seconds after the start."""
        await asyncio.sleep(max(0.0, self.started + offset - time.monotonic()))

    def _print_progress(self, text: str) -> None:
        """Print a progress line."""
        print(f"{time.monotonic() - self.started:5.1f} s  {text}", flush=True)

    @property
    def key_withdrawal_ms(self) -> float:
        """Milliseconds from the withdrawal until all proxies refused the key."""
        return (self.key_ended_at - self.withdrawn_at) * 1000


def summarize(demo: Demo, verdict: verdicts.Verdict) -> dict:
    """Return the results for the last line."""
    until = demo.started + SECONDS
    gap = verdicts.find_gap(demo.record, CUT_GROUP, demo.cut_at, until)
    steady = {
        name: team_counters
        for name, team_counters in demo.record.teams.items()
        if name not in demo.record.bursting
    }
    return {
        "statements": demo.record.statements,
        "acknowledged_writes": verdict.acknowledged,
        "lost_writes": len(verdict.lost),
        "doubled_writes": len(verdict.doubled),
        "read_your_writes_violations": len(verdict.stale),
        "replica_read_share": round(verdicts.read_replica_share(demo.fleet), 4),
        "failover_gap_ms": round(gap * 1000),
        "worst_team_served_share": round(
            min(
                team_counters.served / max(1, team_counters.sent)
                for team_counters in steady.values()
            ),
            4,
        ),
        "wrongful_refusals": sum(
            team_counters.refused_in_rate for team_counters in steady.values()
        ),
        "key_withdrawal_ms": round(min(demo.key_withdrawal_ms, SECONDS * 1000)),
        "aged_reads": demo.record.aged_reads,
        "aged_reads_too_old": len(verdict.old),
        "untrue_refusals": len(verdict.untrue),
        "unknown_writes": verdict.unknown,
        "keys_seen_by_endpoints": verdicts.count_keys_seen(demo.fleet),
    }


def print_table(record: traffic.Record) -> None:
    """Print the demand and the results of each team."""
    print(
        f"\n{'team':10} {'asked':>7} {'served':>7} {'share':>7} {'refused':>8}  errors"
    )
    for name, team_counters in sorted(record.teams.items()):
        share = team_counters.served / max(1, team_counters.sent)
        states = ", ".join(f"{k}: {v}" for k, v in sorted(team_counters.states.items()))
        print(
            f"{name:10} {team_counters.sent:7} {team_counters.served:7} {share:7.2%} "
            f"{team_counters.refused:8}  {states}"
        )
    print()


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", action="store_true", help="print logs at the end")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    print("starting platform, nine endpoints, three proxies and a console", flush=True)
    try:
        with fleets.Fleet(free_ports=True) as fleet:
            demo = Demo(fleet, arguments.seed)
            asyncio.run(demo.run())
            verdict = verdicts.check_writes(fleet, demo.record)
            print_table(demo.record)
            figures = summarize(demo, verdict)
            for stale in (*verdict.stale[:5], *verdict.old[:5]):
                print(f"stale: {stale}")
            if arguments.logs:
                for process in fleet.running.values():
                    print(f"--- {process.name}\n{process.read_log()}")
    except fleets.NotReady as error:
        print(error, file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    is_clean = verdict.is_clean and not figures["keys_seen_by_endpoints"]
    print(json.dumps(figures))
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())

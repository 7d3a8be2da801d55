"""Processor time of the core for one statement, from arrival to acknowledgement.

Run with ``python bench/decision_cost.py``. One engine runs in virtual time with
increasing numbers of teams and groups; only the time spent in the engine is
measured. The last line is JSON.
"""

import argparse
import gc
import json
import statistics
import time

import worlds
from sardinehold.core import classifier
from sardinehold.core import events

TARGET = 20.0
"""Target in microseconds of core time per statement."""

CALIBRATION_CALLS = 300_000
"""Calls of an empty function, whose cost makes runs on other or busier machines
comparable."""

BATCH = 2000
"""Statements per batch."""

SIZES = ((8, 3), (80, 30), (800, 3), (8, 1500), (800, 1500))
"""Numbers of teams and groups of the runs."""


class Fleet:
    """One engine with sessions of all teams, distributed over the groups."""

    def __init__(self, teams: int, groups: int, sessions: int) -> None:
        """Open the sessions, connections and log positions included."""
        self.world = worlds.World(worlds.build_view(teams, groups, rate=1e9))
        self.sessions = [
            self.world.open(f"team-{i % teams}", f"route-{i % groups}")
            for i in range(sessions)
        ]
        self.world.advance()
        self.request_id = 1_000_000

    def run(self, traits: tuple, statements: int) -> float:
        """Return the microseconds of core time per statement."""
        world = self.world
        sessions = self.sessions
        count = len(sessions)
        world.engine_ns = 0
        for number in range(statements):
            self.request_id += 1
            world.now += 0.0004
            kind = traits[number % len(traits)]
            session_id = sessions[number % count]
            world.send(events.RequestArrived(self.request_id, session_id, kind))
            answer = world.build_answer(self.request_id)
            world.now += 0.0004
            world.send(answer)
        return world.engine_ns / statements / 1000


def call_nothing() -> None:
    """Do nothing; the reference for the cost of a call."""


def measure_call() -> float:
    """Return the nanoseconds per call of an empty function."""
    start = time.perf_counter_ns()
    for _ in range(CALIBRATION_CALLS):
        call_nothing()
    return (time.perf_counter_ns() - start) / CALIBRATION_CALLS


def measure(fleet: Fleet, traits: tuple, batches: int) -> tuple[float, float]:
    """Return the median and the minimum cost of several batches."""
    gc.collect()
    costs = [fleet.run(traits, BATCH) for _ in range(batches)]
    return statistics.median(costs), min(costs)


def main() -> None:
    """Print a table and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--batches", type=int, default=15)
    options = parser.parse_args()
    read = classifier.classify("select * from letters where id = 1")
    write = classifier.classify("insert into letters values (1)")
    mix = (read,) * 9 + (write,)
    rows = []
    print("microseconds per statement: median of batches (minimum)")
    print(
        f"{'teams':>6} {'groups':>7} {'reads':>16} {'1 write in 10':>16}"
        f" {'one call, ns':>13}"
    )
    for teams, groups in SIZES:
        fleet = Fleet(teams, groups, sessions=max(64, teams))
        fleet.run(mix, BATCH)
        gc.freeze()
        reads, reads_low = measure(fleet, (read,), options.batches)
        mixed, mixed_low = measure(fleet, mix, options.batches)
        gc.unfreeze()
        call = measure_call()
        rows.append(
            {
                "teams": teams,
                "groups": groups,
                "read": reads,
                "mix": mixed,
                "call_ns": call,
            }
        )
        first = f"{reads:.1f} ({reads_low:.1f})"
        second = f"{mixed:.1f} ({mixed_low:.1f})"
        print(f"{teams:>6} {groups:>7} {first:>16} {second:>16} {call:>13.0f}")
    worst = max(max(row["read"], row["mix"]) for row in rows)
    result = {"target_us": TARGET, "worst_us": worst, "met": worst <= TARGET}
    print(json.dumps({**result, "rows": rows}))


if __name__ == "__main__":
    main()

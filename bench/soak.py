"""Runs the randomised tests with new seeds for a given time.

Run with ``make soak MINUTES=n SEED=s`` or ``python bench/soak.py --minutes n
--seed s``. Each round tests engines, agents and the quota with the next seed.
On a failure Hypothesis prints the shrunk steps, and a line with the command that
repeats the seed. The last line of a successful run is JSON.
"""

import argparse
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import hypothesis  # noqa: E402
from hypothesis import stateful  # noqa: E402

import test_engine_random as engine_runs  # noqa: E402
import test_fleet_random as fleet_runs  # noqa: E402
import test_quota as quota_runs  # noqa: E402
from sardinehold.core import invariants  # noqa: E402

ENGINE_EXAMPLES = 60
FLEET_EXAMPLES = 12
QUOTA_SEEDS = 5


def build_settings(examples: int, steps: int) -> hypothesis.settings:
    """Return settings that use the seed and no example database."""
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=False,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def run_machine(machine: type, seed: int, options: hypothesis.settings) -> None:
    """Run a state machine with one seed."""
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    stateful.run_state_machine_as_test(seeded, settings=options)


def run_round(seed: int) -> None:
    """Run all randomised tests with one seed."""
    run_machine(engine_runs.Machine, seed, build_settings(ENGINE_EXAMPLES, 50))
    run_machine(fleet_runs.Fleet, seed, build_settings(FLEET_EXAMPLES, 14))
    first = 1000 + seed * QUOTA_SEEDS
    quota_runs.check_windows(range(first, first + QUOTA_SEEDS))


def main() -> int:
    """Print progress and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    deadline = time.monotonic() + 60 * options.minutes
    seed = options.seed
    while time.monotonic() < deadline:
        try:
            run_round(seed)
        except Exception:
            print(f"replay: make soak MINUTES=0.01 SEED={seed}", flush=True)
            raise
        checks = sum(invariants.count_checks().values())
        print(f"seed {seed}: {checks} invariant checks so far", flush=True)
        seed += 1
    counts = dict(sorted(invariants.count_checks().items()))
    print(json.dumps({"first": options.seed, "rounds": seed - options.seed, **counts}))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Short seeded runs of the soaks, with node processes on the loopback interface."""

import pathlib
import subprocess
import sys

import pytest

BENCH = pathlib.Path(__file__).parent.parent / "bench"
TIMEOUT_SECONDS = 120.0
"""One seed takes about a minute; the rest allows for a busy machine."""


@pytest.mark.parametrize(
    "soak", ["fault_soak", "promotion_soak", "request_soak", "membership_soak"]
)
def test_guarantees_hold_for_a_seed_of_overlapping_faults(soak):
    program = BENCH / f"{soak}.py"
    command = [sys.executable, str(program), "--seed", "1", "--seeds", "1"]
    ended = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS
    )
    assert ended.returncode == 0, ended.stdout[-2000:]
    assert "1 passed, 0 failed" in ended.stdout

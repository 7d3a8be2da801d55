"""Short seeded run of the fault soak, with node processes on the loopback interface."""

import pathlib
import subprocess
import sys

SOAK = pathlib.Path(__file__).parent.parent / "bench" / "fault_soak.py"
TIMEOUT_SECONDS = 120.0
"""One seed takes about half a minute; the rest allows for a busy machine."""


def test_guarantees_hold_for_a_seed_of_overlapping_faults():
    command = [sys.executable, str(SOAK), "--seed", "1", "--seeds", "1"]
    ended = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS
    )
    assert ended.returncode == 0, ended.stdout[-2000:]
    assert "1 passed, 0 failed" in ended.stdout

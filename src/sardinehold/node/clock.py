"""The node's clock.

``CLOCK_BOOTTIME`` goes on while a VM is suspended, the loop's clock does not: a
lease counted on the latter would outlive its time in a frozen process.
"""

import time

RATE_MARGIN = 0.01
"""Fraction by which the rates of two clocks may differ."""


def read() -> float:
    """Return seconds since the VM's start, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

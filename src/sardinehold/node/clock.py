"""The node's clock.

``CLOCK_BOOTTIME`` advances while a VM is suspended; the event loop's clock does not. A
lease measured with the latter would not expire in a process that is frozen.
"""

import time

RATE_MARGIN = 0.01
"""Maximum relative difference between the rates of two clocks."""


def read() -> float:
    """Return the seconds since the VM booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

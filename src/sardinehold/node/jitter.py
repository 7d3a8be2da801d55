"""Jitter for delays, so that nodes that failed together do not retry together."""

import random


def spread(seconds: float) -> float:
    """Return a random delay between half and one and a half times ``seconds``."""
    return seconds * (0.5 + random.random())

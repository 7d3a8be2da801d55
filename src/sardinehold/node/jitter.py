"""Spreads waits, so that nodes that failed together do not try again together."""

import random


def spread(seconds: float) -> float:
    """Return between half and one and a half times a wait."""
    return seconds * (0.5 + random.random())

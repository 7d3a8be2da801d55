"""Random restores of the store beside kills, cuts and crashes, in virtual time."""

import random

import pytest

import builders_restored

SEEDS = range(6)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_over_random_restores(monkeypatch, seed, count):
    run = builders_restored.Run(random.Random(seed))
    builders_restored.run(monkeypatch, run, count)
    assert run.violations == []
    assert run.restores > 0
    assert run.served > 0

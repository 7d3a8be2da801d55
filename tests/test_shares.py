"""Connection shares follow demand, and their sum stays within the limit."""

import random

import pytest

from sardinehold.core import shares

LIMIT = 45
MEMBERS = 9


def build_allocator(now=0.0, starts_at=0.0, members=MEMBERS):
    allocator = shares.ShareAllocator(1, now, starts_at)
    allocator.configure(now, {"db-1": LIMIT}, members)
    return allocator


def test_lone_demand_gets_all_that_is_spare():
    allocator = build_allocator()
    reserved = shares.BASE_CONNECTIONS + shares.PROBE_CONNECTIONS
    spare = LIMIT - reserved * (MEMBERS + shares.JOIN_RESERVE)
    share = allocator.allocate(0.0, "a", "db-1", 100)
    assert share.connections == shares.BASE_CONNECTIONS + spare


@pytest.mark.parametrize("limit", [20, 22])
def test_probes_count_against_a_small_limit(limit):
    allocator = shares.ShareAllocator(1, 0.0, 0.0)
    allocator.configure(0.0, {"db-1": limit}, MEMBERS)
    assert (
        allocator.allocate(0.0, "a", "db-1", 9).connections == shares.BASE_CONNECTIONS
    )


def test_base_is_granted_when_nothing_is_spare():
    allocator = build_allocator(members=LIMIT)
    assert (
        allocator.allocate(0.0, "a", "db-1", 5).connections == shares.BASE_CONNECTIONS
    )


def test_contended_shares_converge_to_demand():
    allocator = build_allocator()
    for step in range(8):
        now = step * shares.SHARE_LIFETIME
        first = allocator.allocate(now, "a", "db-1", 100).connections
        second = allocator.allocate(now, "b", "db-1", 100).connections
    assert abs(first - second) <= 1


def test_unused_loan_lapses():
    allocator = build_allocator()
    allocator.allocate(0.0, "a", "db-1", 100)
    later = 2 * shares.SHARE_LIFETIME
    assert allocator.count_granted(later, "db-1") == 0


def test_successor_lends_nothing_before_old_loans_lapse():
    allocator = build_allocator(starts_at=5.0)
    assert (
        allocator.allocate(4.9, "a", "db-1", 9).connections == shares.BASE_CONNECTIONS
    )
    assert allocator.allocate(5.0, "a", "db-1", 9).connections > shares.BASE_CONNECTIONS


def run_fleet(seed):
    """Return the highest number of connections that nodes could hold at once."""
    draw = random.Random(seed)
    allocator = build_allocator()
    held = {}
    now = 0.0
    highest = 0
    for _ in range(400):
        now += draw.random()
        vm = f"vm-{draw.randrange(MEMBERS)}"
        share = allocator.allocate(now, vm, "db-1", draw.randrange(30))
        held.setdefault(vm, []).append((share.connections, now + share.lifetime))
        total = 0
        for grants in held.values():
            alive = [count for count, deadline in grants if deadline > now]
            total += max([*alive, shares.BASE_CONNECTIONS])
        highest = max(highest, total + MEMBERS - len(held))
    return highest + MEMBERS * shares.PROBE_CONNECTIONS


@pytest.mark.parametrize("seed", range(10))
def test_sum_of_shares_keeps_to_the_limit(seed):
    assert run_fleet(seed) <= LIMIT


def test_random_run_finds_loans_that_are_not_counted(monkeypatch):
    monkeypatch.setattr(
        shares.ShareAllocator, "_prune", lambda allocator, now, endpoint: {}
    )
    assert max(run_fleet(seed) for seed in range(10)) > LIMIT

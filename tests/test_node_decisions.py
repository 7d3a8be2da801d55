"""Decisions of a single node: leases, placement, promotion, admission, hedging, limits.

None of them needs a fleet.
"""

import asyncio
import json
import types

import anyio
import pytest

import builders_node
from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import admission
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import commits
from sardinehold.node import grading
from sardinehold.node import groups
from sardinehold.node import hedging
from sardinehold.node import leadership
from sardinehold.node import placement
from sardinehold.node import placement_policies
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import primary_lease
from sardinehold.node import promotion
from sardinehold.node import rate_limiter
from sardinehold.node import reports
from sardinehold.node import selection
from sardinehold.node import settings
from sardinehold.node import sharing
from sardinehold.node import statements
from sardinehold.node import static_bucket
from sardinehold.node import stopping
from sardinehold.node import store_watch

P = positions.Position


def make_lease(
    *samples: tuple[float, int], term: int = 1
) -> primary_lease.PrimaryLease:
    lease = primary_lease.PrimaryLease()
    lease.begin_term(term)
    for asked, offset in samples:
        lease.record_position(asked, P(term, offset))
    return lease


BOUNDED = catalog.Route("b", "g", catalog.Consistency.BOUNDED, 1.5)
LATEST = catalog.Route("l", "g", catalog.Consistency.LATEST)
SESSION = catalog.Route("s", "g", catalog.Consistency.SESSION, 2.5)


def test_bounded_read_takes_the_oldest_position_that_covers_its_bound():
    lease = make_lease((8.0, 3), (9.0, 5), (9.9, 8))
    assert primary_lease.find_floor(lease, BOUNDED, 10.0, None) == P(1, 5)


def test_latest_read_needs_a_position_requested_after_it_began():
    lease = make_lease((9.0, 5), (9.9, 8))
    assert primary_lease.find_floor(lease, LATEST, 10.0, None) is None
    lease.record_position(10.1, P(1, 9))
    assert primary_lease.find_floor(lease, LATEST, 10.0, None) == P(1, 9)


def test_session_read_is_not_behind_the_sessions_own_commit():
    lease = make_lease((9.0, 5))
    assert primary_lease.find_floor(lease, SESSION, 10.0, P(1, 7)) == P(1, 7)
    assert primary_lease.find_floor(lease, SESSION, 10.0, P(1, 2)) == P(1, 5)


def test_session_read_is_not_behind_its_commit_of_a_later_term_than_the_samples():
    lease = make_lease((9.0, 5))
    assert primary_lease.find_floor(lease, SESSION, 10.0, P(2, 3)) == P(2, 3)


def test_own_commit_of_an_earlier_term_is_part_of_any_later_position():
    lease = make_lease((9.0, 5), term=2)
    assert primary_lease.find_floor(lease, SESSION, 10.0, P(1, 9)) == P(2, 5)


def test_positions_of_another_term_are_dropped():
    lease = make_lease((9.0, 5))
    lease.begin_term(2)
    lease.record_position(9.5, P(1, 6))
    assert primary_lease.find_floor(lease, BOUNDED, 10.0, None) is None


def test_answer_to_an_older_request_does_not_replace_a_newer_one():
    lease = make_lease((9.5, 8), (9.0, 5))
    assert lease.latest.position == P(1, 8)


def test_lease_expires_and_is_revoked_by_a_seal():
    lease = make_lease()
    lease.confirm(10.0)
    assert lease.holds_lease(10.0 + 0.95 * primary_lease.LEASE)
    assert not lease.holds_lease(10.0 + 1.05 * primary_lease.LEASE)
    lease.revoke()
    assert not lease.holds_lease(10.1)


def test_age_in_a_report_is_dated_by_the_leaders_own_reading():
    assert builders_node.make_report().date(0.2, "leader-1") == pytest.approx(1000.293)


def test_reading_of_another_leaders_clock_dates_nothing():
    assert builders_node.make_report().date(0.2, "leader-2") is None
    assert builders_node.make_report(echo=None).date(0.2, "leader-1") is None


def test_messages_are_read_back_as_they_were():
    version = objects.make_version(3, 9)
    state = catalog.GroupState("g", 2, "e", catalog.Phase.SEALED, version, 3)
    report = builders_node.make_report(
        failing={"e": 0.4},
        era=3,
        later=[state],
        covered={"n2": ("b", 0.25)},
        covered_age=0.3,
        covered_failing={"n2": {"e": 0.5}},
        replicated={"g": P(2, 5)},
    )
    again = reports.parse(json.loads(json.dumps(report.dump())))
    assert again.dump() == report.dump()
    assert again.states == report.states
    assert again.covered == report.covered
    assert again.replicated == report.replicated
    advice = reports.LeaderResponse(
        "n0",
        "a",
        50.0,
        [state],
        {"g": (0.1, P(2, 3))},
        [],
        5,
        1,
        77.0,
        {"e": ["n1"]},
        0.2,
    )
    assert reports.parse(advice.dump()).dump() == advice.dump()
    advice.sender, advice.sender_incarnation, advice.leader_age = "n1", "b", 0.1
    relayed = reports.parse(advice.dump())
    assert relayed.dump() == advice.dump()
    assert relayed.is_relayed()
    stored = reports.Configuration({"Version": 3, "Routes": ["x"] * 500})
    assert reports.parse(stored.dump()).value == stored.value
    assert len(stored.dump()["value"]) < 500


@pytest.mark.parametrize("requested", ["", "r1"])
@pytest.mark.parametrize("is_stored", [True, False])
def test_state_that_the_store_lacks_is_reported_as_such(is_stored, requested):
    # The leader took it for stored, and never wrote it again.
    state = catalog.GroupState(
        "g", 2, "p", catalog.Phase.SERVING, 7, 0, is_stored, requested
    )
    report = builders_node.make_report(later=[state])
    (found,) = reports.parse(report.dump()).later
    assert (found.is_stored, found.requested) == (is_stored, requested)


def test_unknown_message_is_ignored():
    assert reports.parse({"kind": "other"}) is None


def make_status(offset, primary=False, term=1, paused=2) -> ports.LogStatus:
    return ports.LogStatus(primary, term, P(term, offset), paused)


STATE = catalog.GroupState("g", 1, "p", catalog.Phase.SEALED, 5)


def test_most_advanced_replica_is_promoted_once_enough_are_read():
    logs = {"r1": make_status(7), "r2": make_status(9)}
    assert promotion.choose_target(logs, STATE, 2, 1).target == "r2"


def test_one_replica_of_two_may_lack_an_acknowledged_commit():
    logs = {"r1": make_status(7)}
    assert promotion.choose_target(logs, STATE, 2, 1).target == ""


def test_replica_that_is_not_behind_the_old_primary_suffices():
    logs = {"r1": make_status(7), "p": make_status(7)}
    assert promotion.choose_target(logs, STATE, 2, 1).target == "r1"


def test_replica_behind_the_old_primary_waits_for_the_other_one():
    logs = {"r1": make_status(6), "p": make_status(7)}
    assert promotion.choose_target(logs, STATE, 2, 1).target == ""
    undone = promotion.choose_target(logs, STATE, 2, 1, may_reinstate=True)
    assert undone.target == "p"


def test_replica_that_left_may_have_had_the_only_copy_of_a_commit():
    # deploy/days/lag.toml on ciel-noir: a draining replica confirmed positions 143 to
    # 147 and left before the failover; the logs of both others ended at 142.
    logs = {"r1": make_status(142), "r2": make_status(142), "p": make_status(174)}
    assert promotion.choose_target(logs, STATE, 3, 1).target == ""
    plan = promotion.choose_target(logs, STATE, 3, 1, acknowledged=P(1, 147))
    assert plan.target == ""
    plan = promotion.choose_target(
        logs, STATE, 3, 1, acknowledged=P(1, 147), may_reinstate=True
    )
    assert plan.target == "p"
    plan = promotion.choose_target(logs, STATE, 3, 1, acknowledged=P(1, 142))
    assert plan.target == "r1"


def test_replicas_that_lack_what_a_commit_proves_are_not_promoted():
    # One of them has lost its log; no restart of it is known.
    logs = {"r1": make_status(0), "r2": make_status(5)}
    assert promotion.choose_target(logs, STATE, 2, 1).target == "r2"
    lost = {"replicated": P(1, 6)}
    assert promotion.choose_target(logs, STATE, 2, 1, **lost).target == ""
    logs["p"] = make_status(9)
    plan = promotion.choose_target(logs, STATE, 2, 1, may_reinstate=True, **lost)
    assert plan.target == "p"
    assert promotion.choose_target(logs, STATE, 2, 1, replicated=P(1, 5)).target == "r2"


def test_replicas_that_lack_what_a_node_told_are_not_promoted():
    # A replica without a record may have it; later on, none can be without one.
    logs = {"r1": make_status(5), "r2": make_status(5)}
    told = {"stated": P(1, 6)}
    plan = promotion.choose_target(logs, STATE, 2, 1, awaits_records=True, **told)
    assert plan.target == ""
    assert promotion.choose_target(logs, STATE, 2, 1, **told).target == "r1"
    logs["r1"] = make_status(6)
    plan = promotion.choose_target(logs, STATE, 2, 1, awaits_records=True, **told)
    assert plan.target == "r1"


def test_old_primary_that_lost_its_log_proves_nothing():
    # It showed position 6 to a caller.
    logs = {"r1": make_status(5), "p": make_status(0)}
    assert promotion.choose_target(logs, STATE, 2, 1).target == "r1"
    told = {"stated": P(1, 6), "may_reinstate": True}
    assert promotion.choose_target(logs, STATE, 2, 1, **told).target == ""


def test_commits_that_were_sent_together_prove_as_many_positions():
    found = commits.Commits()
    for _ in range(3):
        found.record_told(P(1, 5), P(1, 9))
    assert found.replicated == P(1, 8)
    found.record_told(P(1, 7), P(1, 9))
    assert found.replicated == P(1, 9)
    found.record_told(P(2, 9), P(2, 10))
    assert found.replicated == P(2, 10)


def test_commit_does_not_prove_that_later_ones_have_been_received():
    # A replica that crashed with its primary is not waited for.
    found = commits.Commits()
    found.record_told(P(1, 5), P(1, 9))
    assert found.replicated == P(1, 6)
    found.record_told(P(1, 3), P(1, 9))
    found.record_told(P(1, 8), P(2, 9))
    found.record_told(None, P(1, 9))
    found.record_told(P(1, 8), None)
    assert found.replicated == P(1, 6)


def test_endpoint_that_is_primary_of_a_later_term_is_published():
    logs = {"r1": make_status(7, primary=True, term=2)}
    assert promotion.choose_target(logs, STATE, 2, 1).leader == "r1"


def test_endpoint_that_stays_is_preferred_among_equals():
    logs = {"r1": make_status(7), "r2": make_status(7)}
    plan = promotion.choose_target(logs, STATE, 2, 1, draining=frozenset({"r1"}))
    assert plan.target == "r2"
    plan = promotion.choose_target(logs, STATE, 2, 1, failed=frozenset({"r2"}))
    assert plan.target == "r1"


def test_missing_record_of_the_primary_does_not_reduce_the_required_replicas():
    assert promotion.count_required_replicas(2, 1) == 2
    assert promotion.count_required_replicas(1, 1) == 1


@pytest.mark.parametrize(
    ("failing", "reporting", "suspect"),
    [(0, 8, False), (1, 8, False), (2, 8, True), (1, 1, True), (2, 12, False)],
)
def test_primary_is_suspected_by_enough_nodes(failing, reporting, suspect):
    assert promotion.is_suspect(failing, reporting) is suspect


def choose_lowest(
    candidates: list[placement.Candidate], floor: positions.Position, has_lease: bool
) -> placement.Candidate | None:
    policy = placement_policies.POLICIES["lowest"]
    return selection.select(candidates, {}, floor, has_lease, policy, 0.5).chosen


def make_candidate(name: str, **changes: object) -> placement.Candidate:
    return placement.Candidate(name, 0.002, 0.03, **changes)


def test_read_goes_to_the_endpoint_with_the_lowest_estimated_latency():
    slow = placement.Candidate("slow", 0.002, 0.2)
    near = make_candidate("near")
    far = make_candidate("far", is_remote_region=True)
    chosen = choose_lowest([slow, near, far], P(1, 1), False)
    assert chosen.name == "near"
    near.in_flight = 6
    assert choose_lowest([slow, near, far], P(1, 1), False).name == "far"


def test_replica_that_lacked_a_position_is_not_tried_for_it_again():
    behind = make_candidate("behind", missing_position=P(1, 5))
    primary = make_candidate("primary", is_primary=True, is_remote_region=True)
    both = [behind, primary]
    assert choose_lowest(both, P(1, 5), True).name == "primary"
    assert choose_lowest(both, P(1, 4), True).name == "behind"
    assert choose_lowest(both, P(1, 5), False) is None


def test_primary_is_read_only_under_the_lease():
    primary = make_candidate("primary", is_primary=True)
    assert choose_lowest([primary], P(1, 1), False) is None


def test_statement_that_can_meet_its_target_precedes_a_late_one():
    now = 10.0
    fast = catalog.Route("f", "g", target_latency=0.4, priority=1)
    slow = catalog.Route("s", "g", target_latency=0.8, priority=2)
    late = admission.Waiter("t", fast, 9.0, 11.0)
    urgent = admission.Waiter("t", fast, 9.8, 11.0)
    relaxed = admission.Waiter("t", slow, 9.5, 11.0)
    assert admission.sort_by_rank([late, relaxed, urgent], now) == [
        urgent,
        relaxed,
        late,
    ]


def test_retries_of_refused_callers_are_spread_around_the_expected_time():
    assert admission.compute_retry_after(1.0, 0.0) < admission.compute_retry_after(
        1.0, 1.0
    )
    assert admission.compute_retry_after(0.0, 0.0) > 0


def make_leadership(spread: float = 0.0) -> leadership.Leadership:
    lead = leadership.Leadership("n1", "a", spread)
    lead.observe(None, 0.0)
    return lead


def store_leader(
    version: int, node: str = "n2", incarnation: str = "b"
) -> objects.StoredObject:
    value = {"node": node, "incarnation": incarnation, "beat": version}
    return objects.StoredObject("k", "leader", version, value)


def test_leadership_is_taken_only_when_its_object_stays_unchanged():
    lead = make_leadership()
    lead.observe(store_leader(5), 10.0)
    assert lead.find_next_write(10.0) >= 10.0 + leadership.TAKEOVER_AFTER
    lead.observe(store_leader(6), 11.0)
    assert lead.find_next_write(11.0) >= 11.0 + leadership.TAKEOVER_AFTER


def test_own_write_seen_early_through_a_watch_does_not_extend_the_wait():
    # letters-desk trouble-3: a new leader took its own write for a heartbeat of its
    # predecessor, and granted no tokens for 1.6 s too long.
    lead = make_leadership()
    lead.observe(store_leader(5), 10.0)
    predecessor_until = lead.predecessor_until
    lead.observe(store_leader(6, lead.node, lead.incarnation), 12.5)
    assert lead.predecessor_until == predecessor_until
    lead.note_heartbeat(lead.incarnation, 6, 12.6)
    assert lead.predecessor_until == predecessor_until


def test_process_that_follows_its_own_predecessor_does_not_wait():
    lead = make_leadership()
    lead.observe(store_leader(5, lead.node, "before"), 10.0)
    assert lead.predecessor_until == 10.0
    assert lead.find_next_write(10.0) <= 10.0


def test_old_renewal_is_not_a_heartbeat():
    lead = make_leadership()
    lead.observe(store_leader(5), 10.0)
    lead.note_heartbeat("b", 9, 11.0)
    lead.observe(store_leader(9), 13.0)
    assert lead.find_next_write(13.0) <= 11.0 + leadership.TAKEOVER_AFTER


def test_leader_acts_only_within_its_lease_counted_from_sending():
    lead = make_leadership()
    lead.note_written(10.0, 5, {})
    assert lead.leads(10.0 + leadership.LEASE - 0.01)
    assert not lead.leads(10.0 + leadership.LEASE)
    assert leadership.LEASE < leadership.TAKEOVER_AFTER


def test_nobody_takes_over_from_the_leader_that_follows_a_resignation():
    lead = make_leadership()
    lead.observe(store_leader(5), 10.0)
    lead.accept_resignation("b", 5, 11.0)
    lead.accept_announcement("n3", "c", 6, 11.1)
    assert lead.find_next_write(11.2) >= 11.1 + leadership.TAKEOVER_AFTER


def restore_leader(incarnation: str = "b", era: int = 1) -> objects.StoredObject:
    """Return the object of a leader of an era as it is read in era 2."""
    value = {"node": "n2", "incarnation": incarnation, "beat": 1, "era": era}
    return objects.StoredObject("k", "leader", objects.make_version(2, 3), value)


@pytest.mark.parametrize("stored", [None, restore_leader(), restore_leader("a")])
def test_nobody_takes_over_within_a_lease_that_a_restore_has_lost(stored):
    lead = make_leadership()
    lead.observe(store_leader(5), 8.0)
    lead.accept_resignation("b", 5, 9.0)
    lead.begin_era(10.0)
    assert lead.find_next_write(10.1) == float("inf")
    lead.observe(stored, 10.2, 2)
    assert lead.find_next_write(10.3) >= 10.0 + leadership.TAKEOVER_AFTER
    assert lead.predecessor_until >= 10.0 + leadership.LEASE


def test_leader_within_its_lease_writes_its_object_after_a_restore_at_once():
    lead = make_leadership()
    lead.note_written(10.0, 5, {"t": 7})
    lead.begin_era(10.5)
    lead.observe(None, 10.6, 2)
    assert lead.leads(10.7)
    assert lead.find_next_write(10.7) <= 10.7
    assert lead.make_value({})["era"] == 2
    lead.note_written(10.7, objects.make_version(2, 4), {})
    assert lead.acquired_version == objects.make_version(2, 4)


def test_leader_whose_lease_has_run_out_waits_after_a_restore():
    lead = make_leadership()
    lead.note_written(10.0, 5, {})
    lead.begin_era(12.0)
    lead.observe(restore_leader("a"), 12.1, 2)
    assert lead.find_next_write(12.2) >= 12.0 + leadership.TAKEOVER_AFTER


def test_reserves_that_a_restore_brought_back_are_not_used():
    lead = make_leadership()
    stored = restore_leader()
    stored.value["reserves"] = {"t": 90}
    lead.begin_era(10.0)
    lead.observe(stored, 10.1, 2)
    assert lead.has_current_reserves()
    assert lead.reserves == {}


def test_state_that_a_restore_brought_back_is_not_later():
    serving, sealed = catalog.Phase.SERVING, catalog.Phase.SEALED
    held = catalog.GroupState("g", 2, "b", serving, objects.make_version(1, 80))
    for found in (
        catalog.GroupState("g", 1, "a", serving, objects.make_version(2, 50)),
        catalog.GroupState("g", 1, "a", sealed, objects.make_version(2, 50), 3),
    ):
        merged = held.merge(found)
        assert (merged.primary, merged.stage) == ("b", held.stage)
        assert merged.version == found.version
        assert not merged.is_stored
        assert found.merge(held).stage == held.stage


def test_stored_state_counts_only_in_the_era_in_which_it_was_written():
    state = catalog.GroupState("g", 2, "b", catalog.Phase.SERVING)
    value = state.dump(1)
    first, second = objects.make_version(1, 50), objects.make_version(2, 50)
    assert catalog.parse_group_state("g", value, first).is_stored
    assert not catalog.parse_group_state("g", value, second).is_stored


def test_primary_of_a_term_that_another_endpoint_has_left_is_not_found():
    old, new = make_status(5, primary=True, term=1), make_status(5, term=2)
    assert promotion.find_primary({"a": old, "b": new}) == ""
    assert promotion.find_primary({"a": old}) == "a"


def test_leader_without_the_store_continues_while_no_node_reaches_the_store():
    lead = make_leadership()
    lead.note_written(10.0, 5, {})
    contacts = [(10.1, 13.0), (10.2, 13.4)]
    assert lead.find_exclusive_until(13.5, contacts) == 13.0
    assert lead.find_exclusive_until(13.5, [*contacts, (12.5, 13.4)]) is None
    assert lead.find_exclusive_until(13.5, None) is None


def test_leader_resigns_only_for_nodes_that_reach_the_store():
    lead = make_leadership()
    lead.note_written(10.0, 5, {})
    assert not lead.should_resign(11.2, [(10.1, 11.1)])
    assert lead.should_resign(11.2, [(11.0, 11.1)])


def test_connection_is_reset_only_to_drop_state_that_the_session_lacks():
    pooled = pool.PooledConnection(None, None, "t")
    pooled.values = {"a": "1"}
    wanted = [statements.Definition(False, "x"), statements.Definition(True, "x")]
    pooled.prepared = {wanted[0].shared_name}
    assert pool.find_missing_state(pooled, {"a": "1", "b": "2"}, wanted) == (
        False,
        {"b": "2"},
        wanted[1:],
    )
    assert pool.find_missing_state(pooled, {"b": "2"}, wanted) == (
        True,
        {"b": "2"},
        wanted,
    )


def race(*attempts):
    """Run attempts in a race and return its result."""

    async def main():
        async with anyio.create_task_group() as tasks:
            found = hedging.Race(tasks.start_soon)
            for attempt in attempts:
                found.add(attempt)
            return await found.wait()

    return anyio.run(main)


def test_first_success_counts_and_the_other_attempt_runs_on():
    ended = []

    async def slow():
        await asyncio.sleep(0.02)
        ended.append("slow")
        return statements.Answer([], "slow")

    async def fast():
        return statements.Answer([], "fast")

    assert race(slow, fast).completion_tag == "fast"
    assert ended == ["slow"]


def test_failure_counts_only_when_no_attempt_is_running():
    async def fails():
        raise RuntimeError("no")

    async def succeeds():
        await asyncio.sleep(0.01)
        return statements.Answer([], "late")

    assert race(fails, succeeds).completion_tag == "late"


def test_hedges_stay_a_small_share_of_reads():
    allowance = hedging.HedgeBudget()
    taken = 0
    for _ in range(1000):
        allowance.record_read()
        taken += allowance.take()
    assert taken <= hedging.MAX_TOKENS + 1000 * hedging.HEDGES_PER_READ


def test_bucket_whose_rate_shrinks_keeps_no_more_than_its_new_burst():
    # A disconnected node has an even share of the whole rate; after reconnecting, only
    # the allocator may grant the part of it beyond the static share.
    part = static_bucket.StaticBucket(0.0)
    part.configure(0.0, 10.0, 20.0)
    part.refill(5.0)
    assert part.tokens == 20.0
    part.configure(5.0, 3.0, 6.0)
    assert sum(part.take(5.0) for _ in range(30)) == 6


def test_new_process_keeps_the_tokens_that_it_starts_with():
    part = static_bucket.StaticBucket(0.0)
    part.start(4.0)
    part.configure(0.0, 1.0, 2.0)
    assert sum(part.take(0.0) for _ in range(10)) == 4


def make_rate_limiter(members: int) -> rate_limiter.RateLimiter:
    loaded = settings.Settings(
        "n0", "z", {}, ("", 1), ("", 1), ("", 1), 0, ("", 1), ("", 1)
    )
    found = rate_limiter.RateLimiter(loaded, lambda team: None)
    found.configure(builders_node.make_catalog(rate=20.0, burst=20.0), members)
    return found


def count_tokens(found: rate_limiter.RateLimiter) -> float:
    return found.accounts["red"].even.tokens


def test_node_has_no_tokens_before_the_members_are_known():
    # Guards against a node that reads the configuration before the members, takes
    # itself for the only member, and starts with the share of all nodes.
    found = make_rate_limiter(0)
    assert count_tokens(found) == 0
    found.configure(builders_node.make_catalog(rate=20.0, burst=20.0), 9)
    assert count_tokens(found) == count_tokens(make_rate_limiter(9)) > 0


Step = stopping.Step


@pytest.mark.parametrize(
    ("at", "callers", "step"),
    [
        (0.0, 40, Step.ACCEPTING),
        (2.3, 0, Step.ACCEPTING),
        (2.5, 40, Step.CLOSING_IDLE),
        (2.5, 0, Step.DONE),
        (3.1, 3, Step.ROLLING_BACK),
        (5.6, 1, Step.DONE),
    ],
)
def test_graceful_shutdown_of_a_busy_node_takes_its_steps_in_order(at, callers, step):
    assert stopping.Shutdown(100.0, 6.0).find_step(100.0 + at, callers) is step


def test_short_grace_period_still_leaves_time_for_every_step():
    stop = stopping.Shutdown(0.0, 2.0)
    assert stop.find_step(0.9, 1) is Step.ACCEPTING
    assert stop.find_step(1.1, 1) is Step.ROLLING_BACK
    assert stop.find_step(1.9, 1) is Step.DONE


@pytest.mark.parametrize("connections", [4, 21, 74, 255])
def test_connection_limits_of_owner_and_others_stay_within_the_endpoints(connections):
    owner = sharing.compute_limit(connections, True)
    other = sharing.compute_limit(connections, False)
    assert owner >= 1
    assert other >= 1
    assert owner + other <= max(2, connections - sharing.RESERVED_CONNECTIONS)
    if connections > 20:
        assert (
            owner + sharing.NON_OWNERS * other
            <= connections - sharing.RESERVED_CONNECTIONS
        )
        assert owner > connections // 2


def test_announcement_of_a_leader_counts_only_if_it_is_newer():
    lead = make_leadership()
    lead.observe(store_leader(5), 10.0)
    lead.accept_announcement("n3", "c", 5, 11.0)
    assert lead.holder == "n2"
    lead.accept_announcement("n3", "c", 6, 11.0)
    assert (lead.holder, lead.holder_incarnation) == ("n3", "c")


def test_leader_does_not_resign_because_of_another_ones_announcement():
    lead = make_leadership()
    lead.note_written(10.0, 5, {})
    lead.accept_announcement("n3", "c", 6, 10.5)
    assert lead.holder == "n1"


def make_endpoint() -> pool.Endpoint:
    record = catalog.EndpointRecord("e", "g", "host", 1, "z", 3)
    return pool.Endpoint(record, 0)


def test_primary_with_unanswered_commits_that_answers_queries_is_failing():
    endpoint = make_endpoint()
    endpoint.writes["c"] = 10.0
    endpoint.probe_answered_at = 10.6
    assert endpoint.find_failing_since(10.5) is None
    assert endpoint.find_failing_since(10.8) == 10.0


def test_primary_that_committed_meanwhile_is_not_failing():
    endpoint = make_endpoint()
    endpoint.writes["c"] = 10.0
    endpoint.probe_answered_at = 10.6
    endpoint.committed_at = 10.3
    assert endpoint.find_failing_since(10.8) is None


def test_primary_that_answered_no_query_since_is_not_considered_isolated():
    endpoint = make_endpoint()
    endpoint.writes["c"] = 10.0
    endpoint.probe_answered_at = 10.1
    assert endpoint.find_failing_since(10.8) is None


def test_grant_that_comes_too_late_is_not_spent():
    found = make_rate_limiter(9)
    balance = found.accounts["red"].balance
    now = clock.read()
    found.take_grant("red", 1, 5, now - 0.1)
    assert balance.tokens == 0
    found.take_grant("red", 2, 5, now + 1.0)
    assert balance.tokens == 5


def make_group() -> groups.Group:
    return groups.Group(
        "g", None, None, lambda zone: 0, 7.0, lambda now: 0.0, None, None, None
    )


def test_position_of_the_primary_does_not_lower_what_was_acknowledged():
    group = make_group()
    now = clock.read()
    group.commits.record_told(None, P(1, 9))
    group.record_position(now + 1.0, P(1, 7))
    assert group.commits.newest == P(1, 9)


def test_position_requested_before_the_start_does_not_cover_earlier_commits():
    group = make_group()
    group.record_position(clock.read() - 60.0, P(1, 7))
    assert group.commits.newest is None
    group.record_position(clock.read(), P(1, 8))
    assert group.commits.newest == P(1, 8)


def test_watcher_lists_again_only_when_it_stays_behind():
    watcher = store_watch.Watcher(None, "k", *[None] * 5)
    watcher.changed = 5
    watcher.refresh_if_stale(7, 10.0)
    watcher.changed = 7
    watcher.refresh_if_stale(7, 10.4)
    watcher.refresh_if_stale(9, 11.0)
    assert not watcher._relist
    watcher.refresh_if_stale(9, 11.1 + store_watch.STALE_GRACE)
    assert watcher._relist


def test_endpoint_with_a_high_error_rate_is_avoided_until_it_decays():
    # Scenario srv_grey: an endpoint in the own zone fails two of five statements while
    # its health checks succeed; the only alternative is in another region.
    tracker = grading.ErrorRate(100.0)
    for index in range(40):
        tracker.record(100.0 + index / 20, index % 5 < 2)
    share = tracker.compute(102.0)
    assert share == pytest.approx(0.4, abs=0.1)
    grey = make_candidate("grey", failed=share)
    far = make_candidate("far", is_remote_region=True)
    assert choose_lowest([grey, far], P(1, 1), False) is far
    # No statements are sent there meanwhile, and the observations decay.
    assert tracker.compute(110.0) == 0.0
    back = make_candidate("grey", failed=tracker.compute(110.0))
    assert choose_lowest([back, far], P(1, 1), False) is back


def test_equal_error_rates_do_not_change_the_placement():
    near = make_candidate("near", failed=0.5)
    far = make_candidate("far", is_remote_region=True, failed=0.5)
    assert choose_lowest([near, far], P(1, 1), False) is near


def test_one_failure_is_not_significant():
    tracker = grading.ErrorRate(100.0)
    tracker.record(100.0, True)
    assert tracker.compute(100.0) == 0.0


@pytest.mark.parametrize(
    "value",
    [
        {},
        [],
        "text",
        {"node": 7, "incarnation": "x"},
        {"node": "a", "incarnation": "x", "reserves": []},
        {"node": "a", "incarnation": "x", "reserves": {"red": "many"}},
        {"node": "a", "incarnation": "x", "era": "today"},
    ],
)
def test_malformed_leader_object_names_no_leader_and_no_resignation(value):
    # The watch of the leader failed on it, or a lease that still ran was ignored.
    lead = leadership.Leadership("n1", "one", 0.0)
    lead.observe(store_leader(5), 10.0)
    lead.observe(objects.StoredObject("lead", "leader", 6, value), 11.0)
    assert not lead.has_resigned
    assert lead.find_next_write(11.0) >= 11.0 + leadership.TAKEOVER_AFTER
    assert lead.predecessor_until >= 11.0 + leadership.LEASE
    assert lead.version == 6


def test_leader_keeps_its_lead_over_a_malformed_object():
    lead = leadership.Leadership("n1", "one", 0.0)
    lead.observe(None, 9.0)
    lead.note_written(10.0, 5, {})
    lead.observe(objects.StoredObject("lead", "leader", 6, {"node": 7}), 10.5)
    assert lead.leads(10.6)
    assert lead.is_own()
    assert lead.version == 6


def test_frozen_end_does_not_cover_a_restart():
    # The leader gives it out as a sample; it says nothing about the restarted log.
    group = make_group()
    group.lease.begin_term(1)
    group.state = types.SimpleNamespace(phase=catalog.Phase.SEALED, term=1)
    now = clock.read()
    group.restarts.record("g-1", now)
    group.record_position(now + 0.1, P(1, 5))
    assert "g-1" in group.find_restarted(P(1, 5))

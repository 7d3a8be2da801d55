"""Conclusions of a leader from the reports of the members."""

import types

import pytest

import builders_node
from sardinehold.core import positions
from sardinehold.node import clock
from sardinehold.node import commits
from sardinehold.node import exchange
from sardinehold.node import member_reports
from sardinehold.node import membership

P = positions.Position
NOW = 1000.9
"""Reading of the leader's clock; a report echoes 1000.0 and was held for 0.5 s."""


@pytest.fixture
def leader_reports(monkeypatch):
    """Return the reports received by a leader n0 with the members n1 and n2."""
    monkeypatch.setattr(clock, "read", lambda: NOW)
    group = types.SimpleNamespace(
        commits=commits.Commits(), state=types.SimpleNamespace(stage=(1, True, 2))
    )
    group.commits.newest = P(1, 3)
    group.commits.seal(NOW - commits.SEAL_GRACE, lease_until=NOW + 0.5)
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(name="n0"),
        incarnation="leader-1",
        members={"n0": {}, "n1": {}, "n2": {}},
        groups={"g": group},
        removals=membership.Removals(0.0),
        store_mirror=types.SimpleNamespace(find_store_contact=lambda: NOW - 0.1),
    )
    return member_reports.MemberReports(node)


SERVING = (1, False, 0)
SEALED = (1, True, 1)


def report_all(leader_reports, at=NOW, **changes):
    for name in ("n0", "n1", "n2"):
        leader_reports.add(builders_node.make_report(node=name, **changes), at)


def test_seal_is_known_when_every_member_reported_its_stage(leader_reports):
    report_all(leader_reports, states={"g": SEALED})
    assert leader_reports.is_seal_known("g", SEALED)


def test_seal_is_not_known_to_a_member_at_an_earlier_stage(leader_reports):
    report_all(leader_reports, states={"g": SEALED})
    leader_reports.add(builders_node.make_report(node="n2", states={"g": SERVING}), NOW)
    assert not leader_reports.is_seal_known("g", SEALED)


def test_seal_is_not_known_to_a_member_without_a_recent_report(leader_reports):
    report_all(leader_reports, at=NOW - member_reports.REPORT_LIFETIME - 0.1)
    assert not leader_reports.is_seal_known("g", SEALED)


def test_seal_is_known_to_nobody_where_there_are_no_members(leader_reports):
    leader_reports.node.members.clear()
    assert not leader_reports.is_seal_known("g", SERVING)


def test_seal_is_not_known_to_all_while_a_removed_node_may_hold_a_lease(leader_reports):
    report_all(leader_reports)
    leader_reports.node.removals.note(NOW)
    assert not leader_reports.is_seal_known("g", SEALED)
    leader_reports.node.removals.note(NOW - membership.LEASE_EXPIRY_DELAY - 0.1)
    assert leader_reports.is_seal_known("g", SEALED)


def test_newest_acknowledged_commit_of_any_member_is_found(leader_reports):
    report_all(leader_reports)
    leader_reports.add(
        builders_node.make_report(node="n2", acknowledged={"g": P(1, 9)}), NOW
    )
    assert leader_reports.collect_statements("g", 1000.0).acknowledged == P(1, 9)


def test_leaders_own_acknowledgements_count_as_well(leader_reports):
    report_all(leader_reports)
    leader_reports.node.groups["g"].commits.newest = P(1, 12)
    assert leader_reports.collect_statements("g", 1000.0).acknowledged == P(1, 12)


@pytest.mark.parametrize(
    "changes",
    [
        {"acknowledged": {}},
        {"echo_of": "leader-2"},
        {"echo": None},
        {"echo": 999.0},
    ],
)
def test_member_without_a_newer_report_leaves_commits_unknown(leader_reports, changes):
    report_all(leader_reports)
    leader_reports.add(builders_node.make_report(node="n2", **changes), NOW)
    assert leader_reports.collect_statements("g", 1000.0).acknowledged is None


def test_member_without_any_report_leaves_commits_unknown(leader_reports):
    leader_reports.add(builders_node.make_report(node="n1"), NOW)
    assert leader_reports.collect_statements("g", 1000.0).acknowledged is None


@pytest.mark.parametrize("stage", [(0, True, 3), SERVING, (2, False, 0)])
def test_commits_reported_under_another_seal_are_not_final(leader_reports, stage):
    # The member may learn late that there was a primary since, and commit there.
    report_all(leader_reports)
    leader_reports.add(builders_node.make_report(node="n2", states={"g": stage}), NOW)
    assert leader_reports.collect_statements("g", 1000.0).acknowledged is None


def test_leader_that_was_restarted_leaves_commits_unknown(leader_reports):
    report_all(leader_reports)
    leader_reports.node.groups["g"].commits.newest = None
    assert leader_reports.collect_statements("g", 1000.0).acknowledged is None


def test_commit_in_flight_behind_a_settled_seal_is_not_told(leader_reports):
    report_all(leader_reports)
    own = leader_reports.node.groups["g"].commits
    own.in_flight = 1
    own.settle(NOW)
    assert leader_reports.collect_statements("g", 1000.0).acknowledged == P(1, 6)


@pytest.mark.parametrize("reason", ["in flight", "not sealed", "just sealed"])
def test_commit_that_may_be_acknowledged_later_leaves_commits_unknown(
    leader_reports, reason
):
    report_all(leader_reports)
    own = leader_reports.node.groups["g"].commits
    if reason == "in flight":
        own.in_flight = 1
    else:
        own.unseal()
    if reason == "just sealed":
        own.seal(NOW, lease_until=NOW + 0.5)
    assert leader_reports.collect_statements("g", 1000.0).acknowledged is None


@pytest.mark.parametrize(
    ("unadvised", "later", "is_connected"),
    [
        (0.0, 0.0, True),
        (0.4, 0.9, True),
        (0.9, 0.7, False),
        (exchange.LEADER_LOST_AFTER, 0.0, False),
        (0.0, member_reports.REPORT_LIFETIME + 0.1, False),
    ],
)
def test_member_is_connected_until_it_may_use_its_static_share(
    leader_reports, unadvised, later, is_connected
):
    report_all(leader_reports, unadvised=unadvised)
    assert leader_reports.is_connected("n2", NOW + later) is is_connected
    assert leader_reports.is_connected("n0", NOW + later)


def test_member_of_another_leader_counts_as_connected(leader_reports):
    report_all(leader_reports, echo_of="leader-2", unadvised=0.3)
    assert leader_reports.is_connected("n2", NOW)


def test_contact_with_the_store_is_dated_by_the_reports_arrival(leader_reports):
    leader_reports.add(builders_node.make_report(node="n1", contact_age=3.0), NOW - 0.5)
    own, other = leader_reports.list_contacts(NOW)
    assert own == (NOW - 0.1, NOW)
    assert other[0] == pytest.approx(NOW - 0.5 - 3.0, abs=0.1)


def test_members_that_do_not_report_are_listed(leader_reports):
    leader_reports.add(builders_node.make_report(node="n1"), NOW)
    assert leader_reports.list_silent(NOW) == ["n2"]

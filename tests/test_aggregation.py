"""Aggregators: sections of a fleet report through one node, whatever happens to it."""

import asyncio

import pytest

import builders_node
from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import aggregation
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import exchange
from sardinehold.node import member_reports
from sardinehold.node import ownership
from sardinehold.node import rate_limiter
from sardinehold.node import reports
from sardinehold.node import sections

COUNT = 40
P = positions.Position


def find_aggregators(world):
    """Return the nodes to which others report, except the leader."""
    now = clock.read()
    return [
        name
        for name, node in world.nodes.items()
        if name != world.find_leader() and node.aggregator.has_members(now)
    ]


def list_section(world, aggregator):
    """Return the nodes that report to an aggregator."""
    return [
        name
        for name, node in world.nodes.items()
        if node.exchange._target == aggregator
    ]


def run(monkeypatch, scenario, **configuration):
    """Run a scenario on a fleet with three sections."""

    async def start(world):
        await asyncio.sleep(2.0)
        assert len(find_aggregators(world)) == 3
        await scenario(world)

    builders_node.run_scenario(monkeypatch, start, COUNT, **configuration)


async def read_everywhere(world, seconds, route="latest"):
    """Read on every node twice a second; return the share of failures."""
    clients = [world.open(name, route) for name in world.nodes]
    failed, total = 0, 0
    for _ in range(round(2 * seconds)):
        answers = await asyncio.gather(*(client.read() for client in clients))
        failed += sum(answer.error is not None for answer in answers)
        total += len(answers)
        await asyncio.sleep(0.5)
    return failed / total


def test_leader_gets_the_reports_of_aggregators_and_candidates_only(monkeypatch):
    async def scenario(world):
        leader = world.nodes[world.find_leader()]
        received = leader.leader.member_reports.list_current(clock.read())
        aggregators = set(find_aggregators(world))
        candidates = {report.node for report in received if not report.covered}
        assert aggregators <= {report.node for report in received}
        assert len(candidates - {leader.settings.name}) <= 8
        assert leader.leader.member_reports.list_silent(clock.read()) == []

    run(monkeypatch, scenario)


def break_by_kill(world, name):
    world.kill_node(name)


def break_by_partition(world, name):
    for other in world.nodes:
        world.cuts.add(frozenset((name, other)))


def break_contact_with_leader(world, name):
    world.cuts.add(frozenset((name, world.find_leader())))


@pytest.mark.parametrize(
    "break_aggregator", [break_by_kill, break_by_partition, break_contact_with_leader]
)
def test_section_keeps_leases_and_tokens_when_its_aggregator_fails(
    monkeypatch, break_aggregator
):
    async def scenario(world):
        aggregator = find_aggregators(world)[0]
        section = list_section(world, aggregator)
        assert len(section) >= 8
        clients = [world.open(name, "latest") for name in section]
        break_aggregator(world, aggregator)
        for _ in range(30):
            await asyncio.sleep(0.1)
            answers = await asyncio.gather(*(client.read() for client in clients))
            assert not [answer.detail for answer in answers if answer.error]
        assert all(
            world.nodes[name].exchange.is_leader_reachable()
            and world.nodes[name].exchange._target != aggregator
            for name in section
        )

    run(monkeypatch, scenario, rate=2000.0, burst=2000.0)


def test_section_without_aggregators_reports_to_the_leader_seldom(monkeypatch):
    async def scenario(world):
        name = next(
            name
            for name in list_section(world, find_aggregators(world)[0])
            if name
            not in ownership.list_leader_candidates(world.nodes[name].members.values())
        )
        node = world.nodes[name]
        for aggregator in list(node.exchange._aggregators):
            break_by_kill(world, aggregator)
        await asyncio.sleep(1.4)
        assert node.exchange._target == world.find_leader()
        sent = []
        send = node.peers.send

        def record(message, address):
            sent.append(address)
            send(message, address)

        monkeypatch.setattr(node.peers, "send", record)
        for _ in range(40):
            node.exchange.request_tokens("red")
            await asyncio.sleep(0.02)
        assert 1 <= len(sent) <= 2
        leader = world.nodes[world.find_leader()]
        assert name not in leader.leader.member_reports.list_silent(clock.read())
        assert node.exchange.is_leader_reachable()

    run(monkeypatch, scenario)


def test_reads_go_on_while_the_store_is_down_for_all(monkeypatch):
    async def scenario(world):
        world.store.cut |= set(world.nodes)
        world.store.abort_watches()
        assert await read_everywhere(world, 6.0) == 0.0

    run(monkeypatch, scenario, rate=2000.0, burst=2000.0)


def test_primary_is_replaced_as_soon_as_in_a_fleet_without_sections(monkeypatch):
    gaps = []

    async def scenario(world):
        client = world.open("n3", "latest")
        assert (await client.write()).error is None
        cluster = world.clusters["g"]
        primary = next(d for d in cluster.databases.values() if d.is_primary)
        primary.crash()
        began = clock.read()
        while (await world.open("n3", "latest").write()).error is not None:
            assert clock.read() - began < 10.0
        gaps.append(clock.read() - began)

    builders_node.run_scenario(monkeypatch, scenario, sections.MIN_SECTION_SIZE)
    run(monkeypatch, scenario)
    assert gaps[1] <= gaps[0] + 0.5


def test_change_of_configuration_reaches_all_sections(monkeypatch):
    async def scenario(world):
        world.publish_changes()
        await asyncio.sleep(1.5)
        assert world.list_outdated() == []

    run(monkeypatch, scenario)


def test_team_gets_no_more_than_its_rate_through_aggregators(monkeypatch):
    """Killed and partitioned aggregators neither copy tokens nor hold them for long."""
    rate, burst = 60.0, 60.0
    served = []

    async def ask(world):
        while True:
            await asyncio.gather(*(ask_once(world, name) for name in world.nodes))
            await asyncio.sleep(0.2)

    async def ask_once(world, name):
        node = world.nodes[name]
        try:
            await node.rate_limiter.acquire_token("red", clock.read() + 1.0)
            served.append(clock.read())
        except rate_limiter.RateLimitExceeded:
            pass

    async def scenario(world):
        world.tasks.start_soon(ask, world)
        await asyncio.sleep(5.0)
        world.kill_node(find_aggregators(world)[0])
        await asyncio.sleep(3.0)
        cut = find_aggregators(world)[0]
        break_by_partition(world, cut)
        await asyncio.sleep(3.0)
        world.cuts.clear()
        world.kill_node(world.find_leader())
        await asyncio.sleep(8.0)

    run(monkeypatch, scenario, rate=rate, burst=burst)
    for start in served:
        window = sum(start <= moment < start + 5.0 for moment in served)
        assert window <= (5.0 * rate + burst) * 1.1 + 20
    first = served[0]
    used = sum(first + 1.0 <= moment < first + 4.0 for moment in served)
    assert used >= 0.85 * 3.0 * rate


@pytest.fixture
def summary(monkeypatch):
    """Return a function that sums up reports which an aggregator received."""
    now = 1000.5

    def summarize(*received, **own):
        async def scenario(world):
            node = world.nodes["n1"]
            node.incarnation = "leader-1"
            node.leadership.holder_incarnation = node.aggregator._leader = "l"
            monkeypatch.setattr(clock, "read", lambda: now)
            reported = node.aggregator.member_reports
            reported.clear()
            node.groups["g"].state = catalog.GroupState(
                "g", 1, "g-0", catalog.Phase.SEALED, 1, 1
            )
            for report in received:
                reported.add(report, now)
                if report.sequence:
                    node.aggregator._settled.add(f"{report.node}/{report.incarnation}")
            report = builders_node.make_report(node="n1", **own)
            node.aggregator.summarize(report, now)
            found.append(report)
            world.tasks.cancel_scope.cancel()

        found = []
        builders_node.run_scenario(monkeypatch, scenario)
        return found[0]

    return summarize


def test_summary_has_the_earliest_stages_and_the_newest_commits(summary):
    report = summary(
        builders_node.make_report(
            node="n2",
            states={"g": (1, False, 1)},
            acknowledged={"g": P(1, 9)},
            contact_age=0.05,
            failing={"g-0": 0.5},
            full=("g-2",),
        ),
        contact_age=3.0,
    )
    assert report.states == {"g": (1, False, 1)}
    assert report.acknowledged == {"g": P(1, 9)}
    assert report.contact_age == pytest.approx(0.05, abs=0.01)
    assert report.covered.keys() == {"n2"}
    assert report.find_failing("n2") == {"g-0": 0.5}
    assert report.find_failing("n1") == {}
    assert report.full == ("g-2",)
    assert report.covered_age == pytest.approx(0.0, abs=0.02)


def test_summary_has_what_any_node_knows_of_the_replicas(summary):
    other = builders_node.make_report(node="n2", replicated={"g": P(1, 5)})
    assert summary(other).replicated == {"g": P(1, 5)}
    assert summary(other, replicated={"g": P(1, 4)}).replicated == {"g": P(1, 5)}
    assert summary(other, replicated={"g": P(1, 6)}).replicated == {"g": P(1, 6)}


@pytest.mark.parametrize("changes", [{"acknowledged": {}}, {"states": {}}])
def test_summary_leaves_out_what_a_node_does_not_know(summary, changes):
    report = summary(builders_node.make_report(node="n2", **changes))
    assert "g" not in getattr(report, next(iter(changes)))


@pytest.mark.parametrize("changes", [{"echo_of": "other"}, {"echo": None}])
def test_summary_does_not_cover_a_report_that_cannot_be_dated(summary, changes):
    if "echo" in changes:
        changes["echo_of"] = ""
    report = summary(builders_node.make_report(node="n2", **changes))
    assert report.covered == {}
    assert report.covered_age == 0.0


def test_summary_does_not_cover_a_node_that_did_not_tell_its_tokens(summary):
    assert summary(builders_node.make_report(node="n2", sequence=0)).covered == {}


def test_delayed_report_counts_from_its_sending(summary):
    """A node that was suspended handles reports that were sent long before."""
    report = summary(builders_node.make_report(node="n2", held=0.0, unadvised=0.4))
    incarnation, unadvised = report.covered["n2"]
    assert incarnation == "a"
    assert unadvised == pytest.approx(0.9, abs=0.02)
    assert report.covered_age == pytest.approx(0.5, abs=0.02)


def test_reports_under_another_leader_are_forgotten(monkeypatch):
    async def scenario(world):
        name = find_aggregators(world)[0]
        node = world.nodes[name]
        assert node.aggregator._list_dated(clock.read())
        node.leadership.holder_incarnation = "another"
        assert node.aggregator._list_dated(clock.read()) == []

    run(monkeypatch, scenario)


def test_summaries_are_answered_by_the_leader_only(monkeypatch):
    async def scenario(world):
        node = world.nodes[find_aggregators(world)[0]]
        sent = []
        monkeypatch.setattr(node.peers, "send", lambda *message: sent.append(message))
        covered = {"n5": ("b", 0.1)}
        node.aggregator.handle_report(
            builders_node.make_report(node="n4", covered=covered, echo_of="x")
        )
        assert sent == []

    run(monkeypatch, scenario)


def test_what_an_aggregator_tells_is_dated_by_the_leaders_response(monkeypatch):
    async def scenario(world):
        for name in list_section(world, find_aggregators(world)[0]):
            node = world.nodes[name]
            age = clock.read() - node.groups["g"].lease.as_of
            assert age <= exchange.REPORT_INTERVAL + exchange.SUMMARY_INTERVAL + 0.1
            assert node.exchange.leader_contact_at < clock.read()

    run(monkeypatch, scenario)


def test_late_exchanges_are_repeated_less_and_less_often(monkeypatch):
    async def scenario(world):
        follower = next(name for name in world.nodes if name != world.find_leader())
        node = world.nodes[follower]
        world.cuts.add(frozenset((follower, world.find_leader())))
        sequences = []
        for _ in range(60):
            for _ in range(5):
                node.exchange.request_tokens("red")
            await asyncio.sleep(0.05)
            sequences.append(node.exchange._sequence)
        # Without the doubled time there would be ten exchanges in three seconds.
        assert 2 <= sequences[-1] - sequences[0] <= 5

    builders_node.run_scenario(monkeypatch, scenario)


def test_request_while_an_exchange_is_pending_waits_for_its_end(monkeypatch):
    async def scenario(world):
        follower = next(name for name in world.nodes if name != world.find_leader())
        node = world.nodes[follower]
        sent = []
        send = node.peers.send

        def record(message, address):
            sent.append(message["kind"])
            send(message, address)

        monkeypatch.setattr(node.peers, "send", record)
        await asyncio.sleep(0.05)
        sent.clear()
        for _ in range(20):
            node.exchange.request_tokens("red")
            await asyncio.sleep(0.0005)
        assert sent.count("report") <= 1

    builders_node.run_scenario(monkeypatch, scenario)


def test_relayed_response_of_a_former_leader_is_ignored(monkeypatch):
    async def scenario(world):
        follower = next(name for name in world.nodes if name != world.find_leader())
        node = world.nodes[follower]
        known = node.exchange.last_response
        old = reports.LeaderResponse(
            "n9",
            "former",
            clock.read(),
            [],
            {},
            [quota.Grant(9, "red", 5, 1.0)],
            0,
            node.exchange._sequence,
            1.0,
            {},
            lead_version=node.leadership.version - 1,
            sender="n2",
            sender_incarnation="b",
        )
        node.exchange._handle_response(old)
        assert node.exchange.last_response is known
        assert node.exchange.leader_since < clock.read()

    builders_node.run_scenario(monkeypatch, scenario)


def test_loss_of_an_aggregator_fits_into_a_lease():
    """A report to the next aggregator is answered before the lease expires."""
    worst = (
        exchange.REPORT_INTERVAL
        + exchange.SUMMARY_INTERVAL
        + exchange.AGGREGATOR_TIMEOUT
    )
    assert worst < exchange.primary_lease.LEASE
    assert aggregation.REQUEST_TIMEOUT <= rate_limiter.MAX_WAIT
    assert member_reports.REPORT_LIFETIME > 2 * exchange.REPORT_INTERVAL

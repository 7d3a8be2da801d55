"""Open-loop load generation.

Statements are issued at their scheduled times, whether earlier ones were answered
or not.
"""

import itertools
import random

import anyio
import httpx

from sardinehold_bench import clients
from sardinehold_bench import fleet as fleets
from sardinehold_bench import results
from sardinehold_bench import scenario as scenarios

TABLE = "bench_entries"
CREATE = f"CREATE TABLE IF NOT EXISTS {TABLE} (session TEXT, number INTEGER)"
INDEX = f"CREATE INDEX IF NOT EXISTS {TABLE}_session ON {TABLE} (session)"
GRACE_SECONDS = 12.0
"""Time after the run during which outstanding answers are awaited."""

SETUP_ATTEMPTS = 20


class Arrival:
    """A scheduled statement.

    :param due: intended start in seconds of the event loop's clock.
    :param is_roaming: the session first moves to another proxy.
    """

    __slots__ = ("due", "is_write", "is_roaming")

    def __init__(self, due: float, is_write: bool, is_roaming: bool) -> None:
        """Create the arrival."""
        self.due = due
        self.is_write = is_write
        self.is_roaming = is_roaming


class Worker:
    """One session of a team, which runs its statements sequentially."""

    __slots__ = (
        "run",
        "team",
        "name",
        "caller",
        "proxies",
        "last_written",
        "highest_seen",
        "token",
    )

    def __init__(self, run: "Run", team: scenarios.TeamLoad, name: str) -> None:
        """Create an unconnected session."""
        self.run = run
        self.team = team
        self.name = name
        self.caller: clients.Caller | None = None
        self.proxies = itertools.cycle(run.shuffle_proxies())
        self.last_written = 0
        self.highest_seen = 0
        self.token = ""

    async def run_statement(self, arrival: Arrival) -> None:
        """Run one statement and count its outcome."""
        result = self.run.result.teams[self.team.name]
        try:
            await self._connect(arrival)
            if arrival.is_write:
                answer = await self._write()
            else:
                answer = await self._read()
        except clients.ConnectionClosed:
            await self._disconnect()
            result.unknown += 1
            return
        self._count(result, arrival, answer)

    async def _connect(self, arrival: Arrival) -> None:
        if arrival.is_roaming:
            await self._disconnect()
        if self.caller is not None:
            return
        max_age = f"{self.run.scenario.max_age}s" if self.team.aged else ""
        self.caller = await clients.connect(
            next(self.proxies),
            self.run.fleet.routes[self.team.name],
            self.team.name,
            self.run.fleet.keys[self.team.name],
            self.token,
            max_age,
        )

    async def _disconnect(self) -> None:
        if self.caller is not None:
            self.token = self.caller.token
            await self.caller.close()
        self.caller = None

    async def _write(self) -> clients.Answer:
        number = self.last_written + 1
        self.last_written = number
        answer = await self.caller.execute(
            f"INSERT INTO {TABLE} VALUES ('{self.name}', {number})"
        )
        if not answer.sqlstate:
            self.highest_seen = max(self.highest_seen, number)
            self.run.record_write(self.team.group)
        return answer

    async def _read(self) -> clients.Answer:
        answer = await self.caller.execute(
            f"SELECT coalesce(max(number), 0) FROM {TABLE} "
            f"WHERE session = '{self.name}'"
        )
        if not answer.sqlstate:
            self._check_read(answer)
        return answer

    def _check_read(self, answer: clients.Answer) -> None:
        number = int(answer.row[0] or 0)
        if not self.team.aged and number < self.highest_seen:
            self.run.result.stale_reads += 1
        self.highest_seen = max(self.highest_seen, number)

    def _count(
        self, result: results.TeamResult, arrival: Arrival, answer: clients.Answer
    ) -> None:
        if answer.sqlstate and answer.is_refused():
            result.refused += 1
            if self.run.is_demand_within_rate(self.team):
                result.refused_in_rate += 1
            return
        if answer.sqlstate:
            result.unknown += 1
            return
        result.answered += 1
        latency_seconds = anyio.current_time() - arrival.due
        result.latency.record_value(max(1, int(latency_seconds * 1_000_000)))


class Run:
    """One run of a scenario against a fleet.

    .. versionadded:: 0.1
    """

    __slots__ = ("scenario", "fleet", "result", "generator", "started")

    def __init__(
        self, scenario: scenarios.Scenario, fleet: fleets.Fleet, seed: int
    ) -> None:
        """Create the run; nothing is sent before :meth:`execute`."""
        self.scenario = scenario
        self.fleet = fleet
        self.result = results.RunResult([team.name for team in scenario.teams])
        self.generator = random.Random(seed)
        self.started = 0.0

    async def execute(self) -> results.RunResult:
        """Generate the load and return the results."""
        await self._create_tables()
        self.started = anyio.current_time()
        timeout = self.scenario.seconds + GRACE_SECONDS
        with anyio.move_on_after(timeout):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._isolate_primary)
                for team in self.scenario.teams:
                    tasks.start_soon(self._run_team, team)
        self.result.ended_at = anyio.current_time() - self.started
        await self._count_reads()
        for team in self.scenario.teams:
            allowed = team.burst + team.rate * self.scenario.seconds
            self.result.teams[team.name].allowed = allowed
        return self.result

    def shuffle_proxies(self) -> list[str]:
        """Return the proxies in random order, in place of a load balancer."""
        return self.generator.sample(self.fleet.proxies, len(self.fleet.proxies))

    def record_write(self, group: str) -> None:
        """Record the time of an acknowledged write."""
        times = self.result.write_times.setdefault(group, [])
        times.append(anyio.current_time() - self.started)

    def is_demand_within_rate(self, team: scenarios.TeamLoad) -> bool:
        """Return whether the team's current demand is within its rate."""
        return (
            team.demand * self._find_surge_factor(team, anyio.current_time())
            <= team.rate
        )

    def _find_surge_factor(self, team: scenarios.TeamLoad, time: float) -> float:
        surge_start = self.started + self.scenario.surge_at * self.scenario.seconds
        if not self.scenario.surge_at or time < surge_start:
            return 1.0
        return team.surge

    async def _create_tables(self) -> None:
        prepared = set()
        for team in self.scenario.teams:
            if team.group in prepared:
                continue
            await self._set_up_group(team)
            prepared.add(team.group)

    async def _set_up_group(self, team: scenarios.TeamLoad) -> None:
        for _ in range(SETUP_ATTEMPTS):
            worker = Worker(self, team, "prepare")
            try:
                await worker._connect(Arrival(0.0, True, False))
                answer = await worker.caller.execute(CREATE)
                if not answer.sqlstate:
                    await worker.caller.execute(INDEX)
                await worker._disconnect()
            except clients.ConnectionClosed:
                answer = None
            if answer is not None and not answer.sqlstate:
                return
            await anyio.sleep(1)
        raise clients.ConnectionClosed(f"Group {team.group} does not accept writes.")

    async def _run_team(self, team: scenarios.TeamLoad) -> None:
        send, receive = anyio.create_memory_object_stream(float("inf"))
        async with anyio.create_task_group() as tasks:
            for number in range(self.scenario.sessions):
                name = f"{team.name}-{number}"
                tasks.start_soon(
                    self._run_worker, Worker(self, team, name), receive.clone()
                )
            receive.close()
            async with send:
                await self._schedule(team, send)

    async def _schedule(self, team: scenarios.TeamLoad, send) -> None:
        generator = random.Random(f"{team.name}-{self.generator.random()}")
        due = self.started
        end = self.started + self.scenario.seconds
        while True:
            demand = team.demand * self._find_surge_factor(team, due)
            due += generator.expovariate(demand)
            if due >= end:
                return
            await anyio.sleep_until(due)
            self.result.teams[team.name].sent += 1
            is_write = generator.random() < self.scenario.write_share
            is_roaming = generator.random() < self.scenario.roam_share
            send.send_nowait(Arrival(due, is_write, is_roaming))

    async def _run_worker(self, worker: Worker, receive) -> None:
        async with receive:
            async for arrival in receive:
                await worker.run_statement(arrival)
        await worker._disconnect()

    async def _count_reads(self) -> None:
        """Count reads by role from the counters of the endpoints."""
        async with httpx.AsyncClient(trust_env=False) as client:
            for control in self.fleet.controls.values():
                answer = await client.get(f"{control}/status")
                counters = answer.json()["counters"]
                on_replica = counters.get("reads_as_replica", 0)
                self.result.replica_reads += on_replica
                self.result.reads += on_replica + counters.get("reads_as_primary", 0)

    async def _isolate_primary(self) -> None:
        if not self.scenario.cut_at:
            return
        await anyio.sleep(self.scenario.cut_at * self.scenario.seconds)
        self.result.cut_group = self.scenario.deployment.groups[0]
        async with httpx.AsyncClient(trust_env=False) as client:
            await self._isolate_primary_of_group(client)
        self.result.cut_at = anyio.current_time() - self.started

    async def _isolate_primary_of_group(self, client: httpx.AsyncClient) -> None:
        group = self.result.cut_group
        url = f"{self.fleet.platform}/v1/objects/group-state/{group}"
        answer = await client.get(url, headers={"X-Caller": "bench"})
        primary = answer.json()["value"]["primary"]
        control = self.fleet.controls[primary]
        answer = await client.put(f"{control}/faults", json={"cut_off": True})
        answer.raise_for_status()

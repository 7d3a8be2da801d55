"""Traffic of all teams over roaming sessions, and the results as seen by callers."""

import asyncio
import contextlib
import enum
import random
import time
import uuid

import psycopg

ATTEMPT_SECONDS = 12.0
"""Timeout of a caller for one answer."""

ROAM_SHARE = 0.04
"""Probability that a session moves to another proxy after a statement."""

RETRY_SECONDS = 0.1
"""Delay after a failed connection attempt."""

REFUSALS = {"53400", "53300"}
"""SQLSTATEs of refusals due to a team's rate or a full queue."""

SESSION_ROUTES = ("letters", "print", "archive")
"""Routes with read-your-writes consistency."""

READ = "SELECT n FROM letter WHERE session = %s ORDER BY n DESC LIMIT 1"
WRITE = "INSERT INTO letter (id, session, n, team) VALUES (%s, %s, %s, %s)"


class Outcome(enum.Enum):
    """Effect of a statement as reported to its caller."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Write:
    """One write as seen by its caller.

    :param at: time of the answer on the monotonic clock.
    """

    __slots__ = ("id", "group", "outcome", "at")

    def __init__(self, id: str, group: str, outcome: Outcome, at: float) -> None:
        """Create the record of a write."""
        self.id = id
        self.group = group
        self.outcome = outcome
        self.at = at


class TeamCounters:
    """Counters of one team's statements.

    :param refused_in_rate: refusals due to rate or queue while the team did not
        exceed its rate.
    :param states: number of errors by SQLSTATE.
    """

    __slots__ = ("sent", "served", "refused", "refused_in_rate", "states")

    def __init__(self) -> None:
        """Create counters at zero."""
        self.sent = 0
        self.served = 0
        self.refused = 0
        self.refused_in_rate = 0
        self.states: dict[str, int] = {}


class Record:
    """Results of all statements as seen by the callers."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.writes: list[Write] = []
        self.teams: dict[str, TeamCounters] = {}
        self.stale: list[str] = []
        self.reads = 0
        self.aged_reads = 0
        self.too_old: list[str] = []
        self.bursting: set[str] = set()
        self.withdrawn: set[str] = set()

    def count(self, team: str, sqlstate: str | None) -> None:
        """Count one statement; ``sqlstate`` is None on success."""
        if team in self.withdrawn:
            return
        team_counters = self.teams.setdefault(team, TeamCounters())
        team_counters.sent += 1
        if sqlstate is None:
            team_counters.served += 1
            return
        team_counters.states[sqlstate] = team_counters.states.get(sqlstate, 0) + 1
        if sqlstate in REFUSALS:
            team_counters.refused += 1
            team_counters.refused_in_rate += team not in self.bursting

    @property
    def statements(self) -> int:
        """Number of statements that callers sent."""
        return sum(team_counters.sent for team_counters in self.teams.values())


class Caller:
    """One session that roams between proxies.

    :param fleet: the local fleet.
    :param route: name of the route to connect to.
    :param group: group of the route.
    :param rate: statements per second.
    """

    def __init__(
        self,
        fleet,
        record: Record,
        team: str,
        route: str,
        group: str,
        rate: float,
        seed: str,
        write_share: float = 0.2,
    ) -> None:
        """Create an unconnected session."""
        self.fleet = fleet
        self.record = record
        self.team = team
        self.route = route
        self.group = group
        self.rate = rate
        self.write_share = write_share
        self.acknowledged_at: list[float] = []
        self.acknowledged_numbers: list[int] = []
        self.name = str(uuid.uuid5(uuid.NAMESPACE_OID, seed))
        self._generator = random.Random(seed)
        self._token = ""
        self._last_number = 0
        self._acknowledged = 0
        self._seen = 0
        self._connection: psycopg.AsyncConnection | None = None

    async def run(self, deadline: float) -> None:
        """Send statements until a deadline on the monotonic clock."""
        next_at = time.monotonic() + self._generator.random() / self.rate
        while time.monotonic() < deadline:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            next_at = max(next_at + 1 / self.rate, time.monotonic() - 1.0)
            if self._connection is None and not await self._connect():
                continue
            await self._send()
            if self._generator.random() < ROAM_SHARE:
                await self._disconnect()
        await self._disconnect()

    async def _connect(self) -> bool:
        """Resume the session on a random proxy; return whether it succeeded."""
        proxy = self._generator.choice(list(self.fleet.proxies))
        dsn = self.fleet.format_dsn(proxy, self.route, self.team)
        options = f"-c sardinehold.session={self._token}" if self._token else ""
        try:
            self._connection = await asyncio.wait_for(
                psycopg.AsyncConnection.connect(dsn, autocommit=True, options=options),
                ATTEMPT_SECONDS,
            )
        except (psycopg.Error, TimeoutError):
            await asyncio.sleep(RETRY_SECONDS)
            return False
        return True

    async def _disconnect(self) -> None:
        """Store the token and close the connection."""
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._keep_token(connection)
        with contextlib.suppress(psycopg.Error, TimeoutError):
            await asyncio.wait_for(connection.close(), 1.0)

    def _keep_token(self, connection: psycopg.AsyncConnection) -> None:
        """Store the token of the latest answer."""
        if connection.closed:
            return
        token = connection.info.parameter_status("sardinehold.session")
        self._token = token or self._token

    async def _send(self) -> None:
        """Send one statement and record its result."""
        if self._generator.random() < self.write_share:
            await self._write()
        else:
            await self._read()
        if self._connection is not None:
            self._keep_token(self._connection)

    async def _write(self) -> None:
        """Insert a letter with a new id."""
        self._last_number += 1
        id = f"{self.name}/{self._last_number}"
        sqlstate, outcome, _ = await self._execute(
            WRITE, id, self.name, self._last_number, self.team
        )
        self.record.writes.append(Write(id, self.group, outcome, time.monotonic()))
        if outcome is Outcome.ACKNOWLEDGED:
            self._acknowledged = self._last_number
            self.acknowledged_at.append(time.monotonic())
            self.acknowledged_numbers.append(self._last_number)
        self.record.count(self.team, sqlstate)

    async def _read(self) -> None:
        """Read the session's newest letter and check that no write is missing."""
        sqlstate, outcome, rows = await self._execute(READ, self.name)
        self.record.count(self.team, sqlstate)
        if outcome is not Outcome.ACKNOWLEDGED:
            return
        self.record.reads += 1
        seen_number = rows[0][0] if rows else 0
        if seen_number < max(self._acknowledged, self._seen):
            expected = max(self._acknowledged, self._seen)
            self.record.stale.append(
                f"{self.name}: {seen_number} in place of {expected}"
            )
        self._seen = max(self._seen, seen_number)

    async def _execute(self, query: str, *parameters):
        """Run a statement.

        :returns: SQLSTATE of the error or None, the reported effect, and the rows.
        """
        connection = self._connection
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                cursor = await connection.execute(query, parameters)
                rows = await cursor.fetchall() if cursor.description else []
        except TimeoutError:
            self._discard_connection()
            return "timeout", Outcome.UNKNOWN, []
        except psycopg.Error as error:
            if connection.closed:
                self._discard_connection()
            return error.sqlstate or "lost", parse_outcome(error), []
        return None, Outcome.ACKNOWLEDGED, rows

    def _discard_connection(self) -> None:
        """Discard a broken connection."""
        connection, self._connection = self._connection, None
        self._keep_token(connection)
        connection.pgconn.finish()


def parse_outcome(error: psycopg.Error) -> Outcome:
    """Return the statement's effect as stated in an error's details.

    Without such a statement, as after a lost connection, the effect is unknown.
    """
    detail = error.diag.message_detail or ""
    if "outcome: not run" in detail:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def build_callers(fleet, record: Record, seed: int, load: float) -> list[Caller]:
    """Return sessions of all teams; each team sends ``load`` times its rate."""
    callers = []
    routes = fleet.document["routes"]
    for team, value in sorted(fleet.document["teams"].items()):
        own = [name for name in SESSION_ROUTES if team in routes[name]["teams"]]
        count = 3 if value["rate"] >= 80 else 2
        for number in range(count):
            route = own[number % len(own)]
            rate = value["rate"] * load / count
            group = routes[route]["group"]
            name = f"{seed}/{team}/{number}"
            callers.append(Caller(fleet, record, team, route, group, rate, name))
    return callers

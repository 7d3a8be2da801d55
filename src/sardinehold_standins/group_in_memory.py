"""In-memory database group that checks log positions and supports pausing.

Connections implement the node's connection port; :mod:`.loopback` serves them over
TCP. Each database can crash, lag, stop receiving the log, or be unreachable from some
nodes.
"""

import asyncio
import typing

from sardinehold.core import positions
from sardinehold.node import clock
from sardinehold.node import ports
from sardinehold.node import statements

Kind = statements.Kind


class Execution:
    """Record of a statement that a database executed.

    :param log: log offset that was applied at that time.
    :param at: monotonic time in seconds.
    """

    def __init__(self, database: str, request_id: str, log: int, at: float) -> None:
        """Create a record."""
        self.database = database
        self.request_id = request_id
        self.log = log
        self.at = at


class Promotion:
    """A promotion that took effect.

    :param at: time of the node's clock.
    :param kept: identifiers of the log's entries.
    """

    def __init__(self, database: "Database", at: float) -> None:
        """Record the promotion of a database."""
        self.name = database.name
        self.term = database.term
        self.at = at
        self.kept = frozenset(request for _, request in database.log)


class Database:
    """One database of a cluster.

    Fault switches: ``is_up``, ``is_receive_blocked`` (receives no log entries),
    ``is_cut_off`` (neither sends nor receives log entries), ``lag`` in seconds,
    ``failure_interval``, ``unreachable`` (names of nodes) and ``lost_answers``
    (IDs of requests that are executed without an answer). :mod:`.loopback` rejects
    statements while ``occupied`` is at least ``slots``.
    """

    def __init__(self, cluster: "Cluster", name: str, zone: str) -> None:
        """Create a replica with an empty log."""
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[tuple[int, str]] = []
        self.applied = 0
        self.paused_term = 0
        self.is_up = True
        self.is_receive_blocked = False
        self.is_cut_off = False
        self.lag = 0.0
        self.failure_interval = 0
        self._statements = 0
        self.statement_seconds = 0.005
        self.unreachable: set[str] = set()
        self.lost_answers: set[str] = set()
        self.slots = float("inf")
        self.occupied = 0
        self.connections: set[DatabaseConnection] = set()

    @property
    def position(self) -> positions.Position:
        """End position of the log."""
        term = self.log[-1][0] if self.log else 1
        return positions.Position(max(term, 1), len(self.log))

    def crash(self) -> None:
        """Stop the database and abort all connections."""
        self.is_up = False
        for connection in list(self.connections):
            connection.abort()

    def start_empty(self) -> None:
        """Start again as a replica that holds nothing of before."""
        self.is_primary = False
        self.term = 1
        self.log = []
        self.applied = 0
        self.paused_term = 0
        self.is_up = True

    def should_fail(self) -> bool:
        """Return whether this statement fails.

        Every ``failure_interval``-th statement fails, none if it is 0.
        """
        self._statements += 1
        return (
            bool(self.failure_interval) and not self._statements % self.failure_interval
        )

    def status(self) -> ports.LogStatus:
        """Return the status of the log."""
        return ports.LogStatus(
            self.is_primary, self.term, self.position, self.paused_term, self.lag
        )


class PromotionRequest:
    """A request for a promotion, as it arrived at the platform.

    :param holder: name of the node that sent it.
    :param token: its fencing token.
    """

    def __init__(self, group: str, holder: str, token: int) -> None:
        """Create a record."""
        self.group = group
        self.holder = holder
        self.token = token


def list_wrong_tokens(requests: list[PromotionRequest]) -> list[str]:
    """Describe the requests with a token that its sender may not use.

    A token may neither be lower than one that arrived before, of any group, nor be
    that of another holder.

    :param requests: in the order of arrival.
    """
    wrong: list[str] = []
    highest = 0
    holders: dict[int, str] = {}
    for item in requests:
        first = holders.setdefault(item.token, item.holder)
        if item.token < highest or first != item.holder:
            wrong.append(
                f"{item.holder} sends token {item.token} of {first} for {item.group}"
                f" after {highest}"
            )
        highest = max(highest, item.token)
    return wrong


DEMOTION_DELAY = 1.0
"""Seconds for which a primary continues after another one was promoted."""

DELIVERY_CHECK_INTERVAL = 0.005
"""Seconds between checks whether a replica has received a commit."""


class Cluster:
    """Databases of one group; replicates and promotes.

    :param find_delivery_delay: returns the seconds after which a replica receives what
        the primary has just committed, each replica on its own. By default, all
        replicas receive each commit at once.
    """

    def __init__(
        self, group: str, zones: tuple[str, ...] = ("north", "middle", "south")
    ) -> None:
        """Create the databases; the first one is the primary."""
        self.group = group
        self.databases = {
            f"{group}-{index}": Database(self, f"{group}-{index}", zone)
            for index, zone in enumerate(zones)
        }
        next(iter(self.databases.values())).is_primary = True
        self.acknowledged: list[str] = []
        self.executions: list[Execution] = []
        self.promotions: list[tuple[str, int, str]] = []
        self.promoted: list[Promotion] = []
        self.promote_delay = 0.6
        self.find_delivery_delay: typing.Callable[[Database], float] | None = None
        self._deliveries: set[tuple[Database, Database]] = set()

    @property
    def primary(self) -> Database:
        """Primary of the newest term."""
        leaders = [item for item in self.databases.values() if item.is_primary]
        return max(leaders, key=lambda item: item.term)

    def can_receive(self, replica: Database) -> bool:
        """Return whether a replica receives the log of a primary."""
        if not any(item.is_primary for item in self.databases.values()):
            return False
        primary = self.primary
        return (
            primary is not replica
            and primary.is_up
            and not primary.is_cut_off
            and not replica.is_cut_off
            and not replica.is_receive_blocked
            and replica.term <= primary.term
        )

    async def replicate(self, primary: Database, request_id: str) -> bool:
        """Commit on the primary; return whether a replica received the entry.

        Retries until one does, or until the primary stops or is demoted.
        """
        primary.log.append((primary.term, request_id))
        primary.applied = len(primary.log)
        if self.find_delivery_delay is not None:
            return await self._replicate_separately(primary)
        while primary.is_up and primary.is_primary:
            reached = False
            for replica in self.databases.values():
                if (
                    replica is primary
                    or not replica.is_up
                    or replica.is_receive_blocked
                ):
                    continue
                if replica.is_cut_off or primary.is_cut_off:
                    continue
                if replica.paused_term or replica.term > primary.term:
                    continue
                replica.is_primary = False
                replica.log = list(primary.log)
                replica.term = primary.term
                asyncio.get_running_loop().call_later(
                    replica.lag, self._apply, replica, len(replica.log)
                )
                reached = True
            if reached:
                return True
            await asyncio.sleep(0.02)
        return False

    async def _replicate_separately(self, primary: Database) -> bool:
        """Send the log to each replica; return whether one received its last entry."""
        term, length, entry = primary.term, len(primary.log), primary.log[-1]
        for replica in self._list_others(primary):
            self.send_log(primary, replica)
        while primary.is_up and primary.is_primary and primary.term == term:
            for replica in self._list_others(primary):
                if len(replica.log) >= length and replica.log[length - 1] == entry:
                    return True
            await asyncio.sleep(DELIVERY_CHECK_INTERVAL)
        return False

    def _list_others(self, primary: Database) -> list[Database]:
        """Return the other databases; some may have joined or left."""
        return [item for item in self.databases.values() if item is not primary]

    def send_log(self, primary: Database, replica: Database) -> None:
        """Send the primary's log to a replica, unless it is on its way."""
        if self.find_delivery_delay is None or (primary, replica) in self._deliveries:
            return
        self._deliveries.add((primary, replica))
        asyncio.get_running_loop().call_later(
            self.find_delivery_delay(replica),
            self._deliver,
            primary,
            replica,
            primary.term,
            list(primary.log),
        )

    def _deliver(
        self,
        primary: Database,
        replica: Database,
        term: int,
        log: list[tuple[int, str]],
    ) -> None:
        self._deliveries.discard((primary, replica))
        if self.databases.get(replica.name) is not replica:
            return
        if not primary.is_up or not primary.is_primary or replica.term > term:
            return
        is_received = (
            replica.is_up
            and not replica.is_receive_blocked
            and not replica.is_cut_off
            and not primary.is_cut_off
            and not replica.paused_term
        )
        # A log that was resumed meanwhile may be longer already.
        is_new = replica.term < term or replica.log[: len(log)] != log
        if is_received and primary.term == term and is_new:
            replica.is_primary = False
            replica.term = term
            replica.log = log
            replica.applied = min(replica.applied, len(log))
            asyncio.get_running_loop().call_later(
                replica.lag, self._apply_log, replica, log
            )
        if not is_received or len(log) < len(primary.log):
            self.send_log(primary, replica)

    @staticmethod
    def _apply(replica: Database, length: int) -> None:
        replica.applied = max(replica.applied, length)

    @staticmethod
    def _apply_log(replica: Database, log: list[tuple[int, str]]) -> None:
        # The replica may have started empty, or follow another primary, since.
        if replica.log[: len(log)] == log:
            replica.applied = max(replica.applied, len(log))

    async def promote(self, name: str) -> None:
        """Promote a database to primary of the next term after ``promote_delay``.

        Nothing changes for the present primary.
        """
        target = self.databases[name]
        terms = [item.term for item in self.databases.values() if item.is_primary]
        if target.is_primary and target.term == max(terms):
            return
        await asyncio.sleep(self.promote_delay)
        if self.databases.get(name) is not target:
            return
        target.term = max(item.term for item in self.databases.values()) + 1
        target.is_primary = True
        target.paused_term = 0
        target.applied = len(target.log)
        self.promoted.append(Promotion(target, clock.read()))
        for other in self.databases.values():
            if other is target:
                continue
            self.send_log(target, other)
            if not other.is_up or other.paused_term:
                continue
            if other.is_primary:
                loop = asyncio.get_running_loop()
                loop.call_later(DEMOTION_DELAY, self._demote, other, target)
            elif self.find_delivery_delay is None:
                self._follow(other, target)

    @staticmethod
    def _follow(replica: Database, primary: Database) -> None:
        replica.log = replica.log[: len(primary.log)]
        replica.applied = min(replica.applied, len(replica.log))
        if not replica.is_cut_off:
            replica.term = max(replica.term, primary.term)

    def _demote(self, old: Database, new: Database) -> None:
        """Make an old primary follow the one that replaced it."""
        if old.is_primary and old.term < new.term and not old.is_cut_off:
            old.is_primary = False
            self._follow(old, new)
            self.send_log(new, old)


Form = tuple[bool, str]
"""Whether a prepared statement writes, and its shape."""


def describe_form(definition: statements.Definition) -> Form:
    """Return what a statement that is prepared does, whatever its name."""
    return definition.writes, definition.shape


class DatabaseConnection:
    """A node's connection to a database."""

    def __init__(self, database: Database, node: str, team: str) -> None:
        """Open a connection."""
        self.database = database
        self.node = node
        self.team = team
        self.on_lost = None
        self.is_closed = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Form] = {}
        self.writes: list[str] | None = None
        self._broken = asyncio.Event()
        database.connections.add(self)

    def abort(self) -> None:
        """Abort the connection; the node is notified of the loss."""
        if self.is_closed:
            return
        self.is_closed = True
        self.database.connections.discard(self)
        self._broken.set()
        if self.on_lost is not None:
            self.on_lost()

    def close(self) -> None:
        """Close the connection at the request of the node."""
        self.is_closed = True
        self.on_lost = None
        self.database.connections.discard(self)

    async def _simulate_work(self, seconds: float, deadline: float) -> None:
        if self.is_closed:
            raise ports.ConnectionLost(False)
        if self.node in self.database.unreachable:
            seconds = 1e6
        try:
            async with asyncio.timeout(max(0.0, min(seconds, deadline - clock.read()))):
                await self._broken.wait()
        except TimeoutError:
            if seconds > deadline - clock.read() + seconds:
                self.abort()
                raise ports.ConnectionLost(True, is_timeout=True) from None
            if clock.read() >= deadline:
                self.abort()
                raise ports.ConnectionLost(True, is_timeout=True) from None
            return
        raise ports.ConnectionLost(True)

    def _fail(self, failure: statements.Failure) -> statements.Answer:
        status = "I" if self.writes is None else "E"
        return statements.Answer(
            [], error=failure, status=status, position=self._find_applied()
        )

    def _find_applied(self) -> positions.Position:
        """Return the position that answers show: a replica's may be behind its log."""
        database = self.database
        return positions.Position(database.position.term, database.applied)

    def _succeed(self, request_id: str) -> statements.Answer:
        database = self.database
        if request_id in database.lost_answers:
            raise ports.ConnectionLost(True)
        return statements.Answer(
            ["row"],
            f"signed {database.name} {request_id}",
            status="I" if self.writes is None else "T",
            position=self._find_applied(),
        )

    async def run(self, statement, deadline, after=None):
        """Execute a statement.

        :param after: log position that must have been applied, or None.
        :raises sardinehold.node.ports.ConnectionLost: the connection broke, the
            deadline passed, or the answer was lost.
        """
        database = self.database
        await self._simulate_work(database.statement_seconds, deadline)
        kind = statement.kind
        if after is not None and (
            database.applied < after.offset or database.position.term < after.term
        ):
            return self._fail(statements.Failure.LAGGING)
        if kind is Kind.BEGIN and not database.is_primary:
            return self._fail(statements.Failure.READ_ONLY)
        if kind in (Kind.BEGIN, Kind.BEGIN_READ):
            self.writes = []
            return self._succeed(statement.request_id)
        if kind is Kind.EXECUTE and (
            describe_form(statement.definition) not in self.prepared.values()
        ):
            return self._fail(statements.Failure.UNKNOWN_STATEMENT)
        database.cluster.executions.append(
            Execution(
                database.name, statement.request_id, database.applied, clock.read()
            )
        )
        if database.should_fail():
            return self._fail(statements.Failure.FAILED)
        if kind is Kind.COMMIT:
            return await self._commit(statement.request_id, deadline)
        if not statements.is_write(statement):
            return self._succeed(statement.request_id)
        if not database.is_primary:
            return self._fail(statements.Failure.READ_ONLY)
        if self.writes is not None:
            self.writes.append(statement.request_id)
            return self._succeed(statement.request_id)
        self.writes = [statement.request_id]
        return await self._commit(statement.request_id, deadline)

    async def _commit(self, request_id: str, deadline: float) -> statements.Answer:
        writes, self.writes = self.writes, None
        database = self.database
        if not writes:
            return self._succeed(request_id)
        if not database.is_primary:
            return self._fail(statements.Failure.READ_ONLY)
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.read())):
                done = await database.cluster.replicate(database, request_id)
        except TimeoutError:
            self.abort()
            raise ports.ConnectionLost(True, is_timeout=True) from None
        if not done:
            raise ports.ConnectionLost(True)
        answer = self._succeed(request_id)
        database.cluster.acknowledged.append(request_id)
        return answer

    async def roll_back(self, deadline):
        """Roll back the transaction."""
        await self._simulate_work(0.001, deadline)
        self.writes = None
        return self._succeed("-")

    async def reset(self, deadline):
        """Drop variables and prepared statements."""
        self.values, self.prepared = {}, {}
        return self._succeed("-")

    async def set_values(self, values, deadline):
        """Set variables."""
        self.values.update(values)
        return [self._succeed("-")]

    async def prepare(self, definitions, deadline):
        """Prepare statements."""
        self.prepared.update(
            (item.shared_name, describe_form(item)) for item in definitions
        )
        return [self._succeed("-")]

    async def read_status(self, deadline):
        """Return the state of the log."""
        await self._simulate_work(0.001, deadline)
        return self.database.status()

    async def pause(self, term, deadline):
        """Stop receiving the log until :meth:`resume`."""
        await self._simulate_work(0.001, deadline)
        self.database.paused_term = term
        return self.database.status()

    async def resume(self, deadline):
        """Resume receiving, and copy the log of a primary that can send it."""
        await self._simulate_work(0.001, deadline)
        database = self.database
        database.paused_term = 0
        if database.cluster.can_receive(database):
            primary = database.cluster.primary
            database.log = list(primary.log)
            database.applied = len(database.log)
            database.term = primary.term
        return database.status()

    async def step_down(self, term, deadline):
        """Stop being the primary."""
        await self._simulate_work(0.001, deadline)
        self.database.is_primary = False
        return self.database.status()

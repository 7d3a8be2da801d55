"""Server of one endpoint: listener, sessions and their shared state."""

import asyncio
import random
import socket
import ssl
import time

from sardinehold_standins import engine
from sardinehold_standins import faults as switches
from sardinehold_standins import lexer
from sardinehold_standins import plan as plans
from sardinehold_standins import session as sessions
from sardinehold_standins import waiting
from sardinehold_standins import wire

SILENT_SESSION_SECONDS = 5.0
"""Time after which a session ends whose connection became unresponsive."""

SILENT_CONNECTION_SECONDS = 300.0
"""Time after which an unresponsive connection is closed."""

PLAN_CACHE_ENTRIES = 4096
"""Size of the plan cache."""


class Options:
    """Fixed options of an endpoint.

    :param slots: maximum number of concurrent statements.
    :param connections: maximum number of sessions.
    :param connect_delay: delay in seconds of opening a connection.
    :param statement_cost: seconds for which a statement occupies its slot.
    :param password: password required from clients, ``""`` for none.
    :param tls: server-side TLS context, or None.
    """

    __slots__ = (
        "slots",
        "connections",
        "connect_delay",
        "statement_cost",
        "password",
        "tls",
    )

    def __init__(
        self,
        slots: int = 3,
        connections: int = 45,
        connect_delay: float = 0.0,
        statement_cost: float = 0.0,
        password: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create the options."""
        self.slots = slots
        self.connections = connections
        self.connect_delay = connect_delay
        self.statement_cost = statement_cost
        self.password = password
        self.tls = tls


class Server:
    """Serves one database to PostgreSQL clients.

    :param database: data and log of the endpoint.
    :param options: fixed options.
    :param faults: fault switches.
    :param seed: seed of the random faults.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        database: engine.Database,
        options: Options,
        faults: switches.Faults | None = None,
        seed: int = 0,
    ) -> None:
        """Create a server; :meth:`start` accepts connections."""
        self.database = database
        self.options = options
        self.faults = faults or switches.Faults()
        self.slots = waiting.Semaphore(options.slots)
        self.writer = waiting.Semaphore(1)
        self.sessions: dict[int, sessions.Session] = {}
        self.plans: dict[tuple[str, bool], object] = {}
        self.counters: dict[str, int] = {}
        self.random_generator = random.Random(f"{database.name}/{seed}/server")
        self.replication = None
        self.address = ("", 0)
        self._listener: asyncio.Server | None = None
        self._next_process_id = 1
        self._silent_transports: list[asyncio.BaseTransport] = []
        self._plans_version = 0

    async def start(self, listener: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self.address = listener.getsockname()[:2]
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._accept, sock=listener)

    def stop(self) -> None:
        """Close the listener and all sessions."""
        if self._listener:
            self._listener.close()
        for session in list(self.sessions.values()):
            session.end()
            session.link.abort()
        for transport in self._silent_transports:
            transport.abort()
        self._silent_transports.clear()

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def register(self, session: sessions.Session) -> None:
        """Register a session and assign its process ID.

        :raises sardinehold_standins.wire.Failure: the connection limit is reached.
        """
        if len(self.sessions) >= self.options.connections:
            self.count("connections_refused")
            raise wire.Failure("53300", "sorry, too many clients already", fatal=True)
        session.process_id = self._next_process_id
        self._next_process_id += 1
        self.sessions[session.process_id] = session
        self.count("connections")

    def unregister(self, session: sessions.Session) -> None:
        """Remove a session that ended."""
        self.sessions.pop(session.process_id, None)

    def cancel(self, process_id: int, secret: int) -> None:
        """Cancel the wait of a session's statement if the secret matches."""
        session = self.sessions.get(process_id)
        if session is not None and session.secret == secret:
            self.count("cancels")
            session.waiter.cancel()

    def find_plan(self, text: str, is_prepared: bool):
        """Return the cached plan of a statement, or None."""
        if self._plans_version != self.database.schema_version:
            self.plans.clear()
            self._plans_version = self.database.schema_version
        return self.plans.get((text, is_prepared))

    def cache_plan(self, text: str, is_prepared: bool, plan) -> None:
        """Cache a plan, evicting the oldest beyond the limit."""
        if len(self.plans) >= PLAN_CACHE_ENTRIES:
            del self.plans[next(iter(self.plans))]
        self.plans[(text, is_prepared)] = plan

    def promote(self, term: int) -> int:
        """Become primary of a term; return the log offset of the promotion."""
        point = self.database.become_primary(term)
        if self.replication:
            self.replication.follow(None)
        return point

    def follow(self, term: int, host: str, port: int) -> None:
        """Become a replica of the primary of a term.

        :raises sardinehold_standins.wire.Failure: the endpoint has a newer term or
            is the primary of this one.
        """
        database = self.database
        if term < database.term or (term == database.term and database.is_primary):
            raise wire.Failure(
                "55000", f"endpoint has term {database.term}, cannot follow term {term}"
            )
        if database.is_primary:
            database.become_replica()
            for session in list(self.sessions.values()):
                session.demote()
        self.replication.follow((host, port), term)

    def run_script(self, text: str) -> None:
        """Run the statements of a script in one transaction on the primary."""
        self.database.begin(self.now())
        for statement in lexer.split_statements(text):
            plan = plans.build_plan(statement, self.database.schema, False)
            self.database.write(plan.sql, [])
        self.database.commit(self.now())

    def read_status(self) -> list[tuple]:
        """Return the rows of ``cluster_log_status``."""
        database = self.database
        role = "primary" if database.is_primary else "replica"
        own = (database.name, role, database.term, database.received, database.applied)
        rows = [own]
        if database.is_primary and self.replication:
            rows.extend(self.replication.list_replica_status())
        return rows

    def silence(self, share: float = 1.0) -> int:
        """Make a share of the open connections unresponsive; return their number."""
        chosen = [
            session
            for session in self.sessions.values()
            if not session.link.is_silent and self.random_generator.random() < share
        ]
        for session in chosen:
            self.silence_session(session)
        return len(chosen)

    def silence_session(self, session: sessions.Session) -> None:
        """Make a connection unresponsive; its session ends after a delay."""
        session.link.go_silent()
        self._silent_transports.append(session.link.transport)
        loop = asyncio.get_running_loop()
        loop.call_later(SILENT_SESSION_SECONDS, session.end)
        loop.call_later(SILENT_CONNECTION_SECONDS, self._drop_silent)

    async def set_dead(self, dead: bool) -> None:
        """Stop responding and refuse connections, or resume with all data."""
        if dead and self._listener:
            self._listener.close()
            self._listener = None
            self.silence()
            for session in list(self.sessions.values()):
                session.end()
        elif not dead and self._listener is None:
            loop = asyncio.get_running_loop()
            self._listener = await loop.create_server(
                self._accept, *self.address, reuse_address=True
            )
        if self.replication:
            self.replication.restart()

    def _drop_silent(self) -> None:
        """Close the connection that has been unresponsive for longest."""
        if self._silent_transports:
            self._silent_transports.pop(0).abort()

    def now(self) -> float:
        """Return the wall time in seconds."""
        return time.time()

    def _accept(self) -> sessions.Session:
        """Return the protocol object of a new connection."""
        return sessions.Session(self)

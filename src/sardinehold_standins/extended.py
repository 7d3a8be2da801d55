"""Extended query protocol of one session."""

from sardinehold_standins import lexer
from sardinehold_standins import plan as plans
from sardinehold_standins import results
from sardinehold_standins import sqltypes
from sardinehold_standins import wire

_HANDLERS = {}
"""Handlers by frame type; registered with :func:`handles`."""


def handles(kind: bytes):
    """Return a decorator that registers the handler of a frame type."""

    def register(function):
        _HANDLERS[kind] = function
        return function

    return register


class Statement:
    """A prepared statement; ``plan`` is None for an empty one."""

    __slots__ = ("text", "plan", "oids")

    def __init__(self, text: str, plan: plans.Plan | None, oids: list[int]) -> None:
        """Create a prepared statement with the type OIDs of its parameters."""
        self.text = text
        self.plan = plan
        self.oids = oids


class Portal:
    """A prepared statement bound to parameters.

    :param formats: format codes of the columns as the client gave them.
    :param result: result of the execution, None before it.
    :param sent: number of rows already sent.
    """

    __slots__ = ("statement", "parameters", "formats", "result", "sent")

    def __init__(
        self, statement: Statement, parameters: list, formats: list[int]
    ) -> None:
        """Create a portal that has not been executed."""
        self.statement = statement
        self.parameters = parameters
        self.formats = formats
        self.result: results.Result | None = None
        self.sent = 0


class Extended:
    """Handles Parse, Bind, Describe, Execute, Close, Sync and Flush.

    :param session: session that receives the responses.
    """

    def __init__(self, session) -> None:
        """Start without prepared statements."""
        self.session = session
        self._statements: dict[str, Statement] = {}
        self._portals: dict[str, Portal] = {}
        self._is_skipping = False

    async def handle(self, kind: bytes, payload: bytes) -> None:
        """Handle one frame.

        :raises sardinehold_standins.wire.Failure: the frame type is unknown, or
            the error is fatal.
        """
        handler = _HANDLERS.get(kind)
        if handler is None:
            raise wire.Failure("08P01", f"unexpected frame {kind!r}", fatal=True)
        if self._is_skipping and kind != b"S":
            return
        try:
            await handler(self, wire.Reader(payload))
        except wire.Failure as failure:
            if failure.fatal:
                raise
            self._is_skipping = True
            self.session.runner.fail(failure)

    def deallocate(self, name: str) -> None:
        """Remove a prepared statement, or all.

        :raises sardinehold_standins.wire.Failure: it does not exist.
        """
        if name.lower() == "all":
            self._statements.clear()
        elif self._statements.pop(name, None) is None:
            raise wire.Failure("26000", f'prepared statement "{name}" does not exist')

    @handles(b"P")
    async def _parse(self, reader: wire.Reader) -> None:
        """Handle Parse: prepare a statement."""
        name = reader.read_text()
        text = reader.read_text()
        declared = [reader.read_int32() for _ in range(reader.read_int16())]
        if name and name in self._statements:
            raise wire.Failure("42P05", f'prepared statement "{name}" already exists')
        parts = lexer.split_statements(text)
        if len(parts) > 1:
            message = "cannot insert multiple commands into a prepared statement"
            raise wire.Failure("42601", message)
        plan = self.session.runner.prepare(parts[0], True) if parts else None
        inferred = list(plan.parameters) if plan else []
        for index, oid in enumerate(declared):
            if index < len(inferred):
                inferred[index] = oid or inferred[index]
        oids = [oid or sqltypes.TEXT for oid in inferred]
        self._statements[name] = Statement(text, plan, oids)
        self.session.send(wire.PARSE_COMPLETE)

    @handles(b"B")
    async def _bind(self, reader: wire.Reader) -> None:
        """Handle Bind: create a portal."""
        name = reader.read_text()
        statement = self._find_statement(reader.read_text())
        codes = [reader.read_int16() for _ in range(reader.read_int16())]
        values = [reader.read_value() for _ in range(reader.read_int16())]
        formats = [reader.read_int16() for _ in range(reader.read_int16())]
        if len(values) != len(statement.oids):
            raise wire.Failure(
                "08P01",
                f"bind message supplies {len(values)} parameters, but the statement "
                f"requires {len(statement.oids)}",
            )
        codes = results.expand_formats(codes, len(values))
        parameters = [
            sqltypes.decode(value, oid, code)
            for value, oid, code in zip(values, statement.oids, codes, strict=True)
        ]
        self._portals[name] = Portal(statement, parameters, formats)
        self.session.send(wire.BIND_COMPLETE)

    @handles(b"D")
    async def _describe(self, reader: wire.Reader) -> None:
        """Handle Describe of a statement or portal."""
        is_statement = reader.read_byte() == b"S"
        name = reader.read_text()
        if not is_statement:
            await self._describe_portal(self._find_portal(name))
            return
        statement = self._find_statement(name)
        self.session.send(wire.build_parameters(statement.oids))
        plan = statement.plan
        if plan is not None and plan.returns_rows and plan.columns is None:
            message = "the stand-in cannot describe this statement before execution"
            raise wire.Failure("0A000", message)
        self._send_description(_list_columns(statement.plan), [])

    @handles(b"E")
    async def _execute(self, reader: wire.Reader) -> None:
        """Handle Execute: run a portal, or continue a suspended one."""
        portal = self._find_portal(reader.read_text())
        limit = reader.read_int32()
        plan = portal.statement.plan
        if plan is None:
            self.session.send(wire.EMPTY_QUERY)
            return
        if portal.result is None:
            portal.result = await self.session.runner.run(plan, portal.parameters)
            _apply_described_types(portal.result, plan)
        result = portal.result
        if result.columns is None:
            self.session.send(wire.build_complete(result.format_tag()))
            return
        rows = result.rows[portal.sent :]
        if limit:
            rows = rows[:limit]
        columns = result.columns
        formats = results.expand_formats(portal.formats, len(columns))
        await results.send_rows(self.session, rows, columns, formats)
        portal.sent += len(rows)
        if limit and portal.sent < len(result.rows):
            self.session.send(wire.PORTAL_SUSPENDED)
            return
        if limit and result.count is not None:
            result.count = len(rows)
        self.session.send(wire.build_complete(result.format_tag()))

    @handles(b"C")
    async def _close(self, reader: wire.Reader) -> None:
        """Handle Close of a statement or portal."""
        named = self._statements if reader.read_byte() == b"S" else self._portals
        named.pop(reader.read_text(), None)
        self.session.send(wire.CLOSE_COMPLETE)

    @handles(b"S")
    async def _sync(self, reader: wire.Reader) -> None:
        """Handle Sync: commit the implicit transaction and send ReadyForQuery."""
        self._is_skipping = False
        runner = self.session.runner
        runner.commit_implicit()
        if runner.status == "I":
            self._portals.clear()
        await self.session.finish()

    @handles(b"H")
    async def _flush(self, reader: wire.Reader) -> None:
        """Handle Flush: send the buffered output."""
        self.session.flush()

    async def _describe_portal(self, portal: Portal) -> None:
        """Describe a portal; a read with unknown column types is executed first."""
        plan = portal.statement.plan
        columns = _list_columns(plan)
        is_unknown = columns is None or any(not oid for _, oid in columns)
        if plan is not None and plan.kind is plans.Kind.READ and is_unknown:
            portal.result = await self.session.runner.run(plan, portal.parameters)
            columns = portal.result.columns
        self._send_description(columns, portal.formats)

    def _send_description(
        self, columns: list[tuple[str, int]] | None, formats: list[int]
    ) -> None:
        """Send a RowDescription or NoData."""
        if columns is None:
            self.session.send(wire.NO_DATA)
            return
        columns = [(name, oid or sqltypes.TEXT) for name, oid in columns]
        codes = results.expand_formats(formats, len(columns))
        self.session.send(wire.build_description(columns, codes, sqltypes.SIZES))

    def _find_statement(self, name: str) -> Statement:
        """Return a prepared statement; raise Failure if it does not exist."""
        statement = self._statements.get(name)
        if statement is None:
            raise wire.Failure("26000", f'prepared statement "{name}" does not exist')
        return statement

    def _find_portal(self, name: str) -> Portal:
        """Return a portal; raise Failure if it does not exist."""
        portal = self._portals.get(name)
        if portal is None:
            raise wire.Failure("34000", f'portal "{name}" does not exist')
        return portal


def _apply_described_types(result: results.Result, plan: plans.Plan) -> None:
    """Set columns of unknown type to text, as Describe reported them."""
    if result.columns is not None and plan.columns is not None:
        result.columns = [(name, oid or sqltypes.TEXT) for name, oid in plan.columns]


def _list_columns(plan: plans.Plan | None) -> list[tuple[str, int]] | None:
    """Return the known columns of a statement, None if it returns no rows."""
    if plan is None or not plan.returns_rows:
        return None
    return plan.columns

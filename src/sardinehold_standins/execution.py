"""Execution of one session's statements and state of its transaction."""

import sqlite3

from sardinehold_standins import engine
from sardinehold_standins import lexer
from sardinehold_standins import plan as plans
from sardinehold_standins import results
from sardinehold_standins import session_state
from sardinehold_standins import sqltypes
from sardinehold_standins import variables
from sardinehold_standins import wire

_EXECUTORS = {}
"""Functions by statement kind; registered with :func:`executes`."""

_ENDS_FAILED_BLOCK = {plans.Kind.COMMIT, plans.Kind.ROLLBACK, plans.Kind.ROLLBACK_TO}


def executes(*kinds: plans.Kind):
    """Return a decorator that registers a function for statement kinds."""

    def register(function):
        for kind in kinds:
            _EXECUTORS[kind] = function
        return function

    return register


class Runner:
    """Executes the statements of a session.

    :param session: session that receives the results.
    """

    def __init__(self, session) -> None:
        """Create a runner without an open transaction."""
        self.session = session
        self.server = session.server
        self.database = session.server.database
        self.variables = variables.Variables()
        self.status = "I"
        self.holds_writer_lock = False
        self.is_read_only = False
        self.savepoints: list[str] = []
        self.temporary_tables = session_state.TemporaryTables()

    async def run_query(self, text: str) -> None:
        """Run the statements of a simple query and send their results."""
        try:
            statements = lexer.split_statements(text)
            if not statements:
                self.session.send(wire.EMPTY_QUERY)
            for index, statement in enumerate(statements, 1):
                result = await self.run(self.prepare(statement, False), [])
                if index == len(statements):
                    self.commit_implicit()
                await self._send(result)
        except wire.Failure as failure:
            self.fail(failure)
        await self.session.finish()

    def prepare(self, text: str, is_prepared: bool) -> plans.Plan:
        """Return the plan of a statement, cached if possible.

        :raises sardinehold_standins.wire.Failure: the statement is not supported
            or, if ``is_prepared``, not valid.
        """
        text = self.temporary_tables.rewrite(text, self.session.process_id)
        plan = self.server.find_plan(text, is_prepared)
        if plan is None:
            plan = plans.build_plan(text, self.database.schema, is_prepared)
            if is_prepared:
                self._check_plan(plan)
            self.server.cache_plan(text, is_prepared, plan)
        return plan

    async def run(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Run one statement.

        :raises sardinehold_standins.wire.Failure: the statement failed.
        """
        if self.status == "E" and plan.kind not in _ENDS_FAILED_BLOCK:
            raise wire.Failure(
                "25P02",
                "current transaction is aborted, commands ignored until end of "
                "transaction block",
            )
        self.server.count("statements")
        try:
            return await _EXECUTORS[plan.kind](self, plan, parameters)
        except sqlite3.Error as error:
            raise engine.convert_error(error) from error
        except OverflowError as error:
            raise wire.Failure("22003", str(error)) from error

    def fail(self, failure: wire.Failure) -> None:
        """Send an error to the client and abort the transaction."""
        self.server.count("errors")
        self.session.send(wire.build_error(failure))
        self.session.flush()
        if self.status == "I":
            self._roll_back()
            return
        self.status = "E"
        if not self.savepoints:
            self._roll_back_write()

    def commit_implicit(self) -> None:
        """Commit the implicit transaction of statements outside a block."""
        if self.status == "I" and self.holds_writer_lock:
            self._commit()

    def close(self) -> None:
        """Roll back and release all locks at the end of the session."""
        self.database.locks.unlock_all(self.session.process_id)
        self._roll_back_write()

    async def occupy_slot(self, plan: plans.Plan, parameters: list) -> None:
        """Occupy a slot for the simulated duration of a statement."""
        seconds = self.server.options.statement_cost
        for argument in plan.sleeps:
            if isinstance(argument, str):
                seconds += float(parameters[int(argument[1:]) - 1])
            else:
                seconds += argument
        waiter = self.session.waiter
        await self.server.slots.acquire(waiter)
        try:
            if seconds:
                await waiter.sleep(seconds)
        finally:
            self.server.slots.release()

    async def acquire_writer_lock(self) -> None:
        """Acquire the write lock of the endpoint and start the write transaction.

        :raises sardinehold_standins.wire.Failure: the session may not write, or
            the wait was cancelled.
        """
        self._check_writable()
        if self.holds_writer_lock:
            return
        await self.server.writer.acquire(self.session.waiter)
        self.holds_writer_lock = True
        try:
            self._check_writable()
        except wire.Failure:
            self.holds_writer_lock = False
            self.server.writer.release()
            raise
        self.database.begin(self.server.now())
        for name in self.savepoints:
            self.database.write(f'SAVEPOINT "{name}"', [])

    def _check_writable(self) -> None:
        """Raise Failure unless this session may write."""
        if not self.database.is_primary:
            raise wire.Failure(
                "25006", "cannot write: this endpoint is a replica of its group"
            )
        if self.is_read_only:
            raise wire.Failure("25006", "cannot write in a read-only transaction")

    def _check_plan(self, plan: plans.Plan) -> None:
        """Raise Failure if a statement is invalid, e.g. if a table is missing."""
        if plan.kind not in (plans.Kind.READ, plans.Kind.WRITE):
            return
        database = self.database
        copy = database.working if self.holds_writer_lock else database.committed
        try:
            copy.connection.execute(
                f"EXPLAIN {plan.sql}", [None] * len(plan.parameters)
            )
        except sqlite3.Error as error:
            raise engine.convert_error(error) from error

    def _commit(self) -> None:
        """Commit the write transaction and replicate its log entry."""
        entry = self.database.commit(self.server.now())
        self._release_writer_lock()
        if entry is None:
            return
        self.server.count("commits")
        if self.server.replication:
            self.server.replication.notify_replicas()
        if self.server.faults.lose_answers > 0:
            self.server.faults.lose_answers -= 1
            self.session.lose_answer()

    def _roll_back_write(self) -> None:
        """Roll back the write transaction, if any, and release the write lock."""
        if not self.holds_writer_lock:
            return
        if self.database.is_primary:
            self.database.rollback()
        self._release_writer_lock()

    def _release_writer_lock(self) -> None:
        """Release the write lock."""
        self.holds_writer_lock = False
        self.server.writer.release()

    def _roll_back(self) -> None:
        """Roll back the transaction and leave its block."""
        self._roll_back_write()
        self._end_block(committed=False)

    def _end_block(self, committed: bool) -> None:
        """Reset the state of the transaction block."""
        self.status = "I"
        self.is_read_only = False
        self.savepoints = []
        self.variables.end(committed)

    async def _send(self, result: results.Result) -> None:
        """Send the result of a simple query in text format."""
        if result.columns is not None:
            formats = [0] * len(result.columns)
            self.session.send(
                wire.build_description(result.columns, formats, sqltypes.SIZES)
            )
            await results.send_rows(self.session, result.rows, result.columns, formats)
        self.session.send(wire.build_complete(result.format_tag()))

    @executes(plans.Kind.READ)
    async def _read(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Run a query on the committed data or in the session's write transaction."""
        await self.occupy_slot(plan, parameters)
        if plan.reads_tables:
            role = "primary" if self.database.is_primary else "replica"
            self.server.count(f"reads_as_{role}")
        if plan.locks and self.status == "T" and self.database.is_primary:
            await self.acquire_writer_lock()
        self.database.committed.process = self.session.process_id
        if self.holds_writer_lock:
            self.database.working.process = self.session.process_id
            cursor = self.database.read_working(plan.sql, parameters)
        else:
            cursor = self.database.read(plan.sql, parameters, self.server.now())
        rows = cursor.fetchall()
        columns = results.complete_columns(plan.columns, cursor.description, rows)
        return results.Result(plan.tag, columns, rows, len(rows))

    @executes(plans.Kind.WRITE, plans.Kind.DDL)
    async def _write(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Run a data change or data definition."""
        self._check_writable()
        await self.occupy_slot(plan, parameters)
        await self.acquire_writer_lock()
        cursor = self.database.write(plan.sql, parameters)
        if plan.returns_rows:
            rows = cursor.fetchall()
            columns = results.complete_columns(plan.columns, cursor.description, rows)
            return results.Result(plan.tag, columns, rows, len(rows))
        count = cursor.rowcount if plan.kind is plans.Kind.WRITE else None
        return results.Result(plan.tag, count=count)

    @executes(plans.Kind.BEGIN)
    async def _execute_begin(
        self, plan: plans.Plan, parameters: list
    ) -> results.Result:
        """Start a transaction block."""
        if self.status != "I":
            text = "there is already a transaction in progress"
            self.session.send(wire.build_notice("25001", text))
            return results.Result(plan.tag)
        self.status = "T"
        self.is_read_only = plan.read_only
        self.variables.begin()
        return results.Result(plan.tag)

    @executes(plans.Kind.COMMIT)
    async def _execute_commit(
        self, plan: plans.Plan, parameters: list
    ) -> results.Result:
        """Run COMMIT; a failed transaction is rolled back instead."""
        if self.status == "E":
            self._roll_back()
            return results.Result("ROLLBACK")
        if self.holds_writer_lock:
            self._commit()
        self._end_block(committed=True)
        return results.Result(plan.tag)

    @executes(plans.Kind.ROLLBACK)
    async def _execute_rollback(
        self, plan: plans.Plan, parameters: list
    ) -> results.Result:
        """Run ROLLBACK."""
        self._roll_back()
        return results.Result(plan.tag)

    @executes(plans.Kind.SAVEPOINT)
    async def _execute_savepoint(
        self, plan: plans.Plan, parameters: list
    ) -> results.Result:
        """Create a savepoint."""
        if self.status == "I":
            raise wire.Failure(
                "25P01", "SAVEPOINT is only allowed in a transaction block"
            )
        if self.holds_writer_lock:
            self.database.write(plan.sql, [])
        self.savepoints.append(plan.name)
        return results.Result(plan.tag)

    @executes(plans.Kind.RELEASE, plans.Kind.ROLLBACK_TO)
    async def _end_savepoint(
        self, plan: plans.Plan, parameters: list
    ) -> results.Result:
        """Release a savepoint, or roll back to it."""
        if plan.name not in self.savepoints:
            raise wire.Failure("3B001", f"savepoint {plan.name} does not exist")
        if self.holds_writer_lock:
            self.database.write(plan.sql, [])
        last = len(self.savepoints) - 1 - self.savepoints[::-1].index(plan.name)
        if plan.kind is plans.Kind.RELEASE:
            del self.savepoints[last:]
            return results.Result(plan.tag)
        del self.savepoints[last + 1 :]
        self.status = "T"
        return results.Result(plan.tag)

    @executes(plans.Kind.SET, plans.Kind.RESET)
    async def _set(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Set or reset a variable, and report it if it is in ``REPORTED``."""
        if plan.kind is plans.Kind.SET:
            self.variables.change(plan.name, plan.value, plan.local)
        else:
            self.variables.reset(plan.name)
        if plan.name in variables.REPORTED:
            name = self.variables.name(plan.name)
            value = self.variables.read(plan.name) or ""
            self.session.send(wire.build_status(name, value))
        return results.Result(plan.tag)

    @executes(plans.Kind.SHOW)
    async def _show(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Return the value of a variable."""
        value = self.variables.read(plan.name)
        if value is None:
            message = f'unrecognized configuration parameter "{plan.name}"'
            raise wire.Failure("42704", message)
        return results.Result("SHOW", [(plan.name, sqltypes.TEXT)], [(value,)])

    @executes(plans.Kind.DEALLOCATE, plans.Kind.DISCARD)
    async def _discard(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Remove prepared statements; DISCARD ALL resets all session state."""
        if plan.kind is plans.Kind.DISCARD and self.status != "I":
            raise wire.Failure("25001", "DISCARD ALL cannot run in a transaction")
        if plan.kind is plans.Kind.DISCARD:
            self.variables.reset("all")
            self.temporary_tables.clear()
            self.database.locks.unlock_all(self.session.process_id)
            self.session.extended.deallocate("all")
        else:
            self.session.extended.deallocate(plan.name)
        return results.Result(plan.tag)

    @executes(plans.Kind.NO_OP)
    async def _accept_no_op(self, plan: plans.Plan, parameters: list) -> results.Result:
        """Accept a statement that has no effect in the stand-in."""
        return results.Result(plan.tag)

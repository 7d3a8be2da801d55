"""SQL functions and views that expose the log, term and role of an endpoint."""

import re
import sqlite3

from sardinehold_standins import execution
from sardinehold_standins import plan as plans
from sardinehold_standins import results
from sardinehold_standins import wire

_STATUS_QUERY = re.compile(
    r"select\s+endpoint\s*,\s*role\s*,\s*term\s*,\s*received\s*,\s*applied\s+"
    r"from\s+cluster_log_status\s*$",
    re.IGNORECASE,
)
_ARGUMENTS = re.compile(r"cluster_\w+\s*\((.*)\)", re.IGNORECASE | re.DOTALL)


@execution.executes(plans.Kind.LOG_STATUS)
async def show_log(
    runner: execution.Runner, plan: plans.Plan, parameters: list
) -> results.Result:
    """Query ``cluster_log_status``."""
    rows = runner.server.read_status()
    if _STATUS_QUERY.match(plan.text):
        return results.Result(plan.tag, list(plans.STATUS_COLUMNS), rows, len(rows))
    scratch = sqlite3.connect(":memory:")
    names = ", ".join(name for name, _ in plans.STATUS_COLUMNS)
    scratch.execute(f"CREATE TABLE cluster_log_status ({names})")
    scratch.executemany("INSERT INTO cluster_log_status VALUES (?, ?, ?, ?, ?)", rows)
    cursor = scratch.execute(plan.sql, parameters)
    rows = cursor.fetchall()
    columns = results.complete_columns(plan.columns, cursor.description, rows)
    return results.Result(plan.tag, columns, rows, len(rows))


@execution.executes(plans.Kind.PROMOTE)
async def promote(
    runner: execution.Runner, plan: plans.Plan, parameters: list
) -> results.Result:
    """Run ``cluster_promote``: become the primary of a term."""
    (term,) = _evaluate(plan, parameters, 1)
    point = runner.server.promote(int(term))
    return results.Result(plan.tag, plan.columns, [(point,)], 1)


@execution.executes(plans.Kind.FOLLOW)
async def follow(
    runner: execution.Runner, plan: plans.Plan, parameters: list
) -> results.Result:
    """Run ``cluster_follow``: become a replica of another endpoint."""
    term, host, port = _evaluate(plan, parameters, 3)
    runner.server.follow(int(term), str(host), int(port))
    return results.Result(plan.tag, plan.columns, [("",)], 1)


def _evaluate(plan: plans.Plan, parameters: list, count: int) -> tuple:
    """Return the evaluated arguments of a cluster function.

    :raises sardinehold_standins.wire.Failure: their number is not ``count``.
    """
    match = _ARGUMENTS.search(plan.sql)
    scratch = sqlite3.connect(":memory:")
    values = scratch.execute(f"SELECT {match.group(1)}", parameters).fetchone()
    if len(values) != count:
        raise wire.Failure("42883", f"the function takes {count} arguments")
    return values

"""Classification of statements and plans for their execution."""

import enum
import re

from sardinehold_standins import inference
from sardinehold_standins import lexer
from sardinehold_standins import sqltypes
from sardinehold_standins import wire


class Kind(enum.Enum):
    """Kind of a statement."""

    READ = enum.auto()
    WRITE = enum.auto()
    DDL = enum.auto()
    BEGIN = enum.auto()
    COMMIT = enum.auto()
    ROLLBACK = enum.auto()
    SAVEPOINT = enum.auto()
    RELEASE = enum.auto()
    ROLLBACK_TO = enum.auto()
    SET = enum.auto()
    RESET = enum.auto()
    SHOW = enum.auto()
    DEALLOCATE = enum.auto()
    DISCARD = enum.auto()
    NO_OP = enum.auto()
    LOG_STATUS = enum.auto()
    PROMOTE = enum.auto()
    FOLLOW = enum.auto()
    EMPTY = enum.auto()


STATUS_COLUMNS = (
    ("endpoint", sqltypes.TEXT),
    ("role", sqltypes.TEXT),
    ("term", sqltypes.INT8),
    ("received", sqltypes.INT8),
    ("applied", sqltypes.INT8),
)
"""Columns of ``cluster_log_status``."""

_CLUSTER_COLUMNS = {
    Kind.LOG_STATUS: list(STATUS_COLUMNS),
    Kind.PROMOTE: [("cluster_promote", sqltypes.INT8)],
    Kind.FOLLOW: [("cluster_follow", sqltypes.TEXT)],
}


class Plan:
    """A statement prepared for execution.

    :param tag: command tag without the row count.
    :param sql: the statement in sqlite's dialect.
    :param parameters: type OIDs by parameter, 0 where unknown.
    :param columns: (name, type OID) of the result, None if unknown.
    :param returns_rows: whether it returns rows.
    :param sleeps: arguments of ``pg_sleep``: seconds, or parameters such as ``$1``.
    :param name: name of the savepoint, variable or prepared statement.
    :param value: new value of SET.
    :param local: whether SET is LOCAL.
    :param locks: whether a read locks rows, as with FOR UPDATE.
    :param reads_tables: whether it has a FROM clause; health probes have none.
    :param read_only: whether BEGIN starts a read-only transaction.
    """

    __slots__ = (
        "kind",
        "tag",
        "text",
        "sql",
        "parameters",
        "columns",
        "returns_rows",
        "sleeps",
        "name",
        "value",
        "local",
        "locks",
        "reads_tables",
        "read_only",
    )

    def __init__(self, kind: Kind, tag: str, text: str) -> None:
        """Create a plan that passes the statement to sqlite unchanged."""
        self.kind = kind
        self.tag = tag
        self.text = text
        self.sql = text
        self.parameters: list[int] = []
        self.columns: list[tuple[str, int]] | None = None
        self.returns_rows = False
        self.sleeps: list[float | str] = []
        self.name = ""
        self.value = ""
        self.local = False
        self.locks = False
        self.reads_tables = False
        self.read_only = False


_KEYWORDS = {
    "select": (Kind.READ, "SELECT"),
    "with": (Kind.READ, "SELECT"),
    "values": (Kind.READ, "SELECT"),
    "table": (Kind.READ, "SELECT"),
    "insert": (Kind.WRITE, "INSERT 0"),
    "update": (Kind.WRITE, "UPDATE"),
    "delete": (Kind.WRITE, "DELETE"),
    "truncate": (Kind.DDL, "TRUNCATE TABLE"),
    "create": (Kind.DDL, "CREATE TABLE"),
    "drop": (Kind.DDL, "DROP TABLE"),
    "alter": (Kind.DDL, "ALTER TABLE"),
    "begin": (Kind.BEGIN, "BEGIN"),
    "start": (Kind.BEGIN, "START TRANSACTION"),
    "commit": (Kind.COMMIT, "COMMIT"),
    "end": (Kind.COMMIT, "COMMIT"),
    "rollback": (Kind.ROLLBACK, "ROLLBACK"),
    "abort": (Kind.ROLLBACK, "ROLLBACK"),
    "savepoint": (Kind.SAVEPOINT, "SAVEPOINT"),
    "release": (Kind.RELEASE, "RELEASE"),
    "set": (Kind.SET, "SET"),
    "reset": (Kind.RESET, "RESET"),
    "show": (Kind.SHOW, "SHOW"),
    "deallocate": (Kind.DEALLOCATE, "DEALLOCATE"),
    "discard": (Kind.DISCARD, "DISCARD ALL"),
    "close": (Kind.NO_OP, "CLOSE CURSOR ALL"),
    "unlisten": (Kind.NO_OP, "UNLISTEN"),
    "analyze": (Kind.NO_OP, "ANALYZE"),
    "vacuum": (Kind.NO_OP, "VACUUM"),
}

_FIRST_KEYWORD = re.compile(r"[A-Za-z]+|\(")
_FROM = re.compile(r"\bfrom\b", re.IGNORECASE)
_RETURNING = re.compile(r"\breturning\b", re.IGNORECASE)
_LOCKING = re.compile(r"\bfor\s+(?:no\s+key\s+)?(?:update|share)\b", re.IGNORECASE)
_WITH_WRITE = re.compile(r"\b(insert\s+into|update\s+\w|delete\s+from)", re.IGNORECASE)
_SLEEP = re.compile(r"pg_sleep\s*\(\s*(\$\d+|[\d.]+)", re.IGNORECASE)
_CLUSTER = re.compile(r"\bcluster_(log_status|promote|follow)\b", re.IGNORECASE)
_SAVEPOINT = re.compile(
    r"(?:rollback|abort)\s+(?:work\s+|transaction\s+)?to\s+(?:savepoint\s+)?(\"?\w+)"
    r"|savepoint\s+(\"?\w+)|release\s+(?:savepoint\s+)?(\"?\w+)",
    re.IGNORECASE,
)
_SET = re.compile(
    r"set\s+(?:(local|session)\s+)?(?:(time\s+zone)\s+|([\w.]+)\s*(?:=|\bto\b)\s*)"
    r"(.*?)\s*$",
    re.IGNORECASE | re.DOTALL,
)
_VARIABLE = re.compile(
    r"(?:show|reset|deallocate)\s+(?:prepare\s+)?(.+?)\s*$", re.IGNORECASE
)
_READ_ONLY = re.compile(r"\bread\s+only\b", re.IGNORECASE)

_REWRITES = (
    (
        re.compile(r"\b(?:big|small)?serial\s+primary\s+key\b", re.IGNORECASE),
        "INTEGER PRIMARY KEY AUTOINCREMENT",
    ),
    (
        re.compile(
            r"\b(?:big)?int(?:eger)?\s+generated\s+(?:always|by\s+default)\s+as\s+"
            r"identity\s+primary\s+key\b",
            re.IGNORECASE,
        ),
        "INTEGER PRIMARY KEY AUTOINCREMENT",
    ),
    (re.compile(r"\bdefault\s+(now\(\))", re.IGNORECASE), r"DEFAULT (\1)"),
    (
        re.compile(r"\btruncate\s+(?:table\s+)?(\w+).*", re.IGNORECASE),
        r"DELETE FROM \1",
    ),
    (re.compile(r"\b(drop\s+table\b.*?)\s+cascade\b", re.IGNORECASE), r"\1"),
)


def build_plan(text: str, schema: inference.Schema, is_prepared: bool) -> Plan:
    """Return the plan of one statement.

    :param is_prepared: infer the types of parameters and columns.
    :raises sardinehold_standins.wire.Failure: the statement is not supported.
    """
    body = lexer.strip_comments(text)
    word = _FIRST_KEYWORD.match(body)
    found = _KEYWORDS.get(word.group().lower()) if word else None
    if word and word.group() == "(":
        found = (Kind.READ, "SELECT")
    if found is None:
        first = word.group().upper() if word else body[:20]
        raise wire.Failure("0A000", f"{first} is not supported by the stand-in")
    plan = Plan(*found, body)
    _REFINERS.get(plan.kind, _refine_nothing)(plan)
    if plan.kind in (Kind.READ, Kind.WRITE) and (
        is_prepared or inference.needs_translation(body)
    ):
        _infer_types(plan, schema)
    elif plan.kind in _CLUSTER_COLUMNS:
        _infer_types(plan, {"cluster_log_status": dict(STATUS_COLUMNS)})
        plan.columns = plan.columns or _CLUSTER_COLUMNS[plan.kind]
    elif plan.kind is Kind.SHOW:
        plan.columns = [(plan.name, sqltypes.TEXT)]
    elif is_prepared:
        sql, count = lexer.replace_parameters(plan.sql, "?{}")
        plan.sql = sql
        plan.parameters = [0] * count
    return plan


def _infer_types(plan: Plan, schema: inference.Schema) -> None:
    """Set the SQL and types that type inference found."""
    inferred = inference.infer(plan.text, schema)
    plan.sql = inferred.sql
    plan.parameters = inferred.parameters
    plan.columns = inferred.columns


def _refine_nothing(plan: Plan) -> None:
    """Leave a plan unchanged."""


def _refine_read(plan: Plan) -> None:
    """Detect sleeps, row locks, cluster functions and writes in WITH clauses."""
    plan.returns_rows = True
    text = plan.text
    if "cluster_" in text:
        match = _CLUSTER.search(text)
        if match:
            plan.kind = Kind[match.group(1).upper()]
            return
    if text[:4].lower() == "with":
        written = _WITH_WRITE.search(text)
        if written:
            plan.kind, plan.tag = _KEYWORDS[written.group(1).split()[0].lower()]
            plan.returns_rows = _RETURNING.search(text) is not None
    plan.reads_tables = _FROM.search(text) is not None
    plan.locks = _LOCKING.search(text) is not None
    if "pg_sleep" in text:
        plan.sleeps = [
            found if found.startswith("$") else float(found)
            for found in _SLEEP.findall(text)
        ]


def _refine_write(plan: Plan) -> None:
    """Detect whether a write returns rows."""
    plan.returns_rows = _RETURNING.search(plan.text) is not None
    if "pg_sleep" in plan.text:
        _refine_read(plan)


def _refine_ddl(plan: Plan) -> None:
    """Translate a data definition to sqlite's dialect."""
    words = plan.text.split(None, 2)[:2]
    plan.tag = " ".join(words).upper()
    if words[0].lower() == "truncate":
        plan.tag = "TRUNCATE TABLE"
    for pattern, replacement in _REWRITES:
        plan.sql = pattern.sub(replacement, plan.sql)


def _refine_savepoint(plan: Plan) -> None:
    """Extract the name of a savepoint."""
    match = _SAVEPOINT.match(plan.text)
    if match is None:
        return
    plan.name = next(name for name in match.groups() if name).strip('"')
    if plan.kind is Kind.ROLLBACK:
        plan.kind = Kind.ROLLBACK_TO
    plan.sql = f'{plan.kind.name.replace("_", " ")} "{plan.name}"'


def _refine_begin(plan: Plan) -> None:
    """Detect a read-only transaction."""
    plan.read_only = _READ_ONLY.search(plan.text) is not None


def _refine_set(plan: Plan) -> None:
    """Extract the variable and value of SET."""
    match = _SET.match(plan.text)
    if match is None:
        plan.kind = Kind.NO_OP
        return
    scope, zone, name, value = match.groups()
    plan.local = (scope or "").lower() == "local"
    plan.name = "timezone" if zone else name.lower()
    if value.startswith("'") and value.endswith("'"):
        value = value[1:-1].replace("''", "'")
    plan.value = value


def _refine_variable(plan: Plan) -> None:
    """Extract the name of a variable or prepared statement."""
    match = _VARIABLE.match(plan.text)
    plan.name = match.group(1).strip('"') if match else ""
    if plan.kind is Kind.SHOW:
        plan.returns_rows = True
    if plan.kind is not Kind.DEALLOCATE:
        plan.name = plan.name.lower()
        if plan.name == "transaction isolation level":
            plan.name = "transaction_isolation"


_REFINERS = {
    Kind.READ: _refine_read,
    Kind.WRITE: _refine_write,
    Kind.DDL: _refine_ddl,
    Kind.BEGIN: _refine_begin,
    Kind.ROLLBACK: _refine_savepoint,
    Kind.SAVEPOINT: _refine_savepoint,
    Kind.RELEASE: _refine_savepoint,
    Kind.SET: _refine_set,
    Kind.RESET: _refine_variable,
    Kind.SHOW: _refine_variable,
    Kind.DEALLOCATE: _refine_variable,
}

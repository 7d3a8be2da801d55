"""Type inference of parameters and columns, and translation to sqlite's dialect.

Each statement is parsed by sqlglot once; the caller caches the resulting plan.
"""

import re

import sqlglot
from sqlglot import errors as sqlglot_errors
from sqlglot import expressions as exp

from sardinehold_standins import lexer
from sardinehold_standins import sqltypes

PARAMETER_PREFIX = "sardinehold_p"

Schema = dict[str, dict[str, int]]
"""Type OIDs by table name and column name."""

_UNSUPPORTED_BY_SQLITE = re.compile(
    r"::|\b(?:ilike|generate_series|cast|interval|any|similar|pg_is_in_recovery|pg_\w*advisory\w*)\b"
    r"|\bfor\s+(?:no\s+key\s+)?(?:update|share)\b|\be'",
    re.IGNORECASE,
)

_SQLITE_CASTS = frozenset(
    (
        sqltypes.INT2,
        sqltypes.INT4,
        sqltypes.INT8,
        sqltypes.FLOAT4,
        sqltypes.FLOAT8,
        sqltypes.TEXT,
        sqltypes.VARCHAR,
        sqltypes.BYTEA,
    )
)

_RETURN_TYPES = {
    "now": sqltypes.TIMESTAMPTZ,
    "clock_timestamp": sqltypes.TIMESTAMPTZ,
    "pg_sleep": sqltypes.VOID,
    "repeat": sqltypes.TEXT,
    "version": sqltypes.TEXT,
    "pg_backend_pid": sqltypes.INT4,
    "pg_is_in_recovery": sqltypes.BOOL,
    "pg_try_advisory_lock": sqltypes.BOOL,
    "pg_advisory_unlock": sqltypes.BOOL,
    "cluster_promote": sqltypes.INT8,
    "octet_length": sqltypes.INT4,
}

_ARGUMENT_TYPES = {
    "pg_sleep": (sqltypes.FLOAT8,),
    "repeat": (sqltypes.TEXT, sqltypes.INT4),
    "cluster_promote": (sqltypes.INT8,),
    "cluster_follow": (sqltypes.INT8, sqltypes.TEXT, sqltypes.INT4),
    "pg_try_advisory_lock": (sqltypes.INT8,),
    "pg_advisory_unlock": (sqltypes.INT8,),
    "generate_series": (sqltypes.INT8, sqltypes.INT8, sqltypes.INT8),
    "octet_length": (sqltypes.TEXT,),
}

_BOOLEAN_NODES = (exp.Predicate, exp.Connector, exp.Not, exp.Boolean, exp.Exists)
_TEXT_NODES = (exp.DPipe, exp.Concat, exp.Upper, exp.Lower, exp.Substring, exp.Trim)
_ARITHMETIC_NODES = (exp.Add, exp.Sub, exp.Mul, exp.Div, exp.Mod)


class InferredStatement:
    """Types and translation of a statement, found without executing it.

    :param sql: the statement in sqlite's dialect.
    :param parameters: type OIDs by parameter, 0 where unknown.
    :param columns: (name, type OID) of the result; None if unknown.
    """

    __slots__ = ("sql", "parameters", "columns")

    def __init__(
        self, sql: str, parameters: list[int], columns: list[tuple[str, int]] | None
    ) -> None:
        """Create the result of an inference."""
        self.sql = sql
        self.parameters = parameters
        self.columns = columns


def infer(text: str, schema: Schema) -> InferredStatement:
    """Infer the types of one statement and translate it for sqlite."""
    named, count = lexer.replace_parameters(text, f":{PARAMETER_PREFIX}{{}}")
    try:
        tree = sqlglot.parse_one(named, read="postgres")
    except sqlglot_errors.SqlglotError:
        sql = lexer.replace_parameters(text, "?{}")[0]
        return InferredStatement(sql, [0] * count, None)
    resolver = _TypeResolver(schema, count)
    resolver.find_parameters(tree)
    columns = resolver.find_columns(tree)
    if _UNSUPPORTED_BY_SQLITE.search(text):
        sql = _translate_to_sqlite(tree, text)
    else:
        sql = lexer.replace_parameters(text, "?{}")[0]
    return InferredStatement(sql, resolver.parameters, columns)


def needs_translation(text: str) -> bool:
    """Return whether a statement must be translated for sqlite."""
    return _UNSUPPORTED_BY_SQLITE.search(text) is not None


def _translate_to_sqlite(tree: exp.Expression, text: str) -> str:
    """Return the statement in sqlite's dialect."""
    if isinstance(tree, exp.Create | exp.Command):
        return text
    for cast in list(tree.find_all(exp.Cast)):
        if sqltypes.find_oid(cast.to.sql("postgres")) not in _SQLITE_CASTS:
            cast.replace(cast.this)
    for table in list(tree.find_all(exp.Table)):
        if isinstance(table.this, exp.Func):
            _expand_series(table)
    for conflict in tree.find_all(exp.OnConflict):
        for ordered in list(conflict.find_all(exp.Ordered)):
            ordered.replace(ordered.this)
    for select in tree.find_all(exp.Select):
        select.set("locks", None)
    sql = tree.sql("sqlite", unsupported_level=sqlglot.ErrorLevel.IGNORE)
    return re.sub(rf":{PARAMETER_PREFIX}(\d+)", r"?\1", sql)


def _expand_series(table: exp.Table) -> None:
    """Replace ``generate_series`` in FROM with a recursive query."""
    arguments = [table.this.args.get("start"), table.this.args.get("end")]
    if None in arguments:
        return
    start, end = (argument.sql("sqlite") for argument in arguments)
    alias = table.alias or "generate_series"
    columns = table.args["alias"].columns if table.args.get("alias") else []
    column = columns[0].name if columns else alias
    query = (
        f"(WITH RECURSIVE s({column}) AS (SELECT {start} AS {column} WHERE {start} <= "
        f"{end} UNION ALL SELECT {column} + 1 FROM s WHERE {column} < {end}) "
        f"SELECT {column} FROM s) AS {alias}"
    )
    parsed = sqlglot.parse_one(f"SELECT * FROM {query}", read="sqlite")
    table.replace(parsed.args["from_"].this)


class _TypeResolver:
    """Resolves the parameter and column types of one statement."""

    def __init__(self, schema: Schema, count: int) -> None:
        """Start with all parameter types unknown."""
        self.schema = schema
        self.parameters = [0] * count

    def find_columns(self, tree: exp.Expression) -> list[tuple[str, int]] | None:
        """Return the result columns; None if there is no result or they are unknown."""
        if isinstance(tree, exp.Subquery):
            return self.find_columns(tree.this)
        if isinstance(tree, exp.SetOperation):
            return self.find_columns(tree.this)
        if isinstance(tree, exp.Select):
            return self._list_outputs(tree.expressions, self._build_scope(tree))
        returning = tree.args.get("returning")
        if returning is None:
            return None
        return self._list_outputs(returning.expressions, self._build_scope(tree))

    def find_parameters(self, tree: exp.Expression) -> None:
        """Infer the types of all parameters."""
        for node in tree.find_all(exp.Placeholder):
            number = _parameter_number(node)
            if number and not self.parameters[number - 1]:
                self.parameters[number - 1] = self._find_expected_type(node)

    def _build_scope(self, tree: exp.Expression) -> dict[str, dict[str, int]]:
        """Return the columns of all relations of a query, by alias."""
        scope = {}
        for source in _iterate_sources(tree):
            if isinstance(source, exp.Table):
                name = source.name.lower()
                scope[source.alias_or_name.lower()] = self._find_relation(source, name)
            elif isinstance(source, exp.Subquery):
                columns = self.find_columns(source.this) or []
                scope[source.alias_or_name.lower()] = dict(columns)
        return scope

    def _find_relation(self, table: exp.Table, name: str) -> dict[str, int]:
        """Return the columns of a table, a common table expression or a series."""
        if isinstance(table.this, exp.Func):
            columns = table.args["alias"].columns if table.args.get("alias") else []
            column = columns[0].name if columns else table.alias or "generate_series"
            return {column: sqltypes.INT4}
        for owner in (table, *table.iter_expressions(), *_iterate_ancestors(table)):
            clause = owner.args.get("with_")
            for query in clause.expressions if clause else ():
                if query.alias.lower() == name:
                    return dict(self.find_columns(query.this) or [])
        return self.schema.get(name, {})

    def _list_outputs(self, outputs, scope) -> list[tuple[str, int]] | None:
        """Return the columns of a select list, None if any is unknown."""
        columns = []
        for output in outputs:
            if isinstance(output, exp.Star) or (
                isinstance(output, exp.Column) and isinstance(output.this, exp.Star)
            ):
                chosen = output.table.lower() if isinstance(output, exp.Column) else ""
                for alias, relation in scope.items():
                    if not relation:
                        return None
                    if not chosen or alias == chosen:
                        columns.extend(relation.items())
                continue
            columns.append((_name_column(output), self._find_type(output, scope)))
        return columns

    def _find_type(self, node: exp.Expression, scope) -> int:
        """Return the type OID of an expression, 0 if unknown."""
        if isinstance(node, exp.Column):
            return _find_column(node, scope)
        if isinstance(node, exp.Cast):
            return sqltypes.find_oid(node.to.sql("postgres"))
        if isinstance(node, exp.Literal):
            return _find_literal(node)
        if isinstance(node, exp.Placeholder):
            number = _parameter_number(node)
            return self.parameters[number - 1] if number else 0
        if isinstance(node, _BOOLEAN_NODES):
            return sqltypes.BOOL
        if isinstance(node, _TEXT_NODES):
            return sqltypes.TEXT
        if isinstance(node, exp.Count):
            return sqltypes.INT8
        if isinstance(node, exp.Length):
            return sqltypes.INT4
        if isinstance(node, exp.CurrentTimestamp):
            return sqltypes.TIMESTAMPTZ
        if isinstance(node, exp.Avg):
            return sqltypes.FLOAT8
        if isinstance(node, exp.Sum):
            found = self._find_type(node.this, scope)
            return sqltypes.INT8 if found in sqltypes.INTEGERS else found
        if isinstance(node, _ARITHMETIC_NODES):
            return self._find_arithmetic(node, scope)
        if isinstance(node, exp.Subquery):
            columns = self.find_columns(node.this)
            return columns[0][1] if columns else 0
        if isinstance(node, exp.Anonymous):
            return _RETURN_TYPES.get(node.name.lower(), 0)
        if isinstance(node, exp.Repeat):
            return sqltypes.TEXT
        if isinstance(node, exp.Case):
            return self._find_case(node, scope)
        if isinstance(
            node, exp.Alias | exp.Paren | exp.Neg | exp.Min | exp.Max | exp.Coalesce
        ):
            return self._find_type(node.this, scope)
        return 0

    def _find_case(self, node: exp.Case, scope) -> int:
        """Return the type of the first CASE branch whose type is known."""
        branches = [branch.args["true"] for branch in node.args["ifs"]]
        branches.append(node.args.get("default"))
        found = (self._find_type(branch, scope) for branch in branches if branch)
        return next((oid for oid in found if oid), 0)

    def _find_arithmetic(self, node: exp.Binary, scope) -> int:
        """Return the type of an arithmetic expression."""
        sides = (self._find_type(node.left, scope), self._find_type(node.right, scope))
        for oid in (sqltypes.FLOAT8, sqltypes.INT8, sqltypes.INT4, sqltypes.INT2):
            if oid in sides:
                return oid
        return sides[0] or sides[1]

    def _find_expected_type(self, node: exp.Placeholder) -> int:
        """Return the type expected of a parameter by its context, 0 if unknown."""
        parent = node.parent
        while isinstance(parent, exp.Paren):
            node, parent = parent, parent.parent
        if isinstance(parent, exp.Cast):
            return sqltypes.find_oid(parent.to.sql("postgres"))
        if isinstance(parent, exp.Tuple) and isinstance(parent.parent, exp.Values):
            return self._find_target_type(node, parent)
        if isinstance(parent, exp.Limit | exp.Offset):
            return sqltypes.INT8
        if isinstance(parent, exp.Anonymous | exp.Repeat | exp.ExplodingGenerateSeries):
            return _find_argument(parent, node)
        if isinstance(parent, exp.Binary | exp.In | exp.Between):
            scope = self._build_enclosing_scope(parent)
            others = [parent.this, parent.args.get("expression")]
            found = (self._find_type(o, scope) for o in others if o and o is not node)
            return next((oid for oid in found if oid), 0)
        return 0

    def _find_target_type(self, node: exp.Placeholder, row: exp.Tuple) -> int:
        """Return the type of the column into which a parameter is inserted."""
        insert = row.find_ancestor(exp.Insert)
        if insert is None:
            return 0
        target = insert.this
        table = target.this if isinstance(target, exp.Schema) else target
        relation = self.schema.get(table.name.lower(), {})
        if isinstance(target, exp.Schema):
            names = [column.name.lower() for column in target.expressions]
        else:
            names = list(relation)
        index = next(i for i, item in enumerate(row.expressions) if item is node)
        return relation.get(names[index], 0) if index < len(names) else 0

    def _build_enclosing_scope(self, node: exp.Expression) -> dict[str, dict[str, int]]:
        """Return the relations of all queries that enclose an expression."""
        scope = {}
        for parent in _iterate_ancestors(node):
            if isinstance(parent, exp.Select | exp.DML):
                scope = {**self._build_scope(parent), **scope}
        return scope


def _iterate_ancestors(node: exp.Expression):
    """Yield the enclosing expressions, innermost first."""
    while node.parent is not None:
        node = node.parent
        yield node


def _iterate_sources(tree: exp.Expression):
    """Yield the relations in FROM and JOIN and the target of a query."""
    if isinstance(tree, exp.DML):
        target = tree.this
        yield target.this if isinstance(target, exp.Schema) else target
    source = tree.args.get("from_")
    if source is not None:
        yield source.this
    for join in tree.args.get("joins") or ():
        yield join.this


def _find_column(node: exp.Column, scope) -> int:
    """Return the type of a column, 0 if unknown."""
    if node.table:
        return scope.get(node.table.lower(), {}).get(node.name.lower(), 0)
    for relation in scope.values():
        if node.name.lower() in relation:
            return relation[node.name.lower()]
    return 0


def _find_literal(node: exp.Literal) -> int:
    """Return the type of a constant."""
    if node.is_string:
        return sqltypes.TEXT
    if node.this.isdigit():
        return sqltypes.infer_oid(int(node.this))
    return sqltypes.FLOAT8


def _find_argument(function: exp.Expression, node: exp.Expression) -> int:
    """Return the declared type of a function argument, 0 if unknown."""
    if isinstance(function, exp.Anonymous):
        arguments = function.expressions
        types = _ARGUMENT_TYPES.get(function.name.lower(), ())
    elif isinstance(function, exp.Repeat):
        arguments = [function.this, function.args.get("times")]
        types = _ARGUMENT_TYPES["repeat"]
    else:
        arguments = [function.args.get("start"), function.args.get("end")]
        types = _ARGUMENT_TYPES["generate_series"]
    index = next((i for i, item in enumerate(arguments) if item is node), len(types))
    return types[index] if index < len(types) else 0


def _parameter_number(node: exp.Placeholder) -> int:
    """Return the number of a parameter, 0 for any other placeholder."""
    name = str(node.this or "")
    return (
        int(name.removeprefix(PARAMETER_PREFIX))
        if name.startswith(PARAMETER_PREFIX)
        else 0
    )


def _name_column(node: exp.Expression) -> str:
    """Return the name that PostgreSQL gives to a column."""
    if node.alias_or_name and isinstance(node, exp.Alias | exp.Column):
        return node.alias_or_name
    if isinstance(node, exp.Cast):
        return _name_column(node.this)
    if isinstance(node, exp.Anonymous):
        return node.name.lower()
    if isinstance(node, exp.Func) and not isinstance(node, exp.Connector):
        return node.sql_name().lower()
    return "?column?"

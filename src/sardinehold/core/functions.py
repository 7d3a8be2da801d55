"""SQL functions that a replica may run, and those that leave session state."""

from sqlglot import exp

WRITING_NODES = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Merge,
    exp.Into,
    exp.Lock,
    exp.Create,
    exp.Command,
    exp.NextValueFor,
)
"""Nodes of a syntax tree that change data or lock rows."""

_SAFE_NAMES = frozenset(
    [
        "age",
        "array_agg",
        "bit_length",
        "btrim",
        "char_length",
        "clock_timestamp",
        "current_database",
        "current_schema",
        "current_setting",
        "datetime",
        "degrees",
        "format",
        "gcd",
        "gen_random_uuid",
        "generate_series",
        "getdate",
        "hex",
        "initcap",
        "inet_server_addr",
        "isfinite",
        "julianday",
        "justify_days",
        "justify_hours",
        "justify_interval",
        "lcm",
        "make_date",
        "make_interval",
        "make_time",
        "make_timestamp",
        "make_timestamptz",
        "md5",
        "mod",
        "now",
        "num_nonnulls",
        "num_nulls",
        "numnode",
        "overlay",
        "pg_column_size",
        "pg_is_in_recovery",
        "pg_size_pretty",
        "pg_sleep",
        "pg_typeof",
        "phraseto_tsquery",
        "pi",
        "plainto_tsquery",
        "position",
        "printf",
        "querytree",
        "quote_ident",
        "quote_literal",
        "quote_nullable",
        "radians",
        "random",
        "row_to_json",
        "scale",
        "setweight",
        "sha224",
        "sha256",
        "sha384",
        "sha512",
        "similarity",
        "sind",
        "strftime",
        "strpos",
        "strip",
        "substr",
        "substring",
        "timeofday",
        "to_tsquery",
        "to_tsvector",
        "total",
        "translate",
        "trim_scale",
        "ts_headline",
        "ts_rank",
        "ts_rank_cd",
        "typeof",
        "unistr",
        "unixepoch",
        "version",
        "websearch_to_tsquery",
        "width_bucket",
    ]
)
"""Functions without side effects that sqlglot parses as anonymous functions."""

_SAFE_PREFIXES = ("json_", "jsonb_", "array_", "regexp_", "string_", "to_", "date_")
"""Name prefixes of function families without side effects."""

_SEQUENCE_STATE_NAMES = frozenset(["currval", "lastval", "last_insert_rowid"])
_STATEFUL_NAMES = frozenset(["set_config", "pg_notify", "dblink_connect"])


def is_safe(name: str) -> bool:
    """Return whether a function of this name has no side effects."""
    return name in _SAFE_NAMES or name.startswith(_SAFE_PREFIXES)


def reads_sequence_state(name: str) -> bool:
    """Return whether the result depends on earlier calls on the connection."""
    return name in _SEQUENCE_STATE_NAMES


def leaves_state(name: str) -> bool:
    """Return whether the function leaves state on the connection."""
    if name in _STATEFUL_NAMES:
        return True
    is_advisory = name.startswith(("pg_advisory_", "pg_try_advisory_"))
    return is_advisory and "_xact_" not in name

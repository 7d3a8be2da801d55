"""Results of statements, and how they go to the client."""

import re

from sardinehold_standins import sqltypes
from sardinehold_standins import wire

ENCODE_BATCH_ROWS = 200
"""Rows that are encoded before the session looks at its buffer."""

_IDENTIFIER = re.compile(r"\w+$")
_CALL = re.compile(r"(\w+)\s*\(")


class Result:
    """What a statement returned.

    :param tag: command tag without the count of rows.
    :param columns: (name, type OID); None when it has no rows to return.
    :param rows: its rows.
    :param count: rows returned or changed; None when the tag has no count.
    """

    __slots__ = ("tag", "columns", "rows", "count")

    def __init__(
        self,
        tag: str,
        columns: list[tuple[str, int]] | None = None,
        rows: list[tuple] | None = None,
        count: int | None = None,
    ) -> None:
        """Keep the parts."""
        self.tag = tag
        self.columns = columns
        self.rows = rows if rows is not None else []
        self.count = count

    def format_tag(self) -> str:
        """Return the command tag."""
        return self.tag if self.count is None else f"{self.tag} {self.count}"


def name_columns(description, rows: list[tuple]) -> list[tuple[str, int]]:
    """Return the columns of a result by its values."""
    return [
        (_name_column(column[0]), _infer_column_type(rows, index))
        for index, column in enumerate(description)
    ]


def complete_columns(
    columns: list[tuple[str, int]] | None, description, rows: list[tuple]
) -> list[tuple[str, int]]:
    """Return the columns with types for those that were unknown."""
    if columns is None or len(columns) != len(description):
        return name_columns(description, rows)
    return [
        (name, oid or _infer_column_type(rows, index))
        for index, (name, oid) in enumerate(columns)
    ]


def expand_formats(formats: list[int], count: int) -> list[int]:
    """Return one format code for each column."""
    if not formats:
        return [0] * count
    if len(formats) == 1:
        return formats * count
    return formats


async def send_rows(
    session, rows: list[tuple], columns: list[tuple[str, int]], formats: list[int]
) -> None:
    """Send rows, waiting for the client where it is slow."""
    encoders = [
        sqltypes.choose_encoder(oid, code)
        for (_, oid), code in zip(columns, formats, strict=True)
    ]
    is_plain = all(encoder is sqltypes.encode_text for encoder in encoders)
    for start in range(0, len(rows), ENCODE_BATCH_ROWS):
        for row in rows[start : start + ENCODE_BATCH_ROWS]:
            if is_plain:
                values = [sqltypes.encode_text(value) for value in row]
            else:
                values = [
                    encode(value) for encode, value in zip(encoders, row, strict=True)
                ]
            session.send(wire.build_row(values))
        await session.drain()


def _name_column(name: str) -> str:
    """Return the name that PostgreSQL gives to a column."""
    if _IDENTIFIER.match(name) and not name[0].isdigit():
        return name
    call = _CALL.match(name)
    return call.group(1).lower() if call else "?column?"


def _infer_column_type(rows: list[tuple], index: int) -> int:
    """Return the type of the first value that is not NULL."""
    for row in rows:
        if row[index] is not None:
            return sqltypes.infer_oid(row[index])
    return sqltypes.TEXT

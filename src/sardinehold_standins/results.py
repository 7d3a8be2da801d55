"""Statement results and their encoding as protocol messages."""

import re

from sardinehold_standins import sqltypes
from sardinehold_standins import wire

ENCODE_BATCH_ROWS = 200
"""Rows encoded between two checks of the session's output buffer."""

_IDENTIFIER = re.compile(r"\w+$")
_CALL = re.compile(r"(\w+)\s*\(")


class Result:
    """The result of a statement.

    :param tag: command tag without the row count.
    :param columns: (name, type OID); None for a statement that returns no rows.
    :param rows: rows as tuples of Python values.
    :param count: rows returned or changed; None if the tag has no count.
    """

    __slots__ = ("tag", "columns", "rows", "count")

    def __init__(
        self,
        tag: str,
        columns: list[tuple[str, int]] | None = None,
        rows: list[tuple] | None = None,
        count: int | None = None,
    ) -> None:
        """Create a result."""
        self.tag = tag
        self.columns = columns
        self.rows = rows if rows is not None else []
        self.count = count

    def format_tag(self) -> str:
        """Return the command tag."""
        return self.tag if self.count is None else f"{self.tag} {self.count}"


def name_columns(description, rows: list[tuple]) -> list[tuple[str, int]]:
    """Return the columns of a result with types inferred from its values."""
    return [
        (_name_column(column[0]), _infer_column_type(rows, index))
        for index, column in enumerate(description)
    ]


def complete_columns(
    columns: list[tuple[str, int]] | None, description, rows: list[tuple]
) -> list[tuple[str, int]]:
    """Return the columns, inferring the types that are unknown."""
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
    """Send rows, applying back-pressure from a slow client."""
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
    """Return the type OID of the first value that is not NULL."""
    for row in rows:
        if row[index] is not None:
            return sqltypes.infer_oid(row[index])
    return sqltypes.TEXT

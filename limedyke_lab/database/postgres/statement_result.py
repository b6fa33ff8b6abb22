"""What executing one statement answers."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke_lab.database.postgres import wire
from limedyke_lab.database.sql.sql_text import Statement

_POSITION_COLUMNS = ("group_term", "pg_is_in_recovery", "pg_current_wal_lsn")
_POSITION_TYPES = (wire.OID_INT8, wire.OID_BOOL, wire.OID_TEXT)


@dataclass(slots=True)
class Result:
    """Answer of a statement.

    :param tag: text of CommandComplete
    :param columns: column names, None when no row description is answered
    :param types: type OIDs of the columns
    """

    tag: str
    columns: tuple[str, ...] | None = None
    types: tuple[int, ...] = ()
    rows: list[tuple[object, ...]] | tuple = ()


def position_columns(statement: Statement) -> tuple[tuple[str, ...], tuple[int, ...]]:
    """Return names and types of a position query's columns; the fourth is a number as sent."""
    if statement.tokens[-2] == ",":
        return (*_POSITION_COLUMNS, "?column?"), (*_POSITION_TYPES, wire.OID_INT4)
    return _POSITION_COLUMNS, _POSITION_TYPES


def write_tag(statement: Statement, count: int) -> str:
    """Return the text of a write's CommandComplete.

    :param count: how many rows it changed; below 0 when SQLite does not say
    """
    if statement.tag == "INSERT":
        return f"INSERT 0 {max(count, 0)}"
    if statement.tag in ("UPDATE", "DELETE"):
        return f"{statement.tag} {max(count, 0)}"
    return statement.tag

"""Result of one executed statement."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke_lab.database.postgres import wire
from limedyke_lab.database.sql.sql_text import Statement

_POSITION_COLUMNS = ("group_term", "pg_is_in_recovery", "pg_current_wal_lsn")
_POSITION_TYPES = (wire.OID_INT8, wire.OID_BOOL, wire.OID_TEXT)


@dataclass(slots=True)
class Result:
    """Result of a statement.

    :param tag: text of CommandComplete
    :param columns: column names; None when no RowDescription is sent
    :param types: type OIDs of the columns
    """

    tag: str
    columns: tuple[str, ...] | None = None
    types: tuple[int, ...] = ()
    rows: list[tuple[object, ...]] | tuple = ()


def position_columns(statement: Statement) -> tuple[tuple[str, ...], tuple[int, ...]]:
    """Return column names and types of a position query; a fourth column is optional."""
    if statement.tokens[-2] == ",":
        return (*_POSITION_COLUMNS, "?column?"), (*_POSITION_TYPES, wire.OID_INT4)
    return _POSITION_COLUMNS, _POSITION_TYPES


def write_tag(statement: Statement, count: int) -> str:
    """Return the text of a write's CommandComplete.

    :param count: number of changed rows; negative when SQLite does not report it
    """
    if statement.tag == "INSERT":
        return f"INSERT 0 {max(count, 0)}"
    if statement.tag in ("UPDATE", "DELETE"):
        return f"{statement.tag} {max(count, 0)}"
    return statement.tag

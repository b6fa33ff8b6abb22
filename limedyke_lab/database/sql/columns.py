"""Names and types of result columns, following PostgreSQL."""

from __future__ import annotations

import re
import sqlite3

from limedyke_lab.database.postgres import wire
from limedyke_lab.database.sql.functions import BOOLEAN_FUNCTIONS
from limedyke_lab.database.sql.sql_text import Statement

_IDENTIFIER = re.compile(r"^[A-Za-z_][\w ]*$")
_CALL_COLUMN = re.compile(r"^\s*([A-Za-z_]\w*)\s*\(")


def describe_columns(
    cursor: sqlite3.Cursor, rows: list[tuple[object, ...]]
) -> tuple[tuple[str, ...], tuple[int, ...]]:
    """Return PostgreSQL's column names and types for a SQLite result."""
    raw_names = [column[0] for column in cursor.description]
    names = tuple([column_name(name) for name in raw_names])
    types = wire.column_types(rows, len(names))
    if BOOLEAN_FUNCTIONS.isdisjoint(names):
        return names, types
    booleans = [name in BOOLEAN_FUNCTIONS for name in names]
    for index, row in enumerate(rows):
        rows[index] = tuple(
            bool(value) if is_boolean else value
            for value, is_boolean in zip(row, booleans, strict=True)
        )
    return names, wire.column_types(rows, len(names))


def column_name(name: str) -> str:
    """Return the name PostgreSQL would give a column."""
    if _IDENTIFIER.match(name):
        return name
    call = _CALL_COLUMN.match(name)
    return call.group(1).lower() if call else "?column?"


def declared_types(connection: sqlite3.Connection, statement: Statement) -> dict[str, int]:
    """Return type OIDs by column name for the tables that a statement mentions."""
    names = {token.text.strip('"').lower() for token in statement.values}
    types: dict[str, int] = {}
    tables = connection.execute("SELECT name FROM sqlite_master WHERE type='table'").fetchall()
    for (table,) in tables:
        if table.lower() in names:
            for row in connection.execute(f'PRAGMA table_info("{table}")'):
                types[row[1].lower()] = _declared_oid(row[2].upper())
    return types


def _declared_oid(declaration: str) -> int:
    """Return the type OID of a declared column type."""
    if "INT" in declaration or "SERIAL" in declaration:
        return wire.OID_INT8
    if any(word in declaration for word in ("REAL", "FLOA", "DOUB")):
        return wire.OID_FLOAT8
    if "BLOB" in declaration or "BYTEA" in declaration:
        return wire.OID_BYTEA
    return wire.OID_TEXT

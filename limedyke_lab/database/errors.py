"""Errors of the stand-in database, each with its PostgreSQL SQLSTATE."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(eq=False)
class SqlError(Exception):
    """An error sent to the client as an ErrorResponse.

    :param sqlstate: the five characters of PostgreSQL's error code
    :param message: primary message
    :param detail: optional detail field
    :param fatal: whether the connection is closed after the response
    """

    sqlstate: str
    message: str
    detail: str = ""
    fatal: bool = False

    def __str__(self) -> str:
        return f"{self.sqlstate} {self.message}"


class ConnectionCutError(Exception):
    """Closes the connection without a further response."""


_SQLITE_PATTERNS = (
    ("UNIQUE constraint", "23505"),
    ("PRIMARY KEY constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("FOREIGN KEY constraint", "23503"),
    ("CHECK constraint", "23514"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("has no column named", "42703"),
    ("no such function", "42883"),
    ("wrong number of arguments to function", "42883"),
    ("no such savepoint", "3B001"),
    ("already exists", "42P07"),
    ("duplicate column name", "42701"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
    ("unrecognized token", "42601"),
    ("values for", "42601"),
    ("bindings supplied", "08P01"),
    ("database is locked", "40001"),
    ("database or disk is full", "53100"),
    ("interrupted", "57014"),
)


def from_sqlite(error: Exception) -> SqlError:
    """Map an exception of sqlite3 to the SQLSTATE PostgreSQL would use."""
    message = str(error)
    for pattern, sqlstate in _SQLITE_PATTERNS:
        if pattern in message:
            return SqlError(sqlstate, message)
    return SqlError("XX000", message)


def read_only() -> SqlError:
    """Return the error for a write on a member that is not the primary."""
    message = "cannot execute a write in a read-only transaction: this member is not the primary"
    return SqlError("25006", message)


def outcome_unknown() -> SqlError:
    """Return the error for a commit that a majority never confirmed."""
    message = "the commit was not acknowledged by a majority of the group"
    return SqlError("40003", message, "The transaction may or may not survive.")

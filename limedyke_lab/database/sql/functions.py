"""SQL functions registered on each SQLite connection.

``now()``, ``random()`` and similar functions take their values from the context, so that a
replica replaying a statement gets the same values as the primary.
"""

from __future__ import annotations

import sqlite3
from datetime import UTC, datetime
from random import Random
from typing import Protocol

from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.replication.positions import parse_position

BOOLEAN_FUNCTIONS = frozenset(
    {
        "pg_is_in_recovery",
        "pg_try_advisory_lock",
        "pg_try_advisory_xact_lock",
        "pg_advisory_unlock",
        "pg_cancel_backend",
        "pg_terminate_backend",
    }
)
"""Functions whose result column has type bool."""

VERSION = "PostgreSQL 16.0 (limedyke lab stand-in on SQLite)"


def timestamp_now() -> str:
    """Return the wall clock in PostgreSQL's text form of timestamptz."""
    return datetime.now(UTC).strftime("%Y-%m-%d %H:%M:%S.%f+00")


class StatementContext:
    """Per-statement values used by the nondeterministic functions.

    :ivar now: text of ``now()`` for the transaction; empty means the current time
    :ivar random_key: seed of ``random()``; empty means unseeded
    """

    __slots__ = ("_random", "_random_key", "now", "random_key")

    def __init__(self) -> None:
        self.now = ""
        self.random_key = ""
        self._random = Random()
        self._random_key = ""

    def begin_statement(self, now: str, seed: int, index: int) -> None:
        """Set the values for the statement at an index of a write transaction."""
        self.now = now
        self.random_key = f"{seed}:{index}"
        self._random_key = ""

    def clear(self) -> None:
        """Return to the current time and unseeded random numbers."""
        self.now = ""
        self.random_key = ""

    def current_time(self) -> str:
        """Return the value of ``now()``."""
        return self.now or timestamp_now()

    def generator(self) -> Random:
        """Return the generator of the current statement."""
        if not self.random_key:
            return self._random
        if self._random_key != self.random_key:
            self._random = Random(self.random_key)
            self._random_key = self.random_key
        return self._random


class SessionFunctions(Protocol):
    """Session data that the functions read or change."""

    def backend_id(self) -> str:
        """Return member name and connection number."""

    def backend_pid(self) -> int:
        """Return the connection number, used as the backend process ID."""

    def current_user(self) -> str:
        """Return the authenticated user."""

    def current_database(self) -> str:
        """Return the database named at start-up."""

    def current_setting(self, name: str, missing_ok: int = 0) -> str | None:
        """Return the value of a setting."""

    def set_config(self, name: str, value: str, is_local: int) -> str:
        """Change a setting."""


class MemberFunctions(Protocol):
    """Member state that the functions read."""

    def group_term(self) -> int:
        """Return the verified term."""

    def group_role(self) -> str:
        """Return the role."""

    def is_in_recovery(self) -> bool:
        """Return whether the member is not an open primary."""

    def current_lsn(self) -> str:
        """Return the position of the last local commit."""

    def replay_lsn(self) -> str | None:
        """Return the last applied position; None on a primary."""


class FunctionErrors:
    """Keeps the SqlError raised by a function, because SQLite replaces the exception."""

    __slots__ = ("error",)

    def __init__(self) -> None:
        self.error: SqlError | None = None

    def guard(self, function):
        """Wrap a function so that its SqlError is kept."""

        def call(*arguments):
            try:
                return function(*arguments)
            except SqlError as error:
                self.error = error
                raise

        return call

    def take(self) -> SqlError | None:
        """Return the kept error and clear it."""
        error, self.error = self.error, None
        return error


def register_clock_and_random(connection: sqlite3.Connection, context: StatementContext) -> None:
    """Replace SQLite's nondeterministic functions with ones that use the context."""

    def uuid() -> str:
        bits = context.generator().getrandbits(128)
        text = f"{bits:032x}"
        return f"{text[:8]}-{text[8:12]}-4{text[13:16]}-a{text[17:20]}-{text[20:]}"

    create = connection.create_function
    for name in ("now", "current_timestamp", "transaction_timestamp", "statement_timestamp"):
        create(name, 0, context.current_time)
    create("clock_timestamp", 0, context.current_time)
    create("current_date", 0, lambda: context.current_time()[:10])
    create("current_time", 0, lambda: context.current_time()[11:])
    create("random", 0, lambda: context.generator().random())
    create("randomblob", 1, lambda size: context.generator().randbytes(size))
    create("gen_random_uuid", 0, uuid)


def register_session(
    connection: sqlite3.Connection,
    member: MemberFunctions,
    session: SessionFunctions,
    errors: FunctionErrors,
) -> None:
    """Register the functions about the member and the session."""
    create = connection.create_function
    create("group_term", 0, member.group_term)
    create("group_role", 0, member.group_role)
    create("pg_is_in_recovery", 0, lambda: int(member.is_in_recovery()))
    create("pg_current_wal_lsn", 0, errors.guard(member.current_lsn))
    create("pg_last_wal_replay_lsn", 0, member.replay_lsn)
    create("pg_wal_lsn_diff", 2, lambda left, right: parse_position(left) - parse_position(right))
    create("backend_id", 0, session.backend_id)
    create("pg_backend_pid", 0, session.backend_pid)
    for name in ("current_user", "session_user"):
        create(name, 0, session.current_user)
    create("current_database", 0, session.current_database)
    create("current_schema", 0, lambda: "public")
    create("version", 0, lambda: VERSION)
    create("current_setting", -1, errors.guard(session.current_setting))
    create("set_config", 3, errors.guard(session.set_config))

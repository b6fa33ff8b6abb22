"""SQLite storage of a member: one file in WAL mode, rebuilt by replaying the log."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from pathlib import Path

from limedyke_lab.database.replication.log import LogRecord, PositionedRecord
from limedyke_lab.database.sql.functions import StatementContext, register_clock_and_random

_FILE_NAME = "database.sqlite"
_META_TABLE = "limedyke_lab_meta"
_CREATE_META = f"CREATE TABLE IF NOT EXISTS {_META_TABLE} (position INTEGER NOT NULL)"
_UPDATE_META = f"UPDATE {_META_TABLE} SET position = ?"
_CACHED_STATEMENTS = 64
_CACHE_KIB = 512


class Engine:
    """Owns the SQLite file and applies log records to it.

    The file stores the log position it reflects. Durability comes from the log, so SQLite itself
    does not sync.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / _FILE_NAME
        self._context = StatementContext()
        self._writer = self._open_writer()

    def connect(self, context: StatementContext) -> sqlite3.Connection:
        """Open a connection whose clock and random functions follow the context."""
        connection = sqlite3.connect(
            self._path, isolation_level=None, cached_statements=_CACHED_STATEMENTS, timeout=0.2
        )
        connection.execute("PRAGMA synchronous=OFF")
        connection.execute("PRAGMA foreign_keys=ON")
        connection.execute(f"PRAGMA cache_size=-{_CACHE_KIB}")
        register_clock_and_random(connection, context)
        return connection

    def _open_writer(self) -> sqlite3.Connection:
        writer = self.connect(self._context)
        writer.execute("PRAGMA journal_mode=WAL")
        writer.execute(_CREATE_META)
        if writer.execute(f"SELECT count(*) FROM {_META_TABLE}").fetchone()[0] == 0:
            writer.execute(f"INSERT INTO {_META_TABLE} VALUES (0)")
        return writer

    def stored_position(self) -> int:
        """Return the log position stored in the file."""
        return self._writer.execute(f"SELECT position FROM {_META_TABLE}").fetchone()[0]

    @staticmethod
    def store_position(connection: sqlite3.Connection, position: int) -> None:
        """Record the position within the connection's open transaction."""
        connection.execute(_UPDATE_META, (position,))

    def apply(self, entry: PositionedRecord) -> None:
        """Execute a record in one transaction."""
        writer = self._writer
        writer.execute("BEGIN IMMEDIATE")
        try:
            self._execute(writer, entry.record)
            self.store_position(writer, entry.position)
        except BaseException:
            writer.execute("ROLLBACK")
            raise
        writer.execute("COMMIT")

    def _execute(self, writer: sqlite3.Connection, record: LogRecord) -> None:
        for index, statement in enumerate(record.statements):
            self._context.begin_statement(record.now, record.seed, index)
            writer.execute(statement.sql, statement.parameters).fetchall()

    def rebuild(self, entries: Iterable[PositionedRecord]) -> None:
        """Replace the file with one built from the records.

        Existing connections still use the old file; the caller must close them.
        """
        self._writer.close()
        for suffix in ("", "-wal", "-shm"):
            self._path.with_name(_FILE_NAME + suffix).unlink(missing_ok=True)
        self._writer = self._open_writer()
        for entry in entries:
            self.apply(entry)

    def close(self) -> None:
        """Close the engine's own connection."""
        self._writer.close()

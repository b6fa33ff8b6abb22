"""Transaction state of a session, and commit through the replicated log."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass

from limedyke_lab.database.errors import SqlError, from_sqlite
from limedyke_lab.database.replication.log import LoggedStatement, LogRecord
from limedyke_lab.database.replication.positions import format_position
from limedyke_lab.database.sql.engine import Engine
from limedyke_lab.database.sql.functions import timestamp_now

_SEED_BITS = 31


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """A statement for the history, kept until its outcome is known."""

    text: str
    time_ns: int


class Transaction:
    """Transaction state of one session, also when no transaction is open.

    :ivar explicit: opened by BEGIN
    :ivar failed: a statement failed; only COMMIT, ROLLBACK and ROLLBACK TO are accepted
    :ivar writing: holds the member's write lock and an open SQLite write transaction
    :ivar snapshot: holds an open SQLite read transaction (repeatable read)
    """

    def __init__(self) -> None:
        self.explicit = False
        self.failed = False
        self.writing = False
        self.snapshot = False
        self.read_only = False
        self.read_write = False
        self.repeatable_read = False
        self.number = 0
        self.now = ""
        self.seed = 0
        self.term = 0
        self.savepoints: list[str] = []
        self.logged: list[LoggedStatement] = []
        self.executed: list[ExecutedStatement] = []
        self.abort_error: SqlError | None = None

    def start(self, explicit: bool) -> None:
        """Begin a fresh transaction."""
        self.__init__()
        self.explicit = explicit

    def log_statement(self, sql: str, parameters: tuple[object, ...]) -> None:
        """Add a statement to the transaction's log record."""
        self.logged.append(LoggedStatement(sql, parameters))


class TransactionRunner:
    """Begins, commits and rolls back transactions of one session."""

    def __init__(self, session) -> None:
        self._session = session
        self._member = session.member

    async def begin_write(self) -> None:
        """Take the write lock and open SQLite's write transaction."""
        session, member = self._session, self._member
        transaction = session.transaction
        member.require_writable()
        if transaction.read_only or self._is_read_only_by_default(transaction):
            raise SqlError("25006", "cannot execute a write in a read-only transaction")
        if transaction.writing:
            return
        await self._lock()
        try:
            member.require_writable()
            if not transaction.snapshot:
                session.sqlite().execute("BEGIN IMMEDIATE")
            self._open_savepoints(transaction)
        except BaseException:
            await member.write_lock.release(session)
            raise
        transaction.writing = True
        transaction.number = member.next_transaction()
        transaction.now = transaction.now or timestamp_now()
        transaction.seed = secrets.randbits(_SEED_BITS)
        transaction.term = member.promised_term

    def _is_read_only_by_default(self, transaction: Transaction) -> bool:
        setting = self._session.settings.get("default_transaction_read_only")
        return setting in ("on", "true", "1") and not transaction.read_write

    async def _lock(self) -> None:
        await self._member.write_lock.acquire(self._session)

    def _open_savepoints(self, transaction: Transaction) -> None:
        for name in transaction.savepoints:
            sql = f'SAVEPOINT "{name}"'
            self._session.sqlite().execute(sql)
            transaction.log_statement(sql, ())

    async def commit(self) -> None:
        """Sync the log record, commit SQLite, then wait for a majority."""
        session, member = self._session, self._member
        transaction = session.transaction
        if transaction.abort_error is not None:
            error = transaction.abort_error
            await self._end(committed=False)
            raise error
        if not transaction.writing:
            await self._end(committed=True)
            return
        if not any(not item.sql.startswith("SAVEPOINT") for item in transaction.logged):
            session.sqlite().execute("COMMIT")
            await self._end(committed=True)
            return
        try:
            position = self._commit_locally(transaction)
        except BaseException:
            await self.rollback()
            raise
        transaction.writing = False
        await member.write_lock.release(session)
        await member.notify_log_appended()
        await self._await_majority(transaction, position)

    def _commit_locally(self, transaction: Transaction) -> int:
        """Append the record, commit SQLite and advance the position, without awaiting."""
        session, member = self._session, self._member
        member.require_writable()
        if transaction.term != member.promised_term:
            raise SqlError("25006", "the primary's term ended during the transaction")
        record = LogRecord(
            transaction.term,
            member.name,
            transaction.number,
            transaction.now,
            transaction.seed,
            tuple(transaction.logged),
        )
        position = member.append_record(record)
        connection = session.sqlite()
        Engine.store_position(connection, position)
        connection.execute("COMMIT")
        member.applied = position
        return position

    async def _await_majority(self, transaction: Transaction, position: int) -> None:
        session = self._session
        try:
            await self._member.wait_acknowledged(position, transaction.term, session)
        except BaseException:
            self._write_history("unknown", position)
            await self._end(committed=True)
            raise
        self._write_history("commit", position)
        await self._end(committed=True)
        session.answer_faults.committed()

    async def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        session = self._session
        transaction = session.transaction
        if transaction.writing or transaction.snapshot:
            session.rollback_sqlite()
        if transaction.executed:
            self._write_history("rollback", 0)
        await self._end(committed=False)

    def abort(self, error: SqlError) -> None:
        """Roll back immediately; the next statement or the commit raises the error."""
        session = self._session
        explicit = session.transaction.explicit
        session.rollback_sqlite()
        self._write_history("rollback", 0)
        session.settings.end(committed=False)
        session.transaction.start(explicit)
        session.transaction.abort_error = error

    async def _end(self, committed: bool) -> None:
        session = self._session
        await self._member.write_lock.release(session)
        if session.transaction.snapshot and not session.transaction.writing:
            session.rollback_sqlite()
        session.settings.end(committed)
        await session.release_advisory_locks(of_transaction=True)
        session.transaction.start(explicit=False)

    def _write_history(self, outcome: str, position: int) -> None:
        transaction = self._session.transaction
        for item in transaction.executed:
            self._session.write_history(
                outcome,
                item.text,
                transaction=transaction.number,
                term=transaction.term,
                position=format_position(position) if position else "",
                time_ns=item.time_ns,
            )

    def record_executed(self, text: str) -> None:
        """Keep a write until its outcome is known and can be recorded in the history."""
        if self._member.history.enabled:
            entry = ExecutedStatement(text, time.monotonic_ns())
            self._session.transaction.executed.append(entry)

    def savepoint(self, name: str) -> None:
        """Set a savepoint; before the first write it is only remembered."""
        transaction = self._session.transaction
        transaction.savepoints.append(name)
        self._savepoint_sql(f'SAVEPOINT "{name}"')

    def release_savepoint(self, name: str) -> None:
        """Release a savepoint and those set after it."""
        transaction = self._session.transaction
        index = self._savepoint_index(name)
        del transaction.savepoints[index:]
        self._savepoint_sql(f'RELEASE SAVEPOINT "{name}"')

    def rollback_to(self, name: str) -> None:
        """Roll back to a savepoint, which remains defined."""
        transaction = self._session.transaction
        index = self._savepoint_index(name)
        del transaction.savepoints[index + 1 :]
        self._savepoint_sql(f'ROLLBACK TO SAVEPOINT "{name}"')
        transaction.failed = False

    def _savepoint_index(self, name: str) -> int:
        names = self._session.transaction.savepoints
        if name not in names:
            raise SqlError("3B001", f'savepoint "{name}" does not exist')
        return len(names) - 1 - names[::-1].index(name)

    def _savepoint_sql(self, sql: str) -> None:
        transaction = self._session.transaction
        if not transaction.writing:
            return
        try:
            self._session.sqlite().execute(sql)
        except Exception as error:
            raise from_sqlite(error) from error
        transaction.log_statement(sql, ())

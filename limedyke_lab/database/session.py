"""One server-side session: state, waiting and SQLite connection."""

from __future__ import annotations

import socket
import sqlite3

from limedyke_lab.database.errors import ConnectionCutError, SqlError
from limedyke_lab.database.execution import Executor
from limedyke_lab.database.postgres.answer_faults import AnswerFaults
from limedyke_lab.database.postgres.authentication import ADMIN_USER
from limedyke_lab.database.settings import Settings
from limedyke_lab.database.sql.functions import FunctionErrors, StatementContext, register_session
from limedyke_lab.database.sql.special_functions import sleep
from limedyke_lab.database.transaction import Transaction, TransactionRunner
from limedyke_lab.database.waits import Outcome, Waiter

_PEEK_INTERVAL_SECONDS = 0.5


class Session:
    """State of one client connection.

    :ivar number: connection number, also the backend process ID reported to the client
    :ivar user: authenticated user
    :ivar prepared: prepared statements by name
    :ivar advisory: advisory locks held, as (key, released at the end of the transaction)
    """

    def __init__(self, server, sock, number: int, user: str, startup: dict[str, str]) -> None:
        self.server = server
        self.member = server.member
        self.sock = sock
        self.number = number
        self.user = user
        self.is_admin = user == ADMIN_USER
        self.database = startup.get("database", user)
        self.settings = Settings(self._initial_settings(startup))
        self.context = StatementContext()
        self.function_errors = FunctionErrors()
        self.transaction = Transaction()
        self.runner = TransactionRunner(self)
        self.executor = Executor(self)
        self.prepared: dict[bytes, object] = {}
        self.temporary_tables: set[str] = set()
        self.advisory: list[tuple[tuple[int, ...], bool]] = []
        self.answer_faults = AnswerFaults(self)
        self.end_error: SqlError | None = None
        self._waiter: Waiter | None = None
        self._connection: sqlite3.Connection | None = None

    def _initial_settings(self, startup: dict[str, str]) -> dict[str, str]:
        initial = {
            "is_superuser": "on" if self.is_admin else "off",
            "session_authorization": self.user,
        }
        for name, value in startup.items():
            if name not in ("user", "database", "options", "replication"):
                initial[name.lower()] = value
        initial.update(_startup_options(startup.get("options", "")))
        return initial

    # ----- SQLite -----

    def sqlite(self) -> sqlite3.Connection:
        """Return the session's SQLite connection, opened on first use."""
        if self._connection is None:
            if self.end_error is not None:
                raise self.end_error
            self._connection = self.member.engine.connect(self.context)
            register_session(self._connection, self.member, self, self.function_errors)
        return self._connection

    def rollback_sqlite(self) -> None:
        """Roll back SQLite's open transaction, if any."""
        if self._connection is not None and self._connection.in_transaction:
            self._connection.execute("ROLLBACK")

    def close_sqlite(self) -> None:
        """Close the SQLite connection."""
        if self._connection is not None:
            self.rollback_sqlite()
            self._connection.close()
            self._connection = None

    # ----- waiting -----

    async def wait(
        self, waiter: Waiter, seconds: float | None = None, raises: bool = True
    ) -> Outcome:
        """Wait for an outcome, a cancel request, the end of the session or a client disconnect."""
        self._waiter = waiter
        try:
            outcome = await self._wait_watching_client(waiter, seconds)
        finally:
            self._waiter = None
        if not raises:
            return outcome
        if outcome is Outcome.CANCELLED:
            raise SqlError("57014", "canceling statement due to user request")
        if outcome is Outcome.TERMINATED:
            raise self.end_error or ConnectionCutError
        if outcome is Outcome.SUPERSEDED:
            raise SqlError("25006", "the member was superseded while waiting")
        return outcome

    async def _wait_watching_client(self, waiter: Waiter, seconds: float | None) -> Outcome:
        remaining = seconds
        while remaining is None or remaining > 0:
            step = (
                _PEEK_INTERVAL_SECONDS
                if remaining is None
                else min(remaining, _PEEK_INTERVAL_SECONDS)
            )
            outcome = await waiter.wait(step)
            if outcome is not Outcome.TIMEOUT:
                return outcome
            if remaining is not None:
                remaining -= step
            if self.end_error is None and self._client_disconnected():
                raise ConnectionCutError
        return Outcome.TIMEOUT

    def _client_disconnected(self) -> bool:
        try:
            return self.sock._socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def must_queue(self) -> bool:
        """Return whether a statement must wait, for a free slot or while it holds one."""
        if self.is_admin:
            return False
        return self.member.switches.execute_ms > 0 or self.member.slots.is_full

    async def hold_slot(self, seconds: float) -> None:
        """Take a slot, hold it for the given time, and release it."""
        if self.is_admin:
            await sleep(self, seconds)
            return
        slots = self.member.slots
        if slots.is_full:
            await self._queue_for_slot()
        else:
            slots.active += 1
        try:
            await sleep(self, seconds)
        finally:
            await slots.release()

    async def _queue_for_slot(self) -> None:
        slots = self.member.slots
        waiter = slots.enqueue()
        try:
            await self.wait(waiter)
        except BaseException:
            if waiter.outcome is Outcome.DONE:
                await slots.release()
            else:
                await slots.abandon(waiter)
            raise

    async def cancel(self) -> None:
        """End the current wait with 57014 (40003 for a commit)."""
        if self._waiter is not None:
            await self._waiter.resolve(Outcome.CANCELLED)

    async def terminate(self, error: SqlError) -> None:
        """End the session: the client gets the error, then the connection is closed."""
        if self.end_error is None:
            self.end_error = error
        if self._waiter is not None:
            await self._waiter.resolve(Outcome.TERMINATED)
        self.server.wake_idle_session(self)

    def discard_sqlite(self, error: SqlError) -> None:
        """Close SQLite at once; the session will end with the error."""
        self.end_error = self.end_error or error
        self.close_sqlite()

    def abort_write(self, error: SqlError) -> None:
        """Roll back an open write transaction; the next statement gets the error."""
        if self.transaction.writing:
            self.runner.abort(error)

    async def release_locks(self) -> None:
        """Release the locks of an aborted write transaction."""
        if self.transaction.abort_error is not None:
            await self.member.write_lock.release(self)

    # ----- state -----

    def show(self, name: str) -> str:
        """Return the value that SHOW reports."""
        lowered = name.lower()
        if lowered == "in_hot_standby":
            return "on" if self.member.is_in_recovery() else "off"
        if lowered == "transaction_read_only":
            read_only = self.transaction.read_only or self.member.is_in_recovery()
            return "on" if read_only else "off"
        if lowered == "transaction_isolation" and self.transaction.repeatable_read:
            return "repeatable read"
        return self.settings.require(name)

    async def discard_all(self) -> None:
        """Reset all session state (DISCARD ALL)."""
        self.settings.reset("all")
        self.prepared.clear()
        for table in sorted(self.temporary_tables):
            self.sqlite().execute(f'DROP TABLE IF EXISTS temp."{table}"')
        self.temporary_tables.clear()
        await self.release_advisory_locks(of_transaction=False)

    async def release_advisory_locks(self, of_transaction: bool) -> None:
        """Release the transaction's advisory locks, or all advisory locks of the session."""
        if not self.advisory:
            return
        released = [entry for entry in self.advisory if entry[1] or not of_transaction]
        self.advisory = [entry for entry in self.advisory if entry not in released]
        for key, _ in released:
            await self.release_unheld_advisory_lock(key)

    async def release_unheld_advisory_lock(self, key: tuple[int, ...]) -> None:
        """Release the lock if the session has no remaining entry for it."""
        if any(entry[0] == key for entry in self.advisory):
            return
        lock = self.member.advisory_locks.get(key)
        if lock is not None:
            await lock.release(self)
            if lock.owner is None:
                self.member.advisory_locks.pop(key, None)

    async def close(self) -> None:
        """Roll back and release everything."""
        await self.runner.rollback()
        await self.release_advisory_locks(of_transaction=False)
        self.close_sqlite()

    def write_history(self, outcome: str, statement: str, **fields) -> None:
        """Write a line of the history for this session."""
        self.member.history.add(
            outcome,
            statement,
            connection=self.number,
            user=self.user,
            application=self.settings.get("application_name") or "",
            **fields,
        )

    # ----- SQL functions -----

    def backend_id(self) -> str:
        """Return member name and connection number."""
        return f"{self.member.name}:{self.number}"

    def backend_pid(self) -> int:
        """Return the connection number."""
        return self.number

    def current_user(self) -> str:
        """Return the authenticated user."""
        return self.user

    def current_database(self) -> str:
        """Return the database named at start-up."""
        return self.database

    def current_setting(self, name: str, missing_ok: int = 0) -> str | None:
        """Return a setting; None or 42704 when it does not exist."""
        if missing_ok and self.settings.get(name) is None:
            return None
        return self.show(name)

    def set_config(self, name: str, value: str, is_local: int) -> str:
        """Change a setting."""
        self.settings.set(name, str(value), bool(is_local))
        return str(value)


def _startup_options(options: str) -> dict[str, str]:
    """Return the settings given as ``-c name=value`` in the startup packet's options."""
    settings = {}
    words = options.split()
    for index, word in enumerate(words):
        if word == "-c" and index + 1 < len(words):
            name, _, value = words[index + 1].partition("=")
            settings[name.lower()] = value
        elif word.startswith("-c"):
            name, _, value = word[2:].partition("=")
            settings[name.lower()] = value
    return settings

"""Execution of single statements in a session."""

from __future__ import annotations

import sqlite3

from limedyke_lab.database.errors import SqlError, from_sqlite
from limedyke_lab.database.postgres import wire
from limedyke_lab.database.postgres.statement_result import Result, position_columns, write_tag
from limedyke_lab.database.settings import apply_set, parse_name
from limedyke_lab.database.sql.columns import column_name, declared_types, describe_columns
from limedyke_lab.database.sql.special_functions import call_special
from limedyke_lab.database.sql.sql_text import Kind, Statement

_MILLISECONDS = 1000.0
_EXECUTING = frozenset({Kind.READ, Kind.LOCKING_READ, Kind.WRITE})
_ENDS_TRANSACTION = frozenset({Kind.COMMIT, Kind.ROLLBACK})
_ALLOWED_WHEN_FAILED = frozenset({Kind.COMMIT, Kind.ROLLBACK, Kind.ROLLBACK_TO})


class Executor:
    """Runs statements for one session."""

    def __init__(self, session) -> None:
        self._session = session
        self._member = session.member
        self._handlers = {
            Kind.READ: self._read,
            Kind.LOCKING_READ: self._locking_read,
            Kind.WRITE: self._write,
            Kind.POSITION: self._position,
            Kind.CALL: self._call,
            Kind.BEGIN: self._begin,
            Kind.COMMIT: self._commit,
            Kind.ROLLBACK: self._rollback,
            Kind.SAVEPOINT: self._savepoint,
            Kind.RELEASE: self._release,
            Kind.ROLLBACK_TO: self._rollback_to,
            Kind.SET: self._set,
            Kind.SHOW: self._show,
            Kind.RESET: self._reset,
            Kind.DISCARD: self._discard,
            Kind.DEALLOCATE: self._deallocate,
            Kind.UNSUPPORTED: self._unsupported,
        }

    async def run(self, statement: Statement, parameters: tuple[object, ...]) -> Result:
        """Execute one statement; raises SqlError."""
        transaction = self._session.transaction
        if statement.kind not in _ENDS_TRANSACTION:
            self._raise_abort()
        if transaction.failed and statement.kind not in _ALLOWED_WHEN_FAILED:
            message = "current transaction is aborted, commands ignored until end of transaction"
            raise SqlError("25P02", message)
        if statement.parameter_count > len(parameters):
            raise SqlError("08P01", "bind message supplies too few parameters")
        try:
            return await self._handlers[statement.kind](statement, parameters)
        except SqlError:
            if statement.kind in _EXECUTING:
                self._session.write_history("error", statement.text)
            raise

    def _raise_abort(self) -> None:
        """Raise the pending error if the member rolled back the transaction."""
        transaction = self._session.transaction
        if transaction.abort_error is None:
            return
        error = transaction.abort_error
        if transaction.explicit:
            transaction.abort_error = None
        raise error

    # ----- queries -----

    async def _position(self, statement: Statement, _parameters: tuple) -> Result:
        columns, types = position_columns(statement)
        row = self._member.position_row()
        if len(columns) > len(row):
            row = (*row, int(statement.tokens[-1]))
        return Result("SELECT 1", columns, types, [row])

    async def _read(self, statement: Statement, parameters: tuple) -> Result:
        session = self._session
        if session.must_queue():
            await self._in_slot()
        transaction = session.transaction
        if transaction.repeatable_read and not (transaction.snapshot or transaction.writing):
            session.sqlite().execute("BEGIN")
            transaction.snapshot = True
        result = self._execute_sqlite(statement, parameters)
        if self._member.history.enabled:
            session.write_history("read", statement.text)
        return result

    async def _locking_read(self, statement: Statement, parameters: tuple) -> Result:
        await self._session.runner.begin_write()
        return await self._read(statement, parameters)

    async def _write(self, statement: Statement, parameters: tuple) -> Result:
        session = self._session
        await session.runner.begin_write()
        if session.must_queue():
            await self._in_slot()
            self._raise_abort()
        transaction = session.transaction
        is_temporary = self._is_temporary(statement)
        index = len(transaction.logged)
        session.context.begin_statement(transaction.now, transaction.seed, index)
        try:
            result = self._execute_sqlite(statement, parameters)
        finally:
            session.context.clear()
        if not is_temporary:
            transaction.log_statement(statement.sql, parameters[: statement.parameter_count])
        session.runner.record_executed(statement.text)
        return result

    def _is_temporary(self, statement: Statement) -> bool:
        """Return whether a write targets a temporary table.

        Rejects replicated writes that read a temporary table.
        """
        tables = self._session.temporary_tables
        if statement.temporary_table:
            tables.add(statement.temporary_table)
            return True
        if not tables:
            return False
        if statement.target in tables:
            if statement.tokens[0] == "DROP":
                tables.discard(statement.target)
            return True
        names = {token.text.strip('"').lower() for token in statement.values}
        if names & tables:
            raise SqlError("0A000", "a replicated write cannot read a temporary table")
        return False

    async def _in_slot(self) -> None:
        """Take a slot and hold it for the configured execution time."""
        await self._session.hold_slot(self._member.switches.execute_ms / _MILLISECONDS)

    def _execute_sqlite(self, statement: Statement, parameters: tuple) -> Result:
        session = self._session
        try:
            cursor = session.sqlite().execute(
                statement.sql, parameters[: statement.parameter_count]
            )
            rows = cursor.fetchall()
        except (sqlite3.Error, sqlite3.Warning, OverflowError) as error:
            raise session.function_errors.take() or from_sqlite(error) from error
        if cursor.description is None or not statement.answers_rows:
            return Result(write_tag(statement, cursor.rowcount))
        columns, types = describe_columns(cursor, rows)
        if statement.kind is Kind.WRITE:
            return Result(write_tag(statement, len(rows)), columns, types, rows)
        return Result(f"SELECT {len(rows)}", columns, types, rows)

    def describe(self, statement: Statement) -> tuple[tuple[str, ...], tuple[int, ...]]:
        """Return names and types of a statement's columns without executing it.

        Types of computed columns are not known before execution and are described as text.
        """
        if statement.kind is Kind.POSITION:
            return position_columns(statement)
        if statement.kind is Kind.CALL:
            return (statement.call.column,), (wire.OID_TEXT,)
        if statement.kind is Kind.SHOW:
            return (parse_name(statement.values[1:])[0],), (wire.OID_TEXT,)
        if statement.kind is Kind.WRITE:
            raise SqlError("0A000", "a write with RETURNING is described after Bind only")
        sql = f"SELECT * FROM ({statement.sql}) LIMIT 0"
        try:
            cursor = self._session.sqlite().execute(sql, (None,) * statement.parameter_count)
        except sqlite3.Error as error:
            raise self._session.function_errors.take() or from_sqlite(error) from error
        declared = declared_types(self._session.sqlite(), statement)
        names = tuple(column_name(column[0]) for column in cursor.description)
        return names, tuple(declared.get(name.lower(), wire.OID_TEXT) for name in names)

    async def _call(self, statement: Statement, parameters: tuple) -> Result:
        value, oid = await call_special(self._session, statement.call, parameters)
        return Result("SELECT 1", (statement.call.column,), (oid,), [(value,)])

    # ----- transactions -----

    async def _begin(self, statement: Statement, _parameters: tuple) -> Result:
        session = self._session
        if session.transaction.explicit:
            return Result(statement.tag)
        if session.transaction.writing:
            session.transaction.explicit = True
            session.settings.begin()
            return Result(statement.tag)
        session.transaction.start(explicit=True)
        session.settings.begin()
        self._apply_characteristics(statement.tokens)
        return Result(statement.tag)

    def _apply_characteristics(self, tokens: tuple[str, ...]) -> None:
        transaction = self._session.transaction
        words = " ".join(tokens)
        if "READ ONLY" in words:
            transaction.read_only = True
        if "READ WRITE" in words:
            transaction.read_write = True
        if "REPEATABLE READ" in words or "SERIALIZABLE" in words:
            transaction.repeatable_read = True

    async def _commit(self, statement: Statement, _parameters: tuple) -> Result:
        session = self._session
        if session.transaction.failed:
            await session.runner.rollback()
            return Result("ROLLBACK")
        await session.runner.commit()
        return Result("COMMIT")

    async def _rollback(self, statement: Statement, _parameters: tuple) -> Result:
        await self._session.runner.rollback()
        return Result("ROLLBACK")

    async def _savepoint(self, statement: Statement, _parameters: tuple) -> Result:
        self._require_explicit("SAVEPOINT")
        self._session.runner.savepoint(_last_name(statement))
        return Result("SAVEPOINT")

    async def _release(self, statement: Statement, _parameters: tuple) -> Result:
        self._require_explicit("RELEASE SAVEPOINT")
        self._session.runner.release_savepoint(_last_name(statement))
        return Result("RELEASE")

    async def _rollback_to(self, statement: Statement, _parameters: tuple) -> Result:
        self._require_explicit("ROLLBACK TO SAVEPOINT")
        self._session.runner.rollback_to(_last_name(statement))
        return Result("ROLLBACK")

    def _require_explicit(self, command: str) -> None:
        if not self._session.transaction.explicit:
            raise SqlError("25P01", f"{command} can only be used in transaction blocks")

    # ----- session state -----

    async def _set(self, statement: Statement, _parameters: tuple) -> Result:
        tokens = statement.tokens
        if tokens[1:2] == ("TRANSACTION",):
            self._apply_characteristics(tokens)
        elif "CHARACTERISTICS" not in tokens:
            apply_set(self._session.settings, statement.values)
        return Result("SET")

    async def _show(self, statement: Statement, _parameters: tuple) -> Result:
        if len(statement.values) < 2:
            raise SqlError("42601", "syntax error at end of SHOW")
        name, _ = parse_name(statement.values[1:])
        if statement.tokens[1:3] == ("TRANSACTION", "ISOLATION"):
            name = "transaction_isolation"
        value = self._session.show(name)
        return Result("SHOW", (name,), (wire.OID_TEXT,), [(value,)])

    async def _reset(self, statement: Statement, _parameters: tuple) -> Result:
        if len(statement.values) < 2:
            raise SqlError("42601", "syntax error at end of RESET")
        self._session.settings.reset(parse_name(statement.values[1:])[0])
        return Result("RESET")

    async def _discard(self, statement: Statement, _parameters: tuple) -> Result:
        if self._session.transaction.explicit:
            raise SqlError("25001", "DISCARD ALL cannot run inside a transaction block")
        await self._session.discard_all()
        return Result("DISCARD ALL")

    async def _deallocate(self, statement: Statement, _parameters: tuple) -> Result:
        name = statement.values[-1].text.strip('"')
        if statement.tokens[-1] == "ALL":
            self._session.prepared.clear()
            return Result("DEALLOCATE ALL")
        if self._session.prepared.pop(name.encode(), None) is None:
            raise SqlError("26000", f'prepared statement "{name}" does not exist')
        return Result("DEALLOCATE")

    async def _unsupported(self, statement: Statement, _parameters: tuple) -> Result:
        raise SqlError("0A000", f"{statement.tag} is not supported by this database")


def _last_name(statement: Statement) -> str:
    return statement.values[-1].text.strip('"').lower()

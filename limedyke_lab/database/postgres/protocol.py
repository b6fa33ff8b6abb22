"""Message loop of a session: simple and extended query protocol."""

from __future__ import annotations

import sqlite3

import curio
from postgresql.protocol import element3
from postgresql.protocol.buffer import pq_message_stream

from limedyke_lab.database.errors import SqlError, from_sqlite
from limedyke_lab.database.postgres import wire
from limedyke_lab.database.postgres.answer_buffer import AnswerBuffer
from limedyke_lab.database.postgres.portals import Portal, Prepared
from limedyke_lab.database.postgres.statement_result import Result
from limedyke_lab.database.session import Session
from limedyke_lab.database.sql.sql_text import Kind, Statement, parse_statements

_READ_BYTES = 65536
_MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
_ENDS_OF_BATCH = frozenset({b"S", b"Q"})


class ProtocolLoop:
    """Reads messages of one session and answers them in order."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._stream = pq_message_stream()
        self._answers = AnswerBuffer(session)
        self._portals: dict[bytes, Portal] = {}
        self._skip_to_sync = False
        self._handlers = {
            b"Q": self._query,
            b"P": self._parse,
            b"B": self._bind,
            b"D": self._describe,
            b"E": self._execute,
            b"C": self._close,
            b"S": self._sync,
            b"H": self._flush,
        }

    async def run(self, leftover: bytes) -> None:
        """Serve messages until the client leaves or the session ends."""
        data = leftover
        received = 0
        recv = self._session.sock.recv
        while True:
            if data:
                self._stream.write(data)
                received += len(data)
                messages = self._stream.read()
                if messages:
                    received = 0
                    if not await self._handle_all(messages):
                        return
                elif received > _MAXIMUM_MESSAGE_BYTES:
                    raise SqlError("08P01", "message too large", fatal=True)
            if self._session.end_error is not None:
                raise self._session.end_error
            # recv does not yield when data is already available; let the other sessions run.
            await curio.sleep(0)
            data = await recv(_READ_BYTES)
            if not data:
                if self._session.end_error is not None:
                    raise self._session.end_error
                return

    async def _handle_all(self, messages: list[tuple[bytes, bytes]]) -> bool:
        """Handle messages in order; return False after a Terminate message."""
        ends = sum(1 for kind, _ in messages if kind in _ENDS_OF_BATCH)
        for kind, body in messages:
            if kind == b"X":
                return False
            if kind in _ENDS_OF_BATCH:
                ends -= 1
            self._answers.another_follows = ends > 0
            await self._handle(kind, body)
        return True

    async def _handle(self, kind: bytes, body: bytes) -> None:
        handler = self._handlers.get(kind)
        if handler is None:
            if kind in (b"d", b"c", b"f"):
                return
            raise SqlError("08P01", f"unexpected message type {kind!r}", fatal=True)
        if self._skip_to_sync and kind != b"S":
            return
        try:
            await handler(body)
        except SqlError as error:
            if error.fatal:
                raise
            await self._fail(error)
            self._skip_to_sync = kind != b"Q"
        except (ValueError, UnicodeDecodeError) as error:
            raise SqlError("08P01", f"malformed message: {error}", fatal=True) from error
        except sqlite3.Error as error:
            await self._fail(from_sqlite(error))
            self._skip_to_sync = kind != b"Q"

    async def _fail(self, error: SqlError) -> None:
        """Add an ErrorResponse; mark an explicit transaction as failed, or roll back."""
        self._answers.add(wire.error_response(error))
        transaction = self._session.transaction
        if transaction.explicit:
            transaction.failed = True
        else:
            await self._session.runner.rollback()

    # ----- simple query -----

    async def _query(self, body: bytes) -> None:
        try:
            statements = parse_statements(element3.Query.parse(body).data.decode())
            if not statements:
                self._answers.add(wire.EMPTY_QUERY)
            for index, statement in enumerate(statements):
                is_last = index == len(statements) - 1
                await self._run_simple(statement, is_last)
        except SqlError as error:
            if error.fatal:
                raise
            await self._fail(error)
        except sqlite3.Error as error:
            await self._fail(from_sqlite(error))
        await self._raise_if_terminated()
        await self._answers.send_ready()

    async def _raise_if_terminated(self) -> None:
        """End the session if it was terminated, after sending the buffered responses."""
        if self._session.end_error is not None:
            await self._answers.send()
            raise self._session.end_error

    async def _run_simple(self, statement: Statement, is_last: bool) -> None:
        result = await self._session.executor.run(statement, ())
        if is_last:
            await self._commit_implicit()
        if result.columns is not None:
            self._answers.add(wire.row_description(result.columns, result.types, ()))
            self._answers.add(wire.data_rows(result.rows, (), result.types))
        self._answers.complete(result.tag)

    async def _commit_implicit(self) -> None:
        """Commit the implicit transaction, if any."""
        transaction = self._session.transaction
        if transaction.explicit:
            return
        if not transaction.writing and transaction.abort_error is None:
            return
        await self._session.runner.commit()

    # ----- extended query -----

    async def _parse(self, body: bytes) -> None:
        message = element3.Parse.parse(body)
        statements = parse_statements(message.statement.decode())
        if len(statements) > 1:
            text = "cannot insert multiple commands into a prepared statement"
            raise SqlError("42601", text)
        name = message.name
        if name and name in self._session.prepared:
            raise SqlError("42P05", f'prepared statement "{name.decode()}" already exists')
        statement = statements[0] if statements else None
        if statement is not None and statement.kind is Kind.UNSUPPORTED:
            raise SqlError("0A000", f"{statement.tag} is not supported by this database")
        self._session.prepared[name] = Prepared(statement, tuple(message.argtypes))
        self._answers.add(wire.PARSE_COMPLETE)

    def _prepared(self, name: bytes) -> Prepared:
        prepared = self._session.prepared.get(name)
        if prepared is None:
            raise SqlError("26000", f'prepared statement "{name.decode()}" does not exist')
        return prepared

    def _portal(self, name: bytes) -> Portal:
        portal = self._portals.get(name)
        if portal is None:
            raise SqlError("34000", f'portal "{name.decode()}" does not exist')
        return portal

    async def _bind(self, body: bytes) -> None:
        message = element3.Bind.parse(body)
        prepared = self._prepared(message.statement)
        expected = prepared.statement.parameter_count if prepared.statement else 0
        if len(message.arguments) < expected:
            raise SqlError("08P01", f"bind supplies {len(message.arguments)} of {expected} values")
        values = wire.decode_parameters(message.arguments, message.aformats, prepared.types)
        self._portals[message.name] = Portal(prepared.statement, values, message.rformats)
        self._answers.add(wire.BIND_COMPLETE)

    async def _describe(self, body: bytes) -> None:
        if body[:1] == b"S":
            self._describe_statement(self._prepared(body[1:-1]))
            return
        portal = self._portal(body[1:-1])
        if portal.statement is None or not portal.statement.answers_rows:
            self._answers.add(wire.NO_DATA)
            return
        result = await self._run_portal(portal)
        description = wire.row_description(result.columns, result.types, portal.formats)
        self._answers.add(description)

    def _describe_statement(self, prepared: Prepared) -> None:
        statement = prepared.statement
        count = max(statement.parameter_count if statement else 0, len(prepared.types))
        types = [oid or wire.OID_TEXT for oid in prepared.types]
        types += [wire.OID_TEXT] * (count - len(types))
        self._answers.add(element3.AttributeTypes(types).bytes())
        if statement is None or not statement.answers_rows:
            self._answers.add(wire.NO_DATA)
            return
        names, column_types = self._session.executor.describe(statement)
        self._answers.add(wire.row_description(names, column_types, ()))

    async def _run_portal(self, portal: Portal) -> Result:
        if portal.result is None:
            run = self._session.executor.run
            portal.result = await run(portal.statement, portal.parameters)
        return portal.result

    async def _execute(self, body: bytes) -> None:
        message = element3.Execute.parse(body)
        portal = self._portal(message.name)
        if portal.statement is None:
            self._answers.add(wire.EMPTY_QUERY)
            return
        result = await self._run_portal(portal)
        if result.columns is None:
            self._answers.complete(result.tag)
            return
        self._send_rows(portal, result, message.max)

    def _send_rows(self, portal: Portal, result: Result, limit: int) -> None:
        rows = portal.take_rows(limit)
        self._answers.add(wire.data_rows(rows, portal.formats, result.types))
        if limit and portal.has_more:
            self._answers.add(wire.SUSPENDED)
            return
        tag = f"SELECT {len(rows)}" if result.tag.startswith("SELECT") else result.tag
        self._answers.complete(tag)

    async def _close(self, body: bytes) -> None:
        name = body[1:-1]
        if body[:1] == b"S":
            self._session.prepared.pop(name, None)
        else:
            self._portals.pop(name, None)
        self._answers.add(wire.CLOSE_COMPLETE)

    async def _flush(self, _body: bytes) -> None:
        await self._answers.send()

    async def _sync(self, _body: bytes) -> None:
        self._skip_to_sync = False
        try:
            await self._commit_implicit()
        except SqlError as error:
            if error.fatal:
                raise
            await self._fail(error)
        if not self._session.transaction.explicit:
            self._portals.clear()
        await self._raise_if_terminated()
        await self._answers.send_ready()

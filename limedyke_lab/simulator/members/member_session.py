"""A session at a simulated member: serial queries and at most one open transaction."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from limedyke.postgres.member_frames import format_position
from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.postgres.wire import (
    OID_BOOL,
    OID_INT8,
    OID_TEXT,
    READY_FAILED,
    READY_IDLE,
    READY_TRANSACTION,
    command_complete,
    data_rows,
    error_response,
    row_description,
)
from limedyke_lab.simulator.machine.network import Endpoint
from limedyke_lab.simulator.statement_sql import parse_sql
from limedyke_lab.simulator.statements import (
    IN_FAILED_TRANSACTION,
    NOT_IN_PREREQUISITE_STATE,
    OUTCOME_UNKNOWN,
    READ_ONLY,
    UNIQUE_VIOLATION,
    Begin,
    Commit,
    Done,
    Get,
    OnceQuery,
    OnceRow,
    OnceTag,
    OnceValue,
    Position,
    PositionQuery,
    Promised,
    PromiseTerm,
    PromoteTerm,
    Put,
    Rollback,
    SessionCommand,
    Statement,
    StatementError,
    StatementResult,
    Value,
    Write,
)

if TYPE_CHECKING:
    from limedyke_lab.simulator.members.member_server import MemberServer

_READY = {"I": READY_IDLE, "T": READY_TRANSACTION, "E": READY_FAILED}


def _rows(names: Sequence[str], types: Sequence[int], row: Sequence[object], tag: str) -> bytes:
    description = row_description(tuple(names), tuple(types), ())
    return description + data_rows([tuple(row)], (), types) + command_complete(tag)


def encode_result(result: StatementResult) -> bytes:
    """Return the messages of one statement's result."""
    match result:
        case Done(tag, ""):
            return command_complete(tag)
        case Done(tag, attempt):
            return _rows(("attempt",), (OID_TEXT,), (attempt,), tag)
        case Value(attempt, value, holds, member):
            names = ("attempt", "value", "holds", "member")
            types = (OID_TEXT, OID_TEXT, OID_INT8, OID_TEXT)
            return _rows(names, types, (attempt, value, int(holds), member), "SELECT 1")
        case OnceValue(digest, tag, found):
            names, types = ("digest", "command_tag"), (OID_TEXT, OID_TEXT)
            if not found:
                return row_description(names, types, ()) + command_complete("SELECT 0")
            return _rows(names, types, (digest, tag), "SELECT 1")
        case Position(mark, term, is_replica, position):
            names = ["group_term", "pg_is_in_recovery", "position"]
            types = [OID_INT8, OID_BOOL, OID_TEXT]
            row: list[object] = [term, is_replica, format_position(position)]
            if mark:
                names.append("mark")
                types.append(OID_INT8)
                row.append(int(mark))
            return _rows(names, types, row, "SELECT 1")
        case Promised(last_term, position):
            text = f"{last_term},{format_position(position)}"
            return _rows(("group_promise",), (OID_TEXT,), (text,), "SELECT 1")
        case StatementError(sqlstate, detail):
            return error_response(SqlError(sqlstate, detail or "refused"))


class MemberSession:
    """One authenticated connection.

    :param is_ordinary_user: whether slots, execution time and faults apply to it
    """

    def __init__(self, server: MemberServer, endpoint: Endpoint, is_ordinary_user: bool) -> None:
        self._server = server
        self._member = server.member
        self._endpoint = endpoint
        self._is_ordinary_user = is_ordinary_user
        self._writes: list[Write] = []
        self._status = "I"
        self._aborted: StatementError | None = None

    def roll_back(self) -> None:
        """Roll back the open transaction."""
        self._status = "I"
        self._drop_writes()

    def _drop_writes(self) -> None:
        self._writes = []
        self._member.once_locks.release(self)

    def abort_write(self) -> None:
        """Roll back an open write transaction because the member no longer leads."""
        if self._writes:
            self._drop_writes()
            if self._status == "T":
                self._aborted = StatementError(READ_ONLY, "the member is no longer the primary")

    async def run_query(self, text: str) -> None:
        """Run one query message and send its answer."""
        server = self._server
        slots = server.slots
        if self._is_ordinary_user:
            await slots.acquire()
            await self._member.process.sleep(server.execute_s)
        results = await self._execute(parse_sql(text))
        if self._is_ordinary_user:
            slots.release()
        answer = b"".join(encode_result(result) for result in results)
        self._send(answer + _READY[self._status], results)

    def _send(self, answer: bytes, results: list[StatementResult]) -> None:
        server = self._server
        is_write = any(isinstance(result, Done) for result in results)
        if self._is_ordinary_user and is_write and server.drop_answers > 0:
            server.drop_answers -= 1
            self._member.network.break_stream(self._endpoint)
            return
        self._endpoint.send(answer)
        if self._is_ordinary_user and server.repeat_answers > 0:
            server.repeat_answers -= 1
            self._endpoint.send(command_complete("SELECT 1") + _READY[self._status])

    async def _execute(self, statements: list[Statement]) -> list[StatementResult]:
        results: list[StatementResult] = []
        for statement in statements:
            result = await self._run(statement)
            results.append(result)
            if isinstance(result, StatementError):
                break
        failed = bool(results) and isinstance(results[-1], StatementError)
        if failed:
            self._drop_writes()
            self._status = "E" if self._status == "T" else self._status
        if self._status == "I" and self._writes:
            outcome = await self._commit()
            if isinstance(outcome, StatementError):
                return [outcome]
        return results

    async def _run(self, statement: Statement) -> StatementResult:
        if self._aborted is not None:
            aborted, self._aborted = self._aborted, None
            if isinstance(statement, Commit | Rollback):
                self._status = "I"
            return aborted
        if self._status == "E" and not isinstance(statement, Rollback | Commit):
            return StatementError(IN_FAILED_TRANSACTION, "the transaction is aborted")
        match statement:
            case Begin():
                self._status = "T"
                return Done("BEGIN")
            case Rollback():
                self.roll_back()
                return Done("ROLLBACK")
            case Commit():
                return await self._commit_explicitly()
            case SessionCommand(tag):
                return Done(tag)
            case Put():
                return self._write(statement)
            case OnceRow():
                return await self._insert_once(statement)
            case OnceTag():
                return self._update_once(statement)
            case OnceQuery(key):
                row = self._once_row(key)
                return OnceValue(*(row or ("", "")), row is not None)
            case Get():
                return self._read(statement)
            case PositionQuery(mark):
                member = self._member
                state = (member.verified_term, not member.is_primary, member.state.position)
                return Position(mark, *state)
            case PromiseTerm():
                return self._promise(statement)
            case PromoteTerm():
                return await self._promote(statement)

    async def _commit_explicitly(self) -> StatementResult:
        if self._status == "E":
            self.roll_back()
            return Done("ROLLBACK")
        self._status = "I"
        if not self._writes:
            return Done("COMMIT")
        return await self._commit()

    async def _commit(self) -> StatementResult:
        writes, self._writes = tuple(self._writes), []
        member = self._member
        if not member.is_primary:
            self._drop_writes()
            return StatementError(READ_ONLY, "the member is not the primary")
        term = member.leadership.term
        acknowledged = member.append(writes)
        member.history.add(
            "committed",
            member=member.name,
            group=member.group,
            term=term,
            position=member.disk.end,
            requests=tuple(write.request for write in writes if isinstance(write, Put)),
        )
        majority_acknowledged = await acknowledged
        member.once_locks.release(self)
        if not majority_acknowledged:
            return StatementError(OUTCOME_UNKNOWN, "not acknowledged by a majority")
        return Done("COMMIT")

    def _write(self, put: Put) -> StatementResult:
        if not self._member.is_primary:
            return StatementError(READ_ONLY, "the member is not the primary")
        self._writes.append(put)
        self._member.history.add("executed", member=self._member.name, attempt=put.attempt)
        return Done("INSERT 0 1", put.attempt)

    async def _insert_once(self, row: OnceRow) -> StatementResult:
        await self._member.once_locks.acquire(row.key, self)
        if not self._member.is_primary:
            return StatementError(READ_ONLY, "the member is not the primary")
        if self._once_row(row.key) is not None:
            if row.skip_if_known:
                return Done("INSERT 0 0")
            return StatementError(UNIQUE_VIOLATION, row.key)
        self._writes.append(row)
        return Done("INSERT 0 1")

    def _update_once(self, update: OnceTag) -> StatementResult:
        if not self._member.is_primary:
            return StatementError(READ_ONLY, "the member is not the primary")
        if self._once_row(update.key) is None:
            return Done("UPDATE 0")
        self._writes.append(update)
        return Done("UPDATE 1")

    def _once_row(self, key: str) -> tuple[str, str] | None:
        """Return digest and tag of a key as visible to this transaction."""
        row = self._member.state.once_row(key)
        for write in self._writes:
            if isinstance(write, OnceRow) and write.key == key:
                row = (write.digest, "")
            elif isinstance(write, OnceTag) and write.key == key and row is not None:
                row = (row[0], row[1] if write.tag is None else write.tag)
        return row

    def _read(self, read: Get) -> StatementResult:
        member = self._member
        own = [w.request for w in self._writes if isinstance(w, Put) and w.key == read.key]
        value = own[-1] if own else member.state.value(read.tenant, read.key)
        must_hold = read.must_hold
        holds = not must_hold or must_hold in own or member.state.holds(must_hold)
        member.history.add("executed", member=member.name, attempt=read.attempt)
        return Value(read.attempt, value, holds, member.name)

    def _promise(self, statement: PromiseTerm) -> StatementResult:
        if not self._member.promise(statement.term, statement.promoter):
            return StatementError(NOT_IN_PREREQUISITE_STATE, "a higher term is promised")
        disk = self._member.disk
        return Promised(disk.last_term, disk.end)

    async def _promote(self, statement: PromoteTerm) -> StatementResult:
        opened = self._member.promote(statement.term)
        if opened is None or not await opened:
            return StatementError(NOT_IN_PREREQUISITE_STATE, "the term was not promised here")
        return Done("SELECT 1")

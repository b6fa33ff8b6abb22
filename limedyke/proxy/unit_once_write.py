"""Runs a write with a once-key outside a transaction: key row and write commit together."""

from __future__ import annotations

from limedyke.messages.work import TransactionStatus
from limedyke.postgres import member_frames as frames
from limedyke.postgres.member_batch import repeated_answer
from limedyke.proxy.members.connection import (
    BackendConnection,
    ConnectionLostError,
    InternalQueryResult,
)
from limedyke.proxy.unit_context import UnitContext, may_end_transaction
from limedyke.proxy.unit_exchange import Exchange, ExchangePlan
from limedyke.proxy.unit_once import (
    COMMIT_TAGS,
    CREATE_TABLE_SQL,
    TOUCH_TAGS,
    KeyState,
    OnceKey,
    key_failure,
)
from limedyke.proxy.unit_write import Executed, UnitWrite, verify_commit
from limedyke.result_codes import Failure, ResultCode

ATTEMPTS = 2
"""The second attempt follows the creation of the key table."""


class UnitOnceWrite(UnitWrite):
    """One write with a once-key.

    ``BEGIN`` and the insert of the key row are sent before the batch.  If the key was
    used before, the insert fails and aborts the transaction, and with it the batch.
    """

    def __init__(self, context: UnitContext) -> None:
        super().__init__(context)
        self._key = OnceKey.of(self._unit.once_key, self._unit.data, self._unit.prepared)
        self._inserted: InternalQueryResult | None = None

    async def _execute(self, connection: BackendConnection, term: int) -> Executed:
        for _ in range(ATTEMPTS):
            exchange = await self._context.exchange(connection, self._once_plan())
            if exchange.failure is not None:
                if not exchange.sent:
                    raise ConnectionLostError(exchange.failure.detail, nothing_sent=True)
                return Executed(exchange, self._failure_of(exchange, exchange.failure))
            assert self._inserted is not None
            judged = self._key.judge_opening(self._inserted)
            if judged.state is KeyState.FOREIGN:
                connection.broken = True
                return Executed(exchange, Failure(ResultCode.TRANSACTION_LOST, judged.detail))
            if judged.state is not KeyState.NO_TABLE:
                break
            await self._create_table(connection)
        try:
            if judged.state is KeyState.NEW:
                return await self._complete(connection, exchange, term)
            await self._context.execute(connection, "ROLLBACK")
            if judged.state is KeyState.REPEATED:
                return await self._repeat(connection, exchange, term)
            return Executed(exchange, key_failure(judged))
        except ConnectionLostError as error:
            return Executed(exchange, Failure(ResultCode.OUTCOME_UNKNOWN, str(error)))

    def _once_plan(self) -> ExchangePlan:
        preamble = frames.query(f"BEGIN; {self._key.insert_sql}")
        return ExchangePlan(
            None,
            check_after=True,
            is_write=True,
            preamble=preamble,
            read_preamble=self._read_insert,
        )

    async def _read_insert(self, connection: BackendConnection) -> None:
        self._inserted = await connection.read_internal_result()

    async def _create_table(self, connection: BackendConnection) -> None:
        """Create the key table, after a batch did not run because the table is missing."""
        await self._context.execute(connection, "ROLLBACK")
        await self._context.execute(connection, CREATE_TABLE_SQL)

    async def _complete(
        self, connection: BackendConnection, exchange: Exchange, term: int
    ) -> Executed:
        """Commit the key row and the write, or roll back a failed write."""
        reader = exchange.reader
        if reader.sqlstate:
            await self._context.execute(connection, "ROLLBACK")
            return Executed(exchange)
        if reader.status is not TransactionStatus.IN_TRANSACTION:
            detail = "a batch with a once-key must not end the transaction"
            connection.broken = True
            return Executed(exchange, Failure(ResultCode.OUTCOME_UNKNOWN, detail))
        sql = f"{self._key.update_sql(reader.tag)}; COMMIT"
        return await self._commit(connection, exchange, term, sql, COMMIT_TAGS)

    async def _repeat(
        self, connection: BackendConnection, exchange: Exchange, term: int
    ) -> Executed:
        """Repeat the answer of the first attempt, after a commit that proves it is durable."""
        found = await self._key.look_up(connection)
        if found.state is not KeyState.REPEATED:
            return Executed(exchange, key_failure(found))
        sql = self._key.touch_sql
        executed = await self._commit(connection, exchange, term, sql, TOUCH_TAGS)
        self._context.metrics.once_duplicates.inc()
        executed.replacement = repeated_answer(self._unit.data, found.tag)
        return executed

    async def _commit(
        self,
        connection: BackendConnection,
        exchange: Exchange,
        term: int,
        sql: str,
        tags: tuple[bytes, ...],
    ) -> Executed:
        answer = await self._context.execute(connection, sql)
        if answer.sqlstate or answer.status != b"I" or answer.tags != tags:
            connection.broken = True
            detail = f"commit answered {answer.sqlstate}: {answer.message}"
            return Executed(exchange, Failure(ResultCode.OUTCOME_UNKNOWN, detail))
        failure, position = await verify_commit(self._context, connection, term)
        return Executed(exchange, failure, position)

    def _failure_of(self, exchange: Exchange, failure: Failure) -> Failure:
        """Return the failure for an incomplete answer; COMMIT has not been sent at that point."""
        if failure.code is ResultCode.FEATURE_NOT_SUPPORTED:
            return failure
        if may_end_transaction(self._unit):
            return Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail)
        return Failure(ResultCode.TRANSACTION_LOST, failure.detail)

"""Runs the units of an open transaction, and rolls back transactions."""

from __future__ import annotations

import curio

from limedyke.messages.work import Access, AnswerEnd, LogPosition, TransactionStatus
from limedyke.postgres.member_batch import repeated_answer
from limedyke.proxy.members.connection import ConnectionLostError
from limedyke.proxy.members.gate import Grant
from limedyke.proxy.open_transactions import OpenTransaction
from limedyke.proxy.unit_context import UnitContext, may_end_transaction, may_set_transaction
from limedyke.proxy.unit_exchange import Exchange, ExchangePlan
from limedyke.proxy.unit_once import (
    CREATE_TABLE_SQL,
    KeyAnswer,
    KeyState,
    OnceKey,
    key_failure,
)
from limedyke.proxy.unit_write import COMMIT_UNCERTAIN, reports_unknown_outcome, verify_commit
from limedyke.result_codes import Failure, ResultCode

ROLLBACK_TIMEOUT_S = 2.0
SAVEPOINT_SQL = "SAVEPOINT limedyke_once"
ROLLBACK_TO_SQL = "ROLLBACK TO SAVEPOINT limedyke_once"
RELEASE_SQL = "RELEASE SAVEPOINT limedyke_once"


class UnitInTransaction:
    """One unit on the connection of its transaction."""

    def __init__(self, context: UnitContext, transaction: OpenTransaction) -> None:
        self._context = context
        self._unit = context.unit
        self._transaction = transaction
        self._replacement: bytes | None = None
        self._refusal: Failure | None = None
        self._may_commit = may_end_transaction(context.unit) and transaction.access is Access.WRITE

    async def run(self) -> AnswerEnd:
        """Run the unit and return the end of its answer."""
        transaction = self._transaction
        if transaction.connection.broken or not transaction.connection.check_idle():
            await self._drop()
            return self._lost("its connection was lost")
        return await self._run_with(transaction.gate.take_slot(self._unit))

    async def _run_with(self, grant: Grant) -> AnswerEnd:
        transaction = self._transaction
        transaction.running = True
        position = LogPosition()
        failure: Failure | None = None
        try:
            exchange = await self._exchange()
            if exchange.failure is None and reports_unknown_outcome(exchange):
                failure = Failure(ResultCode.OUTCOME_UNKNOWN, COMMIT_UNCERTAIN)
            elif self._commits(exchange):
                failure, position = await verify_commit(
                    self._context,
                    transaction.connection,
                    transaction.term,
                    exchange.reader.position_after,
                )
        finally:
            transaction.running = False
            await self._after(grant)
        if exchange.failure is not None:
            return self._failed(exchange, exchange.failure)
        if failure is not None:
            return self._context.failed(failure)
        if self._refusal is not None:
            return self._context.failed(self._refusal, transaction.status)
        if self._replacement is not None:
            await exchange.relay_replacement(self._replacement)
        else:
            await exchange.finish()
        connection = transaction.connection
        by_replica = transaction.access is Access.READ and bool(connection.is_replica)
        return self._context.answer_end(
            connection.endpoint.name, exchange.reader.status, position, by_replica
        )

    async def _exchange(self) -> Exchange:
        if self._unit.once_key and self._transaction.access is Access.WRITE:
            return await self._exchange_once()
        return await self._exchange_batch()

    async def _exchange_batch(self) -> Exchange:
        check = may_end_transaction(self._unit) or not may_set_transaction(self._unit)
        plan = ExchangePlan(None, check_after=check, is_write=self._may_commit)
        exchange = await self._context.exchange(self._transaction.connection, plan)
        self._transaction.status = exchange.reader.status
        return exchange

    async def _exchange_once(self) -> Exchange:
        """Write the key row, then run the batch if the key is new."""
        connection = self._transaction.connection
        plan = ExchangePlan(None, check_after=False, is_write=True)
        unsent = Exchange(connection, self._unit, self._context.relay, plan)
        key = OnceKey.of(self._unit.once_key, self._unit.data, self._unit.prepared)
        try:
            judged = await self._write_key(key)
            if judged.state is KeyState.NEW:
                exchange = await self._exchange_batch()
                if exchange.failure is None and not exchange.reader.sqlstate:
                    await self._context.execute(connection, key.update_sql(exchange.reader.tag))
                return exchange
            if judged.state is KeyState.REPEATED:
                self._replacement = repeated_answer(self._unit.data, judged.tag)
            else:
                self._refusal = key_failure(judged)
        except ConnectionLostError as error:
            unsent.failure = Failure(ResultCode.TRANSACTION_LOST, str(error))
        unsent.reader.status = self._transaction.status
        return unsent

    async def _write_key(self, key: OnceKey) -> KeyAnswer:
        """Write the key row inside a savepoint; return the first answer for a repeated key."""
        connection = self._transaction.connection
        await self._context.execute(connection, SAVEPOINT_SQL)
        judged = key.judge_insert(await self._context.execute(connection, key.insert_if_new_sql))
        if judged.state is KeyState.NO_TABLE:
            await self._context.execute(connection, f"{ROLLBACK_TO_SQL}; {CREATE_TABLE_SQL}")
            answer = await self._context.execute(connection, key.insert_if_new_sql)
            judged = key.judge_insert(answer)
        if judged.state is KeyState.REPEATED:
            judged = await key.look_up(connection)
        if judged.state is KeyState.REPEATED:
            await self._context.execute(connection, key.touch_sql)
        if judged.state in (KeyState.NEW, KeyState.REPEATED):
            await self._context.execute(connection, RELEASE_SQL)
        else:
            await self._context.execute(connection, f"{ROLLBACK_TO_SQL}; {RELEASE_SQL}")
        return judged

    def _commits(self, exchange: Exchange) -> bool:
        if exchange.failure is not None or self._transaction.access is Access.READ:
            return False
        ended = exchange.reader.status is TransactionStatus.IDLE
        return ended and (exchange.reader.committed or not exchange.reader.sqlstate)

    async def _after(self, grant: Grant) -> None:
        """Release the slot, and the connection if the transaction has ended."""
        transaction = self._transaction
        over = transaction.status is TransactionStatus.IDLE or transaction.connection.broken
        await transaction.gate.release(grant, keep_connection=True)
        if over:
            await self._drop()
        elif transaction.abandoned:
            self._context.transactions.remove(transaction.key)
            await roll_back(transaction)

    async def _drop(self) -> None:
        transaction = self._transaction
        self._context.transactions.remove(transaction.key)
        await transaction.gate.return_connection(transaction.tenant, transaction.connection)

    def _lost(self, detail: str) -> AnswerEnd:
        return self._context.failed(Failure(ResultCode.TRANSACTION_LOST, detail))

    def _failed(self, exchange: Exchange, failure: Failure) -> AnswerEnd:
        if self._may_commit and exchange.sent:
            return self._context.failed(Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail))
        if failure.code is ResultCode.FEATURE_NOT_SUPPORTED:
            return self._context.failed(failure)
        return self._lost(failure.detail)


async def roll_back(transaction: OpenTransaction) -> None:
    """Roll back a transaction without a running unit; close its connection if that fails."""
    connection = transaction.connection
    try:
        async with curio.timeout_after(ROLLBACK_TIMEOUT_S):
            answer = await connection.execute("ROLLBACK")
        connection.broken = connection.broken or answer.status != b"I"
    except (ConnectionLostError, curio.TaskTimeout):
        connection.broken = True
    except BaseException:
        connection.broken = True
        await transaction.gate.return_connection(transaction.tenant, connection)
        raise
    await transaction.gate.return_connection(transaction.tenant, connection)

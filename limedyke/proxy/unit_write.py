"""Runs a write, or a transaction that may write, on the primary; it is sent at most once."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from result import Err

from limedyke.core.group_view import GroupView
from limedyke.messages.work import AnswerEnd, LogPosition, TransactionStatus
from limedyke.postgres.member_frames import PositionAnswer
from limedyke.proxy.executor import jittered
from limedyke.proxy.members.connection import BackendConnection, ConnectionLostError
from limedyke.proxy.members.gate import Grant, MemberGate
from limedyke.proxy.unit_context import UnitContext
from limedyke.proxy.unit_exchange import Exchange, ExchangePlan
from limedyke.result_codes import Failure, ResultCode

MS_PER_S = 1_000.0
MEMBER_RETRY_S = 0.05
NO_PRIMARY_RETRY_MS = 500
COMMIT_UNCERTAIN = "the member does not know whether its commit is durable"


def acknowledges(view: GroupView, member: str, term: int, answer_term: int) -> bool:
    """Return whether a member's commit under ``term`` may be acknowledged now.

    The member must be the recorded primary of that term, and must have reported the same
    term after the commit.
    """
    return view.primary == member and view.term == term == answer_term


def reports_unknown_outcome(exchange: Exchange) -> bool:
    """Return whether the member itself reported that the outcome of a commit is unknown."""
    return exchange.reader.sqlstate == ResultCode.OUTCOME_UNKNOWN.sqlstate


async def verify_commit(
    context: UnitContext,
    connection: BackendConnection,
    term: int,
    answer: PositionAnswer | None = None,
) -> tuple[Failure | None, LogPosition]:
    """Check whether a commit may be acknowledged, just before its answer is relayed.

    :param term: the term under which the connection was verified before the batch
    :param answer: the position queried after the commit; None to query it now
    :returns: the failure or None, and a position that includes the commit
    """
    if answer is None:
        try:
            answer = await connection.ask_position()
        except ConnectionLostError as error:
            return Failure(ResultCode.OUTCOME_UNKNOWN, f"position not confirmed: {error}"), (
                LogPosition()
            )
    member = connection.endpoint.name
    is_primary = not answer.is_replica
    if is_primary and acknowledges(context.group.view, member, term, answer.place.term):
        return None, answer.place
    connection.broken = True
    detail = f"{member} answered under term {answer.place.term}"
    return Failure(ResultCode.PRIMARY_REPLACED, detail), LogPosition()


@dataclass(slots=True)
class Executed:
    """A batch that was sent.

    :param failure: why it cannot be acknowledged, or None
    :param position: a position that includes its commit
    :param status: transaction state after it
    :param replacement: answer to relay instead of the member's
    """

    exchange: Exchange
    failure: Failure | None = None
    position: LogPosition = field(default_factory=LogPosition)
    status: TransactionStatus = TransactionStatus.IDLE
    replacement: bytes | None = None


class UnitWrite:
    """One write, which waits for a primary and is then sent at most once."""

    def __init__(self, context: UnitContext) -> None:
        self._context = context
        self._unit = context.unit
        self._view = context.group.view
        self._failover_at = min(
            context.deadline_at,
            time.monotonic() + context.settings.failover_wait_ms / MS_PER_S,
        )

    async def run(self) -> AnswerEnd:
        """Run the write and return the end of its answer."""
        while True:
            if self._context.running.cancelled:
                return self._context.failed(Failure(ResultCode.CANCELLED))
            if not self._context.group.holds_lease(self._unit.tenant):
                return self._context.no_lease()
            gate = self._context.group.gates.get(self._view.primary)
            if gate is None or self._view.writes_paused:
                if await self._context.group.wait_change(self._failover_at):
                    continue
                return self._no_primary("no primary is recorded")
            acquired = await self._context.acquire(gate)
            if isinstance(acquired, Err):
                end = await self._not_acquired(acquired.err_value)
            else:
                end = await self._attempt(gate, acquired.ok_value)
            if end is not None:
                return end

    def _no_primary(self, detail: str) -> AnswerEnd:
        return self._context.failed(
            Failure(ResultCode.NO_PRIMARY, detail, jittered(NO_PRIMARY_RETRY_MS))
        )

    async def _not_acquired(self, failure: Failure) -> AnswerEnd | None:
        """Wait before a retry while a promotion may be under way; return any other failure."""
        if not self._context.group.holds_lease(self._unit.tenant):
            return self._context.no_lease()
        if failure.code is not ResultCode.NO_MEMBER:
            return self._context.failed(failure)
        resume_at = time.monotonic() + MEMBER_RETRY_S
        if resume_at >= self._failover_at:
            return self._no_primary(failure.detail)
        await self._context.group.wait_change(resume_at)
        return None

    async def _attempt(self, gate: MemberGate, grant: Grant) -> AnswerEnd | None:
        """Send the batch once; return None if it was not sent and may be tried again."""
        connection = grant.connection
        assert connection is not None
        executed: Executed | None = None
        kept = False
        try:
            term = self._view.term
            failure = await self._prepare_connection(connection, term)
            if failure is None:
                executed = await self._execute(connection, term)
                kept = executed.failure is None and self._context.keep_transaction(
                    gate, connection, term, executed.status
                )
        except ConnectionLostError:
            return None
        finally:
            await gate.release(grant, keep_connection=kept)
        if executed is None:
            assert failure is not None
            return await self._handle_not_ready(failure)
        return await self._conclude(connection, executed)

    async def _execute(self, connection: BackendConnection, term: int) -> Executed:
        """Send the batch and check its answer.

        :raises ConnectionLostError: when the connection broke before anything was sent
        """
        exchange = await self._context.exchange(connection, self._plan())
        if exchange.failure is not None:
            if not exchange.sent:
                raise ConnectionLostError(exchange.failure.detail, nothing_sent=True)
            return Executed(exchange, self._failure_of(exchange, exchange.failure))
        failure, position = await self._settle(exchange, term)
        return Executed(exchange, failure, position, exchange.reader.status)

    async def _conclude(self, connection: BackendConnection, executed: Executed) -> AnswerEnd:
        if executed.failure is not None:
            return self._context.failed(executed.failure)
        if executed.replacement is not None:
            await executed.exchange.relay_replacement(executed.replacement)
        else:
            await executed.exchange.finish()
        member = connection.endpoint.name
        return self._context.answer_end(member, executed.status, executed.position, False)

    async def _prepare_connection(self, connection: BackendConnection, term: int) -> Failure | None:
        """Verify that the connection leads to the primary of ``term``, and apply the settings.

        :raises ConnectionLostError: when it breaks; no part of the unit has been sent
        """
        if connection.is_replica or connection.last_position.term != term:
            answer = await connection.ask_position()
            if answer.is_replica or answer.place.term != term:
                return Failure(ResultCode.NO_PRIMARY, "the member is not primary of this term")
        return await self._context.prepare_connection(connection)

    async def _handle_not_ready(self, failure: Failure) -> AnswerEnd | None:
        if failure.code is not ResultCode.NO_PRIMARY:
            return self._context.failed(failure)
        return await self._not_acquired(Failure(ResultCode.NO_MEMBER, failure.detail))

    def _plan(self) -> ExchangePlan:
        # No query may follow a unit that opens a transaction; see may_set_transaction.
        outside_transaction = self._unit.transaction == 0
        return ExchangePlan(None, check_after=outside_transaction, is_write=True)

    async def _settle(self, exchange: Exchange, term: int) -> tuple[Failure | None, LogPosition]:
        reader = exchange.reader
        in_transaction = reader.status is not TransactionStatus.IDLE
        if reports_unknown_outcome(exchange):
            return Failure(ResultCode.OUTCOME_UNKNOWN, COMMIT_UNCERTAIN), LogPosition()
        only_failed = bool(reader.sqlstate) and not reader.committed
        if in_transaction or only_failed:
            return None, LogPosition()
        return await verify_commit(self._context, exchange.connection, term, reader.position_after)

    def _failure_of(self, exchange: Exchange, failure: Failure) -> Failure:
        """Return the failure for a batch that was sent and not answered completely."""
        if failure.code is ResultCode.FEATURE_NOT_SUPPORTED and not exchange.reader.committed:
            return failure
        return Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail)

"""Runs a write or a transaction of unknown kind: on the primary, sent once."""

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
MEMBER_UNSURE = "the member does not know whether its commit holds"


def acknowledges(view: GroupView, member: str, term: int, answer_term: int) -> bool:
    """Tell whether a member's commit under ``term`` may be acknowledged now.

    It may while the member is the recorded primary of that term and said so itself behind
    the commit.
    """
    return view.primary == member and view.term == term == answer_term


def says_unknown(exchange: Exchange) -> bool:
    """Tell whether the member itself answered that the outcome of a commit is unknown."""
    return exchange.reader.sqlstate == ResultCode.OUTCOME_UNKNOWN.sqlstate


async def settle_commit(
    context: UnitContext,
    connection: BackendConnection,
    term: int,
    answer: PositionAnswer | None = None,
) -> tuple[Failure | None, LogPosition]:
    """Judge a commit just before its acknowledgement is relayed.

    :param term: the term under which the connection was verified before the batch
    :param answer: the position that was asked for behind the commit; asked for now when None
    :returns: the failure, or None, and a position at or behind the commit
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

    :param failure: why it can't be answered as done, or None
    :param position: at or behind its commit
    :param status: transaction state behind it
    :param replacement: answer to give instead of the member's
    """

    exchange: Exchange
    failure: Failure | None = None
    position: LogPosition = field(default_factory=LogPosition)
    status: TransactionStatus = TransactionStatus.IDLE
    replacement: bytes | None = None


class UnitWrite:
    """One write, which waits for a primary and is then sent once."""

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
        """Wait and come back while a promotion may be under way; refuse at once what is refused."""
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
        """Send the batch once; None means that nothing was sent."""
        connection = grant.connection
        assert connection is not None
        executed: Executed | None = None
        kept = False
        try:
            term = self._view.term
            failure = await self._make_ready(connection, term)
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
            return await self._not_ready(failure)
        return await self._conclude(connection, executed)

    async def _execute(self, connection: BackendConnection, term: int) -> Executed:
        """Send the batch, and judge its answer.

        :raises ConnectionLostError: when nothing was sent
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
            await executed.exchange.replace_answer(executed.replacement)
        else:
            await executed.exchange.finish()
        member = connection.endpoint.name
        return self._context.answer_end(member, executed.status, executed.position, False)

    async def _make_ready(self, connection: BackendConnection, term: int) -> Failure | None:
        """Verify that the connection is to the primary of ``term``, and set it up.

        :raises ConnectionLostError: when it breaks; nothing of the unit was sent
        """
        if connection.is_replica or connection.known.term != term:
            answer = await connection.ask_position()
            if answer.is_replica or answer.place.term != term:
                return Failure(ResultCode.NO_PRIMARY, "the member is not primary of this term")
        return await self._context.prepare_connection(connection)

    async def _not_ready(self, failure: Failure) -> AnswerEnd | None:
        if failure.code is not ResultCode.NO_PRIMARY:
            return self._context.failed(failure)
        return await self._not_acquired(Failure(ResultCode.NO_MEMBER, failure.detail))

    def _plan(self) -> ExchangePlan:
        # Behind a unit that opens a transaction no query may run: see may_set_transaction.
        alone = self._unit.transaction == 0
        return ExchangePlan(None, check_after=alone, is_write=True)

    async def _settle(self, exchange: Exchange, term: int) -> tuple[Failure | None, LogPosition]:
        reader = exchange.reader
        in_transaction = reader.status is not TransactionStatus.IDLE
        if says_unknown(exchange):
            return Failure(ResultCode.OUTCOME_UNKNOWN, MEMBER_UNSURE), LogPosition()
        only_failed = bool(reader.sqlstate) and not reader.committed
        if in_transaction or only_failed:
            return None, LogPosition()
        return await settle_commit(self._context, exchange.connection, term, reader.position_after)

    def _failure_of(self, exchange: Exchange, failure: Failure) -> Failure:
        """Tell what is known of a batch that was sent and not answered whole."""
        if failure.code is ResultCode.FEATURE_NOT_SUPPORTED and not exchange.reader.committed:
            return failure
        return Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail)

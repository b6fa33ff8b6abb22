"""Runs statements on members: chooses, retries what did not run, tells what is known."""

from __future__ import annotations

import time
from dataclasses import dataclass

import curio

from limedyke.core.statements.member_belief import MemberBelief
from limedyke.core.statements.routing import order_for_read
from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.databases import Consistency
from limedyke.messages.statements import (
    NOT_RUN,
    AnswerKind,
    MemberAnswer,
    StatementAnswer,
    StatementKind,
)
from limedyke.messages.work import LogPosition, TransactionStatus
from limedyke.proxy.statements.attempt import (
    RETRY_AFTER_MS,
    RETRY_PAUSE_S,
    Attempt,
    give_up,
    pause,
    wait_for_primary,
)
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.member_connection import (
    ConnectionLostError,
    ConnectionRefusedByMemberError,
    MemberConnection,
)
from limedyke.proxy.statements.member_pool import MemberPool, PoolClosedError, PoolTimeoutError
from limedyke.proxy.statements.member_questions import MemberQuestions
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000.0
HELD_SHARE_OF_TARGET = 0.2
"""A statement that no member can run is held for so much of its target latency at most."""
SILENCE_S = 0.35
"""A member that answers nothing at all for so long while a statement waits is silent."""
READ_ATTEMPT_SHARE = 0.5
"""A first attempt to read gets so much of the time, so that another member can be tried."""
LEAST_ATTEMPT_S = 0.05
STALENESS_MARGIN_S = 0.03


@dataclass(slots=True)
class PinnedConnection:
    """The connection on which a client's transaction is open; given back to its pool once."""

    pool: MemberPool
    connection: MemberConnection
    is_given_back: bool = False

    async def give_back(self) -> None:
        """Give the connection back to its pool; further calls do nothing."""
        if not self.is_given_back:
            self.is_given_back = True
            await self.pool.putconn(self.connection)


class StatementRunner:
    """Runs the statements of all sessions of this proxy.

    :param zone: of this proxy
    :param metrics: counts what members answered
    """

    def __init__(self, zone: str, metrics: StatementMetrics) -> None:
        self._zone = zone
        self._metrics = metrics
        self.questions = MemberQuestions()

    async def run(
        self,
        session: StatementSession,
        run: RunOnMember,
        group: StatementGroup,
        pinned: PinnedConnection | None,
    ) -> tuple[StatementAnswer, PinnedConnection | None]:
        """Run a statement; return its answer, and the connection of the open transaction."""
        now = time.monotonic()
        database = session.database
        attempt = Attempt(
            deadline=now + database.statement_timeout_ms / MS_PER_S,
            hold_until=now + HELD_SHARE_OF_TARGET * database.target_latency_ms / MS_PER_S,
        )
        if pinned is not None:
            return await self._run_pinned(session, run, group, pinned, attempt)
        if session.needs_primary(run) and not _reads_only(run):
            return await self._run_on_primary(session, run, group, attempt)
        return await self._run_read(session, run, group, attempt)

    async def roll_back(self, pinned: PinnedConnection) -> None:
        """End the transaction on a connection, and give the connection back."""
        try:
            async with curio.timeout_after(1.0):
                await pinned.connection.roll_back()
        except curio.TaskTimeout:
            await pinned.connection.close()
        await pinned.give_back()

    async def abandon(self, pinned: PinnedConnection) -> None:
        """Close a transaction's connection: the member rolls it back."""
        await pinned.connection.close()
        await pinned.give_back()

    async def _run_pinned(
        self,
        session: StatementSession,
        run: RunOnMember,
        group: StatementGroup,
        pinned: PinnedConnection,
        attempt: Attempt,
    ) -> tuple[StatementAnswer, PinnedConnection | None]:
        """Run a further statement of a transaction on its connection."""
        is_commit = run.statement.kind is StatementKind.COMMIT
        answer = await self._exchange(pinned, session, run, group, None, attempt.time_left())
        while answer.kind is AnswerKind.BUSY and attempt.time_left() > 2 * RETRY_PAUSE_S:
            await curio.sleep(RETRY_PAUSE_S)
            answer = await self._exchange(pinned, session, run, group, None, attempt.time_left())
        if answer.kind is AnswerKind.DONE:
            session.ran(run)
            if is_commit:
                session.wrote_up_to(answer.position if run.writes else None)
                await pinned.give_back()
                return _done(answer), None
            return _done(answer), pinned
        return await self._transaction_failed(session, run, pinned, answer)

    async def _transaction_failed(
        self,
        session: StatementSession,
        run: RunOnMember,
        pinned: PinnedConnection,
        answer: MemberAnswer,
    ) -> tuple[StatementAnswer, PinnedConnection | None]:
        """End a transaction whose statement was no success; say what is known of it."""
        is_commit = run.statement.kind is StatementKind.COMMIT
        is_unknown = answer.kind in (AnswerKind.LOST, AnswerKind.TIMED_OUT, AnswerKind.FAILED)
        await self.abandon(pinned)
        if is_commit:
            session.close_transaction()
        else:
            session.fail_transaction()
        if is_commit and is_unknown and run.writes:
            return refusal(ResultCode.OUTCOME_UNKNOWN, answer.detail), None
        if answer.kind is AnswerKind.FAILED and not is_commit:
            return refusal(ResultCode.STATEMENT_FAILED, answer.detail), None
        detail = f"{answer.kind} at {pinned.pool.belief.record.identity}"
        return refusal(ResultCode.TRANSACTION_LOST, detail, RETRY_AFTER_MS), None

    async def _run_on_primary(
        self,
        session: StatementSession,
        run: RunOnMember,
        group: StatementGroup,
        attempt: Attempt,
    ) -> tuple[StatementAnswer, PinnedConnection | None]:
        """Run a write, or the first statement of a transaction that may write."""
        while True:
            pool = group.primary_pool()
            if pool is None or not pool.belief.takes_work(time.monotonic()):
                attempt.last = "the group has no primary that answers"
                await self.questions.look_for_primary(group)
                if not await wait_for_primary(group, attempt):
                    return give_up(ResultCode.NO_PRIMARY, attempt, session), None
                continue
            pinned = await self._connect(pool, session, attempt)
            if pinned is None:
                if not await pause(attempt):
                    return give_up(ResultCode.NO_PRIMARY, attempt, session), None
                continue
            answer = await self._exchange(pinned, session, run, group, None, attempt.time_left())
            if answer.kind not in NOT_RUN:
                return await self._settle_first(session, run, pinned, answer)
            attempt.last = f"{answer.kind} at {pool.belief.record.identity}"
            await self._release(pinned)
            if answer.kind is AnswerKind.NOT_PRIMARY:
                await group.says_role(pool.belief.record.identity, is_primary=False)
                await self.questions.look_for_primary(group)
            if not await pause(attempt, until=attempt.deadline):
                return give_up(ResultCode.NO_PRIMARY, attempt, session), None

    async def _run_read(
        self,
        session: StatementSession,
        run: RunOnMember,
        group: StatementGroup,
        attempt: Attempt,
    ) -> tuple[StatementAnswer, PinnedConnection | None]:
        """Run a read, or the first statement of a transaction that only reads."""
        while True:
            required = await self._required_position(session, group, attempt)
            if required is None and not group.is_surely_primary(group.primary):
                attempt.last = "no position of the primary is proved"
                if not await pause(attempt):
                    return give_up(ResultCode.FRESHNESS_UNPROVEN, attempt, session), None
                continue
            pool = self._choose(session, group, required, attempt)
            if pool is None:
                attempt.tried.clear()
                if not await pause(attempt):
                    return give_up(ResultCode.NO_MEMBER, attempt, session), None
                continue
            identity = pool.belief.record.identity
            attempt.tried.add(identity)
            pinned = await self._connect(pool, session, attempt)
            if pinned is None:
                continue
            is_primary = group.is_surely_primary(identity)
            if required is None and not is_primary:
                await self._release(pinned)
                continue
            after = None if is_primary else required
            limit_s = self._attempt_limit_s(session, attempt)
            answer = await self._exchange(pinned, session, run, group, after, limit_s)
            if answer.kind is AnswerKind.BEHIND:
                pool.belief.was_behind(time.monotonic())
            if answer.kind in NOT_RUN:
                attempt.last = f"{answer.kind} at {identity}"
                await self._release(pinned)
                continue
            if answer.kind in (AnswerKind.LOST, AnswerKind.TIMED_OUT):
                attempt.runs += 1
                is_left = attempt.time_left() > LEAST_ATTEMPT_S
                if is_left and attempt.runs < session.database.maximum_attempts:
                    attempt.last = f"{answer.kind} at {identity}"
                    await self.abandon(pinned)
                    continue
            return await self._settle_first(session, run, pinned, answer)

    def _choose(
        self,
        session: StatementSession,
        group: StatementGroup,
        required: LogPosition | None,
        attempt: Attempt,
    ) -> MemberPool | None:
        now = time.monotonic()
        wants_primary = session.database.consistency is Consistency.PRIMARY
        position = None if wants_primary and group.is_surely_primary(group.primary) else required
        ordered = order_for_read(
            group.beliefs, group.primary, position, self._zone, attempt.tried, now
        )
        return group.pools[ordered[0].record.identity] if ordered else None

    async def _required_position(
        self, session: StatementSession, group: StatementGroup, attempt: Attempt
    ) -> LogPosition | None:
        """Return a position that a replica must hold for this read; None when none is proved."""
        database = session.database
        now = time.monotonic()
        if database.consistency is Consistency.PRIMARY:
            if group.is_surely_primary(group.primary):
                return None
            return await self.questions.prove_position(group, attempt.time_left())
        since = now - database.max_staleness_ms / MS_PER_S + STALENESS_MARGIN_S
        position = group.positions.not_older_than(since)
        if position is None and not group.is_surely_primary(group.primary):
            position = await self.questions.prove_position(group, attempt.time_left())
        if position is None:
            return None
        if database.consistency is Consistency.SESSION and session.written is not None:
            return max(position, session.written)
        return position

    def _attempt_limit_s(self, session: StatementSession, attempt: Attempt) -> float:
        left_s = attempt.time_left()
        if attempt.runs + 1 >= session.database.maximum_attempts:
            return left_s
        return max(left_s * READ_ATTEMPT_SHARE, LEAST_ATTEMPT_S)

    async def _connect(
        self, pool: MemberPool, session: StatementSession, attempt: Attempt
    ) -> PinnedConnection | None:
        """Return a connection, or None when the member gives none."""
        database = session.database
        wait_s = min(attempt.time_left(), database.target_latency_ms / MS_PER_S / 2)
        try:
            connection = await pool.getconn(session.settings, database.priority, wait_s)
        except ConnectionRefusedByMemberError as error:
            pool.belief.is_busy(time.monotonic())
            attempt.last = f"{error.answer.kind} at {pool.belief.record.identity}"
            return None
        except (ConnectionLostError, PoolClosedError, PoolTimeoutError) as error:
            attempt.last = f"{type(error).__name__} {pool.belief.record.identity}"
            return None
        return PinnedConnection(pool, connection)

    async def _exchange(
        self,
        pinned: PinnedConnection,
        session: StatementSession,
        run: RunOnMember,
        group: StatementGroup,
        after: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a statement on a connection for a limited time."""
        belief = pinned.pool.belief
        started_at = time.monotonic()
        try:
            async with curio.timeout_after(max(0.0, limit_s)):
                answer = await pinned.connection.run(
                    run.statement, session.settings, run.begin, run.prepared, after
                )
        except curio.TaskTimeout:
            if limit_s >= SILENCE_S and belief.contact_at < started_at:
                belief.was_silent(time.monotonic())
            self._metrics.member_answered(AnswerKind.TIMED_OUT, False, limit_s)
            detail = f"no answer of {belief.record.identity} in {limit_s:.3f} s"
            return MemberAnswer(AnswerKind.TIMED_OUT, detail=detail)
        except curio.CancelledError:
            await self.abandon(pinned)
            raise
        now = time.monotonic()
        is_replica = belief.record.identity != group.primary
        self._metrics.member_answered(answer.kind, is_replica, now - started_at)
        if answer.kind in (AnswerKind.LOST, AnswerKind.NOT_SENT):
            belief.broke(now)
            return answer
        belief.answered(now, answer.position)
        if answer.kind is AnswerKind.DONE:
            belief.served(now - started_at)
            self._learn_position(group, belief, run, started_at, answer)
        elif answer.kind is AnswerKind.BUSY:
            belief.is_busy(now)
        return answer

    def _learn_position(
        self,
        group: StatementGroup,
        belief: MemberBelief,
        run: RunOnMember,
        asked_at: float,
        answer: MemberAnswer,
    ) -> None:
        is_write = run.writes and answer.status is TransactionStatus.IDLE
        group.learn_position(belief.record.identity, asked_at, answer.position, is_write)

    async def _settle_first(
        self,
        session: StatementSession,
        run: RunOnMember,
        pinned: PinnedConnection,
        answer: MemberAnswer,
    ) -> tuple[StatementAnswer, PinnedConnection | None]:
        """Take the answer to a statement outside a transaction, or to a transaction's first."""
        if session.transaction is not None:
            if answer.kind is not AnswerKind.DONE:
                return await self._transaction_failed(session, run, pinned, answer)
            session.ran(run)
            if run.statement.kind is not StatementKind.COMMIT:
                return _done(answer), pinned
            await pinned.give_back()
            return _done(answer), None
        if answer.kind in (AnswerKind.LOST, AnswerKind.TIMED_OUT):
            await self.abandon(pinned)
        else:
            await self._release(pinned)
        if answer.kind is AnswerKind.DONE:
            if run.writes:
                session.wrote_up_to(answer.position)
            return _done(answer), None
        return _failure(answer, run), None

    async def _release(self, pinned: PinnedConnection) -> None:
        """Give a connection back that is in no transaction; one that is gets closed."""
        if pinned.connection.status is not TransactionStatus.IDLE:
            await pinned.connection.close()
        await pinned.give_back()


def _reads_only(run: RunOnMember) -> bool:
    """Tell whether a statement and the transaction that it begins only read."""
    if run.begin is not None:
        return run.begin.kind is StatementKind.BEGIN_READ and not run.writes
    return not run.writes


def _done(answer: MemberAnswer) -> StatementAnswer:
    return StatementAnswer(rows=answer.rows, signature=answer.signature)


def _failure(answer: MemberAnswer, run: RunOnMember) -> StatementAnswer:
    """Return what is known of a single statement that was no success."""
    match answer.kind:
        case AnswerKind.FAILED:
            return refusal(ResultCode.STATEMENT_FAILED, answer.detail)
        case AnswerKind.TIMED_OUT:
            return refusal(ResultCode.STATEMENT_TIMEOUT, answer.detail)
    if run.writes:
        return refusal(ResultCode.OUTCOME_UNKNOWN, answer.detail)
    return refusal(ResultCode.READ_UNANSWERED, answer.detail)

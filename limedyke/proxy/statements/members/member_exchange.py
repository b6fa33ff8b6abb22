"""Runs single statements on member connections and records what their answers show."""

from __future__ import annotations

import time

import curio

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.messages.statements import NOT_RUN, AnswerKind, MemberAnswer
from limedyke.messages.work import LogPosition, TransactionStatus
from limedyke.proxy.statements.attempt import Attempt
from limedyke.proxy.statements.members.member_connection import (
    ConnectionLostError,
    ConnectionRefusedByMemberError,
)
from limedyke.proxy.statements.members.member_pool import (
    MemberPool,
    PoolClosedError,
    PoolTimeoutError,
    QueueRefusalError,
)
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection
from limedyke.proxy.statements.statement_log import NotSentReason
from limedyke.proxy.statements.statement_metrics import StatementMetrics

MINIMUM_UNANSWERED_S = 0.1
"""A statement without an answer counts as failed after this time, in seconds, or after the member's
longest usual answer time if that is longer."""
SILENCE_S = 0.35
"""A member that sends nothing at all while a statement waits counts as silent after this time, in
seconds, or after its longest usual silence if that is longer. Short pauses of a busy machine don't
count."""


class MemberExchange:
    """Runs single statements on pooled connections.

    :param metrics: counts the answers of members
    """

    def __init__(self, metrics: StatementMetrics) -> None:
        self._metrics = metrics

    async def connect(
        self, pool: MemberPool, attempt: Attempt, wait_s: float
    ) -> PinnedConnection | None:
        """Return a connection, or None when none was obtained within ``wait_s`` seconds."""
        session = attempt.session
        priority = session.database.priority
        identity = pool.observed.record.identity
        began_at = time.monotonic()
        self._metrics.waits_for_connection(priority)
        try:
            connection = await pool.getconn(
                session.tenant,
                session.settings,
                priority,
                wait_s,
                since=attempt.began_at,
                target_at=attempt.target_at,
                start_by=attempt.start_by(pool),
            )
        except ConnectionRefusedByMemberError as error:
            pool.observed.is_busy(time.monotonic())
            attempt.record_failure(error.answer.kind, identity)
            return None
        except ConnectionLostError:
            attempt.record_failure(NotSentReason.NOT_CONNECTED, identity)
            return None
        except QueueRefusalError as error:
            attempt.record_queue_refusal(error.refused, identity)
            return None
        except PoolTimeoutError:
            attempt.record_failure(NotSentReason.NO_CONNECTION_FREE, identity)
            return None
        except PoolClosedError:
            attempt.record_failure(NotSentReason.NO_LEASE, identity)
            return None
        finally:
            self._metrics.waited_for_connection(priority, time.monotonic() - began_at)
        return PinnedConnection(pool, connection)

    def count_hedged_read(self) -> None:
        """Count a read that is also sent to a second member."""
        self._metrics.hedged_reads.inc()

    async def run(
        self,
        pinned: PinnedConnection,
        attempt: Attempt,
        after: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a statement on a connection, with a timeout of ``limit_s`` seconds.

        :param after: log position that the member must hold
        """
        observed = pinned.pool.observed
        run = attempt.run
        started_at = time.monotonic()
        observed.sent(started_at)
        pinned.pool.release_reservation(pinned.connection)
        attempt.session.tries_under_way += 1
        is_answered = True
        was_primary = attempt.group.is_surely_primary(pinned.identity)
        if after is not None and observed.position < after:
            observed.lag.asked(started_at + observed.answer.longest_s)
        try:
            async with curio.timeout_after(max(0.0, limit_s)):
                answer = await pinned.connection.run(
                    run.statement,
                    attempt.session.settings,
                    run.begin,
                    run.prepared,
                    after,
                    attempt.deadline,
                )
        except curio.TaskTimeout:
            is_answered = _record_timeout(observed, started_at)
            self._metrics.member_answered(AnswerKind.TIMED_OUT, False, limit_s)
            detail = f"no answer of {pinned.identity} in {limit_s:.3f} s"
            return MemberAnswer(AnswerKind.TIMED_OUT, detail=detail)
        except curio.CancelledError:
            is_answered = _record_timeout(observed, started_at)
            await pinned.abandon()
            raise
        finally:
            observed.ended(is_answered, started_at)
        if answer.kind in NOT_RUN:
            attempt.session.tries_under_way -= 1
        self._record_answer(pinned, attempt, answer, started_at, was_primary)
        await _record_role(pinned, attempt, answer, started_at)
        if not was_primary:
            _record_lag(observed, attempt, answer, after)
        if pinned.connection.status is not TransactionStatus.IDLE:
            await pinned.pool.serve_waiting()
        return answer

    def _record_answer(
        self,
        pinned: PinnedConnection,
        attempt: Attempt,
        answer: MemberAnswer,
        started_at: float,
        was_primary: bool,
    ) -> None:
        """Update the member's observed state and the primary's position from an answer.

        :param was_primary: the member was certainly the primary when the statement was sent. An
            answer from its time as a replica may arrive after its promotion; the position in it
            must not be taken for the primary's.
        """
        now = time.monotonic()
        observed = pinned.pool.observed
        is_replica = pinned.identity != attempt.group.primary
        self._metrics.member_answered(answer.kind, is_replica, now - started_at)
        if answer.kind is AnswerKind.TOO_LATE:
            return
        if answer.kind in (AnswerKind.LOST, AnswerKind.NOT_SENT):
            observed.broke(now)
            return
        observed.answered(now, answer.position)
        if answer.kind is AnswerKind.DONE:
            seconds = observed.awaited_s(started_at, now)
            observed.served(seconds, now)
            under_way = observed.under_way(now) + 1
            observed.concurrency.answered(_work_kind(attempt), seconds, under_way, now)
            if not is_replica:
                attempt.group.outage.ended()
            is_commit = _is_commit(attempt, answer)
            if is_commit or was_primary:
                group = attempt.group
                group.learn_position(pinned.identity, started_at, answer.position, is_commit)
        elif answer.kind is AnswerKind.FAILED:
            observed.quality.bad(now)
        elif answer.kind is AnswerKind.BUSY:
            observed.is_busy(now)
            observed.concurrency.turned_away(now - started_at, now)


def _is_commit(attempt: Attempt, answer: MemberAnswer) -> bool:
    """Tell whether an answer acknowledges a commit that writes."""
    is_done = answer.kind is AnswerKind.DONE
    return is_done and attempt.run.writes and answer.status is TransactionStatus.IDLE


async def _record_role(
    pinned: PinnedConnection, attempt: Attempt, answer: MemberAnswer, asked_at: float
) -> None:
    """Record what an answer shows of the member's role: only the primary commits writes."""
    group = attempt.group
    if answer.kind is AnswerKind.NOT_PRIMARY:
        await group.record_reported_role(pinned.identity, False, asked_at)
    elif _is_commit(attempt, answer):
        await group.record_reported_role(pinned.identity, True, asked_at)
        if answer.position is not None:
            group.note_acknowledged(pinned.identity, asked_at, answer.position)


def _record_lag(
    observed: ObservedMember, attempt: Attempt, answer: MemberAnswer, after: LogPosition | None
) -> None:
    """Update a replica's lag estimate from its answer."""
    now = time.monotonic()
    positions = attempt.group.positions
    if answer.position is not None:
        held_since = positions.held_since(answer.position)
        observed.lag.told(answer.position, held_since, positions.passed_at(answer.position), now)
    if answer.kind is AnswerKind.BEHIND and after is not None:
        observed.lag.lacked(after, positions.held_since(after), now)


def _record_timeout(observed: ObservedMember, started_at: float) -> bool:
    """Record an abandoned wait; tell whether the member sent any answer since it began."""
    now = time.monotonic()
    waited_s = now - started_at
    is_answered = observed.contact_at >= started_at
    if waited_s >= max(MINIMUM_UNANSWERED_S, observed.answer.longest_s):
        observed.quality.bad(now, "mute")
    if is_answered:
        observed.answer_took_at_least(waited_s)
    elif observed.answer_timed_out(started_at, max(SILENCE_S, observed.longest_sign_s), now):
        observed.concurrency.unanswered(waited_s, now)
    return is_answered


def _work_kind(attempt: Attempt) -> str:
    """Return the kind of work; statements that also begin a transaction take two round trips."""
    run = attempt.run
    kind = run.statement.kind.value
    return kind if run.begin is None else f"{run.begin.kind.value}-{kind}"

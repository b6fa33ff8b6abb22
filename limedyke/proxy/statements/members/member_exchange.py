"""One statement on one member connection: connects, sends, and learns from the answer."""

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
    TurnedAwayError,
)
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection
from limedyke.proxy.statements.statement_log import NotSent
from limedyke.proxy.statements.statement_metrics import StatementMetrics

LEAST_MUTE_S = 0.1
"""What wasn't answered for so long, and for longer than answers explain, counts as failed."""
SILENCE_S = 0.35
"""A member that answers nothing at all for so long while a statement waits, and for longer than its
answers explain, is silent: short pauses of a busy machine are no silence."""


class MemberExchange:
    """Runs single statements on connections of pools.

    :param metrics: counts what members answered
    """

    def __init__(self, metrics: StatementMetrics) -> None:
        self._metrics = metrics

    async def connect(
        self, pool: MemberPool, attempt: Attempt, wait_s: float
    ) -> PinnedConnection | None:
        """Return a connection, or None when the member gives none within ``wait_s``."""
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
            attempt.failed(error.answer.kind, identity)
            return None
        except ConnectionLostError:
            attempt.failed(NotSent.NOT_CONNECTED, identity)
            return None
        except TurnedAwayError as error:
            attempt.turned_away(error.refused, identity)
            return None
        except PoolTimeoutError:
            attempt.failed(NotSent.NO_CONNECTION_FREE, identity)
            return None
        except PoolClosedError:
            attempt.failed(NotSent.NO_LEASE, identity)
            return None
        finally:
            self._metrics.waited_for_connection(priority, time.monotonic() - began_at)
        return PinnedConnection(pool, connection)

    def second_begun(self) -> None:
        """Count a slow read that is tried at a second member too."""
        self._metrics.hedged_reads.inc()

    async def run(
        self,
        pinned: PinnedConnection,
        attempt: Attempt,
        after: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a statement on a connection for a limited time.

        :param after: position that the member's log must hold
        """
        observed = pinned.pool.observed
        run = attempt.run
        started_at = time.monotonic()
        observed.sent(started_at)
        pinned.pool.sent_on(pinned.connection)
        attempt.session.tries_under_way += 1
        is_answered = True
        was_primary = attempt.group.is_surely_primary(pinned.identity)
        if after is not None and observed.position < after:
            observed.lag.asked(started_at + observed.answer.longest_s)
        try:
            async with curio.timeout_after(max(0.0, limit_s)):
                answer = await pinned.connection.run(
                    run.statement, attempt.session.settings, run.begin, run.prepared, after
                )
        except curio.TaskTimeout:
            is_answered = _gave_up(observed, started_at)
            self._metrics.member_answered(AnswerKind.TIMED_OUT, False, limit_s)
            detail = f"no answer of {pinned.identity} in {limit_s:.3f} s"
            return MemberAnswer(AnswerKind.TIMED_OUT, detail=detail)
        except curio.CancelledError:
            is_answered = _gave_up(observed, started_at)
            await pinned.abandon()
            raise
        finally:
            observed.ended(is_answered, started_at)
        if answer.kind in NOT_RUN:
            attempt.session.tries_under_way -= 1
        self._learn(pinned, attempt, answer, started_at, was_primary)
        if not was_primary:
            _learn_lag(observed, attempt, answer, after)
        if pinned.connection.status is not TransactionStatus.IDLE:
            await pinned.pool.room_came()
        return answer

    def _learn(
        self,
        pinned: PinnedConnection,
        attempt: Attempt,
        answer: MemberAnswer,
        started_at: float,
        was_primary: bool,
    ) -> None:
        """Take what an answer says of the member, and of the primary's position.

        :param was_primary: it was surely the primary when it was asked; what it told while it
            was a replica may come after it was promoted, and is no position of the primary
        """
        now = time.monotonic()
        observed = pinned.pool.observed
        is_replica = pinned.identity != attempt.group.primary
        self._metrics.member_answered(answer.kind, is_replica, now - started_at)
        if answer.kind in (AnswerKind.LOST, AnswerKind.NOT_SENT):
            observed.broke(now)
            return
        observed.answered(now, answer.position)
        if answer.kind is AnswerKind.DONE:
            seconds = observed.awaited_s(started_at, now)
            observed.served(seconds, now)
            under_way = observed.under_way(now) + 1
            observed.concurrency.answered(_kind_of(attempt), seconds, under_way, now)
            if not is_replica:
                attempt.group.outage.ended()
            is_commit = attempt.run.writes and answer.status is TransactionStatus.IDLE
            if is_commit or was_primary:
                group = attempt.group
                group.learn_position(pinned.identity, started_at, answer.position, is_commit)
        elif answer.kind is AnswerKind.FAILED:
            observed.quality.bad(now)
        elif answer.kind is AnswerKind.BUSY:
            observed.is_busy(now)
            observed.concurrency.turned_away(now - started_at, now)


def _learn_lag(
    observed: ObservedMember, attempt: Attempt, answer: MemberAnswer, after: LogPosition | None
) -> None:
    """Take what an answer of a replica says of its lag."""
    now = time.monotonic()
    positions = attempt.group.positions
    if answer.position is not None:
        held_since = positions.held_since(answer.position)
        observed.lag.told(answer.position, held_since, positions.passed_at(answer.position), now)
    if answer.kind is AnswerKind.BEHIND and after is not None:
        observed.lag.lacked(after, positions.held_since(after), now)


def _gave_up(observed: ObservedMember, started_at: float) -> bool:
    """Take that an answer is awaited no more; tell whether the member answered anything since."""
    now = time.monotonic()
    waited_s = now - started_at
    is_answered = observed.contact_at >= started_at
    if waited_s >= max(LEAST_MUTE_S, observed.answer.longest_s):
        observed.quality.bad(now, "mute")
    if is_answered:
        observed.answer_took_at_least(waited_s)
    elif observed.answer_timed_out(started_at, max(SILENCE_S, observed.longest_sign_s), now):
        observed.concurrency.unanswered(waited_s, now)
    return is_answered


def _kind_of(attempt: Attempt) -> str:
    """Return the kind of work: one that begins a transaction takes two round trips."""
    run = attempt.run
    kind = run.statement.kind.value
    return kind if run.begin is None else f"{run.begin.kind.value}-{kind}"

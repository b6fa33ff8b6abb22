"""The execution of one statement on a member: its deadline, its tries and the pauses between."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio

from limedyke.core.queueing.queue_answer import Refused
from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.statements import AnswerKind, StatementAnswer
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.statement_log import FailedTry, NotSentReason, StatementLog
from limedyke.proxy.statements.statement_refusal import DEFAULT_READY_S, refuse_statement
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000.0
RETRY_PAUSE_S = 0.03
LACKS_CONNECTION = frozenset({NotSentReason.NO_CONNECTION_FREE, AnswerKind.NO_CONNECTION})
MISROUTED = frozenset({AnswerKind.BEHIND, AnswerKind.NOT_PRIMARY, AnswerKind.WRONG_MEMBER})
PAUSE_GROWTH = 1.5
MAXIMUM_PAUSE_S = 0.1
MINIMUM_ATTEMPT_S = 0.05
MAXIMUM_ANSWER_SHARE_OF_TIME = 0.5
"""Share of a statement's time. While more is left, the statement is sent regardless of the expected
answer time; otherwise a member that became faster could never correct its estimate."""
HOLD_SHARE_OF_TARGET = 0.2
"""Longest hold, as a share of the target latency, for a statement that no member can run and that
no event is expected to unblock. The client needs the rest of the time to try another proxy."""

TOKEN_WAIT_SHARE_OF_TARGET = 0.8
"""Longest wait for an operation token, as a share of the target latency. The rest covers the round
trip to a home proxy and getting a connection."""


@dataclass(slots=True)
class Attempt:
    """The execution of one statement: its session, its time limits and the tries so far.

    All times are seconds of the monotonic clock.

    :param log: receives each failed try
    :param began_at: when the statement arrived
    :param time_limit_s: total time allowed, in seconds
    :param deadline: when that time ends
    :param hold_until: end of the hold while no member can run the statement
    :param tried: identities of members that did not run it
    :param possible_runs: number of tries in which a member may have run it
    :param send_count: number of times it was sent to a member
    :param last_failure: why the last try failed, for the refusal
    """

    session: StatementSession
    run: RunOnMember
    group: StatementGroup
    log: StatementLog
    began_at: float
    time_limit_s: float
    deadline: float
    hold_until: float
    tried: set[str] = field(default_factory=set)
    possible_runs: int = 0
    send_count: int = 0
    last_failure: str = "no member is known"
    _lacks_connection: bool = False
    _was_misrouted: bool = False
    _connection_wait_until: float = 0.0
    _is_queue_refused: bool = False
    _lacks_lease: bool = False
    _retry_ready_in_s: float = DEFAULT_READY_S
    _pause_s: float = RETRY_PAUSE_S

    @classmethod
    def begin(
        cls, session: StatementSession, run: RunOnMember, group: StatementGroup, log: StatementLog
    ) -> Attempt:
        """Create an attempt whose time starts now."""
        now = time.monotonic()
        database = session.database
        time_limit_s = session.statement_time_s(now)
        hold_until = now + HOLD_SHARE_OF_TARGET * database.target_latency_ms / MS_PER_S
        return cls(session, run, group, log, now, time_limit_s, now + time_limit_s, hold_until)

    def token_wait_until(self) -> float:
        """Return until when it may wait for a token and still meet its target latency.

        The answer is expected to take as long as the primary's recent answers.
        """
        pool = self.group.primary_pool()
        answer_s = MINIMUM_ATTEMPT_S if pool is None else pool.observed.answer.usual_s
        wait_s = TOKEN_WAIT_SHARE_OF_TARGET * self.session.database.target_latency_ms / MS_PER_S
        latest = self.deadline - MINIMUM_ATTEMPT_S
        return min(self.began_at + wait_s, latest) - answer_s

    def time_left(self) -> float:
        """Return the seconds until the statement's deadline."""
        return self.deadline - time.monotonic()

    def connection_wait_s(self, pool: MemberPool) -> float:
        """Return how long the statement may wait for a connection to a member.

        It may wait until the member could no longer answer in time. If its turn in the queue would
        come later than that, the pool refuses it at once. For a member that seems silent only the
        short hold applies.
        """
        now = time.monotonic()
        is_silent = pool.observed.seems_silent(now)
        self._connection_wait_until = self.hold_until if is_silent else self.start_by(pool)
        return max(0.0, min(self._connection_wait_until, self.deadline) - now)

    def start_by(self, pool: MemberPool) -> float:
        """Return the latest time to send the statement to a member for an answer in time."""
        return self.deadline - max(MINIMUM_ATTEMPT_S, pool.observed.answer.usual_s)

    @property
    def target_at(self) -> float:
        """End of the target latency."""
        return self.began_at + self.session.database.target_latency_ms / MS_PER_S

    def held_until(self) -> float:
        """Return until when the statement is held while no member can run it.

        It is held longer if it only lacks a connection or if a new primary is expected. It is not
        held if the queue refused it or this proxy lost its lease, because another proxy can serve
        it sooner.
        """
        if self._is_queue_refused or self._has_lost_lease:
            return 0.0
        until = max(self.hold_until, self._connection_wait_until if self._lacks_connection else 0.0)
        now = time.monotonic()
        if self.group.lacks_primary(now):
            self.group.outage.note_no_primary(now)
            until = max(until, self.group.hold_until(now))
        return min(until, self.deadline - MINIMUM_ATTEMPT_S)

    def is_too_late(self, answer_s: float = MINIMUM_ATTEMPT_S) -> bool:
        """Tell whether too little time is left for an answer.

        Such a statement is not sent: it then certainly did not run, and the client can retry it.

        :param answer_s: recent answer time of the member, in seconds
        """
        minimum_s = min(
            max(MINIMUM_ATTEMPT_S, answer_s), MAXIMUM_ANSWER_SHARE_OF_TIME * self.time_limit_s
        )
        return self.time_left() < minimum_s

    def may_retry_read(self) -> bool:
        """Tell whether a read that may have run on one member may run on another one too."""
        is_time_left = self.time_left() > MINIMUM_ATTEMPT_S
        return is_time_left and self.possible_runs + 1 < self.session.database.maximum_attempts

    def may_be_sent(self) -> bool:
        """Tell whether the statement may be sent now, and count the send.

        Each send after the first takes a token from the group's retry budget, except after a
        misrouted try, which cost the member hardly any work.
        """
        now = time.monotonic()
        if self.send_count == 0:
            self.group.retries.first_try(now)
        elif not self._was_misrouted and not self.group.retries.may_retry(now):
            self.last_failure = f"{self.last_failure}, and the group's tries are used up"
            return False
        self.send_count += 1
        return True

    def record_failure(self, reason: AnswerKind | NotSentReason, member: str = "") -> None:
        """Record why a try failed, and log it if the reason differs from the last one.

        :param member: the member that was tried; empty for none
        """
        self._retry_ready_in_s = DEFAULT_READY_S
        self._lacks_lease = reason is NotSentReason.NO_LEASE
        self._is_queue_refused = reason is NotSentReason.TURNED_AWAY
        self._lacks_connection = reason in LACKS_CONNECTION
        self._was_misrouted = reason in MISROUTED
        last = f"{reason} at {member}" if member else str(reason)
        is_new_reason = last != self.last_failure
        self.last_failure = last
        group = self.group
        failed_try = FailedTry(
            reason, member, group.primary, group.term, group.primary_lease_left_s(), is_new_reason
        )
        self.log.tried(self.run.statement, group.name, failed_try)

    def record_queue_refusal(self, refused: Refused, member: str) -> None:
        """Record and log that a member's queue refused the statement or dropped it."""
        self.record_failure(NotSentReason.TURNED_AWAY, member)
        self.last_failure = f"{refused.reason} at {member}"
        self._retry_ready_in_s = refused.retry_likely_in_s
        self.log.turned_away(self.session.database, self.run.statement, member, refused)

    @property
    def _has_lost_lease(self) -> bool:
        """Whether this proxy lost its lease, so that only another proxy can run the statement."""
        return self._lacks_lease and self.group.limit == 0

    def final_refusal(self, code: ResultCode) -> StatementAnswer:
        """Return the final refusal of the statement, which had no lasting effect."""
        if self._has_lost_lease:
            code = ResultCode.NO_LEASE
        priority = self.session.database.priority
        needs_primary = self.session.needs_primary(self.run)
        retry_after_ms = self.group.retry_after_ms(priority, needs_primary, self._retry_ready_in_s)
        return refuse_statement(
            self.session, code, self.last_failure, self.possible_runs > 0, retry_after_ms
        )

    def should_run_elsewhere(self) -> bool:
        """Tell whether to return a forwarded statement because this proxy can't reach the primary.

        Another home proxy may reach it.
        """
        may_leave = self.session.may_run_elsewhere and self.possible_runs == 0
        return may_leave and self.group.has_unreachable_primary()

    def refuse_unreachable_primary(self) -> StatementAnswer:
        """Return the refusal that makes the forwarding proxy try another home proxy."""
        return refusal(ResultCode.PRIMARY_UNREACHED, self.group.primary)

    async def wait_for_primary(self) -> bool:
        """Wait for a new primary; return False when the statement may be held no longer."""
        return await self.group.wait_for_primary(self.held_until())

    async def pause(self, until: float | None = None) -> bool:
        """Pause before another try; return False when the statement may not be held that long.

        Pauses grow, because a statement that fails repeatedly is probably waiting for a new
        primary.
        """
        limit = min(self.held_until() if until is None else until, self.deadline)
        if time.monotonic() + RETRY_PAUSE_S >= limit:
            return False
        await curio.sleep(self._pause_s)
        self._pause_s = min(self._pause_s * PAUSE_GROWTH, MAXIMUM_PAUSE_S)
        return True

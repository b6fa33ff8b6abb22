"""One statement on its way to a member: its time, its tries and the pauses between them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio

from limedyke.core.queueing.queue_answer import Refused
from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.statements import AnswerKind, StatementAnswer
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.statement_log import NotSent, StatementLog, Try
from limedyke.proxy.statements.statement_refusal import UNKNOWN_READY_S, give_up
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000.0
RETRY_PAUSE_S = 0.03
WANTS_CONNECTION = frozenset({NotSent.NO_CONNECTION_FREE, AnswerKind.NO_CONNECTION})
MISROUTED = frozenset({AnswerKind.BEHIND, AnswerKind.NOT_PRIMARY, AnswerKind.WRONG_MEMBER})
PAUSE_GROWTH = 1.5
LONGEST_PAUSE_S = 0.1
LEAST_ATTEMPT_S = 0.05
LATE_SHARE_OF_TIME = 0.5
"""While more of a statement's time is left it is sent, however slow the member is: what an estimate
says must not keep a member that got quicker from showing it."""
HELD_SHARE_OF_TARGET = 0.2
"""A statement that no member can run, and for which nothing says when one will, is held for so much
of its target latency at most: its client may find another proxy in the rest (a refusal held
longer helps nobody)."""

TOKEN_WAIT_SHARE_OF_TARGET = 0.8
"""The rest of a target latency is for the way to a home proxy and back, and a connection."""


@dataclass(slots=True)
class Attempt:
    """One statement on its way: whose it is, how long it has, and what was tried.

    :param log: gets a line for each try that failed
    :param began_at: when it came, seconds of the monotonic clock
    :param whole_s: its whole time
    :param deadline: when that is over, seconds of the monotonic clock
    :param hold_until: how long it is held while no member can run it
    :param tried: identities of members that did not run it
    :param runs: how often a member may have run it
    :param sends: how often it was sent to a member
    :param last: why the last try failed, for the refusal
    """

    session: StatementSession
    run: RunOnMember
    group: StatementGroup
    log: StatementLog
    began_at: float
    whole_s: float
    deadline: float
    hold_until: float
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    last: str = "no member is known"
    _wants_connection: bool = False
    _was_misrouted: bool = False
    _connection_until: float = 0.0
    _is_turned_away: bool = False
    _lacks_lease: bool = False
    _ready_in_s: float = UNKNOWN_READY_S
    _pause_s: float = RETRY_PAUSE_S

    @classmethod
    def begin(
        cls, session: StatementSession, run: RunOnMember, group: StatementGroup, log: StatementLog
    ) -> Attempt:
        """Begin an attempt: its time counts from now."""
        now = time.monotonic()
        database = session.database
        whole_s = session.statement_time_s(now)
        hold_until = now + HELD_SHARE_OF_TARGET * database.target_latency_ms / MS_PER_S
        return cls(session, run, group, log, now, whole_s, now + whole_s, hold_until)

    def token_wait_until(self) -> float:
        """Return until when it may wait for a token and still be done within its target latency.

        An answer is taken to last as long as those of the primary do lately.
        """
        pool = self.group.primary_pool()
        answer_s = LEAST_ATTEMPT_S if pool is None else pool.observed.answer.usual_s
        wait_s = TOKEN_WAIT_SHARE_OF_TARGET * self.session.database.target_latency_ms / MS_PER_S
        latest = self.deadline - LEAST_ATTEMPT_S
        return min(self.began_at + wait_s, latest) - answer_s

    def time_left(self) -> float:
        """Return the seconds left to the statement."""
        return self.deadline - time.monotonic()

    def connection_wait_s(self, pool: MemberPool) -> float:
        """Return for how long a connection to a member may be waited for from now on.

        As long as the member's connections come back, that is until an answer of it would no
        longer come in time. Where its turn would come later the pool turns it away at once.
        """
        now = time.monotonic()
        is_silent = pool.observed.seems_silent(now)
        self._connection_until = self.hold_until if is_silent else self.start_by(pool)
        return max(0.0, min(self._connection_until, self.deadline) - now)

    def start_by(self, pool: MemberPool) -> float:
        """Return when it has to be sent to a member to be answered in time."""
        return self.deadline - max(LEAST_ATTEMPT_S, pool.observed.answer.usual_s)

    @property
    def target_at(self) -> float:
        """When its answer is late."""
        return self.began_at + self.session.database.target_latency_ms / MS_PER_S

    def held_until(self) -> float:
        """Return until when the statement is held while no member can run it.

        It is held longer when only a connection is wanted, or when the next primary is expected;
        not at all where its turn comes too late, or the lease has ended: then it is better off
        elsewhere.
        """
        if self._is_turned_away or self._has_lost_lease:
            return 0.0
        until = max(self.hold_until, self._connection_until if self._wants_connection else 0.0)
        now = time.monotonic()
        if self.group.lacks_primary(now):
            self.group.outage.note_no_primary(now)
            until = max(until, self.group.hold_until(now))
        return min(until, self.deadline - LEAST_ATTEMPT_S)

    def is_too_late(self, answer_s: float = LEAST_ATTEMPT_S) -> bool:
        """Tell whether so much time has passed that an answer would hardly come in time.

        Then it is better not to send the statement: it is surely not run, and may be asked again.

        :param answer_s: how long an answer of the member takes lately
        """
        least_s = min(max(LEAST_ATTEMPT_S, answer_s), LATE_SHARE_OF_TIME * self.whole_s)
        return self.time_left() < least_s

    def may_run_again(self) -> bool:
        """Tell whether a read that may run at one member may run at a further one too."""
        is_time_left = self.time_left() > LEAST_ATTEMPT_S
        return is_time_left and self.runs + 1 < self.session.database.maximum_attempts

    def may_be_sent(self) -> bool:
        """Tell whether it may be sent now, and count that: further times come out of the budget.

        Not after an answer that only another member could give: it took no room there.
        """
        now = time.monotonic()
        if self.sends == 0:
            self.group.retries.first_try(now)
        elif not self._was_misrouted and not self.group.retries.may_retry(now):
            self.last = f"{self.last}, and the group's tries are used up"
            return False
        self.sends += 1
        return True

    def failed(self, reason: AnswerKind | NotSent, member: str = "") -> None:
        """Note why a try failed; the log tells it when it is news.

        :param member: the member that was tried, if one was
        """
        self._ready_in_s = UNKNOWN_READY_S
        self._lacks_lease = reason is NotSent.NO_LEASE
        self._is_turned_away = reason is NotSent.TURNED_AWAY
        self._wants_connection = reason in WANTS_CONNECTION
        self._was_misrouted = reason in MISROUTED
        last = f"{reason} at {member}" if member else str(reason)
        is_news = last != self.last
        self.last = last
        group = self.group
        seen = Try(reason, member, group.primary, group.term, group.primary_lease_left_s(), is_news)
        self.log.tried(self.run.statement, group.name, seen)

    def turned_away(self, refused: Refused, member: str) -> None:
        """Note that a member's queue took it not, or no longer; the log tells what was counted."""
        self.failed(NotSent.TURNED_AWAY, member)
        self.last = f"{refused.reason} at {member}"
        self._ready_in_s = refused.retry_likely_in_s
        self.log.turned_away(self.session.database, self.run.statement, member, refused)

    @property
    def _has_lost_lease(self) -> bool:
        """Whether this proxy can't run it: another one, which has a lease, may."""
        return self._lacks_lease and self.group.limit == 0

    def give_up(self, code: ResultCode) -> StatementAnswer:
        """Return the final answer to the statement, of which nothing was kept."""
        if self._has_lost_lease:
            code = ResultCode.NO_LEASE
        priority = self.session.database.priority
        needs_primary = self.session.needs_primary(self.run)
        retry_after_ms = self.group.retry_after_ms(priority, needs_primary, self._ready_in_s)
        return give_up(self.session, code, self.last, self.runs > 0, retry_after_ms)

    def had_better_run_elsewhere(self) -> bool:
        """Tell whether another home proxy may reach the primary, which a read needs."""
        may_leave = self.session.may_run_elsewhere and self.runs == 0
        return may_leave and self.group.has_unreachable_primary()

    def leave_to_others(self) -> StatementAnswer:
        """Return the answer to the proxy that forwarded the statement, which asks another one."""
        return refusal(ResultCode.PRIMARY_UNREACHED, self.group.primary)

    async def wait_for_primary(self) -> bool:
        """Wait for a change of the primary while the statement may be held."""
        return await self.group.wait_for_primary(self.held_until())

    async def pause(self, until: float | None = None) -> bool:
        """Pause before another try; False when the statement may not be held that long.

        Pauses grow: what no member could run for a while is likely to wait for the next primary.
        """
        limit = min(self.held_until() if until is None else until, self.deadline)
        if time.monotonic() + RETRY_PAUSE_S >= limit:
            return False
        await curio.sleep(self._pause_s)
        self._pause_s = min(self._pause_s * PAUSE_GROWTH, LONGEST_PAUSE_S)
        return True

"""One statement on its way to home proxies: its time, its tries and what it waits for."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio

from limedyke.core.statements.session import RunOnMember, StatementSession
from limedyke.messages.statements import StatementAnswer
from limedyke.proxy.forwarding.link import NEVER, HomeLink
from limedyke.proxy.statements.attempt import (
    HELD_SHARE_OF_TARGET,
    LEAST_ATTEMPT_S,
    MS_PER_S,
    RETRY_PAUSE_S,
)
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.statement_refusal import UNKNOWN_READY_S, give_up
from limedyke.result_codes import ResultCode, did_not_run

LEASE_WAIT_SHARE = 0.7
"""While no home proxy is reached, a statement waits so much of its time for one or for a lease: all
but what a statement over two regions takes (0.27 of 1 s at 45 ms one way)."""
UNREACHED_TRIES = 3
"""After so many home proxies that can't reach the primary a statement waits for another primary."""
_UNREACHED = ResultCode.PRIMARY_UNREACHED.value.number


@dataclass(slots=True)
class ForwardedAttempt:
    """A statement that is in no open transaction yet, on its way to a home proxy.

    :param deadline: when its time is over, seconds of the monotonic clock
    :param home_until: how long it waits for a home proxy or a lease
    :param hold_until: how long it waits for a primary that home proxies reach
    :param tried: names of home proxies that did not run it
    :param unanswered: how often a home proxy took it and gave no answer: it may have run
    :param unreached: how many home proxies in a row could not reach the primary
    :param last: why the last try failed, for the refusal
    """

    session: StatementSession
    run: RunOnMember
    group: StatementGroup
    deadline: float
    home_until: float
    hold_until: float
    tried: set[str] = field(default_factory=set)
    unanswered: int = 0
    unreached: int = 0
    last: str = "no home proxy is reached"

    @classmethod
    def begin(
        cls, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> ForwardedAttempt:
        """Begin an attempt: its time counts from now."""
        now = time.monotonic()
        database = session.database
        whole_s = session.statement_time_s(now)
        target_s = database.target_latency_ms / MS_PER_S
        return cls(
            session,
            run,
            group,
            deadline=now + whole_s,
            home_until=now + LEASE_WAIT_SHARE * whole_s,
            hold_until=now + HELD_SHARE_OF_TARGET * target_s,
        )

    def time_left(self) -> float:
        """Return the seconds left to the statement, 0 when its time is over."""
        return max(0.0, self.deadline - time.monotonic())

    @property
    def is_last_try(self) -> bool:
        """Whether the statement must not be sent again when this try is not answered.

        The first statement of a transaction may, also one that writes: what it did at a home
        proxy that gives no answer is never committed.
        """
        may_be_kept = self.run.writes and self.session.transaction is None
        return may_be_kept or self.unanswered + 1 >= self.session.database.maximum_attempts

    def patience_s(self, link: HomeLink) -> float:
        """Return for how long a link may tell nothing before another home proxy is tried."""
        return NEVER if self.is_last_try else link.longest_silence_s

    def may_be_sent_again(self) -> bool:
        """Tell whether an unanswered statement may go to another home proxy."""
        return not self.is_last_try and self.time_left() > LEAST_ATTEMPT_S

    def refused(self, answer: StatementAnswer, home: str) -> None:
        """Take that a home proxy did not run it and another one may."""
        self.unreached += answer.code == _UNREACHED
        self.last = f"{home}: {answer.detail}"

    async def wait_for_primary(self) -> bool:
        """Wait for another primary, then try all homes again; False when it may not be held."""
        now = time.monotonic()
        self.group.outage.note_no_primary(now)
        until = max(self.hold_until, self.group.hold_until(now))
        if not await self.group.wait_for_primary(min(until, self.deadline - LEAST_ATTEMPT_S)):
            return False
        self.tried.clear()
        self.unreached = 0
        return True

    async def wait_for_home(self) -> bool:
        """Wait for a lease or a home proxy a little; False when it may not be held."""
        self.tried.clear()
        if time.monotonic() >= self.home_until:
            return False
        await curio.ignore_after(RETRY_PAUSE_S, self.group.leased.wait)
        return True

    def give_up(self, code: ResultCode) -> StatementAnswer:
        """Return the final answer to the statement, of which nothing was kept."""
        priority = self.session.database.priority
        retry_after_ms = self.group.retry_after_ms(priority, True, UNKNOWN_READY_S)
        return give_up(self.session, code, self.last, self.unanswered > 0, retry_after_ms)

    def outcome_of(self, answer: StatementAnswer) -> StatementAnswer:
        """Return what a home proxy's answer means after the tries before it.

        A refusal tells that this home proxy did not run it; an earlier one may have.
        """
        if did_not_run(answer.code) and self.unanswered:
            return give_up(self.session, ResultCode.READ_UNANSWERED, answer.detail, True)
        return answer

"""The execution of one forwarded statement: its time limits, its tries and its waits."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio

from limedyke.core.statements.session import RunOnMember, StatementSession
from limedyke.messages.statements import StatementAnswer
from limedyke.proxy.forwarding.link import NEVER, HomeLink
from limedyke.proxy.statements.attempt import (
    HOLD_SHARE_OF_TARGET,
    MINIMUM_ATTEMPT_S,
    MS_PER_S,
    RETRY_PAUSE_S,
)
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.statement_refusal import DEFAULT_READY_S, refuse_statement
from limedyke.result_codes import ResultCode, did_not_run

LEASE_WAIT_SHARE = 0.7
"""Share of a statement's time that it may wait for a home proxy or a lease. The rest suffices for a
statement across two regions (0.27 s of 1 s at 45 ms one way)."""
UNREACHABLE_PRIMARY_TRIES = 3
"""Number of home proxies without access to the primary after which a statement waits for a new
primary."""
_PRIMARY_UNREACHED_CODE = ResultCode.PRIMARY_UNREACHED.value.number


@dataclass(slots=True)
class ForwardedAttempt:
    """A statement outside an open transaction that is forwarded to a home proxy.

    All times are seconds of the monotonic clock.

    :param deadline: when the statement's time ends
    :param home_wait_until: end of the wait for a home proxy or a lease
    :param hold_until: end of the wait for a primary that home proxies can reach
    :param tried: names of home proxies that did not run it
    :param unanswered_count: number of tries without an answer, in which it may have run
    :param unreachable_count: home proxies since the last wait that could not reach the primary
    :param last_failure: why the last try failed, for the refusal
    """

    session: StatementSession
    run: RunOnMember
    group: StatementGroup
    deadline: float
    home_wait_until: float
    hold_until: float
    tried: set[str] = field(default_factory=set)
    unanswered_count: int = 0
    unreachable_count: int = 0
    last_failure: str = "no home proxy is reached"

    @classmethod
    def begin(
        cls, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> ForwardedAttempt:
        """Create an attempt whose time starts now."""
        now = time.monotonic()
        database = session.database
        time_limit_s = session.statement_time_s(now)
        target_s = database.target_latency_ms / MS_PER_S
        return cls(
            session,
            run,
            group,
            deadline=now + time_limit_s,
            home_wait_until=now + LEASE_WAIT_SHARE * time_limit_s,
            hold_until=now + HOLD_SHARE_OF_TARGET * target_s,
        )

    def time_left(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - time.monotonic())

    @property
    def is_last_try(self) -> bool:
        """Whether the statement must not be sent again if this try is not answered.

        The first statement of a transaction may be sent again even if it writes: its effects at a
        home proxy that gave no answer are never committed.
        """
        may_be_kept = self.run.writes and self.session.transaction is None
        return may_be_kept or self.unanswered_count + 1 >= self.session.database.maximum_attempts

    def silence_limit_s(self, link: HomeLink) -> float:
        """Return how long a link may be silent before another home proxy is tried."""
        return NEVER if self.is_last_try else link.longest_silence_s

    def may_be_sent_again(self) -> bool:
        """Tell whether an unanswered statement may go to another home proxy."""
        return not self.is_last_try and self.time_left() > MINIMUM_ATTEMPT_S

    def refused(self, answer: StatementAnswer, home: str) -> None:
        """Record a refusal after which another home proxy may be tried."""
        self.unreachable_count += answer.code == _PRIMARY_UNREACHED_CODE
        self.last_failure = f"{home}: {answer.detail}"

    async def wait_for_primary(self) -> bool:
        """Wait for a new primary, then allow all home proxies again; False after the hold time."""
        now = time.monotonic()
        self.group.outage.note_no_primary(now)
        until = max(self.hold_until, self.group.hold_until(now))
        if not await self.group.wait_for_primary(min(until, self.deadline - MINIMUM_ATTEMPT_S)):
            return False
        self.tried.clear()
        self.unreachable_count = 0
        return True

    async def wait_for_home(self) -> bool:
        """Wait briefly for a lease or a home proxy; False after the allowed time."""
        self.tried.clear()
        if time.monotonic() >= self.home_wait_until:
            return False
        await curio.ignore_after(RETRY_PAUSE_S, self.group.leased.wait)
        return True

    def final_refusal(self, code: ResultCode) -> StatementAnswer:
        """Return the final refusal of the statement, which had no lasting effect."""
        priority = self.session.database.priority
        retry_after_ms = self.group.retry_after_ms(priority, True, DEFAULT_READY_S)
        return refuse_statement(
            self.session, code, self.last_failure, self.unanswered_count > 0, retry_after_ms
        )

    def outcome_of(self, answer: StatementAnswer) -> StatementAnswer:
        """Return the answer for the client, given the tries before it.

        A refusal says only that this home proxy did not run the statement; an unanswered try may
        have run it.
        """
        if did_not_run(answer.code) and self.unanswered_count:
            return refuse_statement(self.session, ResultCode.READ_UNANSWERED, answer.detail, True)
        return answer

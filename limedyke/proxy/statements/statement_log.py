"""Logs statements: each refusal, failure and failed try, and periodic counts of those served."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass

from limedyke.core.queueing.queue_answer import Refused
from limedyke.event_log import EventLog
from limedyke.messages.databases import Database
from limedyke.messages.statements import (
    AnswerKind,
    Statement,
    StatementAnswer,
    StatementUnit,
)
from limedyke.proxy.statements.log_rate_limiter import LogRateLimiter
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.result_codes import CODE_BY_NUMBER, ResultCode

DEFAULT_LINES_PER_SECOND = 50
TRY_LINES_SHARE = 0.5
"""Rate limit for lines on failed tries, as a share of the limit for outcomes, which say more. Lines
on queue refusals have a separate limit of the same size, so that they are not crowded out by failed
tries."""
SUMMARY_INTERVAL_S = 10.0
MS_PER_S = 1_000
RETRIED_ELSEWHERE_CODES = frozenset(
    {
        ResultCode.DRAINING,
        ResultCode.HOME_CROWDED,
        ResultCode.NO_LEASE,
        ResultCode.PRIMARY_UNREACHED,
    }
)
EVENTS = EventLog("statements")


class NotSentReason(enum.StrEnum):
    """Why a statement was not sent to any member."""

    NO_PRIMARY = "no-primary-that-answers"
    POSITION_UNPROVEN = "no-position-of-the-primary-is-proved"
    NOT_CONNECTED = "not-connected"
    NO_CONNECTION_FREE = "no-connection-came-free"
    TURNED_AWAY = "turned-away"
    NO_LEASE = "no-lease-or-member-gone"
    NO_PRIMARY_LEASE = "no-primary-lease"


@dataclass(frozen=True, slots=True)
class FailedTry:
    """A failed try to run a statement, and the group state this proxy knew then.

    :param reason: the member's answer, or why nothing was sent
    :param member: the member that was tried; empty for none
    :param primary: the recorded primary; empty for none
    :param term: of the recorded primary
    :param lease_left_s: seconds left of the primary lease; negative once it has ended
    :param is_new_reason: the reason differs from that of the statement's previous try
    """

    reason: AnswerKind | NotSentReason
    member: str
    primary: str
    term: int
    lease_left_s: float
    is_new_reason: bool


@dataclass(frozen=True, slots=True)
class StatementUnderWay:
    """A statement that was received and is not answered yet.

    :param started_at: when it was received, in seconds of the monotonic clock
    """

    database: Database
    statement: Statement
    started_at: float


class StatementLog:
    """Writes a limited number of lines per second; omitted lines are counted.

    :param metrics: counts all answers and tries, logged or not
    :param lines_per_second: the limit
    """

    def __init__(
        self, metrics: StatementMetrics, lines_per_second: int = DEFAULT_LINES_PER_SECOND
    ) -> None:
        self._metrics = metrics
        now = time.monotonic()
        self._outcome_lines = LogRateLimiter(lines_per_second, now)
        self._try_lines = LogRateLimiter(int(lines_per_second * TRY_LINES_SHARE), now)
        self._refusal_lines = LogRateLimiter(int(lines_per_second * TRY_LINES_SHARE), now)
        self._omitted = 0
        self._last_summary_at = now
        self._served_count = 0

    def answered(
        self, database: Database, statement: Statement, answer: StatementAnswer, started_at: float
    ) -> None:
        """Record the answer to a statement."""
        code = CODE_BY_NUMBER.get(answer.code)
        label = code.label if code is not None else "done"
        held_s = time.monotonic() - started_at
        self._metrics.answered(statement.kind, label, held_s)
        if code is None:
            self._served_count += 1
            self._log_summary()
            return
        if not self._admit_line(self._outcome_lines):
            return
        EVENTS.warning(
            "not-served",
            request=statement.request_id,
            database=database.name,
            group=database.group,
            kind=statement.kind,
            code=label,
            outcome=code.outcome,
            detail=answer.detail,
            held_ms=int(held_s * MS_PER_S),
            retry_after_ms=answer.retry_after_ms,
        )

    def unanswered(self, under_way: StatementUnderWay, ended_by: str, was_sent: bool) -> None:
        """Record a statement whose client connection ended before its answer was sent.

        :param ended_by: why the connection ended
        :param was_sent: the statement was sent to a member or home proxy and may have run
        """
        self._metrics.unanswered.inc()
        if not self._admit_line(self._outcome_lines):
            return
        EVENTS.warning(
            "unanswered",
            request=under_way.statement.request_id,
            database=under_way.database.name,
            group=under_way.database.group,
            kind=under_way.statement.kind,
            ended_by=ended_by,
            was_sent=was_sent,
            held_ms=int((time.monotonic() - under_way.started_at) * MS_PER_S),
        )

    def tried(self, statement: Statement, group: str, seen: FailedTry) -> None:
        """Record a failed try; a later one may still serve the statement."""
        self._metrics.try_failed(seen.reason)
        if not seen.is_new_reason or not self._admit_line(self._try_lines):
            return
        EVENTS.info(
            "try-failed",
            request=statement.request_id,
            group=group,
            kind=statement.kind,
            reason=seen.reason,
            member=seen.member or "none",
            primary=seen.primary or "none",
            term=seen.term,
            primary_lease_left_s=round(seen.lease_left_s, 3),
        )

    def turned_away(
        self, database: Database, statement: Statement, member: str, refused: Refused
    ) -> None:
        """Record that a member's queue refused or dropped a statement.

        Another member may still serve it.
        """
        self._metrics.turned_away(refused.reason, database.priority)
        if not self._admit_line(self._refusal_lines):
            return
        EVENTS.info(
            "turned-away",
            request=statement.request_id,
            group=database.group,
            member=member,
            reason=refused.reason,
            priority=database.priority,
            ahead=refused.ahead,
            expected_wait_ms=int(refused.expected_wait_s * MS_PER_S),
            time_left_ms=int(refused.time_left_s * MS_PER_S),
        )

    def forwarded(self, unit: StatementUnit, answer: StatementAnswer, origin: str) -> None:
        """Record the answer to a statement that another proxy forwarded.

        Refusals after which the forwarding proxy tries elsewhere are not logged here; that proxy
        logs the final outcome.

        :param origin: the link that it came over
        """
        code = CODE_BY_NUMBER.get(answer.code)
        if (
            code is None
            or code in RETRIED_ELSEWHERE_CODES
            or not self._admit_line(self._outcome_lines)
        ):
            return
        EVENTS.warning(
            "forwarded-not-served",
            request=unit.statement.request_id,
            origin=origin,
            group=unit.database.group,
            kind=unit.statement.kind,
            code=code.label,
            outcome=code.outcome,
            detail=answer.detail,
        )

    def session_refused(self, database: str, answer: StatementAnswer) -> None:
        """Record a refused session."""
        label = CODE_BY_NUMBER[answer.code].label
        self._metrics.session_refused(label)
        if self._admit_line(self._outcome_lines):
            EVENTS.info("session-refused", database=database, code=label)

    def _admit_line(self, limiter: LogRateLimiter) -> bool:
        if limiter.take(time.monotonic()):
            return True
        self._omitted += 1
        self._metrics.lines_left_out.inc()
        return False

    def _log_summary(self) -> None:
        now = time.monotonic()
        if now - self._last_summary_at < SUMMARY_INTERVAL_S:
            return
        EVENTS.info("served", statements=self._served_count, lines_left_out=self._omitted)
        self._last_summary_at = now
        self._served_count = 0
        self._omitted = 0

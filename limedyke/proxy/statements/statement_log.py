"""Lines on statements: every refusal and failure, and one of many that were served."""

from __future__ import annotations

import time

from limedyke.event_log import EventLog
from limedyke.messages.databases import Database
from limedyke.messages.statements import Statement, StatementAnswer, StatementUnit
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.result_codes import CODE_BY_NUMBER, ResultCode

LINES_PER_SECOND = 50
SUMMARY_INTERVAL_S = 10.0
TRIED_ELSEWHERE = frozenset({ResultCode.NO_LEASE, ResultCode.DRAINING})
EVENTS = EventLog("statements")


class StatementLog:
    """Writes at most ``LINES_PER_SECOND`` lines a second; what is left out is counted.

    :param metrics: counts all answers
    """

    def __init__(self, metrics: StatementMetrics) -> None:
        self._metrics = metrics
        self._budget = float(LINES_PER_SECOND)
        self._filled_at = time.monotonic()
        self._left_out = 0
        self._summed_at = time.monotonic()
        self._served = 0

    def answered(
        self, database: Database, statement: Statement, answer: StatementAnswer, started_at: float
    ) -> None:
        """Take the answer to a statement."""
        code = CODE_BY_NUMBER.get(answer.code)
        label = code.label if code is not None else "done"
        self._metrics.answered(statement.kind, label, time.monotonic() - started_at)
        if code is None:
            self._served += 1
            self._sum_up()
            return
        if not self._may_write():
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
            held_ms=int((time.monotonic() - started_at) * 1_000),
        )

    def forwarded(self, unit: StatementUnit, answer: StatementAnswer, origin: str) -> None:
        """Take the answer to a statement that another proxy forwarded.

        That this proxy takes no new work is told by the line of the one that forwarded it.

        :param origin: the link that it came over
        """
        code = CODE_BY_NUMBER.get(answer.code)
        if code is None or code in TRIED_ELSEWHERE or not self._may_write():
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
        """Take a session that was not opened."""
        label = CODE_BY_NUMBER[answer.code].label
        self._metrics.session_refused(label)
        if self._may_write():
            EVENTS.info("session-refused", database=database, code=label)

    def _may_write(self) -> bool:
        now = time.monotonic()
        filled = self._budget + (now - self._filled_at) * LINES_PER_SECOND
        self._budget = min(filled, float(LINES_PER_SECOND))
        self._filled_at = now
        if self._budget < 1.0:
            self._left_out += 1
            self._metrics.lines_left_out.inc()
            return False
        self._budget -= 1.0
        return True

    def _sum_up(self) -> None:
        now = time.monotonic()
        if now - self._summed_at < SUMMARY_INTERVAL_S:
            return
        EVENTS.info("served", statements=self._served, lines_left_out=self._left_out)
        self._summed_at = now
        self._served = 0
        self._left_out = 0

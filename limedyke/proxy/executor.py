"""The call by which the client side of a proxy runs work on a group's members."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from limedyke.messages.work import (
    AbandonWork,
    AnswerChunk,
    AnswerEnd,
    LogPosition,
    TransactionStatus,
    WorkUnit,
)
from limedyke.result_codes import CODE_BY_NUMBER, Failure, ResultCode, did_not_run

Relay = Callable[[AnswerChunk], Awaitable[None]]
"""Takes whole PostgreSQL messages of an answer, without ReadyForQuery, as they arrive.

It may wait (the client reads slowly) and may raise: the unit is then abandoned.
"""


class Executor(Protocol):
    """Runs units of work: on the members from here, or at a home proxy over a link."""

    async def run(self, unit: WorkUnit, relay: Relay) -> AnswerEnd:
        """Run a unit and return the end of its answer; never raises for expected failures.

        ``unit.stream`` and ``unit.transaction`` are unique among the units of this proxy
        that are under way.  Units of one transaction are run one after the other.
        Cancelling the calling task abandons the unit.
        """

    async def abandon(self, work: AbandonWork) -> None:
        """Stop a unit (cancel request) or roll a transaction back (client gone)."""


def jittered(retry_after_ms: int) -> int:
    """Return a time to come back around the given one, so that clients don't come all at once."""
    return max(1, round(retry_after_ms * (0.5 + random.random())))


def refusal(
    unit: WorkUnit,
    code: ResultCode,
    detail: str = "",
    retry_after_ms: int = 0,
    status: TransactionStatus = TransactionStatus.IDLE,
) -> AnswerEnd:
    """Return the end of an answer that the proxy refuses or fails with ``code``."""
    return AnswerEnd(
        unit.stream, status, LogPosition(), "", False, code.value.number, detail, retry_after_ms
    )


def as_unanswered_read(end: AnswerEnd) -> AnswerEnd:
    """Return the end of a read that a member may have seen: never that it did not run."""
    if not did_not_run(end.code):
        return end
    detail = f"{CODE_BY_NUMBER[end.code].label} {end.detail}".rstrip()
    number = ResultCode.READ_UNANSWERED.value.number
    return dataclasses.replace(end, code=number, detail=detail)


def failure_end(unit: WorkUnit, failure: Failure) -> AnswerEnd:
    """Return the end of an answer for an expected failure."""
    return refusal(unit, failure.code, failure.detail, failure.retry_after_ms or 0)

"""Interface through which the client side of a proxy runs work on the members of a group."""

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
"""Receives complete PostgreSQL messages of an answer, without ReadyForQuery, as they arrive.

It may block while the client reads slowly, and may raise; the unit is then abandoned.
"""


class Executor(Protocol):
    """Runs units of work, on members from this proxy or on a home proxy over a link."""

    async def run(self, unit: WorkUnit, relay: Relay) -> AnswerEnd:
        """Run a unit and return the end of its answer; expected failures do not raise.

        ``unit.stream`` and ``unit.transaction`` are unique among the running units of this
        proxy.  Units of one transaction run one after the other.
        Cancelling the calling task abandons the unit.
        """

    async def abandon(self, work: AbandonWork) -> None:
        """Cancel a unit (cancel request) or roll back a transaction (client disconnected)."""


def jittered(retry_after_ms: int) -> int:
    """Return a random retry time around the given one, so that clients do not retry in step."""
    return max(1, round(retry_after_ms * (0.5 + random.random())))


def refusal(
    unit: WorkUnit,
    code: ResultCode,
    detail: str = "",
    retry_after_ms: int = 0,
    status: TransactionStatus = TransactionStatus.IDLE,
) -> AnswerEnd:
    """Return the end of the answer to a unit that the proxy refuses or fails with ``code``."""
    return AnswerEnd(
        unit.stream, status, LogPosition(), "", False, code.value.number, detail, retry_after_ms
    )


def as_unanswered_read(end: AnswerEnd) -> AnswerEnd:
    """Return the end of a read that a member may have received.

    A code that says that the unit did not run is replaced by READ_UNANSWERED.
    """
    if not did_not_run(end.code):
        return end
    detail = f"{CODE_BY_NUMBER[end.code].label} {end.detail}".rstrip()
    number = ResultCode.READ_UNANSWERED.value.number
    return dataclasses.replace(end, code=number, detail=detail)


def failure_end(unit: WorkUnit, failure: Failure) -> AnswerEnd:
    """Return the end of an answer for an expected failure."""
    return refusal(unit, failure.code, failure.detail, failure.retry_after_ms or 0)

"""One statement on its way to a member: its time, and the pauses between its tries."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio

from limedyke.core.statements.session import StatementSession, refusal
from limedyke.messages.statements import StatementAnswer
from limedyke.proxy.statements.group import StatementGroup
from limedyke.result_codes import ResultCode

RETRY_PAUSE_S = 0.03
RETRY_AFTER_MS = 200


@dataclass(slots=True)
class Attempt:
    """One statement on its way: how long it has, and what was tried.

    :param deadline: when its time is over, seconds of the monotonic clock
    :param hold_until: how long it is held while no member can run it
    :param tried: identities of members that did not run it
    :param runs: how often a member may have run it
    :param last: why the last try failed, for the refusal
    """

    deadline: float
    hold_until: float
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    last: str = "no member is known"

    def time_left(self) -> float:
        """Return the seconds left to the statement."""
        return self.deadline - time.monotonic()


def give_up(code: ResultCode, attempt: Attempt, session: StatementSession) -> StatementAnswer:
    """Refuse a statement that did not run; an open transaction fails with it."""
    if session.transaction is not None:
        session.fail_transaction()
        return refusal(ResultCode.TRANSACTION_LOST, attempt.last, RETRY_AFTER_MS)
    return refusal(code, attempt.last, RETRY_AFTER_MS)


async def wait_for_primary(group: StatementGroup, attempt: Attempt) -> bool:
    """Wait for a change of the primary while the statement may be held."""
    left_s = min(attempt.hold_until, attempt.deadline) - time.monotonic()
    if left_s <= 0.0:
        return False
    await curio.ignore_after(left_s, group.primary_changed.wait)
    return time.monotonic() < attempt.hold_until


async def pause(attempt: Attempt, until: float | None = None) -> bool:
    """Pause before another attempt; False when the statement may not be held that long."""
    limit = min(attempt.hold_until if until is None else until, attempt.deadline)
    if time.monotonic() + RETRY_PAUSE_S >= limit:
        return False
    await curio.sleep(RETRY_PAUSE_S)
    return True

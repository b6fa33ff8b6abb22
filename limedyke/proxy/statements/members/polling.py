"""Repeats a question at a member until it is answered."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio

from limedyke.messages.statements import MemberStatus
from limedyke.proxy.statements.group import StatementGroup

ATTEMPT_TIMEOUT_S = 0.2
"""Time limit of one attempt; after it another connection is used, as this one may be dead."""
RETRY_PAUSE_S = 0.05
MS_PER_S = 1_000
Ask = Callable[[], Awaitable[MemberStatus | None]]
"""One attempt; returns None to be repeated."""


def polling_end(timeout_ms: int) -> float:
    """Return the monotonic time at which a question that begins now is given up."""
    return time.monotonic() + timeout_ms / MS_PER_S


async def poll_member(
    group: StatementGroup, fence: int, ends_at: Callable[[], float], ask: Ask
) -> MemberStatus | None:
    """Return the first answer; None when the time is over or the group has moved on.

    :param fence: of the grant for which the question is asked
    :param ends_at: returns when to give up, monotonic seconds; this may be put off meanwhile
    """
    while group.fence == fence and time.monotonic() < ends_at():
        status = await ask()
        if status is not None and group.fence == fence:
            return status
        await curio.sleep(RETRY_PAUSE_S)
    return None

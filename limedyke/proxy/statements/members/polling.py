"""Repeats a question at a member until it is answered."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio

from limedyke.messages.statements import MemberStatus
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_pool import MemberPool

ATTEMPT_TIMEOUT_S = 0.2
"""Least time limit of one attempt; after it another connection is used, as this one may be dead."""
LONGEST_ATTEMPT_S = 1.6
ATTEMPT_GROWTH = 2.0
"""Each attempt that takes its whole time is followed by a longer one, as the member may be slow."""
RETRY_PAUSE_S = 0.05
MS_PER_S = 1_000
Ask = Callable[[float], Awaitable[MemberStatus | None]]
"""One attempt with a time limit in seconds; returns None to be repeated."""


def polling_end(timeout_ms: int) -> float:
    """Return the monotonic time at which a question that begins now is given up."""
    return time.monotonic() + timeout_ms / MS_PER_S


def attempt_limit_s(pool: MemberPool, round_trips: int = 1) -> float:
    """Return the time limit of the first attempt at a member, by its usual answer times."""
    return max(ATTEMPT_TIMEOUT_S, round_trips * pool.observed.longest_sign_s)


async def poll_member(
    group: StatementGroup, fence: int, ends_at: Callable[[], float], limit_s: float, ask: Ask
) -> MemberStatus | None:
    """Return the first answer; None when the time is over or the group has moved on.

    :param fence: of the grant for which the question is asked
    :param ends_at: returns when to give up, monotonic seconds; this may be put off meanwhile
    :param limit_s: time limit of the first attempt
    """
    while group.fence == fence and time.monotonic() < ends_at():
        asked_at = time.monotonic()
        status = await ask(limit_s)
        if status is not None and group.fence == fence:
            return status
        if time.monotonic() - asked_at >= limit_s:
            limit_s = max(limit_s, min(ATTEMPT_GROWTH * limit_s, LONGEST_ATTEMPT_S))
        await curio.sleep(RETRY_PAUSE_S)
    return None

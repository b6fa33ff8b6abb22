"""A timeout that leaves out pauses of this process.

After a pause, such as one of the whole machine, every timeout has expired, although the answer may
be waiting in the socket. ``ProcessPauses`` detects only pauses during its own task's sleep. Here
the timeout is split into short parts, and a pause uses up at most the part in which it happens.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

SLICE_S = 0.1
"""Length of a part, in seconds, equal to the shortest pause that counts. Each pause uses up at most
one part of the limit."""
ResultType = TypeVar("ResultType")


async def call_with_timeout(
    limit_s: float, call: Callable[..., Awaitable[ResultType]], *arguments: object
) -> ResultType:
    """Return the result of an asynchronous call, or raise its exception.

    :param limit_s: timeout in seconds, without pauses of this process
    :raises curio.TaskTimeout: when the timeout has expired; the call is cancelled
    """
    task = await curio.spawn(call, *arguments)
    left_s = limit_s
    try:
        while left_s > 0.0 and not task.terminated:
            slice_s = min(SLICE_S, left_s)
            began_at = time.monotonic()
            await curio.ignore_after(slice_s, task.wait)
            left_s -= min(time.monotonic() - began_at, slice_s)
    finally:
        is_done = task.terminated
        await task.cancel()
    if not is_done:
        raise curio.TaskTimeout(limit_s)
    return task.result

"""Raises an exception in a task where it waits, as often as wanted."""

from __future__ import annotations

import curio


async def interrupt(task: curio.Task, error: type[curio.CancelledError]) -> None:
    """Raise an exception in another task at its present or next wait; return at once.

    curio cancels a task once only: one that goes on after an interruption would never end when it
    is cancelled, and its process would stay until it is killed.
    """
    await task.cancel(exc=error, blocking=False)
    task.cancelled = False

"""Raises an exception in another task, repeatedly if needed."""

from __future__ import annotations

import curio


async def interrupt(task: curio.Task, error: type[curio.CancelledError]) -> None:
    """Raise an exception in another task at its current or next blocking call; don't wait for it.

    curio cancels a task only once.  Without the reset of ``task.cancelled``, a task that continues
    after an interruption could not be cancelled later, and its process would run until killed.
    """
    await task.cancel(exc=error, blocking=False)
    task.cancelled = False

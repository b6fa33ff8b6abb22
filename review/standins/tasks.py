"""Background tasks of the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

_tasks: set[asyncio.Task] = set()


def spawn(coroutine: Coroutine) -> asyncio.Task:
    """Start a task, and keep a reference until it ends."""
    task = asyncio.create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task

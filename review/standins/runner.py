"""Runs a case with a time limit, and turns its outcome into the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import CaseCannotRunError
from standins.record import Record

LIMIT_S = 112.0
CANNOT_RUN = 2
RunCase = Callable[[Record, str], Awaitable[int]]


def run_case(folder: Path, run: RunCase) -> int:
    """Run a case; return the exit status.

    :param folder: of the case, for its record
    :param run: gets the record and the value of TROUBLE; returns 1 if the rule was broken, else 0
    """
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_run_limited(record, run))
    except CaseCannotRunError as error:
        record.say(f"can't run: {error}")
    except (TimeoutError, asyncio.CancelledError):
        record.say("can't run: the time is over, or the case was told to end")
    finally:
        record.close()
    return CANNOT_RUN


async def _run_limited(record: Record, run: RunCase) -> int:
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(run(record, os.environ.get("TROUBLE", "1")))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await task

"""Load worker process: runs all sessions of a settings file on one event loop."""

from __future__ import annotations

import asyncio
import signal
import time
from itertools import count
from pathlib import Path

from limedyke_lab.history import HistoryWriter
from limedyke_lab.load.direct_session import DirectSession
from limedyke_lab.load.session import ClientSession, SharedState
from limedyke_lab.load.settings import LoadSettings

EXIT_OK = 0


def build_sessions(settings: LoadSettings, writer: HistoryWriter) -> list[ClientSession]:
    """Return the sessions of every profile, spread over their groups."""
    shared = SharedState(settings.first_number)
    session_class = DirectSession if settings.direct else ClientSession
    sessions = []
    numbers = count(settings.first_number)
    for profile in settings.profiles:
        for index in range(profile.count):
            name = f"{profile.name}-{next(numbers)}"
            group = profile.groups[index % len(profile.groups)]
            shared.owners.setdefault(group, []).append(name)
            sessions.append(session_class(name, group, profile, settings, shared, writer.add))
    return sessions


class LoadEnd:
    """Decides when the load is over: after its duration or on SIGTERM."""

    def __init__(self, seconds: float) -> None:
        self._deadline_s = time.monotonic() + seconds
        self._stop_requested = False

    def request_stop(self) -> None:
        """Make every session end after its current operation."""
        self._stop_requested = True

    def is_over(self) -> bool:
        """Return whether sessions must end."""
        return self._stop_requested or time.monotonic() >= self._deadline_s


async def _run(settings: LoadSettings, writer: HistoryWriter) -> None:
    sessions = build_sessions(settings, writer)
    end = LoadEnd(settings.seconds)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end.request_stop)
    await asyncio.gather(*(session.run(end.is_over) for session in sessions))


def run_worker(settings_file: Path, record_file: Path) -> int:
    """Run the load of a settings file and append its history; return the exit code."""
    settings = LoadSettings.load(settings_file)
    writer = HistoryWriter(record_file)
    try:
        asyncio.run(_run(settings, writer))
    finally:
        writer.close()
    return EXIT_OK

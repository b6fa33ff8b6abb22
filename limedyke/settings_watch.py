"""Notices that a process's settings file has changed, by SIGHUP or by itself."""

from __future__ import annotations

import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from limedyke.event_log import EventLog

POLL_S = 0.5
EVENTS = EventLog("settings")


class SettingsWatcher:
    """Calls back when a settings file has changed; handles SIGHUP from the moment it is made.

    :param path: the settings file
    :param apply: reads the file and puts into force what can change in a running process; it
        raises ValueError or OSError when the file is not usable, and the old settings stay
    """

    def __init__(self, path: Path, apply: Callable[[], Awaitable[None]]) -> None:
        self._path = path
        self._apply = apply
        self._is_signalled = False
        self._seen = self._fingerprint()
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, number: int, frame: object) -> None:
        self._is_signalled = True

    def _fingerprint(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await curio.sleep(POLL_S)
            present = self._fingerprint()
            if not self._is_signalled and present == self._seen:
                continue
            cause = "signal" if self._is_signalled else "file"
            self._is_signalled = False
            self._seen = present
            await self._reload(cause)

    async def _reload(self, cause: str) -> None:
        try:
            await self._apply()
        except (OSError, ValueError) as error:
            EVENTS.error("settings-not-reloaded", cause=cause, reason=error)
            return
        EVENTS.info("settings-reloaded", cause=cause)

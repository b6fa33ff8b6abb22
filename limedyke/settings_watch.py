"""Reloads a process's settings on SIGHUP or when the settings file changes."""

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
    """Calls back when a settings file has changed; handles SIGHUP from construction on.

    :param path: the settings file
    :param apply: reads the file and applies the settings that can change in a running process;
        raises ValueError or OSError if the file is unusable, which keeps the old settings
    """

    def __init__(self, path: Path, apply: Callable[[], Awaitable[None]]) -> None:
        self._path = path
        self._apply = apply
        self._is_signalled = False
        self._last_fingerprint = self._fingerprint()
        signal.signal(signal.SIGHUP, self._handle_signal)

    def _handle_signal(self, number: int, frame: object) -> None:
        self._is_signalled = True

    def _fingerprint(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    async def run(self) -> None:
        """Poll the file and the signal until cancelled."""
        while True:
            await curio.sleep(POLL_S)
            fingerprint = self._fingerprint()
            if not self._is_signalled and fingerprint == self._last_fingerprint:
                continue
            cause = "signal" if self._is_signalled else "file"
            self._is_signalled = False
            self._last_fingerprint = fingerprint
            await self._reload(cause)

    async def _reload(self, cause: str) -> None:
        try:
            await self._apply()
        except (OSError, ValueError) as error:
            EVENTS.error("settings-not-reloaded", cause=cause, reason=error)
            return
        EVENTS.info("settings-reloaded", cause=cause)

"""Waits for the signals that ask a process to stop."""

from __future__ import annotations

import signal

import curio

POLL_S = 0.05


class StopSignal:
    """Notes SIGTERM and SIGINT from the moment it is made."""

    def __init__(self) -> None:
        self.is_set = False
        signal.signal(signal.SIGTERM, self._note)
        signal.signal(signal.SIGINT, self._note)

    def _note(self, number: int, frame: object) -> None:
        """Take the signal; the process's last moments are not to be cut by a second one."""
        self.is_set = True
        signal.signal(number, signal.SIG_IGN)

    async def wait(self) -> None:
        """Return once one of the signals has come."""
        while not self.is_set:
            await curio.sleep(POLL_S)

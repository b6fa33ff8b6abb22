"""Handles the signals that request a process to stop."""

from __future__ import annotations

import signal

import curio

POLL_S = 0.05


class StopSignal:
    """Records SIGTERM and SIGINT; the handlers are installed on construction."""

    def __init__(self) -> None:
        self.is_set = False
        signal.signal(signal.SIGTERM, self._handle_signal)
        signal.signal(signal.SIGINT, self._handle_signal)

    def _handle_signal(self, number: int, frame: object) -> None:
        """Record the signal and ignore further ones, which would interrupt the shutdown."""
        self.is_set = True
        signal.signal(number, signal.SIG_IGN)

    async def wait(self) -> None:
        """Wait until one of the signals has been received."""
        while not self.is_set:
            await curio.sleep(POLL_S)

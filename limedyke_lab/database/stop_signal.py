"""Waiting for a stop signal within curio.

``UniversalEvent.set`` called from a signal handler that interrupts a coroutine returns an
unawaited coroutine, so the signal would be lost; a wake-up file descriptor has no such gap.
"""

from __future__ import annotations

import signal
import socket

import curio.io


class StopSignal:
    """Catches SIGTERM and SIGINT from construction onwards."""

    def __init__(self) -> None:
        receiving, self._sending = socket.socketpair()
        receiving.setblocking(False)
        self._sending.setblocking(False)
        self._receiving = curio.io.Socket(receiving)
        signal.set_wakeup_fd(self._sending.fileno())
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _ignore)

    async def wait(self) -> None:
        """Return once a signal has arrived."""
        await self._receiving.recv(1)


def _ignore(_number: int, _frame: object) -> None:
    """Do nothing; the wake-up descriptor reports the signal."""

"""A curio kernel on a virtual clock, so that waits take no real time and ignore machine load."""

from __future__ import annotations

import selectors
import time
from unittest import mock

import curio


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the virtual clock while no I/O is ready."""

    def __init__(self, clock: VirtualKernel) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Return the events that are ready; if there are none, advance the clock by the timeout."""
        events = super().select(0)
        if events or timeout is None:
            return events or super().select(timeout)
        self._clock.now += max(0.0, timeout)
        return events


class VirtualKernel:
    """Runs coroutines while ``time.monotonic`` returns its virtual clock.

    :ivar now: the virtual time, in seconds
    """

    def __init__(self) -> None:
        self.now = time.monotonic()
        self._kernel = curio.Kernel(selector=_VirtualSelector(self))

    def run(self, function=None, *arguments, shutdown=False):
        """Run a coroutine function, or shut the kernel down."""
        with mock.patch("time.monotonic", lambda: self.now):
            if function is None:
                return self._kernel.run(shutdown=shutdown)
            return self._kernel.run(function, *arguments, shutdown=shutdown)

"""Counts operations in flight, so that a shutdown can wait for them to finish."""

from __future__ import annotations

from types import TracebackType

import curio

POLL_INTERVAL_S = 0.01


class InFlightCounter:
    """A context manager around each operation; it can be entered concurrently.

    :ivar count: number of operations in flight
    """

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        """Count the start of an operation."""
        self.count += 1

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Count the end of an operation, whether it succeeded or failed."""
        self.count -= 1

    async def wait_until_idle(self) -> None:
        """Wait until no operation is in flight."""
        while self.count:
            await curio.sleep(POLL_INTERVAL_S)

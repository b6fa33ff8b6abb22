"""Counts work under way, for whoever has to wait until it has ended."""

from __future__ import annotations

from types import TracebackType

import curio

LOOK_INTERVAL_S = 0.01


class InFlightCounter:
    """A context that each piece of work runs in.

    :ivar count: how many run at present
    """

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        """Begin one piece of work."""
        self.count += 1

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End it, however it ended."""
        self.count -= 1

    async def ended(self) -> None:
        """Return once nothing is under way."""
        while self.count:
            await curio.sleep(LOOK_INTERVAL_S)

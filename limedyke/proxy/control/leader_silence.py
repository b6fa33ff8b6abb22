"""Whether the linked leader leaves urgent requests unanswered."""

from __future__ import annotations

import curio

UNANSWERED_AFTER_S = 0.3
"""Time after which an urgent request to the leader counts as unanswered. It is longer than a round
trip between distant regions plus a short pause of the leader."""


class LeaderSilence:
    """Begins when the linked leader leaves an urgent request unanswered; ends with any answer.

    Nothing begins while no leader is linked, as one is searched for then anyway.
    """

    def __init__(self) -> None:
        self._is_linked = False
        self._began = curio.Event()
        self._ended = curio.Event()

    def link_opened(self) -> None:
        """Record that a leader was linked."""
        self._is_linked = True
        self._began.clear()

    def link_closed(self) -> None:
        """Record that no leader is linked any more."""
        self._is_linked = False

    async def begin(self) -> None:
        """Record that a request is unanswered."""
        if self._is_linked and not self._began.is_set():
            self._ended.clear()
            await self._began.set()

    async def end(self) -> None:
        """Record that the leader answered."""
        if self._began.is_set():
            self._began.clear()
            await self._ended.set()

    async def wait_begun(self) -> None:
        """Wait until a request is unanswered."""
        await self._began.wait()

    async def wait_ended(self) -> None:
        """Wait until the leader answers again."""
        await self._ended.wait()

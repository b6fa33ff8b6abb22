"""Checks whether the applied view is the leader's latest."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from limedyke.messages.control import QuorumStamp


class ViewFreshnessCheck:
    """Sends a heartbeat, whose answer carries the index of the leader's state.

    :param ask: sends a heartbeat and returns its sequence; None while no leader is linked
    :param applied_index: returns the control index of the applied view
    """

    def __init__(
        self, ask: Callable[[], Awaitable[int | None]], applied_index: Callable[[], int]
    ) -> None:
        self._ask = ask
        self._applied_index = applied_index
        self._answered = 0
        self._leader_index = 0
        self._changed = curio.Event()

    async def stamp_received(self, stamp: QuorumStamp) -> None:
        """Record the answer to a heartbeat."""
        self._answered = max(self._answered, stamp.sequence)
        self._leader_index = max(self._leader_index, stamp.control_index)
        await self.view_changed()

    async def view_changed(self) -> None:
        """Wake the waiting tasks to check again."""
        event, self._changed = self._changed, curio.Event()
        await event.set()

    async def confirm(self, limit_s: float) -> bool:
        """Wait until the leader's state as of this call is applied.

        :returns: False if no leader confirmed it within ``limit_s`` seconds
        """
        async with curio.ignore_after(limit_s):
            return await self._confirm()
        return False

    async def _confirm(self) -> bool:
        sequence = await self._ask()
        if sequence is None:
            return False
        while self._answered < sequence or self._applied_index() < self._leader_index:
            await self._changed.wait()
        return True

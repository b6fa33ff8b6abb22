"""Finds out whether the view in force is the leader's newest."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from limedyke.messages.control import QuorumStamp


class ViewCheck:
    """Asks by a heartbeat: its answer tells up to where the leader's state goes.

    :param ask: sends a heartbeat and returns its sequence; None while no leader is linked
    :param in_force: returns the index of the view in force
    """

    def __init__(
        self, ask: Callable[[], Awaitable[int | None]], in_force: Callable[[], int]
    ) -> None:
        self._ask = ask
        self._in_force = in_force
        self._answered = 0
        self._newest_index = 0
        self._changed = curio.Event()

    async def heard(self, stamp: QuorumStamp) -> None:
        """Take the answer to a heartbeat."""
        self._answered = max(self._answered, stamp.sequence)
        self._newest_index = max(self._newest_index, stamp.control_index)
        await self.view_changed()

    async def view_changed(self) -> None:
        """Have those that wait look again."""
        event, self._changed = self._changed, curio.Event()
        await event.set()

    async def confirm(self, limit_s: float) -> bool:
        """Wait until all that the leader's state held at this moment is in force.

        :returns: False when no leader has said so in time
        """
        async with curio.ignore_after(limit_s):
            return await self._confirm()
        return False

    async def _confirm(self) -> bool:
        sequence = await self._ask()
        if sequence is None:
            return False
        while self._answered < sequence or self._in_force() < self._newest_index:
            await self._changed.wait()
        return True

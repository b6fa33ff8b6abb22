"""A queue that is emptied in batches; beyond its limit it drops the oldest items."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import curio

ItemType = TypeVar("ItemType")


class Mailbox(Generic[ItemType]):
    """A queue from many producer tasks to one consumer task.

    :param maximum: the oldest items are dropped beyond this number; None for no limit
    """

    def __init__(self, maximum: int | None = None) -> None:
        self._items: deque[ItemType] = deque(maxlen=maximum)
        self._wakeup = curio.Event()

    def __len__(self) -> int:
        return len(self._items)

    async def put(self, item: ItemType) -> None:
        """Add an item and wake the consumer."""
        self._items.append(item)
        if not self._wakeup.is_set():
            await self._wakeup.set()

    async def wake(self) -> None:
        """Wake the consumer without an item."""
        await self._wakeup.set()

    async def take_all(self, timeout_s: float | None = None) -> list[ItemType]:
        """Wait for an item, or at most ``timeout_s``, and return all queued items."""
        if not self._wakeup.is_set():
            await self._wait(timeout_s)
        self._wakeup.clear()
        items = list(self._items)
        self._items.clear()
        return items

    def clear(self) -> None:
        """Drop all items."""
        self._items.clear()

    async def _wait(self, timeout_s: float | None) -> None:
        if timeout_s is None:
            await self._wakeup.wait()
        else:
            await curio.ignore_after(max(0.0, timeout_s), self._wakeup.wait)

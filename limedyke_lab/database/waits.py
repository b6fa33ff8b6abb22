"""Waits that can be ended by a cancel request, a session termination or a demotion."""

from __future__ import annotations

import enum
from collections import deque
from typing import Protocol

import curio


class Outcome(enum.Enum):
    """How a wait ended."""

    DONE = "done"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    TERMINATED = "terminated"
    SUPERSEDED = "superseded"


class Waiter:
    """One task waiting for one outcome."""

    __slots__ = ("_event", "outcome")

    def __init__(self) -> None:
        self._event = curio.Event()
        self.outcome: Outcome | None = None

    async def resolve(self, outcome: Outcome) -> None:
        """End the wait; only the first outcome takes effect."""
        if self.outcome is None:
            self.outcome = outcome
            await self._event.set()

    async def wait(self, seconds: float | None = None) -> Outcome:
        """Wait for the outcome, at most the given seconds."""
        if self.outcome is not None:
            return self.outcome
        if seconds is None:
            await self._event.wait()
        else:
            await curio.ignore_after(seconds, self._event.wait)
        return self.outcome or Outcome.TIMEOUT


class LockOwner(Protocol):
    """Interface of an owner that can wait for a lock."""

    async def wait(self, waiter: Waiter) -> Outcome:
        """Wait for the outcome; raise when the wait is cancelled or terminated."""


class FairLock:
    """A lock granted in order of arrival (FIFO)."""

    def __init__(self) -> None:
        self.owner: object | None = None
        self._queue: deque[tuple[object, Waiter]] = deque()

    def try_acquire(self, owner: object) -> bool:
        """Take the lock if it is free."""
        if self.owner is not None:
            return False
        self.owner = owner
        return True

    async def acquire(self, owner: LockOwner) -> None:
        """Take the lock, or join the queue and wait until it is held."""
        if self.try_acquire(owner):
            return
        waiter = Waiter()
        self._queue.append((owner, waiter))
        try:
            await owner.wait(waiter)
        except BaseException:
            await self._abandon(owner, waiter)
            raise

    async def _abandon(self, owner: object, waiter: Waiter) -> None:
        """Leave the queue, or release the lock if it was granted in the meantime."""
        if self.owner is owner:
            await self.release(owner)
            return
        self._queue = deque(entry for entry in self._queue if entry[1] is not waiter)

    async def release(self, owner: object) -> None:
        """Hand the lock to the next in the queue."""
        if self.owner is not owner:
            return
        self.owner = None
        while self._queue and self.owner is None:
            next_owner, waiter = self._queue.popleft()
            if waiter.outcome is None:
                self.owner = next_owner
                await waiter.resolve(Outcome.DONE)


class Slots:
    """Limits how many statements execute at once; further ones queue in FIFO order."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.active = 0
        self._queue: deque[Waiter] = deque()

    @property
    def is_full(self) -> bool:
        """Whether all slots are in use."""
        return self.active >= self.limit

    def enqueue(self) -> Waiter:
        """Join the queue; the returned waiter resolves once the caller has a slot."""
        waiter = Waiter()
        self._queue.append(waiter)
        return waiter

    async def abandon(self, waiter: Waiter) -> None:
        """Leave the queue after a wait that ended without a slot."""
        if waiter in self._queue:
            self._queue.remove(waiter)

    async def release(self) -> None:
        """Release a slot."""
        self.active -= 1
        await self.admit()

    async def admit(self) -> None:
        """Grant free slots to queued statements; also called after the limit was raised."""
        while self._queue and self.active < self.limit:
            waiter = self._queue.popleft()
            if waiter.outcome is None:
                self.active += 1
                await waiter.resolve(Outcome.DONE)

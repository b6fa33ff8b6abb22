"""Requests that wait for a connection to one member: by priority, then by their beginning."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

import curio

from limedyke.proxy.statements.member_connection import MemberConnection


class ConnectionWaiter:
    """A request that waits; woken with neither a connection nor an error it should look again."""

    __slots__ = ("connection", "error", "event", "is_over")

    def __init__(self) -> None:
        self.event = curio.Event()
        self.connection: MemberConnection | None = None
        self.error: Exception | None = None
        self.is_over = False

    async def give(self, connection: MemberConnection) -> None:
        """Hand it a connection."""
        self.connection = connection
        await self.event.set()

    async def fail(self, error: Exception) -> None:
        """Tell it that no connection could be opened."""
        self.error = error
        await self.event.set()


@dataclass(frozen=True, order=True, slots=True)
class QueuePlace:
    """A request's place among those that wait.

    :param priority: 0 goes first
    :param since: when the request began, seconds of the monotonic clock
    """

    priority: int
    since: float


@dataclass(frozen=True, order=True, slots=True)
class _Entry:
    place: QueuePlace
    number: int
    waiter: ConnectionWaiter = field(compare=False)


class ConnectionQueue:
    """The waiting requests of one member."""

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(not entry.waiter.is_over for entry in self._entries)

    def push(self, place: QueuePlace) -> ConnectionWaiter:
        """Add a request and return what it waits on."""
        waiter = ConnectionWaiter()
        heapq.heappush(self._entries, _Entry(place, next(self._numbers), waiter))
        return waiter

    def pop(self) -> ConnectionWaiter | None:
        """Take out the request that is next; None when none waits."""
        while self._entries:
            waiter = heapq.heappop(self._entries).waiter
            if not waiter.is_over:
                waiter.is_over = True
                return waiter
        return None

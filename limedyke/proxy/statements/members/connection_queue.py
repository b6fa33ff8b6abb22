"""Requests that wait for a connection to one member: by priority, then by their beginning."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass, field

import curio

from limedyke.proxy.statements.members.member_connection import MemberConnection

ANY_TENANT = None
"""Asks for a connection of whichever tenant: for the proxy's own questions, which show no data."""


class ConnectionWaiter:
    """A request that waits; woken with neither a connection nor an error it should look again.

    :param tenant: whose connection it wants; None for any
    """

    __slots__ = ("connection", "error", "event", "is_over", "tenant")

    def __init__(self, tenant: str | None = ANY_TENANT) -> None:
        self.tenant = tenant
        self.event = curio.Event()
        self.connection: MemberConnection | None = None
        self.error: Exception | None = None
        self.is_over = False

    def takes(self, tenant: str) -> bool:
        """Tell whether a connection of a tenant is what it waits for."""
        return self.tenant is ANY_TENANT or self.tenant == tenant

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
    """The waiting requests of one member, in the order in which they are served."""

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def waiting_for(self, tenant: str) -> int:
        """Return how many requests wait that a connection of a tenant would serve."""
        return sum(entry.waiter.takes(tenant) for entry in self._entries)

    def push(self, place: QueuePlace, tenant: str | None = ANY_TENANT) -> ConnectionWaiter:
        """Add a request and return what it waits on."""
        waiter = ConnectionWaiter(tenant)
        bisect.insort(self._entries, _Entry(place, next(self._numbers), waiter))
        return waiter

    def in_order(self) -> list[ConnectionWaiter]:
        """Return the requests, the next one first."""
        return [entry.waiter for entry in self._entries]

    def take_out(self, waiter: ConnectionWaiter) -> None:
        """Take out a request that is served, or is to look again."""
        self.remove(waiter)

    def pop(self) -> ConnectionWaiter | None:
        """Take out the request that is next; None when none waits."""
        return self._take_out(0) if self._entries else None

    def pop_for(self, tenant: str) -> ConnectionWaiter | None:
        """Take out the first request that a connection of a tenant serves; None when none is."""
        for index, entry in enumerate(self._entries):
            if entry.waiter.takes(tenant):
                return self._take_out(index)
        return None

    def remove(self, waiter: ConnectionWaiter) -> None:
        """Forget a request that gave up."""
        waiter.is_over = True
        self._entries = [entry for entry in self._entries if entry.waiter is not waiter]

    def _take_out(self, index: int) -> ConnectionWaiter:
        waiter = self._entries.pop(index).waiter
        waiter.is_over = True
        return waiter

"""Sends the messages of many tasks over one link from a single task.

Cancelling one of those tasks can therefore not leave half a message on the link.
"""

from __future__ import annotations

from collections import deque

import curio

from limedyke.transport.link import Link, LinkClosedError


class Outbox:
    """The queue of messages to one peer."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._waiting: deque[object] = deque()
        self._wake = curio.Event()
        self.closed = False

    async def put(self, message: object) -> None:
        """Queue a message.

        :raises LinkClosedError: when the link is known to be broken
        """
        if self.closed:
            raise LinkClosedError("link is closed")
        self._waiting.append(message)
        if not self._wake.is_set():
            await self._wake.set()

    def withdraw(self, message: object) -> bool:
        """Remove a message of which no byte was sent; return False if it was sent already."""
        for index, waiting in enumerate(self._waiting):
            if waiting is message:
                del self._waiting[index]
                return True
        return False

    async def run(self) -> None:
        """Send until the link breaks."""
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._waiting:
                    await self._link.send(self._waiting.popleft())
        except LinkClosedError:
            return
        finally:
            self.closed = True

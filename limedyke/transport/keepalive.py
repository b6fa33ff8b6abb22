"""Finds out that a link has gone silent: open connections may, without a reset.

Nothing tells the sender that its bytes no longer arrive, while new connections to the same peer
work. So the other end is asked for a sign of life from time to time, on the link itself.
"""

from __future__ import annotations

import curio

from limedyke.messages.work import LinkProbe
from limedyke.transport.link import Link, LinkClosedError

OWN_PAUSE_S = 0.05
"""A sign may have come while this process stood still: it is read before the link is judged."""


class Keepalive:
    """Asks the other end of one link for signs of life.

    :param interval_s: seconds from a sign to the next question
    :param limit_s: for how long a sign is waited for
    """

    def __init__(self, link: Link, interval_s: float, limit_s: float) -> None:
        self._link = link
        self._interval_s = interval_s
        self._limit_s = limit_s
        self._has_sign = curio.Event()

    async def run(self) -> None:
        """Ask until cancelled.

        :raises LinkClosedError: when the other end gives no sign in time
        """
        sequence = 0
        while True:
            await curio.sleep(self._interval_s)
            sequence += 1
            self._has_sign.clear()
            await self._link.send(LinkProbe(sequence, False))
            await curio.ignore_after(self._limit_s, self._has_sign.wait)
            if not self._has_sign.is_set():
                await curio.sleep(OWN_PAUSE_S)
            if not self._has_sign.is_set():
                raise LinkClosedError(f"no sign of life in {self._limit_s:g} s")

    async def listen(self) -> None:
        """Take the signs; nothing else comes to this end of the link.

        :raises LinkClosedError: at the end of the link
        """
        while True:
            message = await self._link.receive()
            if isinstance(message, LinkProbe):
                await self._has_sign.set()

"""Detects dead links by periodic probes.

An open connection can stop delivering bytes without a reset. The sender then gets no error, while
new connections to the same peer still work. Each link is therefore probed on its own connection.
"""

from __future__ import annotations

import curio

from limedyke.messages.work import LinkProbe
from limedyke.transport.link import Link, LinkClosedError

LATE_REPLY_GRACE_S = 0.05
"""Extra wait after the timeout, to read a reply that arrived while this process was paused."""


class Keepalive:
    """Probes the peer of one link.

    :param interval_s: seconds from a reply to the next probe
    :param limit_s: timeout for the reply to a probe, in seconds
    """

    def __init__(self, link: Link, interval_s: float, limit_s: float) -> None:
        self._link = link
        self._interval_s = interval_s
        self._limit_s = limit_s
        self._reply_received = curio.Event()

    async def run(self) -> None:
        """Send probes until cancelled.

        :raises LinkClosedError: if the peer doesn't reply in time
        """
        sequence = 0
        while True:
            await curio.sleep(self._interval_s)
            sequence += 1
            self._reply_received.clear()
            await self._link.send(LinkProbe(sequence, False))
            await curio.ignore_after(self._limit_s, self._reply_received.wait)
            if not self._reply_received.is_set():
                await curio.sleep(LATE_REPLY_GRACE_S)
            if not self._reply_received.is_set():
                raise LinkClosedError(f"no reply to a probe within {self._limit_s:g} s")

    async def listen(self) -> None:
        """Receive the replies; the peer sends nothing else on this link.

        :raises LinkClosedError: at the end of the link
        """
        while True:
            message = await self._link.receive()
            if isinstance(message, LinkProbe):
                await self._reply_received.set()

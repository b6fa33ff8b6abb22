"""The connection leases that the leader granted to a proxy, and their expiry."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio

from limedyke.event_log import EventLog
from limedyke.messages.control import ConnectionLease, LeaseUpdate
from limedyke.proxy.members.held_leases import HeldLeases
from limedyke.transport.link import LinkClosedError

EVENTS = EventLog("control_client")
LeasesChanged = Callable[[tuple[ConnectionLease, ...], float], Awaitable[None]]


class ControlLeases:
    """Holds the leases; times are seconds of ``time.monotonic()``.

    :param proxy: the proxy's name
    :param leases_changed: called with the valid leases and their common expiry time
    :param is_linked: returns whether the leases were reported on the current link
    """

    def __init__(
        self, proxy: str, leases_changed: LeasesChanged, is_linked: Callable[[], bool]
    ) -> None:
        self.held = HeldLeases()
        self._proxy = proxy
        self._leases_changed = leases_changed
        self._is_linked = is_linked
        self._wakeup = curio.Event()
        self._lost = curio.Event()

    @property
    def in_use(self) -> tuple[ConnectionLease, ...]:
        """The leases that are valid now."""
        return self.held.leases() if time.monotonic() < self.held.expires_at else ()

    def link_opened(self) -> None:
        """Record that a leader has accepted a new link."""
        self._lost.clear()

    async def renew(self, sequence: int, duration_s: float) -> None:
        """Extend the leases after the answer to a heartbeat."""
        self.held.renewed(sequence, duration_s)
        await self._wakeup.set()

    async def apply_update(self, update: LeaseUpdate) -> None:
        """Apply a lease update of the leader.

        :raises LinkClosedError: when all leases have expired
        """
        if not self.held.update(update.leases, time.monotonic()):
            raise LinkClosedError("the leases have run out")
        await self._leases_changed(self.held.leases(), self.held.expires_at)

    async def check_expiry(self) -> None:
        """Drop all leases if they have expired."""
        if not self.held.expire(time.monotonic()):
            return
        EVENTS.warning("leases-expired", proxy=self._proxy)
        if self._is_linked():
            await self._lost.set()
        await self._leases_changed((), self.held.expires_at)

    async def watch_expiry(self) -> None:
        """Drop all leases whenever they expire, until cancelled."""
        while True:
            remaining_s = self.held.expires_at - time.monotonic()
            self._wakeup.clear()
            if remaining_s > 0:
                await curio.ignore_after(remaining_s, self._wakeup.wait)
            else:
                await self.check_expiry()
                await self._wakeup.wait()

    async def watch_lost(self) -> None:
        """Close the link after leases expired on it, since the leader may still count them.

        :raises LinkClosedError: when the leases have expired
        """
        await self._lost.wait()
        raise LinkClosedError("the leases have run out")

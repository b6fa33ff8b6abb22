"""The connection leases of a proxy: taken from the leader, and out of use when they run out."""

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
    """Holds the leases by the clock of ``time.monotonic()``, in seconds.

    :param proxy: the proxy's name
    :param leases_changed: called with the leases in use and the moment at which all end
    :param is_linked: whether the leader counts the leases on a link that is up
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
        """The leases that may be used at this moment."""
        return self.held.leases() if time.monotonic() < self.held.expires_at else ()

    def link_opened(self) -> None:
        """Note that a leader has accepted a new link."""
        self._lost.clear()

    async def renew(self, sequence: int, duration_s: float) -> None:
        """Prolong the leases by the answer to a heartbeat."""
        self.held.renewed(sequence, duration_s)
        await self._wakeup.set()

    async def take(self, update: LeaseUpdate) -> None:
        """Take the leader's word for some leases.

        :raises LinkClosedError: when all leases have run out
        """
        if not self.held.update(update.leases, time.monotonic()):
            raise LinkClosedError("the leases have run out")
        await self._leases_changed(self.held.leases(), self.held.expires_at)

    async def check_expiry(self) -> None:
        """Take all leases out of use if they have run out."""
        if not self.held.expire(time.monotonic()):
            return
        EVENTS.warning("leases-expired", proxy=self._proxy)
        if self._is_linked():
            await self._lost.set()
        await self._leases_changed((), self.held.expires_at)

    async def watch_expiry(self) -> None:
        """Take all leases out of use whenever they run out, until cancelled."""
        while True:
            remaining_s = self.held.expires_at - time.monotonic()
            self._wakeup.clear()
            if remaining_s > 0:
                await curio.ignore_after(remaining_s, self._wakeup.wait)
            else:
                await self.check_expiry()
                await self._wakeup.wait()

    async def watch_lost(self) -> None:
        """Give up the link when leases have run out on it: the leader may still count them.

        :raises LinkClosedError: then
        """
        await self._lost.wait()
        raise LinkClosedError("the leases have run out")

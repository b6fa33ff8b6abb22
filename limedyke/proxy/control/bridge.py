"""Joins the control client to the parts of a proxy that follow the controllers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from limedyke.messages.control import ConnectionLease, MemberReport, PromoteOrder, PromoteResult
from limedyke.proxy.back_ends import BackEnds
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.view import ControlView

ViewTaker = Callable[[ControlView], Awaitable[None]]


class ControlBridge:
    """Handler of the control client, and reporter of the back-end side.

    :param take_view: told of each view, before the back ends are
    """

    def __init__(self, take_view: ViewTaker) -> None:
        self._take_view = take_view
        self._results: dict[tuple[str, int], curio.Queue] = {}
        self.client: ControlClient | None = None
        self.back_ends: BackEnds | None = None

    async def control_changed(self, view: ControlView) -> None:
        """Take a newer view into force."""
        await self._take_view(view)
        await self.back_ends.control_changed(view)

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Pass the leases to the back-end side."""
        await self.back_ends.leases_changed(leases, expires_at)

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Let the back-end side carry out a promotion and wait for its result."""
        key = (order.group, order.term)
        results = self._results.setdefault(key, curio.Queue())
        try:
            await self.back_ends.promote(order)
            return await results.get()
        finally:
            self._results.pop(key, None)

    async def promotion_done(self, result: PromoteResult) -> None:
        """Take the result of a promotion from the back-end side."""
        waiting = self._results.get((result.group, result.term))
        if waiting is not None:
            await waiting.put(result)

    async def report_member(self, report: MemberReport) -> None:
        """Pass a changed judgement of a member on."""
        await self.client.report_member(report)

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Tell that no more than these connections are held."""
        await self.client.return_leases(leases)

    async def report_writes_paused(self, group: str, term: int) -> None:
        """Tell that no write of a group in planned switchover is in flight here."""
        await self.client.report_writes_paused(group, term)

    async def keep_leases(self, interval_s: float) -> None:
        """Pass renewals of the leases on until cancelled; the control client only keeps them."""
        seen = 0.0
        while True:
            await curio.sleep(interval_s)
            expires_at = self.client.leases_expire_at
            if expires_at != seen:
                seen = expires_at
                await self.back_ends.leases_changed(self.client.leases, expires_at)

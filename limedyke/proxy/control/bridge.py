"""Connects the control client with the client side and the back ends of a proxy."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from limedyke.event_log import EventLog
from limedyke.messages.control import (
    ConnectionLease,
    MemberReport,
    PositionQuery,
    PrimaryQuery,
    PromoteOrder,
    PromoteResult,
)
from limedyke.proxy.back_ends import BackEnds
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.view import ControlView

EVENTS = EventLog("control_client")
ViewHandler = Callable[[ControlView], Awaitable[None]]


class ControlBridge:
    """Handler of the control client, and control reporter of the back ends.

    :param apply_view: called with each view before the back ends apply it
    """

    def __init__(self, apply_view: ViewHandler) -> None:
        self._apply_view = apply_view
        self._results: dict[tuple[str, int], curio.Queue] = {}
        self.client: ControlClient | None = None
        self.back_ends: BackEnds | None = None

    async def control_changed(self, view: ControlView) -> None:
        """Apply a newer view."""
        await self._apply_view(view)
        await self.back_ends.control_changed(view)

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Forward the leases to the back ends."""
        await self.back_ends.leases_changed(leases, expires_at)

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Run a promotion on the back ends and return its result."""
        key = (order.group, order.term)
        results = self._results.setdefault(key, curio.Queue())
        try:
            await self.back_ends.promote(order)
            return await results.get()
        finally:
            self._results.pop(key, None)

    async def query_positions(self, query: PositionQuery) -> None:
        """Ignore the query: members with an authority are not served here."""
        EVENTS.warning("positions-not-queried", group=query.group, reason="no announced members")

    async def query_primary(self, query: PrimaryQuery) -> None:
        """Ignore the query: members with an authority are not served here."""
        EVENTS.warning("primary-not-queried", group=query.group, reason="no announced members")

    async def promotion_done(self, result: PromoteResult) -> None:
        """Pass the result of a promotion to the waiting ``promote`` call."""
        waiting = self._results.get((result.group, result.term))
        if waiting is not None:
            await waiting.put(result)

    async def report_member(self, report: MemberReport) -> None:
        """Report a changed member state to the leader."""
        await self.client.report_member(report)

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Report that no more than these connections are held."""
        await self.client.return_leases(leases)

    async def report_writes_paused(self, group: str, term: int) -> None:
        """Report that no write of a group in planned switchover is in flight here."""
        await self.client.report_writes_paused(group, term)

    async def forward_lease_renewals(self, interval_s: float) -> None:
        """Forward lease renewals to the back ends until cancelled.

        The control client does not call its handler for a renewal.
        """
        seen = 0.0
        while True:
            await curio.sleep(interval_s)
            expires_at = self.client.leases_expire_at
            if expires_at != seen:
                seen = expires_at
                await self.back_ends.leases_changed(self.client.leases, expires_at)

"""What the control client asks of the proxy."""

from __future__ import annotations

from typing import Protocol

from limedyke.messages.control import ConnectionLease, PromoteOrder, PromoteResult
from limedyke.proxy.control.view import ControlView


class ControlHandler(Protocol):
    """What the proxy does with the news from the controllers."""

    async def control_changed(self, view: ControlView) -> None:
        """Take a newer view into force; it is synced already."""

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Take the leases that may be used until ``expires_at``; called on change and expiry.

        Shares above these are to be given up and reported by ``ControlClient.return_leases``.
        Renewals alone change ``ControlClient.leases_expire_at`` without a call.
        """

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Carry out a promotion; runs in a task of its own."""

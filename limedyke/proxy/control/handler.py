"""Interface through which the control client notifies the proxy."""

from __future__ import annotations

from typing import Protocol

from limedyke.messages.control import (
    ConnectionLease,
    PositionQuery,
    PrimaryQuery,
    PromoteOrder,
    PromoteResult,
)
from limedyke.proxy.control.view import ControlView


class ControlHandler(Protocol):
    """Handles views, leases and promotion orders from the controllers."""

    async def control_changed(self, view: ControlView) -> None:
        """Apply a newer view, which is already synced to disk."""

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Use these leases until ``expires_at``; called when they change and when they expire.

        Connections above them must be closed and reported with ``ControlClient.return_leases``.
        A renewal only changes ``ControlClient.leases_expire_at``, without a call.
        """

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Execute a promotion; called in a separate task."""

    async def query_positions(self, query: PositionQuery) -> None:
        """Begin to query members for their log positions."""

    async def query_primary(self, query: PrimaryQuery) -> None:
        """Begin to ask a member whether it leads."""

"""Connections of a pool that are in use, and how soon they come back."""

from __future__ import annotations

from limedyke.core.queueing.queued_request import QueuedRequest
from limedyke.proxy.statements.members.member_connection import MemberConnection

HELD_S = 0.25
HELD_FACTOR = 8.0
"""A connection lent for so long, and so many times as long as usual, rests in a transaction: it is
not counted on."""
CHANGE_SMOOTHING = 0.2


class CheckedOutConnections:
    """Which request has which connection, and how often one is replaced for another tenant.

    :ivar change_share: share of the turns for which a connection had to be opened anew
    """

    def __init__(self) -> None:
        self.change_share = 0.0
        self._requests: dict[MemberConnection, QueuedRequest] = {}

    def lend(self, connection: MemberConnection, request: QueuedRequest, now: float) -> None:
        """Note who has a connection from now on."""
        connection.lent_at = now
        self._requests[connection] = request

    def take_back(self, connection: MemberConnection) -> QueuedRequest | None:
        """Return who had a connection; None where it was lent for a question."""
        return self._requests.pop(connection, None)

    def held(self, usual_s: float, now: float) -> int:
        """Return how many are in use for so long that nobody knows when they come back."""
        limit_s = max(HELD_S, HELD_FACTOR * usual_s)
        return sum(now - connection.lent_at > limit_s for connection in self._requests)

    def turned_over(self, changed: bool) -> None:
        """Note whether a turn needed a new connection."""
        self.change_share += CHANGE_SMOOTHING * (float(changed) - self.change_share)

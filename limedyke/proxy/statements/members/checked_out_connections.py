"""The connections of a pool that are checked out."""

from __future__ import annotations

from collections.abc import Iterable

from limedyke.core.queueing.queued_request import QueuedRequest
from limedyke.proxy.statements.members.member_connection import MemberConnection

LONG_HELD_S = 0.25
LONG_HELD_FACTOR = 8.0
"""A connection that is checked out for longer than both ``LONG_HELD_S`` seconds and
``LONG_HELD_FACTOR`` times the usual time is taken to be held by an idle transaction; its return is
not expected."""
REOPEN_SHARE_SMOOTHING = 0.2


class CheckedOutConnections:
    """Tracks which request has which connection, and how often a turn needs a new connection.

    :ivar reopen_share: smoothed share of turns that replaced a connection with another tenant's
    """

    def __init__(self) -> None:
        self.reopen_share = 0.0
        self._requests: dict[MemberConnection, QueuedRequest] = {}

    def check_out(self, connection: MemberConnection, request: QueuedRequest, now: float) -> None:
        """Record that a request checked out a connection."""
        connection.checked_out_at = now
        self._requests[connection] = request

    def check_in(self, connection: MemberConnection) -> QueuedRequest | None:
        """Record a return; return the request that had the connection, None for a status query."""
        return self._requests.pop(connection, None)

    def connections(self) -> Iterable[MemberConnection]:
        """Return the connections that requests have checked out."""
        return self._requests.keys()

    def count_long_held(self, usual_s: float, now: float) -> int:
        """Return how many are checked out for so long that their return can't be predicted."""
        limit_s = max(LONG_HELD_S, LONG_HELD_FACTOR * usual_s)
        return sum(now - connection.checked_out_at > limit_s for connection in self._requests)

    def record_turn(self, changed: bool) -> None:
        """Record whether a turn needed a new connection."""
        self.reopen_share += REOPEN_SHARE_SMOOTHING * (float(changed) - self.reopen_share)

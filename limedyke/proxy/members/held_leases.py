"""Connection leases on the side of their holder; sans-IO.

A lease expires by the holder's own clock, counted from the moment it sent
the heartbeat whose answer renewed it.
"""

from __future__ import annotations

from limedyke.messages.control import ConnectionLease

LeaseKey = tuple[str, str]
UNANSWERED_HEARTBEATS_KEPT = 64


class HeldLeases:
    """The leases of one proxy, connections it has yet to return, and the common expiry time."""

    def __init__(self) -> None:
        self._granted: dict[LeaseKey, int] = {}
        self._holding: dict[LeaseKey, int] = {}
        self._sent_at: dict[int, float] = {}
        self.expires_at = 0.0

    def leases(self) -> tuple[ConnectionLease, ...]:
        """Return the granted leases."""
        return _to_leases(self._granted)

    def holdings(self) -> tuple[ConnectionLease, ...]:
        """Return what the proxy may still hold, including revoked shares not yet returned."""
        return _to_leases(self._holding)

    def report(self) -> tuple[ConnectionLease, ...]:
        """Return the leases to report on a new link; the leader treats them as granted by itself.

        A share that an earlier leader revoked counts as granted until the new leader revokes it.
        Otherwise a return message still in flight could be mistaken for the return of a later
        revocation, after the share had grown in between.
        """
        self._granted = {key: held for key, held in self._holding.items() if held}
        return self.holdings()

    def heartbeat_sent(self, sequence: int, now: float) -> None:
        """Record when a heartbeat was sent."""
        self._sent_at[sequence] = now
        self._sent_at.pop(sequence - UNANSWERED_HEARTBEATS_KEPT, None)

    def renewed(self, sequence: int, duration_s: float) -> None:
        """Extend the leases after the answer to a heartbeat of this process."""
        sent_at = self._sent_at.pop(sequence, None)
        if sent_at is not None:
            self.expires_at = max(self.expires_at, sent_at + duration_s)

    def update(self, leases: tuple[ConnectionLease, ...], now: float) -> bool:
        """Apply a lease update of the leader; revoked shares stay held until they are returned.

        :returns: False if all leases have expired, so that the update is too old to apply
        """
        if now >= self.expires_at:
            return False
        for lease in leases:
            key = (lease.group, lease.tenant)
            self._granted[key] = lease.connections
            self._holding[key] = max(self._holding.get(key, 0), lease.connections)
            if lease.connections == 0:
                del self._granted[key]
        return True

    def returned(self, leases: tuple[ConnectionLease, ...]) -> tuple[ConnectionLease, ...]:
        """Record that the proxy holds no more than these; return what the leader may reissue."""
        confirmed = []
        for lease in leases:
            key = (lease.group, lease.tenant)
            holding = max(lease.connections, self._granted.get(key, 0))
            if holding >= self._holding.get(key, 0):
                continue
            self._set_holding(key, holding)
            confirmed.append(ConnectionLease(lease.group, lease.tenant, holding))
        return tuple(confirmed)

    def expire(self, now: float) -> bool:
        """Drop all leases if they have expired; return whether any were dropped."""
        if now < self.expires_at or not self._holding:
            return False
        self._granted.clear()
        self._holding.clear()
        return True

    def _set_holding(self, key: LeaseKey, holding: int) -> None:
        if holding:
            self._holding[key] = holding
        else:
            self._holding.pop(key, None)


def _to_leases(connections: dict[LeaseKey, int]) -> tuple[ConnectionLease, ...]:
    return tuple(ConnectionLease(g, t, count) for (g, t), count in connections.items())

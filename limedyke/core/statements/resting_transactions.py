"""Transactions at one member that rest between two statements, and which gives way; sans-IO.

A transaction keeps its connection while its client does nothing. Clients that rest, or that
vanished without closing their connections, would otherwise hold all connections to a member for as
long as they like, against other tenants and against more urgent requests of their own tenant.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass

MIN_REST_S = 0.25
"""A transaction that rested for less is never ended: its client may be a round trip across two
regions away."""
MAX_REST_S = 2.0
"""A transaction that rested for longer gives way to any request."""


@dataclass(frozen=True, slots=True)
class ConnectionClaim:
    """Who wants or holds a connection.

    :param tenant: None for the proxy's own status queries
    :param priority: 0 is the most urgent
    """

    tenant: str | None
    priority: int


@dataclass(slots=True, eq=False)
class RestingTransaction:
    """An open transaction whose client has no statement under way.

    :param connection: the connection on which it is open
    :param since: when its last statement was answered, seconds of a monotonic clock
    :ivar is_ended: it gave way to another request and is rolled back
    """

    connection: Hashable
    claim: ConnectionClaim
    since: float
    is_ended: bool = False


class RestingTransactions:
    """The resting transactions of one member, the longest resting first."""

    def __init__(self) -> None:
        self._resting: list[RestingTransaction] = []

    def __len__(self) -> int:
        return len(self._resting)

    def begin_rest(
        self, connection: Hashable, claim: ConnectionClaim, now: float
    ) -> RestingTransaction:
        """Record that a transaction rests from now on."""
        resting = RestingTransaction(connection, claim, now)
        self._resting.append(resting)
        return resting

    def end_rest(self, resting: RestingTransaction) -> bool:
        """Record that a transaction's client goes on; return False if the transaction was ended."""
        if not resting.is_ended:
            self._resting.remove(resting)
        return not resting.is_ended

    def end_one_for(
        self, claim: ConnectionClaim, held: Mapping[str | None, int], now: float
    ) -> RestingTransaction | None:
        """End the transaction that gives way to a waiting request; None if there is none.

        :param held: connections in use by tenant
        """
        resting = next(self._giving_way(claim, held, now), None)
        if resting is not None:
            resting.is_ended = True
            self._resting.remove(resting)
        return resting

    def _giving_way(
        self, claim: ConnectionClaim, held: Mapping[str | None, int], now: float
    ) -> Iterator[RestingTransaction]:
        """Yield the transactions that have to give way to a request, the longest resting first."""
        for resting in self._resting:
            rested_s = now - resting.since
            if rested_s < MIN_REST_S:
                return
            if rested_s >= MAX_REST_S or _precedes(claim, resting.claim, held):
                yield resting


def _precedes(
    waiting: ConnectionClaim, resting: ConnectionClaim, held: Mapping[str | None, int]
) -> bool:
    """Tell whether a waiting request precedes a transaction that has rested for a short time.

    Within a tenant it does if it is more urgent. A tenant's requests precede transactions of
    tenants that hold more connections; equally urgent ones only if that makes the numbers more
    equal, so that two tenants do not end each other's transactions in turn.
    """
    if waiting.tenant is None:
        return True
    is_more_urgent = waiting.priority < resting.priority
    if waiting.tenant == resting.tenant:
        return is_more_urgent
    surplus = held.get(resting.tenant, 0) - held.get(waiting.tenant, 0)
    return surplus > (0 if is_more_urgent else 1)

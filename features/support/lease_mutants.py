"""Mutants of the connection leases, each without one safeguard."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from features.support.lease_world import LEASE_S, LONGEST_DELAY_S, LeaseWorld, OverBudgetError
from limedyke.core.control import leader, lease_table
from limedyke.core.control.group_leases import GroupLeases, LeaseChange
from limedyke.core.control.lease_table import LeaseTable
from limedyke.messages.control import ConnectionLease
from limedyke.proxy.members.held_leases import HeldLeases

ROUND_TRIP_S = 2 * LONGEST_DELAY_S
_UPDATE = HeldLeases.update
_SHRINK = GroupLeases.shrink


def _shrink_at_once(group: GroupLeases, reachable: set[str]) -> list[LeaseChange]:
    """Treat revoked connections as free before their holder has returned them."""
    changes = _SHRINK(group, reachable)
    for shares in group._shares.values():
        for share in shares.values():
            share.holding = share.granted
    return changes


def _disconnect_frees(table: LeaseTable, proxy: str) -> None:
    """Free the leases of a proxy when its link closes."""
    table._reachable.discard(proxy)
    table._drop_holdings(proxy)


def _renew_from_arrival(leases: HeldLeases, sequence: int, duration_s: float) -> None:
    """Count a lease from the arrival of the answer, up to a round trip after the heartbeat."""
    sent_at = leases._sent_at.pop(sequence, None)
    if sent_at is not None:
        leases.expires_at = max(leases.expires_at, sent_at + duration_s + ROUND_TRIP_S)


def _use_late_grants(leases: HeldLeases, update: tuple[ConnectionLease, ...], now: float) -> bool:
    """Accept a grant that was read after the lease had expired."""
    leases.expires_at = max(leases.expires_at, now + LEASE_S / 2)
    return _UPDATE(leases, update, now)


@contextmanager
def _no_adoption() -> Iterator[None]:
    """Let a new leader grant before it knows the leases of its predecessor."""
    with mock.patch.object(LeaseTable, "is_adopting", False):
        yield


MUTANTS = {
    "a revoked share is reused only after its return": lambda: mock.patch.object(
        GroupLeases, "shrink", _shrink_at_once
    ),
    "a lease outlives its link": lambda: mock.patch.object(
        LeaseTable, "disconnected", _disconnect_frees
    ),
    "a lease counts from the heartbeat's sending": lambda: mock.patch.object(
        HeldLeases, "renewed", _renew_from_arrival
    ),
    "a grant read after its lease has expired is not used": lambda: mock.patch.object(
        HeldLeases, "update", _use_late_grants
    ),
    "a new leader waits for all reports": _no_adoption,
    "a name is reused only after its leases have expired": lambda: mock.patch.object(
        leader, "may_connect", lambda known, hello: True
    ),
    "a silent holder keeps its share until its lease has expired": lambda: mock.patch.object(
        lease_table, "reissue_after_s", lambda duration_s: duration_s / 2
    ),
}


def finds_violation(name: str, histories: int, steps: int) -> bool:
    """Return whether some history exceeds a limit without a safeguard."""
    with MUTANTS[name]():
        for seed in range(histories):
            try:
                LeaseWorld(seed).run(steps)
            except OverBudgetError:
                return True
    return False

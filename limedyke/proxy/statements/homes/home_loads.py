"""The expected waits that a home proxy reports with its answers."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.statements import HomeLoad
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_pool import MemberPool

MS_PER_S = 1_000.0
PRIORITIES = 3
"""Number of priorities reported; the last one stands for all less urgent ones."""
CACHE_TTL_S = 0.02
"""Seconds for which computed waits are reused: computing them visits all waiting requests, too much
work for each answer."""


@dataclass(frozen=True, slots=True)
class _CachedLoad:
    load: HomeLoad | None
    at: float


class HomeLoads:
    """The expected waits at the members of each group, cached briefly."""

    def __init__(self) -> None:
        self._cached: dict[str, _CachedLoad] = {}

    def load_of(self, group: StatementGroup, tenant: str, now: float) -> HomeLoad | None:
        """Return how long units wait here; None while there is no wait.

        :param tenant: whose unit was answered; it stands for all tenants, as they are served in
            turn and wait about equally long
        """
        cached = self._cached.get(group.name)
        if cached is None or now - cached.at >= CACHE_TTL_S:
            cached = self._cached[group.name] = _CachedLoad(_compute_load(group, tenant), now)
        return cached.load


def _compute_load(group: StatementGroup, tenant: str) -> HomeLoad | None:
    primary = group.primary_pool()
    writes_ms = _waits_ms(primary, tenant) if primary is not None else ()
    ready = [pool for pool in group.pools.values() if pool.observed.is_ready]
    with_room = any(pool.has_room for pool in ready)
    reads_ms = () if with_room or not ready else min(_waits_ms(pool, tenant) for pool in ready)
    return HomeLoad(writes_ms, reads_ms) if writes_ms or reads_ms else None


def _waits_ms(pool: MemberPool, tenant: str) -> tuple[int, ...]:
    """Return the expected queueing time by priority; empty while the pool has room.

    The time to open a connection is not included: it is short, and another home proxy needs it too.
    """
    if pool.has_room:
        return ()
    waits = (pool.expected_wait_s(tenant, priority) for priority in range(PRIORITIES))
    return tuple(int(wait_s * MS_PER_S) for wait_s in waits)

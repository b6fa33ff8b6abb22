"""The controller's status pages: ``/metrics``, ``/livez`` and ``/readyz``."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import curio

from limedyke.controller.clock import boot_seconds
from limedyke.controller.leading.leader_service import LeaderService
from limedyke.controller.metrics import ControllerMetrics
from limedyke.controller.replica import Replica
from limedyke.core.agreement.commands import Role
from limedyke.messages.control import ProxyState
from limedyke.metrics import TrafficCounter, new_registry
from limedyke.transport.http_status import ReadyState, serve_status

REFRESH_S = 1.0


class StatusPages:
    """Serves the pages, and refreshes the gauges once a second.

    :param replica: gives the replica, or None before the cluster is founded
    :param leader: gives the leader service while this controller leads, else None
    """

    def __init__(
        self, replica: Callable[[], Replica | None], leader: Callable[[], LeaderService | None]
    ) -> None:
        self._replica = replica
        self._leader = leader
        self._registry = new_registry()
        self._traffic = (0, 0)
        self._changed_at = 0.0
        self._awaited_revision = 0
        self._is_awaiting = False
        self.metrics = ControllerMetrics(self._registry)
        self.traffic = TrafficCounter(self._registry)

    async def run(self, address: str) -> None:
        """Serve until cancelled.

        :raises StatusListenError: when the address cannot be bound
        """
        async with curio.TaskGroup(wait=any) as tasks:
            serving = await tasks.spawn(
                serve_status, address, self._registry, lambda: True, self._ready
            )
            await tasks.spawn(self._refresh)
        if serving.exception is not None:
            raise serving.exception

    def _ready(self) -> ReadyState:
        replica = self._replica()
        if replica is None:
            return ReadyState(False, "no cluster yet")
        if replica.storage_failure:
            return ReadyState(False, f"storage: {replica.storage_failure}")
        if replica.leads:
            return ReadyState(True, "leader")
        if replica.agreement.leader is None:
            return ReadyState(False, "no leader known")
        return ReadyState(True, f"follows {replica.agreement.leader.name}")

    async def _refresh(self) -> None:
        while True:
            await curio.sleep(REFRESH_S)
            replica = self._replica()
            if replica is None:
                continue
            self._refresh_agreement(replica)
            self._refresh_state(replica)
            leader = self._leader()
            awaiting = 0 if leader is None else leader.decisions.awaiting_positions_count
            self.metrics.groups_awaiting_positions.set(awaiting)
            if leader is not None:
                self._refresh_proxies(replica, leader)

    def _refresh_agreement(self, replica: Replica) -> None:
        agreement = replica.agreement
        for role in Role:
            self.metrics.role.labels(role.value).set(int(agreement.role is role))
        self.metrics.term.set(agreement.term)
        self.metrics.commit_index.set(replica.state.applied_index)

    def _refresh_state(self, replica: Replica) -> None:
        state = replica.state
        self.metrics.revision.set(state.revision)
        self.metrics.groups.set(len(state.declared.groups))
        self.metrics.tenants.set(len(state.declared.tenants))
        served = sum(bool(primary.primary) for primary in state.primaries.values())
        self.metrics.groups_without_primary.set(len(state.declared.groups) - served)

    def _refresh_proxies(self, replica: Replica, leader: LeaderService) -> None:
        records = replica.state.proxies
        states = Counter(record.state for record in records.values())
        for state in ProxyState:
            self.metrics.proxies.labels(state.value).set(states[state])
        sessions = [leader.decisions.membership.session(name) for name in records]
        linked = [session for session in sessions if session is not None and session.connected]
        behind = sum(session.revision < replica.state.revision for session in linked)
        self.metrics.proxies_connected.set(len(linked))
        self.metrics.proxies_behind.set(behind)
        self._observe_in_force(replica.state.revision, behind)
        self._count_traffic(leader)

    def _observe_in_force(self, revision: int, behind: int) -> None:
        """Measure how long it took, to the second, until all proxies had a new revision."""
        now = boot_seconds()
        if revision != self._awaited_revision:
            self._is_awaiting = self._awaited_revision > 0
            self._awaited_revision = revision
            self._changed_at = now
        elif self._is_awaiting and not behind:
            self._is_awaiting = False
            self.metrics.in_force_seconds.observe(now - self._changed_at)

    def _count_traffic(self, leader: LeaderService) -> None:
        """Add the bytes since the last refresh; links that have closed are left out."""
        present = leader.sessions.traffic()
        for direction, before, now in zip(("in", "out"), self._traffic, present, strict=True):
            self.metrics.proxy_bytes.labels(direction).inc(max(0, now - before))
        self._traffic = present

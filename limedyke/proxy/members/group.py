"""A group served by this proxy: its view, a gate per member and the health monitor."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio
from result import Err, Result

from limedyke.core.group_view import GroupView
from limedyke.core.home import budget_share
from limedyke.core.member_health import HealthTiming
from limedyke.messages.control import (
    GroupPrimary,
    MemberHealth,
    MemberReport,
    PromoteOrder,
    PromoteResult,
)
from limedyke.messages.declaration import Group
from limedyke.messages.work import LogPosition, WorkUnit
from limedyke.postgres.member_login import MemberCredentials
from limedyke.proxy.members.connection import MemberEndpoint
from limedyke.proxy.members.gate import MemberGate
from limedyke.proxy.members.monitor import MemberMonitor
from limedyke.proxy.members.probe import MemberProbe
from limedyke.proxy.members.promotion_executor import PromotionExecutor
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets

MS_PER_S = 1_000.0


class BackendGroup:
    """One group: its view, the gates to its members, and their health monitor.

    :param report: sends member reports of the monitor to the controllers
    :param on_unreachable: called with the endpoint of a member that became unreachable
    """

    def __init__(
        self,
        group: Group,
        primary: GroupPrimary | None,
        settings: ProxySettings,
        secrets: Secrets,
        report: Callable[[MemberReport], Awaitable[None]],
        on_unreachable: Callable[[MemberEndpoint], None],
    ) -> None:
        self.declared = group
        self.view = GroupView(group, primary)
        self.gates: dict[str, MemberGate] = {}
        self._settings = settings
        self._secrets = secrets
        self._on_unreachable = on_unreachable
        self._leases: dict[str, int] = {}
        self._changed = curio.Event()
        timing = HealthTiming(
            settings.probe_interval_ms / MS_PER_S,
            settings.replica_probe_interval_ms / MS_PER_S,
            settings.probe_timeout_ms / MS_PER_S,
        )
        self._monitor = MemberMonitor(self.view, timing, report, self._health_changed)
        self._is_home = False
        self._homes: tuple[str, ...] = ()
        self._make_gates()

    @property
    def name(self) -> str:
        """The group's name."""
        return self.declared.name

    def holds_lease(self, tenant: str) -> bool:
        """Return whether this proxy may connect to the members for a tenant."""
        return self._leases.get(tenant, 0) > 0

    def may_serve(self, tenant: str) -> bool:
        """Return whether this proxy can serve new units of a tenant itself."""
        return self._is_home and self.holds_lease(tenant)

    @property
    def holds_leases_or_connections(self) -> bool:
        """Whether this proxy holds a lease or a connection of the group."""
        pools = (pool for gate in self.gates.values() for pool in gate.pools.values())
        return bool(self._leases) or any(pool.size for pool in pools)

    async def declare(
        self, group: Group, primary: GroupPrimary | None, homes: tuple[str, ...]
    ) -> None:
        """Apply a declaration, the recorded primary and the home proxies."""
        before = set(self.gates)
        old_primary = self.view.primary
        declared_anew = group is not self.declared
        self.declared = group
        changed = self.view.declare(group, primary)
        removed = self._make_gates()
        for gate in removed:
            await self._close_gate(gate)
        if changed and old_primary in self.gates and old_primary != self.view.primary:
            await self._leave_primary(self.gates[old_primary])
        is_home = self._settings.name in homes
        homes_changed, self._homes = homes != self._homes, homes
        if declared_anew or is_home != self._is_home:
            self._is_home = is_home
            await self._watch()
        if changed or declared_anew or homes_changed or before != set(self.gates):
            await self._apply_limits()
        if changed or declared_anew:
            await self._announce_change()

    def _make_gates(self) -> list[MemberGate]:
        """Create missing gates; return the gates of members that were removed."""
        removed = [gate for name, gate in self.gates.items() if not self._is_current(name, gate)]
        for gate in removed:
            del self.gates[gate.endpoint.name]
        for member in self.declared.members:
            if member.name not in self.gates:
                endpoint = MemberEndpoint(member.name, member.address, self._settings.source_ip)
                state = self.view.members[member.name]
                self.gates[member.name] = MemberGate(endpoint, state, self._on_connection_trouble)
        for gate in self.gates.values():
            gate.state = self.view.members[gate.endpoint.name]
            self._add_tenants(gate)
        return removed

    def _is_current(self, name: str, gate: MemberGate) -> bool:
        state = self.view.members.get(name)
        return state is not None and state.address == gate.endpoint.address

    def _add_tenants(self, gate: MemberGate) -> None:
        for access in self.declared.access:
            password = self._secrets.get(access.secret) or ""
            credentials = MemberCredentials(access.backend_user, access.database, password)
            gate.add_tenant(access.tenant, credentials, access.weight)

    async def _close_gate(self, gate: MemberGate) -> None:
        await gate.fail_waiting(Failure(ResultCode.NO_MEMBER, "member was removed"))
        await gate.set_limits(1, {})

    async def _leave_primary(self, gate: MemberGate) -> None:
        """Fail the requests queued for a replaced primary.

        Its connections are shut down if it is unreachable or this is no home proxy any more.
        """
        await gate.fail_waiting(Failure(ResultCode.NO_MEMBER, "primary was replaced"))
        if gate.state.health is MemberHealth.UNREACHABLE or not self._is_home:
            gate.shut_all()

    # Health monitoring

    async def _watch(self) -> None:
        await self._monitor.watch(self.make_probes() if self._is_home else {})

    def make_probes(self) -> dict[str, MemberProbe]:
        """Return a new probe for each member."""
        password = self._secrets.get(self.declared.admin_secret) or ""
        timeout_s = 2 * self._settings.probe_timeout_ms / MS_PER_S
        return {
            name: MemberProbe(gate.endpoint, password, timeout_s)
            for name, gate in self.gates.items()
        }

    async def _health_changed(self, name: str, health: MemberHealth) -> None:
        gate = self.gates.get(name)
        if gate is not None and health is MemberHealth.UNREACHABLE:
            self._on_unreachable(gate.endpoint)
            await gate.fail_waiting(Failure(ResultCode.NO_MEMBER, "member is unreachable"))
            if name != self.view.primary:
                gate.shut_all()
        await self._announce_change()

    async def _on_connection_trouble(self, name: str) -> None:
        await self._monitor.request_failed(name)

    async def probe_stalled_members(self) -> None:
        """Probe each member whose requests get no answers."""
        await self._monitor.probe_stalled_members()

    async def confirm_primary(self, deadline_at: float) -> Result[LogPosition, Failure]:
        """Return the primary's current position after a majority confirmed its leadership.

        While no primary can be confirmed, this waits for a promotion until ``deadline_at``.  A
        proxy that is not a home proxy monitors no members and returns NO_MEMBER at once.
        """
        while True:
            if not self._is_home:
                return Err(Failure(ResultCode.NO_MEMBER, "not a home proxy of the group"))
            confirmed = await self._monitor.confirm_primary()
            if not isinstance(confirmed, Err) or not await self.wait_change(deadline_at):
                return confirmed

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Carry out a promotion order."""
        probes = self._monitor.probes() or self.make_probes()
        return await PromotionExecutor(self._settings.name, probes).run(order)

    # Leases and slots

    async def set_leases(self, leases: dict[str, int]) -> None:
        """Apply the leases held for this group: number of connections by tenant."""
        if leases != self._leases:
            self._leases = leases
            await self._apply_limits()
            await self._announce_change()

    async def _apply_limits(self) -> None:
        slots = self.slot_share()
        for name, gate in self.gates.items():
            leaves = gate.state.leaving and name != self.view.primary
            await gate.set_limits(slots, {} if leaves else self._leases)

    def slot_share(self) -> int:
        """Return this proxy's share of the group's slots, at least 1.

        The shares of all home proxies add up to the slots of the group.  With fewer slots than
        home proxies the sum is larger; the member then queues the excess statements itself.
        """
        return max(1, budget_share(self.declared.slots, self._homes, self._settings.name))

    def connections_held(self, tenant: str) -> int:
        """Return the largest number of connections of a tenant from this proxy to one member."""
        pools = [gate.pools[tenant] for gate in self.gates.values() if tenant in gate.pools]
        return max((pool.size for pool in pools), default=0)

    # Waiting for changes

    async def _announce_change(self) -> None:
        """Wake all tasks that wait for a change of the group."""
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def wait_change(self, deadline_at: float) -> bool:
        """Wait for a change of the group; return False if the deadline passed first."""
        left = deadline_at - time.monotonic()
        if left <= 0:
            return False
        await curio.ignore_after(left, self._changed.wait)
        return time.monotonic() < deadline_at

    async def cancel_wait(self, unit: WorkUnit) -> None:
        """Cancel a unit's wait for a slot or a primary."""
        for gate in self.gates.values():
            await gate.cancel(unit)
        await self._announce_change()

    async def check(self) -> None:
        """Check idle connections."""
        for gate in list(self.gates.values()):
            await gate.check()

    def shut_all(self) -> None:
        """Shut down every connection to the members."""
        for gate in self.gates.values():
            gate.shut_all()

    async def close(self) -> None:
        """Stop monitoring, fail queued requests and shut down all connections."""
        await self._monitor.close()
        for gate in self.gates.values():
            await self._close_gate(gate)
        self.shut_all()

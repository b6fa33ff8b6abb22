"""Admission control for one member: statement slots, the request queue and tenant pools."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
from result import Err, Ok, Result

from limedyke.core.group_view import MemberState
from limedyke.core.queueing.queue_answer import QueueDrain, Refused
from limedyke.core.queueing.queued_request import NEVER, QueuedRequest
from limedyke.core.queueing.recent_pace import RecentPace
from limedyke.core.queueing.request_queue import RequestQueue
from limedyke.core.queueing.retry_schedule import RetrySchedule
from limedyke.core.slot_use import SlotUse
from limedyke.messages.work import SessionSetting, WorkUnit
from limedyke.postgres.member_login import MemberCredentials
from limedyke.proxy.members.connection import BackendConnection, MemberEndpoint
from limedyke.proxy.members.pool import BackendPool, ConnectLimit
from limedyke.result_codes import Failure, ResultCode

QUEUE_WAIT_LIMIT_S = 3.0
LATE_CHECK_INTERVAL_S = 0.02
"""Minimum time between two checks for queued requests that can no longer be served in time."""
MS_PER_S = 1_000.0


@dataclass(slots=True, eq=False)
class Grant:
    """A granted slot, with a connection unless the request already has one."""

    request: QueuedRequest
    connection: BackendConnection | None
    started_at: float


class _Waiter(QueuedRequest):
    """A queued request, with the event that wakes its waiting task."""

    __slots__ = ("event", "failure", "grant", "settings")

    def __init__(self, request: QueuedRequest, settings: tuple[SessionSetting, ...]) -> None:
        super().__init__(
            request.tenant, request.priority, request.arrived_at, NEVER, request.deadline_at
        )
        self.settings = settings
        self.event = curio.Event()
        self.grant: Grant | None = None
        self.failure: Failure | None = None


class MemberGate:
    """Admits units to one member.

    :param state: the member's state in the group view; this class updates its load counts
    :param on_trouble: called with the member's name when a connection broke or was refused
    """

    def __init__(
        self,
        endpoint: MemberEndpoint,
        state: MemberState,
        on_trouble: Callable[[str], Awaitable[None]],
    ) -> None:
        self.endpoint = endpoint
        self.slot_use = SlotUse(state)
        self.pools: dict[str, BackendPool] = {}
        self._on_trouble = on_trouble
        self._queue = RequestQueue()
        self._pace = RecentPace()
        self._retry_schedule = RetrySchedule()
        self._next_late_check_at = 0.0
        self._waiters: dict[int, _Waiter] = {}
        self._connect_limit = ConnectLimit()

    @property
    def state(self) -> MemberState:
        """The member's state in the group view."""
        return self.slot_use.state

    @state.setter
    def state(self, state: MemberState) -> None:
        self.slot_use.state = state

    def add_tenant(self, tenant: str, credentials: MemberCredentials, weight: int) -> None:
        """Set a tenant's weight and create its pool, with limit 0, if it has none."""
        self._queue.set_weight(tenant, weight)
        if tenant in self.pools:
            return

        async def on_ready(failure: Failure | None) -> None:
            await self._pool_changed(tenant, failure)

        pool = BackendPool(self.endpoint, credentials, self._connect_limit, on_ready)
        self.pools[tenant] = pool

    async def remove_tenant(self, tenant: str) -> None:
        """Remove a tenant; its connections close as they become idle."""
        pool = self.pools.pop(tenant, None)
        if pool is None:
            return
        await self._fail(self._queue.drain_tenant(tenant), Failure(ResultCode.NO_MEMBER))
        await pool.drain()

    async def acquire(self, unit: WorkUnit, deadline_at: float) -> Result[Grant, Failure]:
        """Wait for a slot and a connection of the unit's tenant."""
        now = time.monotonic()
        time_left = min(deadline_at - now, QUEUE_WAIT_LIMIT_S)
        request = QueuedRequest(unit.tenant, unit.priority, now, NEVER, now + time_left)
        pool = self.pools.get(unit.tenant)
        if pool is None or pool.limit == 0:
            return Err(Failure(ResultCode.NO_MEMBER, f"no lease for {self.endpoint.name}"))
        if self.slot_use.may_start(unit.tenant, now) and self._queue.waiting(unit.tenant) == 0:
            connection = pool.getconn(unit.settings)
            if connection is not None:
                return Ok(self._grant(request, connection, now))
        reconnect_delay_s = pool.reconnect_delay_s(now)
        if reconnect_delay_s > 0.0:
            detail = f"{self.endpoint.name} accepts no connections"
            return Err(
                Failure(ResultCode.NO_MEMBER, detail, math.ceil(reconnect_delay_s * MS_PER_S))
            )
        waiter = _Waiter(request, unit.settings)
        if not self._queue:
            self._pace.start(now)
        answer = self._queue.push(waiter, now, self._drain(pool.limit))
        if isinstance(answer, Refused):
            return Err(self._over_budget(unit.priority, answer))
        return await self._wait(unit, waiter, time_left)

    def take_slot(self, unit: WorkUnit) -> Grant:
        """Take a slot for a unit of an open transaction, even above this proxy's share.

        The transaction may hold locks that the running units wait for; making it wait for a slot
        would block all writes of the member.  Connection leases bound the number of such units.
        """
        return self._grant(QueuedRequest(unit.tenant, unit.priority, 0.0), None, time.monotonic())

    async def release(self, grant: Grant, keep_connection: bool = False) -> None:
        """Release the slot, and return the connection unless a transaction keeps it."""
        tenant = grant.request.tenant
        now = time.monotonic()
        used_s = now - grant.started_at
        self._queue.finished(grant.request, used_s)
        self.slot_use.finished(tenant, used_s, now)
        if grant.connection is not None and not keep_connection:
            await self.return_connection(tenant, grant.connection)
        elif self._queue:
            await self._dispatch()

    async def return_connection(self, tenant: str, connection: BackendConnection) -> None:
        """Return a connection to its pool; close it if the pool was removed."""
        if connection.broken:
            await self._on_trouble(self.endpoint.name)
        pool = self.pools.get(tenant)
        if pool is None:
            await connection.close()
        else:
            await pool.putconn(connection)
        if self._queue:
            await self._dispatch()

    async def set_limits(self, slots: int, leases: dict[str, int]) -> None:
        """Apply new slots and leases; tenants without a lease get limit 0."""
        self.slot_use.set_slots(slots)
        for tenant, pool in list(self.pools.items()):
            await pool.set_limit(leases.get(tenant, 0))
            if pool.limit == 0:
                failure = Failure(ResultCode.NO_MEMBER, "lease ended")
                await self._fail(self._queue.drain_tenant(tenant), failure)
        await self._dispatch()

    async def fail_waiting(self, failure: Failure) -> None:
        """Fail all queued requests."""
        await self._fail(self._queue.drain(), failure)

    def shut_all(self) -> None:
        """Shut down every connection to the member."""
        for pool in self.pools.values():
            pool.shut_all()

    async def check(self) -> None:
        """Check the idle connections of all pools."""
        for pool in list(self.pools.values()):
            await pool.check()

    def _drain(self, connections: int) -> QueueDrain:
        """Return the rate at which the queue drains for a tenant with ``connections``."""
        slots = max(1.0, float(self.state.in_flight_limit))
        return QueueDrain(slots, connections, least_gap_s=self._pace.gap_s)

    def _grant(
        self, request: QueuedRequest, connection: BackendConnection | None, now: float
    ) -> Grant:
        self._queue.started(request)
        return self._start_unit(request, connection, now)

    def _start_unit(
        self, request: QueuedRequest, connection: BackendConnection | None, now: float
    ) -> Grant:
        self.slot_use.started(request.tenant, now)
        if connection is not None and connection.round_trip_s:
            self.state.answered_in(connection.round_trip_s)
            connection.round_trip_s = 0.0
        return Grant(request, connection, now)

    async def cancel(self, unit: WorkUnit) -> None:
        """Cancel a unit's wait if it is queued."""
        waiter = self._waiters.get(id(unit))
        if waiter is not None and waiter.grant is None and self._queue.remove(waiter):
            await self._fail([waiter], Failure(ResultCode.CANCELLED))

    async def _wait(
        self, unit: WorkUnit, waiter: _Waiter, time_left: float
    ) -> Result[Grant, Failure]:
        self._waiters[id(unit)] = waiter
        try:
            return await self._wait_for(waiter, time_left)
        finally:
            del self._waiters[id(unit)]

    async def _wait_for(self, waiter: _Waiter, time_left: float) -> Result[Grant, Failure]:
        self.state.waiting = len(self._queue)
        await self._dispatch()
        try:
            async with curio.timeout_after(max(0.0, time_left)):
                await waiter.event.wait()
        except curio.TaskTimeout:
            pass
        except BaseException:
            await self._forget(waiter)
            raise
        if waiter.grant is not None:
            return Ok(waiter.grant)
        if waiter.failure is not None:
            return Err(waiter.failure)
        self._queue.remove(waiter)
        self.state.waiting = len(self._queue)
        return Err(self._queue_timeout(waiter))

    def _queue_timeout(self, waiter: _Waiter) -> Failure:
        pool = self.pools.get(waiter.tenant)
        after = 0
        if pool is not None:
            drain = self._drain(pool.limit)
            wait_s = self._queue.expected_wait_s(waiter, time.monotonic(), drain)
            after = self._retry_after_ms(waiter.priority, wait_s / 2)
        return Failure(ResultCode.QUEUE_TIMEOUT, "", after)

    async def _forget(self, waiter: _Waiter) -> None:
        """Dequeue the request of a cancelled task, or release what it was granted."""
        if waiter.grant is not None:
            await self.release(waiter.grant)
        elif self._queue.remove(waiter):
            self.state.waiting = len(self._queue)

    async def _dispatch(self) -> None:
        """Grant slots and connections to waiting requests, in the queue's order."""
        now = time.monotonic()
        while self.slot_use.has_room(now):
            waiter = self._queue.pop(now, lambda tenant: self._eligible(tenant, now))
            if not isinstance(waiter, _Waiter):
                break
            connection = self.pools[waiter.tenant].getconn(waiter.settings)
            if connection is None:
                self._queue.finished(waiter, 0.0)
                self._queue.place(waiter, now)
                continue
            self._pace.turn(now)
            waiter.grant = self._start_unit(waiter, connection, now)
            await waiter.event.set()
        await self._refuse_late_waiters(now)
        self.state.waiting = len(self._queue)
        await self._demand()

    async def _refuse_late_waiters(self, now: float) -> None:
        """Refuse queued requests that can no longer be served before their deadline."""
        if not self._queue or now < self._next_late_check_at:
            return
        self._next_late_check_at = now + LATE_CHECK_INTERVAL_S
        for waiter, refused in self._queue.expire(now, self._drain(0)):
            await self._fail([waiter], self._over_budget(waiter.priority, refused))

    def _eligible(self, tenant: str, now: float) -> bool:
        pool = self.pools.get(tenant)
        return pool is not None and pool.has_idle and self.slot_use.may_start(tenant, now)

    async def _demand(self) -> None:
        for tenant in self._queue.waiting_tenants():
            pool = self.pools.get(tenant)
            if pool is not None:
                await pool.demand(self._queue.waiting(tenant))

    async def _pool_changed(self, tenant: str, failure: Failure | None) -> None:
        pool = self.pools.get(tenant)
        if failure is not None:
            await self._on_trouble(self.endpoint.name)
        if failure is not None and pool is not None and pool.size == 0:
            await self._fail(self._queue.drain_tenant(tenant), failure)
        await self._dispatch()

    async def _fail(self, requests: list[QueuedRequest], failure: Failure) -> None:
        for request in requests:
            if isinstance(request, _Waiter):
                request.failure = failure
                await request.event.set()
        self.state.waiting = len(self._queue)

    def _over_budget(self, priority: int, refused: Refused) -> Failure:
        """Return the failure for a unit that is refused a place in the queue or removed from it."""
        retry_after_ms = self._retry_after_ms(priority, refused.retry_after_ms / MS_PER_S)
        return Failure(ResultCode.OVER_BUDGET, "", retry_after_ms)

    def _retry_after_ms(self, priority: int, ready_in_s: float) -> int:
        """Return when a refused caller should retry, and reserve that time for it."""
        gap_s = self._queue.usual_cost_s / max(1, self.state.in_flight_limit)
        now = time.monotonic()
        return math.ceil(
            MS_PER_S * self._retry_schedule.retry_after_s(priority, ready_in_s, now, gap_s)
        )

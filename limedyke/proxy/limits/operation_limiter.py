"""Lets operations of tenants with a limit run, as the leading controller grants them."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import curio

from limedyke.core.limits.operation_allowance import OperationAllowance
from limedyke.event_log import EventLog
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import (
    OperationDemand,
    OperationGrant,
    OperationsGranted,
    OperationsWanted,
)

SEND_PAUSE_S = 0.02
"""What comes within so long is asked for together: at most 50 messages a second to the leader."""
ANSWER_LIMIT_S = 0.3
"""An answer takes 0.18 s over two regions, and a loaded machine pauses for 0.1 s; then the
operation runs out of the reserve."""
UNANSWERED_PAUSE_S = 0.2
"""A leader that gave no answer is asked again so often, without anybody waiting for it."""
SECONDS_PER_MINUTE = 60
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 5.0
EVENTS = EventLog("limits")


@dataclass(frozen=True, slots=True)
class OverLimit:
    """The operation may not run now.

    :param retry_after_s: when another may
    :param detail: why, without secrets
    """

    retry_after_s: float
    detail: str


@dataclass(slots=True, eq=False)
class _Waiter:
    """An operation that waits to run; ``number`` is that of the message that asks for it."""

    number: int
    over: OverLimit | None = None
    answered: curio.Event = field(default_factory=curio.Event)


class OperationLimiter:
    """Admits operations, and asks the leader for what it may admit.

    :param tenants: returns the declared tenants by name
    :param send: sends to the leader; tells whether one is linked
    :param alone_until: returns until when operations may run without the leader, seconds of the
        monotonic clock: it counts them no longer
    """

    def __init__(
        self,
        tenants: Callable[[], Mapping[str, Tenant]],
        send: Callable[[OperationsWanted], Awaitable[bool]],
        alone_until: Callable[[], float],
    ) -> None:
        self._alone_until = alone_until
        self._tenants = tenants
        self._send = send
        self._allowances: dict[str, OperationAllowance] = {}
        self._waiting: dict[str, list[_Waiter]] = {}
        self._unasked: dict[str, int] = {}
        self._number = 0
        self._is_answering = True
        self._asked_at = float("-inf")
        self._has_unasked = curio.Event()

    async def admit(self, tenant: str) -> OverLimit | None:
        """Wait until an operation of a tenant may run; return why it may not, if so."""
        declared = self._tenants().get(tenant)
        if declared is None or declared.operations_per_minute == 0:
            return None
        now = time.monotonic()
        allowance = self._allowances.setdefault(tenant, OperationAllowance())
        allowance.came(now)
        if allowance.take(now):
            return None
        if not self._is_answering:
            await self._ask_again(now)
            return self._run_alone(allowance)
        return await self._ask(tenant, allowance)

    def give_back(self, tenant: str) -> None:
        """Take back an operation that was admitted and surely did not run."""
        allowance = self._allowances.get(tenant)
        if allowance is not None:
            allowance.add(1, time.monotonic())

    async def granted(self, message: OperationsGranted) -> None:
        """Take the leader's answer."""
        if not self._is_answering:
            EVENTS.info("limits-asked-again", number=message.number)
        self._is_answering = True
        for grant in message.grants:
            await self._take_grant(message.number, grant)

    async def run(self) -> None:
        """Ask the leader for what is wanted, until cancelled."""
        while True:
            await self._has_unasked.wait()
            self._has_unasked.clear()
            await self._send_wanted()
            await curio.sleep(SEND_PAUSE_S)

    async def _ask(self, tenant: str, allowance: OperationAllowance) -> OverLimit | None:
        """Have an operation asked for, and wait for the answer."""
        waiter = _Waiter(self._number + 1)
        waiting = self._waiting.setdefault(tenant, [])
        waiting.append(waiter)
        self._unasked[tenant] = self._unasked.get(tenant, 0) + 1
        await self._has_unasked.set()
        try:
            async with curio.timeout_after(ANSWER_LIMIT_S):
                await waiter.answered.wait()
        except curio.TaskTimeout:
            self._stop_asking()
            return self._run_alone(allowance)
        finally:
            if waiter in waiting:
                waiting.remove(waiter)
        return waiter.over

    async def _send_wanted(self) -> None:
        self._number += 1
        now = time.monotonic()
        self._asked_at = now
        demands = tuple(
            OperationDemand(tenant, count, self._allowances[tenant].ahead(now))
            for tenant, count in self._unasked.items()
        )
        self._unasked.clear()
        if not await self._send(OperationsWanted(self._number, demands)):
            self._stop_asking()
            await self._release_waiting()

    def _stop_asking(self) -> None:
        if self._is_answering:
            EVENTS.warning("limits-not-answered", number=self._number)
        self._is_answering = False

    async def _release_waiting(self) -> None:
        """Have all that wait for an answer run out of the reserve: no leader is linked."""
        for tenant, waiting in self._waiting.items():
            for waiter in waiting:
                waiter.over = self._run_alone(self._allowances[tenant])
                await waiter.answered.set()
            waiting.clear()

    async def _ask_again(self, now: float) -> None:
        """Ask for nothing, from time to time, to see whether the leader answers again."""
        if now - self._asked_at > UNANSWERED_PAUSE_S:
            await self._has_unasked.set()

    def _run_alone(self, allowance: OperationAllowance) -> OverLimit | None:
        """Admit an operation without the leader, as far as the reserve goes."""
        now = time.monotonic()
        if now >= self._alone_until():
            return OverLimit(LEAST_RETRY_S, "no controller has answered for too long")
        if allowance.take_reserve(now):
            return None
        detail = "the tenant's share of this proxy is used up, and no controller answers"
        return OverLimit(_bounded(allowance.retry_after_s()), detail)

    async def _take_grant(self, number: int, grant: OperationGrant) -> None:
        """Let those run that were asked for by this message, in their order."""
        allowance = self._allowances[grant.tenant]
        alone_rate = grant.alone_per_minute / SECONDS_PER_MINUTE
        allowance.granted(grant.operations, alone_rate, time.monotonic())
        left = grant.operations
        waiting = self._waiting.get(grant.tenant, [])
        for waiter in [waiter for waiter in waiting if waiter.number <= number]:
            waiting.remove(waiter)
            if left:
                left -= 1
            else:
                retry_after_s = _bounded(grant.retry_after_ms / 1_000)
                waiter.over = OverLimit(retry_after_s, "the tenant's limit is used up")
            await waiter.answered.set()
        allowance.add(left, time.monotonic())


def _bounded(retry_after_s: float) -> float:
    return min(max(retry_after_s, LEAST_RETRY_S), MOST_RETRY_S)

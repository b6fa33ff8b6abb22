"""Lets operations of tenants with a limit run, as the leading controller grants them."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import curio
from prometheus_client import CollectorRegistry

from limedyke.core.limits.operation_allowance import FEW_PROXIES, OperationAllowance
from limedyke.core.limits.token_queue import TokenQueue, TokenWaiter
from limedyke.core.statements.time_estimate import TimeEstimate
from limedyke.event_log import EventLog
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import (
    OperationDemand,
    OperationGrant,
    OperationReport,
    OperationsGranted,
    OperationsOfPriority,
    OperationsRequest,
    RetryTime,
)
from limedyke.proxy.limits.limit_log import LimitLog
from limedyke.proxy.limits.limit_metrics import LimitMetrics, Refused

SEND_PAUSE_S = 0.02
"""What comes within so long is asked for together: at most 50 messages a second to the leader."""
ANSWER_LIMIT_S = 0.3
"""Longer than a round trip between distant regions and a short pause of the leader; then the
operation runs out of the reserve."""
FIRST_ANSWER_S = 0.05
"""How long an answer is taken to last before one was seen."""
UNANSWERED_PAUSE_S = 0.2
"""A leader that gave no answer is asked again so often, without anybody waiting for it."""
YOUNG_S = 10.0
"""A process that has run for less tells a new leader so, even if it ran nothing for anyone: what
was in its place before has surely ended."""
WAIT_STEP_MS = 50
"""Times to wait are told rounded down to this, so that operations of one kind count as one."""
MS_PER_S = 1_000
LEAST_RETRY_S = 0.02
MOST_RETRY_S = 5.0
LEAST_WAIT_S = 0.001
UNKNOWN_COUNT = 1_000_000
"""Stands for any number of proxies."""
EVENTS = EventLog("limits")


@dataclass(frozen=True, slots=True)
class OverLimit:
    """The operation may not run now.

    :param retry_after_s: when another may
    :param detail: why, without secrets
    """

    retry_after_s: float
    detail: str


DETAILS = {
    Refused.USED_UP: "the tenant's limit is used up",
    Refused.DISPLACED: "the tenant's limit is used up by more urgent operations",
    Refused.ALONE_USED_UP: "the tenant's share of this proxy is used up, and no controller answers",
    Refused.ALONE_TOO_LONG: "no controller has answered for too long",
}


@dataclass(slots=True, eq=False)
class _Waiter(TokenWaiter):
    """An operation that waits to run.

    :param tenant: whose it is
    :param request: its id, for the log
    :param began_at: when it came
    :ivar told_due: the moment of its token that it knows of
    :ivar was_promised: its token was to come later
    :ivar over: why it may not run
    """

    tenant: str = ""
    request: str = ""
    began_at: float = 0.0
    told_due: float | None = None
    was_promised: bool = False
    over: OverLimit | None = None
    changed: curio.Event = field(default_factory=curio.Event)


class OperationLimiter:
    """Admits operations, and asks the leader for what it may admit.

    :param tenants: returns the declared tenants by name
    :param send: sends to the leader; tells whether one is linked
    :param alone_until: returns until when operations may run without the leader, seconds of the
        monotonic clock: it counts them no longer
    :param serving: returns how many proxies run operations

    :ivar metrics: counts who waited and who was refused
    """

    def __init__(
        self,
        tenants: Callable[[], Mapping[str, Tenant]],
        send: Callable[[OperationsRequest], Awaitable[bool]],
        alone_until: Callable[[], float],
        serving: Callable[[], int] = lambda: UNKNOWN_COUNT,
    ) -> None:
        self.metrics = LimitMetrics(CollectorRegistry())
        self._log = LimitLog(time.monotonic())
        self._alone_until = alone_until
        self._serving = serving
        self._tenants = tenants
        self._send = send
        self._allowances: dict[str, OperationAllowance] = {}
        self._queues: dict[str, TokenQueue] = {}
        self._unasked: dict[str, list[_Waiter]] = {}
        self._number = 0
        self._is_answering = True
        self._is_report_due = False
        self._began_at = time.monotonic()
        self._asked_at = float("-inf")
        self._answer_time = TimeEstimate(FIRST_ANSWER_S, FIRST_ANSWER_S / 2)
        self._has_unasked = curio.Event()

    async def admit(
        self, tenant: str, priority: int = 0, target_at: float | None = None, request: str = ""
    ) -> OverLimit | None:
        """Wait until an operation of a tenant may run; return why it may not, if so.

        :param priority: 0 goes first
        :param target_at: until when it may wait for a token, seconds of the monotonic clock; None
            for as long as is declared for the tenant
        :param request: its id, for the log
        """
        declared = self._tenants().get(tenant)
        if declared is None or declared.operations_per_minute == 0:
            return None
        now = time.monotonic()
        allowance = self._allowances.setdefault(tenant, OperationAllowance())
        queue = self._queues.setdefault(tenant, TokenQueue())
        allowance.came(now)
        if allowance.take(now) or queue.take_spare(now):
            return None
        until = target_at
        if until is None:
            until = now + declared.operation_wait_ms / MS_PER_S
        waiter = _Waiter(priority, until, self._number + 1, tenant=tenant, request=request)
        waiter.began_at = now
        queue.add(waiter, now)
        try:
            await self._ask(waiter)
            over = await self._wait(waiter, queue)
        except curio.CancelledError:
            self.metrics.given_back(priority)
            raise
        finally:
            queue.remove(waiter, time.monotonic())
            await self._tell_changes(queue)
        if over is None:
            self._ran(waiter)
        return over

    async def give_back(self, tenant: str, priority: int = 0) -> None:
        """Take back an operation that was admitted and surely did not run."""
        allowance = self._allowances.get(tenant)
        if allowance is None:
            return
        self.metrics.given_back(priority)
        now = time.monotonic()
        queue = self._queues[tenant]
        if not len(queue):
            allowance.add(1, now)
            return
        queue.add_tokens([now], now)
        await self._tell_changes(queue)

    async def granted(self, message: OperationsGranted) -> None:
        """Take the leader's answer."""
        if not self._is_answering:
            EVENTS.info("limits-asked-again", number=message.number)
        self._is_answering = True
        if message.number == self._number:
            self._answer_time.learn(time.monotonic() - self._asked_at)
        for grant in message.grants:
            await self._take_grant(message.number, grant)

    async def link_opened(self) -> None:
        """Tell the leader of a new link what was run lately: it may not be the one before."""
        self._is_report_due = True
        now = time.monotonic()
        is_young = now - self._began_at < YOUNG_S
        if is_young or self._reports(now):
            await self._has_unasked.set()

    async def run(self) -> None:
        """Ask the leader for what is wanted, until cancelled."""
        while True:
            await self._has_unasked.wait()
            self._has_unasked.clear()
            await self._send_wanted()
            await curio.sleep(SEND_PAUSE_S)

    async def _ask(self, waiter: _Waiter) -> None:
        """Have a token asked for; without a leader that answers, decide here."""
        if self._is_answering:
            self._unasked.setdefault(waiter.tenant, []).append(waiter)
            await self._has_unasked.set()
            return
        if waiter.began_at - self._asked_at > UNANSWERED_PAUSE_S:
            await self._has_unasked.set()
        await self._answer_alone(waiter)

    async def _wait(self, waiter: _Waiter, queue: TokenQueue) -> OverLimit | None:
        """Wait until an operation's token has come, or it is refused."""
        while waiter.over is None:
            now = time.monotonic()
            if queue.take(waiter, now):
                break
            until = waiter.due
            if until is None:
                until = waiter.began_at + ANSWER_LIMIT_S
                if now >= until:
                    self._stop_asking()
                    await self._answer_alone(waiter)
                    continue
            waiter.changed.clear()
            async with curio.ignore_after(max(LEAST_WAIT_S, until - now)):
                await waiter.changed.wait()
        return waiter.over

    async def _send_wanted(self) -> None:
        self._number += 1
        now = time.monotonic()
        self._asked_at = now
        unasked, self._unasked = self._unasked, {}
        demands = tuple(self._demand(tenant, unasked[tenant], now) for tenant in unasked)
        reports = self._reports(now) if self._is_report_due else ()
        running_ms = int((now - self._began_at) * MS_PER_S) if self._is_report_due else 0
        if await self._send(OperationsRequest(self._number, demands, reports, running_ms)):
            self._is_report_due = False
        else:
            self._stop_asking()
            await self._release_waiting()

    def _reports(self, now: float) -> tuple[OperationReport, ...]:
        """Return what was run lately for each tenant, for a leader that may not know it."""
        each = (allowance.reports(tenant, now) for tenant, allowance in self._allowances.items())
        return tuple(report for reports in each for report in reports)

    def _demand(self, tenant: str, waiters: list[_Waiter], now: float) -> OperationDemand:
        """Return what is wanted for a tenant: for those that still wait, and ahead."""
        present = self._queues[tenant].waiters
        waiting = [waiter for waiter in waiters if waiter in present]
        counts = Counter((waiter.priority, self._wait_ms(waiter, now)) for waiter in waiting)
        by_priority = tuple(
            OperationsOfPriority(priority, count, wait_ms)
            for (priority, wait_ms), count in sorted(counts.items())
        )
        ahead = self._allowances[tenant].ahead(now)
        return OperationDemand(tenant, len(waiting), ahead, by_priority)

    def _wait_ms(self, waiter: _Waiter, now: float) -> int:
        """Return for how long an operation can wait after the leader's answer."""
        left_s = waiter.target_at - now - self._answer_time.usual_s
        return max(0, int(left_s * MS_PER_S) // WAIT_STEP_MS * WAIT_STEP_MS)

    def _stop_asking(self) -> None:
        if self._is_answering:
            EVENTS.warning("limits-not-answered", number=self._number)
        self._is_answering = False

    async def _release_waiting(self) -> None:
        """Decide here for all that wait for an answer: no leader is linked."""
        for queue in self._queues.values():
            for waiter in queue.waiters:
                if not waiter.is_answered:
                    await self._answer_alone(waiter)

    async def _answer_alone(self, waiter: _Waiter) -> None:
        """Let an operation run without the leader, now or soon, as far as the reserve goes."""
        now = time.monotonic()
        queue = self._queues[waiter.tenant]
        allowance = self._allowances[waiter.tenant]
        waiter.is_answered = True
        alone_until = self._alone_until()
        if now >= alone_until:
            self._refuse(waiter, Refused.ALONE_TOO_LONG, LEAST_RETRY_S)
            return
        wait_s = min(waiter.target_at, alone_until) - now
        is_one_of_few = self._serving() <= FEW_PROXIES
        in_s: float | None = 0.0
        if not allowance.take_reserve(now, is_one_of_few):
            in_s = allowance.promise_reserve(wait_s, now)
        refused = queue.add_tokens([] if in_s is None else [now + in_s], now)
        for other in refused:
            self._refuse(other, Refused.ALONE_USED_UP, allowance.retry_after_s(now))
        await self._tell_changes(queue, refused)

    async def _take_grant(self, number: int, grant: OperationGrant) -> None:
        """Let those run that were asked for by this message, the most urgent first."""
        now = time.monotonic()
        allowance = self._allowances[grant.tenant]
        allowance.take_answer(grant, now)
        queue = self._queues[grant.tenant]
        wanted = sum(1 for w in queue.waiters if w.number <= number and not w.is_answered)
        at_once = min(grant.operations, wanted)
        allowance.add(grant.operations - at_once, now)
        dues = [now] * at_once + [now + wait_ms / MS_PER_S for wait_ms in grant.waits_ms]
        refused = queue.answered(number, dues, now)
        self._refuse_all(refused, number, grant)
        await self._tell_changes(queue, refused)

    def _refuse_all(self, refused: list[_Waiter], number: int, grant: OperationGrant) -> None:
        """Refuse operations, each with another time to come back."""
        counts: Counter[int] = Counter()
        for waiter in refused:
            reason = Refused.USED_UP if waiter.told_due is None else Refused.DISPLACED
            before = counts[waiter.priority]
            counts[waiter.priority] += 1
            self._refuse(waiter, reason, _return_s(grant, waiter.priority, before))

    def _refuse(self, waiter: _Waiter, reason: Refused, retry_after_s: float) -> None:
        over = waiter.over = OverLimit(_bounded(retry_after_s), DETAILS[reason])
        self.metrics.refused(waiter.priority, reason)
        names = (waiter.request, waiter.tenant, waiter.priority)
        self._log.refused(*names, reason, over.retry_after_s, time.monotonic())

    async def _tell_changes(self, queue: TokenQueue, refused: list[_Waiter] | None = None) -> None:
        """Wake those whose token comes at another moment than they know."""
        now = time.monotonic()
        for waiter in refused or ():
            await waiter.changed.set()
        for waiter in queue.waiters:
            if waiter.due != waiter.told_due:
                waiter.told_due = waiter.due
                waiter.was_promised |= waiter.due is not None and waiter.due > now
                await waiter.changed.set()

    def _ran(self, waiter: _Waiter) -> None:
        """Count and log an operation that waited until a promised token came."""
        if not waiter.was_promised:
            return
        now = time.monotonic()
        waited_s = now - waiter.began_at
        self.metrics.waited(waiter.priority, waited_s)
        self._log.waited(waiter.request, waiter.tenant, waiter.priority, waited_s, now)


def _return_s(grant: OperationGrant, priority: int, before: int) -> float:
    """Return when an operation should come back, so many of its priority before it."""
    fallback = RetryTime(priority, grant.retry_after_ms, 0)
    told = next((told for told in grant.returns if told.priority == priority), None)
    told = told or (grant.returns[-1] if grant.returns else fallback)
    in_s = (told.after_ms + before * told.step_ms) / MS_PER_S
    if in_s <= MOST_RETRY_S:
        return in_s
    return MOST_RETRY_S / 2 + in_s % (MOST_RETRY_S / 2)


def _bounded(retry_after_s: float) -> float:
    return min(max(retry_after_s, LEAST_RETRY_S), MOST_RETRY_S)

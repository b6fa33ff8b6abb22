"""Admits operations of tenants with a limit, as granted by the leading controller."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from itertools import chain

import curio
from prometheus_client import CollectorRegistry

from limedyke.core.limits.leader_outage import LeaderOutage
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
from limedyke.proxy.control.leader_silence import UNANSWERED_AFTER_S, LeaderSilence
from limedyke.proxy.limits.limit_log import LimitLog
from limedyke.proxy.limits.limit_metrics import LimitMetrics, Refused

SEND_PAUSE_S = 0.02
"""Requests within this time share a message: at most 50 messages per second to the leader."""
INITIAL_ANSWER_S = 0.05
"""Assumed time until the leader's answer before one has been measured."""
UNANSWERED_PAUSE_S = 0.2
"""Interval at which a leader that does not answer is asked again; no operation waits for this."""
YOUNG_PROCESS_S = 10.0
"""A process younger than this reports its age to a new leader even without any use to report. The
age proves that the process it replaced has ended."""
WAIT_STEP_MS = 50
"""Wait times are sent rounded down to a multiple of this, so that operations group well."""
MS_PER_S = 1_000
MIN_RETRY_S = 0.02
MAX_RETRY_S = 5.0
MIN_WAIT_S = 0.001
UNKNOWN_COUNT = 1_000_000
"""Stands for an arbitrarily large number of proxies."""
EVENTS = EventLog("limits")


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Refusal of an operation.

    :param retry_after_s: delay after which it may be retried
    :param detail: reason in words, without secrets
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
    """An operation that waits for its token.

    :param tenant: the tenant that runs it
    :param request: request id, for the log
    :param began_at: when the operation arrived
    :ivar decides_at: when it is decided without the leader unless that has answered
    :ivar asked_at: when the present leader was asked for its token; None if it was not
    :ivar notified_due: due time of the token that the waiting task has been notified of
    :ivar was_promised: the token was due later than the grant
    :ivar over: the refusal, if it was refused
    """

    tenant: str = ""
    request: str = ""
    began_at: float = 0.0
    decides_at: float = 0.0
    asked_at: float | None = None
    notified_due: float | None = None
    was_promised: bool = False
    over: OverLimit | None = None
    changed: curio.Event = field(default_factory=curio.Event)


class OperationLimiter:
    """Admits operations, and requests grants from the leader.

    :param tenants: returns the declared tenants by name
    :param send: sends to the leader; returns whether a leader is linked
    :param may_run_until: returns until when operations may run without the leader, seconds of the
        monotonic clock; after that the leader no longer accounts for them
    :param serving: returns how many proxies run operations
    :param silence: is notified of unanswered requests

    :ivar metrics: metrics on waits and refusals
    """

    def __init__(
        self,
        tenants: Callable[[], Mapping[str, Tenant]],
        send: Callable[[OperationsRequest], Awaitable[bool]],
        may_run_until: Callable[[], float],
        serving: Callable[[], int] = lambda: UNKNOWN_COUNT,
        silence: LeaderSilence | None = None,
    ) -> None:
        self.metrics = LimitMetrics(CollectorRegistry())
        self._log = LimitLog(time.monotonic())
        self._may_run_until = may_run_until
        self._serving = serving
        self._tenants = tenants
        self._send = send
        self._allowances: dict[str, OperationAllowance] = {}
        self._queues: dict[str, TokenQueue] = {}
        self._unasked: dict[str, list[_Waiter]] = {}
        self._number = 0
        self._silence = silence or LeaderSilence()
        self._outage = LeaderOutage()
        self._is_report_due = False
        self._began_at = time.monotonic()
        self._asked_at = float("-inf")
        self._answer_time = TimeEstimate(INITIAL_ANSWER_S, INITIAL_ANSWER_S / 2)
        self._has_unasked = curio.Event()

    async def admit(
        self, tenant: str, priority: int = 0, target_at: float | None = None, request: str = ""
    ) -> OverLimit | None:
        """Wait until an operation of a tenant may run; return the refusal if it may not.

        :param priority: 0 is the most urgent
        :param target_at: latest time until which it may wait for a token, seconds of the monotonic
            clock; None for the wait declared for the tenant
        :param request: request id, for the log
        """
        declared = self._tenants().get(tenant)
        if declared is None or declared.operations_per_minute == 0:
            return None
        now = time.monotonic()
        allowance = self._allowances.setdefault(tenant, OperationAllowance())
        queue = self._queues.setdefault(tenant, TokenQueue())
        allowance.count_demand(now)
        if allowance.take_granted(now) or queue.take_spare(now):
            return None
        until = target_at
        if until is None:
            until = now + declared.operation_wait_ms / MS_PER_S
        waiter = _Waiter(priority, until, self._number + 1, tenant=tenant, request=request)
        waiter.began_at = now
        waiter.decides_at = now + UNANSWERED_AFTER_S
        queue.add(waiter, now)
        try:
            await self._ask(waiter)
            over = await self._wait(waiter, queue)
        except curio.CancelledError:
            self.metrics.given_back(priority)
            raise
        finally:
            queue.remove(waiter, time.monotonic())
            await self._notify_changes(queue)
        if over is None:
            self._record_wait(waiter)
        return over

    async def give_back(self, tenant: str, priority: int = 0) -> None:
        """Return the token of an operation that was admitted and certainly did not run."""
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
        await self._notify_changes(queue)

    async def granted(self, message: OperationsGranted) -> None:
        """Apply the leader's answer."""
        if self._outage.is_present:
            EVENTS.info("limits-asked-again", number=message.number)
        self._outage.note_answer()
        await self._silence.end()
        if message.number == self._number:
            self._answer_time.learn(time.monotonic() - self._asked_at)
        for grant in message.grants:
            await self._take_grant(message.number, grant)
        if self._unasked:
            await self._has_unasked.set()

    async def link_opened(self) -> None:
        """Report recent use to the leader of a new link, which may be a different leader.

        What the leader before has not answered is asked again.
        """
        self._is_report_due = True
        now = time.monotonic()
        for queue in self._queues.values():
            for waiter in queue.waiters:
                waiter.asked_at = None
                self._ask_with_next_message(waiter)
        is_young = now - self._began_at < YOUNG_PROCESS_S
        if is_young or self._unasked or self._reports(now):
            await self._has_unasked.set()

    async def run(self) -> None:
        """Send requests to the leader until cancelled."""
        while True:
            await self._has_unasked.wait()
            self._has_unasked.clear()
            await self._send_wanted()
            await curio.sleep(SEND_PAUSE_S)

    async def _ask(self, waiter: _Waiter) -> None:
        """Request a token, or decide locally while the leader does not answer."""
        if not self._outage.is_present:
            self._ask_with_next_message(waiter)
            await self._has_unasked.set()
            return
        if waiter.began_at - self._asked_at > UNANSWERED_PAUSE_S:
            await self._has_unasked.set()
        await self._decide_queue(self._queues[waiter.tenant])

    def _ask_with_next_message(self, waiter: _Waiter) -> None:
        """Request a token with the next message, unless the leader was asked for it."""
        if waiter.is_answered or waiter.asked_at is not None:
            return
        unasked = self._unasked.setdefault(waiter.tenant, [])
        if waiter not in unasked:
            waiter.number = self._number + 1
            unasked.append(waiter)

    async def _wait(self, waiter: _Waiter, queue: TokenQueue) -> OverLimit | None:
        """Wait until an operation's token is due or the operation is refused."""
        while waiter.over is None:
            now = time.monotonic()
            if queue.take(waiter, now):
                break
            until = waiter.due
            if until is None:
                until = waiter.decides_at
                if now >= until:
                    await self._note_unanswered(waiter.asked_at)
                    waiter.is_answered = False  # decided again, also if it has lost its token
                    await self._decide_queue(queue)
                    continue
            waiter.changed.clear()
            async with curio.ignore_after(max(MIN_WAIT_S, until - now)):
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
            for waiter in chain.from_iterable(unasked.values()):
                waiter.asked_at = now
        else:
            await self._note_unanswered(now)
            await self._decide_waiting()

    def _reports(self, now: float) -> tuple[OperationReport, ...]:
        """Return recent use by tenant, for a leader that may not know it."""
        each = (allowance.reports(tenant, now) for tenant, allowance in self._allowances.items())
        return tuple(report for reports in each for report in reports)

    def _demand(self, tenant: str, waiters: list[_Waiter], now: float) -> OperationDemand:
        """Return the demand of a tenant: operations that still wait, and some ahead."""
        present = self._queues[tenant].waiters
        waiting = [waiter for waiter in waiters if waiter in present]
        counts = Counter((waiter.priority, self._wait_ms(waiter, now)) for waiter in waiting)
        by_priority = tuple(
            OperationsOfPriority(priority, count, wait_ms)
            for (priority, wait_ms), count in sorted(counts.items())
        )
        ahead = self._allowances[tenant].prefetch_count(now)
        return OperationDemand(tenant, len(waiting), ahead, by_priority)

    def _wait_ms(self, waiter: _Waiter, now: float) -> int:
        """Return how long an operation can wait after the leader's expected answer."""
        left_s = waiter.target_at - now - self._answer_time.usual_s
        return max(0, int(left_s * MS_PER_S) // WAIT_STEP_MS * WAIT_STEP_MS)

    async def _note_unanswered(self, asked_at: float | None) -> None:
        """Record that a request was not answered in time; the last one if ``asked_at`` is None."""
        if not self._outage.is_present:
            EVENTS.warning("limits-not-answered", number=self._number)
        self._outage.note_unanswered(self._asked_at if asked_at is None else asked_at)
        await self._silence.begin()

    async def _decide_waiting(self) -> None:
        """Decide locally for all unanswered operations, since no leader is linked."""
        for queue in self._queues.values():
            await self._decide_queue(queue)

    async def _decide_queue(self, queue: TokenQueue) -> None:
        """Decide locally for a tenant's unanswered operations, the most urgent first.

        Otherwise one that has just arrived would take what the share covers, and those that have
        waited for the leader's answer for longer would be refused.
        """
        for waiter in queue.waiters:
            if not waiter.is_answered:
                await self._decide_without_leader(waiter)

    async def _decide_without_leader(self, waiter: _Waiter) -> None:
        """Admit an operation from the reserve, now or soon, or refuse it.

        While a successor of the leader is likely to answer in time, it waits instead.
        """
        now = time.monotonic()
        queue = self._queues[waiter.tenant]
        allowance = self._allowances[waiter.tenant]
        waiter.is_answered = True
        may_run_until = self._may_run_until()
        if now >= may_run_until:
            self._refuse(waiter, Refused.ALONE_TOO_LONG, MIN_RETRY_S)
            return
        wait_s = min(waiter.target_at, may_run_until) - now
        is_one_of_few = self._serving() <= FEW_PROXIES
        in_s: float | None = 0.0
        if not allowance.take_reserve(now, is_one_of_few):
            in_s = allowance.promise_reserve(wait_s, now)
        latest = min(waiter.target_at, may_run_until)
        held_until = self._outage.held_until(latest, allowance.was_over_limit, now)
        if in_s is None and held_until > now:
            waiter.is_answered = False
            waiter.decides_at = held_until
            self._ask_with_next_message(waiter)
            return
        refused = queue.add_tokens([] if in_s is None else [now + in_s], now)
        for other in refused:
            self._refuse(other, Refused.ALONE_USED_UP, allowance.retry_after_s(now))
        await self._notify_changes(queue, refused)

    async def _take_grant(self, number: int, grant: OperationGrant) -> None:
        """Apply a grant to the operations requested by this message, most urgent first.

        What it grants beyond them goes to others that wait, and only the rest into the stock: an
        operation that arrives later would take it from the stock before them.
        """
        now = time.monotonic()
        allowance = self._allowances[grant.tenant]
        allowance.apply_grant(grant, now)
        queue = self._queues[grant.tenant]
        wanted = sum(1 for w in queue.waiters if w.number <= number and not w.is_answered)
        without_token = sum(1 for w in queue.waiters if w.due is None or w.due > now)
        at_once = min(grant.operations, max(wanted, without_token))
        allowance.add(grant.operations - at_once, now)
        dues = [now] * at_once + [now + wait_ms / MS_PER_S for wait_ms in grant.waits_ms]
        refused = queue.answered(number, dues, now)
        self._refuse_all(refused, number, grant)
        await self._notify_changes(queue, refused)

    def _refuse_all(self, refused: list[_Waiter], number: int, grant: OperationGrant) -> None:
        """Refuse operations, each with a different retry delay."""
        counts: Counter[int] = Counter()
        for waiter in refused:
            reason = Refused.USED_UP if waiter.notified_due is None else Refused.DISPLACED
            before = counts[waiter.priority]
            counts[waiter.priority] += 1
            self._refuse(waiter, reason, _retry_delay_s(grant, waiter.priority, before))

    def _refuse(self, waiter: _Waiter, reason: Refused, retry_after_s: float) -> None:
        over = waiter.over = OverLimit(_bounded(retry_after_s), DETAILS[reason])
        self.metrics.refused(waiter.priority, reason)
        names = (waiter.request, waiter.tenant, waiter.priority)
        self._log.refused(*names, reason, over.retry_after_s, time.monotonic())

    async def _notify_changes(
        self, queue: TokenQueue, refused: list[_Waiter] | None = None
    ) -> None:
        """Wake the tasks of refused operations and of those whose due time has changed."""
        now = time.monotonic()
        for waiter in refused or ():
            await waiter.changed.set()
        for waiter in queue.waiters:
            if waiter.due != waiter.notified_due:
                waiter.notified_due = waiter.due
                waiter.was_promised |= waiter.due is not None and waiter.due > now
                await waiter.changed.set()

    def _record_wait(self, waiter: _Waiter) -> None:
        """Record an operation that ran after waiting for a promised token."""
        if not waiter.was_promised:
            return
        now = time.monotonic()
        waited_s = now - waiter.began_at
        self.metrics.waited(waiter.priority, waited_s)
        self._log.waited(waiter.request, waiter.tenant, waiter.priority, waited_s, now)


def _retry_delay_s(grant: OperationGrant, priority: int, before: int) -> float:
    """Return the retry delay of an operation; ``before`` others of its priority precede it."""
    fallback = RetryTime(priority, grant.retry_after_ms, 0)
    retry = next((retry for retry in grant.returns if retry.priority == priority), None)
    retry = retry or (grant.returns[-1] if grant.returns else fallback)
    in_s = (retry.after_ms + before * retry.step_ms) / MS_PER_S
    if in_s <= MAX_RETRY_S:
        return in_s
    return MAX_RETRY_S / 2 + in_s % (MAX_RETRY_S / 2)


def _bounded(retry_after_s: float) -> float:
    return min(max(retry_after_s, MIN_RETRY_S), MAX_RETRY_S)

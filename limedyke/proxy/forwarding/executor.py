"""Forwards units to a home proxy when this proxy holds no lease for their group and tenant."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from limedyke.messages.work import AbandonWork, Access, AnswerChunk, AnswerEnd, WorkUnit
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.executor import Relay, as_unanswered_read, jittered, refusal
from limedyke.proxy.forwarding.home_links import HomeLinks
from limedyke.proxy.forwarding.link import NOT_SENT, HomeLink, NotSent
from limedyke.proxy.unit_context import may_end_transaction
from limedyke.result_codes import ResultCode
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke.transport.traffic import NO_METER, TrafficMeter

MS_PER_S = 1_000.0
NO_HOME_RETRY_AFTER_MS = 500
PAUSE_S = 0.05
REFUSED_WAIT_S = 1.0
"""Seconds for which a unit is retried after home proxies refused it. All of them may lack
connections for the tenant for a moment while leases move."""
_RETRYABLE_CODES = frozenset({ResultCode.DRAINING.value.number, ResultCode.NO_MEMBER.value.number})


class _TrackingRelay:
    """Relays an answer and records whether any of it was relayed."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self.used = False

    async def __call__(self, chunk: AnswerChunk) -> None:
        """Relay a chunk."""
        self.used = True
        await self._relay(chunk)


class ForwardingExecutor:
    """Forwards whole units to home proxies; a transaction stays on one of them.

    :param wait_change: waits for a change of the control view until a given time; returns False
        when there was none
    :param meter: counts the bytes exchanged with home proxies
    """

    def __init__(
        self,
        settings: ProxySettings,
        secrets: Secrets,
        wait_change: Callable[[float], Awaitable[bool]],
        meter: TrafficMeter = NO_METER,
    ) -> None:
        self._settings = settings
        self._wait_change = wait_change
        self.links = HomeLinks(settings, secrets, meter)
        self._transactions: dict[int, HomeLink] = {}

    def control_changed(self, view: ControlView) -> None:
        """Apply a new control view."""
        self.links.control_changed(view)

    def holds(self, transaction: int) -> bool:
        """Tell whether a transaction is open at a home proxy."""
        return transaction in self._transactions

    async def run(self, unit: WorkUnit, relay: Relay) -> AnswerEnd:
        """Run a unit at a home proxy and return the end of its answer; see ``Executor``."""
        link = self._transactions.get(unit.transaction)
        tracking = _TrackingRelay(relay)
        if link is not None:
            return await self._run_in_transaction(link, unit, tracking)
        started_at = time.monotonic()
        wait_s = min(self._settings.failover_wait_ms, unit.deadline_ms) / MS_PER_S
        tried: set[str] = set()
        lost = False
        end = refusal(
            unit, ResultCode.NO_MEMBER, "no home proxy is reached", jittered(NO_HOME_RETRY_AFTER_MS)
        )
        while True:
            link = await self.links.choose(unit.group, tried)
            if link is None:
                refused = bool(tried) and not lost
                limit_s = min(wait_s, REFUSED_WAIT_S) if refused else wait_s
                if not await self._pause(started_at + limit_s):
                    return as_unanswered_read(end) if lost else end
                tried.clear()
                continue
            tried.add(link.home)
            answer = await self._run_at(link, unit, tracking)
            if answer is NOT_SENT:
                continue
            if answer is None:
                lost = True
            elif answer.code not in _RETRYABLE_CODES or tracking.used:
                return answer
            else:
                end = answer

    async def _pause(self, until: float) -> bool:
        """Wait briefly or until the control view changes; return False when the time is up."""
        if time.monotonic() >= until:
            return False
        await self._wait_change(min(until, time.monotonic() + PAUSE_S))
        return True

    async def _run_at(
        self, link: HomeLink, unit: WorkUnit, relay: _TrackingRelay
    ) -> AnswerEnd | NotSent | None:
        """Run a unit at a home proxy; None when the proxy was lost and the unit may be retried."""
        end = await link.run_unit(unit, relay)
        if end is None:
            return self._handle_lost_home(unit, relay)
        if end is NOT_SENT:
            return end
        self._note_transaction(link, unit, end)
        return end

    def _handle_lost_home(self, unit: WorkUnit, relay: _TrackingRelay) -> AnswerEnd | None:
        """Return the outcome of a unit whose home proxy was lost; None for a repeatable read.

        A write may have run, so its outcome is unknown. A read may be repeated unless part of its
        answer was relayed already.
        """
        if unit.access is Access.WRITE or not unit.repeatable:
            only_opens = unit.transaction != 0 and not may_end_transaction(unit)
            code = ResultCode.TRANSACTION_LOST if only_opens else ResultCode.OUTCOME_UNKNOWN
            return refusal(unit, code, "the home proxy was lost")
        if relay.used:
            return refusal(unit, ResultCode.READ_FAILED, "the home proxy was lost")
        return None

    async def _run_in_transaction(
        self, link: HomeLink, unit: WorkUnit, relay: _TrackingRelay
    ) -> AnswerEnd:
        end = await link.run_unit(unit, relay)
        if end is None or end is NOT_SENT:
            self._forget_transaction(link, unit.transaction)
            was_sent = end is not NOT_SENT
            may_commit = was_sent and unit.access is Access.WRITE and may_end_transaction(unit)
            code = ResultCode.OUTCOME_UNKNOWN if may_commit else ResultCode.TRANSACTION_LOST
            return refusal(unit, code, "the home proxy was lost")
        self._note_transaction(link, unit, end)
        return end

    def _note_transaction(self, link: HomeLink, unit: WorkUnit, end: AnswerEnd) -> None:
        if unit.transaction == 0:
            return
        if end.status == "I":
            self._forget_transaction(link, unit.transaction)
        else:
            link.transactions.add(unit.transaction)
            self._transactions[unit.transaction] = link

    def _forget_transaction(self, link: HomeLink, transaction: int) -> None:
        link.transactions.discard(transaction)
        self._transactions.pop(transaction, None)

    async def abandon(self, work: AbandonWork) -> None:
        """Cancel a unit or roll a transaction back; see ``Executor``."""
        for link in self.links.links():
            if link.carries(work):
                await link.abandon(work)
        link = self._transactions.get(work.transaction)
        if link is not None and not work.cancel_only:
            self._forget_transaction(link, work.transaction)

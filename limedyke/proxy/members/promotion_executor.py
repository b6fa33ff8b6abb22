"""Executes a ``PromoteOrder`` on the members of a group."""

from __future__ import annotations

import time
from dataclasses import dataclass

import curio
from result import Err, Ok, Result

from limedyke.core.promotion import Promised, Promotion
from limedyke.event_log import EventLog
from limedyke.messages.control import PromoteOrder, PromoteResult
from limedyke.messages.work import LogPosition
from limedyke.postgres.member_frames import parse_position, quote_literal
from limedyke.proxy.members.connection import InternalQueryResult
from limedyke.proxy.members.probe import MemberProbe
from limedyke.result_codes import Failure, ResultCode

ORDER_TIMEOUT_S = 1.4
"""Default time limit of an order; the controllers send it to another proxy soon after."""
STEP_TIMEOUT_SHARE = 0.65
"""Largest fraction of an order's time for collecting promises, and for one promotion."""
LATE_PROMISE_WAIT_S = 0.1
"""How long to wait for further promises once a majority has promised."""
MS_PER_S = 1_000.0

_log = EventLog("promotion")


@dataclass(slots=True)
class _PromiseRound:
    """Collects promises from tasks that query members in parallel.

    :param ends_at: deadline of the order, in monotonic seconds
    :param step_s: time limit for collecting promises, and for one promotion
    """

    promotion: Promotion
    changed: curio.Event
    reasons: list[str]
    ends_at: float
    step_s: float

    @property
    def left_s(self) -> float:
        """Seconds left for the order."""
        return max(0.0, self.ends_at - time.monotonic())


class PromotionExecutor:
    """Obtains promises from a majority and promotes the most advanced member.

    :param promoter: this proxy's name; the same promoter may request a promise again
    :param probes: one per declared member
    """

    def __init__(self, promoter: str, probes: dict[str, MemberProbe]) -> None:
        self._promoter = promoter
        self._probes = probes

    async def run(self, order: PromoteOrder) -> PromoteResult:
        """Promote a member; ``primary`` of the result is empty if that failed."""
        promotion = Promotion(tuple(self._probes), order.preferred, order.planned)
        timeout_s = order.timeout_ms / MS_PER_S or ORDER_TIMEOUT_S
        ends_at = time.monotonic() + timeout_s
        promises = _PromiseRound(
            promotion, curio.Event(), [], ends_at, STEP_TIMEOUT_SHARE * timeout_s
        )
        await self._collect(order, promises)
        while promises.left_s and (chosen := promotion.choose()):
            limit_s = min(promises.left_s, promises.step_s)
            promoted = await self._promote(order, chosen, limit_s)
            if isinstance(promoted, Ok):
                _log.info("promoted", group=order.group, member=chosen, term=order.term)
                return PromoteResult(order.group, order.term, chosen, "")
            promises.reasons.append(promoted.err_value.detail)
            promotion.promotion_failed(chosen)
        if not promotion.has_majority:
            promises.reasons.append("no majority of members promised the term")
        reason = "; ".join(promises.reasons) or "the order timed out"
        _log.warning("promotion-failed", group=order.group, term=order.term, reason=reason)
        return PromoteResult(order.group, order.term, "", reason)

    async def _collect(self, order: PromoteOrder, promises: _PromiseRound) -> None:
        """Query all members in parallel; wait for a majority, then briefly for the others."""
        for name, probe in self._probes.items():
            await curio.spawn(self._ask, order, name, probe, promises, daemon=True)
        started_at = time.monotonic()
        ends_at = started_at + promises.step_s
        while not promises.promotion.is_settled:
            left = ends_at - time.monotonic()
            if left <= 0:
                return
            await curio.ignore_after(left, promises.changed.wait)
            promises.changed.clear()
            if promises.promotion.has_majority:
                ends_at = min(ends_at, time.monotonic() + LATE_PROMISE_WAIT_S)

    async def _ask(
        self, order: PromoteOrder, name: str, probe: MemberProbe, promises: _PromiseRound
    ) -> None:
        sql = f"SELECT group_promise({order.term}, {quote_literal(self._promoter)})"
        answer = await probe.execute(sql, promises.step_s)
        promise = _read_promise(name, answer)
        if isinstance(promise, Ok):
            promises.promotion.promised(promise.ok_value)
        else:
            promises.promotion.refused(name)
            promises.reasons.append(promise.err_value.detail)
        await promises.changed.set()

    async def _promote(
        self, order: PromoteOrder, member: str, limit_s: float
    ) -> Result[None, Failure]:
        sql = f"SELECT group_promote({order.term})"
        answer = await self._probes[member].execute(sql, limit_s)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.sqlstate:
            return Err(Failure(ResultCode.NO_PRIMARY, f"{member}: {answer.ok_value.message}"))
        return Ok(None)


def _read_promise(
    member: str, answer: Result[InternalQueryResult, Failure]
) -> Result[Promised, Failure]:
    """Parse ``last_log_term,X/Y``, the answer to ``group_promise``."""
    if isinstance(answer, Err):
        return answer
    own = answer.ok_value
    if own.sqlstate:
        return Err(Failure(ResultCode.NO_PRIMARY, f"{member}: {own.message}"))
    text = own.rows[0][0] if own.rows and own.rows[0] else None
    term, _, position_text = (text or b"").partition(b",")
    position = parse_position(position_text)
    if position is None or not term.isdigit():
        return Err(Failure(ResultCode.PROTOCOL_VIOLATION, f"{member}: malformed promise"))
    return Ok(Promised(member, LogPosition(int(term), position)))

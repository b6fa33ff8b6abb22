"""Runs a read on a replica that has reached the required position, else on the primary."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import curio
from result import Err, Ok, Result

from limedyke.core.routing import FIRST_TERM, RoutingDecision, RoutingRequest, choose_member
from limedyke.messages.work import AnswerEnd, LogPosition
from limedyke.postgres.member_frames import PositionAnswer
from limedyke.proxy.executor import as_unanswered_read, jittered
from limedyke.proxy.members.connection import BackendConnection, ConnectionLostError
from limedyke.proxy.members.gate import Grant, MemberGate
from limedyke.proxy.metrics import RetryCause
from limedyke.proxy.unit_context import UnitContext
from limedyke.proxy.unit_exchange import Accept, Exchange, ExchangePlan
from limedyke.result_codes import Failure, ResultCode

MS_PER_S = 1_000.0
MAXIMUM_LOST_ANSWERS = 8
"""A read is not retried after this many lost answers, since it may itself break connections."""
RECHECK_BASE_S = 0.05
RECHECK_LIMIT_S = 1.0
NO_PRIMARY_RETRY_MS = 500


@dataclass(slots=True)
class _Attempts:
    """State of one read over its attempts.

    :ivar excluded: members that were behind or failed; skipped until the next recheck
    :ivar lost: number of lost answers
    :ivar sent: whether a member may have received the read
    :ivar recheck_s: how long to wait before all members are tried again
    """

    excluded: set[str] = field(default_factory=set)
    lost: int = 0
    sent: bool = False
    recheck_s: float = RECHECK_BASE_S


class UnitRead:
    """One read, with retries on other members."""

    def __init__(self, context: UnitContext) -> None:
        self._context = context
        self._unit = context.unit
        self._view = context.group.view
        self._attempts = _Attempts()
        self._required = context.unit.required
        self._failover_at = min(
            context.deadline_at,
            time.monotonic() + context.settings.failover_wait_ms / MS_PER_S,
        )

    async def run(self) -> AnswerEnd:
        """Run the read and return the end of its answer."""
        end = await self._run()
        return as_unanswered_read(end) if self._attempts.sent else end

    async def _run(self) -> AnswerEnd:
        required = await self._find_required()
        if isinstance(required, Err):
            return self._context.failed(required.err_value)
        self._required = required.ok_value
        self._view.reached(self._required, time.monotonic())
        while self._attempts.lost < MAXIMUM_LOST_ANSWERS:
            if self._context.running.cancelled:
                return self._context.failed(Failure(ResultCode.CANCELLED))
            decision = self._choose()
            if not decision.member:
                if not self._context.group.holds_lease(self._unit.tenant):
                    return self._context.no_lease()
                if not await self._wait_for_member():
                    break
                continue
            if decision.wait_s > 0.0:
                await curio.sleep(decision.wait_s)
            end = await self._attempt(decision)
            if end is not None:
                return end
            if self._context.expired:
                break
        return self._context.failed(
            Failure(
                ResultCode.NO_MEMBER,
                "no member could serve the read",
                jittered(NO_PRIMARY_RETRY_MS),
            )
        )

    async def _wait_for_member(self) -> bool:
        """Wait for a change of the group or ``recheck_s``, then allow all members again.

        :returns: False if the time for a failover has passed
        """
        attempts = self._attempts
        recheck_at = min(self._failover_at, time.monotonic() + attempts.recheck_s)
        await self._context.group.wait_change(recheck_at)
        attempts.recheck_s = min(2 * attempts.recheck_s, RECHECK_LIMIT_S)
        attempts.excluded.clear()
        return time.monotonic() < self._failover_at

    async def _find_required(self) -> Result[LogPosition, Failure]:
        """Return the position that a replica must have reached, from barrier or staleness bound."""
        required = self._unit.required
        group = self._context.group
        if self._unit.barrier:
            confirmed = await group.confirm_primary(self._failover_at)
            if isinstance(confirmed, Err):
                return confirmed
            return Ok(_latest(required, confirmed.ok_value))
        if self._unit.staleness_ms:
            since = time.monotonic() - self._unit.staleness_ms / MS_PER_S
            place = self._view.place_not_older(since)
            if place is None:
                confirmed = await group.confirm_primary(self._failover_at)
                if isinstance(confirmed, Err):
                    return confirmed
                place = confirmed.ok_value
            return Ok(_latest(required, place))
        return Ok(required)

    def _choose(self) -> RoutingDecision:
        request = RoutingRequest(
            self._unit.access,
            self._required,
            self._context.settings.zone,
            self._context.settings.replica_wait_ms,
        )
        return choose_member(self._view, request, time.monotonic(), self._attempts.excluded)

    async def _attempt(self, decision: RoutingDecision) -> AnswerEnd | None:
        """Try one member; return None if another one may be tried."""
        gate = self._context.group.gates[decision.member]
        acquired = await self._context.acquire(gate)
        if isinstance(acquired, Err):
            return self._not_acquired(decision, acquired.err_value)
        grant = acquired.ok_value
        kept = False
        try:
            exchange = await self._exchange(decision, grant)
            if exchange is None:
                self._attempts.excluded.add(decision.member)
                return None
            if isinstance(exchange, Failure):
                return self._context.failed(exchange)
            kept = self._keeps_connection(gate, grant, exchange)
        finally:
            await gate.release(grant, keep_connection=kept)
        return await self._conclude(decision, exchange)

    def _not_acquired(self, decision: RoutingDecision, failure: Failure) -> AnswerEnd | None:
        if failure.code is not ResultCode.NO_MEMBER:
            return self._context.failed(failure)
        self._attempts.excluded.add(decision.member)
        return None

    async def _exchange(self, decision: RoutingDecision, grant: Grant) -> Exchange | Failure | None:
        """Run the batch; return None if the connection broke before it was sent."""
        connection = grant.connection
        assert connection is not None
        try:
            failure = await self._context.prepare_connection(connection)
        except ConnectionLostError:
            return None
        if failure is not None:
            return failure
        return await self._context.exchange(connection, self._plan(decision, connection))

    def _plan(self, decision: RoutingDecision, connection: BackendConnection) -> ExchangePlan:
        accept = self._accepts(decision)
        already_accepted = connection.is_replica is not None and accept(
            PositionAnswer(connection.last_position, connection.is_replica)
        )
        # No query may follow a unit that opens a transaction; see may_set_transaction.
        outside_transaction = self._unit.transaction == 0
        return ExchangePlan(
            None if already_accepted else accept, check_after=outside_transaction, is_write=False
        )

    def _accepts(self, decision: RoutingDecision) -> Accept:
        """Return the check of the member's position that must pass before its answer is relayed."""
        if decision.is_primary:
            return self._accepts_primary
        return self._accepts_replica

    def _accepts_primary(self, answer: PositionAnswer) -> bool:
        term = self._view.term
        return not answer.is_replica and answer.place.term == term >= self._required.term

    def _accepts_replica(self, answer: PositionAnswer) -> bool:
        verified = answer.place.term >= FIRST_TERM
        return answer.is_replica and verified and answer.place.satisfies(self._required)

    def _keeps_connection(self, gate: MemberGate, grant: Grant, exchange: Exchange) -> bool:
        if exchange.failure is not None or exchange.refused_before:
            if exchange.reader.status.value != "I":
                exchange.connection.broken = True
            return False
        assert grant.connection is not None
        return self._context.keep_transaction(
            gate, grant.connection, self._view.term, exchange.reader.status
        )

    async def _conclude(self, decision: RoutingDecision, exchange: Exchange) -> AnswerEnd | None:
        self._attempts.sent = self._attempts.sent or exchange.sent
        metrics = self._context.metrics
        if decision.wait_s > 0.0:
            waited = "behind" if exchange.refused_before else "reached"
            metrics.replica_waits.labels(waited).inc()
        if exchange.refused_before:
            metrics.retries.labels(RetryCause.MEMBER_BEHIND.value).inc()
            self._attempts.excluded.add(decision.member)
            return None
        if exchange.failure is None:
            await exchange.finish()
            metrics.count_read(not decision.is_primary, decision.reason)
            return self._context.answer_end(
                decision.member,
                exchange.reader.status,
                exchange.connection.last_position,
                by_replica=not decision.is_primary,
            )
        self._attempts.lost += 1
        self._attempts.excluded.add(decision.member)
        return self._failed(exchange, exchange.failure)

    def _failed(self, exchange: Exchange, failure: Failure) -> AnswerEnd | None:
        if failure.code is ResultCode.FEATURE_NOT_SUPPORTED:
            return self._context.failed(failure)
        if exchange.relayed:
            return self._context.failed(Failure(ResultCode.READ_FAILED, failure.detail))
        if self._unit.repeatable or not exchange.sent:
            self._context.metrics.retries.labels(RetryCause.CONNECTION_LOST.value).inc()
            return None
        return self._context.failed(Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail))


def _latest(one: LogPosition, other: LogPosition) -> LogPosition:
    """Return a position that satisfies both."""
    return LogPosition(max(one.term, other.term), max(one.position, other.position))

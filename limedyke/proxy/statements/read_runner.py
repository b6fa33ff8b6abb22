"""Runs reads on a replica that is proven to be fresh enough, or on the primary."""

from __future__ import annotations

import random
import time

import curio

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.routing import cost_s, order_for_read, soonest_replica
from limedyke.messages.databases import Consistency
from limedyke.messages.work import LogPosition
from limedyke.proxy.statements.attempt import MINIMUM_ATTEMPT_S, MS_PER_S, Attempt
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.hedged_read import RETRYABLE_READ_ANSWERS, HedgedRead, HedgeTarget
from limedyke.proxy.statements.members.member_exchange import MemberExchange
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.members.member_queries import MemberQueries
from limedyke.proxy.statements.settlement import settle_first
from limedyke.proxy.statements.statement_log import NotSentReason
from limedyke.proxy.statements.statement_outcome import StatementOutcome
from limedyke.result_codes import ResultCode

STALENESS_MARGIN_S = 0.03
"""Seconds by which a position must be fresher than the staleness bound."""
MEMBER_CHOICE_INTERVAL_S = 0.06
"""Seconds a read waits for a connection to one member before it chooses among all members again:
twice the time until a connection beyond the usual share of the lease is opened."""


class ReadRunner:
    """Runs reads, and the first statements of read-only transactions.

    :param zone: of this proxy
    """

    def __init__(self, zone: str, exchange: MemberExchange, queries: MemberQueries) -> None:
        self._zone = zone
        self._generator = random.Random()
        self._exchange = exchange
        self._queries = queries

    async def run(self, attempt: Attempt) -> StatementOutcome:
        """Run a read; try one member after the other until one has run it."""
        group = attempt.group
        while True:
            if attempt.is_too_late():
                return StatementOutcome(attempt.final_refusal(ResultCode.NO_MEMBER))
            required = await self._required_position(attempt)
            if required is None and not group.is_surely_primary(group.primary):
                attempt.record_failure(NotSentReason.POSITION_UNPROVEN)
                if not await attempt.pause():
                    return StatementOutcome(attempt.final_refusal(_unproven_code(group)))
                continue
            eligible = self._eligible_members(attempt, required)
            if not eligible:
                if attempt.should_run_elsewhere():
                    return StatementOutcome(attempt.refuse_unreachable_primary())
                attempt.tried.clear()
                if not await attempt.pause():
                    return StatementOutcome(attempt.final_refusal(ResultCode.NO_MEMBER))
                continue
            has_lagging = len(eligible) + len(attempt.tried) < len(group.pools)
            if has_lagging and await self._wait_for_replica(attempt, required, eligible[0]):
                continue
            pool = group.pools[eligible[0].record.identity]
            wait_s = attempt.connection_wait_s(pool)
            if len(eligible) > 1:
                wait_s = min(wait_s, MEMBER_CHOICE_INTERVAL_S)
            answer = await self._try_at(pool, attempt, required, wait_s)
            if answer is not None:
                return answer

    async def _wait_for_replica(
        self, attempt: Attempt, required: LogPosition | None, best: ObservedMember
    ) -> bool:
        """Wait for a replica to reach the position, if that is faster than using another member.

        :param best: the member that the read would use now
        :returns: whether there was such a replica
        """
        if required is None:
            return False
        group = attempt.group
        now = time.monotonic()
        held_since = group.positions.held_since(required)
        wait_s = group.pools[best.record.identity].connection_cost_s(attempt.session.tenant)
        alternative_s = cost_s(best, self._zone, now, wait_s, self._failure_cost_s(attempt))
        soonest = soonest_replica(
            group.observed_members,
            group.primary,
            required,
            self._zone,
            now,
            held_since,
            alternative_s,
        )
        if soonest is None or soonest[1] >= attempt.time_left() - MINIMUM_ATTEMPT_S:
            return False
        attempt.tried.discard(soonest[0].record.identity)
        await curio.sleep(soonest[1])
        return True

    async def _try_at(
        self, pool: MemberPool, attempt: Attempt, required: LogPosition | None, wait_s: float
    ) -> StatementOutcome | None:
        """Run a read on one member; return None when another one should be tried.

        :param wait_s: longest wait for a connection
        """
        identity = pool.observed.record.identity
        attempt.tried.add(identity)
        pinned = await self._exchange.connect(pool, attempt, wait_s)
        if pinned is None:
            return None
        is_primary = attempt.group.is_surely_primary(identity)
        if required is None and not is_primary:
            await pinned.release()
            return None
        if not attempt.may_be_sent():
            await pinned.release()
            return StatementOutcome(attempt.final_refusal(ResultCode.NO_MEMBER))
        hedged = HedgedRead(self._exchange, attempt, lambda: self._hedge_target(attempt, required))
        sent = await hedged.run(pinned, None if is_primary else required)
        is_given_up = sent.answer.kind in RETRYABLE_READ_ANSWERS and not attempt.may_retry_read()
        if sent.is_final or is_given_up:
            return await settle_first(attempt.session, attempt.run, sent.pinned, sent.answer)
        await sent.put_back(attempt)
        return None

    def _hedge_target(self, attempt: Attempt, required: LogPosition | None) -> HedgeTarget | None:
        """Return another member with room, to hedge a read that is slow on the first."""
        if not attempt.may_retry_read():
            return None
        group = attempt.group
        now = time.monotonic()
        for observed in self._eligible_members(attempt, required):
            identity = observed.record.identity
            pool = group.pools[identity]
            is_primary = group.is_surely_primary(identity)
            if pool.has_room_below_soft_limit and not observed.seems_silent(now):
                return HedgeTarget(pool, None if is_primary else required)
        return None

    def _eligible_members(
        self, attempt: Attempt, required: LogPosition | None
    ) -> list[ObservedMember]:
        """Return the members that can serve the read now, the best first."""
        group = attempt.group
        wants_primary = attempt.session.database.consistency is Consistency.PRIMARY
        position = None if wants_primary and group.is_surely_primary(group.primary) else required
        tenant = attempt.session.tenant
        return order_for_read(
            group.observed_members,
            group.primary,
            position,
            self._zone,
            attempt.tried,
            time.monotonic(),
            {identity: pool.connection_cost_s(tenant) for identity, pool in group.pools.items()},
            self._failure_cost_s(attempt),
            self._generator,
            None if position is None else group.positions.held_since(position),
        )

    def _failure_cost_s(self, attempt: Attempt) -> float:
        return attempt.session.database.target_latency_ms / MS_PER_S

    async def _required_position(self, attempt: Attempt) -> LogPosition | None:
        """Return the position that a replica must hold for this read.

        None means that only the primary may serve it, because the read requires the primary or no
        position is proven.
        """
        group = attempt.group
        session = attempt.session
        if session.database.consistency is Consistency.PRIMARY:
            if group.awaits_confirmation():
                await self._queries.confirm_primary(group, attempt.time_left())
            if group.is_surely_primary(group.primary):
                return None
            return await self._queries.prove_position(group, attempt.time_left())
        position = await self._fresh_position(attempt)
        if position is None or session.database.consistency is Consistency.BOUNDED:
            return position
        return position if session.written is None else max(position, session.written)

    async def _fresh_position(self, attempt: Attempt) -> LogPosition | None:
        """Return a position that the primary held within the staleness bound; None if unknown.

        While the primary has no room, for example just after the start, its position is queried so
        that replicas can serve the read.
        """
        group = attempt.group
        while True:
            position = group.positions.not_older_than(_oldest_allowed(attempt))
            if position is not None:
                return position
            if group.awaits_confirmation():
                await self._queries.confirm_primary(group, attempt.time_left())
                if group.positions.not_older_than(_oldest_allowed(attempt)) is not None:
                    continue
            if not group.is_surely_primary(group.primary):
                return await self._queries.prove_position(group, attempt.time_left())
            pool = group.primary_pool()
            if pool is None or pool.has_room_below_soft_limit:
                return None
            await self._queries.learn_position(group)
            if not await attempt.pause():
                return None


def _unproven_code(group: StatementGroup) -> ResultCode:
    """Return the refusal of a read for which nothing proves who leads.

    A recorded primary that has not confirmed its role had no room for the question.
    """
    if group.awaits_confirmation():
        return ResultCode.NO_MEMBER
    return ResultCode.FRESHNESS_UNPROVEN


def _oldest_allowed(attempt: Attempt) -> float:
    """Return the earliest time at which the primary may have held a usable position."""
    staleness_s = attempt.session.database.max_staleness_ms / MS_PER_S
    return time.monotonic() - staleness_s + STALENESS_MARGIN_S

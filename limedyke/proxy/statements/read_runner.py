"""Runs reads: at a replica that is proved fresh enough, or at the primary."""

from __future__ import annotations

import random
import time

import curio

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.routing import cost_s, order_for_read, soonest_replica
from limedyke.messages.databases import Consistency
from limedyke.messages.work import LogPosition
from limedyke.proxy.statements.attempt import LEAST_ATTEMPT_S, MS_PER_S, Attempt
from limedyke.proxy.statements.hedged_read import RAN_IN_VAIN, HedgedRead, SecondMember
from limedyke.proxy.statements.members.member_exchange import MemberExchange
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.members.member_queries import MemberQuestions
from limedyke.proxy.statements.settlement import settle_first
from limedyke.proxy.statements.statement_log import NotSent
from limedyke.proxy.statements.statement_outcome import PlacedAnswer
from limedyke.result_codes import ResultCode

STALENESS_MARGIN_S = 0.03
CHOICE_INTERVAL_S = 0.06
"""A read waits so long for a connection to one member before it looks at all of them again: twice
as long as it takes until a connection beyond the usual share of the lease is opened."""


class ReadRunner:
    """Runs reads, and the first statements of transactions that only read.

    :param zone: of this proxy
    """

    def __init__(self, zone: str, exchange: MemberExchange, questions: MemberQuestions) -> None:
        self._zone = zone
        self._generator = random.Random()
        self._exchange = exchange
        self._questions = questions

    async def run(self, attempt: Attempt) -> PlacedAnswer:
        """Run a read; try member after member while none has run it."""
        group = attempt.group
        while True:
            if attempt.is_too_late():
                return PlacedAnswer(attempt.give_up(ResultCode.NO_MEMBER))
            required = await self._required_position(attempt)
            if required is None and not group.is_surely_primary(group.primary):
                attempt.failed(NotSent.POSITION_UNPROVEN)
                if not await attempt.pause():
                    return PlacedAnswer(attempt.give_up(ResultCode.FRESHNESS_UNPROVEN))
                continue
            able = self._able(attempt, required)
            if not able:
                if attempt.had_better_run_elsewhere():
                    return PlacedAnswer(attempt.leave_to_others())
                attempt.tried.clear()
                if not await attempt.pause():
                    return PlacedAnswer(attempt.give_up(ResultCode.NO_MEMBER))
                continue
            has_late = len(able) + len(attempt.tried) < len(group.pools)
            if has_late and await self._wait_for_replica(attempt, required, able[0]):
                continue
            pool = group.pools[able[0].record.identity]
            wait_s = attempt.connection_wait_s(pool)
            if len(able) > 1:
                wait_s = min(wait_s, CHOICE_INTERVAL_S)
            answer = await self._try_at(pool, attempt, required, wait_s)
            if answer is not None:
                return answer

    async def _wait_for_replica(
        self, attempt: Attempt, required: LogPosition | None, best: ObservedMember
    ) -> bool:
        """Wait for a replica that will hold the position, if that is sooner than any other way.

        :param best: the member that the read would go to now
        :returns: whether there was one
        """
        if required is None:
            return False
        group = attempt.group
        now = time.monotonic()
        held_since = group.positions.held_since(required)
        wait_s = group.pools[best.record.identity].connection_cost_s(attempt.session.tenant)
        instead_s = cost_s(best, self._zone, now, wait_s, self._failure_cost_s(attempt))
        soonest = soonest_replica(
            group.observed_members, group.primary, required, self._zone, now, held_since, instead_s
        )
        if soonest is None or soonest[1] >= attempt.time_left() - LEAST_ATTEMPT_S:
            return False
        attempt.tried.discard(soonest[0].record.identity)
        await curio.sleep(soonest[1])
        return True

    async def _try_at(
        self, pool: MemberPool, attempt: Attempt, required: LogPosition | None, wait_s: float
    ) -> PlacedAnswer | None:
        """Run a read at one member; None when another one should be tried.

        :param wait_s: how long a connection is waited for
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
            return PlacedAnswer(attempt.give_up(ResultCode.NO_MEMBER))
        hedged = HedgedRead(self._exchange, attempt, lambda: self._second(attempt, required))
        sent = await hedged.run(pinned, None if is_primary else required)
        is_given_up = sent.answer.kind in RAN_IN_VAIN and not attempt.may_run_again()
        if sent.is_final or is_given_up:
            return await settle_first(attempt.session, attempt.run, sent.pinned, sent.answer)
        await sent.put_back(attempt)
        return None

    def _second(self, attempt: Attempt, required: LogPosition | None) -> SecondMember | None:
        """Return another member that has room for a read that is slow at the first."""
        if not attempt.may_run_again():
            return None
        group = attempt.group
        now = time.monotonic()
        for observed in self._able(attempt, required):
            identity = observed.record.identity
            pool = group.pools[identity]
            is_primary = group.is_surely_primary(identity)
            if pool.has_usual_room and not observed.seems_silent(now):
                return SecondMember(pool, None if is_primary else required)
        return None

    def _able(self, attempt: Attempt, required: LogPosition | None) -> list[ObservedMember]:
        """Return the members that may serve the read now, the best first."""
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
        """Return a position that a replica must hold for this read; None when none is proved."""
        group = attempt.group
        session = attempt.session
        if session.database.consistency is Consistency.PRIMARY:
            if group.is_surely_primary(group.primary):
                return None
            return await self._questions.prove_position(group, attempt.time_left())
        position = await self._fresh_position(attempt)
        if position is None or session.database.consistency is Consistency.BOUNDED:
            return position
        return position if session.written is None else max(position, session.written)

    async def _fresh_position(self, attempt: Attempt) -> LogPosition | None:
        """Return a position that the primary held within the bound; None when none is known.

        While the primary has no room, as just after the start, its position is asked for: then
        replicas can serve, and a read need not wait for the primary.
        """
        group = attempt.group
        while True:
            position = group.positions.not_older_than(_oldest_allowed(attempt))
            if position is not None:
                return position
            if not group.is_surely_primary(group.primary):
                return await self._questions.prove_position(group, attempt.time_left())
            pool = group.primary_pool()
            if pool is None or pool.has_usual_room:
                return None
            await self._questions.learn_position(group)
            if not await attempt.pause():
                return None


def _oldest_allowed(attempt: Attempt) -> float:
    """Return the moment at which a position must have been the primary's at the earliest."""
    staleness_s = attempt.session.database.max_staleness_ms / MS_PER_S
    return time.monotonic() - staleness_s + STALENESS_MARGIN_S

"""Runs statements at a home proxy of their group while this proxy holds no lease."""

from __future__ import annotations

import dataclasses
import itertools
import time

import curio

from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.statements import (
    StatementKind,
    StatementUnit,
    StatementUnitEnd,
)
from limedyke.messages.work import AbandonWork, SessionSetting, TransactionStatus
from limedyke.proxy.forwarding_link import HomeLink
from limedyke.proxy.home_links import HomeLinks
from limedyke.proxy.statements.attempt import (
    HELD_SHARE_OF_TARGET,
    RETRY_AFTER_MS,
    RETRY_PAUSE_S,
)
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.placed_answer import ForwardedTransaction, PlacedAnswer
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.result_codes import ResultCode

MS_PER_S = 1_000.0
OWN_LEASE_WAIT_S = 0.1
"""A home proxy that has no lease yet waits so long for it before it asks another one."""
LEASE_WAIT_SHARE = 0.7
"""While no home proxy is reached, a statement waits so much of its time for one or for a lease."""
HOME_SHARE_OF_TIME = 0.95
"""So much of a statement's time is left to the home proxy at most: its answer has to come back."""
LEAST_HOME_SHARE_OF_TIME = 0.5
UNREACHED_TRIES = 3
"""After so many home proxies that can't reach the primary a statement waits for another primary."""
READ_SHARE_OF_TIME = 0.6
"""A first attempt to read gets so much of the time, so that another home proxy can be tried."""
LEAST_ATTEMPT_S = 0.05
_UNREACHED = ResultCode.PRIMARY_UNREACHED.value.number
_TRY_ANOTHER = frozenset(
    {ResultCode.DRAINING.value.number, ResultCode.NO_LEASE.value.number, _UNREACHED}
)


class StatementForwarding:
    """Sends statements to home proxies; a transaction stays on one of them.

    :param links: to home proxies
    :param metrics: counts what was forwarded
    """

    def __init__(self, links: HomeLinks, metrics: StatementMetrics) -> None:
        self.links = links
        self._metrics = metrics
        self._numbers = itertools.count(1)

    async def run(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> PlacedAnswer | None:
        """Run a statement that is in no open transaction yet.

        :returns: None when this proxy holds a lease by now and can run it itself
        """
        now = time.monotonic()
        deadline = now + session.database.statement_timeout_ms / MS_PER_S
        wait_until = now + LEASE_WAIT_SHARE * (deadline - now)
        transaction = next(self._numbers) if session.transaction is not None else 0
        unit = self._unit(session, run, transaction)
        if self.links.is_home(group.name):
            await curio.ignore_after(OWN_LEASE_WAIT_S, group.leased.wait)
            if group.limit > 0:
                return None
        hold_until = now + HELD_SHARE_OF_TARGET * session.database.target_latency_ms / MS_PER_S
        tried: set[str] = set()
        last = "no home proxy is reached"
        runs = 0
        unreached = 0
        while True:
            link = await self._choose(group.name, tried, deadline)
            if unreached and (link is None or unreached >= UNREACHED_TRIES):
                if not await group.wait_for_primary(min(hold_until, deadline)):
                    return self._give_up(session, ResultCode.NO_PRIMARY, last)
                tried.clear()
                unreached = 0
                continue
            if link is None:
                tried.clear()
                if time.monotonic() >= wait_until:
                    return self._give_up(session, ResultCode.NO_LEASE, last)
                await curio.ignore_after(RETRY_PAUSE_S, group.leased.wait)
                if group.limit > 0:
                    return None
                continue
            tried.add(link.home)
            runs += 1
            is_last = run.writes or runs >= session.database.maximum_attempts
            limit_s = self._limit_s(deadline, is_last)
            end = await self._run_at(link, unit, limit_s)
            if end is None:
                last = f"no answer of home proxy {link.home}"
                if not is_last and deadline - time.monotonic() > LEAST_ATTEMPT_S:
                    continue
                return self._lost(session, run, last)
            if end.answer.code not in _TRY_ANOTHER:
                return self._settle(session, run, end, link, transaction)
            runs -= 1
            unreached += end.answer.code == _UNREACHED
            link.is_draining |= end.answer.code == ResultCode.DRAINING.value.number
            last = f"{link.home}: {end.answer.detail}"

    async def run_in_transaction(
        self, session: StatementSession, run: RunOnMember, place: ForwardedTransaction
    ) -> PlacedAnswer:
        """Run a further statement of a transaction that is open at a home proxy."""
        unit = self._unit(session, run, place.number)
        limit_s = session.database.statement_timeout_ms / MS_PER_S
        end = await self._run_at(place.link, unit, limit_s)
        if end is None:
            place.link.transactions.discard(place.number)
            return self._lost(session, run, f"no answer of home proxy {place.link.home}")
        return self._settle(session, run, end, place.link, place.number)

    async def roll_back(self, place: ForwardedTransaction) -> None:
        """Have the home proxy roll a transaction back."""
        place.link.transactions.discard(place.number)
        await place.link.abandon(AbandonWork(0, place.number, False))

    async def _choose(self, group: str, tried: set[str], deadline: float) -> HomeLink | None:
        async with curio.ignore_after(max(0.0, deadline - time.monotonic())):
            return await self.links.choose(group, tried)
        return None

    def _limit_s(self, deadline: float, is_last: bool) -> float:
        left_s = max(0.0, deadline - time.monotonic())
        return left_s if is_last else max(left_s * READ_SHARE_OF_TIME, LEAST_ATTEMPT_S)

    def _unit(self, session: StatementSession, run: RunOnMember, transaction: int) -> StatementUnit:
        settings = tuple(SessionSetting(name, value) for name, value in session.settings.items())
        return StatementUnit(
            stream=0,
            transaction=transaction,
            database=session.database,
            statement=run.statement,
            begin=run.begin,
            writes=run.writes,
            prepared=run.prepared,
            settings=settings,
            written=session.written,
            deadline_ms=0,
        )

    async def _run_at(
        self, link: HomeLink, unit: StatementUnit, limit_s: float
    ) -> StatementUnitEnd | None:
        """Run a unit at a home proxy; None when it gives no answer in time."""
        self._metrics.forwarded_out.inc()
        deadline_ms = max(1, int(home_time_s(limit_s, link.travel_s) * MS_PER_S))
        sent = dataclasses.replace(unit, stream=next(self._numbers), deadline_ms=deadline_ms)
        async with curio.ignore_after(limit_s):
            return await link.run_unit(sent)
        return None

    def _settle(
        self,
        session: StatementSession,
        run: RunOnMember,
        end: StatementUnitEnd,
        link: HomeLink,
        transaction: int,
    ) -> PlacedAnswer:
        """Follow what the home proxy says of the session."""
        if end.answer.code == 0:
            session.ran(run)
        elif end.status is TransactionStatus.FAILED:
            session.fail_transaction()
        elif session.transaction is not None:
            session.close_transaction()
        session.wrote_up_to(end.written)
        if end.status is not TransactionStatus.IN_TRANSACTION:
            link.transactions.discard(transaction)
            return PlacedAnswer(end.answer)
        link.transactions.add(transaction)
        return PlacedAnswer(end.answer, ForwardedTransaction(link, transaction))

    def _lost(self, session: StatementSession, run: RunOnMember, detail: str) -> PlacedAnswer:
        """Say what is known of a statement whose home proxy gave no answer.

        An open transaction can't be committed any more: the home proxy rolls it back.
        """
        is_commit = run.statement.kind is StatementKind.COMMIT
        is_in_transaction = session.transaction is not None
        if is_commit:
            session.close_transaction()
        else:
            session.fail_transaction()
        if run.writes and (is_commit or not is_in_transaction):
            return PlacedAnswer(refusal(ResultCode.OUTCOME_UNKNOWN, detail))
        if is_in_transaction:
            return PlacedAnswer(refusal(ResultCode.TRANSACTION_LOST, detail, RETRY_AFTER_MS))
        return PlacedAnswer(refusal(ResultCode.READ_UNANSWERED, detail))

    def _give_up(self, session: StatementSession, code: ResultCode, detail: str) -> PlacedAnswer:
        """Refuse a statement that did not run."""
        if session.transaction is not None:
            session.fail_transaction()
            return PlacedAnswer(refusal(ResultCode.TRANSACTION_LOST, detail, RETRY_AFTER_MS))
        return PlacedAnswer(refusal(code, detail, RETRY_AFTER_MS))


def home_time_s(limit_s: float, travel_s: float) -> float:
    """Return how much of the time for an answer the home proxy itself may take.

    :param travel_s: how long the unit and its answer are on their way
    """
    most_s = min(limit_s * HOME_SHARE_OF_TIME, limit_s - travel_s)
    return max(most_s, limit_s * LEAST_HOME_SHARE_OF_TIME)

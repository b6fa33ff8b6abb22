"""Runs statements at a home proxy of their group while this proxy holds no lease."""

from __future__ import annotations

import dataclasses
import itertools
import time

import curio

from limedyke.core.statements.session import RunOnMember, StatementSession
from limedyke.messages.statements import StatementAnswer, StatementUnit, StatementUnitEnd
from limedyke.messages.work import AbandonWork, SessionSetting, TransactionStatus
from limedyke.proxy.forwarding.home_links import HomeLinks, HomeNeed
from limedyke.proxy.forwarding.link import NEVER, NOT_SENT, HomeLink, NotSent
from limedyke.proxy.statements.attempt import MS_PER_S
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.homes.forwarded_attempt import UNREACHED_TRIES, ForwardedAttempt
from limedyke.proxy.statements.settlement import settle_unanswered
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.proxy.statements.statement_outcome import ForwardedTransaction, PlacedAnswer
from limedyke.result_codes import ResultCode, did_not_run

OWN_LEASE_WAIT_S = 0.1
"""A home proxy that has no lease yet waits so long for it before it asks another one."""
HOME_SHARE_OF_TIME = 0.95
"""So much of a statement's time is left to the home proxy at most, however near it is: reading and
passing on its answer takes processor time too (40 ms of 800 ms, at half a core)."""
LEAST_HOME_SHARE_OF_TIME = 0.5
"""However far the home proxy seems to be: a single slow opening of its link is no measure."""
_TRY_ANOTHER = frozenset(
    code.value.number
    for code in (
        ResultCode.DRAINING,
        ResultCode.HOME_CROWDED,
        ResultCode.NO_LEASE,
        ResultCode.PRIMARY_UNREACHED,
    )
)


_DRAINING = ResultCode.DRAINING.value.number
_CROWDED = ResultCode.HOME_CROWDED.value.number
_ASKED_LAST = frozenset({_DRAINING, _CROWDED})
"""A home proxy that would leave a unit to others takes it where there are none."""


NO_SIGN = "no-sign-of-life"
NO_ANSWER = "no-answer"
AT_TENANTS_HOME = "at-tenants-home"


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
        unit = self._unit(session, run, 0)
        attempt = ForwardedAttempt.begin(session, run, group)
        if self.links.is_home(group.name):
            await curio.ignore_after(OWN_LEASE_WAIT_S, group.leased.wait)
        return await self._run_at_any(attempt, unit)

    async def run_at_tenants_home(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> PlacedAnswer | None:
        """Run a statement that is in no open transaction yet where its tenant's connections are.

        A connection serves one tenant: opened here for its few clients at this proxy, it would be
        closed again before the next one comes, and another tenant's for it.

        :returns: None when this proxy, which holds a lease, is to run it: that is here, or it
            surely did not run there
        """
        need = _need_of(session, run)
        link = await self.links.tenants_home(group.name, session.tenant, need)
        if link is None:
            return None
        self._metrics.home_tries.labels(AT_TENANTS_HOME).inc()
        attempt = ForwardedAttempt.begin(session, run, group)
        unit = self._unit(session, run, 0)
        placed = await self._try_at(link, unit, attempt)
        if placed is not None or not attempt.unanswered:
            return placed
        return await self._run_at_any(attempt, unit)

    async def _run_at_any(
        self, attempt: ForwardedAttempt, unit: StatementUnit
    ) -> PlacedAnswer | None:
        """Try home proxies until one has run a statement, or its time is over.

        :returns: None when this proxy holds a lease, and no other may have run it
        """
        group = attempt.group
        while group.limit == 0 or attempt.unanswered:
            link = await self._choose(attempt)
            if attempt.unreached and (link is None or attempt.unreached >= UNREACHED_TRIES):
                if not await attempt.wait_for_primary():
                    return PlacedAnswer(attempt.give_up(ResultCode.NO_PRIMARY))
            elif link is None:
                if not await attempt.wait_for_home():
                    return PlacedAnswer(attempt.give_up(ResultCode.NO_LEASE))
            else:
                placed = await self._try_at(link, unit, attempt)
                if placed is not None:
                    return placed
        return None

    async def _try_at(
        self, link: HomeLink, unit: StatementUnit, attempt: ForwardedAttempt
    ) -> PlacedAnswer | None:
        """Try one home proxy; None when another one should be tried."""
        attempt.tried.add(link.home)
        if (attempt.unanswered or self.links.is_any_silent) and not await link.gives_sign():
            self._metrics.home_tries.labels(NO_SIGN).inc()
            attempt.last = f"no sign of life of home proxy {link.home}"
            return None
        is_last_choice = link.is_crowded or link.is_draining
        unit = dataclasses.replace(
            unit, may_decline=not is_last_choice, transaction=self._transaction_for(attempt)
        )
        attempt.session.tries_under_way += 1
        end = await self._run_at(link, unit, attempt.time_left(), attempt.patience_s(link))
        if end is NOT_SENT:
            attempt.session.tries_under_way -= 1
            self._metrics.home_tries.labels(NOT_SENT.value).inc()
            attempt.last = f"link to home proxy {link.home} closed"
            return None
        if end is None:
            may_be_sent_again = attempt.may_be_sent_again()
            attempt.unanswered += 1
            self._metrics.home_tries.labels(NO_ANSWER).inc()
            attempt.last = f"no answer of home proxy {link.home}"
            if may_be_sent_again:
                return None
            return settle_unanswered(attempt.session, attempt.run, attempt.last)
        if did_not_run(end.answer.code):
            attempt.session.tries_under_way -= 1
        if end.answer.code in _TRY_ANOTHER:
            _note_refusal(link, end.answer)
            if unit.may_decline and end.answer.code in _ASKED_LAST:
                attempt.tried.discard(link.home)
            attempt.refused(end.answer, link.home)
            return None
        end = dataclasses.replace(end, answer=attempt.outcome_of(end.answer))
        return self._settle(attempt.session, attempt.run, end, link, unit.transaction)

    async def run_in_transaction(
        self, session: StatementSession, run: RunOnMember, place: ForwardedTransaction
    ) -> PlacedAnswer:
        """Run a further statement of a transaction that is open at a home proxy."""
        unit = self._unit(session, run, place.number)
        limit_s = session.statement_time_s(time.monotonic())
        session.tries_under_way += 1
        end = await self._run_at(place.link, unit, limit_s)
        if end is NOT_SENT:
            session.tries_under_way -= 1
            place.link.transactions.discard(place.number)
            return settle_unanswered(session, run, f"link to home proxy {place.link.home} closed")
        if end is None:
            place.link.transactions.discard(place.number)
            return settle_unanswered(session, run, f"no answer of home proxy {place.link.home}")
        return self._settle(session, run, end, place.link, place.number)

    async def roll_back(self, place: ForwardedTransaction) -> None:
        """Have the home proxy roll a transaction back."""
        place.link.transactions.discard(place.number)
        await place.link.abandon(AbandonWork(0, place.number, False))

    async def _choose(self, attempt: ForwardedAttempt) -> HomeLink | None:
        async with curio.ignore_after(attempt.time_left()):
            session = attempt.session
            need = HomeNeed(session.database.priority, session.needs_primary(attempt.run))
            return await self.links.choose(attempt.group.name, attempt.tried, session.tenant, need)
        return None

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
            tenant=session.tenant,
        )

    async def _run_at(
        self, link: HomeLink, unit: StatementUnit, limit_s: float, patience_s: float = NEVER
    ) -> StatementUnitEnd | NotSent | None:
        """Run a unit at a home proxy; None when it gives no answer in time.

        :param patience_s: see ``HomeLink.run_unit``
        """
        self._metrics.forwarded_out.inc()
        deadline_ms = max(1, int(home_time_s(limit_s, link.travel_s) * MS_PER_S))
        sent = dataclasses.replace(unit, stream=next(self._numbers), deadline_ms=deadline_ms)
        end = await link.run_unit(sent, patience_s=patience_s, limit_s=limit_s)
        if isinstance(end, StatementUnitEnd):
            group = unit.database.group
            self.links.loads.told(link.home, group, end.load, time.monotonic())
        return end

    def _transaction_for(self, attempt: ForwardedAttempt) -> int:
        """Return a number for the transaction that a try begins; 0 when it begins none.

        Each try has one of its own: what is abandoned of an earlier try is that one's only.
        """
        return next(self._numbers) if attempt.session.transaction is not None else 0

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


def _need_of(session: StatementSession, run: RunOnMember) -> HomeNeed:
    return HomeNeed(session.database.priority, session.needs_primary(run))


def _note_refusal(link: HomeLink, answer: StatementAnswer) -> None:
    """Have a home proxy that leaves work to others asked last."""
    if answer.code == _DRAINING:
        link.is_draining = True
    if answer.code == _CROWDED:
        link.was_crowded()


def home_time_s(limit_s: float, travel_s: float) -> float:
    """Return how much of the time for an answer the home proxy itself may take.

    :param travel_s: how long the unit and its answer are on their way
    """
    most_s = min(limit_s * HOME_SHARE_OF_TIME, limit_s - travel_s)
    return max(most_s, limit_s * LEAST_HOME_SHARE_OF_TIME)

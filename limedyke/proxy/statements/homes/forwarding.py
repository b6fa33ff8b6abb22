"""Forwards statements to home proxies of their group."""

from __future__ import annotations

import dataclasses
import itertools
import time

import curio

from limedyke.core.statements.session import RunOnMember, StatementSession
from limedyke.messages.statements import StatementAnswer, StatementUnit, StatementUnitEnd
from limedyke.messages.work import AbandonWork, SessionSetting, TransactionStatus
from limedyke.proxy.forwarding.home_links import HomeLinks, UnitRequirements
from limedyke.proxy.forwarding.link import NEVER, NOT_SENT, HomeLink, NotSent
from limedyke.proxy.statements.attempt import MS_PER_S
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.homes.forwarded_attempt import (
    UNREACHABLE_PRIMARY_TRIES,
    ForwardedAttempt,
)
from limedyke.proxy.statements.settlement import settle_unanswered
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.proxy.statements.statement_outcome import ForwardedTransaction, StatementOutcome
from limedyke.result_codes import ResultCode, did_not_run

OWN_LEASE_WAIT_S = 0.1
"""Seconds that a home proxy without a lease waits for its own before it asks another one."""
MAXIMUM_HOME_SHARE_OF_TIME = 0.95
"""Largest share of a statement's time that is given to the home proxy. The rest is for reading and
passing on its answer, which takes processor time (40 ms of 800 ms, at half a core)."""
MINIMUM_HOME_SHARE_OF_TIME = 0.5
"""Smallest share given to the home proxy: its distance is estimated from one opening of its link,
which may have been slow."""
_RETRYABLE_CODES = frozenset(
    code.value.number
    for code in (
        ResultCode.DRAINING,
        ResultCode.HOME_CROWDED,
        ResultCode.NO_LEASE,
        ResultCode.PRIMARY_UNREACHED,
    )
)


_DRAINING_CODE = ResultCode.DRAINING.value.number
_CROWDED_CODE = ResultCode.HOME_CROWDED.value.number
_LAST_CHOICE_CODES = frozenset({_DRAINING_CODE, _CROWDED_CODE})
"""A home proxy that refused with one of these codes still runs the unit if no other proxy can."""


PROBE_UNANSWERED_LABEL = "no-sign-of-life"
NO_ANSWER_LABEL = "no-answer"
TENANT_HOME_LABEL = "at-tenants-home"


class StatementForwarding:
    """Forwards statements to home proxies; a transaction stays on one of them.

    :param links: to home proxies
    :param metrics: counts forwarded statements
    """

    def __init__(self, links: HomeLinks, metrics: StatementMetrics) -> None:
        self.links = links
        self._metrics = metrics
        self._numbers = itertools.count(1)

    async def run(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> StatementOutcome | None:
        """Run a statement outside an open transaction at a home proxy.

        :returns: None when this proxy has obtained a lease and can run it itself
        """
        unit = self._unit(session, run, 0)
        attempt = ForwardedAttempt.begin(session, run, group)
        if self.links.is_home(group.name):
            await curio.ignore_after(OWN_LEASE_WAIT_S, group.leased.wait)
        return await self._run_at_any(attempt, unit)

    async def run_at_tenant_home(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> StatementOutcome | None:
        """Run a statement outside an open transaction at the home proxy assigned to its tenant.

        A connection serves one tenant only. If every home proxy served every tenant, connections
        would be closed and reopened all the time for tenants with few clients at each proxy.

        :returns: None when this proxy, which holds a lease, is to run it: it is the tenant's home
            proxy itself, or the statement certainly did not run there
        """
        need = _requirements_of(session, run)
        link = await self.links.tenant_home_link(group.name, session.tenant, need)
        if link is None:
            return None
        self._metrics.home_tries.labels(TENANT_HOME_LABEL).inc()
        attempt = ForwardedAttempt.begin(session, run, group)
        unit = self._unit(session, run, 0)
        outcome = await self._try_at(link, unit, attempt)
        if outcome is not None or not attempt.unanswered_count:
            return outcome
        return await self._run_at_any(attempt, unit)

    async def _run_at_any(
        self, attempt: ForwardedAttempt, unit: StatementUnit
    ) -> StatementOutcome | None:
        """Try home proxies until one has run the statement or its time is over.

        :returns: None when this proxy holds a lease and no other proxy can have run it
        """
        group = attempt.group
        while group.limit == 0 or attempt.unanswered_count:
            link = await self._choose(attempt)
            if attempt.unreachable_count and (
                link is None or attempt.unreachable_count >= UNREACHABLE_PRIMARY_TRIES
            ):
                if not await attempt.wait_for_primary():
                    return StatementOutcome(attempt.final_refusal(ResultCode.NO_PRIMARY))
            elif link is None:
                if not await attempt.wait_for_home():
                    return StatementOutcome(attempt.final_refusal(ResultCode.NO_LEASE))
            else:
                outcome = await self._try_at(link, unit, attempt)
                if outcome is not None:
                    return outcome
        return None

    async def _try_at(
        self, link: HomeLink, unit: StatementUnit, attempt: ForwardedAttempt
    ) -> StatementOutcome | None:
        """Try one home proxy; return None when another one should be tried."""
        attempt.tried.add(link.home)
        if (
            attempt.unanswered_count or self.links.is_any_silent
        ) and not await link.answers_probe():
            self._metrics.home_tries.labels(PROBE_UNANSWERED_LABEL).inc()
            attempt.last_failure = f"home proxy {link.home} did not answer a probe"
            return None
        is_last_choice = link.is_crowded or link.is_draining
        unit = dataclasses.replace(
            unit, may_decline=not is_last_choice, transaction=self._transaction_for(attempt)
        )
        attempt.session.tries_under_way += 1
        end = await self._send_to(link, unit, attempt.time_left(), attempt.silence_limit_s(link))
        if end is NOT_SENT:
            attempt.session.tries_under_way -= 1
            self._metrics.home_tries.labels(NOT_SENT.value).inc()
            attempt.last_failure = f"link to home proxy {link.home} closed"
            return None
        if end is None:
            may_be_sent_again = attempt.may_be_sent_again()
            attempt.unanswered_count += 1
            self._metrics.home_tries.labels(NO_ANSWER_LABEL).inc()
            attempt.last_failure = f"no answer of home proxy {link.home}"
            if may_be_sent_again:
                return None
            return settle_unanswered(attempt.session, attempt.run, attempt.last_failure)
        if did_not_run(end.answer.code):
            attempt.session.tries_under_way -= 1
        if end.answer.code in _RETRYABLE_CODES:
            _note_refusal(link, end.answer)
            if unit.may_decline and end.answer.code in _LAST_CHOICE_CODES:
                attempt.tried.discard(link.home)
            attempt.refused(end.answer, link.home)
            return None
        end = dataclasses.replace(end, answer=attempt.outcome_of(end.answer))
        return self._settle(attempt.session, attempt.run, end, link, unit.transaction)

    async def run_in_transaction(
        self, session: StatementSession, run: RunOnMember, location: ForwardedTransaction
    ) -> StatementOutcome:
        """Run a further statement of a transaction that is open at a home proxy."""
        unit = self._unit(session, run, location.number)
        limit_s = session.statement_time_s(time.monotonic())
        session.tries_under_way += 1
        end = await self._send_to(location.link, unit, limit_s)
        if end is NOT_SENT:
            session.tries_under_way -= 1
            location.link.transactions.discard(location.number)
            return settle_unanswered(
                session, run, f"link to home proxy {location.link.home} closed"
            )
        if end is None:
            location.link.transactions.discard(location.number)
            return settle_unanswered(session, run, f"no answer of home proxy {location.link.home}")
        return self._settle(session, run, end, location.link, location.number)

    async def roll_back(self, location: ForwardedTransaction) -> None:
        """Ask the home proxy to roll a transaction back."""
        location.link.transactions.discard(location.number)
        await location.link.abandon(AbandonWork(0, location.number, False))

    async def _choose(self, attempt: ForwardedAttempt) -> HomeLink | None:
        async with curio.ignore_after(attempt.time_left()):
            session = attempt.session
            need = UnitRequirements(session.database.priority, session.needs_primary(attempt.run))
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

    async def _send_to(
        self, link: HomeLink, unit: StatementUnit, limit_s: float, silence_limit_s: float = NEVER
    ) -> StatementUnitEnd | NotSent | None:
        """Run a unit at a home proxy; None when it gives no answer in time.

        :param silence_limit_s: see ``HomeLink.run_unit``
        """
        self._metrics.forwarded_out.inc()
        deadline_ms = max(1, int(home_time_s(limit_s, link.travel_s) * MS_PER_S))
        sent = dataclasses.replace(unit, stream=next(self._numbers), deadline_ms=deadline_ms)
        end = await link.run_unit(sent, silence_limit_s=silence_limit_s, limit_s=limit_s)
        if isinstance(end, StatementUnitEnd):
            group = unit.database.group
            self.links.loads.told(link.home, group, end.load, time.monotonic())
        return end

    def _transaction_for(self, attempt: ForwardedAttempt) -> int:
        """Return a number for the transaction that a try begins; 0 when it begins none.

        Each try gets its own number, so that abandoning an earlier try doesn't affect a later one.
        """
        return next(self._numbers) if attempt.session.transaction is not None else 0

    def _settle(
        self,
        session: StatementSession,
        run: RunOnMember,
        end: StatementUnitEnd,
        link: HomeLink,
        transaction: int,
    ) -> StatementOutcome:
        """Update the session from the home proxy's answer and return the result."""
        if end.answer.code == 0:
            session.ran(run)
        elif end.status is TransactionStatus.FAILED:
            session.fail_transaction()
        elif session.transaction is not None:
            session.close_transaction()
        session.wrote_up_to(end.written)
        if end.status is not TransactionStatus.IN_TRANSACTION:
            link.transactions.discard(transaction)
            return StatementOutcome(end.answer)
        link.transactions.add(transaction)
        return StatementOutcome(end.answer, ForwardedTransaction(link, transaction))


def _requirements_of(session: StatementSession, run: RunOnMember) -> UnitRequirements:
    return UnitRequirements(session.database.priority, session.needs_primary(run))


def _note_refusal(link: HomeLink, answer: StatementAnswer) -> None:
    """Mark the link of a home proxy that refused work, so that it is chosen last."""
    if answer.code == _DRAINING_CODE:
        link.is_draining = True
    if answer.code == _CROWDED_CODE:
        link.mark_crowded()


def home_time_s(limit_s: float, travel_s: float) -> float:
    """Return the time limit for the home proxy, in seconds.

    :param limit_s: time left for the whole answer
    :param travel_s: network round trip time
    """
    most_s = min(limit_s * MAXIMUM_HOME_SHARE_OF_TIME, limit_s - travel_s)
    return max(most_s, limit_s * MINIMUM_HOME_SHARE_OF_TIME)

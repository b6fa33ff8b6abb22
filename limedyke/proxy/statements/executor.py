"""Runs the statements of a client: here under this proxy's lease, or at a home proxy."""

from __future__ import annotations

import time

from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.homes.forwarding import StatementForwarding
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.statement_outcome import (
    ForwardedTransaction,
    PlacedAnswer,
    TransactionLocation,
)
from limedyke.result_codes import ResultCode

UNDECLARED_RETRY_AFTER_MS = 200


class StatementExecutor:
    """Runs statements wherever connections of their group are leased."""

    def __init__(
        self, groups: StatementGroups, runner: StatementRunner, forwarding: StatementForwarding
    ) -> None:
        self._groups = groups
        self._runner = runner
        self._forwarding = forwarding

    def can_serve(self, group: str) -> bool:
        """Tell whether statements of a group have somewhere to run."""
        known = self._groups.groups.get(group)
        if known is not None and known.limit > 0:
            return True
        return self._forwarding.links.has_home(group)

    async def run(
        self, session: StatementSession, run: RunOnMember, place: TransactionLocation | None
    ) -> PlacedAnswer:
        """Run a statement.

        :param place: where the client's transaction is open; None when none is
        """
        if isinstance(place, ForwardedTransaction):
            return await self._forwarding.run_in_transaction(session, run, place)
        group = self._groups.groups.get(session.database.group)
        if group is None:
            if place is not None:
                await self.roll_back(place)
            session.fail_transaction()
            detail = "the group is not declared any more"
            return PlacedAnswer(refusal(ResultCode.NO_MEMBER, detail, UNDECLARED_RETRY_AFTER_MS))
        if place is None:
            forwarded = await self._run_elsewhere(session, run, group)
            if forwarded is not None:
                return forwarded
            return await self._run_here_first(session, run, group)
        return await self._runner.run(session, run, group, place)

    async def _run_here_first(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> PlacedAnswer:
        """Run a statement that is in no open transaction yet here.

        Where this proxy's lease ends while it waits it surely did not run, and goes to a home
        proxy for what is left of its time.
        """
        now = time.monotonic()
        until = now + session.statement_time_s(now)
        transaction, status = session.transaction, session.status
        placed = await self._runner.run(session, run, group, None)
        lost_lease = placed.answer.code == ResultCode.NO_LEASE.value.number
        lost_transaction = placed.answer.code == ResultCode.TRANSACTION_LOST.value.number
        if group.limit or session.was_sent or not (lost_lease or lost_transaction):
            return placed
        session.transaction, session.status = transaction, status
        session.answer_by = min(session.answer_by, until)
        forwarded = await self._forwarding.run(session, run, group)
        return forwarded or await self._runner.run(session, run, group, None)

    async def _run_elsewhere(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> PlacedAnswer | None:
        """Run a statement that is in no open transaction yet elsewhere; None to do it here."""
        if group.limit == 0:
            return await self._forwarding.run(session, run, group)
        if session.tenant:
            return await self._forwarding.run_at_tenants_home(session, run, group)
        return None

    async def roll_back(self, place: TransactionLocation) -> None:
        """End a transaction that is not to be committed."""
        if isinstance(place, ForwardedTransaction):
            await self._forwarding.roll_back(place)
        else:
            await place.roll_back()

    async def abandon(self, place: TransactionLocation) -> None:
        """End the transaction of a client that is gone; a statement may be under way."""
        if isinstance(place, ForwardedTransaction):
            await self._forwarding.roll_back(place)
        else:
            await place.abandon()

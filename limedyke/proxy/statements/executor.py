"""Runs client statements locally under this proxy's lease, or at a home proxy."""

from __future__ import annotations

import time

from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.homes.forwarding import StatementForwarding
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.statement_outcome import (
    ForwardedTransaction,
    StatementOutcome,
    TransactionLocation,
)
from limedyke.result_codes import ResultCode

UNDECLARED_GROUP_RETRY_AFTER_MS = 200


class StatementExecutor:
    """Runs each statement on a proxy that holds a connection lease for its group."""

    def __init__(
        self, groups: StatementGroups, runner: StatementRunner, forwarding: StatementForwarding
    ) -> None:
        self._groups = groups
        self._runner = runner
        self._forwarding = forwarding

    def can_serve(self, group: str) -> bool:
        """Tell whether this proxy or a known home proxy can run statements of a group."""
        known = self._groups.groups.get(group)
        if known is not None and known.limit > 0:
            return True
        return self._forwarding.links.has_home(group)

    async def run(
        self, session: StatementSession, run: RunOnMember, location: TransactionLocation | None
    ) -> StatementOutcome:
        """Run a statement.

        :param location: where the client's transaction is open; None when none is
        """
        if isinstance(location, ForwardedTransaction):
            return await self._forwarding.run_in_transaction(session, run, location)
        group = self._groups.groups.get(session.database.group)
        if group is None:
            if location is not None:
                await self.roll_back(location)
            session.fail_transaction()
            detail = "the group is no longer declared"
            return StatementOutcome(
                refusal(ResultCode.NO_MEMBER, detail, UNDECLARED_GROUP_RETRY_AFTER_MS)
            )
        if location is None:
            forwarded = await self._forward(session, run, group)
            if forwarded is not None:
                return forwarded
            return await self._run_locally(session, run, group)
        return await self._runner.run(session, run, group, location)

    async def _run_locally(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> StatementOutcome:
        """Run a statement outside an open transaction on this proxy.

        If this proxy's lease ends before the statement was sent, the statement is forwarded to a
        home proxy for the rest of its time.
        """
        now = time.monotonic()
        until = now + session.statement_time_s(now)
        transaction, status = session.transaction, session.status
        outcome = await self._runner.run(session, run, group, None)
        lost_lease = outcome.answer.code == ResultCode.NO_LEASE.value.number
        lost_transaction = outcome.answer.code == ResultCode.TRANSACTION_LOST.value.number
        if group.limit or session.was_sent or not (lost_lease or lost_transaction):
            return outcome
        session.transaction, session.status = transaction, status
        session.answer_by = min(session.answer_by, until)
        forwarded = await self._forwarding.run(session, run, group)
        return forwarded or await self._runner.run(session, run, group, None)

    async def _forward(
        self, session: StatementSession, run: RunOnMember, group: StatementGroup
    ) -> StatementOutcome | None:
        """Forward a statement outside an open transaction; None to run it on this proxy."""
        if group.limit == 0:
            return await self._forwarding.run(session, run, group)
        if session.tenant:
            return await self._forwarding.run_at_tenant_home(session, run, group)
        return None

    async def roll_back(self, location: TransactionLocation) -> None:
        """Roll back a transaction."""
        if isinstance(location, ForwardedTransaction):
            await self._forwarding.roll_back(location)
        else:
            await location.roll_back()

    async def abandon(self, location: TransactionLocation) -> None:
        """End the transaction of a disconnected client; one of its statements may be running."""
        if isinstance(location, ForwardedTransaction):
            await self._forwarding.roll_back(location)
        else:
            await location.abandon()

"""Runs statements on members: applies limits, chooses members and retries what did not run."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.session import RunOnMember, StatementSession, refusal
from limedyke.messages.statements import NOT_RUN, AnswerKind, MemberAnswer, StatementKind
from limedyke.proxy.limits.operation_limiter import OperationLimiter
from limedyke.proxy.statements.attempt import MS_PER_S, RETRY_PAUSE_S, Attempt
from limedyke.proxy.statements.commit_relay import relay_commit
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_exchange import MemberExchange
from limedyke.proxy.statements.members.member_queries import MemberQueries
from limedyke.proxy.statements.members.pinned_connection import PinnedConnection
from limedyke.proxy.statements.read_runner import ReadRunner
from limedyke.proxy.statements.settlement import (
    settle_ended_at_rest,
    settle_first,
    settle_in_transaction,
)
from limedyke.proxy.statements.statement_log import NotSentReason, StatementLog
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.proxy.statements.statement_outcome import StatementOutcome
from limedyke.result_codes import ResultCode, did_not_run


class StatementRunner:
    """Runs the statements of all sessions of this proxy.

    :param zone: of this proxy
    :param metrics: counts the answers of members
    :param log: receives each failed try
    :param limits: returns the limiter of tenants' operations, or None to admit all
    """

    def __init__(
        self,
        zone: str,
        metrics: StatementMetrics,
        log: StatementLog,
        limits: Callable[[], OperationLimiter | None] = lambda: None,
    ) -> None:
        self._limits = limits
        self._log = log
        self._exchange = MemberExchange(metrics)
        self.queries = MemberQueries()
        self._reads = ReadRunner(zone, self._exchange, self.queries)

    async def run(
        self,
        session: StatementSession,
        run: RunOnMember,
        group: StatementGroup,
        pinned: PinnedConnection | None,
    ) -> StatementOutcome:
        """Run a statement.

        :param pinned: the connection on which the client's transaction is open; None when none is
        """
        attempt = Attempt.begin(session, run, group, self._log)
        if pinned is not None:
            return await self._run_pinned(pinned, attempt)
        if attempt.time_left() <= 0.0:
            attempt.last_failure = "its time was over before it could run"
            return StatementOutcome(attempt.final_refusal(ResultCode.NO_MEMBER))
        limits = self._limits()
        if limits is None:
            return await self._run_first(attempt)
        return await self._run_within(limits, attempt)

    async def _run_within(self, limits: OperationLimiter, attempt: Attempt) -> StatementOutcome:
        """Run the first statement of an operation if its tenant's limit admits it.

        The operation is counted on the proxy that runs it, not on the client's proxy, so that fewer
        proxies share a limit. It may wait for a token as long as it can meet its target latency.
        """
        tenant, priority = attempt.session.tenant, attempt.session.database.priority
        request = attempt.run.statement.request_id
        over = await limits.admit(tenant, priority, attempt.token_wait_until(), request)
        if over is not None:
            attempt.session.fail_transaction()
            retry_after_ms = int(over.retry_after_s * MS_PER_S)
            answer = refusal(ResultCode.OVER_OPERATION_LIMIT, over.detail, retry_after_ms)
            return StatementOutcome(answer)
        outcome = await self._run_first(attempt)
        if did_not_run(outcome.answer.code):
            await limits.give_back(tenant, priority)
        return outcome

    async def _run_first(self, attempt: Attempt) -> StatementOutcome:
        """Run a statement outside an open transaction."""
        session, run = attempt.session, attempt.run
        if session.needs_primary(run) and not _reads_only(run):
            return await self._run_on_primary(attempt)
        return await self._reads.run(attempt)

    async def _run_pinned(self, pinned: PinnedConnection, attempt: Attempt) -> StatementOutcome:
        """Run a further statement of a transaction on its connection; retry while it is busy."""
        if not pinned.end_rest():
            return settle_ended_at_rest(attempt.session, attempt.run, pinned)
        while True:
            answer = await self._run_on(pinned, attempt)
            if answer.kind is not AnswerKind.BUSY:
                break
            attempt.record_failure(answer.kind, pinned.identity)
            await curio.sleep(RETRY_PAUSE_S)
            if attempt.is_too_late(pinned.pool.observed.answer.usual_s):
                break
        return await settle_in_transaction(attempt.session, attempt.run, pinned, answer)

    async def _run_on(self, pinned: PinnedConnection, attempt: Attempt) -> MemberAnswer:
        """Run a statement on a connection; return its answer once it may be relayed."""
        sent_under = attempt.group.office_of(pinned.identity)
        answer = await self._exchange.run(pinned, attempt, None, attempt.time_left())
        return await relay_commit(attempt, sent_under, answer)

    async def _run_on_primary(self, attempt: Attempt) -> StatementOutcome:
        """Run a write, or the first statement of a transaction that may write, on the primary."""
        group = attempt.group
        while True:
            pool = group.primary_pool()
            takes_writes = pool is not None and _takes_writes(pool.observed, time.monotonic())
            if not takes_writes or not group.may_commit():
                reason = (
                    NotSentReason.NO_PRIMARY_LEASE if takes_writes else NotSentReason.NO_PRIMARY
                )
                attempt.record_failure(reason)
                await self.queries.search_primary(group)
                if not await attempt.wait_for_primary():
                    return StatementOutcome(attempt.final_refusal(ResultCode.NO_PRIMARY))
                continue
            wait_s = attempt.connection_wait_s(pool)
            pinned = await self._exchange.connect(pool, attempt, wait_s)
            if attempt.is_too_late(pool.observed.answer.usual_s):
                if pinned is not None:
                    await pinned.release()
                return StatementOutcome(attempt.final_refusal(ResultCode.NO_PRIMARY))
            if pinned is None:
                if not await attempt.pause():
                    return StatementOutcome(attempt.final_refusal(ResultCode.NO_PRIMARY))
                continue
            if not attempt.may_be_sent():
                await pinned.release()
                return StatementOutcome(attempt.final_refusal(ResultCode.NO_PRIMARY))
            answer = await self._run_on(pinned, attempt)
            if answer.kind not in NOT_RUN:
                return await settle_first(attempt.session, attempt.run, pinned, answer)
            attempt.record_failure(answer.kind, pinned.identity)
            await pinned.release()
            if answer.kind is AnswerKind.NOT_PRIMARY:
                await self.queries.search_primary(group)
            until = attempt.deadline if answer.kind is AnswerKind.BUSY else attempt.held_until()
            if not await attempt.pause(until):
                return StatementOutcome(attempt.final_refusal(ResultCode.NO_PRIMARY))


def _takes_writes(observed: ObservedMember, now: float) -> bool:
    """Tell whether a write should be sent to a primary.

    If the primary seems to hang, the outcome would probably stay unknown.
    """
    return observed.takes_work(now) and not observed.seems_silent(now)


def _reads_only(run: RunOnMember) -> bool:
    """Tell whether a statement and the transaction that it begins only read."""
    if run.begin is not None:
        return run.begin.kind is StatementKind.BEGIN_READ and not run.writes
    return not run.writes

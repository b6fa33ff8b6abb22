"""Asks a member that is being promoted whether it leads."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from limedyke.event_log import EventLog
from limedyke.messages.control import PrimaryClaim, PrimaryQuery
from limedyke.messages.statements import MemberStatus
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.members.member_queries import MemberQueries
from limedyke.proxy.statements.members.polling import (
    attempt_limit_s,
    poll_member,
    polling_end,
)

EVENTS = EventLog("promotions")
Report = Callable[[PrimaryClaim], Awaitable[None]]


class PrimaryQueries:
    """Answers the controllers' primary queries for all groups of this proxy.

    :param queries: sends requests to members
    :param report: sends a claim to the controllers
    """

    def __init__(self, queries: MemberQueries, report: Report) -> None:
        self._queries = queries
        self._report = report
        self._ends_at: dict[int, float] = {}

    async def start(self, group: StatementGroup, query: PrimaryQuery) -> None:
        """Ask the member in the background; a repeated query only puts off the end of the first."""
        pool = group.pools.get(query.member)
        if pool is None:
            return
        is_running = query.round_id in self._ends_at
        self._ends_at[query.round_id] = polling_end(query.timeout_ms)
        if not is_running:
            await curio.spawn(self._run, group, pool, query, daemon=True)

    async def _run(self, group: StatementGroup, pool: MemberPool, query: PrimaryQuery) -> None:
        """Ask the member until it says that it leads, and report that."""

        async def ask(limit_s: float) -> MemberStatus | None:
            status = await self._queries.ask_role(group, pool, limit_s)
            return status if status is not None and status.is_primary else None

        def ends_at() -> float:
            return self._ends_at[query.round_id]

        try:
            limit_s = attempt_limit_s(pool)
            status = await poll_member(group, query.fence, ends_at, limit_s, ask)
            if status is not None:
                await self._send_claim(group, pool, query, status)
        finally:
            self._ends_at.pop(query.round_id)

    async def _send_claim(
        self, group: StatementGroup, pool: MemberPool, query: PrimaryQuery, status: MemberStatus
    ) -> None:
        record = pool.observed.record
        EVENTS.info(
            "claim", group=group.name, member=record.identity, fence=query.fence, term=status.term
        )
        await self._report(
            PrimaryClaim(
                group.name, query.round_id, record.identity, record.started_at_ms, status.term
            )
        )

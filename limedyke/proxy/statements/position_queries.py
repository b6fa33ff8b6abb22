"""Queries members for their log positions, and lets held replicas receive again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
from result import Ok

from limedyke.event_log import EventLog
from limedyke.messages.control import PositionQuery, PositionReport
from limedyke.messages.statements import AnswerKind, MemberStatus
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.member_connection import MemberConnection
from limedyke.proxy.statements.members.member_pool import MemberPool
from limedyke.proxy.statements.members.member_queries import MemberQueries
from limedyke.proxy.statements.members.polling import (
    attempt_limit_s,
    poll_member,
    polling_end,
)

HELD_CHECK_INTERVAL_S = 2.0
"""Interval at which each replica is checked for a hold that was carried out late."""
ROUND_TRIPS = 3
"""A status, a hold or release, and a status again."""
EVENTS = EventLog("positions")
Report = Callable[[PositionReport], Awaitable[None]]


class PositionQueries:
    """Answers the controllers' position queries for all groups of this proxy.

    :param queries: sends requests to members
    :param report: sends a report to the controllers
    """

    def __init__(self, queries: MemberQueries, report: Report) -> None:
        self._queries = queries
        self._report = report
        self._running: set[tuple[int, str]] = set()
        self._checks: dict[tuple[str, str], tuple[int, float]] = {}

    async def start(self, group: StatementGroup, query: PositionQuery) -> None:
        """Query the members in the background; a query that is still running is not repeated."""
        for identity in query.members:
            pool = group.pools.get(identity)
            key = (query.round_id, identity)
            if pool is None or key in self._running:
                continue
            self._running.add(key)
            await curio.spawn(self._run, group, pool, query, key, daemon=True)

    async def check_held(self, group: StatementGroup, now: float) -> None:
        """Release replicas that are still held although the group has a primary.

        Each home proxy checks all replicas, as the one that held them may have ended. A hold that
        is carried out late is found by a later check.
        """
        if not group.has_sure_primary():
            return
        for identity, pool in list(group.pools.items()):
            term, next_at = self._checks.get((group.name, identity), (-1, 0.0))
            is_due = term != group.term or now >= next_at
            if identity == group.primary or not is_due or not pool.observed.is_ready:
                continue
            self._checks[(group.name, identity)] = (group.term, now + HELD_CHECK_INTERVAL_S)
            await curio.spawn(self._release_if_held, group, pool, daemon=True)

    def forget_members(self, present: set[str]) -> None:
        """Drop the checks of members that are no longer recorded."""
        self._checks = {key: check for key, check in self._checks.items() if key[1] in present}

    async def _run(
        self,
        group: StatementGroup,
        pool: MemberPool,
        query: PositionQuery,
        key: tuple[int, str],
    ) -> None:
        """Query one member until it answers, the time is over or the group has moved on."""

        async def ask(limit_s: float) -> MemberStatus | None:
            return await self._ask(group, pool, query, limit_s)

        ends_at = polling_end(query.timeout_ms)
        limit_s = attempt_limit_s(pool, ROUND_TRIPS)
        try:
            status = await poll_member(group, query.fence, lambda: ends_at, limit_s, ask)
            if status is not None:
                await self._send_report(group, pool, query, status)
        finally:
            self._running.discard(key)

    async def _send_report(
        self, group: StatementGroup, pool: MemberPool, query: PositionQuery, status: MemberStatus
    ) -> None:
        record = pool.observed.record
        EVENTS.info(
            "position",
            group=group.name,
            member=record.identity,
            fence=query.fence,
            position=f"{status.position.term}.{status.position.position}",
            leads=status.is_primary,
            held=status.is_held,
        )
        await self._report(
            PositionReport(
                group.name,
                query.round_id,
                record.identity,
                record.started_at_ms,
                status.position,
            )
        )

    async def _ask(
        self, group: StatementGroup, pool: MemberPool, query: PositionQuery, limit_s: float
    ) -> MemberStatus | None:
        """Return the status of a member, held or released first as the query wants it."""

        async def exchange(connection: MemberConnection) -> MemberStatus | None:
            status = await connection.ask_status()
            if status is None or status.is_primary or status.is_held == query.hold:
                return status
            if not query.hold:
                await connection.release()
                return await connection.ask_status()
            if group.primary or group.fence != query.fence:
                return None
            return await _hold(group, pool, connection, status)

        return await self._queries.ask_anew(pool, limit_s, exchange)

    async def _release_if_held(self, group: StatementGroup, pool: MemberPool) -> None:
        """Release a replica if it is held and no later term can have begun."""

        async def exchange(connection: MemberConnection) -> MemberStatus | None:
            status = await connection.ask_status()
            is_held = status is not None and status.is_held and not status.is_primary
            if not is_held or not group.has_sure_primary():
                return status
            answer = await connection.release()
            EVENTS.info(
                "replica-released",
                group=group.name,
                member=pool.observed.record.identity,
                answer=answer.kind,
            )
            return status

        await self._queries.ask(pool, attempt_limit_s(pool, ROUND_TRIPS), exchange)


async def _hold(
    group: StatementGroup, pool: MemberPool, connection: MemberConnection, status: MemberStatus
) -> MemberStatus | None:
    """Hold a replica and return its status; None if it is to be asked again.

    A member that does not know the request states its position all the same: no proxy relays an
    acknowledgement of the replaced primary any more, so the position suffices.
    """
    held = await connection.hold(max(status.term, status.held_term) + 1)
    if isinstance(held, Ok):
        return held.ok_value
    if held.err_value.kind is AnswerKind.BUSY:
        return None
    EVENTS.info(
        "hold-refused",
        group=group.name,
        member=pool.observed.record.identity,
        reason=held.err_value.detail,
    )
    return status

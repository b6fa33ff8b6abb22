"""Queries members for their status, their log position and their role."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio

from limedyke.event_log import EventLog
from limedyke.messages.statements import MemberStatus
from limedyke.messages.work import LogPosition
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members.connection_waiter import ANY_TENANT
from limedyke.proxy.statements.members.member_connection import (
    ConnectionLostError,
    ConnectionRefusedByMemberError,
    MemberConnection,
)
from limedyke.proxy.statements.members.member_pool import (
    MemberPool,
    PoolClosedError,
    PoolTimeoutError,
)

SEARCH_INTERVAL_S = 0.15
STATUS_QUERY_TIMEOUT_S = 0.5
EVENTS = EventLog("pools")
Exchange = Callable[[MemberConnection], Awaitable[MemberStatus | None]]
"""Requests on one connection; returns the member's status, or None if it was too busy."""


class MemberQueries:
    """The proxy's own status queries, sent on pooled connections."""

    async def prove_position(self, group: StatementGroup, limit_s: float) -> LogPosition | None:
        """Query the presumed primary for its position; None when it is not proven to be primary."""
        pool = group.primary_pool()
        if pool is None:
            await self.search_primary(group)
            return None
        asked_at = time.monotonic()
        if not pool.observed.takes_work(asked_at) or pool.observed.seems_silent(asked_at):
            await self.search_primary(group)
            return None
        status = await self.ask_role(group, pool, min(limit_s, 1.0))
        if status is None:
            return None
        if not status.is_primary:
            await self.search_primary(group)
            return None
        return status.position

    async def confirm_primary(self, group: StatementGroup, limit_s: float) -> None:
        """Ask the recorded primary whether it leads; wait for the answer if it was asked already.

        After a change of primary many reads need the same answer, and each query takes a slot of
        the member.
        """
        pool = group.pools.get(group.primary)
        if pool is None:
            return
        if group.confirmation is not None:
            await curio.ignore_after(limit_s, group.confirmation.wait)
            return
        group.confirmation = ended = curio.Event()
        try:
            await self.ask_role(group, pool, min(limit_s, _status_limit_s(pool)))
        finally:
            group.confirmation = None
            await ended.set()

    async def learn_position(self, group: StatementGroup) -> None:
        """Query the presumed primary's position in the background, one query at a time."""
        pool = group.primary_pool()
        if pool is None or group.is_position_query_running:
            return
        group.is_position_query_running = True
        await curio.spawn(self._learn_position, group, pool, daemon=True)

    async def _learn_position(self, group: StatementGroup, pool: MemberPool) -> None:
        try:
            await self.ask_role(group, pool, _status_limit_s(pool))
        finally:
            group.is_position_query_running = False

    async def search_primary(self, group: StatementGroup) -> None:
        """Query the members' roles in the background, at a limited rate."""
        now = time.monotonic()
        if now < group.next_primary_search_at:
            return
        group.next_primary_search_at = now + SEARCH_INTERVAL_S
        for pool in list(group.pools.values()):
            if pool.observed.is_ready and pool.limit > 0:
                await curio.spawn(self.ask_role, group, pool, _status_limit_s(pool), daemon=True)

    async def ask_role(
        self, group: StatementGroup, pool: MemberPool, limit_s: float
    ) -> MemberStatus | None:
        """Query a member's status and record its role, and its position if it leads.

        :returns: None when it doesn't answer
        """
        asked_at = time.monotonic()
        status = await self.ask_status(pool, limit_s)
        if status is None:
            return None
        identity = pool.observed.record.identity
        if status.is_primary:
            group.learn_position(identity, asked_at, status.position, proven=True)
        await group.record_reported_role(identity, status.is_primary, asked_at)
        return status

    async def ask_status(self, pool: MemberPool, limit_s: float) -> MemberStatus | None:
        """Return a member's status; None when it doesn't answer.

        The query uses any connection, even one that may be dead itself. A missing answer therefore
        only marks the member as silent; ``diagnose_silence`` then finds the cause.
        """
        return await self.ask(pool, limit_s, MemberConnection.ask_status)

    async def ask_anew(
        self, pool: MemberPool, limit_s: float, exchange: Exchange
    ) -> MemberStatus | None:
        """Run an exchange on a new connection, or on a pooled one if there is no room for it.

        A pooled connection may be dead without the member being so.
        """
        try:
            async with curio.timeout_after(limit_s):
                connection = await pool.open_new_connection()
        except (ConnectionRefusedByMemberError, curio.TaskTimeout):
            connection = None
        except (ConnectionLostError, PoolClosedError):
            return None
        if connection is None:
            return await self.ask(pool, limit_s, exchange)
        return await self._query_on(pool, connection, limit_s, exchange)

    async def ask(
        self, pool: MemberPool, limit_s: float, exchange: Exchange
    ) -> MemberStatus | None:
        """Run an exchange on a pooled connection; None when the member doesn't answer."""
        try:
            connection = await pool.getconn(ANY_TENANT, {}, 0, limit_s)
        except PoolTimeoutError:
            if pool.observed.silent_s(time.monotonic()) >= limit_s:
                pool.observed.probe_timed_out(time.monotonic())
            return None
        except (ConnectionLostError, ConnectionRefusedByMemberError, PoolClosedError):
            return None
        return await self._query_on(pool, connection, limit_s, exchange)

    async def diagnose_silence(self, pool: MemberPool, limit_s: float) -> None:
        """Find out whether a silent member hangs, or only connections to it are dead.

        The member is queried on a new connection. If it answers there, idle connections without
        data since the silence began are queried too, and closed if they don't answer.
        """
        now = time.monotonic()
        silent_since = now - pool.observed.silent_s(now)
        try:
            connection = await pool.open_new_connection()
        except (ConnectionLostError, ConnectionRefusedByMemberError, PoolClosedError):
            return
        if connection is None:
            await pool.connector.check_address(limit_s)
            return
        asked_at = time.monotonic()
        await self._query_on(pool, connection, limit_s, MemberConnection.ask_status)
        if connection.is_closed:
            pool.observed.answer_timed_out(asked_at, limit_s, time.monotonic())
            return
        await self._check_silent_connections(pool, pool.check_out_silent(silent_since), limit_s)

    async def _check_silent_connections(
        self, pool: MemberPool, silent_connections: list[MemberConnection], limit_s: float
    ) -> None:
        """Query idle connections one after the other, as each query takes a slot of the member.

        Once one doesn't answer, the others are closed too: they probably broke together.
        """
        while silent_connections:
            connection = silent_connections.pop()
            await self._query_suspect(pool, connection, limit_s)
            if connection.is_closed:
                break
        for connection in silent_connections:
            await connection.close()
            await pool.putconn(connection)

    async def _query_suspect(
        self, pool: MemberPool, connection: MemberConnection, limit_s: float
    ) -> None:
        """Query on a connection that may be dead; it is closed if no answer comes.

        The member has just answered on another connection, so a missing answer is no silence of the
        member: counted as one, it would hold statements until the member answers something else.
        """
        try:
            async with curio.timeout_after(limit_s):
                status = await connection.ask_status()
            position = status.position if status is not None else None
            pool.observed.answered(time.monotonic(), position)
        except (curio.TaskTimeout, ConnectionLostError) as error:
            EVENTS.info(
                "silent-connection-closed",
                member=pool.observed.record.identity,
                reason=type(error).__name__,
            )
        finally:
            await pool.putconn(connection)

    async def _query_on(
        self,
        pool: MemberPool,
        connection: MemberConnection,
        limit_s: float,
        exchange: Exchange,
    ) -> MemberStatus | None:
        """Query on a connection and return it to the pool; it is closed if no answer comes."""
        observed = pool.observed
        asked_at = time.monotonic()
        observed.sent(asked_at)
        pool.release_reservation(connection)
        is_answered = True
        status = None
        try:
            async with curio.timeout_after(limit_s):
                status = await exchange(connection)
            position = status.position if status is not None else None
            now = time.monotonic()
            was_silent = observed.seems_silent(now)
            observed.answered(now, position)
            if was_silent:
                await pool.notify_answer()
            if status is None:
                observed.concurrency.turned_away(now - asked_at, now)
            else:
                observed.report_busy_slots(status.busy, now)
        except curio.TaskTimeout:
            is_answered = observed.contact_at >= asked_at
        except ConnectionLostError:
            observed.broke(time.monotonic())
        finally:
            observed.ended(is_answered, asked_at)
            await pool.putconn(connection)
        return status


def _status_limit_s(pool: MemberPool) -> float:
    """Return the time limit of a status query, by the member's usual answer times."""
    return max(STATUS_QUERY_TIMEOUT_S, pool.observed.longest_sign_s)

"""Asks members of themselves: their state, their position, and which of them leads."""

from __future__ import annotations

import time

import curio

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
SEARCH_TIMEOUT_S = 0.5


class MemberQuestions:
    """Questions of the proxy's own, on connections of the pools."""

    async def prove_position(self, group: StatementGroup, limit_s: float) -> LogPosition | None:
        """Ask the member that should lead for its position, now; None when it does not lead."""
        pool = group.primary_pool()
        if pool is None:
            return None
        asked_at = time.monotonic()
        if not pool.observed.takes_work(asked_at) or pool.observed.seems_silent(asked_at):
            await self.look_for_primary(group)
            return None
        status = await self.ask_status(pool, min(limit_s, 1.0))
        if status is None:
            return None
        await group.says_role(pool.observed.record.identity, status.is_primary)
        if not status.is_primary:
            await self.look_for_primary(group)
            return None
        group.learn_position(pool.observed.record.identity, asked_at, status.position, proven=True)
        return status.position

    async def learn_position(self, group: StatementGroup) -> None:
        """Ask the recorded primary for its position, in the background and once at a time."""
        pool = group.primary_pool()
        if pool is None or group.position_is_asked:
            return
        group.position_is_asked = True
        await curio.spawn(self._learn_position, group, pool, daemon=True)

    async def _learn_position(self, group: StatementGroup, pool: MemberPool) -> None:
        asked_at = time.monotonic()
        try:
            status = await self.ask_status(pool, SEARCH_TIMEOUT_S)
        finally:
            group.position_is_asked = False
        if status is not None and status.is_primary:
            identity = pool.observed.record.identity
            group.learn_position(identity, asked_at, status.position, proven=True)

    async def look_for_primary(self, group: StatementGroup) -> None:
        """Ask the members, in the background, which of them leads; not too often."""
        now = time.monotonic()
        if now < group.next_search_at:
            return
        group.next_search_at = now + SEARCH_INTERVAL_S
        for pool in list(group.pools.values()):
            if pool.observed.is_ready and pool.limit > 0:
                await curio.spawn(self._ask_role, group, pool, daemon=True)

    async def _ask_role(self, group: StatementGroup, pool: MemberPool) -> None:
        asked_at = time.monotonic()
        status = await self.ask_status(pool, SEARCH_TIMEOUT_S)
        if status is None:
            return
        identity = pool.observed.record.identity
        if status.is_primary:
            group.learn_position(identity, asked_at, status.position, proven=True)
        await group.says_role(identity, status.is_primary)

    async def ask_status(self, pool: MemberPool, limit_s: float) -> MemberStatus | None:
        """Ask a member what it says of itself; None when it doesn't answer.

        It is asked on any connection, also one that may have gone silent by itself: no answer only
        makes the member seem to hang, and ``examine`` finds out.
        """
        try:
            connection = await pool.getconn(ANY_TENANT, {}, 0, limit_s)
        except PoolTimeoutError:
            if pool.observed.silent_s(time.monotonic()) >= limit_s:
                pool.observed.probe_timed_out(time.monotonic())
            return None
        except (ConnectionLostError, ConnectionRefusedByMemberError, PoolClosedError):
            return None
        return await self._ask_on(pool, connection, limit_s)

    async def examine(self, pool: MemberPool, limit_s: float) -> None:
        """Find out whether a member that seems to hang does, or connections to it are silent.

        It is asked on a new connection. When it answers there, connections that are idle and were
        not heard from since have to answer too, or are closed.
        """
        now = time.monotonic()
        silent_since = now - pool.observed.silent_s(now)
        try:
            connection = await pool.getconn_new()
        except (ConnectionLostError, ConnectionRefusedByMemberError, PoolClosedError):
            return
        if connection is None:
            await pool.connector.check_address(limit_s)
            return
        asked_at = time.monotonic()
        await self._ask_on(pool, connection, limit_s)
        if connection.is_closed:
            pool.observed.answer_timed_out(asked_at, limit_s, time.monotonic())
            return
        await self._check_unheard(pool, pool.take_unheard(silent_since), limit_s)

    async def _check_unheard(
        self, pool: MemberPool, unheard: list[MemberConnection], limit_s: float
    ) -> None:
        """Ask on idle connections one after the other, as each question takes a slot.

        Once one is silent the others are closed unasked: they went silent together.
        """
        while unheard:
            connection = unheard.pop()
            await self._ask_on(pool, connection, limit_s)
            if connection.is_closed:
                break
        for connection in unheard:
            await connection.close()
            await pool.putconn(connection)

    async def _ask_on(
        self, pool: MemberPool, connection: MemberConnection, limit_s: float
    ) -> MemberStatus | None:
        """Ask on a connection, which is given back; it is closed when no answer comes."""
        observed = pool.observed
        asked_at = time.monotonic()
        observed.sent(asked_at)
        pool.sent_on(connection)
        is_answered = True
        status = None
        try:
            async with curio.timeout_after(limit_s):
                status = await connection.ask_status()
            position = status.position if status is not None else None
            now = time.monotonic()
            observed.answered(now, position)
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

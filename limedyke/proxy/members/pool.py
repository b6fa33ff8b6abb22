"""Connection pool for one tenant and one member: transaction pooling within a lease."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
from result import Err, Result

from limedyke.core.backoff import Backoff
from limedyke.event_log import EventLog
from limedyke.messages.work import SessionSetting
from limedyke.postgres.member_login import MemberCredentials
from limedyke.proxy.members.connection import (
    BackendConnection,
    ConnectionLostError,
    MemberEndpoint,
)
from limedyke.result_codes import Failure

CONNECT_TIMEOUT_S = 3.0
CONNECT_BACKOFF_BASE_S = 0.05
CONNECT_BACKOFF_LIMIT_S = 2.0
CONCURRENT_CONNECTS = 8
WARM_CONNECTIONS = 2
"""Connections that a pool opens without demand, and keeps however long they are idle."""
IDLE_LIMIT_S = 300.0
"""Further connections are closed after this idle time."""
CLEAN_TIMEOUT_S = 2.0

_log = EventLog("pool")

Clean = Callable[[BackendConnection], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PoolStats:
    """Counts of one pool."""

    idle: int
    busy: int
    opening: int
    limit: int
    opened: int
    failed: int


class ConnectLimit:
    """Limits the connections to one member that are being opened at the same time."""

    def __init__(self, limit: int = CONCURRENT_CONNECTS) -> None:
        self._free = limit

    def try_acquire(self) -> bool:
        """Take a permit; return False if none is free."""
        if self._free == 0:
            return False
        self._free -= 1
        return True

    def release(self) -> None:
        """Return a permit."""
        self._free += 1


class BackendPool:
    """Connections of one tenant to one member.

    Every connection counts against ``limit`` from before it is opened until it
    is closed.  Connections never move to another pool.

    :param connect_limit: shared by all pools of the member
    :param on_ready: called when a connection became idle, or with the failure to open one
    """

    def __init__(
        self,
        endpoint: MemberEndpoint,
        credentials: MemberCredentials,
        connect_limit: ConnectLimit,
        on_ready: Callable[[Failure | None], Awaitable[None]],
    ) -> None:
        self._endpoint = endpoint
        self._credentials = credentials
        self._connect_limit = connect_limit
        self._on_ready = on_ready
        self._backoff = Backoff(CONNECT_BACKOFF_BASE_S, CONNECT_BACKOFF_LIMIT_S)
        self._idle: list[BackendConnection] = []
        self._busy: set[BackendConnection] = set()
        self._to_close: list[BackendConnection] = []
        self._opening = 0
        self._opened = 0
        self._failed = 0
        self.limit = 0

    @property
    def size(self) -> int:
        """Number of connections that count against the limit."""
        return len(self._idle) + len(self._busy) + len(self._to_close) + self._opening

    @property
    def has_idle(self) -> bool:
        """Whether a connection is idle."""
        return bool(self._idle)

    def reconnect_delay_s(self, now: float) -> float:
        """Return the remaining backoff in seconds if there is no connection, else 0."""
        return max(0.0, self._backoff.ready_at - now) if self.size == 0 else 0.0

    @property
    def connections(self) -> tuple[BackendConnection, ...]:
        """All open connections."""
        return (*self._idle, *self._busy)

    def getconn(self, settings: tuple[SessionSetting, ...] = ()) -> BackendConnection | None:
        """Return the most recently used idle connection, preferring one with ``settings``.

        Returns None if no idle connection is usable.
        """
        while self._idle:
            index = self._best_index(settings)
            connection = self._idle.pop(index)
            if connection.check_idle():
                self._busy.add(connection)
                return connection
            self._to_close.append(connection)
        return None

    def _best_index(self, settings: tuple[SessionSetting, ...]) -> int:
        last = len(self._idle) - 1
        if self._idle[last].state.settings == settings:
            return last
        for index in range(last - 1, -1, -1):
            if self._idle[index].state.settings == settings:
                return index
        return last

    async def _close_unusable(self) -> None:
        while self._to_close:
            await self._to_close.pop().close()

    async def putconn(self, connection: BackendConnection) -> None:
        """Return a connection to the pool; close it if it is broken or above the limit."""
        if connection.broken or self.size > self.limit:
            self._busy.discard(connection)
            await connection.close()
            return
        if connection.state.tainted:
            await curio.spawn(self._clean, connection, self._discard, daemon=True)
            return
        if connection.state.has_too_many_prepared:
            await curio.spawn(self._clean, connection, self._evict, daemon=True)
            return
        self._busy.discard(connection)
        connection.used_at = time.monotonic()
        self._idle.append(connection)

    async def _clean(self, connection: BackendConnection, clean: Clean) -> None:
        """Clear the state of a connection, which counts as busy until it is back in the pool."""
        try:
            async with curio.timeout_after(CLEAN_TIMEOUT_S):
                await clean(connection)
        except (ConnectionLostError, curio.TaskTimeout):
            connection.broken = True
        await self.putconn(connection)
        await self._on_ready(None)

    async def _discard(self, connection: BackendConnection) -> None:
        answer = await connection.execute("DISCARD ALL")
        connection.broken = connection.broken or bool(answer.sqlstate)
        connection.state.reset_session()

    async def _evict(self, connection: BackendConnection) -> None:
        await connection.evict_prepared()

    async def demand(self, wanted: int) -> None:
        """Open connections for ``wanted`` waiting requests, within all limits."""
        await self._close_unusable()
        missing = wanted - len(self._idle) - self._opening
        for _ in range(missing):
            if not self._may_open() or not self._connect_limit.try_acquire():
                return
            self._opening += 1
            await curio.spawn(self._open, daemon=True)

    def _may_open(self) -> bool:
        return self.size < self.limit and self._backoff.ready(time.monotonic())

    async def _open(self) -> None:
        opened: Result[BackendConnection, Failure] | None = None
        try:
            opened = await BackendConnection.open(
                self._endpoint, self._credentials, CONNECT_TIMEOUT_S
            )
        finally:
            self._opening -= 1
            self._connect_limit.release()
        if isinstance(opened, Err):
            await self._open_failed(opened.err_value)
            return
        self._opened += 1
        self._backoff.succeeded()
        self._busy.add(opened.ok_value)
        await self.putconn(opened.ok_value)
        await self._on_ready(None)

    async def _open_failed(self, failure: Failure) -> None:
        self._failed += 1
        delay = self._backoff.failed(time.monotonic(), random.random())
        if self._backoff.failures == 1:
            _log.warning("connect-failed", member=self._endpoint.name, detail=failure.detail)
        await self._on_ready(failure)
        await curio.sleep(delay)
        await self._on_ready(None)

    async def set_limit(self, limit: int) -> None:
        """Change the limit; excess idle connections close now, busy ones when returned."""
        self.limit = limit
        while self._idle and self.size > limit:
            await self._idle.pop(0).close()
        if limit > 0:
            await self.demand(min(WARM_CONNECTIONS, limit))

    async def check(self) -> None:
        """Close broken and long unused idle connections, and keep some open."""
        await self._close_unusable()
        now = time.monotonic()
        kept = []
        for index, connection in enumerate(self._idle):
            is_old = now - connection.used_at > IDLE_LIMIT_S
            is_spare = len(self._idle) - index > WARM_CONNECTIONS
            if connection.check_idle() and not (is_old and is_spare):
                kept.append(connection)
            else:
                await connection.close()
        self._idle = kept
        if self.limit > 0:
            await self.demand(min(WARM_CONNECTIONS, self.limit))

    async def drain(self) -> None:
        """Close idle connections, and busy ones when they are returned."""
        await self.set_limit(0)

    def shut_all(self) -> None:
        """Shut down every connection."""
        for connection in self.connections:
            connection.shut()

    def get_stats(self) -> PoolStats:
        """Return the pool's current counts."""
        return PoolStats(
            len(self._idle),
            len(self._busy),
            self._opening,
            self.limit,
            self._opened,
            self._failed,
        )

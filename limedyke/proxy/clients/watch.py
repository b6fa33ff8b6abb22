"""Monitors all client connections from one task: disconnected clients, time limits, drain."""

from __future__ import annotations

import select
from collections.abc import Callable

import curio

from limedyke.core.sessions.client_exchange import AbandonUnit
from limedyke.event_log import EventLog
from limedyke.proxy.clients.connection import ClientConnection
from limedyke.proxy.clients.services import ClientServices, current_moment
from limedyke.result_codes import Failure, ResultCode

WATCH_INTERVAL_S = 0.1
DISCONNECT_CHECK_AFTER_S = 0.1
"""Clients of units that run longer are checked for a closed connection; most units are shorter."""
TICK_INTERVAL_S = 0.5
LOG = EventLog("client")
_HANGUP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientWatch:
    """Handles events of all connections that cannot wait for their next message."""

    def __init__(self, services: ClientServices) -> None:
        self._services = services
        self._last_tick = 0.0
        self._is_allowed: Callable[[str, str, str], bool] | None = None

    async def run(self) -> None:
        """Monitor the connections until cancelled."""
        while True:
            await curio.sleep(WATCH_INTERVAL_S)
            moment = current_moment()
            await self._abandon_for_gone_clients(moment.now)
            if moment.now - self._last_tick >= TICK_INTERVAL_S:
                self._last_tick = moment.now
                await self._tick_all()

    async def ask_all_to_leave(self, failure: Failure) -> None:
        """Ask every session to end when it has no work under way; idle ones end at once."""
        for connection in list(self._services.registry.connections):
            await self._end(connection, connection.ask_to_leave(failure))

    async def end_all(self, failure: Failure) -> None:
        """End every session, even with work under way."""
        for connection in list(self._services.registry.connections):
            await self._end(connection, connection.end_now(failure))

    async def end_revoked(self, is_allowed: Callable[[str, str, str], bool]) -> None:
        """Ask sessions whose login is no longer declared to end; repeated until all have ended."""
        failure = Failure(ResultCode.UNKNOWN_TENANT_OR_USER, "The login was revoked.")
        self._is_allowed = None
        for connection in list(self._services.registry.connections):
            if connection.session is None:
                continue
            owner = connection.session.state.owner
            if not is_allowed(owner.tenant, owner.group, owner.user):
                self._is_allowed = is_allowed
                await self._end(connection, connection.ask_to_leave(failure))

    async def _abandon_for_gone_clients(self, now: float) -> None:
        """Abandon the running units of clients that have disconnected."""
        by_file: dict[int, ClientConnection] = {}
        poll = select.poll()
        for connection in self._services.registry.busy:
            if now - connection.busy_since < DISCONNECT_CHECK_AFTER_S:
                continue
            number = connection.file_number
            if number >= 0:
                by_file[number] = connection
                poll.register(number, _HANGUP)
        if not by_file:
            return
        for number, _ in poll.poll(0):
            connection = by_file[number]
            if connection.session is None:
                continue
            for command in connection.session.abandon():
                LOG.info("caller-gone", tenant=connection.session.state.owner.tenant)
                await self._services.executor.abandon(command.work)

    async def _tick_all(self) -> None:
        moment = current_moment()
        connections = self._services.registry.connections
        for connection in [each for each in connections if each.needs_tick]:
            await self._end(connection, connection.tick(moment))
        if self._is_allowed is not None:
            await self.end_revoked(self._is_allowed)

    async def _end(self, connection: ClientConnection, commands: list) -> None:
        if not commands:
            return
        connection.send_last(commands)
        for command in commands:
            if isinstance(command, AbandonUnit):
                await self._services.executor.abandon(command.work)

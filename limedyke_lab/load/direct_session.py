"""Baseline sessions that connect directly to members, without the product."""

from __future__ import annotations

import asyncio

import psycopg
from psycopg import AsyncConnection

from limedyke_lab.history import Kind
from limedyke_lab.load.session import RECONNECT_PAUSE_S, ClientSession, Login

DATABASE = "lab"


class DirectSession(ClientSession):
    """Writes to the primary and reads from a member chosen at random from the route's readers."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._routes = self._settings.direct
        self._route = self._routes.groups[self.group]
        self._by_address: dict[str, AsyncConnection] = {}
        self._reader = self._random.choice(self._route.readers)

    async def _roam(self) -> None:
        """Close the connections and choose another reader."""
        await self._disconnect()
        self._reader = self._random.choice(self._route.readers)

    async def _disconnect(self) -> None:
        connections, self._by_address = self._by_address, {}
        for connection in connections.values():
            self._connection = connection
            await super()._disconnect()
        self._connection = None

    async def _ensure_connected(self) -> bool:
        """Open missing connections; both stay open between operations."""
        try:
            for address in {self._route.primary, self._reader}:
                connection = self._by_address.get(address)
                if connection is None or connection.closed:
                    self._by_address[address] = await self._connect(self._login(address))
        except (psycopg.Error, OSError) as error:
            self._note("connect-failed", self.group, str(error)[:200])
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return False
        self._connection = self._by_address[self._route.primary]
        return True

    def _login(self, address: str) -> Login:
        user = self._routes.users[self._profile.tenant]
        return Login(address, user, self._routes.passwords[user], DATABASE)

    async def _operate(self, kind: Kind) -> None:
        address = self._reader if kind is Kind.READ else self._route.primary
        self._connection = self._by_address[address]
        await super()._operate(kind)

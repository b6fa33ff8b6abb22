"""The client connections of a proxy: limits, cancel keys and busy connections."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from limedyke.core.sessions.session_opening import CancelKey
from limedyke.result_codes import Failure, ResultCode

if TYPE_CHECKING:
    from limedyke.proxy.clients.connection import ClientConnection

PROXY_BITS = 11
"""Bits of the process id that identify the proxy; with ``CLIENT_BITS`` the id stays positive."""
CLIENT_BITS = 20
SECRET_BITS = 32
RETRY_AFTER_FULL_MS = 1_000


class ClientRegistry:
    """All client connections of a proxy.

    The process id given to a client contains some bits of a digest of the proxy's
    name, so that another proxy does not find a connection for its cancel request.

    :param maximum_clients: maximum number of connections, logged in or not
    :ivar connections: all connections
    :ivar busy: connections with a running unit
    """

    def __init__(self, proxy_name: str, maximum_clients: int) -> None:
        digest = hashlib.sha256(proxy_name.encode()).digest()
        self._proxy_part = int.from_bytes(digest[:2]) >> (16 - PROXY_BITS)
        self._maximum = maximum_clients
        self._next_client = 0
        self._by_process_id: dict[int, ClientConnection] = {}
        self._count_by_tenant: dict[str, int] = {}
        self.connections: set[ClientConnection] = set()
        self.busy: set[ClientConnection] = set()

    @property
    def has_room(self) -> bool:
        """Whether another connection may be accepted."""
        return len(self.connections) < self._maximum

    def admit(
        self, connection: ClientConnection, tenant: str, limit: int
    ) -> Result[CancelKey, Failure]:
        """Admit an authenticated client; return its cancel key, or TOO_MANY_CLIENTS."""
        count = self._count_by_tenant.get(tenant, 0)
        if count >= limit:
            detail = f"The tenant has {count} clients here."
            return Err(Failure(ResultCode.TOO_MANY_CLIENTS, detail, RETRY_AFTER_FULL_MS))
        self._count_by_tenant[tenant] = count + 1
        process_id = self._next_process_id()
        self._by_process_id[process_id] = connection
        return Ok(CancelKey(process_id, secrets.randbits(SECRET_BITS)))

    def release(self, key: CancelKey, tenant: str) -> None:
        """Remove a client that was admitted."""
        self._by_process_id.pop(key.process_id, None)
        self._count_by_tenant[tenant] -= 1
        if not self._count_by_tenant[tenant]:
            del self._count_by_tenant[tenant]

    def find(self, key: CancelKey) -> ClientConnection | None:
        """Return the connection of a cancel key; None for a wrong key or one of another proxy."""
        connection = self._by_process_id.get(key.process_id)
        if connection is None or connection.cancel_key is None:
            return None
        known = connection.cancel_key.secret.to_bytes(4)
        if not secrets.compare_digest(known, key.secret.to_bytes(4)):
            return None
        return connection

    def _next_process_id(self) -> int:
        while True:
            self._next_client = (self._next_client + 1) % (1 << CLIENT_BITS)
            process_id = self._proxy_part << CLIENT_BITS | self._next_client
            if process_id and process_id not in self._by_process_id:
                return process_id

"""The idle connections to one member."""

from __future__ import annotations

from limedyke.proxy.statements.members.connection_waiter import ANY_TENANT
from limedyke.proxy.statements.members.member_connection import MemberConnection


class IdleConnections:
    """Idle connections, ordered by the time since when they are idle, the longest idle first."""

    def __init__(self) -> None:
        self._connections: list[MemberConnection] = []

    def __len__(self) -> int:
        return len(self._connections)

    def has(self, tenant: str | None) -> bool:
        """Tell whether there is a connection of a tenant, or any for ``ANY_TENANT``."""
        return any(_serves(connection, tenant) for connection in self._connections)

    def add(self, connection: MemberConnection, now: float) -> None:
        """Add a connection that became idle now."""
        connection.idle_since = now
        self._connections.append(connection)

    def pop(self, tenant: str | None, values: dict[str, str]) -> MemberConnection | None:
        """Remove and return the tenant's connection whose session values fit best, or None."""
        own = [connection for connection in self._connections if _serves(connection, tenant)]
        if not own:
            return None
        best = _best(own, values)
        self._connections.remove(best)
        return best

    def longest_idle_s(self, now: float) -> float:
        """Return how long the longest idle connection has been idle; 0 when there is none."""
        return now - self._connections[0].idle_since if self._connections else 0.0

    def pop_longest_idle(self) -> MemberConnection | None:
        """Remove and return the longest idle connection, or None."""
        return self._connections.pop(0) if self._connections else None

    def pop_silent_since(self, since: float) -> list[MemberConnection]:
        """Remove and return all connections that received nothing since a moment."""
        silent_connections = [
            connection for connection in self._connections if connection.last_received_at < since
        ]
        self._connections = [kept for kept in self._connections if kept.last_received_at >= since]
        return silent_connections

    def pop_idle_before(self, moment: float) -> MemberConnection | None:
        """Remove and return the longest idle connection if it became idle before a moment."""
        if not self._connections or self._connections[0].idle_since >= moment:
            return None
        return self._connections.pop(0)


def _serves(connection: MemberConnection, tenant: str | None) -> bool:
    return tenant is ANY_TENANT or connection.tenant == tenant


def _best(connections: list[MemberConnection], values: dict[str, str]) -> MemberConnection:
    """Return the last used one with these values, else one without values, else the first."""
    for connection in reversed(connections):
        if connection.values == values:
            return connection
    for connection in connections:
        if not connection.values:
            return connection
    return connections[0]

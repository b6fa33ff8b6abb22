"""A pool of stand-in connections with given opening and answer times, and its load."""

from __future__ import annotations

import time
from dataclasses import dataclass

import curio
from result import Err, Ok

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.members.member_connection import ConnectionLostError
from limedyke.proxy.statements.members.member_pool import (
    MemberPool,
    PoolClosedError,
    PoolTimeoutError,
)

NOT_SERVED = (PoolTimeoutError, PoolClosedError, ConnectionLostError)


class StandInConnection:
    """A stand-in for a connection to a member."""

    def __init__(self, tenant: str, open_s: float) -> None:
        self.tenant = tenant
        self.values: dict[str, str] = {}
        self.status = TransactionStatus.IDLE
        self.is_closed = False
        self.is_reserved = False
        self.open_s = open_s
        self.connect_s = 0.0
        self.checked_out_at = self.idle_since = self.last_received_at = time.monotonic()

    def is_alive(self) -> bool:
        """Tell whether it is open."""
        return not self.is_closed

    async def close(self) -> None:
        """Close it."""
        self.is_closed = True


@dataclass
class Ended:
    """The outcome of a request.

    :param arrived_at: when it arrived
    :param at: when it was served or refused
    """

    priority: int
    arrived_at: float
    at: float
    was_served: bool


class BurstPool:
    """A pool of a member whose answers all take the same time.

    :ivar is_lost: the member accepts no connections and breaks the open ones
    """

    def __init__(self, lease: int, opening_s: float, answer_s: float) -> None:
        record = AnnouncedMember("m", "g", "10.0.0.1:1", "z", "1", 4, MemberState.READY, True)
        self.pool = MemberPool(ObservedMember(record), lambda: None, "", 1.0)
        self.pool.connector = self
        self.lease = lease
        self.opening_s = opening_s
        self.answer_s = answer_s
        self.is_lost = False
        self.is_silent = False
        self.ended: list[Ended] = []

    async def open(self, tenant: str):
        """Open a connection, as ``MemberConnector`` does."""
        if self.is_lost:
            return Err(ConnectionLostError("refused"))
        await curio.sleep(self.opening_s)
        return Ok(StandInConnection(tenant, self.opening_s))

    async def ask(self, tenant: str, priority: int, limit_s: float) -> None:
        """Send one request; record whether it was served or refused."""
        arrived_at = time.monotonic()
        start_by = arrived_at + limit_s
        try:
            connection = await self.pool.getconn(
                tenant, {}, priority, limit_s, target_at=arrived_at + limit_s, start_by=start_by
            )
        except NOT_SERVED:
            self.ended.append(Ended(priority, arrived_at, time.monotonic(), was_served=False))
            return
        await self._answer(connection)
        self.ended.append(Ended(priority, arrived_at, time.monotonic(), was_served=True))

    async def _answer(self, connection: StandInConnection) -> None:
        sent_at = time.monotonic()
        self.pool.release_reservation(connection)
        self.pool.observed.sent(sent_at)
        until = time.monotonic() + self.answer_s
        while time.monotonic() < until or self.is_silent:
            if self.is_lost:
                await connection.close()
                break
            await curio.sleep(min(self.answer_s, 0.005))
        else:
            self.pool.observed.answered(time.monotonic(), None)
        self.pool.observed.ended(sent_at=sent_at)
        await self.pool.putconn(connection)

    async def stop(self) -> None:
        """Close the pool."""
        await self.pool.drain()

    async def watch(self) -> None:
        """Check the queue periodically, as the proxy does for all pools."""
        while True:
            await curio.sleep(0.1)
            await self.pool.check_waiting(time.monotonic())
            await self.pool.serve_waiting()

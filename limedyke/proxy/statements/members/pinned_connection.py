"""A member connection checked out for one statement, or for a client's open transaction."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.members.member_connection import MemberConnection
from limedyke.proxy.statements.members.member_pool import MemberPool

ROLL_BACK_TIMEOUT_S = 1.0


@dataclass(slots=True)
class PinnedConnection:
    """A checked-out connection that is returned to its pool exactly once."""

    pool: MemberPool
    connection: MemberConnection
    is_given_back: bool = False

    @property
    def identity(self) -> str:
        """The member at its other end."""
        return self.pool.observed.record.identity

    async def give_back(self) -> None:
        """Return the connection to its pool; further calls do nothing."""
        if not self.is_given_back:
            self.is_given_back = True
            await self.pool.putconn(self.connection)

    async def release(self) -> None:
        """Return a connection that should be in no transaction; close it if it is in one."""
        if self.connection.status is not TransactionStatus.IDLE:
            await self.connection.close()
        await self.give_back()

    async def abandon(self) -> None:
        """Close the connection; the member rolls back an open transaction on it."""
        await self.connection.close()
        await self.give_back()

    async def roll_back(self) -> None:
        """Roll back the transaction on the connection, and return the connection."""
        try:
            async with curio.timeout_after(ROLL_BACK_TIMEOUT_S):
                await self.connection.roll_back()
        except curio.TaskTimeout:
            await self.connection.close()
        await self.give_back()

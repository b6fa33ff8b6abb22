"""A member connection checked out for one statement, or for a client's open transaction."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.core.statements.resting_transactions import RestingTransaction
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.members.member_connection import MemberConnection
from limedyke.proxy.statements.members.member_pool import MemberPool


@dataclass(slots=True)
class PinnedConnection:
    """A checked-out connection that is returned to its pool exactly once.

    While its transaction rests, the pool may roll the transaction back and take the connection.
    """

    pool: MemberPool
    connection: MemberConnection
    is_given_back: bool = False
    _resting: RestingTransaction | None = None

    @property
    def identity(self) -> str:
        """The member at its other end."""
        return self.pool.observed.record.identity

    def begin_rest(self, priority: int) -> None:
        """Record that the open transaction rests until its client's next statement.

        :param priority: of the client's statements
        """
        self._resting = self.pool.begin_rest(self.connection, priority)

    def end_rest(self) -> bool:
        """Record that the client goes on; return False if the pool has taken the connection."""
        resting, self._resting = self._resting, None
        if resting is not None and not self.pool.end_rest(resting):
            self.is_given_back = True
        return not self.is_given_back

    async def give_back(self) -> None:
        """Return the connection to its pool; further calls do nothing."""
        if self.end_rest():
            self.is_given_back = True
            await self.pool.putconn(self.connection)

    async def release(self) -> None:
        """Return a connection that should be in no transaction; close it if it is in one."""
        if self.end_rest() and self.connection.status is not TransactionStatus.IDLE:
            await self.connection.close()
        await self.give_back()

    async def abandon(self) -> None:
        """Close the connection; the member rolls back an open transaction on it."""
        if self.end_rest():
            await self.connection.close()
        await self.give_back()

    async def roll_back(self) -> None:
        """Roll back the transaction on the connection, and return the connection."""
        if self.end_rest():
            await self.pool.roll_back(self.connection)
        await self.give_back()

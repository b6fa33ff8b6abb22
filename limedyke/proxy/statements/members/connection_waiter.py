"""A request that waits for a connection to one member."""

from __future__ import annotations

import curio

from limedyke.core.queueing.queue_answer import Refused
from limedyke.core.queueing.queued_request import NEVER, QueuedRequest
from limedyke.proxy.statements.members.member_connection import MemberConnection

ANY_TENANT = None
"""Requests a connection of any tenant: for the proxy's own status queries, which read no data."""


class PoolTimeoutError(Exception):
    """No connection came free in time."""


class QueueRefusalError(PoolTimeoutError):
    """The queue refused the request, or dropped it while it waited.

    :ivar refused: the reason and the expected wait
    """

    def __init__(self, identity: str, refused: Refused) -> None:
        super().__init__(identity)
        self.refused = refused


class ConnectionWaiter(QueuedRequest):
    """A waiting request. When woken with neither a connection nor an error, it must try again.

    :param tenant: whose connection it needs
    :param start_by: latest time to send it for an answer in time
    :ivar was_let_in: it was admitted to the queue and keeps its place
    :ivar expects_silence: the member already seemed to hang when the request began to wait
    """

    __slots__ = ("connection", "error", "event", "expects_silence", "was_let_in")

    def __init__(
        self,
        tenant: str | None,
        priority: int,
        since: float,
        target_at: float = NEVER,
        start_by: float = NEVER,
    ) -> None:
        super().__init__(tenant, priority, since, target_at, start_by)
        self.was_let_in = False
        self.expects_silence = False
        self.event: curio.Event | None = None
        self.connection: MemberConnection | None = None
        self.error: Exception | None = None

    def reset(self) -> None:
        """Prepare for a first or another wait: clear the result of the last one."""
        self.event = curio.Event()
        self.connection = None
        self.error = None

    async def wake(self) -> None:
        """Wake it without a result, so that it tries again."""
        if self.event is not None:
            await self.event.set()

    def accepts(self, tenant: str) -> bool:
        """Tell whether it can use a connection of a tenant."""
        return self.tenant is ANY_TENANT or self.tenant == tenant

    async def give(self, connection: MemberConnection) -> None:
        """Wake it with a connection."""
        self.connection = connection
        await self.wake()

    async def fail(self, error: Exception) -> None:
        """Wake it with an error."""
        self.error = error
        await self.wake()

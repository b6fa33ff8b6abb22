"""The connection pool of one member, limited by this proxy's lease."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import curio
from result import Err, Ok

from limedyke.core.queueing.dequeue_rate import DequeueRate
from limedyke.core.queueing.queue_answer import QueueDrain, RefusalReason, Refused
from limedyke.core.queueing.queued_request import NEVER, QueuedRequest
from limedyke.core.queueing.request_queue import RequestQueue
from limedyke.core.queueing.retry_schedule import RetrySchedule
from limedyke.core.statements.connection_demand import ConnectionUse
from limedyke.core.statements.observed_member import FIRST_ANSWER_S, OPENING, ObservedMember
from limedyke.core.statements.resting_transactions import (
    ConnectionClaim,
    RestingTransaction,
    RestingTransactions,
)
from limedyke.event_log import EventLog
from limedyke.messages.statements import AnswerKind
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.members.checked_out_connections import CheckedOutConnections
from limedyke.proxy.statements.members.connection_waiter import (
    ANY_TENANT,
    ConnectionWaiter,
    PoolTimeoutError,
    QueueRefusalError,
)
from limedyke.proxy.statements.members.idle_connections import IdleConnections
from limedyke.proxy.statements.members.member_codec import MemberCodec
from limedyke.proxy.statements.members.member_connection import (
    ConnectionRefusedByMemberError,
    MemberConnection,
)
from limedyke.proxy.statements.members.member_connector import MemberConnector
from limedyke.proxy.statements.members.member_judgement import MemberJudgement
from limedyke.proxy.statements.members.member_traffic import UNCOUNTED, MemberTraffic

IDLE_TIMEOUT_S = 6.0
"""Idle time, in seconds, after which a connection is closed. Few idle connections are kept so that
a member has room for proxies that restart: it holds the connections of a lost machine for some
seconds."""
SOFT_LIMIT_SHARE = 0.5
"""Share of the lease up to which connections are opened without a wait. The rest is left free
because a member holds the connections of machines that lost power for some seconds, and restarted
ones need room beside them."""
GROWTH_WAIT_S = 0.03
"""Seconds a request waits before a connection beyond ``SOFT_LIMIT_SHARE`` may be opened for it."""
OPENING_COST_SHARE = 0.25
"""Share of the time to open a connection that counts as a cost in the choice of a member."""
SURPLUS_IDLE_TIMEOUT_S = 1.0
"""Idle time, in seconds, after which a connection beyond ``SOFT_LIMIT_SHARE`` is closed."""
NO_TENANT = ""
"""Tenant of the connections for status queries and public databases."""
QUEUE_CHECK_INTERVAL_S = 0.02
"""Interval, in seconds, at which expected waits are recomputed; requests whose turn can't come in
time are refused then."""
WAITING_PER_CONNECTION = 128
"""Limit of waiting requests per leased connection, to bound memory; usually the expected wait
limits the queue sooner."""
MINIMUM_GAP_S = 0.0001
MS_PER_S = 1_000
LOWEST_PRIORITY = 1_000
"""A priority behind all others, so that every waiting request goes first."""
FULL_RETRY_DELAY_S = 0.2
"""Seconds without further opening attempts after a member refused a connection for lack of room."""
ROLL_BACK_TIMEOUT_S = 1.0
RESTING_WAIT_S = 0.1
"""Seconds a request waits before a resting transaction is ended for it; shorter waits are usual
while all connections are busy."""
RESTING_WAIT_SHARE = 0.25
"""Share of its time that a request with little time waits instead of ``RESTING_WAIT_S``."""
EVENTS = EventLog("pools")


class PoolClosedError(Exception):
    """The member was removed, or this proxy holds no lease on it."""


class MemberPool:
    """Hands out connections to one member, in the order of ``RequestQueue``.

    A connection serves only the tenant it was opened for. When the lease is used up, the longest
    idle connection is closed to open one for a request of another tenant.

    :param observed: the observed state of the member; the pool updates its load
    :param make_codec: creates the codec of a connection
    :param traffic: counts the bytes of all its connections
    :ivar connector: opens connections
    :ivar judgement: the status of the member that was last logged
    :ivar opened: number of connections open or being opened
    :ivar use: measures the demand for connections
    :ivar on_answer: called when the member answers a status query after it seemed silent
    :ivar ended_for_waiting: number of resting transactions that were ended for waiting requests
    """

    def __init__(
        self,
        observed: ObservedMember,
        make_codec: Callable[[], MemberCodec],
        source_ip: str,
        connect_timeout_s: float,
        traffic: MemberTraffic = UNCOUNTED,
    ) -> None:
        self.observed = observed
        self.connector = MemberConnector(
            observed, make_codec, source_ip, connect_timeout_s, traffic
        )
        self.judgement = MemberJudgement()
        self.limit = 0
        self.opened = 0
        self.is_closed = False
        self.use = ConnectionUse()
        self.on_answer: Callable[[], Awaitable[None]] | None = None
        self.ended_for_waiting = 0
        self._resting = RestingTransactions()
        self._ending_count = 0
        self._full_until = 0.0
        self._opening: Counter[str] = Counter()
        self._idle = IdleConnections()
        self._queue = RequestQueue(FIRST_ANSWER_S)
        self._checked_out = CheckedOutConnections()
        self._dequeue_rate = DequeueRate()
        self._retry_schedule = RetrySchedule()
        self._next_queue_check_at = 0.0
        self._lacked_room = False

    async def getconn(
        self,
        tenant: str | None,
        values: dict[str, str],
        priority: int,
        timeout_s: float,
        since: float | None = None,
        target_at: float = NEVER,
        start_by: float = NEVER,
    ) -> MemberConnection:
        """Return a connection of a tenant, if possible one with these session values.

        :param tenant: ``ANY_TENANT`` for the proxy's own status queries
        :param since: when the statement began to wait, including waits for other members; None for
            now
        :param target_at: end of its target latency
        :param start_by: latest time to send it; it is refused at once if its turn would come later
        :raises QueueRefusalError: when its turn would come too late, on arrival or while it waits
        :raises PoolTimeoutError: when no connection became available in time
        :raises PoolClosedError: when the member was removed or there is no lease
        :raises ConnectionLostError: when a new connection could not be opened
        :raises ConnectionRefusedByMemberError: when the member refuses a further connection
        """
        now = time.monotonic()
        give_up_at = now + timeout_s
        arrived_at = now if since is None else since
        waiter = ConnectionWaiter(tenant, priority, arrived_at, target_at, start_by)
        if tenant is not ANY_TENANT and self.limit > 0:
            under_way = self.observed.outstanding + self.observed.waiting + 1
            self.use.requested(tenant, under_way, now)
        while True:
            if self.is_closed or self.limit == 0:
                raise PoolClosedError(self.observed.record.identity)
            connection = None
            if self._member_has_room():
                connection = await self._pop_idle(tenant, values)
            if connection is None:
                connection = await self._wait(waiter, give_up_at)
            if connection is not None:
                return self._hand_out(connection, waiter)

    def _hand_out(
        self, connection: MemberConnection, request: ConnectionWaiter
    ) -> MemberConnection:
        now = time.monotonic()
        self.observed.outstanding += 1
        self._checked_out.check_out(connection, request, now)
        if request.was_let_in:
            self._dequeue_rate.record_dequeue(now)
        self._queue.started(request, waited=request.was_let_in)
        return connection

    async def open_new_connection(self) -> MemberConnection | None:
        """Open a new connection for a status query; None when the lease is used up.

        A failure on a new connection is a failure of the member, whereas an older connection may be
        broken by itself. An idle connection is closed if necessary to make room.

        :raises PoolClosedError: when the member was removed or there is no lease
        :raises ConnectionLostError: when it could not be opened
        :raises ConnectionRefusedByMemberError: when the member refuses a further connection
        """
        if self.is_closed or self.limit == 0:
            raise PoolClosedError(self.observed.record.identity)
        if self.opened >= self.limit:
            await self._close_longest_idle()
        if self.opened >= self.limit:
            return None
        self.opened += 1
        try:
            opened = await self.connector.open(NO_TENANT)
        except curio.CancelledError:
            self.opened -= 1
            raise
        if isinstance(opened, Err):
            self.opened -= 1
            raise opened.err_value
        connection = opened.ok_value
        self.observed.outstanding += 1
        connection.checked_out_at = time.monotonic()
        return connection

    def check_out_silent(self, since: float) -> list[MemberConnection]:
        """Check out all idle connections that received nothing since a moment; they may be dead."""
        silent_connections = self._idle.pop_silent_since(since)
        self.observed.outstanding += len(silent_connections)
        return silent_connections

    async def notify_answer(self) -> None:
        """Notify those that wait for the member that it answers again."""
        if self.on_answer is not None:
            await self.on_answer()

    @property
    def has_room(self) -> bool:
        """Whether a connection is available at once."""
        has_room = self.observed.has_room(time.monotonic())
        return has_room and (bool(self._idle) or self._may_open())

    @property
    def has_room_below_soft_limit(self) -> bool:
        """Whether a connection is available at once without exceeding ``SOFT_LIMIT_SHARE``."""
        has_room = self.observed.has_room(time.monotonic())
        return has_room and (bool(self._idle) or self._may_open(waited_s=0.0))

    def expected_wait_s(self, tenant: str, priority: int = LOWEST_PRIORITY) -> float:
        """Return the expected wait, in seconds, of a request that arrives now.

        Only requests of the same or a more urgent priority count, as they go first.
        """
        now = time.monotonic()
        has_room = self.observed.has_room(now)
        if has_room and self._idle.has(tenant):
            return 0.0
        request = QueuedRequest(tenant, priority, now)
        if has_room and self._has_connection_for(request, now):
            return self.observed.opening.usual_s
        return self._queue.expected_wait_s(request, now, self._queue_drain())

    def connection_cost_s(self, tenant: str) -> float:
        """Return the cost, in seconds, of getting a connection, for choosing a member for a read.

        A newly opened connection serves later reads too, so this read bears only a part of the
        opening time. A member without a known opening time costs nothing, so that it is tried.
        """
        can_open = self.observed.has_room(time.monotonic()) and (
            bool(self._idle) or self._may_open()
        )
        if can_open and not self._idle.has(tenant):
            opening = self.observed.opening
            return OPENING_COST_SHARE * opening.usual_s if opening.is_seen else 0.0
        return self.expected_wait_s(tenant)

    def _has_connection_for(self, request: QueuedRequest, now: float) -> bool:
        """Tell whether there is a connection left for a request after those ahead of it."""
        openable = self.limit - self.opened if self._may_open() else 0
        free = len(self._idle) + openable
        if not self._queue:
            return free > 0
        before = self._queue.ahead_of(request, now).count - self._opening.total()
        return max(0, before) < free

    def _queue_drain(self) -> QueueDrain:
        """Return how fast the queue is served, as observed while requests wait."""
        gap_s = max(self.dequeue_interval_s, MINIMUM_GAP_S)
        slots = min(float(self.limit), self._queue.usual_cost_s / gap_s)
        waiting_limit = WAITING_PER_CONNECTION * self.limit
        return QueueDrain(slots, self.limit, 0.0, waiting_limit, self._dequeue_rate.variation)

    @property
    def dequeue_interval_s(self) -> float:
        """The expected time between two turns, in seconds."""
        now = time.monotonic()
        if not self._queue:
            return self._estimated_interval_s(now)
        return self._dequeue_rate.gap_s(self.observed.awaited_s(self._dequeue_rate.last_at, now))

    def retry_after_ms(self, priority: int, ready_in_s: float = 0.0) -> int:
        """Return a refused request's retry delay, and reserve the time for it.

        :param ready_in_s: seconds until there is room or the member can serve again
        """
        now = time.monotonic()
        return_s = self._retry_schedule.retry_after_s(
            priority, ready_in_s, now, self.dequeue_interval_s
        )
        return math.ceil(return_s * MS_PER_S)

    def _estimated_interval_s(self, now: float) -> float:
        """Estimate the time between two turns, without connections held by idle transactions."""
        connections = self.opened if now < self._full_until else self.limit
        usual_s = self._queue.usual_cost_s
        at_work = connections - self._checked_out.count_long_held(usual_s, now)
        serving = max(1, min(at_work, self.observed.concurrency.limit))
        opening_s = self._checked_out.reopen_share * self.observed.opening.usual_s
        return (usual_s + opening_s) / serving

    @property
    def soft_limit(self) -> int:
        """Number of connections that are opened without a wait."""
        return math.ceil(self.limit * SOFT_LIMIT_SHARE)

    def _may_open(self, waited_s: float = GROWTH_WAIT_S) -> bool:
        """Tell whether the lease and the member allow one more connection.

        While none is open, one is tried even if the member recently refused, as there is none to
        wait for.

        :param waited_s: how long the request has waited
        """
        is_full = self.opened > 0 and time.monotonic() < self._full_until
        limit = self.limit if waited_s >= GROWTH_WAIT_S else self.soft_limit
        return self.opened < limit and not is_full

    async def putconn(self, connection: MemberConnection) -> None:
        """Return a connection to the pool; one that is closed or in a transaction is discarded."""
        self.observed.outstanding -= 1
        self.release_reservation(connection)
        request = self._checked_out.check_in(connection)
        if request is not None:
            self._queue.finished(request, time.monotonic() - connection.checked_out_at)
        is_usable = not connection.is_closed and connection.status is TransactionStatus.IDLE
        if not is_usable or self.is_closed or self.opened > self.limit:
            await self._discard_and_wake(connection)
        else:
            await self._give_to_next(connection)
            await self.serve_waiting()
        await self.check_queue(time.monotonic())

    async def roll_back(self, connection: MemberConnection) -> None:
        """Roll back the transaction on a checked-out connection; close it if that takes long."""
        try:
            async with curio.timeout_after(ROLL_BACK_TIMEOUT_S):
                await connection.roll_back()
        except curio.TaskTimeout:
            await connection.close()

    def begin_rest(self, connection: MemberConnection, priority: int) -> RestingTransaction:
        """Record that the transaction on a connection rests until its client's next statement."""
        claim = ConnectionClaim(connection.tenant, priority)
        return self._resting.begin_rest(connection, claim, time.monotonic())

    def end_rest(self, resting: RestingTransaction) -> bool:
        """Record that a client goes on; return False if its transaction gave way to a request."""
        return self._resting.end_rest(resting)

    async def _end_resting_for_waiting(self, now: float) -> None:
        """End resting transactions for requests that wait because of them."""
        if not self._resting or self._idle or self._may_open() or not self._member_has_room():
            return
        coming = self._ending_count + self._opening.total()
        held = Counter(connection.tenant for connection in self._checked_out.connections())
        for waiter in list(self._queue.in_order(now))[coming:]:
            if not _waits_long(waiter, now):
                continue
            claim = ConnectionClaim(waiter.tenant, waiter.priority)
            resting = self._resting.end_one_for(claim, held, now)
            if resting is not None:
                held[resting.claim.tenant] -= 1
                held[claim.tenant] += 1
                self._ending_count += 1
                await curio.spawn(self._end_resting, resting, claim, now, daemon=True)

    async def _end_resting(
        self, resting: RestingTransaction, waiting: ConnectionClaim, now: float
    ) -> None:
        """Roll back a transaction that gives way, and return its connection."""
        self.ended_for_waiting += 1
        EVENTS.info(
            "resting-transaction-ended",
            member=self.observed.record.identity,
            tenant=resting.claim.tenant or "none",
            priority=resting.claim.priority,
            rested_ms=int((now - resting.since) * MS_PER_S),
            waiting_tenant=waiting.tenant or "none",
            waiting_priority=waiting.priority,
        )
        try:
            await self.roll_back(resting.connection)
        finally:
            self._ending_count -= 1
            await self.putconn(resting.connection)

    def _reserve(self, connection: MemberConnection) -> None:
        """Count a checked-out connection as load of the member until something is sent on it."""
        connection.is_reserved = True
        self.observed.reserved += 1

    def release_reservation(self, connection: MemberConnection) -> None:
        """End a reservation: the request has sent something, or returns the connection."""
        if connection.is_reserved:
            connection.is_reserved = False
            self.observed.reserved -= 1

    def _member_has_room(self) -> bool:
        """Tell whether the member has room; if not, remember it for ``serve_waiting``."""
        has_room = self.observed.has_room(time.monotonic())
        self._lacked_room = self._lacked_room or not has_room
        return has_room

    async def serve_waiting(self) -> None:
        """Serve waiting requests while the member has room.

        Each keeps its place until it has a connection; if it queued again, it could be refused
        after having waited.
        """
        if not self._lacked_room:
            return
        self._lacked_room = False
        for waiter in list(self._queue.in_order(time.monotonic())):
            if not self._member_has_room():
                return
            connection = await self._pop_idle(waiter.tenant, {})
            if connection is None:
                await self._open_if_needed(waiter.tenant, time.monotonic() - waiter.arrived_at)
            elif waiter.is_waiting:
                self._checked_out.record_turn(changed=False)
                self._queue.remove(waiter)
                await waiter.give(connection)
            else:
                self.release_reservation(connection)
                self._idle.add(connection, time.monotonic())

    async def _give_to_next(self, connection: MemberConnection) -> None:
        """Give a connection to the next request, or keep it idle.

        If the next request needs another tenant's connection and the lease is used up, this
        connection is closed for it. Otherwise a tenant with many requests would keep all
        connections.
        """
        now = time.monotonic()
        if not self._member_has_room():
            self._idle.add(connection, now)
            return
        for waiter in self._queue.in_order(now):
            if waiter.accepts(connection.tenant):
                self._checked_out.record_turn(changed=False)
                self._queue.remove(waiter)
                self._reserve(connection)
                await waiter.give(connection)
                return
            if self._must_wait(waiter):
                self._checked_out.record_turn(changed=True)
                await self._discard(connection)
                await self._start_opening(waiter.tenant)
                return
        self._idle.add(connection, now)

    async def _give_to_own_tenant(self, connection: MemberConnection) -> None:
        """Give a new connection to the next request of its tenant, if one still waits."""
        waiter = self._pop_next_for(connection.tenant) if self._member_has_room() else None
        if waiter is not None:
            self._reserve(connection)
            await waiter.give(connection)
        else:
            await self._give_to_next(connection)

    def _pop_next(self) -> ConnectionWaiter | None:
        """Remove and return the next request, or None."""
        waiter = self._queue.first(time.monotonic())
        if waiter is not None:
            self._queue.remove(waiter)
        return waiter

    def _pop_next_for(self, tenant: str) -> ConnectionWaiter | None:
        """Remove and return the first request that a tenant's connection can serve, or None."""
        now = time.monotonic()
        waiter = self._queue.first(now, lambda wanted: wanted in (ANY_TENANT, tenant))
        if waiter is not None:
            self._queue.remove(waiter)
        return waiter

    def _must_wait(self, waiter: ConnectionWaiter) -> bool:
        """Tell whether no connection is being opened for a request, and none may be."""
        return not self._is_opening_for(waiter.tenant) and not self._may_open()

    def _is_opening_for(self, tenant: str | None) -> bool:
        """Tell whether enough connections of a tenant are being opened for its requests."""
        opener = NO_TENANT if tenant is ANY_TENANT else tenant
        waiting = self._queue.waiting(opener) + self._queue.waiting(ANY_TENANT)
        return self._opening[opener] >= waiting

    async def set_limit(self, limit: int) -> None:
        """Apply a lease; idle connections above it are closed."""
        grows = limit > self.limit
        self.limit = limit
        while self.opened > limit and await self._close_longest_idle():
            continue
        if grows:
            await self._open_for_waiting()
        elif limit == 0:
            await self._wake_all()
        elif self._queue:
            await self._check_queue(time.monotonic())

    async def _open_for_waiting(self) -> None:
        """Open connections for waiting requests, in order, as far as the limits allow."""
        for waiter in list(self._queue.in_order(time.monotonic())):
            if not self._may_open():
                return
            await self._open_if_needed(waiter.tenant, GROWTH_WAIT_S)

    async def _close_longest_idle(self) -> bool:
        """Close the longest idle connection; tell whether there was one."""
        connection = self._idle.pop_longest_idle()
        if connection is None:
            return False
        await self._discard_and_wake(connection)
        return True

    async def drain(self) -> None:
        """Close the pool: idle connections now, the others when they are returned."""
        self.is_closed = True
        while await self._close_longest_idle():
            continue
        await self._wake_all()

    async def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long, sooner beyond ``SOFT_LIMIT_SHARE``."""
        while True:
            is_surplus = self.opened > self.soft_limit
            limit_s = SURPLUS_IDLE_TIMEOUT_S if is_surplus else IDLE_TIMEOUT_S
            connection = self._idle.pop_idle_before(now - limit_s)
            if connection is None:
                return
            await self._discard_and_wake(connection)

    async def _pop_idle(
        self, tenant: str | None, values: dict[str, str]
    ) -> MemberConnection | None:
        """Return the tenant's best matching idle connection; discard dead ones."""
        while (connection := self._idle.pop(tenant, values)) is not None:
            if connection.is_alive():
                self._reserve(connection)
                return connection
            await self._discard_and_wake(connection)
        return None

    async def _open_if_needed(self, tenant: str | None, waited_s: float) -> None:
        """Open a connection in the background, unless enough are being opened already.

        If the request gives up meanwhile, the connection goes to another one: opening takes several
        round trips. Another tenant's idle connection is closed if necessary to make room.

        :param waited_s: how long the request has waited
        """
        if self._is_opening_for(tenant) or not self._member_has_room():
            return
        if not self._may_open(waited_s) and not self._may_open_beside_idle():
            replaced = self._idle.pop_longest_idle()
            if replaced is None:
                return
            await self._discard(replaced)
        await self._start_opening(tenant)

    async def _start_opening(self, tenant: str | None) -> None:
        """Open a connection in the background; the caller has checked that there is room."""
        opener = NO_TENANT if tenant is ANY_TENANT else tenant
        self._opening[opener] += 1
        self.opened += 1
        await curio.spawn(self._open, opener, daemon=True)

    def _may_open_beside_idle(self) -> bool:
        """Tell whether to exceed ``SOFT_LIMIT_SHARE`` rather than replace an idle connection.

        This holds while all idle connections were used a moment ago: a closed one would have to be
        reopened for the next request of its tenant. Unused ones are closed soon anyway.
        """
        idle_s = self._idle.longest_idle_s(time.monotonic())
        return 0.0 < idle_s < SURPLUS_IDLE_TIMEOUT_S and self._may_open()

    async def _open(self, tenant: str) -> None:
        began_at = time.monotonic()
        self.observed.sent(began_at)
        try:
            opened = await self.connector.open(tenant)
        except BaseException:
            self.opened -= 1
            raise
        finally:
            self.observed.ended(sent_at=began_at)
            self._opening[tenant] -= 1
        if isinstance(opened, Ok):
            connection = opened.ok_value
            self._record_opening(connection)
            if self.is_closed or self.opened > self.limit:
                await self._discard_and_wake(connection)
            else:
                await self._give_to_own_tenant(connection)
            return
        self.opened -= 1
        await self._handle_failed_opening(opened.err_value, tenant)
        await self.serve_waiting()

    def _record_opening(self, connection: MemberConnection) -> None:
        """Record how long the network and the member took for an opening."""
        now = time.monotonic()
        observed = self.observed
        observed.connected(now, connection.open_s)
        observed.concurrency.connected(connection.connect_s)
        seconds = connection.open_s - connection.connect_s
        observed.concurrency.answered(OPENING, seconds, observed.under_way(now) + 1, now)

    async def _handle_failed_opening(self, error: Exception, tenant: str) -> None:
        """Handle a failed opening: fail requests unless another connection can serve them."""
        has_others = self.opened > self._opening.total()
        if has_others and self._has_no_room(error):
            self.use.turned_away += 1
            self._full_until = time.monotonic() + FULL_RETRY_DELAY_S
            if self._idle:
                await self._wake_one()
            return
        if has_others:
            waiter = self._pop_next_for(tenant)
            if waiter is not None:
                await waiter.fail(error)
            return
        await self._fail_all(error)

    async def _wake_all(self) -> None:
        """Wake all requests to try again: the member was removed, or the lease ended."""
        for waiter in self._queue.drain():
            await waiter.wake()

    async def _fail_all(self, error: Exception) -> None:
        for waiter in self._queue.drain():
            await waiter.fail(error)

    def _has_no_room(self, error: Exception) -> bool:
        """Tell whether a member works but has no room for a further connection.

        It either says so or resets connections beyond its limit. Connections of machines that are
        gone count towards that limit too.
        """
        if isinstance(error, ConnectionRefusedByMemberError):
            return error.answer.kind is AnswerKind.NO_CONNECTION
        return self.observed.answered_lately(time.monotonic())

    async def _discard_and_wake(self, connection: MemberConnection) -> None:
        """Close a connection, and wake the next request, which may open another one."""
        await self._discard(connection)
        await self._wake_one()

    async def _discard(self, connection: MemberConnection) -> None:
        await connection.close()
        self.opened -= 1

    async def _wake_one(self) -> None:
        """Wake the next request to try again, as a connection may be opened."""
        waiter = self._pop_next()
        if waiter is not None:
            await waiter.wake()

    async def _enqueue(self, waiter: ConnectionWaiter) -> None:
        """Add a request to the queue; requests that it displaces are refused.

        :raises QueueRefusalError: when its turn can't come in time
        """
        now = time.monotonic()
        waiter.reset()
        if not self._queue:
            self._dequeue_rate.start_waiting(now, self._estimated_interval_s(now))
        if waiter.was_let_in or self._has_connection_for(waiter, now):
            self._queue.place(waiter, now)
        else:
            await self._push_or_refuse(waiter, now)
        waiter.was_let_in = True
        waiter.expects_silence = self.observed.seems_silent(now)

    async def _push_or_refuse(self, waiter: ConnectionWaiter, now: float) -> None:
        answer = self._queue.push(waiter, now, self._queue_drain())
        if isinstance(answer, Refused):
            raise QueueRefusalError(self.observed.record.identity, answer)
        for displaced in answer.displaced:
            refused = Refused(RefusalReason.DISPLACED, 0.0, displaced.deadline_at - now, 0)
            await displaced.fail(QueueRefusalError(self.observed.record.identity, refused))
        await self.check_queue(now)

    async def check_queue(self, now: float) -> None:
        """Refuse waiting requests whose turn can't come in time any more, at a limited rate."""
        if self._queue and now >= self._next_queue_check_at:
            await self._check_queue(now)

    async def _check_queue(self, now: float) -> None:
        self._next_queue_check_at = now + QUEUE_CHECK_INTERVAL_S
        identity = self.observed.record.identity
        for waiter, refused in self._queue.expire(now, self._queue_drain()):
            await waiter.fail(QueueRefusalError(identity, refused))

    async def check_waiting(self, now: float) -> None:
        """Refuse requests whose turn won't come or whose member hangs; open connections for others.

        Call it only after a possible pause of this process has been accounted for.
        """
        await self.check_queue(now)
        if self._queue and self.observed.seems_silent(now):
            await self._fail_unaware_of_silence(now)
        elif self._queue:
            await self._open_for_waiting()
            await self._end_resting_for_waiting(now)

    async def _fail_unaware_of_silence(self, now: float) -> None:
        """Fail requests that began to wait while the member answered, so that they go elsewhere."""
        unaware = [waiter for waiter in self._queue.in_order(now) if not waiter.expects_silence]
        for waiter in unaware:
            if waiter.deadline_at < NEVER:
                self._queue.remove(waiter)
                await waiter.fail(PoolTimeoutError(self.observed.record.identity))

    async def _wait(self, waiter: ConnectionWaiter, give_up_at: float) -> MemberConnection | None:
        """Wait for a connection, and open one if the limits allow.

        :returns: None when the caller should try again
        :raises QueueRefusalError: when its turn won't come in time
        :raises PoolTimeoutError: when the request's time is over
        :raises ConnectionLostError: when none could be opened
        :raises ConnectionRefusedByMemberError: when the member refuses a connection
        """
        await self._enqueue(waiter)
        self.observed.waiting += 1
        try:
            await self._open_if_needed(waiter.tenant, time.monotonic() - waiter.arrived_at)
            return await self._wait_for(waiter, waiter.arrived_at + GROWTH_WAIT_S, give_up_at)
        except BaseException:
            self._queue.remove(waiter)
            raise
        finally:
            self.observed.waiting -= 1

    async def _wait_for(
        self, waiter: ConnectionWaiter, grows_at: float, give_up_at: float
    ) -> MemberConnection | None:
        """Wait until a request is served, should try again, or gives up.

        :param grows_at: when a connection beyond ``SOFT_LIMIT_SHARE`` may be opened for it
        """
        now = time.monotonic()
        until = min(grows_at, give_up_at) if now < grows_at else give_up_at
        try:
            async with curio.timeout_after(max(0.0, until - now)):
                await waiter.event.wait()
        except curio.TaskTimeout:
            if waiter.connection is not None:
                return waiter.connection
            await self._pass_on(waiter)
            if until < give_up_at:
                return None
            raise PoolTimeoutError(self.observed.record.identity) from None
        except curio.CancelledError:
            await self._pass_on(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error
        return waiter.connection

    async def _pass_on(self, waiter: ConnectionWaiter) -> None:
        """Pass on a connection or wake-up that a waiter got just when it gave up."""
        was_given = not self._queue.remove(waiter)
        if was_given and waiter.connection is not None:
            self.observed.outstanding += 1
            await self.putconn(waiter.connection)
        elif was_given and waiter.error is None:
            await self._wake_one()


def _waits_long(waiter: ConnectionWaiter, now: float) -> bool:
    """Tell whether a request has waited for so long that a resting transaction is ended for it."""
    longest_s = RESTING_WAIT_SHARE * (waiter.deadline_at - waiter.arrived_at)
    return now - waiter.arrived_at >= min(RESTING_WAIT_S, longest_s)

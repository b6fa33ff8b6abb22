"""Connections to one member, as many as this proxy's lease allows."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable

import curio
from result import Err, Ok

from limedyke.core.queueing.dequeue_rate import DequeueRate
from limedyke.core.queueing.queue_answer import QueueDrain, RefusalReason, Refused
from limedyke.core.queueing.queued_request import NEVER, QueuedRequest
from limedyke.core.queueing.request_queue import RequestQueue
from limedyke.core.queueing.retry_schedule import RetrySchedule
from limedyke.core.statements.connection_demand import ConnectionUse
from limedyke.core.statements.observed_member import FIRST_ANSWER_S, OPENING, ObservedMember
from limedyke.messages.statements import AnswerKind
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.members.checked_out_connections import CheckedOutConnections
from limedyke.proxy.statements.members.connection_waiter import (
    ANY_TENANT,
    ConnectionWaiter,
    PoolTimeoutError,
    TurnedAwayError,
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

IDLE_CLOSE_S = 6.0
"""Idle connections are few, so that members have room when proxies come back: a member holds a
connection of a lost machine for some seconds."""
USUAL_SHARE = 0.5
"""So much of a lease is used without a wait: a member holds the connections of machines that lost
power for some seconds, and those that come back need room beside them."""
GROWTH_WAIT_S = 0.03
"""A request that has waited so long may have a connection opened beyond the usual share."""
OPENING_SHARE = 0.25
"""So much of an opening's time counts against a member in the choice of one."""
SURPLUS_IDLE_CLOSE_S = 1.0
NO_TENANT = ""
"""Whose connections the proxy's own questions open, and public databases use."""
RECOUNT_INTERVAL_S = 0.02
"""What waits is counted again so often, and told within this time that its turn won't come."""
WAITING_PER_CONNECTION = 128
"""Bounds the memory of what waits; as a rule the expected wait bounds it sooner."""
LEAST_GAP_S = 0.0001
MS_PER_S = 1_000
LEAST_URGENT = 1_000
"""A priority behind all others: everything that waits goes before it."""
FULL_PAUSE_S = 0.2
"""A member that took no further connection is not asked for one for so long."""


class PoolClosedError(Exception):
    """The member has left, or this proxy holds no lease on it."""


class MemberPool:
    """Lends connections to one member, in the order of ``RequestQueue``.

    A connection serves the tenant on whose behalf it was opened and no other. When the lease has no
    room for one more, the longest idle one is closed for a request of another tenant.

    :param observed: the member as this proxy observes it; its load is kept here
    :param make_codec: makes the codec of a connection
    :param traffic: counts the bytes of all its connections
    :ivar connector: opens connections
    :ivar judgement: what was last told of the member in the log
    :ivar opened: connections open or being opened
    :ivar use: how many connections requests have use for
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
        self._full_until = 0.0
        self._opening: Counter[str] = Counter()
        self._idle = IdleConnections()
        self._queue = RequestQueue(FIRST_ANSWER_S)
        self._lent = CheckedOutConnections()
        self._turns = DequeueRate()
        self._returns = RetrySchedule()
        self._recount_at = 0.0
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

        :param tenant: ``ANY_TENANT`` for questions of the proxy's own
        :param since: when the statement began to wait, also for another member; None for now
        :param target_at: when its answer is late
        :param start_by: when it has to be sent at the latest; it is turned away at once when its
            turn comes later
        :raises TurnedAwayError: when its turn would come too late, also once it waits
        :raises PoolTimeoutError: when none came free in time
        :raises PoolClosedError: when the member has left or there is no lease
        :raises ConnectionLostError: when a new one could not be opened
        :raises ConnectionRefusedByMemberError: when the member takes no further one
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
            if self._may_send_more():
                connection = await self._take_idle(tenant, values)
            if connection is None:
                connection = await self._wait(waiter, give_up_at)
            if connection is not None:
                return self._lend(connection, waiter)

    def _lend(self, connection: MemberConnection, request: ConnectionWaiter) -> MemberConnection:
        now = time.monotonic()
        self.observed.outstanding += 1
        self._lent.lend(connection, request, now)
        if request.was_let_in:
            self._turns.record_dequeue(now)
        self._queue.started(request, waited=request.was_let_in)
        return connection

    async def getconn_new(self) -> MemberConnection | None:
        """Return a connection that was opened just now; None when the lease has no room for one.

        What it shows holds for the member: an open connection may have gone silent by itself. An
        idle one makes room for it if need be.

        :raises PoolClosedError: when the member has left or there is no lease
        :raises ConnectionLostError: when it could not be opened
        :raises ConnectionRefusedByMemberError: when the member takes no further one
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
        connection.lent_at = time.monotonic()
        return connection

    def take_unheard(self, since: float) -> list[MemberConnection]:
        """Lend all idle connections on which nothing came since a moment; they may be silent."""
        unheard = self._idle.take_unheard(since)
        self.observed.outstanding += len(unheard)
        return unheard

    @property
    def has_room(self) -> bool:
        """Whether a connection can be had at once."""
        has_room = self.observed.has_room(time.monotonic())
        return has_room and (bool(self._idle) or self._may_open())

    @property
    def has_usual_room(self) -> bool:
        """Whether a connection can be had at once and without going beyond the usual share."""
        has_room = self.observed.has_room(time.monotonic())
        return has_room and (bool(self._idle) or self._may_open(waited_s=0.0))

    def expected_wait_s(self, tenant: str, priority: int = LEAST_URGENT) -> float:
        """Return how long a request that comes now is expected to wait for a connection.

        Only what goes before it counts: its priority and more urgent ones.
        """
        now = time.monotonic()
        has_room = self.observed.has_room(now)
        if has_room and self._idle.has(tenant):
            return 0.0
        request = QueuedRequest(tenant, priority, now)
        if has_room and self._has_place_for(request, now):
            return self.observed.opening.usual_s
        return self._queue.expected_wait_s(request, now, self._drain())

    def connection_cost_s(self, tenant: str) -> float:
        """Return what the way to a connection costs a read of a tenant that may go elsewhere.

        One that is opened serves later reads too, so this one bears a part of its opening. Nothing
        is assumed of a member that is new: it is to be tried.
        """
        can_open = self.observed.has_room(time.monotonic()) and (
            bool(self._idle) or self._may_open()
        )
        if can_open and not self._idle.has(tenant):
            opening = self.observed.opening
            return OPENING_SHARE * opening.usual_s if opening.is_seen else 0.0
        return self.expected_wait_s(tenant)

    def _has_place_for(self, request: QueuedRequest, now: float) -> bool:
        """Tell whether a connection may be opened for a request beside those that go before it."""
        openable = self.limit - self.opened if self._may_open() else 0
        free = len(self._idle) + openable
        if not self._queue:
            return free > 0
        before = self._queue.ahead_of(request, now).count - self._opening.total()
        return max(0, before) < free

    def _drain(self) -> QueueDrain:
        """Return how fast what waits is served, as seen while something waits."""
        gap_s = max(self.turn_gap_s, LEAST_GAP_S)
        slots = min(float(self.limit), self._queue.usual_cost_s / gap_s)
        waiting_limit = WAITING_PER_CONNECTION * self.limit
        return QueueDrain(slots, self.limit, 0.0, waiting_limit, self._turns.variation)

    @property
    def turn_gap_s(self) -> float:
        """The time to expect between two turns."""
        now = time.monotonic()
        if not self._queue:
            return self._assumed_gap_s(now)
        return self._turns.gap_s(self.observed.awaited_s(self._turns.last_at, now))

    def retry_after_ms(self, priority: int, ready_in_s: float = 0.0) -> int:
        """Return when one that is refused may come back to this member, and keep the time for it.

        :param ready_in_s: when there is room for it, or the member can serve it
        """
        now = time.monotonic()
        return_s = self._returns.retry_after_s(priority, ready_in_s, now, self.turn_gap_s)
        return math.ceil(return_s * MS_PER_S)

    def _assumed_gap_s(self, now: float) -> float:
        """Return the time between two turns; connections at rest in transactions don't count."""
        connections = self.opened if now < self._full_until else self.limit
        usual_s = self._queue.usual_cost_s
        at_work = connections - self._lent.held(usual_s, now)
        serving = max(1, min(at_work, self.observed.concurrency.limit))
        opening_s = self._lent.change_share * self.observed.opening.usual_s
        return (usual_s + opening_s) / serving

    @property
    def usual_limit(self) -> int:
        """Connections that are opened without a wait."""
        return math.ceil(self.limit * USUAL_SHARE)

    def _may_open(self, waited_s: float = GROWTH_WAIT_S) -> bool:
        """Tell whether a further connection should be tried: the lease and the member allow it.

        With none open there is none to wait for, so one is tried whatever the member said.

        :param waited_s: how long the request has waited
        """
        is_full = self.opened > 0 and time.monotonic() < self._full_until
        limit = self.limit if waited_s >= GROWTH_WAIT_S else self.usual_limit
        return self.opened < limit and not is_full

    async def putconn(self, connection: MemberConnection) -> None:
        """Take a connection back; one that is closed or in a transaction is given up."""
        self.observed.outstanding -= 1
        self.sent_on(connection)
        request = self._lent.take_back(connection)
        if request is not None:
            self._queue.finished(request, time.monotonic() - connection.lent_at)
        is_usable = not connection.is_closed and connection.status is TransactionStatus.IDLE
        if not is_usable or self.is_closed or self.opened > self.limit:
            await self._give_up(connection)
        else:
            await self._hand_over(connection)
            await self.room_came()
        await self.recount(time.monotonic())

    def _reserve(self, connection: MemberConnection) -> None:
        """Count a connection that is lent as work at the member until something is sent on it."""
        connection.is_reserved = True
        self.observed.reserved += 1

    def sent_on(self, connection: MemberConnection) -> None:
        """Take that a request has sent something, or gives the connection back."""
        if connection.is_reserved:
            connection.is_reserved = False
            self.observed.reserved -= 1

    def _may_send_more(self) -> bool:
        """Tell whether the member has room for more; what is held back is looked at again."""
        has_room = self.observed.has_room(time.monotonic())
        self._lacked_room = self._lacked_room or not has_room
        return has_room

    async def room_came(self) -> None:
        """Serve the next requests while there is room for more at the member.

        Each keeps its place until a connection is there for it: one that asked anew could be turned
        away after it had waited.
        """
        if not self._lacked_room:
            return
        self._lacked_room = False
        for waiter in list(self._queue.in_order(time.monotonic())):
            if not self._may_send_more():
                return
            connection = await self._take_idle(waiter.tenant, {})
            if connection is None:
                await self._open_one(waiter.tenant, time.monotonic() - waiter.arrived_at)
            elif waiter.is_waiting:
                self._lent.turned_over(changed=False)
                self._queue.remove(waiter)
                await waiter.give(connection)
            else:
                self.sent_on(connection)
                self._idle.add(connection, time.monotonic())

    async def _hand_over(self, connection: MemberConnection) -> None:
        """Give a connection to the request that is next, or keep it idle.

        When that one wants another tenant's and the lease has no room for it, this connection is
        closed in its favour: else a tenant with many requests would keep all connections.
        """
        now = time.monotonic()
        if not self._may_send_more():
            self._idle.add(connection, now)
            return
        for waiter in self._queue.in_order(now):
            if waiter.takes(connection.tenant):
                self._lent.turned_over(changed=False)
                self._queue.remove(waiter)
                self._reserve(connection)
                await waiter.give(connection)
                return
            if self._must_wait(waiter):
                self._lent.turned_over(changed=True)
                await self._discard(connection)
                await self._begin_opening(waiter.tenant)
                return
        self._idle.add(connection, now)

    async def _give_to_own_tenant(self, connection: MemberConnection) -> None:
        """Give a new connection to the next request of its tenant, if one waits yet."""
        waiter = self._take_first_for(connection.tenant) if self._may_send_more() else None
        if waiter is not None:
            self._reserve(connection)
            await waiter.give(connection)
        else:
            await self._hand_over(connection)

    def _take_first(self) -> ConnectionWaiter | None:
        """Take out the request that is next; None when none waits."""
        waiter = self._queue.first(time.monotonic())
        if waiter is not None:
            self._queue.remove(waiter)
        return waiter

    def _take_first_for(self, tenant: str) -> ConnectionWaiter | None:
        """Take out the first request that a connection of a tenant serves; None when none is."""
        now = time.monotonic()
        waiter = self._queue.first(now, lambda wanted: wanted in (ANY_TENANT, tenant))
        if waiter is not None:
            self._queue.remove(waiter)
        return waiter

    def _must_wait(self, waiter: ConnectionWaiter) -> bool:
        """Tell whether no connection is being opened for a request, and none may be."""
        return not self._is_opening_for(waiter.tenant) and not self._may_open()

    def _is_opening_for(self, tenant: str | None) -> bool:
        """Tell whether a connection is being opened for each request that wants a tenant's."""
        opener = NO_TENANT if tenant is ANY_TENANT else tenant
        waiting = self._queue.waiting(opener) + self._queue.waiting(ANY_TENANT)
        return self._opening[opener] >= waiting

    async def set_limit(self, limit: int) -> None:
        """Take the lease; idle connections above it are closed."""
        grows = limit > self.limit
        self.limit = limit
        while self.opened > limit and await self._close_longest_idle():
            continue
        if grows:
            await self._open_for_waiting()
        elif limit == 0:
            await self._wake_all()
        elif self._queue:
            await self._recount(time.monotonic())

    async def _open_for_waiting(self) -> None:
        """Open connections for those that wait, in their order, as far as there is room."""
        for waiter in list(self._queue.in_order(time.monotonic())):
            if not self._may_open():
                return
            await self._open_one(waiter.tenant, GROWTH_WAIT_S)

    async def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; tell whether there was one."""
        connection = self._idle.take_longest_idle()
        if connection is None:
            return False
        await self._give_up(connection)
        return True

    async def drain(self) -> None:
        """Close the pool: idle connections now, the others when they come back."""
        self.is_closed = True
        while await self._close_longest_idle():
            continue
        await self._wake_all()

    async def close_idle(self, now: float) -> None:
        """Close connections that have been idle for long, those beyond the usual share sooner."""
        while True:
            is_surplus = self.opened > self.usual_limit
            limit_s = SURPLUS_IDLE_CLOSE_S if is_surplus else IDLE_CLOSE_S
            connection = self._idle.take_idle_before(now - limit_s)
            if connection is None:
                return
            await self._give_up(connection)

    async def _take_idle(
        self, tenant: str | None, values: dict[str, str]
    ) -> MemberConnection | None:
        """Return the tenant's idle connection whose values fit best, dropping those that died."""
        while (connection := self._idle.take(tenant, values)) is not None:
            if connection.is_alive():
                self._reserve(connection)
                return connection
            await self._give_up(connection)
        return None

    async def _open_one(self, tenant: str | None, waited_s: float) -> None:
        """Open a connection in the background, unless one is being opened for each request.

        Requests that give up meanwhile leave it to others: to open one takes several round trips.
        Another tenant's idle connection makes room for it if need be.

        :param waited_s: how long the request that wants it has waited
        """
        if self._is_opening_for(tenant) or not self._may_send_more():
            return
        if not self._may_open(waited_s) and not self._may_open_beside_idle():
            replaced = self._idle.take_longest_idle()
            if replaced is None:
                return
            await self._discard(replaced)
        await self._begin_opening(tenant)

    async def _begin_opening(self, tenant: str | None) -> None:
        """Open a connection in the background; the caller has seen that there is room for it."""
        opener = NO_TENANT if tenant is ANY_TENANT else tenant
        self._opening[opener] += 1
        self.opened += 1
        await curio.spawn(self._open, opener, daemon=True)

    def _may_open_beside_idle(self) -> bool:
        """Tell whether a connection is opened beyond the usual share, rather than for an idle one.

        Those were all used a moment ago: closed for this request, each would be opened again for
        its own tenant's next one. Those that are not wanted again are closed soon.
        """
        idle_s = self._idle.longest_idle_s(time.monotonic())
        return 0.0 < idle_s < SURPLUS_IDLE_CLOSE_S and self._may_open()

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
            self._learn_opening(connection)
            if self.is_closed or self.opened > self.limit:
                await self._give_up(connection)
            else:
                await self._give_to_own_tenant(connection)
            return
        self.opened -= 1
        await self._not_opened(opened.err_value, tenant)
        await self.room_came()

    def _learn_opening(self, connection: MemberConnection) -> None:
        """Take how long the network and the member took for an opening."""
        now = time.monotonic()
        observed = self.observed
        observed.connected(now, connection.opened_in_s)
        observed.concurrency.connected(connection.connected_in_s)
        seconds = connection.opened_in_s - connection.connected_in_s
        observed.concurrency.answered(OPENING, seconds, observed.under_way(now) + 1, now)

    async def _not_opened(self, error: Exception, tenant: str) -> None:
        """Tell requests that a connection was not opened; who may get another one waits on."""
        has_others = self.opened > self._opening.total()
        if has_others and self._has_no_room(error):
            self.use.turned_away += 1
            self._full_until = time.monotonic() + FULL_PAUSE_S
            if self._idle:
                await self._wake_one()
            return
        if has_others:
            waiter = self._take_first_for(tenant)
            if waiter is not None:
                await waiter.fail(error)
            return
        await self._fail_all(error)

    async def _wake_all(self) -> None:
        """Have all look again: the member has left, or the lease has ended."""
        for waiter in self._queue.drain():
            await waiter.look_again()

    async def _fail_all(self, error: Exception) -> None:
        for waiter in self._queue.drain():
            await waiter.fail(error)

    def _has_no_room(self, error: Exception) -> bool:
        """Tell whether a member works but takes no further connection.

        It says so, or resets those beyond its limit; those of machines that are gone count too.
        """
        if isinstance(error, ConnectionRefusedByMemberError):
            return error.answer.kind is AnswerKind.NO_CONNECTION
        return self.observed.answered_lately(time.monotonic())

    async def _give_up(self, connection: MemberConnection) -> None:
        """Close a connection; the next request may have another one opened."""
        await self._discard(connection)
        await self._wake_one()

    async def _discard(self, connection: MemberConnection) -> None:
        await connection.close()
        self.opened -= 1

    async def _wake_one(self) -> None:
        """Let the next request try again: a connection may be opened."""
        waiter = self._take_first()
        if waiter is not None:
            await waiter.look_again()

    async def _let_in(self, waiter: ConnectionWaiter) -> None:
        """Give a request its place, and tell those that have to give way to it.

        :raises TurnedAwayError: when it can't have its turn in time
        """
        now = time.monotonic()
        waiter.renew()
        if not self._queue:
            self._turns.start_waiting(now, self._assumed_gap_s(now))
        if waiter.was_let_in or self._has_place_for(waiter, now):
            self._queue.place(waiter, now)
        else:
            await self._push(waiter, now)
        waiter.was_let_in = True
        waiter.expects_silence = self.observed.seems_silent(now)

    async def _push(self, waiter: ConnectionWaiter, now: float) -> None:
        answer = self._queue.push(waiter, now, self._drain())
        if isinstance(answer, Refused):
            raise TurnedAwayError(self.observed.record.identity, answer)
        for displaced in answer.displaced:
            refused = Refused(RefusalReason.DISPLACED, 0.0, displaced.deadline_at - now, 0)
            await displaced.fail(TurnedAwayError(self.observed.record.identity, refused))
        await self.recount(now)

    async def recount(self, now: float) -> None:
        """Tell those that wait and can't have their turn in time any more; not too often."""
        if self._queue and now >= self._recount_at:
            await self._recount(now)

    async def _recount(self, now: float) -> None:
        self._recount_at = now + RECOUNT_INTERVAL_S
        identity = self.observed.record.identity
        for waiter, refused in self._queue.expire(now, self._drain()):
            await waiter.fail(TurnedAwayError(identity, refused))

    async def look_after_waiting(self, now: float) -> None:
        """Tell those whose turn won't come, and those that wait for a member that seems to hang.

        To be called once it is known whether this process stood still.
        """
        await self.recount(now)
        if self._queue and self.observed.seems_silent(now):
            await self._tell_of_silence(now)
        elif self._queue:
            await self._open_for_waiting()

    async def _tell_of_silence(self, now: float) -> None:
        """Have those look elsewhere that began to wait while the member answered."""
        unaware = [waiter for waiter in self._queue.in_order(now) if not waiter.expects_silence]
        for waiter in unaware:
            if waiter.deadline_at < NEVER:
                self._queue.remove(waiter)
                await waiter.fail(PoolTimeoutError(self.observed.record.identity))

    async def _wait(self, waiter: ConnectionWaiter, give_up_at: float) -> MemberConnection | None:
        """Wait for a connection, and have one opened if there may be one more.

        :returns: None when another try is worth it
        :raises TurnedAwayError: when its turn won't come in time
        :raises PoolTimeoutError: when the request's time is over
        :raises ConnectionLostError: when none could be opened
        :raises ConnectionRefusedByMemberError: when the member takes none
        """
        await self._let_in(waiter)
        self.observed.waiting += 1
        try:
            await self._open_one(waiter.tenant, time.monotonic() - waiter.arrived_at)
            return await self._wait_for(waiter, waiter.arrived_at + GROWTH_WAIT_S, give_up_at)
        except BaseException:
            self._queue.remove(waiter)
            raise
        finally:
            self.observed.waiting -= 1

    async def _wait_for(
        self, waiter: ConnectionWaiter, grows_at: float, give_up_at: float
    ) -> MemberConnection | None:
        """Wait until a request is served, may look again, or gives up.

        :param grows_at: when a connection beyond the usual share may be opened for it
        """
        now = time.monotonic()
        until = min(grows_at, give_up_at) if now < grows_at else give_up_at
        try:
            async with curio.timeout_after(max(0.0, until - now)):
                await waiter.event.wait()
        except curio.TaskTimeout:
            if waiter.connection is not None:
                return waiter.connection
            await self._abandon(waiter)
            if until < give_up_at:
                return None
            raise PoolTimeoutError(self.observed.record.identity) from None
        except curio.CancelledError:
            await self._abandon(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error
        return waiter.connection

    async def _abandon(self, waiter: ConnectionWaiter) -> None:
        """Pass on what a waiter was given at the moment it gave up."""
        was_given = not self._queue.remove(waiter)
        if was_given and waiter.connection is not None:
            self.observed.outstanding += 1
            await self.putconn(waiter.connection)
        elif was_given and waiter.error is None:
            await self._wake_one()

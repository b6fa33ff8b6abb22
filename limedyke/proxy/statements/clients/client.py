"""One client's connection: reads its statements one after the other and answers them."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import curio
from curio import socket
from result import Err

from limedyke.core.statements.session import (
    EndTransaction,
    RunOnMember,
    StatementSession,
    refusal,
)
from limedyke.event_log import EventLog
from limedyke.messages.statements import Statement, StatementAnswer, StatementKind
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.clients.client_codec import (
    ClientCodec,
    ClientEvent,
    MalformedStatement,
    SessionEnded,
    SessionRequested,
    StatementReceived,
)
from limedyke.proxy.statements.clients.session_admission import SessionAdmission
from limedyke.proxy.statements.executor import StatementExecutor
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.placed_answer import TransactionPlace
from limedyke.proxy.statements.statement_log import StatementLog, StatementUnderWay
from limedyke.result_codes import ResultCode

RECEIVE_BYTES = 64 * 1024
ENDS_AN_OPERATION = frozenset(
    {
        StatementKind.READ,
        StatementKind.WRITE,
        StatementKind.EXECUTE,
        StatementKind.COMMIT,
        StatementKind.ROLLBACK,
    }
)
"""Behind other statements, such as SET, the one that they prepare is already on its way."""
SERVED_ELSEWHERE = frozenset(
    code.value.number
    for code in (
        ResultCode.FRESHNESS_UNPROVEN,
        ResultCode.NO_LEASE,
        ResultCode.NO_MEMBER,
        ResultCode.NO_PRIMARY,
        ResultCode.READ_UNANSWERED,
        ResultCode.TRANSACTION_LOST,
    )
)
"""What a proxy that is cut off answers, though another one may serve it."""
KEY_UNKNOWN = ResultCode.ACCESS_KEY_UNKNOWN.value.number
"""Ends the session: the key that it was opened with has been taken away."""
REST_BEFORE_LEAVING_S = 0.25
EVENTS = EventLog("client")


@dataclass(slots=True)
class ClientServices:
    """What all clients of a proxy share.

    :param is_cut_off: whether the proxy has lost the controllers, so that others may serve better
    :param is_leaving: the proxy was asked to stop
    :param transactions_end_at: when open transactions are ended, while it stops
    """

    groups: StatementGroups
    admission: SessionAdmission
    executor: StatementExecutor
    log: StatementLog
    is_cut_off: Callable[[], bool] = lambda: False
    is_leaving: bool = False
    transactions_end_at: float = float("inf")


class StatementClient:
    """Serves one client until its connection ends.

    :ivar is_idle: it waits for the client, outside a transaction
    """

    def __init__(self, sock: socket.socket, codec: ClientCodec, services: ClientServices) -> None:
        self._socket = sock
        self._codec = codec
        self._services = services
        self._session: StatementSession | None = None
        self._place: TransactionPlace | None = None
        self._is_sent_away = False
        self._events: deque[ClientEvent] = deque()
        self.is_idle = False
        self._idle_since = 0.0
        self._under_way: StatementUnderWay | None = None
        self._ended_by = "process-end"
        self.task: curio.Task | None = None

    @property
    def is_serving(self) -> bool:
        """Whether a statement was received whose answer is not sent yet."""
        return self._under_way is not None

    async def run(self) -> None:
        """Serve the client; never raises for what the client or its network does."""
        try:
            while await self._serve_next():
                continue
        except OSError as error:
            self._ended_by = f"connection: {error}"
        finally:
            async with curio.disable_cancellation():
                self._tell_unanswered()
                await self._clean_up()

    def _tell_unanswered(self) -> None:
        """Log a statement whose client gets no answer any more."""
        if self._under_way is not None:
            was_sent = self._session is not None and self._session.was_sent
            self._services.log.unanswered(self._under_way, self._ended_by, was_sent)

    async def _clean_up(self) -> None:
        if self._place is not None:
            place, self._place = self._place, None
            await self._services.executor.abandon(place)
        try:
            await self._socket.close()
        except OSError:
            return

    async def _serve_next(self) -> bool:
        """Serve the client's next event; tell whether there can be another."""
        event = await self._next_event()
        match event:
            case SessionRequested():
                return await self._open_session(event)
            case StatementReceived():
                return await self._serve_statement(event.statement)
            case MalformedStatement():
                return await self._refuse_malformed(event)
        return False

    async def _next_event(self) -> ClientEvent:
        while not self._events:
            data = await self._receive()
            if data is None:
                await self._end_idle_transaction()
                continue
            if not data:
                return SessionEnded("closed by the client")
            await self._stay_for_what_came()
            self._events.extend(self._codec.feed(data))
        return self._events.popleft()

    async def leave(self) -> None:
        """End the session, if it has waited for the client outside a transaction for a while.

        What a client has just been told may bring its next statement, which is on its way.
        """
        has_rested = time.monotonic() - self._idle_since > REST_BEFORE_LEAVING_S
        if self.is_idle and has_rested and self.task is not None:
            self._ended_by = "leaving"
            await self.task.cancel(blocking=False)

    async def _stay_for_what_came(self) -> None:
        """Serve a statement that came at the moment the session was asked to leave.

        Cancellation can't just be disabled while a statement runs: its time limits are
        cancellations too.
        """
        if self._services.is_leaving:
            async with curio.disable_cancellation():
                await curio.check_cancellation(curio.CancelledError)

    async def _receive(self) -> bytes | None:
        """Return received bytes; None when an open transaction has rested for too long."""
        rest_s = self._rest_limit_s()
        self.is_idle = self._session is not None and self._session.transaction is None
        self._idle_since = time.monotonic()
        try:
            if rest_s is None:
                return await self._socket.recv(RECEIVE_BYTES)
            async with curio.timeout_after(rest_s):
                return await self._socket.recv(RECEIVE_BYTES)
        except curio.TaskTimeout:
            return None
        finally:
            self.is_idle = False

    def _rest_limit_s(self) -> float | None:
        if self._session is None or self._session.transaction is None:
            return None
        limits = []
        view = self._services.groups.view
        if view is not None and view.session_limits.idle_in_transaction_ms:
            limits.append(view.session_limits.idle_in_transaction_ms / 1_000)
        ends_at = self._services.transactions_end_at
        if ends_at != float("inf"):
            limits.append(max(0.0, ends_at - time.monotonic()))
        return min(limits, default=1.0)

    async def _end_idle_transaction(self) -> None:
        """Roll back a transaction that rests for too long, or because the proxy stops."""
        view = self._services.groups.view
        is_limited = view is not None and view.session_limits.idle_in_transaction_ms > 0
        is_stopping = time.monotonic() >= self._services.transactions_end_at
        if not is_limited and not is_stopping:
            return
        self._session.fail_transaction()
        if self._place is not None:
            place, self._place = self._place, None
            await self._services.executor.roll_back(place)

    async def _open_session(self, event: SessionRequested) -> bool:
        opened = await self._services.admission.open(event)
        if isinstance(opened, Err):
            self._services.log.session_refused(event.database, opened.err_value)
            await self._socket.sendall(self._codec.refuse_session(opened.err_value))
            return False
        self._session = opened.ok_value
        await self._socket.sendall(self._codec.ready())
        return True

    async def _refuse_malformed(self, event: MalformedStatement) -> bool:
        answer = refusal(ResultCode.PROTOCOL_VIOLATION, event.reason)
        if self._session is None:
            await self._socket.sendall(self._codec.refuse_session(answer))
            return False
        await self._socket.sendall(self._codec.answer(answer, self._session.status))
        return True

    async def _serve_statement(self, statement: Statement) -> bool:
        session = self._session
        if session is None:
            answer = refusal(ResultCode.PROTOCOL_VIOLATION, "No session is open.")
            await self._socket.sendall(self._codec.refuse_session(answer))
            return False
        started_at = time.monotonic()
        self._under_way = StatementUnderWay(session.database, statement, started_at)
        session.was_sent = False
        was_idle = session.status is TransactionStatus.IDLE
        refused = self._services.admission.renew(session) if was_idle else None
        answer = refused or await self._answer(session, statement)
        self._services.log.answered(session.database, statement, answer, started_at)
        await self._socket.sendall(self._codec.answer(answer, session.status))
        self._under_way = None
        self._note_refusal(answer)
        is_over = session.status is TransactionStatus.IDLE and statement.kind in ENDS_AN_OPERATION
        is_sent_away = self._services.is_leaving or self._is_sent_away
        return answer.code != KEY_UNKNOWN and not (is_over and is_sent_away)

    def _note_refusal(self, answer: StatementAnswer) -> None:
        """Have the client come back to another proxy if that may serve what was refused here.

        A proxy that has lost the controllers knows no new primary and proves no position; another
        one may be on the other side of the cut.
        """
        if answer.code in SERVED_ELSEWHERE and self._services.is_cut_off():
            self._is_sent_away = True

    async def _answer(self, session: StatementSession, statement: Statement) -> StatementAnswer:
        plan = session.plan(statement)
        match plan:
            case EndTransaction():
                if self._place is not None:
                    place, self._place = self._place, None
                    await curio.spawn(self._services.executor.roll_back, place, daemon=True)
                return plan.answer
            case RunOnMember():
                return await self._run(session, plan)
        return plan

    async def _run(self, session: StatementSession, run: RunOnMember) -> StatementAnswer:
        placed = await self._services.executor.run(session, run, self._place)
        self._place = placed.place
        return placed.answer

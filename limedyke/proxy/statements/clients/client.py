"""One client's connection: reads its statements one after the other and answers them."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import curio
from curio import socket
from result import Err, Result

from limedyke.core.statements.session import (
    EndTransaction,
    RunOnMember,
    StatementSession,
    refusal,
)
from limedyke.core.statements.stop_schedule import StopState
from limedyke.event_log import EventLog
from limedyke.interrupt import interrupt
from limedyke.messages.statements import Statement, StatementAnswer, StatementKind
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.clients.client_codec import (
    ClientCodec,
    ClientEvent,
    LeaveRequested,
    MalformedStatement,
    SessionEnded,
    SessionRequested,
    StatementReceived,
)
from limedyke.proxy.statements.clients.session_admission import SessionAdmission
from limedyke.proxy.statements.clients.session_end import end_session
from limedyke.proxy.statements.executor import StatementExecutor
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.settlement import settle_unanswered
from limedyke.proxy.statements.statement_log import StatementLog, StatementUnderWay
from limedyke.proxy.statements.statement_outcome import PlacedAnswer, TransactionLocation
from limedyke.proxy.statements.statement_refusal import give_up
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
STOPPED_RETRY_AFTER_MS = 10
"""Another proxy may serve at once."""
REST_BEFORE_LEAVING_S = 0.25
EVENTS = EventLog("client")


class LeaveAskedError(curio.CancelledError):
    """The session is to end where it waits for its client."""


class StopDeadlineError(LeaveAskedError):
    """The proxy ends soon: the statement under way is told what is known of it."""


@dataclass(slots=True)
class ClientServices:
    """What all clients of a proxy share.

    :param is_cut_off: whether the proxy has lost the controllers, so that others may serve better
    :param stop: whether the proxy was asked to stop, and until when it does what
    """

    groups: StatementGroups
    admission: SessionAdmission
    executor: StatementExecutor
    log: StatementLog
    is_cut_off: Callable[[], bool] = lambda: False
    stop: StopState = field(default_factory=StopState)


class StatementClient:
    """Serves one client until its connection ends.

    :ivar is_waiting: it waits for the client
    """

    def __init__(self, sock: socket.socket, codec: ClientCodec, services: ClientServices) -> None:
        self._socket = sock
        self._codec = codec
        self._services = services
        self._session: StatementSession | None = None
        self._place: TransactionLocation | None = None
        self._is_sent_away = False
        self._is_over = False
        self._events: deque[ClientEvent] = deque()
        self.is_waiting = False
        self._waiting_since = 0.0
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
            case LeaveRequested():
                await self._end_session(ResultCode.DRAINING)
        return False

    async def _next_event(self) -> ClientEvent:
        while not self._events:
            try:
                data = await self._receive()
            except LeaveAskedError:
                if self._session is None or self._session.transaction is None:
                    return LeaveRequested()
                await self._lose_transaction(ResultCode.TRANSACTION_LOST)
                continue
            if data is None:
                await self._lose_transaction(ResultCode.IDLE_IN_TRANSACTION)
                continue
            if not data:
                return SessionEnded("closed by the client")
            await self._stay_for_what_came()
            self._events.extend(self._codec.feed(data))
        return self._events.popleft()

    async def leave(self) -> None:
        """End the session, or its transaction, if it waits for the client and the stop is so far.

        What a client has just been told may bring its next statement, which is on its way: at
        first only sessions end that have rested for a while.
        """
        if self.is_waiting and self._is_due(time.monotonic()):
            await self._interrupt(LeaveAskedError)

    def _is_due(self, now: float) -> bool:
        """Tell whether a session that waits for its client is to be ended now."""
        schedule = self._services.stop.schedule
        status = TransactionStatus.IDLE if self._session is None else self._session.status
        match status:
            case TransactionStatus.IDLE:
                has_rested = now - self._waiting_since > REST_BEFORE_LEAVING_S
                return has_rested or now >= schedule.statements_until
            case TransactionStatus.IN_TRANSACTION:
                return now >= schedule.statements_until
        return now >= schedule.answers_until

    async def cut_short(self) -> None:
        """Have the statement under way answered now with what is known of it."""
        if self.is_serving:
            await self._interrupt(StopDeadlineError)

    async def _interrupt(self, error: type[LeaveAskedError]) -> None:
        if self.task is not None and not self._is_over:
            await interrupt(self.task, error)

    async def _end_session(self, code: ResultCode) -> None:
        """Tell the client that its session is over; what it has sent by then did not run."""
        self._is_over = True
        limit_s = max(0.0, self._services.stop.schedule.ends_at - time.monotonic())
        reason = refusal(code, retry_after_ms=STOPPED_RETRY_AFTER_MS)
        await end_session(self._socket, self._codec, reason, tuple(self._events), limit_s)

    async def _stay_for_what_came(self) -> None:
        """Serve a statement that came at the moment the session was asked to leave.

        Cancellation can't just be disabled while a statement runs: its time limits are
        cancellations too.
        """
        if self._services.stop.is_stopping:
            async with curio.disable_cancellation():
                await curio.check_cancellation(LeaveAskedError)

    async def _receive(self) -> bytes | None:
        """Return received bytes; None when an open transaction has rested for too long."""
        rest_s = self._rest_limit_s()
        self.is_waiting = True
        self._waiting_since = time.monotonic()
        try:
            if rest_s is None:
                return await self._socket.recv(RECEIVE_BYTES)
            async with curio.timeout_after(rest_s):
                return await self._socket.recv(RECEIVE_BYTES)
        except curio.TaskTimeout:
            return None
        finally:
            self.is_waiting = False

    def _rest_limit_s(self) -> float | None:
        """Return how long the client may rest; None for as long as it likes."""
        view = self._services.groups.view
        is_open = self._session is not None and self._session.transaction is not None
        if not is_open or view is None or not view.session_limits.idle_in_transaction_ms:
            return None
        return view.session_limits.idle_in_transaction_ms / 1_000

    async def _lose_transaction(self, code: ResultCode) -> None:
        """Roll back a transaction whose client rests; its next statement is told so."""
        self._session.lose_transaction(code)
        if self._place is not None:
            place, self._place = self._place, None
            await self._services.executor.roll_back(place)

    async def _open_session(self, event: SessionRequested) -> bool:
        opened = await self._admit(event)
        if isinstance(opened, Err):
            self._services.log.session_refused(event.database, opened.err_value)
            await self._socket.sendall(self._codec.refuse_session(opened.err_value))
            return False
        self._session = opened.ok_value
        await self._socket.sendall(self._codec.ready())
        return True

    async def _admit(self, event: SessionRequested) -> Result[StatementSession, StatementAnswer]:
        """Open a session, unless the proxy takes no more statements."""
        if not self._services.stop.schedule.takes(StatementKind.READ, time.monotonic()):
            return Err(refusal(ResultCode.DRAINING, retry_after_ms=STOPPED_RETRY_AFTER_MS))
        return await self._services.admission.open(event)

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
        session.begin_statement(self._services.stop.schedule.answers_until)
        answer = self._refused_at_once(session, statement) or await self._answer(session, statement)
        self._services.log.answered(session.database, statement, answer, started_at)
        await self._socket.sendall(self._codec.answer(answer, session.status))
        self._under_way = None
        self._note_refusal(answer)
        return await self._goes_on(session, statement, answer)

    def _refused_at_once(
        self, session: StatementSession, statement: Statement
    ) -> StatementAnswer | None:
        """Return why a statement is not served at all; None when it is."""
        is_taken = self._services.stop.schedule.takes(statement.kind, time.monotonic())
        match session.status:
            case TransactionStatus.IDLE if not is_taken:
                return refusal(ResultCode.DRAINING, retry_after_ms=STOPPED_RETRY_AFTER_MS)
            case TransactionStatus.IDLE:
                return self._services.admission.renew(session)
        return None

    async def _goes_on(
        self, session: StatementSession, statement: Statement, answer: StatementAnswer
    ) -> bool:
        """Tell whether the session goes on behind an answer; end it when it does not."""
        if answer.code == KEY_UNKNOWN:
            await self._end_session(ResultCode.ACCESS_KEY_UNKNOWN)
            return False
        is_over = session.status is TransactionStatus.IDLE and statement.kind in ENDS_AN_OPERATION
        if is_over and self._is_sent_away:
            await self._end_session(ResultCode.NO_LEASE)
            return False
        return True

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
        try:
            placed = await self._services.executor.run(session, run, self._place)
        except StopDeadlineError:
            placed = await self._cut(session, run)
        self._place = placed.place
        return placed.answer

    async def _cut(self, session: StatementSession, run: RunOnMember) -> PlacedAnswer:
        """Give a statement up that no member has answered by the end of the stop."""
        if self._place is not None:
            await self._services.executor.abandon(self._place)
        detail = "the proxy stops"
        if session.was_sent or session.transaction is not None:
            return settle_unanswered(session, run, detail)
        return PlacedAnswer(give_up(session, ResultCode.DRAINING, detail))

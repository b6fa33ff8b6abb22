"""One client connection: reads its statements one after the other and answers them."""

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
    MalformedStatement,
    SessionEnded,
    SessionEndRequested,
    SessionRequested,
    StatementReceived,
)
from limedyke.proxy.statements.clients.session_admission import SessionAdmission
from limedyke.proxy.statements.clients.session_end import SILENCE_S, end_session
from limedyke.proxy.statements.executor import StatementExecutor
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.settlement import settle_unanswered
from limedyke.proxy.statements.statement_log import StatementLog, StatementUnderWay
from limedyke.proxy.statements.statement_outcome import StatementOutcome, TransactionLocation
from limedyke.proxy.statements.statement_refusal import refuse_statement
from limedyke.result_codes import ResultCode

RECEIVE_BYTES = 64 * 1024
OPERATION_END_KINDS = frozenset(
    {
        StatementKind.READ,
        StatementKind.WRITE,
        StatementKind.EXECUTE,
        StatementKind.COMMIT,
        StatementKind.ROLLBACK,
    }
)
"""Statements after which a session may be closed. After others, such as SET, the client usually has
sent the statement that they prepare already."""
RETRYABLE_ELSEWHERE_CODES = frozenset(
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
"""Refusals by a proxy cut off from the controllers that another proxy might not give."""
ACCESS_KEY_UNKNOWN_CODE = ResultCode.ACCESS_KEY_UNKNOWN.value.number
"""Ends the session: the access key it was opened with was revoked."""
STOPPING_RETRY_AFTER_MS = 10
"""Short, because another proxy can serve the client at once."""
IDLE_BEFORE_SESSION_END_S = 0.25
"""Seconds a session must be idle before the first phase of a planned stop ends it."""
EVENTS = EventLog("client")


class SessionEndRequestedError(curio.CancelledError):
    """Raised in a client task that waits for its client when the session is to end."""


class StopDeadlineError(SessionEndRequestedError):
    """Raised in a client task whose statement must be answered now because the proxy exits."""


@dataclass(slots=True)
class ClientServices:
    """Services that all clients of a proxy share.

    :param is_cut_off: tells whether the proxy has lost contact with the controllers
    :param stop: state and schedule of a planned stop
    """

    groups: StatementGroups
    admission: SessionAdmission
    executor: StatementExecutor
    log: StatementLog
    is_cut_off: Callable[[], bool] = lambda: False
    stop: StopState = field(default_factory=StopState)


class StatementClient:
    """Serves one client until its connection ends.

    :ivar is_waiting: the task waits for data from the client
    """

    def __init__(self, sock: socket.socket, codec: ClientCodec, services: ClientServices) -> None:
        self._socket = sock
        self._codec = codec
        self._services = services
        self._session: StatementSession | None = None
        self._location: TransactionLocation | None = None
        self._must_reconnect_elsewhere = False
        self._has_ended = False
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
        """Serve the client; errors of the client or its network are never raised."""
        try:
            while await self._serve_next():
                continue
        except OSError as error:
            self._ended_by = f"connection: {error}"
        finally:
            async with curio.disable_cancellation():
                self._log_unanswered()
                await self._clean_up()

    def _log_unanswered(self) -> None:
        """Log a statement whose connection ended before it was answered."""
        if self._under_way is not None:
            was_sent = self._session is not None and self._session.was_sent
            self._services.log.unanswered(self._under_way, self._ended_by, was_sent)

    async def _clean_up(self) -> None:
        if self._location is not None:
            location, self._location = self._location, None
            await self._services.executor.abandon(location)
        try:
            await self._socket.close()
        except OSError:
            return

    async def _serve_next(self) -> bool:
        """Serve the client's next event; return False when the session is over."""
        event = await self._next_event()
        match event:
            case SessionRequested():
                return await self._open_session(event)
            case StatementReceived():
                return await self._serve_statement(event.statement)
            case MalformedStatement():
                return await self._refuse_malformed(event)
            case SessionEndRequested():
                await self._end_session(ResultCode.DRAINING)
        return False

    async def _next_event(self) -> ClientEvent:
        while not self._events:
            try:
                data = await self._receive()
            except SessionEndRequestedError:
                if self._session is None or self._session.transaction is None:
                    return SessionEndRequested()
                await self._roll_back_idle_transaction(ResultCode.TRANSACTION_LOST)
                continue
            if data is None:
                await self._roll_back_idle_transaction(ResultCode.IDLE_IN_TRANSACTION)
                continue
            if not data:
                return SessionEnded("closed by the client")
            await self._discard_end_request()
            self._events.extend(self._codec.feed(data))
        return self._events.popleft()

    async def end_if_due(self) -> None:
        """End the session or its idle transaction if the stop schedule says so.

        The first phase of a stop ends only sessions that have been idle for a while: a client that
        just got an answer may have sent its next statement already.
        """
        if self.is_waiting and self._is_end_due(time.monotonic()):
            await self._interrupt(SessionEndRequestedError)

    def _is_end_due(self, now: float) -> bool:
        """Tell whether the stop schedule ends a session that waits for its client now."""
        schedule = self._services.stop.schedule
        status = TransactionStatus.IDLE if self._session is None else self._session.status
        match status:
            case TransactionStatus.IDLE:
                has_been_idle = now - self._waiting_since > IDLE_BEFORE_SESSION_END_S
                return has_been_idle or now >= schedule.statements_until
            case TransactionStatus.IN_TRANSACTION:
                return now >= schedule.statements_until
        return now >= schedule.answers_until

    async def interrupt_statement(self) -> None:
        """Interrupt the running statement and answer it with its known outcome."""
        if self.is_serving:
            await self._interrupt(StopDeadlineError)

    async def _interrupt(self, error: type[SessionEndRequestedError]) -> None:
        if self.task is not None and not self._has_ended:
            await interrupt(self.task, error)

    async def _end_session(self, code: ResultCode) -> None:
        """End the session; statements that arrived meanwhile are answered as not run.

        Once no statements are accepted, the connection stays open for as long as the process does:
        a client may have begun to send before it was notified, and be held up for longer than the
        usual silence.
        """
        self._has_ended = True
        now = time.monotonic()
        schedule = self._services.stop.schedule
        limit_s = max(0.0, schedule.ends_at - now)
        silence_s = limit_s if now >= schedule.statements_until else SILENCE_S
        reason = refusal(code, retry_after_ms=STOPPING_RETRY_AFTER_MS)
        events = tuple(self._events)
        await end_session(self._socket, self._codec, reason, events, limit_s, silence_s)

    async def _discard_end_request(self) -> None:
        """Discard a pending request to end the session, because the client sent data.

        Cancellation can't be disabled for the whole statement instead, because timeouts are
        cancellations too.
        """
        if self._services.stop.is_stopping:
            async with curio.disable_cancellation():
                await curio.check_cancellation(SessionEndRequestedError)

    async def _receive(self) -> bytes | None:
        """Return received bytes; None when an open transaction was idle for too long."""
        idle_limit_s = self._idle_limit_s()
        self.is_waiting = True
        self._waiting_since = time.monotonic()
        try:
            if idle_limit_s is None:
                return await self._socket.recv(RECEIVE_BYTES)
            async with curio.timeout_after(idle_limit_s):
                return await self._socket.recv(RECEIVE_BYTES)
        except curio.TaskTimeout:
            return None
        finally:
            self.is_waiting = False

    def _idle_limit_s(self) -> float | None:
        """Return the idle limit in seconds; None for no limit."""
        view = self._services.groups.view
        is_open = self._session is not None and self._session.transaction is not None
        if not is_open or view is None or not view.session_limits.idle_in_transaction_ms:
            return None
        return view.session_limits.idle_in_transaction_ms / 1_000

    async def _roll_back_idle_transaction(self, code: ResultCode) -> None:
        """Roll back an idle transaction; the answer to the client's next statement reports it."""
        self._session.lose_transaction(code)
        if self._location is not None:
            location, self._location = self._location, None
            await self._services.executor.roll_back(location)

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
        """Open a session, unless the proxy is stopping and accepts no more statements."""
        if not self._services.stop.schedule.takes(StatementKind.READ, time.monotonic()):
            return Err(refusal(ResultCode.DRAINING, retry_after_ms=STOPPING_RETRY_AFTER_MS))
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
        answer = self._early_refusal(session, statement) or await self._answer(session, statement)
        self._services.log.answered(session.database, statement, answer, started_at)
        await self._socket.sendall(self._codec.answer(answer, session.status))
        self._under_way = None
        self._mark_for_reconnect(answer)
        return await self._continues_after(session, statement, answer)

    def _early_refusal(
        self, session: StatementSession, statement: Statement
    ) -> StatementAnswer | None:
        """Return the refusal of a statement that is not run at all; None when it is run."""
        is_accepted = self._services.stop.schedule.takes(statement.kind, time.monotonic())
        match session.status:
            case TransactionStatus.IDLE if not is_accepted:
                return refusal(ResultCode.DRAINING, retry_after_ms=STOPPING_RETRY_AFTER_MS)
            case TransactionStatus.IDLE:
                return self._services.admission.renew(session)
        return None

    async def _continues_after(
        self, session: StatementSession, statement: Statement, answer: StatementAnswer
    ) -> bool:
        """Tell whether the session continues after an answer; end it otherwise."""
        if answer.code == ACCESS_KEY_UNKNOWN_CODE:
            await self._end_session(ResultCode.ACCESS_KEY_UNKNOWN)
            return False
        is_over = session.status is TransactionStatus.IDLE and statement.kind in OPERATION_END_KINDS
        if is_over and self._must_reconnect_elsewhere:
            await self._end_session(ResultCode.NO_LEASE)
            return False
        return True

    def _mark_for_reconnect(self, answer: StatementAnswer) -> None:
        """Mark the session to be ended if another proxy might serve what was refused here.

        A proxy that lost the controllers learns no new primary and can prove no position; another
        proxy may be on the other side of the network partition.
        """
        if answer.code in RETRYABLE_ELSEWHERE_CODES and self._services.is_cut_off():
            self._must_reconnect_elsewhere = True

    async def _answer(self, session: StatementSession, statement: Statement) -> StatementAnswer:
        plan = session.plan(statement)
        match plan:
            case EndTransaction():
                if self._location is not None:
                    location, self._location = self._location, None
                    await curio.spawn(self._services.executor.roll_back, location, daemon=True)
                return plan.answer
            case RunOnMember():
                return await self._run(session, plan)
        return plan

    async def _run(self, session: StatementSession, run: RunOnMember) -> StatementAnswer:
        try:
            outcome = await self._services.executor.run(session, run, self._location)
        except StopDeadlineError:
            outcome = await self._outcome_of_interrupted(session, run)
        self._location = outcome.location
        return outcome.answer

    async def _outcome_of_interrupted(
        self, session: StatementSession, run: RunOnMember
    ) -> StatementOutcome:
        """Return the result of a statement that is unanswered when the stop deadline passes."""
        if self._location is not None:
            await self._services.executor.abandon(self._location)
        detail = "the proxy stops"
        if session.was_sent or session.transaction is not None:
            return settle_unanswered(session, run, detail)
        return StatementOutcome(refuse_statement(session, ResultCode.DRAINING, detail))

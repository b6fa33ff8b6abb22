"""A client session as a sans-IO state machine: events in, commands out.

A session runs one unit at a time; further batches of the client are queued
and answered in order.  The session tracks the transaction state that the client
sees, the log position of its last write, and the settings and prepared
statements that a back-end connection needs to serve it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from limedyke.core.sessions.batch import BatchError, BatchPlan
from limedyke.core.sessions.batch_planning import plan_extended, plan_simple
from limedyke.core.sessions.client_exchange import (
    AbandonUnit,
    AnswerReceived,
    ClientMessages,
    CloseClient,
    Event,
    LeaveRequested,
    Moment,
    RunUnit,
    SendToClient,
    SessionCommand,
    Tick,
    UnitEnded,
)
from limedyke.core.sessions.client_input import ClientInput
from limedyke.core.sessions.local_commands import LocalCommands
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_leave import LeaveRequest
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.units.answer_tracker import AnswerTracker
from limedyke.core.units.unit_answer import answer_locally, end_answer
from limedyke.core.units.unit_builder import build_unit
from limedyke.core.units.unit_outcome import (
    RunningUnit,
    as_write_unit,
    failure_when_cut,
    take_answer_part,
)
from limedyke.messages.work import AbandonWork, AnswerEnd, TransactionStatus, WorkUnit
from limedyke.postgres.client_framing import ClientMessage
from limedyke.postgres.client_messages import failure_response
from limedyke.result_codes import Failure, ResultCode

QUERY = ord("Q")
SYNC = ord("S")
FLUSH = ord("H")
TERMINATE = ord("X")
FUNCTION_CALL = ord("F")
EXTENDED = frozenset(b"PBDEC")
COPY_LEFTOVERS = frozenset(b"dcf")
"""CopyData, CopyDone and CopyFail, which are ignored outside of COPY, as in PostgreSQL."""


class Session:
    """The session of one client after its login."""

    __slots__ = ("_closed", "_context", "_input", "_leave", "_running", "state")

    def __init__(self, context: SessionContext, state: SessionState) -> None:
        self._context = context
        self.state = state
        self._running: RunningUnit | None = None
        self._input = ClientInput()
        self._leave: LeaveRequest | None = None
        self._closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no unit runs, no input is queued and no transaction is open."""
        runs_nothing = self._running is None and self._input.is_empty
        return runs_nothing and not self.state.is_in_transaction

    @property
    def running(self) -> WorkUnit | None:
        """The running unit, or None."""
        return None if self._running is None else self._running.unit

    def handle(self, event: Event) -> list[SessionCommand]:
        """Process an event and return the resulting commands."""
        if self._closed:
            return self._handle_after_close(event)
        match event:
            case AnswerReceived(chunk):
                return self._handle_answer(chunk.data)
            case UnitEnded(end, moment):
                return self._handle_unit_end(end, moment)
            case ClientMessages(messages, moment):
                return self._handle_messages(messages, moment)
            case Tick(moment):
                return self._check_idle_transaction(moment)
            case LeaveRequested(failure, moment):
                return self._handle_leave_request(failure, moment)

    def _handle_after_close(self, event: Event) -> list[SessionCommand]:
        """Process an event after the client has gone: roll back a transaction left open."""
        if not isinstance(event, UnitEnded) or self._running is None:
            return []
        number = self._running.unit.transaction
        self._running = None
        if event.end.status is TransactionStatus.IDLE or not number:
            return []
        return [AbandonUnit(AbandonWork(0, number, False))]

    def abandon(self) -> list[SessionCommand]:
        """Close the session; return the commands that stop its work after the client has gone."""
        self._closed = True
        if self._running is not None:
            unit = self._running.unit
            return [AbandonUnit(AbandonWork(unit.stream, unit.transaction, False))]
        return self._abandon_transaction()

    def end_now(self, failure: Failure) -> list[SessionCommand]:
        """End the session at once, even if a unit is running.

        :param failure: sent to the client if no unit is running, as it states that the request
            did not run
        """
        commands: list[SessionCommand] = []
        reported = failure
        if self._running is not None:
            reported = failure_when_cut(self.state, self._running, failure.code.value.meaning)
        self._close(reported, commands)
        return commands

    def cancel(self) -> list[SessionCommand]:
        """Return the commands that cancel the running unit; none if no unit is running."""
        if self._running is None:
            return []
        unit = self._running.unit
        return [AbandonUnit(AbandonWork(unit.stream, unit.transaction, True))]

    # Client messages

    def _handle_messages(
        self, messages: list[ClientMessage], moment: Moment
    ) -> list[SessionCommand]:
        if self._refuses_requests(moment):
            commands: list[SessionCommand] = []
            self._close(self._leave.failure, commands)
            return commands
        self.state.last_active = moment.now
        self._input.add(messages)
        return self._advance([], moment)

    def _advance(self, commands: list[SessionCommand], moment: Moment) -> list[SessionCommand]:
        """Process queued messages until a unit is started or the queue is empty."""
        while self._running is None and not self._closed:
            message = self._input.next_message()
            if message is None:
                break
            try:
                self._process_message(message, commands, moment)
            except ValueError:
                failure = Failure(ResultCode.PROTOCOL_VIOLATION, "malformed message")
                self._close(failure, commands)
        return commands

    def _process_message(
        self, message: ClientMessage, commands: list[SessionCommand], moment: Moment
    ) -> None:
        kind = message.kind
        if kind == QUERY and not self._input.has_open_batch:
            self._start_query(message, commands, moment)
        elif kind in EXTENDED:
            self._gather(message, commands)
        elif kind == SYNC:
            self._start_batch(commands, moment, ready=True)
        elif kind == FLUSH:
            self._start_batch(commands, moment, ready=False)
        elif kind == TERMINATE:
            commands.extend(self.abandon())
            commands.append(CloseClient("terminated"))
        elif kind == FUNCTION_CALL:
            failure = Failure(ResultCode.FEATURE_NOT_SUPPORTED, "Not supported: function call.")
            self._refuse(failure_response(failure), commands, ready=True)
        elif kind not in COPY_LEFTOVERS:
            failure = Failure(ResultCode.PROTOCOL_VIOLATION, f"unexpected message {chr(kind)!r}")
            self._close(failure, commands)

    def _gather(self, message: ClientMessage, commands: list[SessionCommand]) -> None:
        limit = self._context.maximum_batch_bytes
        if self._input.gather(message) > limit:
            detail = f"batch above {limit} bytes"
            self._close(Failure(ResultCode.MESSAGE_TOO_LARGE, detail), commands)

    def _start_query(
        self, message: ClientMessage, commands: list[SessionCommand], moment: Moment
    ) -> None:
        self._input.skip_to_sync = False
        local = LocalCommands(self._context, self.state, moment)
        plan = partial(plan_simple, self._context, self.state, local, message)
        self._run_batch(plan, local, commands, ready=True)

    def _start_batch(self, commands: list[SessionCommand], moment: Moment, ready: bool) -> None:
        messages = self._input.take_batch()
        if self._input.skip_to_sync or not messages:
            if ready:
                self._input.skip_to_sync = False
                commands.append(SendToClient(self.state.ready_message))
            return
        local = LocalCommands(self._context, self.state, moment)
        plan = partial(plan_extended, self._context, self.state, local, messages, ready)
        self._run_batch(plan, local, commands, ready)

    def _run_batch(
        self,
        make_plan: Callable[[], BatchPlan],
        local: LocalCommands,
        commands: list[SessionCommand],
        ready: bool,
    ) -> None:
        """Plan a batch, then answer it locally, run it or reject it.

        :param ready: whether ReadyForQuery ends the answer
        """
        try:
            plan = make_plan()
        except BatchError as error:
            self._refuse(error.answer, commands, ready)
            return
        tracker = AnswerTracker(plan.slots) if plan.slots is not None else None
        if not plan.data:
            answer = answer_locally(self.state, plan, local, tracker, ready)
            commands.append(SendToClient(answer))
            return
        unit = build_unit(self._context, self.state, plan)
        if unit.once_key and self.state.options.once_key:
            self.state.options = replace(self.state.options, once_key="")
        self._running = RunningUnit(unit, plan, tracker, ready, local.statuses)
        commands.append(RunUnit(unit))

    def _refuse(self, answer: bytes, commands: list[SessionCommand], ready: bool) -> None:
        """Answer a batch with an error; an open transaction fails as well."""
        state = self.state
        if state.is_in_transaction and not state.transaction_lost:
            commands.extend(self._abandon_transaction())
            state.lose_transaction()
        if ready:
            answer += state.ready_message
        else:
            self._input.skip_to_sync = True
        commands.append(SendToClient(answer))

    # Answers

    def _handle_answer(self, data: bytes) -> list[SessionCommand]:
        if self._running is None:
            return []
        data = take_answer_part(self.state, self._running, data)
        return [SendToClient(data)] if data else []

    def _handle_unit_end(self, end: AnswerEnd, moment: Moment) -> list[SessionCommand]:
        running = self._running
        if running is None or end.stream != running.unit.stream:
            return []
        if running.refused_by_replica and not end.code:
            self._running = as_write_unit(running, self._context.next_number())
            return [RunUnit(self._running.unit)]
        self._running = None
        self.state.last_active = moment.now
        answer = end_answer(self._context, self.state, running, end, moment)
        failed = end.code != 0 or (running.tracker is not None and running.tracker.failed)
        if running.ready:
            answer += running.statuses + self.state.ready_message
        elif failed:
            self._input.skip_to_sync = True
        commands: list[SessionCommand] = []
        if end.code and self.state.transaction:
            commands.extend(self._abandon_transaction())
        if answer:
            commands.append(SendToClient(answer))
        return self._advance(commands, moment)

    # Idle limit, leaving and closing

    def _check_idle_transaction(self, moment: Moment) -> list[SessionCommand]:
        state = self.state
        if self._running is not None or not state.is_in_transaction:
            return []
        if moment.now - state.last_active < self._context.idle_in_transaction_s:
            return []
        commands = self._abandon_transaction()
        self._close(Failure(ResultCode.IDLE_IN_TRANSACTION), commands)
        return commands

    @property
    def is_leaving(self) -> bool:
        """Whether the session has been asked to leave."""
        return self._leave is not None

    @property
    def _may_leave(self) -> bool:
        """Whether a session that was asked to leave is idle, apart from a lost transaction."""
        lost = self.state.transaction_lost and self._running is None and self._input.is_empty
        return self._leave is not None and (lost or self.is_idle)

    def _refuses_requests(self, moment: Moment) -> bool:
        """Tell whether a request that arrives now is rejected by ending the session."""
        return self._may_leave and self._leave.refuses_requests(moment)

    def _handle_leave_request(self, failure: Failure, moment: Moment) -> list[SessionCommand]:
        """End the session unless its last answer or a new request may be in transit.

        A session that can't end yet ends with an error on the client's next request.
        """
        if self._leave is None:
            self._leave = LeaveRequest.at(failure, moment)
        commands: list[SessionCommand] = []
        if self._may_leave and self._leave.may_close_unprompted(moment, self.state.last_active):
            self._close(self._leave.failure, commands)
        return commands

    def _abandon_transaction(self) -> list[SessionCommand]:
        state = self.state
        number = state.transaction
        state.transaction = 0
        if not number:
            return []
        return [AbandonUnit(AbandonWork(0, number, False))]

    def _close(self, failure: Failure, commands: list[SessionCommand]) -> None:
        if self._closed:
            return
        commands.append(SendToClient(failure_response(failure, "FATAL")))
        commands.extend(self.abandon())
        commands.append(CloseClient(str(failure)))

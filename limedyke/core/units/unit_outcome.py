"""Effects of a unit's end on its session: position, transaction, settings, statement names."""

from __future__ import annotations

import struct
from dataclasses import dataclass, replace

from limedyke.core.sessions.batch import BatchPlan
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.sql.statement import Effect
from limedyke.core.units.answer_tracker import AnswerTracker, Registration
from limedyke.core.units.unit_builder import is_read_only_session
from limedyke.messages.work import Access, AnswerEnd, TransactionStatus, WorkUnit
from limedyke.result_codes import CODE_BY_NUMBER, Failure, Outcome, ResultCode

_LENGTH_AT_1 = struct.Struct("!xI")
_ERROR = ord("E")
_BEFORE_ROWS = frozenset(b"12tTnNS")
_READ_ONLY_FIELD = b"\0C25006\0"
"""SQLSTATE read_only_sql_transaction, as a field of an ErrorResponse."""


@dataclass(slots=True)
class RunningUnit:
    """The unit under way.

    :param ready: whether ReadyForQuery follows its answer
    :param statuses: messages sent before ReadyForQuery
    :param relayed: whether the client has received a part of the answer
    :param refused_by_replica: whether the answer is dropped and the unit runs again on the primary
    """

    unit: WorkUnit
    plan: BatchPlan
    tracker: AnswerTracker | None
    ready: bool
    statuses: bytes = b""
    relayed: bool = False
    refused_by_replica: bool = False


def take_answer_part(state: SessionState, running: RunningUnit, data: bytes) -> bytes:
    """Return what the client receives of a part of the answer; empty for nothing."""
    if running.refused_by_replica:
        return b""
    if _is_refused_by_replica(state, running, data):
        running.refused_by_replica = True
        return b""
    running.relayed = True
    if running.tracker is not None:
        return running.tracker.feed(data)
    return data


def _is_refused_by_replica(state: SessionState, running: RunningUnit, data: bytes) -> bool:
    """Tell whether a replica refused a unit as a write before any row.

    Views, operators and casts may hide a function that writes.  In a read-only transaction or
    session, which the client chose itself, the refusal is the answer.
    """
    if running.relayed or running.unit.access is not Access.READ or state.is_in_transaction:
        return False
    if running.plan.effects or is_read_only_session(state):
        return False
    offset = 0
    while offset < len(data):
        kind = data[offset]
        end = offset + 1 + _LENGTH_AT_1.unpack_from(data, offset)[0]
        if kind == _ERROR:
            return _READ_ONLY_FIELD in data[offset:end]
        if kind not in _BEFORE_ROWS:
            return False
        offset = end
    return False


def as_write_unit(running: RunningUnit, stream: int) -> RunningUnit:
    """Return a unit that a replica refused, changed to run on the primary."""
    plan = running.plan
    plan.access = Access.WRITE
    unit = replace(running.unit, stream=stream, access=Access.WRITE, repeatable=False)
    tracker = AnswerTracker(plan.slots) if plan.slots is not None else None
    return RunningUnit(unit, plan, tracker, running.ready, running.statuses)


def binds_position(state: SessionState, running: RunningUnit, end: AnswerEnd) -> bool:
    """Tell whether later reads of the session must reach the position of this answer.

    Call this before the session's transaction state is updated.
    """
    unit = running.unit
    if unit.access is Access.READ:
        return unit.barrier or state.options.monotonic_reads
    writes = running.plan.access is Access.WRITE
    if end.status is not TransactionStatus.IDLE:
        state.wrote = state.wrote or writes
        return False
    # A batch that rolls a transaction back may have written after the rollback.
    return unit.barrier or writes or (state.wrote and not _rolls_back(state, running))


def _rolls_back(state: SessionState, running: RunningUnit) -> bool:
    """Tell whether a unit that ended the session's transaction rolled it back."""
    effects = running.plan.effects
    if state.status is TransactionStatus.FAILED:
        return Effect.ROLLBACK_TO not in effects
    return Effect.ROLLBACK in effects and Effect.COMMIT not in effects


def wrote_at_unknown_position(running: RunningUnit, end: AnswerEnd) -> bool:
    """Tell whether a unit may have committed a write whose position is missing in its answer.

    This happens for a write that the client declared a read but that no replica served, and for a
    commit followed by another open transaction.
    """
    plan = running.plan
    if plan.access is not Access.WRITE:
        return False
    if running.unit.access is Access.READ:
        return not end.by_replica
    return plan.may_commit and end.status is not TransactionStatus.IDLE


def apply_completed(state: SessionState, tracker: AnswerTracker) -> None:
    """Apply the completed statements to the session's statement names and settings."""
    failed = state.status is TransactionStatus.FAILED
    for slot in tracker.completed_slots():
        if slot.registration is not None:
            _register(state, slot.registration)
        for change in slot.changes:
            failed = failed and change.effect is not Effect.ROLLBACK_TO
            if change.effect is Effect.COMMIT and failed:
                state.settings.roll_back()
            else:
                state.settings.apply(change)


def _register(state: SessionState, registration: Registration) -> None:
    if registration.statement is None:
        state.names.named.pop(registration.name, None)
    else:
        state.names.named[registration.name] = registration.statement


def follow_transaction(
    state: SessionState, running: RunningUnit, status: TransactionStatus
) -> None:
    """Update the transaction state at the end of an answer."""
    if status is TransactionStatus.IDLE:
        failed = running.tracker is not None and running.tracker.failed
        if failed or (state.is_in_transaction and running.tracker is None):
            state.settings.roll_back()
        elif running.tracker is not None:
            state.settings.commit()
        state.end_transaction()
        return
    if not state.is_in_transaction:
        if not running.unit.transaction:
            # The transaction was opened unexpectedly, so the back end does not keep it.
            state.lose_transaction()
            return
        state.transaction = running.unit.transaction
        state.read_only = running.unit.access is Access.READ
    state.status = status


def judge_failure(state: SessionState, running: RunningUnit, end: AnswerEnd) -> Failure:
    """Return what the client is told about a unit that the proxy refused or lost."""
    code = CODE_BY_NUMBER.get(end.code, ResultCode.INTERNAL_ERROR)
    if code.outcome is Outcome.UNKNOWN:
        code = _code_of_lost(state, running, code)
    return Failure(code, end.detail, end.retry_after_ms or None)


def _code_of_lost(state: SessionState, running: RunningUnit, unknown: ResultCode) -> ResultCode:
    """Return the code for a unit whose end is lost.

    :param unknown: the code if it may have committed
    """
    if _may_have_committed(state, running):
        return unknown
    in_transaction = state.is_in_transaction or running.plan.may_open_transaction
    return ResultCode.TRANSACTION_LOST if in_transaction else ResultCode.READ_FAILED


def failure_when_cut(state: SessionState, running: RunningUnit, detail: str) -> Failure:
    """Return the failure of a unit whose end is no longer awaited.

    It may still run at its member, so the failure must not say that it did not run.
    """
    return Failure(_code_of_lost(state, running, ResultCode.OUTCOME_UNKNOWN), detail)


def _may_have_committed(state: SessionState, running: RunningUnit) -> bool:
    if state.is_in_transaction:
        return running.plan.may_commit and not state.read_only
    return running.plan.access is Access.WRITE


def leave_transaction(state: SessionState, running: RunningUnit, end: AnswerEnd) -> None:
    """Put the client in the state that PostgreSQL has after a refused or lost unit."""
    effects = running.plan.effects
    if not state.is_in_transaction:
        state.settings.roll_back()
        state.end_transaction()
        if end.status is not TransactionStatus.IDLE:
            state.transaction = running.unit.transaction
        return
    if running.plan.may_commit or Effect.ROLLBACK in effects:
        state.settings.roll_back()
        state.end_transaction()
        return
    number = state.transaction
    state.lose_transaction()
    if end.status is not TransactionStatus.IDLE:
        state.transaction = number

"""Answers of the proxy at the end of a unit, or in place of it."""

from __future__ import annotations

from limedyke.core.sessions.batch import BatchPlan
from limedyke.core.sessions.client_exchange import Moment
from limedyke.core.sessions.local_commands import LocalCommands
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.units.answer_tracker import AnswerTracker
from limedyke.core.units.unit_outcome import (
    RunningUnit,
    apply_completed,
    binds_position,
    follow_transaction,
    judge_failure,
    leave_transaction,
    wrote_at_unknown_position,
)
from limedyke.messages.work import AnswerEnd
from limedyke.postgres.client_messages import failure_response
from limedyke.result_codes import Failure, Outcome


def end_answer(
    context: SessionContext,
    state: SessionState,
    running: RunningUnit,
    end: AnswerEnd,
    moment: Moment,
) -> bytes:
    """Update the session's state at the end of a unit; return the last bytes of its answer.

    ReadyForQuery is not included; the session token is, if it changed.
    """
    if end.code:
        failure = judge_failure(state, running, end)
        answer = failure_response(failure)
        token_changed = _follow_failure(state, running, end, failure)
    else:
        answer = _finish(state, running.tracker)
        token_changed = _follow_completion(state, running, end)
    if token_changed:
        answer += LocalCommands(context, state, moment).token_status()
    return answer


def _finish(state: SessionState, tracker: AnswerTracker | None) -> bytes:
    """Return the tracker's remaining answer, and apply the completed parts to the state."""
    if tracker is None:
        return b""
    answer = tracker.finish()
    apply_completed(state, tracker)
    return answer


def _follow_completion(state: SessionState, running: RunningUnit, end: AnswerEnd) -> bool:
    """Apply a successful unit; return whether the session token changed."""
    binds = binds_position(state, running, end)
    unplaced = wrote_at_unknown_position(running, end)
    follow_transaction(state, running, end.status)
    changed = state.position.take_end(end, binds)
    if unplaced:
        changed = state.position.record_unknown_write() or changed
    return changed


def _follow_failure(
    state: SessionState, running: RunningUnit, end: AnswerEnd, failure: Failure
) -> bool:
    """Apply a refused or lost unit; return whether the session token changed."""
    changed = failure.code.outcome is Outcome.UNKNOWN and state.position.record_unknown_write()
    leave_transaction(state, running, end)
    return changed


def answer_locally(
    state: SessionState,
    plan: BatchPlan,
    local: LocalCommands,
    tracker: AnswerTracker | None,
    ready: bool,
) -> bytes:
    """Return the whole answer to a batch that needs no member.

    :param ready: whether ReadyForQuery ends it
    """
    answer = local.notices + plan.local_answer + _finish(state, tracker)
    if ready:
        answer += local.statuses + state.ready_message
        state.end_portals()
    return answer

"""Plans the two kinds of batch: simple queries and extended-protocol messages."""

from __future__ import annotations

from limedyke.core.sessions.batch import BatchError, BatchPlan, LocalAnswers, plan_query
from limedyke.core.sessions.extended_batch import ExtendedPlanner
from limedyke.core.sessions.local_commands import LocalCommands
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.sql.sql_prepare import plan_execute, plan_prepare
from limedyke.core.sql.statement import Effect
from limedyke.postgres.client_framing import HEADER_BYTES, ClientMessage
from limedyke.postgres.client_messages import failure_response
from limedyke.result_codes import Failure, ResultCode


def plan_simple(
    context: SessionContext, state: SessionState, local: LocalCommands, message: ClientMessage
) -> BatchPlan:
    """Plan a simple query.

    :raises BatchError: when the query is rejected
    :raises ValueError: when the message is malformed
    """
    raw = message.raw
    if raw[-1] != 0 or len(raw) == HEADER_BYTES:
        raise ValueError("Query is not terminated")
    names = state.names
    names.unnamed = None
    profile = local.admit(context.statements.get_profile(raw[HEADER_BYTES:-1]))
    if profile.statements == 1 and profile.changes:
        change = profile.changes[0][1]
        if change.effect is Effect.PREPARE:
            prepared = context.statements.get_profile(change.value.encode())
            return plan_prepare(change, prepared, names)
        if change.effect is Effect.EXECUTE:
            return plan_execute(message, change, names)
    return plan_query(message, profile, LocalAnswers(local.run))


def plan_extended(
    context: SessionContext,
    state: SessionState,
    local: LocalCommands,
    messages: list[ClientMessage],
    ready: bool,
) -> BatchPlan:
    """Plan extended-protocol messages, without the Sync or Flush that ends them.

    :param ready: True if a Sync ended the batch, False if a Flush asked for the answers so far
    :raises BatchError: when the batch is rejected
    :raises ValueError: when a message is malformed
    """
    planner = ExtendedPlanner(
        state.names, context.statements.get_profile, local.admit, LocalAnswers(local.run)
    )
    plan = planner.plan(messages)
    _check_flush(state, plan, ready)
    return plan


def _check_flush(state: SessionState, plan: BatchPlan, ready: bool) -> None:
    """Reject a flushed part of a batch that can't run separately from the rest.

    :param ready: whether this part ends the batch
    :raises BatchError: when the part is rejected
    """
    if ready or state.is_in_transaction or not plan.is_partial:
        return
    detail = "Not supported: Flush after Bind or a write, outside a transaction block."
    raise BatchError(failure_response(Failure(ResultCode.FEATURE_NOT_SUPPORTED, detail)))

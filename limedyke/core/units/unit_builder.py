"""Builds a unit of work from a planned batch and the session's state."""

from __future__ import annotations

from limedyke.core.sessions.batch import BatchPlan
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_options import parse_flag
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.sql.statement import Effect, RouteHint
from limedyke.messages.declaration import Priority
from limedyke.messages.work import Access, WorkUnit

READ_ONLY_SETTING = "default_transaction_read_only"


def build_unit(context: SessionContext, state: SessionState, plan: BatchPlan) -> WorkUnit:
    """Return the unit that runs a batch."""
    tenant = context.find_tenant(state.owner.tenant)
    in_transaction = state.is_in_transaction
    transaction = state.transaction
    if not in_transaction and plan.may_open_transaction:
        transaction = context.next_number()
    access = choose_access(state, plan)
    options = state.options
    repeatable = plan.access is Access.READ and transaction == 0
    staleness_ms = tenant.max_staleness_ms if tenant is not None else 0
    if options.max_staleness_ms:
        staleness_ms = min(staleness_ms or options.max_staleness_ms, options.max_staleness_ms)
    return WorkUnit(
        stream=context.next_number(),
        tenant=state.owner.tenant,
        group=state.owner.group,
        access=access,
        priority=tenant.priority if tenant is not None else Priority.INTERACTIVE,
        transaction=transaction,
        required=state.position.required,
        barrier=state.position.barrier,
        repeatable=repeatable and plan.hints.repeatable and options.repeatable,
        once_key=_once_key(state, plan, access),
        staleness_ms=staleness_ms,
        deadline_ms=context.request_deadline_ms,
        prepared=plan.prepared,
        settings=state.settings.settings_to_replay(),
        data=plan.data,
        leaves_state=plan.leaves_state,
    )


def choose_access(state: SessionState, plan: BatchPlan) -> Access:
    """Return whether the unit may run on a replica."""
    if state.is_in_transaction:
        return Access.READ if state.read_only else Access.WRITE
    route = plan.hints.route or state.options.route
    if route is RouteHint.PRIMARY:
        return Access.WRITE
    if route is RouteHint.REPLICA and plan.only_queries:
        return Access.READ
    effects = plan.effects
    if Effect.BEGIN_READ_WRITE in effects:
        return Access.WRITE
    if is_read_only_session(state) and Effect.SET not in effects:
        return Access.READ
    if Effect.BEGIN in effects:
        return Access.WRITE
    if Effect.BEGIN_READ_ONLY in effects:
        return Access.READ
    return plan.access


def is_read_only_session(state: SessionState) -> bool:
    """Tell whether the session's transactions are read-only by its own setting."""
    value = state.settings.get(READ_ONLY_SETTING)
    return value is not None and parse_flag(value.lower()) is True


def _once_key(state: SessionState, plan: BatchPlan, access: Access) -> str:
    if access is Access.READ:
        return ""
    return plan.hints.once_key or state.options.once_key

"""Answers operators' requests on the leading controller."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from result import Err

from limedyke.controller.leading.leader_service import LeaderService
from limedyke.controller.leading.operator_changes import ControllerChanges
from limedyke.controller.leading.refusal import refused
from limedyke.controller.leading.voter_requirement import VoterRequirement
from limedyke.controller.metrics import ControllerMetrics
from limedyke.controller.replica import Replica
from limedyke.controller.status_report import StatusReport
from limedyke.core.control.declaration_change import plan_id_of
from limedyke.core.control.leases.load_view import load_report
from limedyke.core.control.plan_rules import change_refusal_reason, describe_change
from limedyke.messages.control_entries import BeginSwitchover, ConfirmPlan, RecordPlan
from limedyke.messages.operator import (
    ConfirmRequest,
    ControllerChangeRequest,
    DeclarationInForce,
    DeclarationRequest,
    History,
    HistoryRequest,
    LoadRequest,
    PlanRequest,
    Refused,
    StatusRequest,
    SwitchoverAnswer,
    SwitchoverRequest,
)
from limedyke.result_codes import CODE_BY_NUMBER, Failure, ResultCode

PRESENT_REVISION = -1
DONE = "ok"


class OperatorRequests:
    """Executes one request at a time for each operator's link.

    :param leader: gives the leader service while this controller leads, else None
    :param leader_address: gives the address of the known leader, or an empty string
    :param requirement: tells whether enough controllers vote for a plan to be confirmed
    """

    def __init__(
        self,
        replica: Replica,
        leader: Callable[[], LeaderService | None],
        leader_address: Callable[[], str],
        plan_lifetime_s: int,
        status: StatusReport,
        changes: ControllerChanges,
        requirement: VoterRequirement,
        metrics: ControllerMetrics,
    ) -> None:
        self._requirement = requirement
        self._replica = replica
        self._leader = leader
        self._leader_address = leader_address
        self._plan_lifetime_s = plan_lifetime_s
        self._status = status
        self._changes = changes
        self._metrics = metrics

    async def answer(self, operator: str, request: object) -> object:
        """Return the answer to one request of an authenticated operator."""
        answer = await self._answer(operator, request)
        self._count(request, answer)
        return answer

    def _count(self, request: object, answer: object) -> None:
        result = DONE
        if isinstance(answer, Refused):
            code = CODE_BY_NUMBER[answer.code]
            self._metrics.count_refusal(code)
            result = code.label
        if isinstance(request, PlanRequest):
            self._metrics.plans.labels(result).inc()
        elif isinstance(request, ConfirmRequest):
            self._metrics.confirmations.labels(result).inc()

    async def _answer(self, operator: str, request: object) -> object:
        handler = self._handlers().get(type(request))
        if handler is None:
            failure = Failure(ResultCode.PROTOCOL_VIOLATION, f"{type(request).__name__}")
            return refused(getattr(request, "request_id", ""), failure)
        service = self._leader()
        if service is None or not self._replica.leads:
            failure = Failure(ResultCode.NOT_LEADER, "", 200)
            return refused(request.request_id, failure, self._leader_address())
        earlier_answer = self._replica.state.first_answer(operator, request.request_id)
        if earlier_answer is not None:
            return earlier_answer
        return await handler(operator, request, service)

    def _handlers(self) -> dict[type, Callable[..., Awaitable[object]]]:
        return {
            PlanRequest: self._plan,
            ConfirmRequest: self._confirm,
            StatusRequest: self._report_status,
            LoadRequest: self._report_load,
            HistoryRequest: self._history,
            DeclarationRequest: self._declaration,
            SwitchoverRequest: self._switchover,
            ControllerChangeRequest: self._change_controllers,
        }

    async def _plan(self, operator: str, request: PlanRequest, service: LeaderService) -> object:
        state = self._replica.state
        base = request.base_revision
        if base not in (PRESENT_REVISION, state.revision):
            detail = f"Revision {state.revision} is in force."
            failure = Failure(ResultCode.REVISION_CONFLICT, detail)
            return refused(request.request_id, failure, revision=state.revision)
        change = state.declared.change_to(request.declaration)
        reason = change_refusal_reason(change, state.declared, state.primaries)
        if reason:
            failure = Failure(ResultCode.DECLARATION_INVALID, reason)
            return refused(request.request_id, failure)
        now = int(time.time())
        entry = RecordPlan(
            request_id=request.request_id,
            operator=operator,
            plan_id=plan_id_of(state.revision, change),
            base_revision=state.revision,
            change=change,
            changes=describe_change(change, state.declared, state.primaries),
            recorded_at=now,
            expires_at=now + self._plan_lifetime_s,
        )
        return await self._propose(request.request_id, entry)

    async def _confirm(
        self, operator: str, request: ConfirmRequest, service: LeaderService
    ) -> object:
        failure = self._requirement.failure()
        if failure is not None:
            return refused(request.request_id, failure)
        entry = ConfirmPlan(request.request_id, operator, request.plan_id, int(time.time()))
        return await self._propose(request.request_id, entry)

    async def _propose(self, request_id: str, entry: object) -> object:
        result = await self._replica.propose(entry)
        if isinstance(result, Err):
            return refused(request_id, result.err_value, self._leader_address())
        if result.ok_value is None:
            failure = Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, "The leadership was lost.")
            return refused(request_id, failure)
        return result.ok_value

    async def _report_status(
        self, operator: str, request: StatusRequest, service: LeaderService
    ) -> object:
        return self._status.report(request.request_id, service)

    async def _report_load(
        self, operator: str, request: LoadRequest, service: LeaderService
    ) -> object:
        state = self._replica.state
        if request.group and request.group not in state.declared.groups:
            failure = Failure(ResultCode.DECLARATION_INVALID, f"Group {request.group}.")
            return refused(request.request_id, failure)
        return load_report(request, state, service.decisions.leases)

    async def _history(
        self, operator: str, request: HistoryRequest, service: LeaderService
    ) -> object:
        limit = max(1, request.limit)
        return History(request.request_id, tuple(self._replica.state.plans.history[-limit:]))

    async def _declaration(
        self, operator: str, request: DeclarationRequest, service: LeaderService
    ) -> object:
        state = self._replica.state
        return DeclarationInForce(request.request_id, state.revision, state.declared.declaration())

    async def _switchover(
        self, operator: str, request: SwitchoverRequest, service: LeaderService
    ) -> object:
        state = self._replica.state
        group = state.declared.groups.get(request.group)
        recorded = state.primaries.get(request.group)
        if group is None or recorded is None or not recorded.primary:
            failure = Failure(ResultCode.NO_PRIMARY, f"Group {request.group}.")
            return refused(request.request_id, failure)
        target = request.member or service.decisions.failover.best_successor(
            request.group, recorded.primary
        )
        if target == recorded.primary or target not in [member.name for member in group.members]:
            detail = f"Member {target or '(none)'} of group {request.group} can't take over."
            return refused(request.request_id, Failure(ResultCode.NO_MEMBER, detail))
        if not request.confirmed:
            text = (
                f"would move the primary of {request.group} from {recorded.primary} to {target} "
                f"under a term above {recorded.term}; writes pause meanwhile"
            )
            return SwitchoverAnswer(request.request_id, text)
        entry = BeginSwitchover(
            request.request_id,
            operator,
            request.group,
            recorded.term,
            target,
            int(time.time()),
        )
        return await self._propose(request.request_id, entry)

    async def _change_controllers(
        self, operator: str, request: ControllerChangeRequest, service: LeaderService
    ) -> object:
        return await self._changes.change(operator, request)

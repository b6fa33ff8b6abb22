"""Operators' changes of the controllers: one at a time, first learner, then voter."""

from __future__ import annotations

import enum
import time

from result import Err

from limedyke.controller.leading.refusal import refused
from limedyke.controller.replica import Replica
from limedyke.core.agreement.events import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from limedyke.messages.agreement import ControllerIdentity
from limedyke.messages.codec import encode
from limedyke.messages.control_entries import ControllerAddress, RecordAnswer, RecordControllers
from limedyke.messages.operator import ControllerChanged, ControllerChangeRequest, Refused
from limedyke.result_codes import Failure, ResultCode


class ControllerAction(enum.StrEnum):
    """Actions that an operator may request on the controllers."""

    ADD = "add"
    PROMOTE = "promote"
    REPLACE = "replace"
    REMOVE = "remove"


class ControllerChanges:
    """Executes ``controller add|promote|replace|remove`` on the leader.

    ``add`` makes a waiting controller a learner. ``promote`` makes a caught-up learner a voter.
    ``replace`` does the same and removes the voter that ``address`` names, or the one of the same
    name. ``remove`` removes a voter or learner.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    async def change(
        self, operator: str, request: ControllerChangeRequest
    ) -> ControllerChanged | Refused:
        """Describe the change, or execute it if the operator has confirmed it."""
        change = self._change_of(request)
        if isinstance(change, Failure):
            return refused(request.request_id, change)
        if not request.confirmed:
            return ControllerChanged(request.request_id, f"would {_describe(change)}")
        if request.action == ControllerAction.ADD and request.address:
            await self._record_address(request)
        result = await self._replica.change_members(change)
        if isinstance(result, Err):
            return refused(request.request_id, result.err_value)
        answer = ControllerChanged(request.request_id, f"done: {_describe(change)}")
        entry = RecordAnswer(
            request_id=request.request_id,
            operator=operator,
            answer=encode(answer),
            operation=f"controllers: {_describe(change)}",
            confirmed_at=int(time.time()),
        )
        await self._replica.propose(entry)
        return answer

    def _change_of(self, request: ControllerChangeRequest) -> MembershipChange | Failure:
        configuration = self._replica.agreement.configuration
        match request.action:
            case ControllerAction.ADD:
                waiting = self._replica.non_members.get(request.name)
                if waiting is None:
                    return _failure(f"{request.name} has not announced itself to this controller")
                return AddLearner(waiting)
            case ControllerAction.PROMOTE:
                learner = _named(configuration.learners, request.name)
                if learner is None:
                    return _failure(f"{request.name} is no learner")
                return PromoteLearner(learner)
            case ControllerAction.REPLACE:
                learner = _named(configuration.learners, request.name)
                replaced = _named(configuration.voters, request.address or request.name)
                if learner is None or replaced is None:
                    return _failure(f"{request.name} is no learner, or there is no voter for it")
                return PromoteLearner(learner, replaces=replaced)
            case ControllerAction.REMOVE:
                members = configuration.learners + configuration.voters
                member = _named(members, request.name)
                return RemoveMember(member) if member else _failure(f"{request.name} is no member")
        return _failure(f"unknown action {request.action}")

    async def _record_address(self, request: ControllerChangeRequest) -> None:
        address = ControllerAddress(request.name, request.address)
        await self._replica.propose(RecordControllers((address,)))


def _named(identities: tuple[ControllerIdentity, ...], name: str) -> ControllerIdentity | None:
    return next((identity for identity in identities if identity.name == name), None)


def _failure(detail: str) -> Failure:
    return Failure(ResultCode.MEMBERSHIP_CHANGE_REFUSED, detail)


def _describe(change: MembershipChange) -> str:
    match change:
        case AddLearner():
            return f"add {change.identity} as a learner"
        case PromoteLearner(replaces=None):
            return f"make learner {change.identity} a voter"
        case PromoteLearner():
            return f"make learner {change.identity} a voter and remove {change.replaces}"
        case RemoveMember():
            return f"remove {change.identity}"

"""Executes external calls on the leader."""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from limedyke.controller.clock import boot_seconds
from limedyke.controller.leading.call_counts import CallCounts
from limedyke.controller.leading.leader_service import LeaderService
from limedyke.controller.leading.voter_requirement import VoterRequirement
from limedyke.controller.metrics import ControllerMetrics
from limedyke.controller.replica import Replica
from limedyke.event_log import EventLog
from limedyke.messages.calls import (
    AnnounceCall,
    AwaitMembershipCall,
    Call,
    CallAnswer,
    DeclareCall,
    ReadDeclarationCall,
    WithdrawCall,
)
from limedyke.messages.control_entries import ControlEntry, DeclaredVersion, DeclareVersion
from limedyke.result_codes import Failure, ResultCode

EVENTS = EventLog("calls")


def failure_answer(failure: Failure) -> CallAnswer:
    """Return a failure as the answer to a call."""
    return CallAnswer(
        code=failure.code.value.number,
        detail=str(failure),
        retry_after_ms=failure.retry_after_ms or 0,
    )


class LeaderCalls:
    """Answers calls while this controller leads.

    :param leader: gives the leader service while this controller leads, else None
    :param requirement: tells whether enough controllers vote for a declaration to be confirmed
    :param advertise: internal address of this controller (``ip:port``)
    :param metrics: counts the calls
    """

    def __init__(
        self,
        replica: Replica,
        leader: Callable[[], LeaderService | None],
        requirement: VoterRequirement,
        advertise: str,
        metrics: ControllerMetrics,
    ) -> None:
        self._counts = CallCounts(metrics, boot_seconds())
        self._replica = replica
        self._leader = leader
        self._requirement = requirement
        self._advertise = advertise

    async def answer_forwarded(self, call: Call) -> CallAnswer:
        """Answer a call that another controller forwarded.

        A controller that waits to be added is always answered, also by a controller that does not
        lead.
        """
        if not isinstance(call, AwaitMembershipCall):
            return await self.answer(call)
        began_at = boot_seconds()
        answer = self._replica.answer_membership_call(call)
        if self._replica.leads:
            self._counts.answered(call, answer, began_at, boot_seconds())
        return answer

    async def answer(self, call: Call) -> CallAnswer:
        """Execute a call, or answer that this controller does not lead."""
        service = self._leader()
        if service is None or not self._replica.leads:
            return failure_answer(Failure(ResultCode.NOT_LEADER))
        began_at = boot_seconds()
        answer = await self._execute(call, service)
        self._counts.answered(call, answer, began_at, boot_seconds())
        return answer

    async def _execute(self, call: Call, service: LeaderService) -> CallAnswer:
        match call:
            case DeclareCall():
                return await self._declare(call)
            case ReadDeclarationCall():
                return await self._read()
            case AnnounceCall():
                return await self._announce(call, service)
            case WithdrawCall():
                return await self._withdraw(call, service)

    async def _declare(self, call: DeclareCall) -> CallAnswer:
        failure = self._requirement.failure()
        if failure is not None:
            return self._not_confirmed(call, failure)
        entry = DeclareVersion(call.version, call.document, call.declaration)
        result = await self._replica.propose(entry)
        if isinstance(result, Err):
            return self._not_confirmed(call, result.err_value)
        if not isinstance(result.ok_value, DeclaredVersion):
            lost = Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, "The leadership was lost.")
            return self._not_confirmed(call, lost)
        self._log_confirmation(call.version, result.ok_value.version)
        return CallAnswer(version=result.ok_value.version, leader=self._advertise)

    def _log_confirmation(self, version: int, in_force: int) -> None:
        """Log which voters hold the confirmed declaration."""
        agreement = self._replica.agreement
        state = self._replica.state
        holders = agreement.holders(agreement.commit_index)
        EVENTS.info(
            "declaration",
            version=version,
            in_force=in_force,
            revision=state.revision,
            control_index=state.control_index,
            voters=len(agreement.configuration.voters),
            held_by=",".join(holder.name for holder in holders),
        )

    def _not_confirmed(self, call: DeclareCall, failure: Failure) -> CallAnswer:
        EVENTS.warning("declaration-not-confirmed", version=call.version, reason=failure)
        return failure_answer(failure)

    async def _read(self) -> CallAnswer:
        confirmed = await self._replica.confirm_leadership()
        if isinstance(confirmed, Err):
            return failure_answer(confirmed.err_value)
        state = self._replica.state
        return CallAnswer(version=state.version, document=state.document, leader=self._advertise)

    async def _announce(self, call: AnnounceCall, service: LeaderService) -> CallAnswer:
        announcements = service.decisions.announcements
        entry = announcements.announced(call.member, call.sequence, boot_seconds())
        return await self._record(entry)

    async def _withdraw(self, call: WithdrawCall, service: LeaderService) -> CallAnswer:
        announcements = service.decisions.announcements
        entry = announcements.withdrawn(call.identity, boot_seconds(), call.started_at_ms)
        return await self._record(entry)

    async def _record(self, entry: ControlEntry | None) -> CallAnswer:
        """Record a change of members; acknowledge it once a quorum holds it."""
        if entry is None:
            return CallAnswer(leader=self._advertise)
        result = await self._replica.propose(entry)
        if isinstance(result, Err):
            return failure_answer(result.err_value)
        if result.ok_value is None:
            return failure_answer(
                Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, "The leadership was lost.")
            )
        members = ",".join(f"{m.identity}:{m.state}" for m in entry.members)
        EVENTS.info("members-recorded", members=members, removed=",".join(entry.removed))
        return CallAnswer(leader=self._advertise)

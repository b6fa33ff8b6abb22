"""Recorded plans, their outcomes, and the history of confirmed changes."""

from __future__ import annotations

from collections import OrderedDict

from limedyke.messages.control_entries import ConfirmPlan, PlanOutcome, PlanRecord, RecordPlan
from limedyke.messages.operator import Confirmed, HistoryEntry, Plan, PlannedChange, Refused
from limedyke.result_codes import ResultCode

MAXIMUM_PLANS = 64
MAXIMUM_OUTCOMES = 2_048
MAXIMUM_HISTORY = 1_024
MAXIMUM_SUMMARY_CHANGES = 6


def summary_of(changes: tuple[PlannedChange, ...]) -> str:
    """Summarize the changes of a plan in one line for the history."""
    named = [f"{change.action} {change.item}" for change in changes[:MAXIMUM_SUMMARY_CHANGES]]
    if len(changes) > MAXIMUM_SUMMARY_CHANGES:
        named.append(f"and {len(changes) - MAXIMUM_SUMMARY_CHANGES} more")
    return "; ".join(named)


def refusal(request_id: str, code: ResultCode, detail: str, revision: int = 0) -> Refused:
    """Return the refusal to send to the operator."""
    return Refused(request_id, code.value.number, detail, revision)


class PlanStore:
    """Pending plans, outcomes of settled plans, and history (newest last), each bounded."""

    def __init__(
        self,
        plans: tuple[PlanRecord, ...] = (),
        outcomes: tuple[PlanOutcome, ...] = (),
        history: tuple[HistoryEntry, ...] = (),
    ) -> None:
        self._plans = OrderedDict((plan.plan_id, plan) for plan in plans)
        self._outcomes = OrderedDict((outcome.plan_id, outcome) for outcome in outcomes)
        self.history = list(history)

    def plan(self, plan_id: str) -> PlanRecord | None:
        """Return a pending plan, if there is one of this id."""
        return self._plans.get(plan_id)

    def outcome(self, plan_id: str) -> PlanOutcome | None:
        """Return the outcome of a settled plan, if there is one of this id."""
        return self._outcomes.get(plan_id)

    def plans(self) -> tuple[PlanRecord, ...]:
        """Return the pending plans, the oldest first."""
        return tuple(self._plans.values())

    def outcomes(self) -> tuple[PlanOutcome, ...]:
        """Return the outcomes of settled plans, the oldest first."""
        return tuple(self._outcomes.values())

    def keep(self, entry: RecordPlan, time: int) -> None:
        """Record a plan unless it is already pending or settled, and drop expired plans.

        :param time: the log's clock, seconds since the epoch
        """
        if entry.plan_id in self._outcomes:
            return
        for plan in self.plans():
            if plan.expires_at <= time:
                del self._plans[plan.plan_id]
        self._plans.setdefault(entry.plan_id, _plan_record(entry))
        while len(self._plans) > MAXIMUM_PLANS:
            self._plans.popitem(last=False)

    def answer_without_effect(
        self, entry: ConfirmPlan, revision: int, control_index: int, time: int
    ) -> Confirmed | Refused | None:
        """Return the answer to a confirmation that has no effect.

        A plan whose base is not the revision in force is settled as a conflict.

        :param revision: the revision in force
        :param control_index: index of the last entry that changed anything for the proxies
        :param time: the log's clock, seconds since the epoch
        :returns: None if the plan is pending and is based on the revision in force
        """
        outcome = self.outcome(entry.plan_id)
        if outcome is not None:
            return outcome_answer(entry.request_id, outcome)
        plan = self.plan(entry.plan_id)
        detail = f"Plan {entry.plan_id}."
        if plan is None:
            return refusal(entry.request_id, ResultCode.PLAN_UNKNOWN, detail)
        if plan.expires_at <= time:
            del self._plans[entry.plan_id]
            return refusal(entry.request_id, ResultCode.PLAN_EXPIRED, detail)
        if plan.base_revision == revision:
            return None
        winner = plan.base_revision + 1
        outcome = PlanOutcome(entry.plan_id, winner, control_index, conflict=True)
        self.settle(outcome)
        return outcome_answer(entry.request_id, outcome)

    def settle(self, outcome: PlanOutcome) -> None:
        """Record the final outcome of a plan."""
        self._plans.pop(outcome.plan_id, None)
        self._outcomes[outcome.plan_id] = outcome
        while len(self._outcomes) > MAXIMUM_OUTCOMES:
            self._outcomes.popitem(last=False)

    def write_history(self, entry: HistoryEntry) -> None:
        """Add a confirmed change."""
        self.history.append(entry)
        del self.history[:-MAXIMUM_HISTORY]

    def plan_answer(self, request_id: str, plan_id: str, time: int) -> Plan | Refused:
        """Return the answer to the request that created a plan."""
        plan = self._plans.get(plan_id)
        if plan is not None:
            remaining_s = max(0, plan.expires_at - time)
            return Plan(request_id, plan_id, plan.base_revision, plan.changes, remaining_s)
        outcome = self._outcomes.get(plan_id)
        if outcome is None:
            return refusal(request_id, ResultCode.PLAN_EXPIRED, f"Plan {plan_id}.")
        if outcome.conflict:
            return outcome_answer(request_id, outcome)
        detail = f"Plan {plan_id} is in force since revision {outcome.revision}."
        return refusal(request_id, ResultCode.REVISION_CONFLICT, detail, outcome.revision)


def _plan_record(entry: RecordPlan) -> PlanRecord:
    return PlanRecord(
        plan_id=entry.plan_id,
        operator=entry.operator,
        base_revision=entry.base_revision,
        change=entry.change,
        changes=entry.changes,
        recorded_at=entry.recorded_at,
        expires_at=entry.expires_at,
    )


def outcome_answer(request_id: str, outcome: PlanOutcome) -> Confirmed | Refused:
    """Return the answer to a confirmation of a settled plan, which never changes."""
    if outcome.conflict:
        detail = f"Revision {outcome.revision} was confirmed first."
        return refusal(request_id, ResultCode.REVISION_CONFLICT, detail, outcome.revision)
    return Confirmed(request_id, outcome.plan_id, outcome.revision, outcome.control_index)

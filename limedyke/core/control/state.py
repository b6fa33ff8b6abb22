"""The replicated control state: a deterministic state machine over the log's entries."""

from __future__ import annotations

from limedyke.core.control.answer_store import AnswerStore, decode_answer
from limedyke.core.control.apply_result import ApplyResult
from limedyke.core.control.declaration_change import DeclaredState, is_empty
from limedyke.core.control.displaced_members import DisplacedMembers
from limedyke.core.control.ended_incarnations import EndedIncarnations
from limedyke.core.control.plan_rules import change_refusal_reason
from limedyke.core.control.plan_store import PlanStore, outcome_answer, refusal, summary_of
from limedyke.core.control.primaries.primary_table import PrimaryTable
from limedyke.core.control.proxy_records import record_proxies, remove_proxies
from limedyke.core.control.state_snapshot import unpack_snapshot
from limedyke.messages.codec import decode
from limedyke.messages.control import (
    ControlSnapshot,
    ControlUpdate,
    Departure,
    GroupPrimary,
    ProxyRecord,
)
from limedyke.messages.control_entries import (
    BeginSwitchover,
    ConfirmPlan,
    ControllerAddress,
    ControlStateSnapshot,
    DeclarationChange,
    DeclaredVersion,
    DeclareVersion,
    GrantTerms,
    MembersRecorded,
    PlanOutcome,
    PlanRecord,
    ProveDepartures,
    RecordAnswer,
    RecordControllers,
    RecordLimits,
    RecordMembers,
    RecordPlan,
    RecordPrimaries,
    RecordProxies,
    RemoveProxies,
    pack_entry,
)
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Declaration
from limedyke.messages.operator import Confirmed, HistoryEntry, Refused, SwitchoverAnswer
from limedyke.result_codes import ResultCode


class ControlState:
    """The state that the controllers replicate through their log.

    :ivar applied_index: index of the last entry applied
    :ivar control_index: index of the last entry that changed anything for the proxies
    :ivar revision: number of declaration changes applied
    :ivar time: the log's clock, seconds since the epoch; advanced by operators' entries only
    :ivar controllers: addresses of the controllers by name
    :ivar version: version of the declaration in force; 0 if none was applied by version
    :ivar document: that declaration as the operator sent it
    :ivar announced: members that announced themselves, by identity
    :ivar displaced: former members whose address now belongs to another member
    :ivar ended: incarnations of members that have withdrawn
    """

    def __init__(self) -> None:
        self.applied_index = 0
        self.control_index = 0
        self.revision = 0
        self.time = 0
        self.declared = DeclaredState(Declaration())
        self.proxies: dict[str, ProxyRecord] = {}
        self.home_proxies_per_group = 3
        self.controllers: dict[str, str] = {}
        self.version = 0
        self.document = b""
        self.announced: dict[str, AnnouncedMember] = {}
        self.displaced = DisplacedMembers()
        self.ended = EndedIncarnations()
        self.plans = PlanStore()
        self._primary_table = PrimaryTable()
        self._answers = AnswerStore()

    @property
    def primaries(self) -> dict[str, GroupPrimary]:
        """The recorded term and primary by group; read only."""
        return self._primary_table.primaries

    @property
    def switchover_targets(self) -> dict[str, str]:
        """The target member of a planned switchover, by group; read only."""
        return self._primary_table.switchover_targets

    def apply(self, index: int, entry: object) -> ApplyResult:
        """Apply the entry at ``index``; an unknown entry only advances ``applied_index``."""
        self.applied_index = index
        match entry:
            case RecordPlan():
                return ApplyResult(answer=self._record_plan(entry))
            case ConfirmPlan():
                return self._confirm_plan(index, entry)
            case GrantTerms():
                granted = self._primary_table.grant_terms(index, entry, self.declared.groups)
                return self._announce(index, primaries=granted)
            case RecordPrimaries():
                recorded = self._primary_table.record_primaries(entry, self.declared.groups)
                return self._announce(index, primaries=recorded)
            case BeginSwitchover():
                return self._begin_switchover(index, entry)
            case RecordProxies():
                return self._announce(index, proxies=record_proxies(self.proxies, entry))
            case RemoveProxies():
                removed = remove_proxies(self.proxies, entry)
                return self._announce(index, removed_proxies=removed)
            case RecordLimits():
                return self._record_limits(index, entry)
            case RecordAnswer():
                return ApplyResult(answer=self._record_answer(entry))
            case RecordControllers():
                return self._record_controllers(index, entry)
            case DeclareVersion():
                return self._declare_version(index, entry)
            case RecordMembers():
                return self._record_members(index, entry)
            case ProveDepartures():
                self._primary_table.prove_departures(entry)
        return ApplyResult()

    def first_answer(self, operator: str, request_id: str) -> object | None:
        """Return the recorded answer to a request, if there is one."""
        recorded = self._answers.find(operator, request_id)
        if recorded is None:
            return None
        if recorded.plan_id:
            return self.plans.plan_answer(request_id, recorded.plan_id, self.time)
        return decode_answer(recorded)

    def snapshot_for_proxies(self) -> ControlSnapshot:
        """Return the part of the state that proxies need."""
        return ControlSnapshot(
            control_index=self.control_index,
            revision=self.revision,
            declaration=self.declared.declaration(),
            primaries=tuple(self.primaries.values()),
            proxies=tuple(self.proxies.values()),
            home_proxies_per_group=self.home_proxies_per_group,
            announced=tuple(self.announced.values()),
            controllers=tuple(self.controllers.values()),
        )

    def to_bytes(self) -> bytes:
        """Return the whole state for the log's snapshot."""
        return pack_entry(
            ControlStateSnapshot(
                applied_index=self.applied_index,
                control_index=self.control_index,
                revision=self.revision,
                time=self.time,
                declaration=self.declared.declaration(),
                primaries=tuple(self.primaries.values()),
                proxies=tuple(self.proxies.values()),
                home_proxies_per_group=self.home_proxies_per_group,
                switchover_targets=self._primary_table.recorded_targets(),
                plans=self.plans.plans(),
                outcomes=self.plans.outcomes(),
                answers=self._answers.recorded(),
                history=tuple(self.plans.history),
                controllers=tuple(
                    ControllerAddress(name, address) for name, address in self.controllers.items()
                ),
                version=self.version,
                document=self.document,
                announced=tuple(self.announced.values()),
                displaced=self.displaced.recorded(),
                ended=self.ended.recorded(),
            )
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> ControlState:
        """Return the state from a log snapshot; empty bytes give the empty state.

        :raises ValueError: if the bytes are not a snapshot
        """
        state = cls()
        if not data:
            return state
        state._load(unpack_snapshot(data))
        return state

    def _load(self, snapshot: ControlStateSnapshot) -> None:
        self.applied_index = snapshot.applied_index
        self.control_index = snapshot.control_index
        self.revision = snapshot.revision
        self.time = snapshot.time
        self.declared = DeclaredState(snapshot.declaration)
        self.proxies = {proxy.name: proxy for proxy in snapshot.proxies}
        self.home_proxies_per_group = snapshot.home_proxies_per_group
        self._primary_table = PrimaryTable(snapshot.primaries, snapshot.switchover_targets)
        self.plans = PlanStore(snapshot.plans, snapshot.outcomes, snapshot.history)
        self._answers = AnswerStore(snapshot.answers)
        self._learn_controllers(snapshot.controllers)
        self.version = snapshot.version
        self.document = snapshot.document
        self.announced = {member.identity: member for member in snapshot.announced}
        self.displaced = DisplacedMembers(snapshot.displaced)
        self.ended = EndedIncarnations(snapshot.ended)

    def _learn_controllers(self, controllers: tuple[ControllerAddress, ...]) -> None:
        self.controllers.update((found.name, found.address) for found in controllers)

    def _record_controllers(self, index: int, entry: RecordControllers) -> ApplyResult:
        known = dict(self.controllers)
        for name in entry.removed:
            self.controllers.pop(name, None)
        self._learn_controllers(entry.controllers)
        if known == self.controllers:
            return ApplyResult()
        addresses = tuple(self.controllers.values())
        return ApplyResult(update=self._update(index, controllers=addresses))

    def _declare_version(self, index: int, entry: DeclareVersion) -> ApplyResult:
        """Apply a complete declaration, unless its version is not newer than the current one."""
        if entry.version <= self.version:
            return ApplyResult(DeclaredVersion(self.version))
        self.version = entry.version
        self.document = entry.document
        change = self.declared.change_to(self.declared.with_caps(entry.declaration))
        if is_empty(change):
            return ApplyResult(DeclaredVersion(self.version))
        self.revision += 1
        self._note_raised_replicas(index, change)
        self.declared.apply(change)
        return ApplyResult(DeclaredVersion(self.version), self._update_of(index, change))

    def _note_raised_replicas(self, index: int, change: DeclarationChange) -> None:
        """Note the groups whose earlier commits were acknowledged with fewer replicas."""
        for group in change.groups:
            known = self.declared.groups.get(group.name)
            if known is not None and group.synchronous_replicas > known.synchronous_replicas:
                self._primary_table.add_departure(group.name, Departure("", index))

    def _note_departures(self, index: int, entry: RecordMembers) -> None:
        """Note the members that an entry removes, or records as restarted without their logs."""
        left = [self.announced[name] for name in entry.removed if name in self.announced]
        for member in entry.members:
            known = self.announced.get(member.identity)
            if known is not None and known.started_at_ms != member.started_at_ms:
                left.append(known)
        for member in left:
            group = self.declared.groups.get(member.group)
            if group is not None and group.synchronous_replicas > 0:
                departure = Departure(member.identity, index, member.started_at_ms)
                self._primary_table.add_departure(group.name, departure)
        for member in entry.members:
            self._primary_table.member_returned(member)

    def _record_members(self, index: int, entry: RecordMembers) -> ApplyResult:
        self.displaced.apply(entry, self.announced)
        self.ended.apply(entry)
        self._note_departures(index, entry)
        removed = tuple(name for name in entry.removed if self.announced.pop(name, None))
        changed = tuple(
            member for member in entry.members if self.announced.get(member.identity) != member
        )
        self.announced.update((member.identity, member) for member in changed)
        applied = self._announce(index, announced=changed, removed_announced=removed)
        return ApplyResult(MembersRecorded(), applied.update)

    def _announce(self, index: int, **changes: tuple) -> ApplyResult:
        """Return a result with the update for the proxies, if there are changes."""
        if not any(changes.values()):
            return ApplyResult()
        return ApplyResult(update=self._update(index, **changes))

    def _update(self, index: int, **changes: object) -> ControlUpdate:
        """Return the update for the entry at ``index``, and advance the control index."""
        update = ControlUpdate(self.control_index, index, self.revision, **changes)
        self.control_index = index
        return update

    def _record_plan(self, entry: RecordPlan) -> object:
        self._advance_time(entry.recorded_at)
        known = self.first_answer(entry.operator, entry.request_id)
        if known is not None:
            return known
        self.plans.keep(entry, self.time)
        self._answers.keep_plan(entry.operator, entry.request_id, entry.plan_id)
        return self.plans.plan_answer(entry.request_id, entry.plan_id, self.time)

    def _confirm_plan(self, index: int, entry: ConfirmPlan) -> ApplyResult:
        self._advance_time(entry.confirmed_at)
        known = self.first_answer(entry.operator, entry.request_id)
        if known is not None:
            return ApplyResult(answer=known)
        answer, update = self._decide_plan(index, entry)
        self._answers.keep(entry.operator, entry.request_id, answer)
        return ApplyResult(answer, update)

    def _decide_plan(
        self, index: int, entry: ConfirmPlan
    ) -> tuple[Confirmed | Refused, ControlUpdate | None]:
        """Return the answer to a confirmation, and the update for the proxies if it succeeds."""
        plans = self.plans
        answer = plans.answer_without_effect(entry, self.revision, self.control_index, self.time)
        if answer is not None:
            return answer, None
        plan = plans.plan(entry.plan_id)
        reason = change_refusal_reason(plan.change, self.declared, self.primaries)
        if reason:
            return refusal(entry.request_id, ResultCode.DECLARATION_INVALID, reason), None
        return self._bring_into_force(index, plan, entry)

    def _bring_into_force(
        self, index: int, plan: PlanRecord, entry: ConfirmPlan
    ) -> tuple[Confirmed, ControlUpdate | None]:
        if is_empty(plan.change):
            answer = Confirmed(entry.request_id, plan.plan_id, self.revision, self.control_index)
            return answer, None
        self.revision += 1
        self.declared.apply(plan.change)
        for group in plan.change.removed_groups:
            self._primary_table.forget(group)
        update = self._update_of(index, plan.change)
        self._write_history(plan.plan_id, entry.operator, summary_of(plan.changes))
        outcome = PlanOutcome(plan.plan_id, self.revision, self.control_index, conflict=False)
        self.plans.settle(outcome)
        return outcome_answer(entry.request_id, outcome), update

    def _update_of(self, index: int, change: DeclarationChange) -> ControlUpdate:
        return self._update(
            index,
            tenants=change.tenants,
            removed_tenants=change.removed_tenants,
            groups=change.groups,
            removed_groups=change.removed_groups,
            token_keys=change.token_keys,
            proxy_intents=change.proxies,
            databases=change.databases,
            removed_databases=change.removed_databases,
            session_limits=change.session_limits,
        )

    def _write_history(self, plan_id: str, operator: str, summary: str) -> None:
        """Add a confirmed operation; ``plan_id`` is empty if it creates no revision."""
        self.plans.write_history(HistoryEntry(self.revision, plan_id, operator, self.time, summary))

    def _begin_switchover(self, index: int, entry: BeginSwitchover) -> ApplyResult:
        """Begin a planned switchover; without a request id, the controllers initiated it."""
        self._advance_time(entry.confirmed_at)
        if not entry.request_id:
            return self._decide_switchover(index, entry)
        known_answer = self.first_answer(entry.operator, entry.request_id)
        if known_answer is not None:
            return ApplyResult(answer=known_answer)
        applied = self._decide_switchover(index, entry)
        if isinstance(applied.answer, SwitchoverAnswer):
            self._write_history("", entry.operator, applied.answer.state)
        self._answers.keep(entry.operator, entry.request_id, applied.answer)
        return applied

    def _decide_switchover(self, index: int, entry: BeginSwitchover) -> ApplyResult:
        known = self._primary_table.find(entry.group, self.declared.groups)
        if known is None or not known.primary or known.term != entry.expected_term:
            detail = f"Group {entry.group} has no primary under term {entry.expected_term}."
            return ApplyResult(answer=refusal(entry.request_id, ResultCode.NO_PRIMARY, detail))
        announced = self._primary_table.begin_switchover(known, entry.target)
        update = self._update(index, primaries=(announced,))
        state = f"switchover of {entry.group} to {entry.target} began under term {known.term}"
        return ApplyResult(SwitchoverAnswer(entry.request_id, state), update)

    def _record_limits(self, index: int, entry: RecordLimits) -> ApplyResult:
        if entry.home_proxies_per_group == self.home_proxies_per_group:
            return ApplyResult()
        self.home_proxies_per_group = entry.home_proxies_per_group
        limit = entry.home_proxies_per_group
        return ApplyResult(update=self._update(index, home_proxies_per_group=limit))

    def _record_answer(self, entry: RecordAnswer) -> object:
        self._advance_time(entry.confirmed_at)
        known = self.first_answer(entry.operator, entry.request_id)
        if known is not None:
            return known
        answer = decode(entry.answer).unwrap()
        if entry.operation:
            self._write_history("", entry.operator, entry.operation)
        self._answers.keep(entry.operator, entry.request_id, answer)
        return answer

    def _advance_time(self, time: int) -> None:
        """Advance the log's clock; it never goes back, even if a new leader's clock is slower."""
        self.time = max(self.time, time)

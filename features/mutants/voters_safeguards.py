"""Mutants of what a confirmed declaration rests on: voters, disks, versions and reads."""

from __future__ import annotations

from collections.abc import Sequence

from features.mutants.mutant import Mutant
from limedyke.controller.clock import boot_seconds
from limedyke.controller.leading.leader_calls import LeaderCalls
from limedyke.controller.leading.voter_requirement import VoterRequirement
from limedyke.controller.replica import Replica
from limedyke.core.agreement.voter_policy import VoterPolicy
from limedyke.core.control.apply_result import ApplyResult
from limedyke.core.control.state import ControlState
from limedyke.messages.agreement import ControllerIdentity
from limedyke.messages.calls import (
    AwaitMembershipCall,
    Call,
    CallAnswer,
    DeclareCall,
    ReadDeclarationCall,
)
from limedyke.messages.control_entries import DeclaredVersion, DeclareVersion
from limedyke_lab.simulator.run import Replacement
from limedyke_lab.simulator.voters.faults import Fault, FaultKind
from limedyke_lab.simulator.voters.run import DEFAULT_FAULTS_S, run_voters

SEED = 1
VOTER_OFF_WHILE_OTHER_IS_REPLACED = (
    Fault(FaultKind.DARK, 14.5, 5.0, 1),
    Fault(FaultKind.REPLACE, 15.9, 0.0, 1),
)
ONE_IS_REPLACED = (Fault(FaultKind.REPLACE, 14.5, 0.0, 1),)
LEADER_LOST_AFTER_IT_ADDED_A_LEARNER = (
    Fault(FaultKind.REPLACE, 14.5, 0.0, 4),
    Fault(FaultKind.DARK_ADDING_LEADER, 15.0, 6.0, 0),
)
LEADER_LOST_SEED = 6
LEADER_IS_REPLACED_AMONG_THREE = (
    Fault(FaultKind.REPLACE, 14.5, 0.0, 4),
    Fault(FaultKind.REPLACE, 16.7, 0.0, 0),
    Fault(FaultKind.REPLACE, 19.6, 0.0, 0),
)
LEADER_REPLACED_SEED = 2
REFUSED_SEED = 2
"""Each sending of some declarations that are read is answered, as the check needs."""
SCRIPT_S = 9.0
SURVIVES, READ_BACK, ONE_CONTENT, DID_NOT_RUN = (
    "survives",
    "read-back",
    "one-content",
    "did-not-run",
)


def _mutant(
    name: str,
    promise: str,
    replacement: Replacement,
    script: Sequence[Fault] | None = None,
    seed: int = SEED,
) -> Mutant:
    """Return a mutant that must break a promise in the run of a seed, or of a script."""
    faults_s = DEFAULT_FAULTS_S if script is None else SCRIPT_S

    def is_caught() -> bool:
        sound = run_voters(seed, faults_s, (), script)
        if sound.violations:
            raise AssertionError(f"also with the safeguard: {sound.violations[0]}")
        mutated = run_voters(seed, faults_s, (replacement,), script)
        return any(violation.startswith(promise) for violation in mutated.violations)

    target, attribute, _ = replacement
    return Mutant(name, f"{target.__name__}.{attribute}", promise, is_caught)


def _never_fails(self: VoterRequirement) -> None:
    return None


def _seeks_leader_by_own_log(self: Replica) -> bool:
    return not self.is_member


def _record_without_address(self: Replica, call: AwaitMembershipCall) -> None:
    configuration = self.agreement.configuration
    if call.identity not in configuration.voters + configuration.learners:
        self.non_members[call.identity.name] = call.identity
        self.waiting.record(call.identity, call.address, boot_seconds())


def _heard_by_this_leader(self: Replica) -> dict[ControllerIdentity, float]:
    progress = self.agreement.member_progress()
    return {member: found.last_response_at for member, found in progress.items()}


def _nobody_is_silent(self: VoterPolicy, members: object, last_response_at: object) -> None:
    return None


def _take(state: ControlState, entry: DeclareVersion) -> ApplyResult:
    state.version, state.document = entry.version, entry.document
    return ApplyResult(DeclaredVersion(state.version))


def _take_same_version(self: ControlState, index: int, entry: DeclareVersion) -> ApplyResult:
    if entry.version < self.version:
        return ApplyResult(DeclaredVersion(self.version))
    return _take(self, entry)


def _take_any_version(self: ControlState, index: int, entry: DeclareVersion) -> ApplyResult:
    return _take(self, entry)


async def _confirm_before_commit(self: LeaderCalls, call: DeclareCall) -> CallAnswer:
    failure = self._requirement.failure()
    if failure is not None:
        return self._not_confirmed(call, failure)
    entry = DeclareVersion(call.version, call.document, call.declaration)
    await self._replica.propose_without_answer(entry)
    return CallAnswer(version=call.version)


async def _refuse_and_propose(self: LeaderCalls, call: DeclareCall) -> CallAnswer:
    entry = DeclareVersion(call.version, call.document, call.declaration)
    await self._replica.propose_without_answer(entry)
    failure = VoterRequirement(self._replica, lost_disks_tolerated=10).failure()
    return self._not_confirmed(call, failure)


_ANSWER = LeaderCalls.answer


async def _read_anywhere(self: LeaderCalls, call: Call) -> CallAnswer:
    if not isinstance(call, ReadDeclarationCall):
        return await _ANSWER(self, call)
    state = self._replica.state
    return CallAnswer(version=state.version, document=state.document)


MUTANTS = (
    _mutant(
        "confirms with any number of voters", SURVIVES, (VoterRequirement, "failure", _never_fails)
    ),
    _mutant(
        "confirms before a majority holds it",
        SURVIVES,
        (LeaderCalls, "_declare", _confirm_before_commit),
    ),
    _mutant(
        "a former voter goes by its own log",
        SURVIVES,
        (Replica, "seeks_leader", property(_seeks_leader_by_own_log)),
        VOTER_OFF_WHILE_OTHER_IS_REPLACED,
    ),
    _mutant(
        "a learner's address is not learnt again",
        SURVIVES,
        (Replica, "_record_announcement", _record_without_address),
        LEADER_LOST_AFTER_IT_ADDED_A_LEARNER,
        LEADER_LOST_SEED,
    ),
    _mutant(
        "a voter that is gone is never replaced",
        SURVIVES,
        (VoterPolicy, "_most_silent", _nobody_is_silent),
        ONE_IS_REPLACED,
    ),
    _mutant(
        "a change of the leader ends the silence of a voter that is gone",
        SURVIVES,
        (Replica, "members_heard_at", _heard_by_this_leader),
        LEADER_IS_REPLACED_AMONG_THREE,
        LEADER_REPLACED_SEED,
    ),
    _mutant(
        "other content replaces that of a version",
        ONE_CONTENT,
        (ControlState, "_declare_version", _take_same_version),
    ),
    _mutant(
        "an older version is taken",
        READ_BACK,
        (ControlState, "_declare_version", _take_any_version),
    ),
    _mutant("any controller is read", READ_BACK, (LeaderCalls, "answer", _read_anywhere)),
    _mutant(
        "what is refused is proposed all the same",
        DID_NOT_RUN,
        (LeaderCalls, "_declare", _refuse_and_propose),
        seed=REFUSED_SEED,
    ),
)

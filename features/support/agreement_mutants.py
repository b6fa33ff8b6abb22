"""Mutants of the agreement core, each without one safeguard, to test the checkers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest import mock

from result import Ok, Result

from limedyke.core.agreement.agreement import Agreement
from limedyke.core.agreement.commands import ReadReady
from limedyke.core.agreement.election import Election
from limedyke.core.agreement.leader import Leader
from limedyke.core.agreement.lease import LeaderLease
from limedyke.core.agreement.replication import Replication
from limedyke.core.agreement.state import AgreementState, majority_of
from limedyke.core.agreement.timing import AgreementTiming
from limedyke.messages.agreement import AppendEntriesResponse, ControllerIdentity
from limedyke.result_codes import Failure, ResultCode
from limedyke.storage.durable_log import DurableLog
from limedyke_lab.agreement_simulation.machine import Machine


class MachineUnderOldName(Machine):
    """A machine that reuses its founding identity after it lost its disk."""

    _genesis = None

    def new_identity(self) -> ControllerIdentity:
        """Return the founding identity again."""
        return ControllerIdentity(self.name, f"{self.name}1")

    def initialise(self, genesis) -> None:
        """Install the founding snapshot again."""
        if genesis is not None:
            self._genesis = genesis
        super().initialise(self._genesis)


@dataclass(frozen=True)
class Mutant:
    """Patches as (owner, attribute, replacement), and the machine class to run them on."""

    patches: tuple[tuple[type, str, object], ...] = ()
    machine_class: type[Machine] = Machine


def _confirm_at_receipt(self: LeaderLease) -> None:
    before = self._confirmed_round
    _CONFIRM(self)
    if self._confirmed_round > before:
        self._confirmed_at = self._state.now


def _init_without_lease_wait(self: AgreementState, *arguments) -> None:
    _STATE_INIT(self, *arguments)
    self.leader_contact_at = float("-inf")


def _read_without_checks(self: Leader, event) -> None:
    self._state.emit(ReadReady(event.request_id, self._state.applied_index))


def _read_before_own_entry(self: Leader, event) -> None:
    first_index, self._first_index = self._first_index, 0
    _READ(self, event)
    self._first_index = first_index


def _stop_reporting_not_run(self: Leader) -> None:
    with mock.patch(
        "limedyke.core.agreement.leader.Failure",
        lambda code, detail: Failure(ResultCode.NOT_LEADER, detail),
    ):
        _LEADER_STOP(self)


def _members_by_name(self: AgreementState, identity: ControllerIdentity) -> bool:
    configuration = self.configuration
    members = configuration.voters + configuration.learners
    return identity.name in [member.name for member in members]


def _answer_old_leader_with_round(self: Agreement, sender: ControllerIdentity) -> None:
    round_number = self.echoed_round
    response = AppendEntriesResponse(self.term, False, 0, 0, 0, 0, round_number)
    self._state.send_after_sync(sender, response)


def _on_leader_message_echoing(self: Agreement, sender, message) -> None:
    self.echoed_round = message.round_number
    _ON_LEADER_MESSAGE(self, sender, message)


def _last_index(self: AgreementState) -> int:
    return self.log.last_index


def _ignore(self: AgreementState, value: int) -> None:
    """Ignore the assignment of the patched attribute."""


def _init_ignoring_stored_contact(self: AgreementState, *arguments) -> None:
    _STATE_INIT(self, *arguments)
    self.leader_contact_at = self.now
    self.reset_first_election_deadline()


def _save_first_contact_only(self: DurableLog, heard_at: float) -> Result[None, Failure]:
    if self._leader_contact.read() is None:
        return _SAVE_CONTACT(self, heard_at)
    return Ok(None)


def _transfer_keeping_lease(self: Leader) -> None:
    with mock.patch.object(LeaderLease, "revoke", lambda lease: None):
        _CONTINUE_TRANSFER(self)


def _majority_index_with_learners(self: Leader) -> int:
    state = self._state
    others = [progress.match_index for progress in self.replication.progress.values()]
    return sorted([state.synced_index, *others], reverse=True)[
        majority_of(state.configuration.voters) - 1
    ]


def _bound_by_any_lease(self: Election, sender: ControllerIdentity) -> bool:
    return self._leads() or self._state.lease_may_be_valid()


def _acknowledge_first_leader_only(self: AgreementState, leader: ControllerIdentity) -> None:
    if self.vouched_for is None:
        _ACKNOWLEDGE_LEADER(self, leader)


def _store_first_leader_only(self: AgreementState, leader: ControllerIdentity) -> None:
    if self.vouched_for is None:
        _ACKNOWLEDGE_LEADER(self, leader)
    self.vouched_for = leader


def _newest_configuration_committed(self: AgreementState) -> bool:
    return self.log.configuration_index <= self.commit_index


_CONFIRM = LeaderLease.confirm
_ACKNOWLEDGE_LEADER = AgreementState.acknowledge_leader
_CONTINUE_TRANSFER = Leader._continue_transfer
_SAVE_CONTACT = DurableLog.save_leader_contact
_READ = Leader.read
_STATE_INIT = AgreementState.__init__
_LEADER_STOP = Leader.stop
_ON_LEADER_MESSAGE = Agreement._on_leader_message

MUTANTS: dict[str, Mutant] = {
    "counts entries before they are synced": Mutant(
        (
            (AgreementState, "is_synced", lambda self, write_number: True),
            (AgreementState, "synced_index", property(_last_index, _ignore)),
        )
    ),
    "does not sync the disk": Mutant(
        ((DurableLog, "_sync", property(lambda self: False, lambda self, value: None)),)
    ),
    "comes back under the old name after a lost disk": Mutant(
        machine_class=MachineUnderOldName,
    ),
    "takes any incarnation of a member's name for the member": Mutant(
        ((AgreementState, "is_member", _members_by_name),)
    ),
    "votes for a candidate whose log is behind": Mutant(
        ((Election, "_is_up_to_date", lambda self, index, term: True),)
    ),
    "commits entries of old terms by counting": Mutant(
        ((Leader, "_may_commit_by_counting", lambda self, index: True),)
    ),
    "counts the lease from the receipt of the answers": Mutant(
        ((LeaderLease, "confirm", _confirm_at_receipt),)
    ),
    "gives votes while it hears a leader": Mutant(
        ((AgreementState, "lease_may_be_valid", lambda self: False),)
    ),
    "gives votes right after a restart": Mutant(
        ((AgreementState, "__init__", _init_without_lease_wait),)
    ),
    "notes only its first contact with a leader": Mutant(
        ((DurableLog, "save_leader_contact", _save_first_contact_only),)
    ),
    "forgets at a restart when it heard a leader": Mutant(
        ((AgreementState, "__init__", _init_ignoring_stored_contact),)
    ),
    "waits for the lease of a leader that asks for votes itself": Mutant(
        ((Election, "_bound_by_other_lease", _bound_by_any_lease),)
    ),
    "takes the first leader it vouched for as the last": Mutant(
        ((AgreementState, "acknowledge_leader", _acknowledge_first_leader_only),)
    ),
    "notes only the first leader on disk": Mutant(
        ((AgreementState, "acknowledge_leader", _store_first_leader_only),)
    ),
    "reads without the lease": Mutant(((Leader, "read", _read_without_checks),)),
    "reads before an entry of its own term is applied": Mutant(
        ((Leader, "read", _read_before_own_entry),)
    ),
    "does not allow for the drift of clocks": Mutant(
        (
            (
                AgreementTiming,
                "lease_s",
                property(lambda self: self.election_timeout_minimum_s),
            ),
        )
    ),
    "echoes the round of an old term to its leader": Mutant(
        (
            (Agreement, "_answer_old_leader", _answer_old_leader_with_round),
            (Agreement, "_on_leader_message", _on_leader_message_echoing),
        )
    ),
    "says did not run for what was pending": Mutant(((Leader, "stop", _stop_reporting_not_run),)),
    "leads on under its lease after handing over": Mutant(
        ((Leader, "_continue_transfer", _transfer_keeping_lease),)
    ),
    "changes members while a change is uncommitted": Mutant(
        ((Leader, "_membership_refusal", lambda self: None),)
    ),
    "promotes learners that are not caught up": Mutant(
        (
            (
                Leader,
                "_caught_up_learners",
                lambda self: frozenset(self._state.configuration.learners),
            ),
        )
    ),
    "never ends the joint phase of a replacement": Mutant(
        (
            (Leader, "_end_joint_phase", lambda self: None),
            (AgreementState, "membership_settled", property(_newest_configuration_committed)),
        )
    ),
    "counts learners as voters": Mutant(
        ((Leader, "_majority_index", _majority_index_with_learners),)
    ),
    "goes on after a failed write": Mutant(((Agreement, "_on_storage_failed", lambda self: None),)),
    "never steps down without a quorum": Mutant(
        ((LeaderLease, "quorum_lost", lambda self: False),)
    ),
    "never backs off": Mutant(((Replication, "_back_off", lambda self, *arguments: None),)),
}


@contextmanager
def patched_out(name: str) -> Callable:
    """Run with one safeguard patched out; yields the machine class to use."""
    mutant = MUTANTS[name]
    with ExitStack() as stack:
        for owner, attribute, replacement in mutant.patches:
            stack.enter_context(mock.patch.object(owner, attribute, replacement, create=True))
        yield mutant.machine_class

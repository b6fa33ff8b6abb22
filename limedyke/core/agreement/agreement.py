"""The agreement core of one controller."""

from __future__ import annotations

import random
from collections.abc import Iterable

from limedyke.core.agreement.commands import (
    Command,
    ProposalRefused,
    ReadRefused,
    RestoreState,
    Role,
    SaveSnapshot,
    StepDownReason,
    SteppedDown,
)
from limedyke.core.agreement.election import Election
from limedyke.core.agreement.events import (
    Event,
    LeadershipTransferRequested,
    MembershipChangeRequested,
    MessageReceived,
    Proposed,
    ReadRequested,
    SnapshotTaken,
    Started,
    StorageFailed,
    StorageSynced,
    Tick,
)
from limedyke.core.agreement.follower import Follower
from limedyke.core.agreement.leader import Leader
from limedyke.core.agreement.records import Snapshot, StoredState
from limedyke.core.agreement.state import AgreementInvariantError, AgreementState
from limedyke.core.agreement.timing import AgreementTiming
from limedyke.core.agreement.view import AgreementView
from limedyke.messages.agreement import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    ControllerIdentity,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    PreVoteRequest,
    PreVoteResponse,
    TimeoutNowRequest,
    VoteRequest,
    VoteResponse,
)
from limedyke.result_codes import Failure, ResultCode


class Agreement(AgreementView):
    """State machine of a replicated log; sans-IO, with time and randomness passed in.

    :param identity: this controller and the incarnation of its data folder
    :param stored: the state found on disk
    :param timing: timeouts in seconds, and limits
    :param rng: source of randomness for election timeouts
    :param now: seconds of a monotonic clock that also counts while the machine is suspended
    """

    def __init__(
        self,
        identity: ControllerIdentity,
        stored: StoredState,
        timing: AgreementTiming,
        rng: random.Random,
        now: float,
    ) -> None:
        state = AgreementState(identity, stored, timing, rng, now)
        super().__init__(state, Leader(state))
        self._follower = Follower(self._state)
        self._election = Election(
            self._state,
            become_follower=self._become_follower,
            become_leader=self._leader.start,
            leads=self._holds_lease,
        )

    def handle(self, event: Event, now: float) -> list[Command]:
        """Process one event; return the commands to execute, in order."""
        return self.handle_batch((event,), now)

    def handle_batch(self, events: Iterable[Event], now: float) -> list[Command]:
        """Process several events at once, so that their entries share messages and syncs."""
        state = self._state
        state.now = max(now, state.now)
        for event in events:
            self._dispatch(event)
        if state.role is Role.LEADER:
            self._finish_leader_step(self._leader.continue_work())
        commands = state.commands
        state.commands = []
        return commands

    def _dispatch(self, event: Event) -> None:
        if self._state.role is Role.STOPPED:
            self._refuse(event)
            return
        match event:
            case Tick():
                self._tick()
            case MessageReceived():
                self._on_message(event)
            case StorageSynced():
                self._on_synced(event)
            case StorageFailed():
                self._on_storage_failed()
            case SnapshotTaken():
                self._on_snapshot_taken(event)
            case Started():
                self._on_started()
            case Proposed() | ReadRequested() | MembershipChangeRequested():
                self._on_request(event)
            case LeadershipTransferRequested():
                if self._state.role is Role.LEADER:
                    self._leader.begin_transfer()

    def _on_started(self) -> None:
        if self._state.log.snapshot.index > 0:
            self._state.emit(RestoreState(self._state.log.snapshot))
        self._state.report_role()

    def _tick(self) -> None:
        if self._state.role is Role.LEADER:
            self._finish_leader_step(self._leader.tick())
        else:
            self._election.tick()

    def _finish_leader_step(self, reason: StepDownReason | None) -> None:
        if reason is not None:
            self._step_down(reason)
            self._state.set_role(Role.FOLLOWER, None)

    def _on_request(self, event: Proposed | ReadRequested | MembershipChangeRequested) -> None:
        if self._state.role is not Role.LEADER:
            self._refuse(event)
        elif isinstance(event, Proposed):
            self._leader.propose(event)
        elif isinstance(event, ReadRequested):
            self._leader.read(event)
        else:
            self._leader.change_members(event)

    def _refuse(self, event: Event) -> None:
        """Refuse a request that this controller has not started to process."""
        state = self._state
        failure = Failure(ResultCode.NOT_LEADER, f"This controller is a {state.role}.")
        if isinstance(event, ReadRequested):
            state.emit(ReadRefused(event.request_id, failure, state.leader))
        elif isinstance(event, Proposed | MembershipChangeRequested):
            state.emit(ProposalRefused(event.request_id, failure, state.leader))

    def _on_synced(self, event: StorageSynced) -> None:
        self._state.note_synced(event.write_number)
        self._follower.finish_install()
        self._election.count_own_vote()
        self._state.advance_commit(self._state.commit_index)

    def _on_storage_failed(self) -> None:
        self._state.drop_held_messages()
        self._step_down(StepDownReason.STORAGE_FAILED)
        self._state.set_role(Role.STOPPED, None)

    def _on_snapshot_taken(self, event: SnapshotTaken) -> None:
        state = self._state
        if not state.log.snapshot.index < event.index <= state.applied_index:
            return
        snapshot = Snapshot(
            index=event.index,
            term=state.log.term_at(event.index),
            configuration=state.log.configuration_at(event.index),
            data=event.data,
        )
        state.emit(SaveSnapshot(state.next_write_number(), snapshot))
        state.log.compact(snapshot, state.timing.retained_entries)

    def _on_message(self, event: MessageReceived) -> None:
        sender = event.sender
        message = event.message
        match message:
            case PreVoteRequest():
                self._election.on_pre_vote_request(sender, message)
            case PreVoteResponse():
                self._election.on_pre_vote_response(sender, message)
            case VoteRequest():
                self._election.on_vote_request(sender, message)
            case VoteResponse():
                self._election.on_vote_response(sender, message)
            case AppendEntriesRequest() | InstallSnapshotRequest():
                self._on_leader_message(sender, message)
            case AppendEntriesResponse() | InstallSnapshotResponse():
                self._on_member_response(sender, message)
            case TimeoutNowRequest():
                self._election.on_timeout_now(sender, message)

    def _on_leader_message(
        self, sender: ControllerIdentity, message: AppendEntriesRequest | InstallSnapshotRequest
    ) -> None:
        state = self._state
        if message.term < state.term:
            self._answer_old_leader(sender)
            return
        self._become_follower(message.term, sender)
        state.acknowledge_leader(sender)
        state.leader_contact_at = state.now
        state.reset_election_deadline()
        state.quorum_stamp = max(state.quorum_stamp, message.quorum_stamp)
        if isinstance(message, AppendEntriesRequest):
            self._follower.on_append_entries(sender, message)
        else:
            self._follower.on_install_snapshot(sender, message)

    def _answer_old_leader(self, sender: ControllerIdentity) -> None:
        """Answer a leader of an older term with the current term.

        The response does not echo the round number. By the time it arrives the sender may lead the
        newer term, and must not count it as a response to a round of that term.
        """
        response = AppendEntriesResponse(
            term=self._state.term,
            accepted=False,
            previous_index=0,
            match_index=0,
            conflict_index=0,
            conflict_term=0,
            round_number=0,
        )
        self._state.send_after_sync(sender, response)

    def _on_member_response(
        self, sender: ControllerIdentity, message: AppendEntriesResponse | InstallSnapshotResponse
    ) -> None:
        state = self._state
        if message.term > state.term and state.is_member(sender):
            self._become_follower(message.term, None)
            return
        if state.role is not Role.LEADER or message.term != state.term:
            return
        if isinstance(message, AppendEntriesResponse):
            self._leader.on_append_response(sender, message)
        else:
            self._leader.on_snapshot_response(sender, message)

    def _become_follower(self, term: int, leader: ControllerIdentity | None) -> None:
        """Follow ``leader``; None means that the leader of ``term`` is not known yet."""
        state = self._state
        if term == state.term and state.role is Role.LEADER:
            raise AgreementInvariantError(f"{leader} also leads term {term}")
        if term > state.term:
            self._step_down(StepDownReason.HIGHER_TERM)
            state.persist_hard_state(term, None)
        state.set_role(Role.FOLLOWER, leader)

    def _step_down(self, reason: StepDownReason) -> None:
        state = self._state
        if state.role is not Role.LEADER:
            return
        state.emit(SteppedDown(state.term, reason, self._leader.round_timings()))
        self._leader.stop()
        state.role = Role.FOLLOWER
        state.reset_election_deadline()

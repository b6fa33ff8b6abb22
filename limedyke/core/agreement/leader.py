"""A leader's proposals, commits, reads, membership changes and transfer."""

from __future__ import annotations

from limedyke.core.agreement.commands import (
    ProposalAccepted,
    ProposalRefused,
    ReadReady,
    ReadRefused,
    Role,
    RoundTimings,
    StepDownReason,
)
from limedyke.core.agreement.events import (
    MembershipChangeRequested,
    Proposed,
    ReadRequested,
)
from limedyke.core.agreement.lease import LeaderLease
from limedyke.core.agreement.membership import change_configuration, without_previous_voters
from limedyke.core.agreement.records import encode_configuration
from limedyke.core.agreement.replication import Replication
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import (
    AppendEntriesResponse,
    ControllerIdentity,
    EntryKind,
    InstallSnapshotResponse,
    LogEntry,
    MemberConfiguration,
    TimeoutNowRequest,
)
from limedyke.result_codes import Failure, ResultCode


class Leader:
    """The part of the agreement that is active only while this controller leads."""

    def __init__(self, state: AgreementState) -> None:
        self._state = state
        self.replication = Replication(state)
        self.lease = LeaderLease(state, self.replication)
        self._pending: dict[int, str] = {}
        self._first_index = 0
        self._next_heartbeat_at = 0.0
        self._transfer_deadline: float | None = None

    def start(self) -> None:
        """Begin the leadership: append a no-op entry of the new term and send a heartbeat."""
        state = self._state
        self._pending = {}
        self._transfer_deadline = None
        self.replication.start()
        self.lease.start()
        state.set_role(Role.LEADER, state.identity)
        state.acknowledge_leader(state.identity)
        self._first_index = self._append(EntryKind.NOOP, b"")
        self.heartbeat()

    def round_timings(self) -> RoundTimings:
        """Return statistics of the heartbeat rounds of this leadership."""
        state = self._state
        voters = [voter for voter in state.other_voters() if voter in self.replication.progress]
        known = {voter.name: self.replication.progress[voter] for voter in voters}
        return RoundTimings(
            led_s=state.now - self.lease.started_at,
            sent=self.replication.round_number,
            confirmed=self.lease.confirmed_round,
            confirmed_s=self.lease.unconfirmed_s,
            silent_s={
                name: state.now - progress.last_response_at for name, progress in known.items()
            },
            behind={
                name: state.log.last_index - progress.match_index
                for name, progress in known.items()
            },
            unsynced=state.log.last_index - state.synced_index,
        )

    def tick(self) -> StepDownReason | None:
        """Send heartbeats; return why the leadership ends, if it does."""
        state = self._state
        if self.lease.quorum_lost():
            return StepDownReason.NO_QUORUM
        if self._transfer_deadline is not None and state.now >= self._transfer_deadline:
            self._transfer_deadline = None
        if state.now >= self._next_heartbeat_at:
            self.heartbeat()
        return self.continue_work()

    def heartbeat(self) -> None:
        """Begin a heartbeat round."""
        self._next_heartbeat_at = self._state.now + self._state.timing.heartbeat_interval_s
        self.replication.heartbeat(self.lease.begin_round())
        self.lease.confirm()

    def _append(self, kind: EntryKind, payload: bytes) -> int:
        state = self._state
        index = state.log.last_index + 1
        state.append((LogEntry(index, state.term, int(kind), payload),))
        return index

    def refusal(self) -> Failure | None:
        """Return why proposals are refused at present, if they are."""
        if self._transfer_deadline is not None:
            return Failure(ResultCode.NOT_LEADER, "The leadership is being transferred.", 200)
        if len(self._pending) >= self._state.timing.maximum_pending_proposals:
            return Failure(ResultCode.QUEUE_TIMEOUT, "Too many proposals are pending.", 200)
        return None

    def propose(self, event: Proposed) -> None:
        """Append a proposal; it is answered once it is committed and applied."""
        failure = self.refusal()
        if len(event.payload) > self._state.timing.maximum_payload_bytes:
            failure = Failure(ResultCode.MESSAGE_TOO_LARGE, f"{len(event.payload)} bytes proposed.")
        if failure is not None:
            self._state.emit(ProposalRefused(event.request_id, failure, self._state.leader))
            return
        index = self._append(EntryKind.PROPOSAL, event.payload)
        self._pending[index] = event.request_id

    def change_members(self, event: MembershipChangeRequested) -> None:
        """Append the changed configuration, or refuse a change that is unsafe at present."""
        state = self._state
        failure = self.refusal() or self._membership_refusal()
        if failure is not None:
            state.emit(ProposalRefused(event.request_id, failure, state.leader))
            return
        changed = change_configuration(
            state.configuration, event.change, state.identity, self._caught_up_learners()
        )
        if changed.is_err():
            state.emit(ProposalRefused(event.request_id, changed.unwrap_err(), state.leader))
            return
        self._pending[self._append_configuration(changed.unwrap())] = event.request_id

    def _append_configuration(self, configuration: MemberConfiguration) -> int:
        index = self._append(EntryKind.CONFIGURATION, encode_configuration(configuration))
        self.replication.refresh_members()
        return index

    def _membership_refusal(self) -> Failure | None:
        state = self._state
        code = ResultCode.MEMBERSHIP_CHANGE_REFUSED
        if state.commit_index < self._first_index:
            return Failure(code, "The leader has committed nothing in its term yet.", 200)
        if not state.membership_settled:
            return Failure(code, "Another membership change is not committed yet.", 200)
        return None

    def _caught_up_learners(self) -> frozenset[ControllerIdentity]:
        state = self._state
        oldest = state.now - state.timing.election_timeout_minimum_s
        return frozenset(
            learner
            for learner in state.configuration.learners
            if self.replication.progress[learner].match_index >= state.commit_index
            and self.replication.progress[learner].last_response_at >= oldest
        )

    def read(self, event: ReadRequested) -> None:
        """Allow a read while the lease is valid and an entry of this term has been applied."""
        state = self._state
        if self.lease.is_valid() and state.applied_index >= self._first_index:
            state.emit(ReadReady(event.request_id, state.applied_index))
            return
        failure = Failure(ResultCode.NOT_LEADER, "The leader lease is not valid at present.", 200)
        state.emit(ReadRefused(event.request_id, failure, state.leader))

    def on_append_response(
        self, sender: ControllerIdentity, response: AppendEntriesResponse
    ) -> None:
        """Handle a member's response to entries or a heartbeat."""
        if sender in self.replication.progress:
            self.replication.on_append_response(sender, response)
            self.lease.confirm()

    def on_snapshot_response(
        self, sender: ControllerIdentity, response: InstallSnapshotResponse
    ) -> None:
        """Handle a member's response to a chunk of a snapshot."""
        if sender in self.replication.progress:
            self.replication.on_snapshot_response(sender, response)
            self.lease.confirm()

    def continue_work(self) -> StepDownReason | None:
        """Send new entries, commit, answer proposals; return why the leadership ends, if so."""
        self.replication.replicate()
        self._commit()
        self._answer_applied()
        return self._continue_transfer()

    def _commit(self) -> None:
        index = self._majority_index()
        if index > self._state.commit_index and self._may_commit_by_counting(index):
            self._state.advance_commit(index)
            self._end_joint_phase()
        self._state.advance_commit(self._state.commit_index)

    def _end_joint_phase(self) -> None:
        """Append the configuration without the old voters once the joint one is committed.

        The caller that requested the replacement is answered when this second entry is committed:
        from then on the replacement also holds for voters that restart.
        """
        state = self._state
        joint_index = state.log.configuration_index
        if not state.configuration.previous_voters or joint_index > state.commit_index:
            return
        request_id = self._pending.pop(joint_index, None)
        index = self._append_configuration(without_previous_voters(state.configuration))
        if request_id is not None:
            self._pending[index] = request_id

    def _majority_index(self) -> int:
        """Return the highest index that a majority of every voter set in force has synced."""
        state = self._state
        match_indexes = {
            voter: progress.match_index for voter, progress in self.replication.progress.items()
        }
        match_indexes[state.identity] = state.synced_index
        return state.reached_by_majorities(match_indexes)

    def _may_commit_by_counting(self, index: int) -> bool:
        return self._state.log.term_at(index) == self._state.term

    def _answer_applied(self) -> None:
        state = self._state
        while self._pending:
            index = next(iter(self._pending))
            if index > state.applied_index:
                return
            request_id = self._pending.pop(index)
            state.emit(ProposalAccepted(request_id, index, state.term))

    def begin_transfer(self) -> None:
        """Stop accepting proposals, and hand over once all pending ones are answered."""
        if self._transfer_deadline is None and self._state.other_voters():
            timeout = self._state.timing.transfer_timeout_s
            self._transfer_deadline = self._state.now + timeout

    def _continue_transfer(self) -> StepDownReason | None:
        state = self._state
        if self._transfer_deadline is None or state.applied_index < state.log.last_index:
            return None
        target = self._transfer_target()
        if target is None:
            return None
        self.lease.revoke()
        state.send(target, TimeoutNowRequest(state.term))
        return StepDownReason.TRANSFER

    def _transfer_target(self) -> ControllerIdentity | None:
        state = self._state
        progress = self.replication.progress
        candidates = [
            voter
            for voter in state.other_voters()
            if progress[voter].match_index == state.log.last_index
        ]
        return max(candidates, key=lambda voter: progress[voter].last_response_at, default=None)

    def stop(self) -> None:
        """Answer pending proposals as unknown: a later leader may or may not commit them."""
        self._transfer_deadline = None
        for request_id in self._pending.values():
            failure = Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, "The leadership was lost.")
            self._state.emit(ProposalRefused(request_id, failure, None))
        self._pending = {}

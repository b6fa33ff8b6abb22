"""Read-only view of a controller's agreement state."""

from __future__ import annotations

from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.leader import Leader
from limedyke.core.agreement.progress import Progress
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration, QuorumStamp


class AgreementView:
    """Role, term, leader, indexes and lease of one controller.

    :param state: the state that all parts of the agreement share
    :param leader: the leader's part, active while this controller leads
    """

    def __init__(self, state: AgreementState, leader: Leader) -> None:
        self._state = state
        self._leader = leader

    @property
    def identity(self) -> ControllerIdentity:
        """This controller's identity."""
        return self._state.identity

    @property
    def role(self) -> Role:
        """The current role; a follower that is not a voter is a learner."""
        return self._state.visible_role

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def leader(self) -> ControllerIdentity | None:
        """The leader of the current term, if known."""
        return self._state.leader

    @property
    def leader_contact_at(self) -> float:
        """Time of the last contact with a leader; store it before executing commands."""
        return self._state.leader_contact_at

    def leader_silence_s(self, now: float) -> float:
        """Return the seconds since the last contact with a leader, or since the start if later."""
        if self._state.role is Role.LEADER:
            return 0.0
        return now - max(self._state.leader_contact_at, self._state.started_at)

    @property
    def leader_silence_limit_s(self) -> float:
        """After a longer silence the other voters have elected a leader, if they can."""
        return self._state.timing.election_timeout_maximum_s

    @property
    def configuration(self) -> MemberConfiguration:
        """The newest configuration, committed or not."""
        return self._state.configuration

    @property
    def membership_settled(self) -> bool:
        """Whether no membership change is pending, nor the joint phase of a replacement."""
        return self._state.membership_settled

    @property
    def smallest_voter_set(self) -> int:
        """Number of voters; the lower one of both sets during the joint phase of a replacement."""
        return min(len(voters) for voters in self._state.voter_sets)

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry passed to the shell to be applied."""
        return self._state.applied_index

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log, committed or not."""
        return self._state.log.last_index

    @property
    def quorum_stamp(self) -> QuorumStamp:
        """The newest quorum stamp, issued by this leader or received from its leader."""
        return self._state.quorum_stamp

    def holds_lease(self, now: float) -> bool:
        """Tell whether this controller leads and no other leader can have been elected."""
        self._state.now = max(now, self._state.now)
        return self._holds_lease()

    def member_progress(self) -> dict[ControllerIdentity, Progress]:
        """Return, on the leader, the replication progress of each other member; read only."""
        if self._state.role is not Role.LEADER:
            return {}
        return self._leader.replication.progress

    def holders(self, index: int) -> tuple[ControllerIdentity, ...]:
        """Return, on the leader, the voters known to have an entry on disk."""
        state = self._state
        if state.role is not Role.LEADER:
            return ()
        synced = {
            member: progress.match_index
            for member, progress in self._leader.replication.progress.items()
        }
        synced[state.identity] = state.synced_index
        return tuple(voter for voter in state.configuration.voters if synced.get(voter, 0) >= index)

    def learner_lag(self) -> dict[ControllerIdentity, int]:
        """Return, on the leader, how many entries each learner is behind."""
        if self._state.role is not Role.LEADER:
            return {}
        progress = self._leader.replication.progress
        last_index = self._state.log.last_index
        return {
            learner: last_index - progress[learner].match_index
            for learner in self._state.configuration.learners
        }

    def _holds_lease(self) -> bool:
        return self._state.role is Role.LEADER and self._leader.lease.is_valid()

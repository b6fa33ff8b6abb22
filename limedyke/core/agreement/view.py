"""What may be read of a controller's part in the replicated log."""

from __future__ import annotations

from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.leader import Leader
from limedyke.core.agreement.progress import Progress
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration, QuorumStamp


class AgreementView:
    """Role, term, leader, indexes and lease of one controller.

    :param state: the state that all parts of the agreement share
    :param leader: the leader's part, at work while this controller leads
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
        """The present role; a follower that is no voter is a learner."""
        return self._state.visible_role

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def leader(self) -> ControllerIdentity | None:
        """The leader of the current term, when known."""
        return self._state.leader

    @property
    def leader_contact_at(self) -> float:
        """When this controller last heard a leader; to be noted before commands are carried out."""
        return self._state.leader_contact_at

    @property
    def configuration(self) -> MemberConfiguration:
        """The newest configuration, committed or not."""
        return self._state.configuration

    @property
    def membership_settled(self) -> bool:
        """Whether the last change of the members is done: no replacement is in its joint phase."""
        return self._state.membership_settled

    @property
    def commit_index(self) -> int:
        """The last entry known committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """The last entry handed out to be applied."""
        return self._state.applied_index

    @property
    def last_index(self) -> int:
        """The last entry of the log, committed or not."""
        return self._state.log.last_index

    @property
    def quorum_stamp(self) -> QuorumStamp:
        """The newest stamp this controller leads with or heard from its leader."""
        return self._state.quorum_stamp

    def holds_lease(self, now: float) -> bool:
        """Tell whether this controller leads and no other leader can have been elected."""
        self._state.now = max(now, self._state.now)
        return self._holds_lease()

    def member_progress(self) -> dict[ControllerIdentity, Progress]:
        """Return, on the leader, what it knows about each other member; read only."""
        if self._state.role is not Role.LEADER:
            return {}
        return self._leader.replication.progress

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

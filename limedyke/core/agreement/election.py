"""Pre-votes, votes and candidacies."""

from __future__ import annotations

from collections.abc import Callable

from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import (
    ControllerIdentity,
    PreVoteRequest,
    PreVoteResponse,
    TimeoutNowRequest,
    VoteRequest,
    VoteResponse,
)


class Election:
    """Stands for election and answers other candidates.

    :param become_follower: called with a newer term before that term's message is answered
    :param become_leader: called when a majority voted for this controller
    :param leads: tells whether this controller leads under a valid lease
    """

    def __init__(
        self,
        state: AgreementState,
        become_follower: Callable[[int, ControllerIdentity | None], None],
        become_leader: Callable[[], None],
        leads: Callable[[], bool],
    ) -> None:
        self._state = state
        self._become_follower = become_follower
        self._become_leader = become_leader
        self._leads = leads
        self._pre_votes: set[ControllerIdentity] = set()
        self._votes: set[ControllerIdentity] = set()
        self._own_vote_write_number = 0

    def tick(self) -> None:
        """Start a pre-vote when the election timeout has passed without contact with a leader."""
        state = self._state
        if state.now < state.election_deadline:
            return
        if state.is_voter:
            self._start_pre_vote()
        else:
            state.reset_election_deadline()

    def _start_pre_vote(self) -> None:
        state = self._state
        state.schedule_pre_vote_retry()
        state.set_role(Role.PRE_CANDIDATE, None)
        self._pre_votes = {state.identity}
        request = PreVoteRequest(state.term + 1, state.log.last_index, state.log.last_term)
        for voter in state.other_voters():
            state.send_after_sync(voter, request)
        self._count_pre_votes()

    def _count_pre_votes(self) -> None:
        if self._reaches_majority(self._pre_votes):
            self._start_candidacy(leadership_transfer=False)

    def _start_candidacy(self, leadership_transfer: bool) -> None:
        state = self._state
        self._own_vote_write_number = state.persist_hard_state(state.term + 1, state.identity)
        self._votes = set()
        state.set_role(Role.CANDIDATE, None)
        state.reset_election_deadline()
        request = VoteRequest(
            term=state.term,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            leadership_transfer=leadership_transfer,
        )
        for voter in state.other_voters():
            state.send_after_sync(voter, request)
        self.count_own_vote()

    def count_own_vote(self) -> None:
        """Count this candidate's own vote once it is synced to disk."""
        state = self._state
        if state.role is not Role.CANDIDATE or not state.is_voter:
            return
        if state.is_synced(self._own_vote_write_number):
            self._votes.add(state.identity)
            self._count_votes()

    def _count_votes(self) -> None:
        if self._reaches_majority(self._votes):
            self._become_leader()

    def _reaches_majority(self, identities: set[ControllerIdentity]) -> bool:
        return self._state.holds_majorities(identities)

    def on_pre_vote_request(self, sender: ControllerIdentity, request: PreVoteRequest) -> None:
        """Answer whether a vote would be granted; the term and vote do not change."""
        state = self._state
        if not self._may_be_member(sender, request):
            return
        granted = (
            request.term > state.term
            and not self._bound_by_other_lease(sender)
            and self._is_up_to_date(request.last_index, request.last_term)
        )
        if granted:
            self._defer_to(sender)
        response = PreVoteResponse(state.term, request.term, granted)
        state.send_after_sync(sender, response)

    def _defer_to(self, sender: ControllerIdentity) -> None:
        """Let a candidate whose pre-vote was granted go first, to avoid split votes.

        Voters that restart together send pre-votes at the same time. Of two concurrent pre-votes,
        the one of the lower name proceeds.
        """
        state = self._state
        if state.role is Role.PRE_CANDIDATE:
            if sender.name > state.identity.name:
                return
            self._pre_votes = set()
        previous_deadline = state.election_deadline
        state.schedule_pre_vote_retry()
        state.election_deadline = max(previous_deadline, state.election_deadline)

    def on_pre_vote_response(self, sender: ControllerIdentity, response: PreVoteResponse) -> None:
        """Count a pre-vote for the pending candidacy."""
        state = self._state
        if response.term > state.term and state.is_member(sender):
            self._become_follower(response.term, None)
            return
        is_current = response.prospective_term == state.term + 1
        if state.role is Role.PRE_CANDIDATE and is_current and response.granted:
            self._pre_votes.add(sender)
            self._count_pre_votes()

    def on_vote_request(self, sender: ControllerIdentity, request: VoteRequest) -> None:
        """Grant at most one vote per term, and none while another leader's lease may be valid."""
        state = self._state
        if not self._may_be_member(sender, request):
            return
        if not request.leadership_transfer and self._bound_by_other_lease(sender):
            return
        if request.term > state.term:
            self._become_follower(request.term, None)
        granted = self._grants(sender, request)
        if granted and state.vote is None:
            state.persist_hard_state(state.term, sender)
        if granted:
            state.reset_election_deadline()
        state.send_after_sync(sender, VoteResponse(state.term, granted))

    def _grants(self, sender: ControllerIdentity, request: VoteRequest) -> bool:
        state = self._state
        if request.term != state.term or state.role is Role.LEADER:
            return False
        if state.vote not in (None, sender):
            return False
        return self._is_up_to_date(request.last_index, request.last_term)

    def on_vote_response(self, sender: ControllerIdentity, response: VoteResponse) -> None:
        """Count a vote for the pending candidacy."""
        state = self._state
        if response.term > state.term and state.is_member(sender):
            self._become_follower(response.term, None)
            return
        is_current = state.role is Role.CANDIDATE and response.term == state.term
        if is_current and response.granted:
            self._votes.add(sender)
            self._count_votes()

    def on_timeout_now(self, sender: ControllerIdentity, request: TimeoutNowRequest) -> None:
        """Start a candidacy at once: the leader of this term handed over and revoked its lease."""
        state = self._state
        is_current = request.term == state.term and sender == state.leader
        if is_current and state.is_voter and state.role is Role.FOLLOWER:
            self._start_candidacy(leadership_transfer=True)

    def _bound_by_other_lease(self, sender: ControllerIdentity) -> bool:
        """Tell whether the lease of a leader other than the candidate may still be valid.

        The leader that this voter acknowledged last no longer leads when it asks for votes itself:
        its process has restarted, or it has stepped down.
        """
        state = self._state
        if self._leads():
            return True
        return state.lease_may_be_valid() and sender != state.vouched_for

    def _may_be_member(
        self, sender: ControllerIdentity, request: PreVoteRequest | VoteRequest
    ) -> bool:
        """Tell whether a candidate is answered.

        This log may lack the entry that added the candidate; that candidate's log is longer then.
        """
        state = self._state
        if state.is_member(sender):
            return True
        position = (state.log.last_term, state.log.last_index)
        holds_more = (request.last_term, request.last_index) > position
        return holds_more and not state.was_replaced(sender)

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        log = self._state.log
        return (last_term, last_index) >= (log.last_term, log.last_index)

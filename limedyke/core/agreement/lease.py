"""The leader's lease and quorum stamp, derived from answered heartbeat rounds."""

from __future__ import annotations

from limedyke.core.agreement.replication import Replication
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import QuorumStamp


class LeaderLease:
    """Counts the lease from the time at which a confirmed heartbeat round was *sent*.

    A voter that answers a round received it after it was sent, and then grants no vote for the
    minimum election timeout. No other leader can therefore be elected for that time, less the clock
    drift, after the newest round that a majority answered was sent.
    """

    def __init__(self, state: AgreementState, replication: Replication) -> None:
        self._state = state
        self._replication = replication
        self._sent_at: dict[int, float] = {}
        self._confirmed_round = 0
        self._confirmed_at = float("-inf")
        self._revoked = False
        self.started_at = float("-inf")

    def start(self) -> None:
        """Begin a leadership without a lease; there is a full election timeout to obtain one."""
        self._sent_at = {}
        self._confirmed_round = 0
        self._confirmed_at = float("-inf")
        self._revoked = False
        self.started_at = self._state.now
        self._state.quorum_stamp = QuorumStamp(self._state.term, 0)

    def begin_round(self) -> int:
        """Record the sending time of the next heartbeat round and return its number."""
        round_number = self._replication.round_number + 1
        self._sent_at[round_number] = self._state.now
        return round_number

    def confirm(self) -> None:
        """Advance to the newest round that a majority of the voters answered."""
        round_number = self._majority_round()
        if round_number <= self._confirmed_round:
            return
        self._confirmed_round = round_number
        self._confirmed_at = self._sent_at[round_number]
        self._state.quorum_stamp = QuorumStamp(self._state.term, round_number)
        for old_round in [known for known in self._sent_at if known < round_number]:
            del self._sent_at[old_round]

    def _majority_round(self) -> int:
        rounds = {
            voter: progress.acknowledged_round
            for voter, progress in self._replication.progress.items()
        }
        rounds[self._state.identity] = self._replication.round_number
        return self._state.reached_by_majorities(rounds)

    def revoke(self) -> None:
        """Give up the lease for the rest of the term."""
        self._revoked = True

    def is_valid(self) -> bool:
        """Tell whether no other leader can have been elected."""
        if self._revoked:
            return False
        return self._state.now < self._confirmed_at + self._state.timing.lease_s

    @property
    def confirmed_round(self) -> int:
        """The newest round that a majority of the voters answered; 0 for none."""
        return self._confirmed_round

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the confirmed round was sent, or since the leadership began if none was."""
        return self._state.now - max(self._confirmed_at, self.started_at)

    def quorum_lost(self) -> bool:
        """Tell whether no majority has answered for the maximum election timeout."""
        since = max(self._confirmed_at, self.started_at)
        return self._state.now > since + self._state.timing.election_timeout_maximum_s

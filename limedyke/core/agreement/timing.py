"""Times and limits of the agreement between controllers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AgreementTiming:
    """Times in seconds of each controller's own monotonic clock.

    :param heartbeat_interval_s: time between two heartbeat rounds of a leader
    :param election_timeout_minimum_s: a voter grants no vote for this long after contact with a
        leader
    :param election_timeout_maximum_s: a follower stands for election after at most this long
    :param clock_drift_bound: largest relative rate error of any controller's clock
    :param transfer_timeout_s: a leadership transfer that takes longer is abandoned
    :param snapshot_retry_s: an unanswered chunk of a snapshot is sent again after this long
    :param maximum_batch_entries: maximum entries in one message
    :param maximum_batch_bytes: payload bytes in one message; only a single larger entry may exceed
        it
    :param maximum_in_flight: maximum unanswered messages with entries to one follower
    :param maximum_pending_proposals: maximum proposals waiting for their commit
    :param maximum_payload_bytes: largest proposal
    :param snapshot_chunk_bytes: largest chunk of a snapshot in one message
    :param retained_entries: entries kept in memory behind a snapshot for slow followers
    """

    heartbeat_interval_s: float = 0.1
    election_timeout_minimum_s: float = 0.8
    election_timeout_maximum_s: float = 1.6
    clock_drift_bound: float = 0.01
    transfer_timeout_s: float = 2.0
    snapshot_retry_s: float = 0.4
    maximum_batch_entries: int = 256
    maximum_batch_bytes: int = 256 * 1024
    maximum_in_flight: int = 8
    maximum_pending_proposals: int = 4096
    maximum_payload_bytes: int = 1024 * 1024
    snapshot_chunk_bytes: int = 256 * 1024
    retained_entries: int = 512

    def __post_init__(self) -> None:
        if self.heartbeat_interval_s * 3 > self.election_timeout_minimum_s:
            raise ValueError("the shortest election timeout must span three heartbeats")
        if self.election_timeout_maximum_s <= self.election_timeout_minimum_s:
            raise ValueError("the longest election timeout must exceed the shortest")
        if not 0.0 <= self.clock_drift_bound < 0.5:
            raise ValueError("the clock drift bound must lie in [0, 0.5)")

    @property
    def pre_vote_retry_minimum_s(self) -> float:
        """Shortest time after which an unsuccessful pre-vote is repeated."""
        return self.election_timeout_minimum_s / 4

    @property
    def pre_vote_retry_maximum_s(self) -> float:
        """Longest time after which an unsuccessful pre-vote is repeated."""
        return self.election_timeout_minimum_s / 2

    @property
    def lease_s(self) -> float:
        """Duration of the leader's lease from the sending of a confirmed heartbeat round.

        A voter waits the minimum election timeout by its own clock, which lasts at least the
        timeout divided by ``1 + drift``; the leader's clock may run slow by ``1 - drift``.
        """
        drift = self.clock_drift_bound
        return self.election_timeout_minimum_s * (1.0 - drift) / (1.0 + drift)

"""What a leader knows about one other member."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Replication towards one member.

    :param next_index: the next entry to send
    :param match_index: the last entry known synced there
    :param acknowledged_round: the newest heartbeat round it answered; 0 for none
    :param last_response_at: when it last answered, by the leader's clock
    :param probing: wait for one answer before sending further entries
    :param in_flight: last indexes of sent and unanswered batches
    :param snapshot_index: index of the snapshot being sent; 0 when none is
    :param snapshot_offset: next byte of the snapshot to send
    :param snapshot_sent_at: when the last part with data was sent
    """

    next_index: int
    last_response_at: float
    match_index: int = 0
    acknowledged_round: int = 0
    probing: bool = True
    in_flight: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0
    snapshot_sent_at: float = float("-inf")

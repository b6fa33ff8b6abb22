"""A leader's replication progress towards one member."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Replication progress towards one member.

    :param next_index: the next entry to send
    :param last_response_at: time of the member's last response, by the leader's clock; the start of
        the leadership before the first
    :param has_responded: whether it has responded to this leadership
    :param match_index: the last entry known to be synced on the member
    :param acknowledged_round: the newest heartbeat round that the member answered; 0 for none
    :param probing: whether to wait for one response before sending further entries
    :param in_flight: number of batches that were sent and not answered
    :param snapshot_index: index of the snapshot being sent; 0 for none
    :param snapshot_offset: next byte of the snapshot to send
    :param snapshot_sent_at: when the last chunk with data was sent
    """

    next_index: int
    last_response_at: float
    match_index: int = 0
    has_responded: bool = False
    acknowledged_round: int = 0
    probing: bool = True
    in_flight: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0
    snapshot_sent_at: float = float("-inf")

"""Decides whether a change may be confirmed: only while enough controllers vote."""

from __future__ import annotations

from limedyke.controller.replica import Replica
from limedyke.result_codes import Failure, ResultCode

RETRY_AFTER_MS = 500
"""A controller that starts is a voter some tenths of a second after it is found."""


class VoterRequirement:
    """The least number of voters with which a confirmed change survives the losses to bear.

    A majority of ``2 n + 1`` voters holds a confirmed change. After the loss of any ``n`` disks a
    majority is left, and at least one of it holds the change. Voters that are down count: their
    loss is among those to bear.

    :param lost_disks_tolerated: number of disks that may be lost at once
    """

    def __init__(self, replica: Replica, lost_disks_tolerated: int) -> None:
        self._replica = replica
        self.voters = 2 * lost_disks_tolerated + 1

    def failure(self) -> Failure | None:
        """Return why no change may be confirmed at present, or None if it may."""
        configured = self._replica.agreement.smallest_voter_set
        if configured >= self.voters:
            return None
        detail = (
            f"{configured} of {self.voters} voters: add controllers, or lower the number of lost "
            "disks to tolerate."
        )
        return Failure(ResultCode.TOO_FEW_VOTERS, detail, RETRY_AFTER_MS)

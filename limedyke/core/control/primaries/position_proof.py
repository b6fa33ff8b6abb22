"""Proof that the remaining members hold all commits that members which left may have held.

A replica that leaves may have been the one whose copy a commit was acknowledged for.  While the
primary serves, its position after the departure bounds all such commits; once enough other members
hold that position, the departed one no longer counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke.messages.control import PositionReport
from limedyke.messages.work import LogPosition


@dataclass(slots=True)
class PositionProof:
    """Positions stated by a primary and its replicas since a member left.

    :param round_id: of the queries; reports of other rounds are ignored
    :param primary: the primary in office
    :param synchronous_replicas: how many other members have to hold its position
    :param up_to_index: index of the last departure that it covers
    """

    round_id: int
    primary: str
    synchronous_replicas: int
    up_to_index: int
    _bound: LogPosition | None = None
    _positions: dict[str, LogPosition] = field(default_factory=dict)

    def record(self, report: PositionReport) -> None:
        """Store a stated position; the primary's first one is the bound."""
        if report.round_id != self.round_id:
            return
        if report.member != self.primary:
            self._positions[report.member] = report.position
        elif self._bound is None:
            self._bound = report.position

    @property
    def is_complete(self) -> bool:
        """Whether enough members hold the primary's position."""
        if self._bound is None:
            return False
        holders = sum(position >= self._bound for position in self._positions.values())
        return holders >= self.synchronous_replicas

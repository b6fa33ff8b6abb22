"""One round of position queries: which members hold every acknowledged commit of a group.

In a group with ``synchronous_replicas`` a commit is acknowledged once the primary and that many
other members hold it.  Of all members that may hold one, any set that leaves out no more than
``synchronous_replicas`` members therefore contains a holder, and a log that is as long as the
longest one in the set lacks no acknowledged commit.  The replaced primary alone is such a set.

The sum only holds for positions stated after the last acknowledgement, so a round counts no
position that was stated before it began.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from limedyke.messages.control import PositionReport
from limedyke.messages.work import FIRST_POSITION, LogPosition


@dataclass(slots=True)
class PositionRound:
    """The positions stated in one round.

    :param round_id: of the queries; reports of other rounds are ignored
    :param counted: start times of the members that may hold an acknowledged commit, by identity,
        without the replaced primary; 0 where members do not report it
    :param replaced: the replaced primary; empty if it is not known
    :param replaced_started_at_ms: start time of the incarnation that was the primary; 0 if unknown
    :param synchronous_replicas: members beside the primary that hold each acknowledged commit
    :param departures: number of members that left and may be the only holders of a commit
    :param floor: the least position that a member needs in any case
    """

    round_id: int
    counted: Mapping[str, int]
    replaced: str
    replaced_started_at_ms: int
    synchronous_replicas: int
    departures: int
    floor: LogPosition
    _stated: dict[str, PositionReport] = field(default_factory=dict)

    @property
    def needed(self) -> int:
        """How many of the counted members have to state their position."""
        holders = len(self.counted) + bool(self.replaced) + self.departures
        return max(1, holders - self.synchronous_replicas)

    def record(self, report: PositionReport) -> None:
        """Store a stated position; that of a counted member that has lost its log is ignored.

        What the lost log held then stays known, and the member cannot be promoted.
        """
        if report.round_id != self.round_id or self._has_restarted(report):
            return
        known = self._stated.get(report.member, report)
        if known.started_at_ms != report.started_at_ms or known.position <= report.position:
            self._stated[report.member] = report

    def _has_restarted(self, report: PositionReport) -> bool:
        """Return whether a report is on another incarnation than the one that counts."""
        started_at_ms = self.counted.get(report.member, report.started_at_ms)
        if report.member == self.replaced:
            started_at_ms = self.replaced_started_at_ms or report.started_at_ms
        return report.started_at_ms != started_at_ms

    def position_of(self, member: str) -> LogPosition:
        """Return the position that a member stated; the first one if it stated none."""
        stated = self._stated.get(member)
        return stated.position if stated is not None else FIRST_POSITION

    def shortage(self) -> str:
        """Return what a promotion lacks, for the event log; empty if a member may be promoted."""
        if self.has_quorum:
            required = self._required(self._longest_counted())
            text = f"a member that has received {required.term}.{required.position}"
            return "" if self.holders() else text
        unanswered = sorted(self.counted.keys() - self._stated.keys())
        text = f"the log positions of {', '.join(unanswered) or 'other members'}"
        return f"{text}, or that of {self.replaced}" if self.replaced else text

    @property
    def has_quorum(self) -> bool:
        """Whether enough of the counted members have stated their position."""
        return len(self.counted.keys() & self._stated.keys()) >= self.needed

    @property
    def has_replaced_primary(self) -> bool:
        """Whether the replaced primary has stated its position."""
        return self.replaced in self._stated

    def holders(self) -> list[PositionReport]:
        """Return the reports of members that hold all acknowledged commits, by a quorum's word."""
        if not self.has_quorum:
            return []
        return self._at_least(self._longest_counted())

    def holders_by_replaced_primary(self) -> list[PositionReport]:
        """Return the reports of members that hold all that the replaced primary holds."""
        if not self.has_replaced_primary:
            return []
        return self._at_least(self.position_of(self.replaced))

    def _longest_counted(self) -> LogPosition:
        return max(self.position_of(name) for name in self.counted)

    def _required(self, position: LogPosition) -> LogPosition:
        return max(position, self.floor)

    def _at_least(self, position: LogPosition) -> list[PositionReport]:
        required = self._required(position)
        return [stated for stated in self._stated.values() if stated.position >= required]

"""The leader's failover state for one group."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from limedyke.core.control.primaries.group_reports import GroupReports

NEVER = float("inf")
UNDELAYED_FAILOVERS = 2
MAXIMUM_HOLD_FACTOR = 16.0


class Step(enum.StrEnum):
    """The step of a group in a failover or switchover."""

    WATCHED = "watched"
    DOUBTED = "doubted"
    WAITING = "waiting"
    GRANTING = "granting"
    ORDERED = "ordered"
    RECORDING = "recording"
    BACKING_OFF = "backing-off"
    PAUSING = "pausing"


@dataclass(slots=True)
class GroupFailoverState:
    """The leader's failover state for one group.

    :param deadline: when the current step times out
    :param doubted_at: when the current suspicion began
    :param failures: failed promotions since the last success
    :param executor: home proxy that has, or last had, the promotion order
    :param replaced: the primary that the current promotion replaces
    :param has_slot: holds a promotion slot, in total and at its executor
    :param planned: whether the last order was for a planned switchover
    :param failed_over_at: when the last failover of the group ended
    :param failovers: number of consecutive failovers less than ``calm_s`` apart
    :param paused: home proxies that have paused writes for a switchover
    """

    reports: GroupReports
    step: Step = Step.WATCHED
    deadline: float = NEVER
    doubted_at: float = 0.0
    failures: int = 0
    executor: str = ""
    replaced: str = ""
    has_slot: bool = False
    planned: bool = False
    failed_over_at: float = float("-inf")
    failovers: int = 0
    paused: set[str] = field(default_factory=set)

    def record_failover(self, now: float, calm_s: float) -> None:
        """Record the end of a failover."""
        calm = now - self.failed_over_at > calm_s
        self.failovers = 1 if calm else self.failovers + 1
        self.failed_over_at = now

    def hold_factor(self, now: float, calm_s: float) -> float:
        """Return the factor by which the hold time of a suspicion is extended.

        The first two failovers in a row are not delayed.  More of them within a short time indicate
        a problem that moving the primary does not solve, such as starved machines.
        """
        if now - self.failed_over_at > calm_s:
            return 1.0
        extra = max(0, self.failovers - UNDELAYED_FAILOVERS + 1)
        return min(2.0**extra, MAXIMUM_HOLD_FACTOR)

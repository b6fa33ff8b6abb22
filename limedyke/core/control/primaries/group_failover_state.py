"""The leader's care for one group: the step it stands at, and what belongs to it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from limedyke.core.control.primaries.group_reports import GroupReports

NEVER = float("inf")
FAILOVERS_AT_FULL_SPEED = 2
LONGEST_HOLD_FACTOR = 16.0


class Step(enum.StrEnum):
    """Where a group stands."""

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
    """The leader's care for one group.

    :param deadline: when the present step is looked at again
    :param doubted_at: when the present doubt began
    :param failures: promotions failed since the last success
    :param executor: home proxy that has, or had, the order
    :param replaced: the primary that the promotion under way replaces
    :param has_place: counted among the promotions under way, also at its executor
    :param planned: the order given last was of a planned move
    :param failed_over_at: when the last failover of the group ended
    :param failovers: how many followed each other without a calm between them
    :param paused: home proxies that have paused writes for a switchover
    """

    watch: GroupReports
    step: Step = Step.WATCHED
    deadline: float = NEVER
    doubted_at: float = 0.0
    failures: int = 0
    executor: str = ""
    replaced: str = ""
    has_place: bool = False
    planned: bool = False
    failed_over_at: float = float("-inf")
    failovers: int = 0
    paused: set[str] = field(default_factory=set)

    def failed_over(self, now: float, calm_s: float) -> None:
        """Note the end of a failover."""
        calm = now - self.failed_over_at > calm_s
        self.failovers = 1 if calm else self.failovers + 1
        self.failed_over_at = now

    def hold_factor(self, now: float, calm_s: float) -> float:
        """Return how much longer a doubt must last now.

        Two failovers in a row go at full speed.  More of them within a short time are a sign
        of trouble that moving the primary doesn't cure, such as starved machines.
        """
        if now - self.failed_over_at > calm_s:
            return 1.0
        extra = max(0, self.failovers - FAILOVERS_AT_FULL_SPEED + 1)
        return min(2.0**extra, LONGEST_HOLD_FACTOR)

"""A request that waits for room at a member."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")
AGEING_STEP_S = 1.0
"""Each so long wait lifts a request by one priority, so that nothing starves."""
LEAST_STEP_S = 0.001
"""A place changes no sooner: rounding must not have one looked at for ever."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request, and its place while it waits; times are seconds of a monotonic clock.

    :param tenant: whose it is; None for the process's own
    :param priority: 0 goes first
    :param arrived_at: when it came, also if it waited elsewhere since
    :param target_at: when its answer is late
    :param deadline_at: after that it is not worth being served
    :param cost_s: slot time charged in advance, corrected when the request finishes
    :ivar level: its priority, after ageing
    :ivar is_late: it can't meet its target any more
    :ivar number: tells those apart that are alike otherwise, in order of arrival
    """

    tenant: str | None
    priority: int
    arrived_at: float
    target_at: float = NEVER
    deadline_at: float = NEVER
    cost_s: float = 0.0
    level: int = 0
    is_late: bool = False
    number: int = 0
    is_waiting: bool = False

    def rank(self, now: float, service_s: float) -> float:
        """Set the level and whether it is late; return when either changes next.

        What was lifted beyond the first priority goes before those on time, too.

        :param service_s: how long it takes once it has its turn
        """
        lifted = int((now - self.arrived_at) / AGEING_STEP_S)
        self.level = max(0, self.priority - lifted)
        if lifted > self.priority:
            self.is_late = False
            return NEVER
        late_at = self.target_at - service_s
        self.is_late = late_at <= now
        lifts_at = self.arrived_at + (lifted + 1) * AGEING_STEP_S
        changes_at = lifts_at if self.is_late else min(lifts_at, late_at)
        return max(changes_at, now + LEAST_STEP_S)


def queue_sort_key(request: QueuedRequest) -> tuple[bool, float, float, int]:
    """Return the sort key among the requests of one tenant and level."""
    due_at = request.deadline_at
    if not request.is_late:
        due_at = min(due_at, request.target_at)
    return (request.is_late, due_at, request.arrived_at, request.number)

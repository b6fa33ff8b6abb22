"""A request that waits for a slot at a member."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")
AGEING_STEP_S = 1.0
"""Each such period of waiting raises a request by one priority, which prevents starvation."""
MIN_RERANK_S = 0.001
"""Shortest time until a request is ranked again, so that rounding cannot cause an endless loop."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request and its rank while it waits; times are seconds of a monotonic clock.

    :param tenant: the tenant that sent it; None for the proxy's own requests
    :param priority: 0 is the most urgent
    :param arrived_at: when it arrived, even if it has waited elsewhere since
    :param target_at: when its answer becomes late
    :param deadline_at: when it is no longer worth serving
    :param cost_s: slot time charged in advance, corrected when the request finishes
    :ivar level: priority after ageing
    :ivar is_late: whether it can no longer meet its target
    :ivar number: arrival number, which breaks ties
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
        """Update level and lateness; return when either changes next.

        A request raised beyond the first priority also precedes requests that are on time.

        :param service_s: expected service time
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
        return max(changes_at, now + MIN_RERANK_S)


def queue_sort_key(request: QueuedRequest) -> tuple[bool, float, float, int]:
    """Return the sort key among requests of the same tenant and level."""
    due_at = request.deadline_at
    if not request.is_late:
        due_at = min(due_at, request.target_at)
    return (request.is_late, due_at, request.arrived_at, request.number)

"""Use of one member's slots by tenants, and admission of new units; sans-IO."""

from __future__ import annotations

from limedyke.core import admission
from limedyke.core.group_view import MemberState

RECENT_TENANT_S = 2.0
TIME_SMOOTHING = 0.05
STALL_FACTOR = 2.0


class SlotUse:
    """Counts the units under way at a member by tenant, and maintains the member's load.

    :ivar state: the member's state in the group view
    """

    def __init__(self, state: MemberState) -> None:
        self.state = state
        self._running: dict[str, int] = {}
        self._last_used: dict[str, float] = {}
        self._total = 0
        self._mean_s = 0.0

    def set_slots(self, slots: int) -> None:
        """Set how many units may execute at once."""
        self.state.slots = slots
        self._set_limit()

    def has_room(self, now: float) -> bool:
        """Tell whether any tenant may start a unit."""
        return self._total < self._limit(now)

    def may_start(self, tenant: str, now: float) -> bool:
        """Tell whether a tenant may start a unit.

        If there are two or more slots, the last free one is reserved for tenants with no running
        unit, as long as another such tenant used the member recently.
        """
        free = self._limit(now) - self._total
        if free <= 0:
            return False
        if free > 1 or self.state.in_flight_limit == 1 or self._running.get(tenant, 0) == 0:
            return True
        return not any(
            now - used_at < RECENT_TENANT_S
            for other, used_at in self._last_used.items()
            if other != tenant and self._running.get(other, 0) == 0
        )

    def started(self, tenant: str, now: float) -> None:
        """Record the start of a unit."""
        self._running[tenant] = self._running.get(tenant, 0) + 1
        self._last_used[tenant] = now
        if self._total == 0:
            self.state.progress_at = now
        self._total += 1
        self.state.outstanding = self._total

    def finished(self, tenant: str, used_s: float, now: float) -> None:
        """Record that a unit ended after ``used_s``."""
        self._running[tenant] -= 1
        self._total -= 1
        self.state.progress_at = now
        self.state.outstanding = self._total
        self._mean_s += TIME_SMOOTHING * (used_s - self._mean_s) if self._mean_s else used_s
        self._set_limit()

    def _limit(self, now: float) -> int:
        """Return how many units may be under way; only the slots if none of them finishes."""
        stalled = now - self.state.progress_at > STALL_FACTOR * self._mean_s
        return self.state.slots if stalled else self.state.in_flight_limit

    def _set_limit(self) -> None:
        state = self.state
        state.in_flight_limit = admission.in_flight_limit(
            state.slots, self._mean_s, state.network_s
        )

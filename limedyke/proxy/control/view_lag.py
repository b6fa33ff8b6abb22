"""Tells when the applied view stays behind the leader's state, and for how long."""

from __future__ import annotations

from limedyke.event_log import EventLog

REPORTED_LAG_S = 1.0
"""A view that is behind for longer is logged; updates usually arrive within a few tenths."""
EVENTS = EventLog("control_client")


class ViewLag:
    """Compares the applied view with the control index that the leader's answers carry.

    Times are seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._leader_index = 0
        self._applied_index = 0
        self._behind_since: float | None = None
        self._is_reported = False

    def seconds(self, now: float) -> float:
        """Return for how long the view has been behind; 0 if it is not, as far as is known."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def leader_at(self, control_index: int, now: float) -> None:
        """Record the control index of the leader's state."""
        self._leader_index = max(self._leader_index, control_index)
        self._check(now)

    def applied(self, control_index: int, now: float) -> None:
        """Record the control index of the applied view."""
        self._applied_index = control_index
        self._check(now)

    def _check(self, now: float) -> None:
        if self._applied_index >= self._leader_index:
            if self._is_reported:
                EVENTS.info(
                    "view-caught-up",
                    applied=self._applied_index,
                    after_s=round(self.seconds(now), 3),
                )
            self._behind_since, self._is_reported = None, False
            return
        if self._behind_since is None:
            self._behind_since = now
        elif not self._is_reported and self.seconds(now) > REPORTED_LAG_S:
            self._is_reported = True
            EVENTS.warning(
                "view-behind",
                applied=self._applied_index,
                leader=self._leader_index,
                for_s=round(self.seconds(now), 3),
            )

"""Controllers that announced themselves to the leader and wait to be added to the cluster."""

from __future__ import annotations

from collections.abc import Collection

from limedyke.core.agreement.voter_policy import WaitingController
from limedyke.messages.agreement import ControllerIdentity

ANNOUNCEMENT_INTERVAL_S = 0.3
"""Announcement interval of a controller that waits alone; short, so that a controller that lost its
disk is replaced soon."""
ANNOUNCEMENT_COST_S = 0.02
"""The announcement interval grows by this for each waiting controller, so that the leader receives
at most fifty announcements a second."""
ANNOUNCEMENT_AGE_S = 3.0
"""A controller counts as waiting for at least this long after its last announcement, whatever its
interval."""


class WaitingControllers:
    """The waiting controllers by name; those that stop announcing themselves are removed."""

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingController] = {}

    def all(self) -> Collection[WaitingController]:
        """Return the waiting controllers."""
        return self._waiting.values()

    def find(self, name: str) -> WaitingController:
        """Return the waiting controller of a name.

        :raises KeyError: if it does not wait
        """
        return self._waiting[name]

    @property
    def interval_s(self) -> float:
        """Interval at which each should announce itself; it grows with their number."""
        return _interval_s(len(self._waiting))

    def record(self, identity: ControllerIdentity, address: str, now: float) -> None:
        """Record an announcement, and remove the controllers that stopped announcing themselves.

        :param now: seconds of the leader's clock
        """
        interval_s = _interval_s(len(self._waiting) + 1)
        self._waiting[identity.name] = WaitingController(identity, address, now, interval_s)
        for name, controller in list(self._waiting.items()):
            if not controller.is_present(now, ANNOUNCEMENT_AGE_S):
                del self._waiting[name]


def _interval_s(count: int) -> float:
    return max(ANNOUNCEMENT_INTERVAL_S, count * ANNOUNCEMENT_COST_S)

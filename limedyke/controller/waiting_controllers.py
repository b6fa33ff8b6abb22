"""Controllers that wait to be added to the cluster, as the leader hears them."""

from __future__ import annotations

from collections.abc import Collection

from limedyke.core.agreement.voter_policy import WaitingController
from limedyke.messages.agreement import ControllerIdentity

ANNOUNCEMENT_INTERVAL_S = 0.3
"""Between two announcements of one that waits alone: soon enough for a lost disk's successor."""
ANNOUNCEMENT_COST_S = 0.02
"""Time for which the leader asks each waiting controller to leave it to the others: it hears at
most fifty of them a second."""
ANNOUNCEMENT_AGE_S = 3.0
"""A controller that announced itself so lately counts as waiting, whatever its interval."""


class WaitingControllers:
    """Those that wait, by name, forgotten when they announce themselves no more."""

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingController] = {}

    def all(self) -> Collection[WaitingController]:
        """Return those that wait."""
        return self._waiting.values()

    def find(self, name: str) -> WaitingController:
        """Return the one of a name.

        :raises KeyError: when it does not wait
        """
        return self._waiting[name]

    @property
    def interval_s(self) -> float:
        """After which each should announce itself again: the later the more there are."""
        return _interval_s(len(self._waiting))

    def note(self, identity: ControllerIdentity, address: str, now: float) -> None:
        """Note an announcement, and forget those that are heard no more.

        :param now: seconds of the leader's clock
        """
        interval_s = _interval_s(len(self._waiting) + 1)
        self._waiting[identity.name] = WaitingController(identity, address, now, interval_s)
        for name, controller in list(self._waiting.items()):
            if not controller.is_present(now, ANNOUNCEMENT_AGE_S):
                del self._waiting[name]


def _interval_s(count: int) -> float:
    return max(ANNOUNCEMENT_INTERVAL_S, count * ANNOUNCEMENT_COST_S)

"""Ends of proxy processes, from which a new leader derives since when all use is known; sans-IO.

After a power loss of all processes nobody knows what ran before.  A proxy that starts anew proves
that the process it replaces had ended by then.
"""

from __future__ import annotations

from collections.abc import Set


class ProcessEnds:
    """Ends of proxy processes as proved by their successors; seconds of a steady clock."""

    def __init__(self) -> None:
        self._successors: set[str] = set()
        self._started_at: dict[str, float] = {}
        self._ended_at = float("-inf")

    def ended(self, now: float, successor: str) -> None:
        """Record that a process has ended.

        :param successor: the proxy that replaced it; empty if the process ended just now
        """
        if successor:
            self._successors.add(successor)
        else:
            self._ended_at = max(self._ended_at, now)

    def started(self, proxy: str, at: float) -> None:
        """Record when a proxy's process started; its report covers all use since then."""
        self._started_at.setdefault(proxy, at)

    def since(self, contacted: Set[str]) -> float | None:
        """Return a moment by which all processes known to have ended had surely ended.

        :param contacted: proxies that have contacted the leader
        :returns: None if one of them has not reported its use, or no end is proved
        """
        if not self._successors or not contacted | self._successors <= self._started_at.keys():
            return None
        starts = [self._started_at[proxy] for proxy in self._successors]
        return max([self._ended_at, *starts])

"""Since when nothing can have run that a new leader does not know; sans-IO.

Answers a loss of power of all processes: nobody is left who knows what ran before, but each proxy
that starts anew shows that the one in its place before had ended by then.
"""

from __future__ import annotations

from collections.abc import Set


class ProcessEnds:
    """Ends of proxies' processes, as their successors prove them; seconds of a steady clock."""

    def __init__(self) -> None:
        self._successors: set[str] = set()
        self._started_at: dict[str, float] = {}
        self._ended_at = float("-inf")

    def ended(self, now: float, successor: str) -> None:
        """Note that a process has ended.

        :param successor: the proxy in its place; empty when it ended just now
        """
        if successor:
            self._successors.add(successor)
        else:
            self._ended_at = max(self._ended_at, now)

    def started(self, proxy: str, at: float) -> None:
        """Note when a proxy's process started, and so that it has told what it ran since."""
        self._started_at.setdefault(proxy, at)

    def since(self, heard: Set[str]) -> float | None:
        """Return when all that are known to have ended surely had.

        :param heard: proxies that came to the leader
        :returns: None while one of them has not told what it ran, or where nothing proves an end
        """
        if not self._successors or not heard | self._successors <= self._started_at.keys():
            return None
        starts = [self._started_at[proxy] for proxy in self._successors]
        return max([self._ended_at, *starts])

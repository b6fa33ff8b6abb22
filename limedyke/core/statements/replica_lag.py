"""Lag of a replica behind its primary, and when it will reach a position; sans-IO.

Replicas may lag for seconds while many reads require recent positions.  Each answer of a replica
contains its log position; comparing it with the primary's history gives the lag.  A read goes to a
replica that should have reached its position, waits briefly for one that soon will, and does not
ask one that cannot have it yet.  Concurrent reads do not probe the same lag repeatedly: the time
until the next attempt follows from the age of the missing position.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from limedyke.messages.work import LogPosition

MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
"""A lagging replica is asked again after this time at the latest, since nothing else shows that its
lag has ended."""
DECREASE_WEIGHT = 0.2
"""Weight of a shorter lag. Lag varies, so the estimate decreases slowly."""
PAUSE_SHARE = 0.5
"""Pause before the next attempt, relative to how long the replica has lagged. A log that is late by
some time takes about as long to arrive, and a replica that has stopped is asked less and less."""


@dataclass(slots=True)
class ReplicaLag:
    """The lag of one replica; times are seconds of a monotonic clock.

    :ivar lag_s: recent lag of its log
    """

    lag_s: float = 0.0
    _answered_at: float = -math.inf
    _lacked: LogPosition | None = None
    _lacking_since: float = math.inf
    _next_at: float = -math.inf

    def told(
        self,
        position: LogPosition,
        held_since: float | None,
        passed_at: float | None,
        now: float,
    ) -> None:
        """Record a position that it reported; its lag is at most the age of that position.

        :param held_since: when the primary reached that position; None if unknown
        :param passed_at: when the primary went beyond it, which bounds the lag from below; None if
            the primary is not known to have done so
        """
        self._answered_at = now
        if held_since is not None and now - held_since < self.lag_s:
            self.lag_s += DECREASE_WEIGHT * (now - held_since - self.lag_s)
        if passed_at is not None:
            self.lag_s = max(self.lag_s, now - passed_at)
        if self._lacked is not None and position >= self._lacked:
            self._lacked = None
            self._lacking_since = math.inf

    def lacked(self, required: LogPosition, held_since: float | None, now: float) -> None:
        """Record that its log lacked a required position.

        :param held_since: when the primary reached that position; None if unknown
        """
        age_s = 0.0 if held_since is None else max(0.0, now - held_since)
        self._answered_at = now
        self._lacked = required if self._lacked is None else min(self._lacked, required)
        self._lacking_since = min(self._lacking_since, now)
        self.lag_s = max(self.lag_s, age_s + MIN_PAUSE_S)
        behind_s = max(age_s, now - self._lacking_since)
        self._next_at = now + min(max(MIN_PAUSE_S, PAUSE_SHARE * behind_s), MAX_PAUSE_S)

    def asked(self, until: float) -> None:
        """Record that a read it may have to refuse was sent; other reads await its answer."""
        if self._lacked is not None:
            self._next_at = max(self._next_at, until)

    def ready_in_s(self, required: LogPosition, held_since: float | None, now: float) -> float:
        """Return the expected time until it reaches a position; 0 if it may have done so.

        :param held_since: when the primary reached that position; None if unknown
        """
        expected_at = (now if held_since is None else held_since) + self.lag_s
        ready_at = min(expected_at, self._answered_at + MAX_PAUSE_S)
        if self._lacked is not None and required >= self._lacked:
            ready_at = max(ready_at, self._next_at)
        return max(0.0, ready_at - now)

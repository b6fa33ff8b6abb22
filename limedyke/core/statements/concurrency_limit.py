"""Limit of one proxy's concurrent requests at one member; sans-IO.

Several home proxies, each with a lease of several connections, may send a burst to a member with
few slots and a short queue.  Together their leases exceed both.  The member then refuses work by
order of arrival, and urgent requests wait among others.  With this limit the excess waits at the
proxies, ordered by priority.

Everything that uses a slot counts: statements, commits, queries and openings of connections.  A
client that is idle in a transaction uses none.

The limit drops at once by a factor when answers take far longer at the member than at best, or when
the member refuses work or is silent.  It grows by one at a time while it is in use and answers are
fast.  It never exceeds what fills all slots of the member.  This bounds the sum over home proxies
without coordination: leases bound who may send, and a new or isolated proxy starts with the same
few and never has more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MIN_LIMIT = 1
"""With a lower limit a proxy would never observe that the member is fast again."""
START_SHARE = 8.0
"""The home proxies together start with this many times the slots, each with at most all slots. In
normal operation the limit holds nothing back, and a first burst fits a member's usual queue."""
SLOW_SHARE = 3.0
"""Slow answers alone leave the home proxies this many times the slots together. The slots stay in
use, and a proxy that is itself slow does not throttle itself completely."""
TOLERATED_SLOWNESS = 4.0
"""The limit drops when answers take more than this many times the best time. At that point all
slots are in use and three times as many requests wait."""
EASY_SLOWNESS = 2.5
"""Below this slowness a limit that is fully used may grow."""
SLOW_FACTOR = 0.7
TURNED_AWAY_FACTOR = 0.5
SLOWNESS_WEIGHT = 0.15
"""Weight of a new answer: several slow ones in a row are decisive, a single one is not."""
MAX_SLOWNESS = 8.0
"""Upper bound of a single answer's slowness: a retransmitted segment says nothing of the member."""
BATCH = 16
"""Answers averaged into one sample. For varying work the fastest single answer does not represent
the usual time."""
CALM_SPREAD = 1.5
FIRST_BATCHES = 2
SLOW_BATCHES = 2
BEST_TIME_GROWTH_PER_S = 0.02
"""The best time grows by this share per second, so that a member that became permanently slower is
not compared with its past."""
MIN_TIME_S = 0.001
"""Shorter times are noise of the clock and of this process."""


@dataclass(slots=True)
class _BestTime:
    """Lowest recent mean time of one kind of work, in seconds.

    The first answers may arrive while the member is overloaded.  Until several batches are
    complete, or the mean of one is close to the fastest answer, the fastest answer is used.  The
    best time follows a member that stays slow although little is sent to it: such a member is not
    overloaded but slow or of varying speed, and its slots should still be used.
    """

    seconds: float = math.inf
    _changed_at: float = 0.0
    _sum_s: float = 0.0
    _count: int = 0
    _slow_batches: int = 0
    _batches: int = 0
    _least_mean_s: float = math.inf
    _is_settled: bool = False

    def learn(self, seconds: float, now: float, is_slow_at_least: bool) -> None:
        """Record the time of one answer.

        :param is_slow_at_least: whether the member is slow although the limit is at its minimum
        """
        if not self._is_settled:
            self.seconds = min(self.seconds, seconds)
        self._sum_s += seconds
        self._count += 1
        if self._count < BATCH:
            return
        mean_s = self._sum_s / self._count
        self._sum_s, self._count = 0.0, 0
        self._slow_batches = self._slow_batches + 1 if is_slow_at_least else 0
        if self._slow_batches >= SLOW_BATCHES:
            self._is_settled = True
            self.seconds = (self.seconds + mean_s) / 2
        elif self._is_settled:
            grown_s = self.seconds * (1.0 + BEST_TIME_GROWTH_PER_S * (now - self._changed_at))
            self.seconds = min(mean_s, grown_s)
        else:
            self._settle(mean_s)
        self._changed_at = now

    def _settle(self, mean_s: float) -> None:
        self._batches += 1
        self._least_mean_s = min(self._least_mean_s, mean_s)
        if self._batches >= FIRST_BATCHES or mean_s <= CALM_SPREAD * self.seconds:
            self._is_settled = True
            self.seconds = self._least_mean_s


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit of one proxy at one member; times are seconds of a monotonic clock.

    :param capacity: number of statements that the member executes at once
    :param proxies: number of home proxies that send to it, including this one
    :ivar turned_away_count: number of refusals for lack of room
    :ivar last_fall: reason of the last reduction, for the log
    """

    capacity: int
    proxies: int = 1
    turned_away_count: int = 0
    last_fall: str = ""
    _limit: float = field(init=False)
    _best: dict[str, _BestTime] = field(default_factory=dict)
    _network_s: float = math.inf
    _slowness: float = 1.0
    _reduced_at: float = -math.inf

    def __post_init__(self) -> None:
        """Start with a share of the member's slots."""
        self._limit = self.start

    @property
    def limit(self) -> int:
        """The number of requests that may be under way at once."""
        return max(MIN_LIMIT, int(self._limit))

    @property
    def slowness(self) -> float:
        """Recent time of answers relative to the best time."""
        return self._slowness

    def has_room(self, under_way: int) -> bool:
        """Tell whether one more request may be sent with ``under_way`` of them under way."""
        return under_way < self.limit

    def set_proxies(self, proxies: int) -> None:
        """Set the number of home proxies, and change the limit in proportion."""
        proxies = max(1, proxies)
        if proxies == self.proxies:
            return
        before = self.start
        self.proxies = proxies
        self._set(self._limit * self.start / before)

    def connected(self, seconds: float) -> None:
        """Record a round trip of the network, which uses no slot."""
        self._network_s = min(self._network_s, seconds)

    def answered(self, kind: str, seconds: float, under_way: int, now: float) -> None:
        """Record the time of an answer, network included.

        :param kind: kind of work; each has its own best time
        :param under_way: requests under way, including this one
        """
        best = self._best.setdefault(kind, _BestTime())
        is_least = self.limit <= self._share_of(SLOW_SHARE)
        best.learn(seconds, now, is_least and self._slowness > TOLERATED_SLOWNESS)
        slowness = min(self._at_member(seconds) / self._at_member(best.seconds), MAX_SLOWNESS)
        self._slowness += SLOWNESS_WEIGHT * (slowness - self._slowness)
        if self._slowness > TOLERATED_SLOWNESS:
            self._reduce("slow", self._after_slow(), seconds, now)
        elif self._slowness < EASY_SLOWNESS and under_way >= self.limit:
            self._set(self._limit + 1.0 / self._limit)

    def turned_away(self, seconds: float, now: float) -> None:
        """Record that the member had no room for a request sent ``seconds`` ago."""
        self.turned_away_count += 1
        self._reduce("turned-away", self._limit * TURNED_AWAY_FACTOR, seconds, now)

    def unanswered(self, seconds: float, now: float) -> None:
        """Record a silence after which the member seems to hang."""
        self._reduce("silent", self._limit * TURNED_AWAY_FACTOR, seconds, now)

    def _after_slow(self) -> float:
        """Return the limit after slow answers; a limit that is already lower is kept."""
        least = min(self._limit, self._share_of(SLOW_SHARE))
        return max(least, self._limit * SLOW_FACTOR)

    def _reduce(self, reason: str, limit: float, seconds: float, now: float) -> None:
        """Lower the limit, at most once for all requests that were under way together."""
        if now - seconds < self._reduced_at:
            return
        self._reduced_at = now
        self.last_fall = reason
        self._set(limit)

    def _set(self, limit: float) -> None:
        self._limit = max(float(MIN_LIMIT), min(limit, self._max_limit()))

    @property
    def start(self) -> float:
        """The initial limit."""
        return self._share_of(START_SHARE)

    def _share_of(self, times: float) -> float:
        """Return this proxy's part of ``times`` the member's slots, at most all slots."""
        share = math.ceil(times * self.capacity / self.proxies)
        return float(max(MIN_LIMIT, min(share, self.capacity)))

    def _max_limit(self) -> float:
        """Return the limit that fills all slots, including requests that are on the network."""
        known_s = [best.seconds for best in self._best.values()]
        quickest_s = min(known_s, default=MIN_TIME_S)
        travel = quickest_s / self._at_member(quickest_s)
        return max(float(MIN_LIMIT), math.ceil(self.capacity * travel))

    def _at_member(self, seconds: float) -> float:
        network_s = self._network_s if math.isfinite(self._network_s) else 0.0
        return max(MIN_TIME_S, seconds - network_s)

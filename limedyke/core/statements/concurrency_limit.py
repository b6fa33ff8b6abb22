"""How much this proxy has under way at one member at once; sans-IO.

Load answered: seven home proxies, each with a lease of several connections, send a burst to a
member of a few slots and a short queue of its own. Together their leases exceed both, so the member
turns work away by order of arrival, while what is urgent waits among what is not. With this limit
what is too much waits at the proxies, by priority.

What counts is whatever holds a slot: statements, commits, questions and openings of connections. A
client that rests inside a transaction holds none.

The limit follows what is seen. It falls at once, by a factor, when answers take far longer at the
member than they do at best, when it turns work away or tells nothing, and comes back one by one
while it is used and answers are quick. It is never above what fills all slots of the member, so the
sum over home proxies is bounded without a word among them: leases bound who sends at all, and a
proxy that is new or cut off begins with, and has at most, the same few.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

LEAST_LIMIT = 1
"""Less would leave a proxy without a sign that the member is quick again."""
START_SHARE = 8.0
"""Home proxies begin with so many times the slots among them, and none with more than all slots: in
calm hours the limit holds nothing back, and a first burst fits a member's usual queue."""
SLOW_SHARE = 3.0
"""Slow answers alone leave the home proxies so many times the slots among them: the slots stay in
use, and a proxy that is slow itself can't talk itself out of serving."""
TOLERATED_SLOWNESS = 4.0
"""An answer may take so many times its best before the limit falls: the slots are in use then, and
three times as many requests wait."""
EASY_SLOWNESS = 2.5
"""Below this a limit that is used may grow."""
SLOW_FACTOR = 0.7
TURNED_AWAY_FACTOR = 0.5
SLOWNESS_WEIGHT = 0.15
"""Of a new answer: a few slow ones in a row are believed, a single one isn't."""
MOST_SLOWNESS = 8.0
"""A single answer counts as no slower: a segment that is sent again says nothing of the member."""
BATCH = 16
"""Answers whose mean counts as one sample: the quickest single answer of work that varies says
nothing of how long it takes as a rule."""
CALM_SPREAD = 1.5
FIRST_BATCHES = 2
SLOW_BATCHES = 2
FORGOTTEN_PER_S = 0.02
"""The best grows by so much of itself a second: a member that got slower for good is not held to
what it was."""
LEAST_TIME_S = 0.001
"""Shorter times are noise of the clock and of this process."""


@dataclass(slots=True)
class _BestTime:
    """The least mean time of one kind of work lately, in seconds.

    The first answers may come while the member is crowded: until some batches are whole, or one is
    hardly slower than the quickest answer, the quickest one stands for the best. It follows a
    member that stays slow though hardly anything is sent there: that one is not crowded, it works
    slowly, or its times vary, and its slots are to be used all the same.
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
        """Take how long one took.

        :param is_slow_at_least: the member is slow though the limit is at its least
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
            grown_s = self.seconds * (1.0 + FORGOTTEN_PER_S * (now - self._changed_at))
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

    :param capacity: statements that the member executes at once
    :param proxies: home proxies that send to it, this one included
    :ivar turned_away_count: answers by which the member said that it has no room
    :ivar last_fall: why the limit fell last, for the log
    """

    capacity: int
    proxies: int = 1
    turned_away_count: int = 0
    last_fall: str = ""
    _limit: float = field(init=False)
    _best: dict[str, _BestTime] = field(default_factory=dict)
    _network_s: float = math.inf
    _slowness: float = 1.0
    _fell_at: float = -math.inf

    def __post_init__(self) -> None:
        """Begin with a share of the member's slots."""
        self._limit = self.start

    @property
    def limit(self) -> int:
        """How much may be under way at once."""
        return max(LEAST_LIMIT, int(self._limit))

    @property
    def slowness(self) -> float:
        """How many times longer than at best answers take lately."""
        return self._slowness

    def has_room(self, under_way: int) -> bool:
        """Tell whether one more may be sent while so much is under way."""
        return under_way < self.limit

    def set_proxies(self, proxies: int) -> None:
        """Take how many home proxies send to the member: the limit changes in proportion."""
        proxies = max(1, proxies)
        if proxies == self.proxies:
            return
        before = self.start
        self.proxies = proxies
        self._set(self._limit * self.start / before)

    def connected(self, seconds: float) -> None:
        """Take how long the network took there and back: it holds no slot."""
        self._network_s = min(self._network_s, seconds)

    def answered(self, kind: str, seconds: float, under_way: int, now: float) -> None:
        """Take how long an answer took, the network included.

        :param kind: of work; each has a best time of its own
        :param under_way: how much was under way, this one included
        """
        best = self._best.setdefault(kind, _BestTime())
        is_least = self.limit <= self._share_of(SLOW_SHARE)
        best.learn(seconds, now, is_least and self._slowness > TOLERATED_SLOWNESS)
        slowness = min(self._at_member(seconds) / self._at_member(best.seconds), MOST_SLOWNESS)
        self._slowness += SLOWNESS_WEIGHT * (slowness - self._slowness)
        if self._slowness > TOLERATED_SLOWNESS:
            self._fall("slow", self._after_slow(), seconds, now)
        elif self._slowness < EASY_SLOWNESS and under_way >= self.limit:
            self._set(self._limit + 1.0 / self._limit)

    def turned_away(self, seconds: float, now: float) -> None:
        """Take that the member had no room for something sent ``seconds`` ago."""
        self.turned_away_count += 1
        self._fall("turned-away", self._limit * TURNED_AWAY_FACTOR, seconds, now)

    def unanswered(self, seconds: float, now: float) -> None:
        """Take that nothing came for so long that the member seems to hang."""
        self._fall("silent", self._limit * TURNED_AWAY_FACTOR, seconds, now)

    def _after_slow(self) -> float:
        """Return the limit after slow answers; one that is low for another reason stays."""
        least = min(self._limit, self._share_of(SLOW_SHARE))
        return max(least, self._limit * SLOW_FACTOR)

    def _fall(self, reason: str, limit: float, seconds: float, now: float) -> None:
        """Lower the limit, once for all that was under way together."""
        if now - seconds < self._fell_at:
            return
        self._fell_at = now
        self.last_fall = reason
        self._set(limit)

    def _set(self, limit: float) -> None:
        self._limit = max(float(LEAST_LIMIT), min(limit, self._most()))

    @property
    def start(self) -> float:
        """The limit to begin with."""
        return self._share_of(START_SHARE)

    def _share_of(self, times: float) -> float:
        """Return this proxy's part of so many times the member's slots, all slots at most."""
        share = math.ceil(times * self.capacity / self.proxies)
        return float(max(LEAST_LIMIT, min(share, self.capacity)))

    def _most(self) -> float:
        """Return what fills all slots of the member: more of them while much is on its way."""
        known_s = [best.seconds for best in self._best.values()]
        quickest_s = min(known_s, default=LEAST_TIME_S)
        travel = quickest_s / self._at_member(quickest_s)
        return max(float(LEAST_LIMIT), math.ceil(self.capacity * travel))

    def _at_member(self, seconds: float) -> float:
        network_s = self._network_s if math.isfinite(self._network_s) else 0.0
        return max(LEAST_TIME_S, seconds - network_s)

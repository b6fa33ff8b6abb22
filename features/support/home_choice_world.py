"""Simulates many proxies that choose home proxies, on virtual time and without a network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from limedyke.core.home_choice import HomeCandidate, ReportedLoads, choose_home
from limedyke.messages.statements import HomeLoad

PROXIES = 68
HOMES = 9
ZONES = 6
REGIONS = 3
CONNECTIONS = 6
SERVICE_S = 0.03
GROUP = "g"
NEAR_S = 0.002
SAME_REGION_S = 0.005
FAR_S = 0.04
"""Round trip times within a zone, within a region and between regions."""
SAMPLE_INTERVAL_S = 0.01


@dataclass
class _Home:
    """A home proxy with its running and waiting units."""

    zone: int
    under_way: int = 0
    waiting: deque = field(default_factory=deque)
    lengths: list[int] = field(default_factory=list)

    @property
    def expected_wait_s(self) -> float:
        """The wait of a unit that arrived now."""
        if self.under_way < CONNECTIONS:
            return 0.0
        return (len(self.waiting) + 1) * SERVICE_S / CONNECTIONS


@dataclass(frozen=True)
class _Served:
    """A served unit: when it was sent, how long it waited, and whether in another region."""

    at: float
    wait_s: float
    is_far: bool


class ChoiceWorld:
    """Simulates the units of all proxies, their routing and their waits."""

    def __init__(self, seed: int = 1) -> None:
        self.generator = random.Random(seed)
        self.now = 0.0
        self.homes = {f"h{n}": _Home(n % ZONES) for n in range(HOMES)}
        self.loads = [ReportedLoads() for _ in range(PROXIES)]
        self.served: list[_Served] = []
        self._events: list = []
        self._number = itertools.count()

    def run(self, seconds: float, rates: tuple[float, ...]) -> None:
        """Advance the clock.

        :param rates: units per second of each region
        """
        end = self.now + seconds
        for region, rate in enumerate(rates):
            at = self.now
            while (at := at + self.generator.expovariate(rate)) < end:
                self._at(at, self._send, self._proxy_in(region))
        looks = int(seconds / SAMPLE_INTERVAL_S)
        for look in range(looks):
            self._at(self.now + look * SAMPLE_INTERVAL_S, self._sample)
        while self._events and self._events[0][0] < end:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        self.now = end

    def _at(self, at, act, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._number), act, arguments))

    def _proxy_in(self, region: int) -> int:
        """Return a random proxy of a region; proxy p is in zone p modulo the number of zones."""
        number = self.generator.randrange(PROXIES)
        return number - (number % REGIONS) + region if number < PROXIES - 2 else region

    def _sample(self) -> None:
        for home in self.homes.values():
            home.lengths.append(len(home.waiting))

    def _travel_s(self, proxy: int, home: _Home) -> float:
        zone = proxy % ZONES
        if zone == home.zone:
            return NEAR_S
        return SAME_REGION_S if zone % REGIONS == home.zone % REGIONS else FAR_S

    def _send(self, proxy: int) -> None:
        loads = self.loads[proxy]
        candidates = [
            HomeCandidate(
                name,
                self._travel_s(proxy, home),
                loads.wait_s(name, GROUP, 0, True, self.now),
            )
            for name, home in self.homes.items()
        ]
        candidates.sort(key=lambda home: (home.travel_s, (int(home.name[1:]) + proxy) % HOMES))
        chosen = choose_home(candidates, self.generator)
        self._at(self.now + chosen.travel_s / 2, self._arrive, proxy, chosen.name, self.now)

    def _arrive(self, proxy: int, name: str, sent_at: float) -> None:
        home = self.homes[name]
        unit = (proxy, name, sent_at, self.now)
        if home.under_way < CONNECTIONS:
            self._begin(unit)
        else:
            home.waiting.append(unit)

    def _begin(self, unit: tuple) -> None:
        proxy, name, sent_at, came_at = unit
        home = self.homes[name]
        home.under_way += 1
        is_far = self._travel_s(proxy, home) == FAR_S
        self.served.append(_Served(sent_at, self.now - came_at, is_far))
        self._at(self.now + SERVICE_S, self._end, unit)

    def _end(self, unit: tuple) -> None:
        proxy, name, _, _ = unit
        home = self.homes[name]
        home.under_way -= 1
        if home.waiting:
            self._begin(home.waiting.popleft())
        wait_ms = int(home.expected_wait_s * 1_000)
        load = HomeLoad((wait_ms,), (wait_ms,)) if wait_ms else None
        back_at = self.now + self._travel_s(proxy, home) / 2
        self._at(back_at, self._answer, proxy, name, load)

    def _answer(self, proxy: int, name: str, load: HomeLoad | None) -> None:
        self.loads[proxy].told(name, GROUP, load, self.now)

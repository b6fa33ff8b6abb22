"""Measures when revisions come into force at each proxy, using one thread per proxy."""

from __future__ import annotations

import threading
import time
from bisect import bisect_left
from dataclasses import dataclass, field

from limedyke_lab.fleet.revisions import RevisionProbe
from limedyke_lab.fleet.topology import Node

POLL_S = 0.05


@dataclass
class _Seen:
    """Revisions of one proxy in increasing order, and when each was first observed."""

    revisions: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    went_back: int = 0

    def add(self, revision: int, now: float) -> None:
        last = self.revisions[-1] if self.revisions else 0
        if revision > last:
            self.revisions.append(revision)
            self.times.append(now)
        elif 0 < revision < last:
            self.went_back += 1

    def reached_at(self, revision: int) -> float:
        """Return when this or a later revision was first observed; infinity if never."""
        position = bisect_left(self.revisions, revision)
        return self.times[position] if position < len(self.times) else float("inf")


class RevisionRiseTimer:
    """Polls the revisions of proxies for the duration of a ``with`` block.

    Reported times are late by up to one poll interval, never early.
    """

    def __init__(self, nodes: tuple[Node, ...]) -> None:
        self._seen = {node.name: _Seen() for node in nodes}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._follow, args=(node,), daemon=True) for node in nodes
        ]

    def __enter__(self) -> RevisionRiseTimer:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    @property
    def went_back(self) -> int:
        """Number of times a proxy reported an older revision than before."""
        return sum(seen.went_back for seen in self._seen.values())

    def reached_at(self, revision: int) -> float:
        """Return when a revision was in force at every proxy; infinity if it is not yet."""
        return max(seen.reached_at(revision) for seen in self._seen.values())

    def wait_for(self, revision: int, timeout_s: float) -> float:
        """Wait until a revision is in force at every proxy; return when, infinity on timeout."""
        deadline = time.monotonic() + timeout_s
        while self.reached_at(revision) == float("inf") and time.monotonic() < deadline:
            time.sleep(POLL_S)
        return self.reached_at(revision)

    def _follow(self, node: Node) -> None:
        probe = RevisionProbe(node)
        seen = self._seen[node.name]
        while not self._stop.wait(POLL_S):
            seen.add(probe.revision(), time.monotonic())

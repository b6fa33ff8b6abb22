"""Virtual time and the network between simulated controllers."""

from __future__ import annotations

import heapq
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from limedyke.core.agreement.timing import AgreementTiming
from limedyke.messages.agreement import AgreementMessage, ControllerIdentity
from limedyke_lab.agreement_simulation.checkers import AgreementCheckers


def _default_timing() -> AgreementTiming:
    return AgreementTiming(
        heartbeat_interval_s=0.1,
        election_timeout_minimum_s=0.5,
        election_timeout_maximum_s=1.0,
        clock_drift_bound=0.02,
        transfer_timeout_s=0.6,
        maximum_batch_entries=4,
        snapshot_chunk_bytes=128,
        retained_entries=4,
    )


@dataclass(frozen=True, slots=True)
class SimulationOptions:
    """Parameters of one run.

    :param controllers: number of initial machines of the cluster
    :param faulty_s: length of the fault phase, in seconds of true time
    :param calm_s: length of the phase without faults, in which the controllers must recover
    :param loss: upper bound of the message loss probability, which each run draws at random
    :param duplication: probability that a message arrives twice
    :param slow: probability that a message is delayed by up to ``slow_delay_s``
    :param snapshot_every: number of applied entries after which a controller takes a snapshot
    """

    controllers: int = 3
    faulty_s: float = 14.0
    calm_s: float = 6.0
    loss: float = 0.1
    duplication: float = 0.03
    slow: float = 0.03
    slow_delay_s: float = 1.2
    proposals_per_s: float = 6.0
    reads_per_s: float = 12.0
    faults_per_s: float = 1.0
    snapshot_every: int = 12
    timing: AgreementTiming = field(default_factory=_default_timing)


Deliver = Callable[[ControllerIdentity, ControllerIdentity, AgreementMessage], None]


class World:
    """The clock, event queue, random generator, network and checkers of one run.

    ``cuts`` and ``slow_pairs`` hold (sender, recipient) names.  ``accepted`` is called with
    the name of a machine that has just accepted a proposal, ``elected`` with the name of one
    that has just become leader.
    """

    def __init__(self, seed: int, options: SimulationOptions) -> None:
        self.options = options
        self.rng = random.Random(f"agreement/{seed}")
        self.checkers = AgreementCheckers()
        self.now = 0.0
        self.events = 0
        self.digest = 0
        self.cuts: set[tuple[str, str]] = set()
        self.faults_ended = False
        self.slow_pairs: set[tuple[str, str]] = set()
        self.accepted: Callable[[str], None] = lambda name: None
        self.elected: Callable[[str], None] = lambda name: None
        self.deliver: Deliver = lambda sender, to, message: None
        self._loss = self.rng.uniform(0.0, options.loss)
        self._base_delay_s = self.rng.choice((0.001, 0.005, 0.02))
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action at a later true time."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._sequence, action))

    def run_until(self, end: float) -> None:
        """Run all actions due up to ``end``."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            self.checkers.now = self.now
            self.events += 1
            action()
        self.now = end

    def record_event(self, text: str) -> None:
        """Add an event to the digest that identifies the run."""
        self.digest = zlib.crc32(f"{self.now:.9f} {text}".encode(), self.digest)

    def send(
        self, sender: ControllerIdentity, to: ControllerIdentity, message: AgreementMessage
    ) -> None:
        """Send a message, which may be lost, delayed, reordered or duplicated."""
        self.checkers.message_sent(sender)
        if not self.faults_ended and self.rng.random() < self._loss:
            return
        copies = 1
        if not self.faults_ended and self.rng.random() < self.options.duplication:
            copies = 2
        for _ in range(copies):
            delay_s = self._delay_s(sender.name, to.name)
            self.after(delay_s, lambda: self._arrive(sender, to, message))

    def _delay_s(self, sender: str, to: str) -> float:
        delay_s = self._base_delay_s * self.rng.uniform(0.5, 2.0)
        if self.faults_ended:
            return delay_s
        if (sender, to) in self.slow_pairs:
            return delay_s + self.rng.uniform(0.1, self.options.slow_delay_s)
        if self.rng.random() < self.options.slow:
            return delay_s + self.rng.uniform(0.0, self.options.slow_delay_s)
        return delay_s

    def _arrive(
        self, sender: ControllerIdentity, to: ControllerIdentity, message: AgreementMessage
    ) -> None:
        if (sender.name, to.name) not in self.cuts:
            self.deliver(sender, to, message)

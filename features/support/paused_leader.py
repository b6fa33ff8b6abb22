"""Two controllers of which the leader is paused, and a proxy's control client linked to it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path

import curio

from features.support.scripted_controller import (
    KEY,
    PRESENT,
    TERM,
    RecordingHandler,
    ScriptedController,
    client_settings,
)
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.messages.control import NotLeader, ProxyHeartbeat, QuorumStamp
from limedyke.messages.declaration import Tenant
from limedyke.messages.limits import OperationsRequest
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.store import ControlStore
from limedyke.proxy.limits.operation_limiter import OverLimit
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link

TENANT = "one"
LEASE_MS = 10_000
SILENCE_MS = 2_000
POLL_S = 0.005
WAIT_S = 0.8
"""How long an operation may wait for its token."""


@dataclass
class LimitingController(ScriptedController):
    """A controller that grants operations while it leads, and can be paused.

    :ivar leads: whether it answers as the leader
    :ivar paused_until: it handles no message before
    :ivar answer_s: seconds that an answer to a heartbeat takes
    """

    term: int = TERM
    leads: bool = False
    paused_until: float = 0.0
    answer_s: float = 0.0
    limits: OperationLimits | None = None
    report_count: int = 0

    def lead(self, tenants: dict[str, Tenant]) -> None:
        """Begin to lead."""
        now = time.monotonic()
        self.limits = OperationLimits(tenants, LEASE_MS / 1_000, now - 100.0)
        self.leads = True

    async def _serve(self, link: Link) -> None:
        hello = await self._receive(link)
        if not self.leads:
            await link.send(NotLeader(self.leader))
            return
        for message in self._first_messages(hello):
            await link.send(message)
        while True:
            message = await self._receive(link)
            if isinstance(message, ProxyHeartbeat):
                await curio.sleep(self.answer_s)
                self.counter += 1
                stamp = QuorumStamp(message.sequence, self.term, self.counter, PRESENT, LEASE_MS)
                await link.send(stamp)
            elif isinstance(message, OperationsRequest):
                await link.send(self.limits.wanted(link.peer_name, message, time.monotonic()))

    async def _receive(self, link: Link) -> object:
        """Return the next message, not before the end of a pause."""
        message = await link.receive()
        await curio.sleep(max(0.0, self.paused_until - time.monotonic()))
        return message


@dataclass
class PausedLeaderLab:
    """The controllers and the client.

    :param knows_second: the proxy's settings name both controllers
    :ivar answers: results of all operations, in order of arrival
    :ivar switched_s: seconds from the pause until the proxy was linked to the successor
    """

    folder: Path
    rate: int
    knows_second: bool = True
    answers: list[OverLimit | None] = field(default_factory=list)
    switched_s: float = float("inf")
    arrived_at: list[float] = field(default_factory=list)
    took_s: list[float] = field(default_factory=list)
    paused_at: float = 0.0

    def __post_init__(self) -> None:
        """Create two controllers; the first leads."""
        self._tasks: list[curio.Task] = []
        self.tenants = {
            TENANT: Tenant(
                TENANT, (), operations_per_minute=60 * self.rate, operation_burst=self.rate
            )
        }
        self.first, self.second = LimitingController("c1"), LimitingController("c2")
        self.second.leader = self.first.address
        self.second.term = TERM + 1
        self.first.lead(self.tenants)
        addresses = (self.first.address, self.second.address)[: 1 + self.knows_second]
        settings = client_settings(self.folder, addresses, SILENCE_MS)
        self.store = ControlStore(self.folder)
        secrets = Secrets({"cluster": KEY.decode()})
        self.client = ControlClient(settings, secrets, self.store, RecordingHandler())
        self.client.limits._tenants = lambda: self.tenants

    async def start(self) -> None:
        """Start all; return when the proxy is linked and has leases."""
        for program in (self.first.run, self.second.run, self.client.run):
            self._tasks.append(await curio.spawn(program, daemon=True))
        while self.client.leases_expire_at < time.monotonic():
            await curio.sleep(POLL_S)

    async def stop(self) -> None:
        """Stop the client before the controllers.

        Otherwise it would look for a leader as the links close, and the controllers would serve new
        links, whose tasks outlive the others.
        """
        while self._tasks:
            await self._tasks.pop().cancel()

    async def send(self, per_s: float, seconds: float) -> None:
        """Send operations at a constant rate."""
        tasks = []
        for _ in range(round(per_s * seconds)):
            tasks.append(await curio.spawn(self._admit))
            await curio.sleep(1.0 / per_s)
        for task in tasks:
            arrived_at, took_s, answer = await task.join()
            self.arrived_at.append(arrived_at)
            self.took_s.append(took_s)
            self.answers.append(answer)

    async def _admit(self) -> tuple[float, float, OverLimit | None]:
        """Return when an operation arrived, how long it took to decide, and the answer."""
        now = time.monotonic()
        answer = await self.client.limits.admit(TENANT, 1, now + WAIT_S)
        return now, time.monotonic() - now, answer

    async def pause_leader(self, pause_s: float, successor_after_s: float | None) -> None:
        """Pause the leader; a successor leads after some time, or none does."""
        paused_at = self.paused_at = time.monotonic()
        self.first.paused_until = paused_at + pause_s
        if successor_after_s is None:
            return
        await curio.sleep(successor_after_s)
        self.second.lead(self.tenants)
        while self.client._address != self.second.address:
            await curio.sleep(POLL_S)
        self.switched_s = time.monotonic() - paused_at

"""Controllers that follow a script, and a real control client connected to them."""

from __future__ import annotations

import shutil
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import curio

from features.support.control_builders import a_declaration, a_group
from features.support.controller_lab import HOST, free_address
from limedyke.messages.control import (
    ConnectionLease,
    ControlSnapshot,
    ControlTarget,
    ControlUpdate,
    LeaseUpdate,
    MemberReport,
    NotLeader,
    PositionQuery,
    PrimaryQuery,
    PromoteOrder,
    PromoteResult,
    ProxyHeartbeat,
    ProxyHello,
    ProxyRefused,
    QuorumStamp,
)
from limedyke.messages.handshake import PeerRole
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.store import ControlStore
from limedyke.proxy.control.view import ControlView
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link, LinkIdentity, listen, serve_links

KEY = b"cluster-key"
HEARTBEAT_MS = 50
LONG_PAUSE_MS = 60_000
HANGS_S = 3_600.0
SILENCE_MS = 300
LEASE_MS = 2_000
SHORT_LEASE_MS = 200
TERM = 5
PRESENT = 20
KEPT = 12


def a_snapshot(index: int, groups: int = 1) -> ControlSnapshot:
    """Return a state at an index; the revision is the same number."""
    declaration = a_declaration(*(a_group(f"g{number}") for number in range(groups)))
    return ControlSnapshot(index, index, declaration, (), ())


def an_update(base: int, index: int, groups: int = 1) -> ControlUpdate:
    """Return an update that sets some groups."""
    return ControlUpdate(base, index, index, groups=tuple(a_group(f"g{n}") for n in range(groups)))


@dataclass
class ScriptedController:
    """A controller that behaves as a leader, or deviates in one way.

    :param script: the deviation; empty for none
    :param hellos: the hellos received from proxies
    """

    name: str
    script: str = ""
    leader: str = ""
    address: str = field(default_factory=free_address)
    hellos: list[ProxyHello] = field(default_factory=list)
    heartbeats: int = 0
    counter: int = 0
    answers_again_at: float = 0.0
    closed_links: int = 0
    started_at: float = 0.0
    first_hello_s: float = 0.0

    async def run(self) -> None:
        """Serve until cancelled."""
        self.started_at = time.monotonic()
        identity = LinkIdentity(PeerRole.CONTROLLER, self.name, KEY)
        listened = listen(self.address).expect("a free address")
        if self.script == "takes connections and hangs":
            await curio.sleep(HANGS_S)
        await serve_links(listened, identity, lambda role, name: KEY, self._serve)

    async def _serve(self, link: Link) -> None:
        hello = await link.receive()
        self.hellos.append(hello)
        if not self.first_hello_s:
            self.first_hello_s = time.monotonic() - self.started_at
        if self.script == "hangs after the hello":
            await self._wait_for_end(link)
        for message in self._first_messages(hello):
            await link.send(message)
        while True:
            message = await link.receive()
            if isinstance(message, ProxyHeartbeat):
                await self._answer(link, message)

    async def _wait_for_end(self, link: Link) -> None:
        """Send nothing until the proxy closes the link."""
        try:
            await link.receive()
        finally:
            self.closed_links += 1

    def _first_messages(self, hello: ProxyHello) -> list[object]:
        match self.script:
            case "redirects to the other controller":
                return [NotLeader(self.leader)]
            case "refuses the proxy for a while":
                return [ProxyRefused(4009, "taken", HEARTBEAT_MS)]
            case "refuses the proxy for a long while":
                return [ProxyRefused(4009, "taken", LONG_PAUSE_MS)]
            case "sends an older snapshot":
                return [a_snapshot(PRESENT - 10)]
            case "sends a kept snapshot and what follows":
                return [ControlTarget(PRESENT), a_snapshot(KEPT), an_update(KEPT, PRESENT)]
            case "sends a kept snapshot as if it were the newest":
                return [a_snapshot(KEPT), an_update(KEPT, PRESENT)]
            case "breaks off after a kept snapshot":
                return [ControlTarget(PRESENT), a_snapshot(KEPT), an_update(KEPT + 1, PRESENT)]
            case "sends an update that does not follow":
                return [an_update(PRESENT + 1, PRESENT + 2)]
        if hello.control_index == KEPT:
            return [an_update(KEPT, PRESENT)]
        if hello.control_index < PRESENT:
            return [a_snapshot(PRESENT)]
        return [ControlUpdate(hello.control_index, hello.control_index, hello.revision)]

    async def _answer(self, link: Link, heartbeat: ProxyHeartbeat) -> None:
        self.heartbeats += 1
        self.counter += 1
        stamp = (TERM, self.counter)
        match self.script:
            case "answers no heartbeat":
                return
            case "lets leases expire":
                return await self._let_leases_expire(link, heartbeat)
            case "falls silent":
                if self.heartbeats > 2:
                    return
            case "answers with a stamp that does not advance":
                stamp = (TERM, 1)
            case "answers with a stamp of an older term":
                stamp = (TERM if self.heartbeats < 3 else TERM - 1, self.counter)
            case "grants leases after they have expired":
                lease = ConnectionLease("g0", "t", 3)
                await link.send(LeaseUpdate((lease,)))
        answer = QuorumStamp(heartbeat.sequence, *stamp, PRESENT, LEASE_MS)
        await link.send(answer)

    async def _let_leases_expire(self, link: Link, heartbeat: ProxyHeartbeat) -> None:
        """Grant a short lease, and answer heartbeats again only after it has expired."""
        answer = QuorumStamp(heartbeat.sequence, TERM, self.counter, PRESENT, SHORT_LEASE_MS)
        if self.heartbeats == 1:
            await link.send(answer)
            await link.send(LeaseUpdate((ConnectionLease("g0", "t", 3),)))
            self.answers_again_at = time.monotonic() + 2 * SHORT_LEASE_MS / 1_000
        elif time.monotonic() > self.answers_again_at:
            await link.send(answer)


@dataclass
class RecordingHandler:
    """Receives views as a proxy does, and records them.

    :param seen: called with each view at the moment it takes effect
    """

    seen: Callable[[ControlView], None] = lambda view: None
    views: list[ControlView] = field(default_factory=list)
    leases: list[tuple[ConnectionLease, ...]] = field(default_factory=list)
    queries: list[PositionQuery] = field(default_factory=list)
    primary_queries: list[PrimaryQuery] = field(default_factory=list)

    async def control_changed(self, view: ControlView) -> None:
        """Record a view."""
        self.views.append(view)
        self.seen(view)

    async def leases_changed(self, leases: tuple[ConnectionLease, ...], expires_at: float) -> None:
        """Record the leases."""
        self.leases.append(leases)

    async def promote(self, order: PromoteOrder) -> PromoteResult:
        """Promote nothing."""
        return PromoteResult(order.group, order.term, "", "a test")

    async def query_positions(self, query: PositionQuery) -> None:
        """Record a position query."""
        self.queries.append(query)

    async def query_primary(self, query: PrimaryQuery) -> None:
        """Record a primary query."""
        self.primary_queries.append(query)


def client_settings(folder: Path, addresses: tuple[str, ...], silence_ms: int) -> ProxySettings:
    """Return a proxy's settings with short intervals and timeouts."""
    return ProxySettings(
        name="p1",
        zone="z1",
        data_folder=folder,
        secrets_file=folder / "none",
        status_listen=f"{HOST}:1",
        client_listen=f"{HOST}:1",
        link_listen=f"{HOST}:1",
        link_advertise=f"{HOST}:1",
        controllers=addresses,
        heartbeat_interval_ms=HEARTBEAT_MS,
        control_silence_limit_ms=silence_ms,
    )


async def run_client(
    folder: Path,
    controllers: tuple[ScriptedController, ...],
    handler: RecordingHandler,
    until: Callable[[ControlClient], bool],
    timeout_s: float,
    silence_ms: int = SILENCE_MS,
    report: MemberReport | None = None,
) -> tuple[ControlClient, bool]:
    """Run a control client against controllers until a condition holds or the timeout expires.

    :returns: the client, and whether the condition held
    """
    settings = client_settings(folder, tuple(c.address for c in controllers), silence_ms)
    store = ControlStore(folder)
    client = ControlClient(settings, Secrets({"cluster": KEY.decode()}), store, handler)
    tasks = [await curio.spawn(controller.run) for controller in controllers]
    client_task = await curio.spawn(client.run)
    async with curio.ignore_after(timeout_s) as timeout:
        while not until(client):
            await curio.sleep(HEARTBEAT_MS / 2_000)
            if report is not None and controllers[0].heartbeats > 3:
                await client.report_member(report)
                report = None
    for task in [client_task, *tasks]:
        await task.cancel()
    store.close()
    return client, not timeout.expired


def keep_image(folder: Path, image: Path) -> None:
    """Copy the files that a crash at this moment would leave."""
    shutil.rmtree(image, ignore_errors=True)
    shutil.copytree(folder, image)


Program = Callable[[], Awaitable[object]]

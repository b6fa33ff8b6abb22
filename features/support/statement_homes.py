"""A proxy that holds no lease, and home proxies that run its statements, in one process."""

from __future__ import annotations

import struct
import time

import curio
from curio import socket

from features.support.far_address import FarAddress
from features.support.statement_path import GROUP, NEVER, StatementPath
from limedyke.core.statements.stop_schedule import StopState
from limedyke.messages.control import ConnectionLease, ProxyRecord, ProxyState
from limedyke.messages.databases import Consistency
from limedyke.messages.handshake import PeerRole
from limedyke.messages.statements import StatementUnit
from limedyke.metrics import new_registry
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.forwarding.server import ForwardingServer
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.homes.home_service import StatementHomeService, refuse_unit
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.statement_log import StatementLog
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.transport.link import Link, LinkIdentity, listen, serve_links
from line_protocol import LineMemberCodec

KEY = b"key"
FROZEN_S = 60.0
RESET = struct.pack("ii", 1, 0)


class HomeProxy:
    """The product's parts of a home proxy: groups under a lease, and the service for units."""

    def __init__(self, name: str, zone: str, region: str, path: StatementPath) -> None:
        self.name = name
        self.zone = zone
        self.region = region
        self.metrics = StatementMetrics(new_registry())
        log = StatementLog(self.metrics)
        runner = StatementRunner(zone, self.metrics, log)
        self.groups = StatementGroups(
            path.settings, runner, LineMemberCodec, lambda: path.lease_ends_at
        )
        self.stop = StopState()
        self.service = StatementHomeService(self.groups, runner, log, self.metrics, self.stop)
        self.server = ForwardingServer(self.service, StatementUnit, refuse_unit)
        self.links: set[Link] = set()
        self.is_frozen = False
        self.paused_until = 0.0
        self.address = ""

    async def start(self) -> None:
        """Listen on loopback for links of other proxies."""
        listener = listen("127.0.0.1:0").ok_value
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        identity = LinkIdentity(PeerRole.PROXY, self.name, KEY)
        await curio.spawn(serve_links, listener, identity, lambda *_: KEY, self._serve, daemon=True)

    async def _serve(self, link: Link) -> None:
        self.links.add(link)
        receive = link.receive

        async def receive_unless_frozen() -> object:
            message = await receive()
            if self.is_frozen:
                await curio.sleep(FROZEN_S)
            return message

        fill = link._fill

        async def fill_unless_paused() -> None:
            await curio.traps._read_wait(link._socket._fileno)
            await curio.sleep(max(0.0, self.paused_until - time.monotonic()))
            await fill()

        link.receive = receive_unless_frozen
        link._fill = fill_unless_paused
        await self.server.serve(link)

    async def lease(self, connections: int) -> None:
        """Give it a lease of connections to each member."""
        leases = (ConnectionLease(GROUP, "shared", connections),) if connections else ()
        await self.groups.leases_changed(leases, NEVER)

    def pause(self, seconds: float) -> None:
        """Leave messages in the receive buffers of its links for some time."""
        self.paused_until = time.monotonic() + seconds

    def freeze(self) -> None:
        """Stop processing messages from its links, so that nothing is answered."""
        self.is_frozen = True

    async def lose_links(self) -> None:
        """Break all its links."""
        for link in list(self.links):
            link._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await link._socket.shutdown(socket.SHUT_RDWR)

    def record(self) -> ProxyRecord:
        """Return its record in the controllers' state."""
        return ProxyRecord(
            self.name, 1, self.address, self.zone, ProxyState.SERVING, region=self.region
        )

    def connections(self) -> int:
        """Return the connections to members that it counts as open and in use."""
        pools = self.groups.groups[GROUP].pools.values()
        return sum(pool.observed.outstanding for pool in pools)


class ForwardingPath(StatementPath):
    """A proxy without a lease between clients and home proxies.

    :param homes: name, zone and region of each home proxy
    """

    def __init__(self, consistency: Consistency, homes: tuple[tuple[str, str, str], ...]) -> None:
        super().__init__(consistency)
        self.homes = {name: HomeProxy(name, zone, region, self) for name, zone, region in homes}

    async def start(self, connections: int = 4) -> None:
        """Start members and home proxies; the proxy itself gets no lease."""
        await self.group.start()
        for home in self.homes.values():
            await home.start()
        self.proxies = {name: home.record() for name, home in self.homes.items()}
        await self.tell_view()
        for home in self.homes.values():
            await home.lease(connections)

    async def take_view(self, view: ControlView) -> None:
        """Apply a view at all proxies."""
        await super().take_view(view)
        for home in self.homes.values():
            await home.groups.control_changed(view)

    async def move_home_away(self, name: str, one_way_s: float) -> None:
        """Add network latency to a home proxy, and give the proxy its new address."""
        home = self.homes[name]
        far = FarAddress(home.address, one_way_s)
        await curio.spawn(far.run, daemon=True)
        home.address = far.address
        self.proxies[name] = home.record()
        await self.tell_view()

    def served(self, name: str) -> int:
        """Return how many statements a home proxy received."""
        return int(self.homes[name].metrics.forwarded_in._value.get())

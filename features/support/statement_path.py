"""The whole path of a statement in one process: a client, a proxy's parts, stand-in members."""

from __future__ import annotations

import dataclasses
import select
import time

import curio
from curio import socket

import features.support.platform_path  # noqa: F401
from features.support.far_address import FarAddress
from features.support.line_platform.group import StandInGroup
from limedyke.core.access_keys import access_key_digest
from limedyke.core.limits.operation_limits import OperationLimits
from limedyke.messages.control import ConnectionLease, GroupPrimary, ProxyRecord
from limedyke.messages.databases import (
    AnnouncedMember,
    Consistency,
    Database,
    MemberState,
    SessionLimits,
)
from limedyke.messages.declaration import Group, PromotionMode, Tenant, TenantAccess
from limedyke.messages.limits import OperationsRequest
from limedyke.metrics import TrafficCounter, new_registry
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.forwarding.home_links import HomeLinks
from limedyke.proxy.limits.operation_limiter import OperationLimiter
from limedyke.proxy.statements.clients.client import ClientServices, StatementClient
from limedyke.proxy.statements.clients.session_admission import SessionAdmission
from limedyke.proxy.statements.executor import StatementExecutor
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.homes.forwarding import StatementForwarding
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.settings import StatementProxySettings
from limedyke.proxy.statements.statement_log import StatementLog
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.settings.secrets import Secrets
from line_protocol import LineClientCodec, LineMemberCodec

GROUP = "g"
ANSWER_TIMEOUT_S = 6.0
ZONES = {"a": "z1", "b": "z2", "c": "z3"}
NEVER = float("inf")


class LineClient:
    """A client of the line protocol, on one end of a connection.

    :param prefix: begins the ids of its requests
    :ivar session: the same
    :ivar request_id: of the last request
    :ivar last_answer: its lines
    """

    def __init__(self, sock: socket.socket, prefix: str = "q") -> None:
        self._socket = sock
        self._stream = sock.as_stream()
        self.session = prefix
        self._next = 0
        self.request_id = ""
        self.last_answer: list[str] = []

    async def send(self, text: str) -> None:
        """Send lines as they are."""
        await self._socket.sendall(text.encode("latin-1"))

    async def receive(self) -> str:
        """Return the next line, empty at the end of the connection."""
        async with curio.timeout_after(ANSWER_TIMEOUT_S):
            line = await self._stream.readline()
        return line.decode("latin-1").rstrip("\r\n")

    async def answer(self) -> list[str]:
        """Return the lines of one answer, up to READY or the end."""
        lines = []
        while line := await self.receive():
            lines.append(line)
            if line.startswith("READY"):
                break
        return lines

    async def ask(self, text: str) -> str:
        """Send a statement; return a summary of its rows and outcome."""
        self._next += 1
        self.request_id = f"{self.session}{self._next}"
        await self.send(f"QUERY {self.request_id} {text}\r\n")
        self.last_answer = await self.answer()
        return summary(self.last_answer)

    def has_unsolicited_data(self) -> bool:
        """Tell whether unsolicited data arrived, which means that the session is over."""
        if self._stream._buffer:
            return True
        readable, _, _ = select.select([self._socket.fileno()], [], [], 0)
        return bool(readable)

    async def expect_end(self) -> None:
        """Expect an unsolicited end of the session, then the end of the connection."""
        told = await self.receive()
        assert told.startswith("ERROR "), told
        assert await self.receive() == ""

    async def close(self) -> None:
        """Close the connection."""
        await self._socket.close()


def summary(lines: list[str]) -> str:
    """Return ``done``, rows, or the word of an error, and the state that follows."""
    words = []
    for line in lines:
        word, _, rest = line.partition(" ")
        if word == "DATAROW":
            words.append(rest)
        elif word == "COMPLETE":
            words.append("done")
        elif word == "ERROR" or word == "READY":
            words.append(rest.split(" ")[0])
    return " ".join(words) or "closed"


class StatementPath:
    """A proxy's parts between clients and a stand-in group.

    :param consistency: of the database ``db``
    :param staleness_ms: its bound
    """

    def __init__(self, consistency: Consistency, staleness_ms: int = 1_500) -> None:
        self.consistency = consistency
        self.staleness_ms = staleness_ms
        self.statement_timeout_ms = 800
        self.target_latency_ms = 1_000
        self.maximum_attempts = 2
        self.far: dict[str, FarAddress] = {}
        self.group = StandInGroup(GROUP, ("a", "b", "c"))
        self.primary = "a"
        self.primary_started_at_ms = 0
        self.term = 1
        self.fence = 1
        self.lease_ends_at = NEVER
        self.idle_in_transaction_ms = 0
        self.draining: set[str] = set()
        self.starts: dict[str, int] = {}
        self.with_database = True
        self.clients: list[LineClient] = []
        self.index = 0
        self.proxies: dict[str, ProxyRecord] = {}
        settings = StatementProxySettings(
            name="proxy",
            zone="z2",
            region="r1",
            client_listen="127.0.0.1:1",
            ready_listen="127.0.0.1:1",
            status_listen="127.0.0.1:1",
            link_listen="127.0.0.1:1",
            link_advertise="127.0.0.1:1",
            controllers=("127.0.0.1:1",),
        )
        self.registry = new_registry()
        metrics = StatementMetrics(self.registry)
        self.settings = settings
        log = StatementLog(metrics)
        runner = self.runner = StatementRunner("z2", metrics, log, lambda: self.limits)
        self.groups = StatementGroups(
            settings,
            runner,
            LineMemberCodec,
            lambda: self.lease_ends_at,
            TrafficCounter(self.registry),
        )
        self.links = HomeLinks(settings, Secrets({settings.cluster_key: "key"}))
        executor = StatementExecutor(self.groups, runner, StatementForwarding(self.links, metrics))
        self.tenants: dict[str, Tenant] = {}
        self.news: ControlView | None = None
        self.is_cut_off = False
        self.confirmations = 0
        self.asked: list[OperationsRequest] = []
        self.leader: OperationLimits | None = None
        self.alone_until = NEVER
        self.limits = OperationLimiter(
            lambda: self.groups.view.tenants, self._ask_leader, lambda: self.alone_until
        )
        self.services = ClientServices(
            self.groups,
            SessionAdmission(self.groups, self),
            executor,
            log,
            lambda: time.monotonic() >= self.lease_ends_at,
        )

    async def start(self, connections: int = 4) -> None:
        """Start the members, and give the proxy its view and a lease."""
        await self.group.start()
        await self.tell_view()
        lease = ConnectionLease(GROUP, "shared", connections)
        await self.groups.leases_changed((lease,), NEVER)

    async def confirm_view(self, limit_s: float) -> bool:
        """Stand in for the leader: give the proxy the view that it does not have yet."""
        self.confirmations += 1
        if self.is_cut_off:
            await curio.sleep(limit_s)
            return False
        if self.news is not None:
            view, self.news = self.news, None
            await self.take_view(view)
        return True

    async def _ask_leader(self, message: OperationsRequest) -> bool:
        """Stand in for the leader's count of operations; without a leader nothing is answered."""
        self.asked.append(message)
        if self.leader is not None:
            answer = self.leader.wanted("proxy", message, time.monotonic())
            await curio.spawn(self.limits.granted, answer, daemon=True)
        return not self.is_cut_off

    def limit(self, tenant: str, rate: float, burst: int) -> None:
        """Set a tenant's limit, from the next view on."""
        known = self.tenants[tenant]
        limited = dataclasses.replace(
            known, operations_per_minute=int(rate * 60), operation_burst=burst
        )
        self.tenants[tenant] = limited

    async def tell_view(self) -> None:
        """Give the proxy a view of the current state."""
        await self.take_view(self.make_view())

    def make_view(self) -> ControlView:
        """Return a view of the current state."""
        self.index += 1
        access = TenantAccess("shared", GROUP, "", "", 30)
        group = Group(
            GROUP,
            (),
            30,
            1,
            (access,),
            "",
            PromotionMode.AUTHORITY,
            announced=True,
            synchronous_replicas=self.group.synchronous_replicas,
        )
        database = Database(
            "db",
            GROUP,
            self.consistency,
            self.statement_timeout_ms,
            self.target_latency_ms,
            1,
            self.staleness_ms,
            self.maximum_attempts,
            is_public=not self.tenants,
        )
        public = dataclasses.replace(database, name="open", is_public=True)
        batch = dataclasses.replace(database, name="batch", priority=database.priority + 1)
        databases = {"db": database}
        if self.tenants:
            databases |= {"open": public, "batch": batch}
        return ControlView(
            control_index=self.index,
            revision=1,
            tenants=dict(self.tenants),
            groups={GROUP: group},
            primaries={GROUP: self._recorded_primary()},
            databases=databases if self.with_database else {},
            session_limits=SessionLimits(self.idle_in_transaction_ms),
            announced={name: self._record(name) for name in self.group.members},
            proxies=self.proxies,
            homes={GROUP: tuple(self.proxies)},
        )

    def _recorded_primary(self) -> GroupPrimary:
        started_at_ms = self.primary_started_at_ms or self.starts.get(self.primary, 0)
        return GroupPrimary(
            GROUP, self.term, self.primary, fence=self.fence, started_at_ms=started_at_ms
        )

    def hold_key(self, tenant: str, *keys: str) -> None:
        """Replace a tenant's keys, from the next view on."""
        digests = tuple(access_key_digest(key) for key in keys)
        self.tenants[tenant] = Tenant(tenant, (), access_keys=digests)

    async def take_view(self, view: ControlView) -> None:
        """Apply a view at the proxy."""
        self.links.control_changed(view)
        await self.groups.control_changed(view)

    def _record(self, name: str) -> AnnouncedMember:
        member = self.group.members[name]
        state = MemberState.DRAINING if name in self.draining else MemberState.READY
        address = self.far[name].address if name in self.far else member.address
        return AnnouncedMember(
            name,
            GROUP,
            address,
            ZONES[name],
            "v1",
            3,
            state,
            member.is_primary,
            self.starts.get(name, 0),
        )

    async def move_away(self, name: str, one_way_s: float) -> None:
        """Add network latency to a member, and give the proxy its new address."""
        self.far[name] = FarAddress(self.group.members[name].address, one_way_s)
        await curio.spawn(self.far[name].run, daemon=True)
        await self.tell_view()

    async def connect(self, database: str = "db", key: str = "u1") -> tuple[LineClient, str]:
        """Open a client's session with a key; return the client and the answer."""
        ours, theirs = socket.socketpair()
        served = StatementClient(theirs, LineClientCodec(), self.services)
        await curio.spawn(served.run, daemon=True)
        client = LineClient(ours)
        self.clients.append(client)
        await client.send(f"START {database} {key}\r\n")
        return client, summary([await client.receive()])

    async def stop(self) -> None:
        """Close clients and members."""
        for client in self.clients:
            await client.close()
        await self.group.stop()

    def runs_of(self, text: str) -> list[str]:
        """Return the members that ran a text, in order."""
        return [run.member for run in self.group.runs if run.text == text]


def elapsed_ms(since: float) -> float:
    """Return milliseconds since a moment of the monotonic clock."""
    return (time.monotonic() - since) * 1_000

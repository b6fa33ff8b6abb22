"""Stand-ins for the members of services: logs, replication and heartbeats."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from standins import http
from standins.deployment import HEARTBEAT_MS, Deployment
from standins.member_session import MemberSession, reset
from standins.record import Record
from standins.tasks import spawn

SLOTS = 5
LAG_S = 0.008
CALL_LIMIT_S = 1.0
"""Figures of ``sites/chlad-pool.toml``, as the page SYSTEM gives them."""


@dataclass(frozen=True, slots=True)
class Commit:
    """One commit in a log."""

    term: int
    number: int
    request_id: str


@dataclass(frozen=True, slots=True)
class Run:
    """A client's statement that a member ran.

    :ivar applied: id of the last write that reads at the member saw then; empty for none
    """

    at: float
    member: str
    request_id: str
    text: str
    applied: str


@dataclass(eq=False, slots=True)
class Member:
    """One member of a service.

    :ivar received: the commits that it has received
    :ivar applied: how many of them reads see
    :ivar is_deaf: it receives no commits from the primary
    :ivar cut_from: addresses of machines that are partitioned from it
    :ivar is_cut_from_control: it is partitioned from the controllers
    :ivar lag_s: how long it takes to apply what it has received
    """

    identity: str
    address: str
    zone: str
    is_primary: bool = False
    is_running: bool = False
    is_deaf: bool = False
    cut_from: set[str] = field(default_factory=set)
    is_cut_from_control: bool = False
    lag_s: float = LAG_S
    state: str = "ready"
    received: list[Commit] = field(default_factory=list)
    applied: int = 0
    connections: int = 0
    call_sequence: int = 0
    heartbeat_url: str = ""
    beats: bool = True
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def busy_slots(self) -> int:
        """How many slots are in use."""
        return SLOTS - self.slots._value

    def position(self, count: int, term: int) -> str:
        """Return the position of a number of commits."""
        if not count:
            return f"{term}.0"
        last = self.received[count - 1]
        return f"{last.term}.{last.number}"

    def lacks(self, position: str) -> bool:
        """Tell whether its applied log lacks a position."""
        term, _, number = position.partition(".")
        last = self.received[self.applied - 1] if self.applied else None
        own = (last.term, last.number) if last else (0, 0)
        return own < (int(term), int(number))


class Service:
    """A primary and its replicas.

    :param sync_replicas: replicas that must have received a commit before it is answered
    :ivar runs: the clients' statements that members ran
    """

    def __init__(
        self,
        name: str,
        members: list[Member],
        sync_replicas: int,
        deployment: Deployment,
        record: Record,
    ) -> None:
        self.name = name
        self.members = {member.identity: member for member in members}
        members[0].is_primary = True
        self.term = 1
        self.runs: list[Run] = []
        self._sync_replicas = sync_replicas
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count(1)
        self._signatures = itertools.count(1)
        self._commit_lock = asyncio.Lock()
        self._received = asyncio.Condition()

    @property
    def primary(self) -> Member | None:
        """Return the running primary, or None."""
        leading = (m for m in self.members.values() if m.is_primary and m.is_running)
        return next(leading, None)

    async def start(self, member: Member) -> None:
        """Start a member, and its heartbeats."""
        host, _, port = member.address.rpartition(":")

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await MemberSession(self, member, reader, writer, self._record).run()

        member.server = await asyncio.start_server(serve, host, int(port), limit=2**21)
        member.is_running = True
        member.state = "ready"
        member.beats = True
        self._record.note(f"member {member.identity} of {self.name} starts")
        spawn(self._beat(member))

    async def crash(self, member: Member) -> None:
        """Crash a member: its connections are reset, and it says nothing."""
        self._record.say(f"member {member.identity} of {self.name} crashes")
        member.is_running = False
        member.beats = False
        member.server.close()
        for writer in list(member.writers):
            reset(writer)

    async def join(self, member: Member) -> None:
        """Start a new replica, which has received everything."""
        self.members[member.identity] = member
        self._catch_up(member)
        await self.start(member)

    async def stop(self, member: Member) -> None:
        """End a member that has left: it serves no longer."""
        self._record.say(f"member {member.identity} of {self.name} ends")
        member.is_running = False
        member.beats = False
        member.server.close()
        for writer in list(member.writers):
            writer.close()

    async def come_back(self, member: Member) -> None:
        """Start a crashed member with its log, as a replica if another was promoted."""
        others = [m for m in self.members.values() if m is not member and m.is_primary]
        if others:
            member.is_primary = False
            self._catch_up(member)
        await self.start(member)

    def _catch_up(self, member: Member) -> None:
        lead = self.primary
        if lead is not None and lead is not member:
            member.received = list(lead.received)
            member.applied = len(member.received)

    def set_deaf(self, member: Member, is_deaf: bool) -> None:
        """Begin or end a time in which a replica receives nothing."""
        what = "receives nothing from now on" if is_deaf else "receives again"
        self._record.say(f"member {member.identity} of {self.name} {what}")
        member.is_deaf = is_deaf
        if not is_deaf and not member.is_primary:
            self._catch_up(member)

    def promote(self, member: Member) -> None:
        """Let a member lead the next term with what it has received; cut back the others."""
        self.term += 1
        member.applied = len(member.received)
        for other in self.members.values():
            other.is_primary = other is member
            del other.received[len(member.received) :]
            other.applied = min(other.applied, len(other.received))
            if other.is_running:
                spawn(self.announce(other))

    async def commit(self, member: Member, request_id: str) -> bool:
        """Commit a write at the primary; False if the member lost the lead meanwhile."""
        async with self._commit_lock:
            if not member.is_primary or not member.is_running:
                return False
            commit = Commit(self.term, next(self._numbers), request_id)
            member.received.append(commit)
            member.applied = len(member.received)
        for other in self.members.values():
            if other is not member:
                spawn(self._replicate(other, commit))
        async with self._received:
            await self._received.wait_for(
                lambda: self._holders(commit, member) >= self._sync_replicas
            )
        return member.is_primary and member.is_running

    def _holders(self, commit: Commit, leader: Member) -> int:
        return sum(commit in m.received[-200:] for m in self.members.values() if m is not leader)

    async def _replicate(self, member: Member, commit: Commit) -> None:
        """Bring a commit to a replica, which applies it some time later."""
        await asyncio.sleep(0.001)
        if member.is_deaf or not member.is_running or member.is_primary:
            return
        lead = self.primary
        if lead is None or commit not in lead.received[-200:]:
            return
        received = lead.received[: lead.received.index(commit) + 1]
        if len(received) > len(member.received):
            member.received = list(received)
        async with self._received:
            self._received.notify_all()
        count = len(member.received)
        await asyncio.sleep(member.lag_s)
        member.applied = max(member.applied, min(count, len(member.received)))

    def signature(self, member: Member) -> str:
        """Return a new signature of a member."""
        return f"{next(self._signatures):x}.{member.identity}"

    async def _beat(self, member: Member) -> None:
        await asyncio.sleep(random.uniform(0.0, 0.3))
        while member.beats:
            await self.announce(member)
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.95, 1.05))

    def announcement(self, member: Member) -> dict:
        """Return the next heartbeat of a member."""
        member.call_sequence += 1
        return {
            "service": self.name,
            "address": member.address,
            "zone": member.zone,
            "version": "v1",
            "capacity": SLOTS,
            "state": member.state,
            "warmupLeftMs": 0,
            "dbRole": "primary" if member.is_primary else "replica",
            "callSeq": member.call_sequence,
        }

    async def announce(self, member: Member) -> bool:
        """Send a heartbeat to one controller after the other until one acknowledges it."""
        body = self.announcement(member)
        return await self.tell(member, "PUT", body)

    async def tell(self, member: Member, method: str, body: dict | None) -> bool:
        """Call ``/instances/ID`` at one controller after the other until one acknowledges."""
        if member.is_cut_from_control:
            await asyncio.sleep(CALL_LIMIT_S)
            return False
        controllers = list(self._deployment.controllers)
        random.shuffle(controllers)
        addresses = [self._deployment.control_address(machine) for machine in controllers]
        known = member.heartbeat_url.removeprefix("http://")
        if known and method == "PUT":
            addresses.insert(0, known)
        for address in addresses:
            answer = await http.call(address, method, f"/instances/{member.identity}", body)
            if answer.status // 100 == 2:
                member.heartbeat_url = str(answer.json().get("heartbeatUrl", ""))
                return True
            member.heartbeat_url = ""
        return False

    def note_run(self, member: Member, request_id: str, text: str) -> None:
        """Record that a member runs a client's statement."""
        seen = member.received[member.applied - 1].request_id if member.applied else ""
        run = Run(self._record.now(), member.identity, request_id, text, seen)
        self.runs.append(run)
        self._record.note(f"run {request_id} at {member.identity} of {self.name}: {text}")

"""The wire of a member: sessions, statements, and the heartbeats to the controllers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets

from review.standins2.group import Group, Member
from review.standins2.http_calls import HttpReply, call

WORK_S = 0.005
"""Time that a statement takes a slot, unless the group says otherwise."""
HANDSHAKE_S = 0.005
NEXT_NODE_PAUSE_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0
OWN_ID = "-"


class MemberServer:
    """Serves the connections of one member.

    :param slots: statements that run at once; more are refused
    :param connection_limit: connections that are open at once
    """

    def __init__(
        self, group: Group, member: Member, slots: int = 5, connection_limit: int = 50
    ) -> None:
        self.group = group
        self.member = member
        self._slots = slots
        self._limit = connection_limit
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to listen."""
        member = self.member
        self._server = await asyncio.start_server(self._serve, member.ip, member.port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = _Session(self.group, self.member, reader, writer, self._slots)
        self._writers.add(writer)
        try:
            if await session.open(self._limit):
                self.member.connections += 1
                try:
                    await session.run()
                finally:
                    self.member.connections -= 1
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class _Session:
    """One connection of a proxy."""

    def __init__(
        self,
        group: Group,
        member: Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        slots: int,
    ) -> None:
        self._group = group
        self._member = member
        self._reader = reader
        self._writer = writer
        self._slots = slots
        self._state = "I"
        self._may_write = False
        self._term = 0
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, tuple[str, str]] = {}

    async def _line(self) -> str:
        return (await self._reader.readline()).decode("latin-1").rstrip("\r\n")

    async def _send(self, *lines: str) -> None:
        if self._member.is_dark:
            await asyncio.sleep(3600)
        if not self._member.is_running:
            raise ValueError("ended")
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
        await self._writer.drain()

    async def open(self, limit: int) -> bool:
        """Read the first line; tell whether the session is open."""
        word, _, rest = (await self._line()).partition(" ")
        fields = rest.split(" ")
        await asyncio.sleep(HANDSHAKE_S)
        expected = fields[2] if len(fields) > 2 else self._member.identity
        if word != "START" or fields[0] != self._group.name or expected != self._member.identity:
            await self._send(f"ERROR WRONGNODE {self._member.identity}")
            return False
        if self._member.connections >= limit:
            await self._send(f"ERROR MAXCONN {self._member.identity}")
            return False
        await self._ready()
        return True

    async def run(self) -> None:
        """Answer statements until the connection closes."""
        while line := await self._line():
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            await self._query(request_id, text)

    async def _ready(self, *lines: str) -> None:
        position = self._group.position(self._member)
        await self._send(*lines, f"READY {self._state} {position}")

    async def _error(self, word: str) -> None:
        if self._state == "T":
            self._state = "E"
        await self._ready(f"ERROR {word} {self._member.identity}")

    async def _done(self, *rows: str) -> None:
        lines = [f"DATAROW {row}" for row in rows]
        await self._ready(*lines, f"COMPLETE {self._member.identity}.{secrets.token_hex(6)}")

    async def _query(self, request_id: str, text: str) -> None:
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            position, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            if not self._group.holds(self._member, position):
                await self._error("LAGGING")
                return
        if self._state == "E" and word not in ("COMMIT", "ROLLBACK"):
            await self._error("MALFORMED")
            return
        if word in ("READ", "WRITE", "COMMIT", "EXECUTE", "STATUS"):
            if self._member.busy >= self._slots:
                await self._error("BUSY")
                return
            self._member.busy += 1
            try:
                await asyncio.sleep(self._group.work_s or WORK_S)
                await self._run(request_id, word, rest)
            finally:
                self._member.busy -= 1
        else:
            await self._control(word, rest)

    async def _run(self, request_id: str, word: str, rest: str) -> None:
        member, group = self._member, self._group
        if word == "STATUS":
            role = "primary" if group.leads(member) else "replica"
            position = group.position(member)
            numbers = f"{member.held_term} 0 {member.busy} {member.connections}"
            await self._ready(f"DATAROW {role} {group.term} {position} {numbers}", "COMPLETE -")
            return
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                await self._error("NOSTMT")
                return
            word = self._prepared[name][0]
        if word == "COMMIT":
            await self._commit(request_id)
        elif self._has_lost_lead() or (word == "WRITE" and not group.leads(member)):
            await self._error("READONLY")
        elif word == "READ":
            group.note_run(member, request_id, f"READ_{rest}")
            await self._done(self._value_of(rest))
        else:
            await self._write(request_id, rest)

    def _has_lost_lead(self) -> bool:
        is_plain = self._state == "T" and self._may_write
        return is_plain and (self._term != self._group.term or not self._group.leads(self._member))

    def _value_of(self, thing: str) -> str:
        for commit in reversed(self._member.log):
            for name, data in commit.writes:
                if name == thing:
                    return data
        return "none"

    async def _write(self, request_id: str, rest: str) -> None:
        thing, _, data = rest.partition(" ")
        self._group.note_run(self._member, request_id, "WRITE")
        if self._state == "T":
            self._writes.append((thing, data))
            await self._done()
            return
        await self._finish(request_id, ((thing, data),))

    async def _commit(self, request_id: str) -> None:
        is_failed, writes = self._state == "E", tuple(self._writes)
        has_lost_lead = self._has_lost_lead()
        self._state, self._writes, self._may_write = "I", [], False
        if is_failed or (writes and has_lost_lead):
            await self._error("ABORTED" if is_failed else "READONLY")
            return
        self._group.note_run(self._member, request_id, "COMMIT")
        if writes:
            await self._finish(request_id, writes)
        else:
            await self._done()

    async def _finish(self, request_id: str, writes: tuple[tuple[str, str], ...]) -> None:
        made = await self._group.commit(self._member, request_id, writes)
        if made is None:
            raise ValueError("ended before the answer")
        await self._done()

    async def _control(self, word: str, rest: str) -> None:
        group, member = self._group, self._member
        match word:
            case "BEGIN":
                if rest != "READ" and not group.leads(member):
                    await self._error("READONLY")
                    return
                self._state, self._may_write, self._term = "T", rest != "READ", group.term
            case "ROLLBACK":
                self._state, self._writes, self._may_write = "I", [], False
            case "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self._prepared[name] = (access, shape)
            case "DISCARD":
                self._prepared.clear()
            case "PAUSE":
                if not group.hold(member, int(rest)):
                    await self._error("MALFORMED")
                    return
                await self._run(OWN_ID, "STATUS", "")
                return
            case "RESUME":
                group.release(member)
            case "SET":
                pass
            case _:
                await self._error("MALFORMED")
                return
        await self._ready("COMPLETE -")


class Heartbeats:
    """Announces one member to the controllers, as the page on service discovery says.

    :param nodes: the control addresses that it knows
    :param interval_s: time between two heartbeats
    :ivar url: the address that the last answer named; empty for none
    :ivar born_ms: its start in Unix milliseconds, told as ``born``; 0 if it tells none
    """

    def __init__(
        self, group: Group, member: Member, nodes: tuple[str, ...], interval_s: float
    ) -> None:
        self._group = group
        self._member = member
        self._nodes = nodes
        self._interval_s = interval_s
        self._sequence = itertools.count(1)
        self._next_node = 0
        self._task: asyncio.Task | None = None
        self._role = ""
        self.url = ""
        self.born_ms = 0

    def body(self, state: str = "ready") -> dict:
        """Return the next heartbeat."""
        member = self._member
        self._role = "primary" if self._group.leads(member) else "replica"
        born = {"born": self.born_ms} if self.born_ms else {}
        return {
            **born,
            "service": self._group.name,
            "address": member.address,
            "zone": member.zone,
            "version": "v1",
            "capacity": 5,
            "state": state,
            "warmupLeftMs": 0,
            "dbRole": self._role,
            "callSeq": next(self._sequence),
        }

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Send no more heartbeats."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            if self._member.is_running and not self._member.is_dark:
                await self.deliver("PUT", self.body())
            for _ in range(int(self._interval_s / 0.05)):
                await asyncio.sleep(0.05)
                leads = self._group.leads(self._member)
                if (self._role == "primary") != leads:
                    break

    async def deliver(self, method: str, body: dict | None) -> HttpReply | None:
        """Send a call to one node after the other until it is acknowledged; each is asked once."""
        path = f"/instances/{self._member.identity}"
        nodes = [self.url] if self.url else []
        nodes += [*self._nodes[self._next_node :], *self._nodes[: self._next_node]]
        for node in nodes:
            reply = await self.send_to(node, method, path, body)
            if reply is not None and 200 <= reply.status < 300:
                url = reply.json().get("heartbeatUrl", "")
                self.url = url.removeprefix("http://")
                return reply
            self.url = ""
            self._next_node = (self._next_node + 1) % len(self._nodes)
            await asyncio.sleep(NEXT_NODE_PAUSE_S)
        return None

    async def send_to(
        self, node: str, method: str, path: str, body: dict | None
    ) -> HttpReply | None:
        """Send one call to one node."""
        ip = self._member.ip
        return await call(node, method, path, body, HEARTBEAT_TIMEOUT_S, ip)

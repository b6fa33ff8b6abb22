"""The server side of a connection to a fake member, as specified by the platform's protocol."""

from __future__ import annotations

import struct
import time
from typing import TYPE_CHECKING

import curio
from curio import socket

from features.support.line_platform.member_log import Run

if TYPE_CHECKING:
    from features.support.line_platform.group import StandInMember

RESET = struct.pack("ii", 1, 0)
OWN_ID = "-"
ALWAYS = 10**6
"""Number of repetitions of a fault that should not end by itself."""


class MemberSession:
    """Serves one connection of a proxy."""

    def __init__(self, member: StandInMember, sock: socket.socket) -> None:
        self._member = member
        self._socket = sock
        self._state = "I"
        self._tenant = ""
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[str, str]] = {}
        self._writes: list[tuple[str, str]] = []
        self._reads_only = False
        self._began_as_primary = False
        self.is_silent = False

    async def run(self) -> None:
        """Serve until the connection closes."""
        member = self._member
        member.sessions.add(self)
        try:
            if await self._open():
                await self._serve()
        except OSError:
            return
        finally:
            member.sessions.discard(self)
            await self._socket.close()

    async def abort(self) -> None:
        """Reset the connection unless the peer has already closed it."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def _open(self) -> bool:
        member = self._member
        self._stream = self._socket.as_stream()
        line = await self._line()
        if not line:
            return False
        word, group, self._tenant, identity = line.split(" ")
        if (word, group, identity) != ("START", member.group.name, member.identity):
            await self._send(f"ERROR WRONGNODE {member.identity}")
            return False
        if member.connections >= member.connection_limit:
            if member.faults.resets_when_full:
                await self.abort()
                return False
            await self._send(f"ERROR MAXCONN {member.identity}")
            return False
        member.connections += 1
        member.opened += 1
        await self._ready()
        return True

    async def _serve(self) -> None:
        try:
            while line := await self._line():
                word, _, rest = line.partition(" ")
                if word == "TERMINATE":
                    return
                request_id, _, text = rest.partition(" ")
                await self._query(request_id, text)
        finally:
            self._member.connections -= 1

    async def _line(self) -> str:
        line = await self._stream.readline()
        return line.decode("latin-1").rstrip("\r\n")

    async def _send(self, *lines: str) -> None:
        data = "".join(f"{line}\r\n" for line in lines).encode("latin-1")
        await self._socket.sendall(data)

    async def _ready(self, *lines: str) -> None:
        position = self._member.log.position(self._member.group.term)
        ready = f"READY {self._state} {position}"
        await curio.sleep(self._member.faults.answers_travel_s)
        await self._send(*lines, ready)

    async def _error(self, word: str) -> None:
        if self._state == "T":
            self._state = "E"
        await self._ready(f"ERROR {word} {self._member.identity}")

    async def _query(self, request_id: str, text: str) -> None:
        faults = self._member.faults
        if faults.silent or self.is_silent:
            await curio.sleep(3600)
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            position, _, text = rest.partition(" ")
            if not self._member.log.holds(position):
                await self._error("LAGGING")
                return
            word, _, rest = text.partition(" ")
        if faults.busy and word in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            faults.busy -= 1
            await self._error("BUSY")
            return
        if faults.fail_reads and word == "READ":
            faults.fail_reads -= 1
            await self._error("FAILED")
            return
        await self._run(request_id, text, word, rest)

    async def _run(self, request_id: str, text: str, word: str, rest: str) -> None:
        if self._state == "E" and word != "ROLLBACK":
            await self._error("MALFORMED")
            return
        match word:
            case "BEGIN":
                await self._begin(rest == "READ")
            case "ROLLBACK":
                self._end()
                await self._ready("COMPLETE -")
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
                await self._ready("COMPLETE -")
            case "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self._prepared[name] = (access, shape)
                await self._ready("COMPLETE -")
            case "DISCARD":
                self._values.clear()
                self._prepared.clear()
                await self._ready("COMPLETE -")
            case "STATUS":
                await self._status()
            case "PAUSE" | "RESUME" | "STEPDOWN" if self._member.knows_hold:
                await self._control(word, rest)
            case "READ":
                await self._read(request_id, text, rest)
            case "WRITE":
                await self._write(request_id, text, rest)
            case "COMMIT":
                await self._commit(request_id)
            case "EXECUTE":
                await self._execute(request_id, text, rest)
            case _:
                await self._error("MALFORMED")

    async def _begin(self, reads_only: bool) -> None:
        if not reads_only and not self._member.is_primary:
            await self._error("READONLY")
            return
        self._state = "T"
        self._reads_only = reads_only
        self._began_as_primary = not reads_only
        await self._ready("COMPLETE -")

    def _end(self) -> None:
        self._state = "I"
        self._writes = []
        self._began_as_primary = False

    async def _status(self) -> None:
        member = self._member
        member.status_questions += 1
        role = "primary" if member.is_primary else "replica"
        position = member.log.received_position(member.group.term)
        held = member.held_term
        row = f"{role} {member.group.term} {position} {held} 0 0 {member.connections}"
        await self._ready(f"DATAROW {row}", "COMPLETE -")

    async def _control(self, word: str, term: str) -> None:
        """Stop or begin to receive, or give up the lead."""
        member = self._member
        group = member.group
        match word:
            case "RESUME":
                await group.release(member)
                await self._ready("COMPLETE -")
                return
            case "PAUSE":
                is_done = group.hold(member, int(term))
            case _:
                is_done = group.step_down(member, int(term))
        if is_done:
            await self._status()
        else:
            await self._error("MALFORMED")

    async def _execute(self, request_id: str, text: str, rest: str) -> None:
        name, _, arguments = rest.partition(" ")
        prepared = self._prepared.get(name)
        if prepared is None:
            await self._error("NOSTMT")
        elif prepared[0] == "WRITE":
            await self._write(request_id, text, arguments)
        else:
            await self._read(request_id, text, arguments)

    async def _read(self, request_id: str, text: str, thing: str) -> None:
        if self._began_as_primary and not self._member.is_primary:
            await self._error("READONLY")
            return
        self._note(request_id, text)
        await curio.sleep(self._member.faults.work_s)
        await self._answer(f"DATAROW {self._member.log.value_of(thing)}")

    async def _write(self, request_id: str, text: str, rest: str) -> None:
        if not self._member.is_primary:
            await self._error("READONLY")
            return
        self._note(request_id, text)
        thing, _, data = rest.partition(" ")
        if self._state == "T":
            self._writes.append((thing, data))
            await self._answer()
            return
        await self._acknowledge(request_id, ((thing, data),))

    async def _commit(self, request_id: str) -> None:
        if self._writes and not self._member.is_primary:
            await self._error("READONLY")
            return
        writes = tuple(self._writes)
        self._end()
        self._note(request_id, "COMMIT")
        if writes:
            await self._acknowledge(request_id, writes)
        else:
            await self._answer()

    async def _acknowledge(self, request_id: str, writes: tuple[tuple[str, str], ...]) -> None:
        group = self._member.group
        commit = await group.commit(self._member, request_id, writes)
        if commit is None:
            await self.abort()
        elif await self._answer():
            group.note_acknowledged(commit)

    async def _answer(self, *rows: str) -> bool:
        """Answer an executed statement, or drop the answer if so configured.

        :returns: whether the answer was sent
        """
        if self._member.faults.lose_answers:
            self._member.faults.lose_answers -= 1
            if self._member.faults.busy_after_loss:
                self._member.faults.busy = ALWAYS
            await self.abort()
            return False
        await self._ready(*rows, f"COMPLETE {self._member.group.signature()}")
        return True

    def _note(self, request_id: str, text: str) -> None:
        if request_id == OWN_ID:
            return
        member = self._member
        in_transaction = self._state == "T"
        member.group.note_run(
            Run(
                member.identity,
                request_id,
                text,
                dict(self._values),
                in_transaction,
                time.monotonic(),
                self._tenant,
            )
        )

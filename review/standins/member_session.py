"""One connection to a stand-in member, as the page PROTOCOL tells."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from typing import TYPE_CHECKING

from standins.record import Record

if TYPE_CHECKING:
    from standins.members import Member, Service

CONNECTIONS = 50
WORK_S = 0.011
OPENING_S = 0.012
"""Figures of ``sites/chlad-pool.toml``, as the page SYSTEM gives them."""
CUT_CHECK_S = 0.02
SLOT_WORDS = frozenset({"READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"})


class MemberSession:
    """One connection to a member."""

    def __init__(
        self,
        service: Service,
        member: Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: Record,
    ) -> None:
        self._service = service
        self._member = member
        self._reader = reader
        self._writer = writer
        self._record = record
        self._peer = writer.get_extra_info("peername")[0]
        self._state = "I"
        self._began_plainly = False
        self._wrote: list[str] = []
        self._prepared: dict[str, str] = {}

    async def run(self) -> None:
        """Serve the connection until it ends."""
        member = self._member
        member.writers.add(self._writer)
        try:
            if await self._open():
                member.connections += 1
                try:
                    while line := await self._line():
                        word, _, rest = line.partition(" ")
                        if word != "QUERY":
                            break
                        request_id, _, text = rest.partition(" ")
                        await self._query(request_id, text)
                finally:
                    member.connections -= 1
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            member.writers.discard(self._writer)
            self._writer.close()

    async def _line(self) -> str:
        """Return the next line; empty at the end, also if the sender closed during a cut."""
        try:
            line = await self._reader.readuntil(b"\r\n")
        except asyncio.IncompleteReadError:
            return ""
        was_cut = await self._wait_for_path()
        if was_cut and self._reader.at_eof():
            return ""
        return line[:-2].decode("latin-1")

    async def _wait_for_path(self) -> bool:
        """Wait until the sender's machine is not cut off; tell whether it was."""
        was_cut = False
        while self._peer in self._member.cut_from:
            was_cut = True
            await asyncio.sleep(CUT_CHECK_S)
        return was_cut

    async def _open(self) -> bool:
        member = self._member
        fields = (await self._line()).split(" ")
        is_named = len(fields) >= 3 and fields[0] == "START" and fields[1] == self._service.name
        if not is_named or (len(fields) > 3 and fields[3] not in ("", member.identity)):
            self._send(f"ERROR WRONGNODE {member.identity}")
            return False
        if member.connections >= CONNECTIONS:
            self._send(f"ERROR MAXCONN {member.identity}")
            return False
        async with member.slots:
            await asyncio.sleep(OPENING_S)
        self._ready()
        return True

    def _send(self, *lines: str) -> None:
        self._writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def _ready(self, *lines: str) -> None:
        position = self._member.position(self._member.applied, self._service.term)
        self._send(*lines, f"READY {self._state} {position}")

    def _error(self, word: str) -> None:
        if self._state == "T":
            self._state = "E"
        self._ready(f"ERROR {word} {self._member.identity}")

    async def _query(self, request_id: str, text: str) -> None:
        word, _, rest = text.partition(" ")
        if word == "WAITLSN":
            position, _, text = rest.partition(" ")
            if self._member.lacks(position):
                self._error("LAGGING")
                return
            word, _, rest = text.partition(" ")
        if word in SLOT_WORDS:
            async with self._member.slots:
                await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        await self._wait_for_path()
        await self._run(request_id, text, word, rest)

    async def _run(self, request_id: str, text: str, word: str, rest: str) -> None:
        member = self._member
        if self._state == "E" and word != "ROLLBACK":
            self._error("MALFORMED")
            return
        if self._began_plainly and not member.is_primary and word in ("READ", "WRITE", "EXECUTE"):
            self._error("READONLY")
            return
        match word:
            case "BEGIN" if rest != "READ" and not member.is_primary:
                self._error("READONLY")
            case "BEGIN":
                self._state = "T"
                self._began_plainly = rest != "READ"
                self._ready("COMPLETE -")
            case "ROLLBACK":
                self._end()
                self._ready("COMPLETE -")
            case "SET" | "DISCARD":
                self._ready("COMPLETE -")
            case "STATUS":
                self._status()
            case "READ":
                self._service.note_run(member, request_id, text)
                self._ready("DATAROW -", f"COMPLETE {self._service.signature(member)}")
            case "WRITE":
                await self._write(request_id, text)
            case "COMMIT":
                await self._commit(request_id, text)
            case _:
                self._error("MALFORMED")

    def _end(self) -> None:
        self._state = "I"
        self._began_plainly = False
        self._wrote = []

    def _status(self) -> None:
        member = self._member
        role = "primary" if member.is_primary else "replica"
        term = self._service.term
        received = member.position(len(member.received), term)
        held = received.partition(".")[0]
        busy = member.busy_slots
        self._ready(
            f"DATAROW {role} {term} {received} {held} 0 {busy} {member.connections}", "COMPLETE -"
        )

    async def _write(self, request_id: str, text: str) -> None:
        member = self._member
        if not member.is_primary:
            self._error("READONLY")
            return
        self._service.note_run(member, request_id, text)
        if self._state == "T":
            self._wrote.append(request_id)
            self._ready(f"COMPLETE {self._service.signature(member)}")
        elif await self._service.commit(member, request_id):
            self._ready(f"COMPLETE {self._service.signature(member)}")
        else:
            reset(self._writer)

    async def _commit(self, request_id: str, text: str) -> None:
        member = self._member
        if self._wrote and not member.is_primary:
            self._error("READONLY")
            return
        self._service.note_run(member, request_id, text)
        wrote, self._wrote = self._wrote, []
        self._end()
        if not wrote or await self._service.commit(member, request_id):
            self._ready(f"COMPLETE {self._service.signature(member)}")
        else:
            reset(self._writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()

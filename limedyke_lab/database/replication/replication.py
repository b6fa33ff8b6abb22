"""Connections between the members of a group: a primary's senders and a replica's receiver."""

from __future__ import annotations

from contextlib import suppress

import curio

from limedyke_lab.database.member import Member
from limedyke_lab.database.options import Address
from limedyke_lab.database.replication.follower import Follower
from limedyke_lab.database.replication.replication_messages import (
    REPLICATION_CODE,
    STARTUP_PACKET,
    Answer,
    Append,
    AppendReply,
    FrameReader,
)

_HEARTBEAT_SECONDS = 0.1
_REPLY_TIMEOUT_SECONDS = 2.0
_CONNECT_TIMEOUT_SECONDS = 1.0
_RECONNECT_SECONDS = 0.1
_FROZEN_POLL_SECONDS = 0.02
_CHUNK_BYTES = 262144


class Sender:
    """Sends a primary's log to one peer for the duration of one term."""

    def __init__(self, member: Member, peer: str, address: Address) -> None:
        self._member = member
        self._peer = peer
        self._address = address
        self._term = member.promised_term
        self._next = member.log.boundary_before(member.term_start)
        self._is_probing = True
        self._sent_committed = -1
        self.wake = curio.Event()

    @property
    def is_current(self) -> bool:
        """Whether the member is still the leader of this sender's term."""
        return self._member.is_leading and self._member.promised_term == self._term

    async def run(self) -> None:
        """Connect and send until the term is over; reconnect after failures."""
        while self.is_current:
            with suppress(OSError, EOFError, curio.TaskTimeout):
                await self._run_connection()
            await curio.sleep(_RECONNECT_SECONDS)

    async def _run_connection(self) -> None:
        source = (self._member.options.listen.host, 0)
        connect = curio.open_connection(self._address.host, self._address.port, source_addr=source)
        sock = await curio.timeout_after(_CONNECT_TIMEOUT_SECONDS, connect)
        async with sock:
            await sock.sendall(STARTUP_PACKET)
            self._is_probing = True
            self._sent_committed = -1
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(_ignore_disconnect, self._send_appends, sock)
                await tasks.spawn(_ignore_disconnect, self._read_replies, sock)

    async def _send_appends(self, sock) -> None:
        member = self._member
        while self.is_current:
            if member.switches.freeze_replication or member.switches.removed:
                await curio.sleep(_FROZEN_POLL_SECONDS)
                continue
            self.wake.clear()
            append = self._build()
            await sock.sendall(append.encode())
            self._next += len(append.data)
            self._sent_committed = append.committed
            has_more = not self._is_probing and (
                self._next < member.log.end or self._sent_committed < member.committed
            )
            if not has_more:
                await curio.ignore_after(_HEARTBEAT_SECONDS, self.wake.wait)

    def _build(self) -> Append:
        member, log = self._member, self._member.log
        data = b""
        if self._next < log.end:
            data = log.read(self._next, log.boundary_within(self._next, _CHUNK_BYTES))
        previous_term = log.term_at(self._next) or 0
        return Append(self._term, member.name, self._next, previous_term, data, member.committed)

    async def _read_replies(self, sock) -> None:
        reader = FrameReader(sock)
        while self.is_current:
            if self._member.switches.freeze_replication:
                await curio.sleep(_FROZEN_POLL_SECONDS)
                continue
            reply = await curio.timeout_after(_REPLY_TIMEOUT_SECONDS, reader.reply)
            await self._handle_reply(reply)

    async def _handle_reply(self, reply: AppendReply) -> None:
        member = self._member
        if reply.term > self._term:
            await member.step_down(reply.term)
        elif not self.is_current:
            return
        elif reply.answer is Answer.ACCEPTED:
            await self._record_progress(reply.position)
        elif reply.answer is Answer.MISMATCH:
            self._move_back_to(reply.position)
            await self.wake.set()

    async def _record_progress(self, position: int) -> None:
        member = self._member
        if self._is_probing:
            self._is_probing = False
            await self.wake.set()
        if position > member.matched.get(self._peer, 0):
            member.matched[self._peer] = position
            await member.count_majority()

    def _move_back_to(self, position: int) -> None:
        """Continue from an earlier position that is a record end in this log too."""
        log = self._member.log
        self._is_probing = True
        if log.term_at(position) is None:
            position = log.boundary_before(position)
        self._next = min(position, self._next)


async def _ignore_disconnect(run_direction, sock) -> None:
    """Run one direction of a connection; a broken connection ends it without an error."""
    with suppress(OSError, EOFError, curio.TaskTimeout):
        await run_direction(sock)


class Replication:
    """Runs the applier and serves appends; runs senders while the member leads."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._follower = Follower(member)
        self._tasks = curio.TaskGroup()
        self._senders: list[Sender] = []
        member.on_lead = self._start_senders
        member.on_log_change = self._wake_senders

    async def run(self) -> None:
        """Run the applier; cancel the senders, which have their own task group, when it ends."""
        try:
            await self._follower.run_applier()
        finally:
            await self._tasks.cancel_remaining()

    async def _start_senders(self) -> None:
        peers = self._member.options.peers
        self._senders = [Sender(self._member, name, address) for name, address in peers.items()]
        for sender in self._senders:
            await self._tasks.spawn(sender.run)

    async def _wake_senders(self) -> None:
        for sender in self._senders:
            await sender.wake.set()

    async def switches_changed(self, name: str) -> None:
        """Apply a changed switch."""
        if name.startswith("lag_"):
            self._follower.lag_changed()
        await self._follower.wake()

    async def serve_primary(self, sock) -> None:
        """Reply to the appends received on one connection from a primary."""
        reader = FrameReader(sock)
        member = self._member
        while not member.switches.removed:
            append = await reader.append()
            while member.switches.freeze_replication:
                await curio.sleep(_FROZEN_POLL_SECONDS)
            reply = await self._follower.accept(append)
            await sock.sendall(reply.encode())


__all__ = ["REPLICATION_CODE", "Replication", "Sender"]

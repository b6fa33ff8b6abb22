"""A loopback relay before a member, which delays, resets, cuts or silences connections."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import curio
from curio import socket

from features.support.line_platform.group import StandInMember
from limedyke.addresses import split_address

RECEIVE_BYTES = 64 * 1024
LOOK_S = 0.02
RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkTrouble:
    """What a relay does to its connections; cut bytes are held until the cut ends."""

    delay_s: float = 0.0
    cut_to_member: bool = False
    cut_from_member: bool = False


@dataclass(slots=True, eq=False)
class _Passage:
    """One connection through a relay; once silent it passes nothing on, and stays open."""

    is_silent: bool = False


class MemberRelay:
    """Passes connections on to one member.

    :param member: its address is known once it has started
    """

    def __init__(self, member: StandInMember) -> None:
        self.trouble = LinkTrouble()
        self.address = ""
        self._member = member
        self._sockets: set[socket.socket] = set()
        self._passages: set[_Passage] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        await curio.spawn(self._accept, listener, daemon=True)

    async def reset_all(self) -> None:
        """Reset all connections."""
        for sock in list(self._sockets):
            await self._reset(sock)

    def silence_open(self) -> None:
        """Let the connections that are open now go silent for good; new ones work."""
        for passage in self._passages:
            passage.is_silent = True

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self._relay, client, daemon=True)

    async def _relay(self, client: socket.socket) -> None:
        member = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets |= {client, member}
        passage = _Passage()
        self._passages.add(passage)
        try:
            await member.connect(split_address(self._member.address))
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._pass_on, client, member, passage, True)
                await tasks.spawn(self._pass_on, member, client, passage, False)
        except OSError:
            pass
        finally:
            self._passages.discard(passage)
            for sock in (client, member):
                self._sockets.discard(sock)
                await self._reset(sock)
                await sock.close()

    async def _pass_on(
        self, source: socket.socket, target: socket.socket, passage: _Passage, to_member: bool
    ) -> None:
        try:
            while data := await source.recv(RECEIVE_BYTES):
                if passage.is_silent:
                    continue
                if self.trouble.delay_s:
                    await curio.sleep(self.trouble.delay_s)
                while self._is_cut(to_member):
                    await curio.sleep(LOOK_S)
                await target.sendall(data)
        except OSError:
            return

    def _is_cut(self, to_member: bool) -> bool:
        return self.trouble.cut_to_member if to_member else self.trouble.cut_from_member

    async def _reset(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

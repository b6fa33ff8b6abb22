"""A loopback relay in front of a member that delays, resets, cuts or silences connections."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import curio
from curio import socket

from features.support.line_platform.group import StandInMember
from limedyke.addresses import split_address

RECEIVE_BYTES = 64 * 1024
POLL_INTERVAL_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """Faults of all connections of a relay; a cut holds bytes back until it ends."""

    delay_s: float = 0.0
    cut_to_member: bool = False
    cut_from_member: bool = False


@dataclass(slots=True, eq=False)
class _Connection:
    """One relayed connection; once silent, it discards all bytes and stays open."""

    is_silent: bool = False


class MemberRelay:
    """Forwards connections to one member.

    :param member: the target; its address is read for each connection, as it is known only once the
        member has started
    """

    def __init__(self, member: StandInMember) -> None:
        self.faults = LinkFaults()
        self.address = ""
        self._member = member
        self._sockets: set[socket.socket] = set()
        self._connections: set[_Connection] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
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
        """Silence the open connections for good; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self._relay, client, daemon=True)

    async def _relay(self, client: socket.socket) -> None:
        member = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets |= {client, member}
        connection = _Connection()
        self._connections.add(connection)
        try:
            await member.connect(split_address(self._member.address))
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._forward, client, member, connection, True)
                await tasks.spawn(self._forward, member, client, connection, False)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            for sock in (client, member):
                self._sockets.discard(sock)
                await self._reset(sock)
                await sock.close()

    async def _forward(
        self, source: socket.socket, target: socket.socket, connection: _Connection, to_member: bool
    ) -> None:
        try:
            while data := await source.recv(RECEIVE_BYTES):
                if connection.is_silent:
                    continue
                if self.faults.delay_s:
                    await curio.sleep(self.faults.delay_s)
                while self._is_cut(to_member):
                    await curio.sleep(POLL_INTERVAL_S)
                await target.sendall(data)
        except OSError:
            return

    def _is_cut(self, to_member: bool) -> bool:
        return self.faults.cut_to_member if to_member else self.faults.cut_from_member

    async def _reset(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

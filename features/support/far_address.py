"""A relay that adds network latency to connections."""

from __future__ import annotations

import time
from collections import deque
from contextlib import suppress

import curio
from curio import socket

from limedyke.addresses import split_address

RECEIVE_BYTES = 64 * 1024


class FarAddress:
    """Listens on loopback and relays connections to an address with a delay.

    A connect on loopback completes at once, whereas a distant one takes a round trip. The relay
    delays the first bytes of a connection by that round trip instead.

    :param target: the address to relay to
    :param one_way_s: latency of each direction, in seconds
    :ivar address: the address that it listens on
    """

    def __init__(self, target: str, one_way_s: float) -> None:
        self._target = target
        self._one_way_s = one_way_s
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    async def run(self) -> None:
        """Relay connections until cancelled."""
        async with self._listener:
            while True:
                near, _ = await self._listener.accept()
                await curio.spawn(self._serve, near, daemon=True)

    async def _serve(self, near: socket.socket) -> None:
        await curio.sleep(2 * self._one_way_s)
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with near, far:
            with suppress(OSError):
                await far.connect(split_address(self._target))
                async with curio.TaskGroup(wait=any) as ways:
                    await ways.spawn(self._pass_on, near, far)
                    await ways.spawn(self._pass_on, far, near)

    async def _pass_on(self, source: socket.socket, destination: socket.socket) -> None:
        """Relay bytes in order, each after the latency of one way."""
        arrived: deque[tuple[float, bytes]] = deque()
        came = curio.Event()
        sender = await curio.spawn(self._send, arrived, came, destination)
        try:
            while data := await source.recv(RECEIVE_BYTES):
                arrived.append((time.monotonic(), data))
                await came.set()
        finally:
            await sender.cancel()

    async def _send(
        self, arrived: deque[tuple[float, bytes]], came: curio.Event, to: socket.socket
    ) -> None:
        while True:
            while arrived:
                at, data = arrived.popleft()
                await curio.sleep(max(0.0, at + self._one_way_s - time.monotonic()))
                await to.sendall(data)
            came.clear()
            await came.wait()

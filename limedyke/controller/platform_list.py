"""Reads the platform's list of machines that are live or about to leave; it may be outdated.

HTTP/1.1 by h11 on curio. ``GET`` returns a JSON list of objects with ``name`` and ``state``. The
list is only a hint: a silent proxy is suspected sooner if its machine is ``leaving``, and nothing
else depends on it.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import curio
import h11
from curio import socket

from limedyke.core.control.events import PlatformListed
from limedyke.event_log import EventLog

READ_INTERVAL_S = 2.0
READ_TIMEOUT_S = 2.0
RECEIVE_BYTES = 64 * 1024
MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_PORT = 80
STATUS_OK = 200
LEAVING = "leaving"
EVENTS = EventLog("platform_list")


class PlatformListError(Exception):
    """The list cannot be read; the text says why."""


def leaving_machines(body: bytes) -> frozenset[str]:
    """Return the names of the machines whose state in the list is ``leaving``.

    :raises PlatformListError: if the body is not such a list
    """
    try:
        machines = json.loads(body)
        return frozenset(
            str(machine["name"]) for machine in machines if machine.get("state") == LEAVING
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlatformListError(f"not a list of machines: {error!r}") from None


class PlatformListReader:
    """Reads the list periodically while this controller leads.

    :param url: ``http://ip:port/path``
    :param source_ip: local address to connect from, or empty
    :param post: receives the content of each list
    """

    def __init__(
        self, url: str, source_ip: str, post: Callable[[PlatformListed], Awaitable[None]]
    ) -> None:
        self._url = urlsplit(url)
        self._source_ip = source_ip
        self._post = post
        self._failing = False

    async def run(self) -> None:
        """Read until cancelled; a list that cannot be read counts as empty."""
        while True:
            await self._post(PlatformListed(await self._read_leaving()))
            await curio.sleep(READ_INTERVAL_S)

    async def _read_leaving(self) -> frozenset[str]:
        try:
            async with curio.timeout_after(READ_TIMEOUT_S):
                leaving = leaving_machines(await self._get())
        except (OSError, curio.TaskTimeout, h11.ProtocolError, PlatformListError) as error:
            if not self._failing:
                EVENTS.warning("list-not-read", url=self._url.geturl(), reason=repr(error))
            self._failing = True
            return frozenset()
        if self._failing:
            EVENTS.info("list-read-again", url=self._url.geturl())
        self._failing = False
        return leaving

    async def _get(self) -> bytes:
        """Return the body of the list."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with sock:
            if self._source_ip:
                sock.bind((self._source_ip, 0))
            await sock.connect((self._url.hostname, self._url.port or DEFAULT_PORT))
            connection = h11.Connection(h11.CLIENT)
            await sock.sendall(self._request(connection))
            return await _receive_body(sock, connection)

    def _request(self, connection: h11.Connection) -> bytes:
        headers = [("host", self._url.netloc), ("connection", "close")]
        target = self._url.path or "/"
        request = h11.Request(method="GET", target=target, headers=headers)
        return connection.send(request) + connection.send(h11.EndOfMessage())


async def _receive_body(sock: socket.socket, connection: h11.Connection) -> bytes:
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await sock.recv(RECEIVE_BYTES))
        elif isinstance(event, h11.Response) and event.status_code != STATUS_OK:
            raise PlatformListError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAXIMUM_BODY_BYTES:
                raise PlatformListError(f"longer than {MAXIMUM_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return body
        elif isinstance(event, h11.ConnectionClosed):
            raise PlatformListError("the connection closed before the end of the response")

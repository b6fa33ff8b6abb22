"""A small HTTP/1.1 client and server for JSON calls."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAXIMUM_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A response: its status and body."""

    status: int
    body: bytes = b""

    def json(self) -> dict:
        """Return the body as a mapping; empty if it holds none."""
        try:
            found = json.loads(self.body)
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}


@dataclass(frozen=True, slots=True)
class HttpMessage:
    """A request that the server received; header names are in lower case."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
    source_ip: str = "",
) -> HttpReply | None:
    """Send a request on a new connection; return None without a complete response in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, body, source_ip)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None


async def _exchange(
    address: str, method: str, path: str, body: object, source_ip: str
) -> HttpReply | None:
    ip, _, port = address.rpartition(":")
    local = (source_ip, 0) if source_ip else None
    reader, writer = await asyncio.open_connection(ip, int(port), local_addr=local)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        if data:
            head += "Content-Type: application/json\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        first, headers = await _read_head(reader)
        status = int(first.split(" ")[1])
        size = int(headers.get("content-length", "0"))
        return HttpReply(status, await reader.readexactly(size))
    finally:
        writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first = (await reader.readline()).decode("latin-1").rstrip("\r\n")
    if not first:
        raise ValueError("no head")
    headers = {}
    while line := (await reader.readline()).decode("latin-1").rstrip("\r\n"):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(
    ip: str, port: int, answer: Callable[[HttpMessage], Awaitable[HttpReply]]
) -> asyncio.Server:
    """Start a server that answers one request on each connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first, headers = await _read_head(reader)
            method, path, _ = first.split(" ")
            size = min(int(headers.get("content-length", "0")), MAXIMUM_BODY_BYTES)
            message = HttpMessage(method, path, await reader.readexactly(size), headers)
            reply = await answer(message)
            head = f"HTTP/1.1 {reply.status} X\r\nContent-Length: {len(reply.body)}\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode() + reply.body)
            await writer.drain()
        except (OSError, ValueError, asyncio.CancelledError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(handle, ip, port)

"""HTTP/1.1 for single requests: a client and a small server."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

Handler = Callable[["Request"], Awaitable[tuple[int, dict]]]


@dataclass(frozen=True, slots=True)
class Request:
    """A request that a server received; names of headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer; ``status`` is 0 if none came."""

    status: int
    body: bytes = b""

    def json(self) -> dict:
        """Return the body as JSON; empty if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


def request_bytes(method: str, path: str, body: dict | None, headers: dict[str, str]) -> bytes:
    """Return the bytes of a request."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Host: control", f"Content-Length: {len(data)}"]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode() + data


async def call(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    timeout_s: float = 1.0,
    headers: dict[str, str] | None = None,
    held_s: float = 0.0,
) -> Answer:
    """Send a request and return the answer.

    :param address: ``ip:port``
    :param held_s: how long the network holds the request's bytes back
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s + held_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.sleep(held_s)
                writer.write(request_bytes(method, path, body, headers or {}))
                await writer.drain()
                return await _read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)


async def _read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in head[1:] if line]
    return head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    first, headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split(" ")[1]), body)


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serve requests, one on each connection."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first, headers = await _read_headers(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            method, path, _ = first.split(" ")
            status, answer = await handler(Request(method, path, headers, body))
            data = json.dumps(answer).encode()
            head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(on_connection, host, int(port))

"""Steps for the HTTP status interface."""

from __future__ import annotations

import curio
from behave import given, then, when

from limedyke.core.routing import RoutingReason
from limedyke.metrics import new_registry
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.result_codes import ResultCode
from limedyke.transport.http_status import ReadyState, StatusListenError, serve_status
from limedyke.transport.link import listen

SCENARIO_TIMEOUT_S = 20.0
HOST_LINE = b"\r\nhost: status\r\n"
RETRY_S = 0.02


async def _connect(address: str):
    host, port = address.split(":")
    while True:
        try:
            return await curio.open_connection(host, int(port))
        except ConnectionRefusedError:
            await curio.sleep(RETRY_S)


async def _read_until_closed(sock) -> bytes:
    received = b""
    while data := await sock.recv(65536):
        received += data
    return received


async def _send_request(address: str, request: bytes) -> bytes:
    sock = await _connect(address)
    async with sock:
        await sock.sendall(request)
        return await _read_until_closed(sock)


def _request(line: str) -> bytes:
    return line.encode() + HOST_LINE + b"connection: close\r\n\r\n"


def _run(context, scenario):
    """Run ``scenario(address)`` while the status interface is served."""

    async def main():
        address = _free_address()
        server = await curio.spawn(serve_status, address, context.registry, *context.health_checks)
        try:
            async with curio.timeout_after(SCENARIO_TIMEOUT_S):
                return await scenario(address)
        finally:
            await server.cancel()

    return curio.run(main)


def _free_address() -> str:
    sock = listen("127.0.0.1:0").unwrap()
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    sock._socket.close()
    return address


@given("status: a process that is {live} and {ready}")
def step_process(context, live, ready):
    state = ReadyState(True, "serving") if ready == "ready" else ReadyState(False, "no controller")
    context.registry = new_registry()
    ProxyMetrics(context.registry).count_read(True, RoutingReason.CAUGHT_UP_REPLICA)
    context.health_checks = (lambda: live == "live", lambda: state)


@when('status: "{line}" is sent')
def step_send(context, line):
    context.answer = _run(context, lambda address: _send_request(address, _request(line)))


@when("status: a request head of {size:d} bytes is sent")
def step_large_head(context, size):
    request = b"GET /livez HTTP/1.1\r\nx-fill: " + b"a" * size
    context.answer = _run(context, lambda address: _send_request(address, request))


@then('status: the answer is {code:d} and contains "{text:Anything}"')
def step_answer(context, code, text):
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {code} ".encode()), context.answer
    assert text.encode() in body, body
    if not text:
        assert body == b"", body


@when("status: two requests are sent on one connection")
def step_two(context):
    first = b"GET /livez HTTP/1.1" + HOST_LINE + b"\r\n"
    request = first + _request("GET /readyz HTTP/1.1")
    context.answer = _run(context, lambda address: _send_request(address, request))


@then("status: both are answered with 200")
def step_both(context):
    assert context.answer.count(b"HTTP/1.1 200 ") == 2, context.answer


@when("status: half a request is sent")
def step_half(context):
    async def scenario(address):
        started = await curio.clock()
        await _send_request(address, b"GET /livez HTTP/1.1\r\nhost")
        return await curio.clock() - started

    context.duration_s = _run(context, scenario)


@then("status: the connection is closed within {limit:d} seconds")
def step_closed(context, limit):
    assert context.duration_s < limit, context.duration_s


@when('status: {count:d} idle connections are opened and "{line}" is sent')
def step_idle(context, count, line):
    async def scenario(address):
        idle = [await _connect(address) for _ in range(count)]
        try:
            return await _send_request(address, _request(line))
        finally:
            for sock in idle:
                await sock.close()

    context.answer = _run(context, scenario)


@when("status: a second process serves at the same address")
def step_second(context):
    async def scenario(address):
        sock = await _connect(address)
        await sock.close()
        try:
            await serve_status(address, context.registry, *context.health_checks)
        except StatusListenError as error:
            return error

    context.error = _run(context, scenario)


@then("status: it fails with {code}")
def step_fails(context, code):
    assert context.error.failure.code is ResultCode[code]

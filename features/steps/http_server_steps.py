"""Steps on the HTTP server of calls."""

from __future__ import annotations

import time

import curio
from behave import given, then, when
from curio import socket

from limedyke.addresses import split_address
from limedyke.transport.http_server import HttpAnswer, HttpLimits, HttpServer
from limedyke.transport.link import listen

CALL = b"GET /config HTTP/1.1\r\nhost: server\r\n\r\n"
ANSWER_LIMIT_S = 2.0
SETTLE_S = 0.05
AT_ONCE_S = 0.2


class Caller:
    """One connection to the server."""

    def __init__(self) -> None:
        self.answer = b""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    async def send(self, address: str, data: bytes = CALL) -> None:
        """Connect, and send a call or a part of it."""
        await self._socket.connect(split_address(address))
        await self._socket.sendall(data)

    def send_at_once(self, address: str, data: bytes) -> None:
        """Connect and send without giving other tasks a turn."""
        with self._socket.blocking() as raw:
            raw.connect(split_address(address))
            raw.sendall(data)

    async def send_rest(self, data: bytes) -> None:
        """Send the rest of a call."""
        await self._socket.sendall(data)

    async def receive(self) -> bytes:
        """Return the answer; empty when the connection ended without one."""
        try:
            async with curio.timeout_after(ANSWER_LIMIT_S):
                self.answer = await self._socket.recv(4_096)
        except OSError:
            self.answer = b""
        return self.answer

    def receive_at_once(self) -> None:
        """Keep what has come so far, without giving other tasks a turn."""
        try:
            with self._socket.blocking() as raw:
                self.answer = raw.recv(4_096, socket.MSG_DONTWAIT)
        except OSError:
            self.answer = b""

    async def is_open(self) -> bool:
        """Tell whether the connection has not been ended by the server."""
        try:
            async with curio.timeout_after(SETTLE_S):
                return bool(await self._socket.recv(1))
        except curio.TaskTimeout:
            return True
        except OSError:
            return False

    @property
    def is_answered(self) -> bool:
        """Whether it got a whole answer."""
        return self.answer.startswith(b"HTTP/1.1 200")


def _start(context, places: int, takes_s: float = 0.0) -> None:
    async def answer(_request: object) -> HttpAnswer:
        await curio.sleep(takes_s)
        return HttpAnswer(200)

    context.kernel = curio.Kernel()
    context.add_cleanup(context.kernel.run, shutdown=True)
    listener = listen("127.0.0.1:0").unwrap()
    host, port = listener.getsockname()
    context.address = f"{host}:{port}"
    server = HttpServer(answer, HttpLimits(1_024, connections=places))
    context.server = server

    async def begin() -> None:
        await curio.spawn(server.run, listener, daemon=True)
        await curio.sleep(SETTLE_S)

    context.kernel.run(begin)


@given("http server: one with places for {places:d} connections")
def step_server(context, places):
    _start(context, places)


@given("http server: one with places for {places:d} connections, whose calls take {takes:d} ms")
def step_slow_server(context, places, takes):
    _start(context, places, takes / 1_000)


async def _call(context, caller: Caller) -> None:
    await caller.send(context.address)
    await caller.receive()


@when("http server: {count:d} callers call one after the other, and keep their connections")
def step_call(context, count):
    context.callers = [Caller() for _ in range(count)]
    for caller in context.callers:
        context.kernel.run(_call, context, caller)
        context.kernel.run(curio.sleep, SETTLE_S)


@when("http server: one more calls")
def step_one_more(context):
    context.further = Caller()
    context.kernel.run(_call, context, context.further)


@then("http server: it is answered")
def step_answered(context):
    assert context.further.is_answered, context.further.answer


@then("http server: the connection of the first caller is closed, and those of the others are open")
def step_first_closed(context):
    states = [context.kernel.run(caller.is_open) for caller in context.callers]
    assert states == [False, *[True] * (len(states) - 1)], states


@then("http server: all were answered, and {count:d} connections are open")
def step_all_answered(context, count):
    assert all(caller.is_answered for caller in context.callers)
    states = [context.kernel.run(caller.is_open) for caller in context.callers]
    assert sum(states) == count, states


@when("http server: {count:d} callers call at once, and one more calls")
def step_at_once(context, count):
    context.callers = [Caller() for _ in range(count)]
    for caller in context.callers:
        context.kernel.run(caller.send, context.address)
    context.kernel.run(curio.sleep, SETTLE_S)
    _call_further(context)
    for caller in context.callers:
        context.kernel.run(caller.receive)


def _call_further(context) -> None:
    began_at = time.monotonic()
    step_one_more(context)
    context.took_s = time.monotonic() - began_at


@then("http server: the {count:d} are answered, and the further one is closed at once")
def step_further_closed(context, count):
    assert sum(caller.is_answered for caller in context.callers) == count
    assert not context.further.answer and context.took_s < AT_ONCE_S, context.took_s


@when("http server: {count:d} callers have sent half a call, and one more calls")
def step_half(context, count):
    context.callers = [Caller() for _ in range(count)]
    for caller in context.callers:
        context.kernel.run(caller.send, context.address, CALL[:20])
    context.kernel.run(curio.sleep, SETTLE_S)
    _call_further(context)


@then("http server: it is closed at once, and the {count:d} are answered when they send the rest")
def step_rest(context, count):
    assert not context.further.answer and context.took_s < AT_ONCE_S, context.took_s
    for caller in context.callers:
        context.kernel.run(caller.send_rest, CALL[20:])
        context.kernel.run(caller.receive)
    assert sum(caller.is_answered for caller in context.callers) == count


@when("http server: {count:d} callers call while it does not look, and it is told to end")
def step_unseen(context, count):
    context.callers = [Caller() for _ in range(count)]
    context.kernel.run(_call_unseen_and_end, context)


async def _call_unseen_and_end(context) -> None:
    """Call without a moment in which the server's tasks run."""
    for caller in context.callers:
        caller.send_at_once(context.address, CALL)
    await _end(context)


async def _end(context) -> None:
    """Drain the server as a process does that ends behind it: what is not answered is cut."""
    began_at = time.monotonic()
    await context.server.drain()
    context.ended_s = time.monotonic() - began_at
    for caller in context.callers:
        caller.receive_at_once()


@when("http server: {count:d} callers connect, it is told to end, and they call {late:d} ms later")
def step_late_call(context, count, late):
    context.callers = [Caller() for _ in range(count)]
    context.kernel.run(_connect_and_end, context, late / 1_000)


async def _connect_and_end(context, late_s: float) -> None:
    for caller in context.callers:
        await caller.send(context.address, b"")
    await curio.sleep(SETTLE_S)
    ending = await curio.spawn(_end, context)
    await curio.sleep(late_s)
    for caller in context.callers:
        await caller.send_rest(CALL)
    await ending.join()


@when("http server: it is told to end")
def step_end(context):
    context.callers = []
    context.kernel.run(_end, context)


@then("http server: the {count:d} are answered, and the server has ended within {limit:d} ms")
def step_ended_answered(context, count, limit):
    assert sum(caller.is_answered for caller in context.callers) == count
    step_ended(context, limit)


@then("http server: the server has ended within {limit:d} ms")
def step_ended(context, limit):
    assert context.ended_s < limit / 1_000, context.ended_s


@then("http server: a further connection is refused")
def step_refused(context):
    try:
        context.kernel.run(Caller().send, context.address)
    except ConnectionRefusedError:
        return
    raise AssertionError("the connection was taken")

"""Steps on the HTTP server of calls."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.support.http_test_clients import CALL, SETTLE_S, HttpTestClient
from limedyke.transport.http_server import HttpAnswer, HttpLimits, HttpServer
from limedyke.transport.link import listen

AT_ONCE_S = 0.2


def _start(context, places: int, takes_s: float = 0.0, backlog: int | None = None) -> None:
    async def answer(_request: object) -> HttpAnswer:
        await curio.sleep(takes_s)
        return HttpAnswer(200)

    context.kernel = curio.Kernel()
    context.add_cleanup(context.kernel.run, shutdown=True)
    listener = listen("127.0.0.1:0").unwrap()
    if backlog is not None:
        listener.listen(backlog)
    host, port = listener.getsockname()
    context.address = f"{host}:{port}"
    server = HttpServer(answer, HttpLimits(1_024, connections=places))
    context.server = server

    async def begin() -> None:
        await curio.spawn(server.run, listener, daemon=True)
        await curio.sleep(SETTLE_S)

    if backlog is None:
        context.kernel.run(begin)
    else:
        context.begin_to_accept = lambda: curio.spawn(server.run, listener, daemon=True)


@given("http server: one with places for {places:d} connections, and a queue of {backlog:d}")
def step_short_queue(context, places, backlog):
    _start(context, places, backlog=backlog)


@given("http server: one with places for {places:d} connections")
def step_server(context, places):
    _start(context, places)


@given("http server: one with places for {places:d} connections, whose calls take {takes:d} ms")
def step_slow_server(context, places, takes):
    _start(context, places, takes / 1_000)


async def _call(context, caller: HttpTestClient) -> None:
    await caller.send(context.address)
    await caller.receive()


@when("http server: {count:d} callers call one after the other, and keep their connections")
def step_call(context, count):
    context.callers = [HttpTestClient() for _ in range(count)]
    for caller in context.callers:
        context.kernel.run(_call, context, caller)
        context.kernel.run(curio.sleep, SETTLE_S)


@when("http server: one more calls")
def step_one_more(context):
    context.further = HttpTestClient()
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
    context.callers = [HttpTestClient() for _ in range(count)]
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
    context.callers = [HttpTestClient() for _ in range(count)]
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
    context.callers = [HttpTestClient() for _ in range(count)]
    context.kernel.run(_call_unseen_and_end, context)


async def _call_unseen_and_end(context) -> None:
    """Call without a moment in which the server's tasks run."""
    for caller in context.callers:
        caller.send_blocking(context.address, CALL)
    await _end(context)


async def _end(context) -> None:
    """Drain the server as a process does that ends behind it: what is not answered is cut."""
    await _drain(context)
    for caller in context.callers:
        caller.receive_available()


async def _drain(context) -> None:
    began_at = time.monotonic()
    await context.server.drain()
    context.ended_s = time.monotonic() - began_at


@when("http server: {count:d} callers connect, it is told to end, and they call {late:d} ms later")
def step_late_call(context, count, late):
    context.callers = [HttpTestClient() for _ in range(count)]
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


@when(
    "http server: {count:d} callers connect, it is told to end, stands still for {still:d} ms, and "
    "they call meanwhile"
)
def step_stands_still(context, count, still):
    context.callers = [HttpTestClient() for _ in range(count)]
    context.kernel.run(_connect_and_stand_still, context, still / 1_000)


async def _connect_and_stand_still(context, still_s: float) -> None:
    for caller in context.callers:
        await caller.send(context.address, b"")
    await curio.sleep(SETTLE_S)
    ending = await curio.spawn(_end, context)
    await curio.sleep(SETTLE_S)
    for caller in context.callers:
        caller.send_rest_blocking(CALL)
    time.sleep(still_s)
    await ending.join()


@when(
    "http server: {count:d} callers connect while it does not look, "
    "the last one's confirmation is lost"
)
def step_unconfirmed(context, count):
    """The queue is full when the confirmation comes, so that the kernel drops it."""
    context.callers = [HttpTestClient() for _ in range(count)]
    *queued, last = context.callers
    last.start_connecting(context.address)
    for caller in queued:
        caller.send_blocking(context.address, b"")
    context.kernel.run(last.stop_packet_loss)


@when("http server: it is told to end, and they call, the last one once the first is answered")
def step_end_and_call(context):
    context.kernel.run(_end_and_call, context)


async def _end_and_call(context) -> None:
    """The kernel has thrown the confirmation away; the first bytes of the call bring it again.

    They find room in the queue once the server has begun to take it over.
    """
    *queued, last = context.callers
    await context.begin_to_accept()
    ending = await curio.spawn(_drain, context)
    for caller in queued:
        caller.send_rest_blocking(CALL)
    await queued[0].receive()
    last.send_rest_blocking(CALL)
    await ending.join()
    for caller in context.callers[1:]:
        caller.receive_available()


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
        context.kernel.run(HttpTestClient().send, context.address)
    except ConnectionRefusedError:
        return
    raise AssertionError("the connection was taken")

"""Steps for the HTTP server."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.support.http_test_clients import CALL, SETTLE_S, HttpTestClient
from limedyke.transport.http_server import HttpAnswer, HttpLimits, HttpServer
from limedyke.transport.link import listen

AT_ONCE_LIMIT_S = 0.2


def _start(context, connections: int, takes_s: float = 0.0, backlog: int | None = None) -> None:
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
    server = HttpServer(answer, HttpLimits(1_024, connections=connections))
    context.server = server

    async def begin() -> None:
        await curio.spawn(server.run, listener, daemon=True)
        await curio.sleep(SETTLE_S)

    if backlog is None:
        context.kernel.run(begin)
    else:
        context.start_accepting = lambda: curio.spawn(server.run, listener, daemon=True)


@given(
    "http server: a server with a limit of {connections:d} connections, "
    "and an accept queue of {backlog:d}"
)
def step_short_queue(context, connections, backlog):
    _start(context, connections, backlog=backlog)


@given("http server: a server with a limit of {connections:d} connections")
def step_server(context, connections):
    _start(context, connections)


@given(
    "http server: a server with a limit of {connections:d} connections, "
    "whose requests take {takes:d} ms"
)
def step_slow_server(context, connections, takes):
    _start(context, connections, takes / 1_000)


async def _send_request(context, client: HttpTestClient) -> None:
    await client.send(context.address)
    await client.receive()


@when(
    "http server: {count:d} clients send a request one after the other, "
    "and keep their connections open"
)
def step_sequential_requests(context, count):
    context.clients = [HttpTestClient() for _ in range(count)]
    for client in context.clients:
        context.kernel.run(_send_request, context, client)
        context.kernel.run(curio.sleep, SETTLE_S)


@when("http server: one more client sends a request")
def step_one_more(context):
    context.further = HttpTestClient()
    context.kernel.run(_send_request, context, context.further)


@then("http server: it gets a response")
def step_answered(context):
    assert context.further.is_answered, context.further.answer


@then("http server: the connection of the first client is closed, and the others are open")
def step_first_closed(context):
    states = [context.kernel.run(client.is_open) for client in context.clients]
    assert states == [False, *[True] * (len(states) - 1)], states


@then("http server: all get a response, and {count:d} connections are open")
def step_all_answered(context, count):
    assert all(client.is_answered for client in context.clients)
    states = [context.kernel.run(client.is_open) for client in context.clients]
    assert sum(states) == count, states


@when("http server: {count:d} clients send a request at the same time, and one more client follows")
def step_at_once(context, count):
    context.clients = [HttpTestClient() for _ in range(count)]
    for client in context.clients:
        context.kernel.run(client.send, context.address)
    context.kernel.run(curio.sleep, SETTLE_S)
    _send_further(context)
    for client in context.clients:
        context.kernel.run(client.receive)


def _send_further(context) -> None:
    began_at = time.monotonic()
    step_one_more(context)
    context.took_s = time.monotonic() - began_at


@then(
    "http server: the {count:d} get a response, "
    "and the connection of the further one is closed at once"
)
def step_further_closed(context, count):
    assert sum(client.is_answered for client in context.clients) == count
    assert not context.further.answer and context.took_s < AT_ONCE_LIMIT_S, context.took_s


@when("http server: {count:d} clients have sent half a request, and one more client follows")
def step_half_request(context, count):
    context.clients = [HttpTestClient() for _ in range(count)]
    for client in context.clients:
        context.kernel.run(client.send, context.address, CALL[:20])
    context.kernel.run(curio.sleep, SETTLE_S)
    _send_further(context)


@then(
    "http server: the further connection is closed at once, "
    "and the {count:d} get a response after sending the rest"
)
def step_rest(context, count):
    assert not context.further.answer and context.took_s < AT_ONCE_LIMIT_S, context.took_s
    for client in context.clients:
        context.kernel.run(client.send_rest, CALL[20:])
        context.kernel.run(client.receive)
    assert sum(client.is_answered for client in context.clients) == count


@when(
    "http server: {count:d} clients send a request while the server is not accepting, "
    "and it is told to stop"
)
def step_unaccepted(context, count):
    context.clients = [HttpTestClient() for _ in range(count)]
    context.kernel.run(_send_and_drain, context)


async def _send_and_drain(context) -> None:
    """Send requests without yielding to the server's tasks, then drain."""
    for client in context.clients:
        client.send_blocking(context.address, CALL)
    await _drain_and_collect(context)


async def _drain_and_collect(context) -> None:
    """Drain the server; like a process that exits then, ignore responses that come later."""
    await _drain(context)
    for client in context.clients:
        client.receive_available()


async def _drain(context) -> None:
    began_at = time.monotonic()
    await context.server.drain()
    context.drained_s = time.monotonic() - began_at


@when(
    "http server: {count:d} clients connect, the server is told to stop, "
    "and they send a request after {late:d} ms"
)
def step_late_request(context, count, late):
    context.clients = [HttpTestClient() for _ in range(count)]
    context.kernel.run(_connect_and_drain, context, late / 1_000)


async def _connect_and_drain(context, late_s: float) -> None:
    for client in context.clients:
        await client.send(context.address, b"")
    await curio.sleep(SETTLE_S)
    draining = await curio.spawn(_drain_and_collect, context)
    await curio.sleep(late_s)
    for client in context.clients:
        await client.send_rest(CALL)
    await draining.join()


@when(
    "http server: {count:d} clients connect, the server is told to stop, "
    "is paused for {still:d} ms, "
    "and they send a request meanwhile"
)
def step_paused_server(context, count, still):
    context.clients = [HttpTestClient() for _ in range(count)]
    context.kernel.run(_connect_and_pause, context, still / 1_000)


async def _connect_and_pause(context, pause_s: float) -> None:
    for client in context.clients:
        await client.send(context.address, b"")
    await curio.sleep(SETTLE_S)
    draining = await curio.spawn(_drain_and_collect, context)
    await curio.sleep(SETTLE_S)
    for client in context.clients:
        client.send_rest_blocking(CALL)
    time.sleep(pause_s)
    await draining.join()


@when(
    "http server: {count:d} clients connect while the server is not accepting, "
    "and the last one's ACK is lost"
)
def step_unconfirmed(context, count):
    """Fill the accept queue before the last client's ACK arrives, so that the kernel drops it."""
    context.clients = [HttpTestClient() for _ in range(count)]
    *queued, last = context.clients
    last.start_connecting(context.address)
    for client in queued:
        client.send_blocking(context.address, b"")
    context.kernel.run(last.stop_packet_loss)


@when(
    "http server: it is told to stop, and they send requests, the last one after the first response"
)
def step_stop_and_send(context):
    context.kernel.run(_drain_and_send, context)


async def _drain_and_send(context) -> None:
    """Drain the server while the last client's handshake is incomplete.

    The kernel dropped the ACK of that handshake; the first bytes of the request carry it again, and
    are accepted once the server has made room in the queue.
    """
    *queued, last = context.clients
    await context.start_accepting()
    draining = await curio.spawn(_drain, context)
    for client in queued:
        client.send_rest_blocking(CALL)
    await queued[0].receive()
    last.send_rest_blocking(CALL)
    await draining.join()
    for client in context.clients[1:]:
        client.receive_available()


@when("http server: the server is told to stop")
def step_end(context):
    context.clients = []
    context.kernel.run(_drain_and_collect, context)


@then("http server: the {count:d} get a response, and the server has stopped within {limit:d} ms")
def step_ended_answered(context, count, limit):
    assert sum(client.is_answered for client in context.clients) == count
    step_ended(context, limit)


@then("http server: the server has stopped within {limit:d} ms")
def step_ended(context, limit):
    assert context.drained_s < limit / 1_000, context.drained_s


@then("http server: a further connection is refused")
def step_refused(context):
    try:
        context.kernel.run(HttpTestClient().send, context.address)
    except ConnectionRefusedError:
        return
    raise AssertionError("the connection was taken")

"""Steps for the limits of the client side: session state, clients, unread answers, memory."""

from __future__ import annotations

import select
import socket

from behave import then, when
from behave.runner import Context

from features.support.client_connections import (
    check_answers,
    check_refused,
    log_in_wire,
    open_wire,
)
from features.support.client_side_runner import PASSWORD, shared_client_side
from features.support.wire_client import Refusal, message

SMALL_BUFFER_BYTES = 4_096
BLOCKED_S = 0.3
ADDITIONS = {
    "prepared statements": lambda number: (
        message(b"P", f"s{number}\0select {number}\0\0\0".encode()) + message(b"S", b"")
    ),
    "large prepared statements": lambda number: (
        message(b"P", f"s{number}\0select '".encode() + b"x" * 900_000 + b"'\0\0\0")
        + message(b"S", b"")
    ),
    "settings": lambda number: message(b"Q", f"set my.s{number} = '{'x' * 1_000}'\0".encode()),
}


@when("client: a logged-in connection adds {what} until it is refused")
def when_adds(context: Context, what: str) -> None:
    context.client = log_in_wire(context)
    for number in range(3_000):
        context.client.send(ADDITIONS[what](number))
        received = context.client.receive_until_ready()
        errors = [Refusal.parse(body) for kind, body in received if kind == b"E"]
        if errors:
            context.refused = (number, errors[0].sqlstate)
            return
    raise AssertionError("never refused")


@then("client: it was refused with {sqlstate} before {count:d}")
def then_was_refused(context: Context, sqlstate: str, count: int) -> None:
    number, found = context.refused
    assert found == sqlstate, found
    assert number < count, number


@then("client: the session still answers")
def then_session_answers(context: Context) -> None:
    check_answers(context.client)


@when("client: {count:d} clients of {tenant} log in")
def when_many_log_in(context: Context, count: int, tenant: str) -> None:
    for _ in range(count):
        context.client = open_wire(context)
        login = {"user": "app", "database": f"{tenant}/main"}
        context.received = context.client.log_in(login, PASSWORD)


@then("client: the last one is refused with {sqlstate} and {code}")
def then_last_refused(context: Context, sqlstate: str, code: str) -> None:
    check_refused(context, sqlstate, code)


@when("client: a session sends requests and reads no answers")
def when_reads_nothing(context: Context) -> None:
    client = log_in_wire(context)
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    request = message(b"Q", b"select '" + b"x" * 500_000 + b"'\0")
    sent = 0
    while select.select([], [client.socket], [], BLOCKED_S)[1]:
        sent += client.socket.send(request[sent % len(request) :])
    context.sockets = context.side.sockets


@then("client: the stalled session is disconnected")
def then_stalled_cut(context: Context) -> None:
    context.side.wait(lambda: context.side.sockets < context.sockets)


@when("client: {count:d} connections stay idle")
def when_many_idle(context: Context, count: int) -> None:
    context.side = shared_client_side()
    for _ in range(50):
        context.side.logged_in().close()
    before = context.side.memory
    context.idle = [context.side.logged_in() for _ in range(count)]
    context.per_connection = (context.side.memory - before) / count
    context.add_cleanup(lambda: [client.close() for client in context.idle])


@then("client: each idle connection costs less than {limit:d} KB")
def then_memory(context: Context, limit: int) -> None:
    assert context.per_connection < limit * 1_024, context.per_connection


@then("client: each of {count:d} of them still answers")
def then_idle_answer(context: Context, count: int) -> None:
    for client in context.idle[:: len(context.idle) // count]:
        check_answers(client)

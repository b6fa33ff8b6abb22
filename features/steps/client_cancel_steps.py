"""Steps for cancel requests, and for clients that disconnect during a statement."""

from __future__ import annotations

import contextlib
import struct
import time

from behave import then, when
from behave.runner import Context

from features.support.client_connections import log_in_wire, open_wire
from features.support.client_side_runner import shared_client_side
from features.support.wire_client import Refusal, WireClient, WireClosedError, message

CANCEL_CODE = 80_877_102


@when("client: two sessions run paused statements")
def when_two_paused(context: Context) -> None:
    context.names = [f"p{time.monotonic_ns()}n{number}" for number in range(2)]
    context.clients = [log_in_wire(context) for _ in context.names]
    for client, name in zip(context.clients, context.names, strict=True):
        client.send(message(b"Q", f"select pause({name})\0".encode()))
    context.side.wait(
        lambda: all(any(name in str(item) for item in context.side.work) for name in context.names)
    )


def _cancel(context: Context, key_data: bytes) -> None:
    canceller = open_wire(context)
    body = struct.pack("!I", CANCEL_CODE) + key_data
    canceller.send(struct.pack("!I", len(body) + 4) + body)
    context.canceller = canceller


@when("client: the first is cancelled")
def when_first_cancelled(context: Context) -> None:
    _cancel(context, context.clients[0].key_data)


@when("client: a cancel request with {case} arrives")
def when_wrong_cancel(context: Context, case: str) -> None:
    process_id, secret = struct.unpack("!II", context.clients[0].key_data)
    match case:
        case "a wrong secret":
            key_data = struct.pack("!II", process_id, secret ^ 1)
        case "a wrong process":
            key_data = struct.pack("!II", process_id ^ 0x7FF00000, secret)
        case "a wrong size":
            key_data = context.clients[0].key_data + b"\0"
    _cancel(context, key_data)
    with contextlib.suppress(WireClosedError):
        context.canceller.receive_refusal()


@then("client: the first gets {sqlstate} and the second its own answer")
def then_first_cancelled(context: Context, sqlstate: str) -> None:
    first, second = context.clients
    refusals = [Refusal.parse(body) for kind, body in first.receive_until_ready() if kind == b"E"]
    assert [refusal.sqlstate for refusal in refusals] == [sqlstate], refusals
    context.side.release(context.names[1])
    _check_own_answer(second, context.names[1])


@then("client: both sessions get their own answers")
def then_both_answers(context: Context) -> None:
    for client, name in zip(context.clients, context.names, strict=True):
        context.side.release(name)
        _check_own_answer(client, name)


def _check_own_answer(client: WireClient, name: str) -> None:
    rows = [body[6:].decode() for kind, body in client.receive_until_ready() if kind == b"D"]
    assert rows == [f"select pause({name})"], rows


@when("client: a session runs a paused statement in a transaction and disconnects")
def when_goes_away(context: Context) -> None:
    context.side = shared_client_side()
    name = f"p{time.monotonic_ns()}"
    client = context.side.logged_in()
    client.query("begin")
    client.send(message(b"Q", f"update a set b = pause({name})\0".encode()))
    context.side.wait(lambda: any(name in str(item) for item in context.side.work))
    unit = next(item for item in context.side.work if name in str(item))
    context.transaction = unit["transaction"]
    assert context.transaction
    client.close()


@then("client: its transaction is abandoned")
def then_transaction_abandoned(context: Context) -> None:
    wanted = {"kind": "abandon", "transaction": context.transaction, "cancel_only": False}
    context.side.wait(lambda: any(wanted.items() <= item.items() for item in context.side.work))

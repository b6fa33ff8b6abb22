"""Steps for broken and hostile clients, with raw bytes."""

from __future__ import annotations

import struct
import time

from behave import then, when
from behave.runner import Context

from features.support.client_connections import (
    check_answers,
    check_refused,
    log_in_wire,
    open_wire,
)
from features.support.wire_client import (
    GSS_REQUEST,
    MECHANISM,
    SSL_REQUEST,
    message,
    sasl_initial,
    startup_packet,
)

LOGIN = {"user": "app", "database": "acme/main"}
FIRST_PACKETS = {
    "unterminated": startup_packet(LOGIN)[:-1].replace(
        struct.pack("!I", len(startup_packet(LOGIN))),
        struct.pack("!I", len(startup_packet(LOGIN)) - 1),
        1,
    )[:-1]
    + b"x",
    "not-utf8": struct.pack("!II", 19, 196_608) + b"user\0\xff\xfe\xfd\0\0\0",
    "odd": struct.pack("!II", 16, 196_608) + b"user\0\0\0\0",
    "startup-and-more": startup_packet(LOGIN) + b"Q",
    "tls-and-more": SSL_REQUEST + startup_packet(LOGIN),
    "gss-twice": GSS_REQUEST,
    "half": startup_packet(LOGIN)[:10],
    "nothing": b"",
}
PASSWORD_MESSAGES = {
    "query": message(b"Q", b"select 1\0"),
    "mechanism": sasl_initial(b"n,,n=,r=abc", b"SCRAM-SHA-1"),
    "wrong-length": message(b"p", MECHANISM + b"\0\0\0\0\x09n,,n=,r=abc"),
    "garbage": sasl_initial(b"hello"),
    "not-utf8": sasl_initial(b"\xff\xfe"),
    "binding": sasl_initial(b"p=tls-unique,,n=,r=abc"),
    "oversized": b"p" + struct.pack("!I", 100_000),
    "and-more": sasl_initial(b"n,,n=,r=abc") + message(b"Q", b"select 1\0"),
    "half": sasl_initial(b"n,,n=,r=abc")[:9],
}
LARGE_PARSE = message(b"P", b"\0select '" + b"x" * 600_000 + b"'\0\0\0")
LATER_MESSAGES = {
    "short": b"Q" + struct.pack("!I", 3),
    "long": b"Q" + struct.pack("!I", 1 << 30),
    "unknown": message(b"y", b""),
    "unterminated": message(b"Q", b"select 1"),
    "parse": message(b"P", b"\0select 1\0") + message(b"S", b""),
    "bind": message(b"B", b"\0") + message(b"S", b""),
    "describe": message(b"D", b"X\0") + message(b"S", b""),
    "execute": message(b"E", b"\0") + message(b"S", b""),
    "close": message(b"C", b"Q\0") + message(b"S", b""),
    "batch": LARGE_PARSE + LARGE_PARSE,
}


@when("client: a connection sends {name}")
def when_first_packet(context: Context, name: str) -> None:
    context.client = open_wire(context)
    word, _, rest = name.partition(" ")
    match word:
        case "length":
            context.client.send(struct.pack("!I", int(rest)) + b"\0\0\0\0")
        case "text":
            context.client.send(rest.encode() + b"\r\n\r\n")
        case "version":
            context.client.send(startup_packet(LOGIN, int(rest)))
        case "startup":
            pairs = dict(pair.split("=", 1) for pair in rest.split(" "))
            context.client.send(startup_packet(pairs))
        case _:
            context.client.send(FIRST_PACKETS[word])
    if word == "gss-twice":
        assert context.client.receive_byte() == b"N"
        context.client.send(GSS_REQUEST)


@when("client: a connection starts and sends {name} for its password")
def when_password(context: Context, name: str) -> None:
    context.client = open_wire(context)
    context.client.send(startup_packet(LOGIN))
    assert context.client.receive()[0] == b"R"
    context.client.send(PASSWORD_MESSAGES[name])


@when("client: {user} logs in to {database} with {password} and {settings}")
def when_logs_in(context: Context, user: str, database: str, password: str, settings: str) -> None:
    context.client = open_wire(context)
    chosen = {} if settings == "no settings" else dict([settings.split("=", 1)])
    parameters = {"user": user, "database": database} | chosen
    context.received = context.client.log_in(parameters, password)


@when("client: a logged-in connection sends {name}")
def when_later(context: Context, name: str) -> None:
    context.client = log_in_wire(context)
    context.client.send(LATER_MESSAGES[name])


@then("client: it is refused with {sqlstate} and {code}")
def then_refused(context: Context, sqlstate: str, code: str) -> None:
    check_refused(context, sqlstate, code)


@then("client: the proxy closes it")
def then_closed(context: Context) -> None:
    assert context.client.is_closed_by_proxy()


@then("client: another client is served")
def then_other_served(context: Context) -> None:
    client = context.side.logged_in()
    check_answers(client)
    client.close()


@then("client: another client is served within {limit:d} ms")
def then_other_served_within(context: Context, limit: int) -> None:
    started = time.monotonic()
    then_other_served(context)
    elapsed_ms = (time.monotonic() - started) * 1_000
    assert elapsed_ms < limit, elapsed_ms


@then("client: {one} and {other} are refused in the same words and messages")
def then_same_words(context: Context, one: str, other: str) -> None:
    answers = []
    for user in (one, other):
        client = open_wire(context)
        received = client.log_in({"user": user, "database": "acme/main"}, "wrong")
        # Salt and nonce differ between exchanges, but their lengths must not.
        shapes = [(kind, len(body)) for kind, body in received[:-1]]
        answers.append((shapes, received[-1]))
    assert answers[0] == answers[1], answers

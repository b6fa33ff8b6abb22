"""Steps for TLS for client connections."""

from __future__ import annotations

import signal

import psycopg
from behave import given, then, when
from behave.runner import Context

from features.support.client_side_runner import ClientSide, shared_client_side
from features.support.wire_client import SSL_REQUEST, WireClient

HANDSHAKE_BYTES = {
    "garbage": b"\x16\x03\x01garbage, not a handshake at all, and long enough" * 8,
    "nothing": b"",
    "half": b"\x16\x03\x01\x02\x00\x01\x00",
}
RELOAD_CHECKS = 3


@given("client: a proxy whose TLS is {offer}")
def given_offer(context: Context, offer: str) -> None:
    match offer:
        case "absent":
            context.side = shared_client_side()
        case "offered":
            context.side = shared_client_side("one")
        case "required":
            context.side = ClientSide("one", tls_required=True)
            context.add_cleanup(context.side.stop)


@given("client: a proxy with the certificate {name}")
def given_certificate(context: Context, name: str) -> None:
    context.side = ClientSide(name)
    context.add_cleanup(context.side.stop)
    assert context.side.certificate_name() == name


@given("client: a driver connected over TLS")
def given_driver(context: Context) -> None:
    context.connection = context.side.psycopg(sslmode="require")
    context.add_cleanup(context.connection.close)


@when("client: the certificate is replaced by {name} and SIGHUP sent")
def when_replaced(context: Context, name: str) -> None:
    context.side.write_certificate(name)
    context.side.process.send_signal(signal.SIGHUP)


@when("client: {broken} is installed and SIGHUP sent")
def when_broken(context: Context, broken: str) -> None:
    folder = context.side.folder
    kept = (folder / "cert.pem").read_bytes()
    context.side.write_certificate("two")
    if broken == "an unreadable file":
        (folder / "cert.pem").write_bytes(b"not a certificate")
    else:
        (folder / "cert.pem").write_bytes(kept)
    context.side.process.send_signal(signal.SIGHUP)
    context.side.wait(lambda: "not-reloaded" in context.side.log)


@when("client: a connection asks for TLS and sends {fault}")
def when_faulty_handshake(context: Context, fault: str) -> None:
    context.client = WireClient(context.side.address)
    context.add_cleanup(context.client.close)
    context.client.send(SSL_REQUEST)
    assert context.client.receive_byte() == b"S"
    context.client.send(HANDSHAKE_BYTES[fault])


@then("client: the driver with sslmode {mode} is {result}")
def then_driver(context: Context, mode: str, result: str) -> None:
    options = {"sslmode": mode}
    if mode == "verify-full":
        options["sslrootcert"] = str(context.side.folder / "cert.pem")
    try:
        connection = context.side.psycopg(**options)
    except psycopg.OperationalError as error:
        expected = result.removeprefix("refused with ")
        assert result == "not connected" or expected in str(error), error
        return
    with connection:
        shown = "served over TLS" if connection.pgconn.ssl_in_use else "served in the clear"
        assert shown == result, shown
        assert connection.execute("select 1").fetchone() == ("select 1",)


@then("client: new connections get the certificate {name}")
def then_shown(context: Context, name: str) -> None:
    context.side.wait(lambda: context.side.certificate_name() == name)


@then("client: new connections still get {name}, and are served")
def then_still_shown(context: Context, name: str) -> None:
    for _ in range(RELOAD_CHECKS):
        assert context.side.certificate_name() == name
    then_driver(context, "require", "served over TLS")


@then("client: the driver that was connected is still served")
def then_still_served(context: Context) -> None:
    assert context.connection.execute("select 1").fetchone() == ("select 1",)


@then("client: its connection ends")
def then_ends(context: Context) -> None:
    context.client.socket.settimeout(10)
    while True:
        try:
            if not context.client.socket.recv(4_096):
                return
        except ConnectionError:
            return

"""Raw connections to the shared client side, and checks of the answers."""

from __future__ import annotations

from behave.runner import Context

from features.support.client_side_runner import shared_client_side
from features.support.wire_client import Refusal, WireClient

ONE_ROW = [b"T", b"D", b"C", b"Z"]
"""Message types of the answer to a query with one row."""


def open_wire(context: Context) -> WireClient:
    """Open a connection without sending anything; it is closed at the end of the scenario."""
    context.side = shared_client_side()
    client = context.side.wire()
    context.add_cleanup(client.close)
    return client


def log_in_wire(context: Context) -> WireClient:
    """Open a connection and log in; it is closed at the end of the scenario."""
    context.side = shared_client_side()
    client = context.side.logged_in()
    context.add_cleanup(client.close)
    return client


def check_answers(client: WireClient) -> None:
    """Check that a session answers a query."""
    kinds = [kind for kind, _ in client.query("select 1")]
    assert kinds == ONE_ROW, kinds


def check_refused(context: Context, sqlstate: str, code: str) -> None:
    """Check that the scenario's connection was refused with a FATAL error.

    :param code: label of the result code, or ``none`` for a refusal without one
    """
    received = getattr(context, "received", None)
    if received:
        kind, body = received[-1]
        assert kind == b"E", received
        refusal = Refusal.parse(body)
    else:
        refusal = context.client.receive_refusal()
    expected = "" if code == "none" else code
    assert (refusal.sqlstate, refusal.label) == (sqlstate, expected), refusal
    assert refusal.severity == "FATAL", refusal

"""Steps for logins that are revoked while their sessions are open."""

from __future__ import annotations

from behave import given, step, then, when
from behave.runner import Context

from features.support.client_side_runner import PASSWORD, ClientSide
from features.support.wire_client import Refusal, WireClient

ROWS = [b"T", b"D", b"C", b"Z"]
TENANTS = ("acme", "rival")


def _log_in(side: ClientSide, tenant: str) -> tuple[WireClient, bytes, bytes]:
    client = side.wire()
    received = client.log_in({"user": "app", "database": f"{tenant}/main"}, PASSWORD)
    return client, *received[-1]


def _check(refusal: Refusal, sqlstate: str, code: str) -> None:
    assert (refusal.severity, refusal.sqlstate, refusal.label) == ("FATAL", sqlstate, code), refusal


@given("client: a proxy of its own with sessions of acme and rival, one of each in a transaction")
def given_sessions(context: Context) -> None:
    context.side = ClientSide()
    context.add_cleanup(context.side.stop)
    context.idle = {tenant: _log_in(context.side, tenant)[0] for tenant in TENANTS}
    context.working = {tenant: _log_in(context.side, tenant)[0] for tenant in TENANTS}
    for client in context.working.values():
        assert client.query("begin")[-1] == (b"Z", b"T")


@when("client: the access of {tenant} is revoked")
def when_revoked(context: Context, tenant: str) -> None:
    (context.side.folder / "revoked").write_text(tenant)


@step("client: the idle session of {tenant} is refused with {sqlstate} and {code}")
def then_idle_refused(context: Context, tenant: str, sqlstate: str, code: str) -> None:
    _check(context.idle[tenant].receive_refusal(), sqlstate, code)
    assert context.idle[tenant].is_closed_by_proxy()


@then("client: the transaction of {tenant} may commit")
def then_may_commit(context: Context, tenant: str) -> None:
    context.client = context.working[tenant]
    received = context.client.query("commit")
    assert [kind for kind, _ in received] == [b"C", b"Z"], received


@then("client: its next request is refused with {sqlstate} and {code}")
def then_next_refused(context: Context, sqlstate: str, code: str) -> None:
    context.client.send(b"Q\0\0\0\rselect 1\0")
    _check(context.client.receive_refusal(), sqlstate, code)


@then("client: a new login of {tenant} is refused with {sqlstate} and {code}")
def then_login_refused(context: Context, tenant: str, sqlstate: str, code: str) -> None:
    _, kind, body = _log_in(context.side, tenant)
    assert kind == b"E", kind
    _check(Refusal.parse(body), sqlstate, code)


@then("client: the sessions of {tenant} are served as before")
def then_served(context: Context, tenant: str) -> None:
    for client in (context.idle[tenant], context.working[tenant]):
        received = client.query("select 1")
        assert [kind for kind, _ in received] == ROWS, received

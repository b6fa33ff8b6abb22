"""A test process with the client side of a proxy and a scripted back end.

``python -m features.support.client_side_process IP:PORT FOLDER`` prints the line
``ready`` when it accepts connections, then one line of JSON for each unit and each
abandoned work item.  SIGTERM drains it.  It needs no controllers and no members.
Logins: tenants ``acme`` and ``rival``, user ``app``, password ``secret``, group ``main``.
"""

from __future__ import annotations

import itertools
import sys
from pathlib import Path

import curio
from curio import socket
from prometheus_client import CollectorRegistry

from features.support.scripted_back_end import ScriptedBackEnd
from limedyke.addresses import split_address
from limedyke.core.sessions.client_exchange import Moment, SessionCommand
from limedyke.core.sessions.session import Session
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_token import TokenAuthority
from limedyke.core.sql.statement_cache import StatementCache
from limedyke.event_log import start_logging
from limedyke.garbage_collection import resume_garbage_collection
from limedyke.messages.declaration import Group, Tenant, TenantAccess, User
from limedyke.messages.work import AnswerEnd
from limedyke.postgres.client_login import LoginPolicy
from limedyke.proxy.clients.connection import ClientConnection
from limedyke.proxy.clients.login_directory import LoginDirectory
from limedyke.proxy.clients.registry import ClientRegistry
from limedyke.proxy.clients.services import ClientServices
from limedyke.proxy.clients.tls import ClientTls, ReloadOnHangup
from limedyke.proxy.clients.watch import ClientWatch
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.drain import drain_proxy
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.result_codes import Failure, ResultCode
from limedyke.scram_verifier import make_verifier
from limedyke.settings.proxy import TlsSettings
from limedyke.stop_signal import StopSignal
from limedyke.transport.link import listen

TENANTS = ("acme", "rival")
USER = "app"
PASSWORD = "secret"
GROUP = "main"
CLIENT_LIMIT = 12_000
SMALL_CLIENT_LIMIT = 3
MAXIMUM_MESSAGE_BYTES = 1024 * 1024
STARTUP_TIMEOUT_S = 1.0
STALLED_CLIENT_S = 2.0
IDLE_IN_TRANSACTION_S = 5.0
DRAIN_DEADLINE_S = 3.0
TLS_REQUIRED_MARK = "tls-required"
DISABLED_SAFEGUARD = "disabled-safeguard"
REVOKED = "revoked"
REVOKED_CHECK_S = 0.02


class NullControl:
    """Replaces the control client."""

    async def leave(self, done: bool) -> None:
        """Do nothing; there are no controllers."""


def make_view(tenant_names: tuple[str, ...] = TENANTS) -> ControlView:
    """Return a view with the tenants and the group; only the named tenants may use the group."""
    users = (User(USER, make_verifier(PASSWORD)),)
    tenants = {
        "acme": Tenant("acme", users, client_limit=CLIENT_LIMIT),
        "rival": Tenant("rival", users, client_limit=SMALL_CLIENT_LIMIT),
    }
    access = tuple(TenantAccess(name, "main", "backend", "secret", 5) for name in tenant_names)
    group = Group(GROUP, (), 40, 5, access, "admin")
    return ControlView(1, 1, tenants=tenants, groups={GROUP: group})


def make_services(
    back_end: ScriptedBackEnd,
    tls: ClientTls | None,
    tls_required: bool,
    directory: LoginDirectory | None = None,
) -> ClientServices:
    """Return the services of client connections, with a scripted back end."""
    directory = directory or LoginDirectory()
    directory.update(make_view())
    numbers = itertools.count(1)
    context = SessionContext(
        StatementCache(),
        TokenAuthority({1: b"first key", 2: b"second key"}),
        lambda: next(numbers),
        directory.find_tenant,
        idle_in_transaction_s=IDLE_IN_TRANSACTION_S,
        maximum_batch_bytes=MAXIMUM_MESSAGE_BYTES,
    )
    return ClientServices(
        context=context,
        login_policy=LoginPolicy(directory.find_verifier, b"mock", tls is not None, tls_required),
        registry=ClientRegistry("test-proxy", CLIENT_LIMIT),
        executor=back_end,
        metrics=ProxyMetrics(CollectorRegistry()),
        tls=tls,
        startup_timeout_s=STARTUP_TIMEOUT_S,
        stalled_client_s=STALLED_CLIENT_S,
        maximum_message_bytes=MAXIMUM_MESSAGE_BYTES,
    )


async def accept_clients(listener: socket.socket, services: ClientServices) -> None:
    """Accept and serve clients until cancelled."""
    while True:
        client, _ = await listener.accept()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await curio.spawn(ClientConnection(client, services).run, daemon=True)


async def revoke_on_request(folder: Path, directory: LoginDirectory, watch: ClientWatch) -> None:
    """Revoke the access of the tenant named in the file ``revoked`` when that file appears."""
    while not (folder / REVOKED).exists():
        await curio.sleep(REVOKED_CHECK_S)
    name = (folder / REVOKED).read_text()
    directory.update(make_view(tuple(tenant for tenant in TENANTS if tenant != name)))
    await watch.end_revoked(directory.is_allowed)


def disable_safeguard(safeguard: str) -> None:
    """Disable a safeguard of the drain."""
    if safeguard == "wait for work":
        ClientWatch.ask_all_to_leave = ClientWatch.end_all
    elif safeguard == "quiet before end":
        take_end = Session._handle_unit_end

        def take_end_and_leave(
            session: Session, end: AnswerEnd, moment: Moment
        ) -> list[SessionCommand]:
            commands = take_end(session, end, moment)
            if session.is_leaving and session.is_idle:
                session._close(Failure(ResultCode.DRAINING), commands)
            return commands

        Session._handle_unit_end = take_end_and_leave


async def serve(address: str, folder: Path) -> int:
    """Serve until SIGTERM, then drain."""
    tls = None
    if (folder / "cert.pem").exists():
        tls = ClientTls(
            TlsSettings(certificate=folder / "cert.pem", private_key=folder / "key.pem")
        )
        tls.load().expect("the test's certificate")
    if (folder / DISABLED_SAFEGUARD).exists():
        disable_safeguard((folder / DISABLED_SAFEGUARD).read_text())
    stop = StopSignal()
    back_end = ScriptedBackEnd(folder)
    directory = LoginDirectory()
    services = make_services(back_end, tls, (folder / TLS_REQUIRED_MARK).exists(), directory)
    watch = ClientWatch(services)
    listener = listen(address).expect("a free address")
    accepting = await curio.spawn(accept_clients, listener, services)
    await curio.spawn(watch.run, daemon=True)
    await curio.spawn(revoke_on_request, folder, directory, watch, daemon=True)
    await curio.spawn(ReloadOnHangup(tls).run, daemon=True)
    print("ready", flush=True)
    await stop.wait()
    await accepting.cancel()
    await listener.close()
    return min(1, await drain_proxy(services, watch, NullControl(), back_end, DRAIN_DEADLINE_S))


if __name__ == "__main__":
    start_logging("INFO")
    # As in a proxy: with Python's default thresholds, garbage collection stops all logins for
    # 0.14 s with 10,000 connections, and for 0.57 s with 6,000 beside 40 busy processes.
    resume_garbage_collection()
    split_address(sys.argv[1])
    raise SystemExit(curio.run(serve, sys.argv[1], Path(sys.argv[2])))

"""The process ``limedyke proxy``: connects clients, back ends, control client and status page."""

from __future__ import annotations

import hmac
import itertools

import curio
from curio import socket
from result import Err

from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_token import TokenAuthority
from limedyke.core.sql.statement_cache import StatementCache
from limedyke.event_log import EventLog
from limedyke.garbage_collection import resume_garbage_collection
from limedyke.messages.handshake import PeerRole
from limedyke.metrics import TrafficCounter, new_registry
from limedyke.postgres.client_login import LoginPolicy
from limedyke.postgres.client_messages import failure_response
from limedyke.proxy.back_ends import BackEnds
from limedyke.proxy.clients.connection import ClientConnection
from limedyke.proxy.clients.login_directory import LoginDirectory
from limedyke.proxy.clients.registry import ClientRegistry
from limedyke.proxy.clients.services import ClientServices
from limedyke.proxy.clients.tls import ClientTls, ReloadOnHangup
from limedyke.proxy.clients.watch import ClientWatch
from limedyke.proxy.control.bridge import ControlBridge
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.store import ControlStore
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.drain import drain_proxy
from limedyke.proxy.limits.limit_metrics import LimitMetrics
from limedyke.proxy.limits.limited_executor import LimitedExecutor
from limedyke.proxy.members.pool_gauges import PoolGauges
from limedyke.proxy.metrics import ProxyMetrics
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.base import EXIT_SETTINGS_INVALID
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke.stop_signal import StopSignal
from limedyke.transport.acceptor import Acceptor
from limedyke.transport.http_status import ReadyState, serve_status
from limedyke.transport.link import LinkIdentity, listen, serve_links
from limedyke.transport.traffic import Place

EXIT_FAILED = 1
REJECT_TIMEOUT_S = 0.1
LEASE_CHECK_S = 1.0
GAUGES_INTERVAL_S = 1.0
MOCK_SECRET_PURPOSE = b"limedyke mock verifier"
LOG = EventLog("proxy")


class Proxy:
    """One proxy process.

    :param settings: checked settings
    :param secrets: the cluster key, back-end passwords and token keys
    """

    def __init__(self, settings: ProxySettings, secrets: Secrets) -> None:
        self._settings = settings
        self._secrets = secrets
        self._cluster_key = (secrets.get(settings.cluster_key) or "").encode()
        self._registry = new_registry()
        self._metrics = ProxyMetrics(self._registry)
        self._traffic = TrafficCounter(self._registry)
        self._directory = LoginDirectory()
        self._first_view = curio.Event()
        self._drain_requested = curio.Event()
        self._draining = False
        self._bridge = ControlBridge(self._apply_view)
        store = ControlStore(settings.data_folder / "control")
        self._control = ControlClient(settings, secrets, store, self._bridge, self._traffic)
        self._control.limits.metrics = LimitMetrics(self._registry)
        self._back_ends = BackEnds(settings, secrets, self._bridge, self._metrics, self._traffic)
        self._bridge.client = self._control
        self._bridge.back_ends = self._back_ends
        self._tls = ClientTls(settings.tls) if settings.tls is not None else None
        self._services = self._make_services()
        self._watch = ClientWatch(self._services)
        self._pool_gauges = PoolGauges(self._metrics)
        self._metrics.control_links.set_function(lambda: self._control.links_opened)
        self._metrics.clients.set_function(lambda: len(self._services.registry.connections))

    def _make_services(self) -> ClientServices:
        settings = self._settings
        numbers = itertools.count(1)
        context = SessionContext(
            statements=StatementCache(),
            authority=TokenAuthority({}),
            next_number=lambda: next(numbers),
            find_tenant=self._directory.find_tenant,
            request_deadline_ms=settings.request_deadline_ms,
            idle_in_transaction_s=settings.idle_in_transaction_ms / 1_000,
            maximum_batch_bytes=settings.maximum_message_bytes,
        )
        policy = LoginPolicy(
            find_verifier=self._directory.find_verifier,
            mock_secret=hmac.digest(self._cluster_key, MOCK_SECRET_PURPOSE, "sha256"),
            tls_available=settings.tls is not None,
            tls_required=settings.tls is not None and settings.tls.required,
        )
        return ClientServices(
            context=context,
            login_policy=policy,
            registry=ClientRegistry(settings.name, settings.maximum_clients),
            executor=LimitedExecutor(self._back_ends, self._control.limits),
            metrics=self._metrics,
            tls=self._tls,
            startup_timeout_s=settings.startup_timeout_ms / 1_000,
            stalled_client_s=settings.request_deadline_ms / 1_000,
            maximum_message_bytes=settings.maximum_message_bytes,
        )

    async def run(self) -> int:
        """Run until a planned stop or a failure; return the exit status."""
        if self._tls is not None:
            loaded = self._tls.load()
            if isinstance(loaded, Err):
                LOG.error("tls-not-loaded", reason=loaded.err_value)
                return EXIT_SETTINGS_INVALID
        client_listener = listen(self._settings.client_listen)
        link_listener = listen(self._settings.link_listen)
        for listener in (client_listener, link_listener):
            if isinstance(listener, Err):
                LOG.error("listen-failed", reason=listener.err_value)
                return EXIT_SETTINGS_INVALID
        return await self._run_tasks(client_listener.ok_value, link_listener.ok_value)

    async def _run_tasks(self, clients: socket.socket, links: socket.socket) -> int:
        settings = self._settings
        place = Place(settings.zone, settings.region)
        identity = LinkIdentity(
            PeerRole.PROXY, settings.name, self._cluster_key, place, self._traffic
        )
        await self._back_ends.start()
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._control.run)
            await tasks.spawn(
                serve_links, links, identity, self._link_key, self._back_ends.serve_link
            )
            await tasks.spawn(
                serve_status, settings.status_listen, self._registry, lambda: True, self._ready
            )
            await tasks.spawn(self._watch.run)
            await tasks.spawn(self._bridge.forward_lease_renewals, LEASE_CHECK_S)
            await tasks.spawn(ReloadOnHangup(self._tls).run)
            await tasks.spawn(self._refresh_gauges)
            await tasks.spawn(self._await_stop_signal)
            serving = await tasks.spawn(self._serve_until_drained, clients)
        finished = tasks.completed
        if finished is serving and finished.exception is None:
            return finished.result
        LOG.error("failed", task=finished.name, reason=repr(finished.exception))
        return EXIT_FAILED

    async def _serve_until_drained(self, clients: socket.socket) -> int:
        await self._first_view.wait()
        LOG.info("serving", listen=self._settings.client_listen)
        acceptor = Acceptor(clients, self._admit, LOG)
        await curio.spawn(acceptor.run, daemon=True)
        await self._drain_requested.wait()
        self._draining = True
        self._metrics.draining.set(1)
        await acceptor.close()
        deadline_s = self._settings.drain_deadline_ms / 1_000
        await drain_proxy(self._services, self._watch, self._control, self._back_ends, deadline_s)
        return 0

    async def _admit(self, sock: socket.socket) -> None:
        self._metrics.clients_accepted.inc()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._services.registry.has_room:
            await curio.spawn(self._reject_client, sock, daemon=True)
            return
        await curio.spawn(ClientConnection(sock, self._services).run, daemon=True)

    async def _reject_client(self, sock: socket.socket) -> None:
        failure = Failure(ResultCode.TOO_MANY_CLIENTS, "The proxy is full.")
        self._metrics.count_refusal(ResultCode.TOO_MANY_CLIENTS)
        try:
            await curio.ignore_after(
                REJECT_TIMEOUT_S, sock.sendall, failure_response(failure, "FATAL")
            )
            await sock.close()
        except OSError:
            return

    # Control views and stop signals

    async def _apply_view(self, view: ControlView) -> None:
        revoked = self._directory.update(view)
        keys = {key.key_id: self._secrets.get(key.secret) for key in view.token_keys}
        missing = [key_id for key_id, value in keys.items() if not value]
        if missing:
            LOG.warning("token-key-without-secret", key_ids=",".join(map(str, missing)))
        known = {key_id: value.encode() for key_id, value in keys.items() if value}
        self._services.context.authority = TokenAuthority(known)
        self._metrics.revision.set(view.revision)
        self._metrics.control_index.set(view.control_index)
        self._metrics.control_updates.inc()
        if revoked:
            await self._watch.end_revoked(self._directory.is_allowed)
        await self._first_view.set()
        if self._control.view_confirmed and view.is_draining(self._settings.name):
            await self._drain_requested.set()

    async def _await_stop_signal(self) -> None:
        await StopSignal().wait()
        LOG.info("stop-asked")
        await self._first_view.set()
        await self._drain_requested.set()
        await curio.Event().wait()

    async def _refresh_gauges(self) -> None:
        while True:
            await curio.sleep(GAUGES_INTERVAL_S)
            self._control.clients = len(self._services.registry.connections)
            self._metrics.control_connected.set(int(self._control.connected))
            self._pool_gauges.refresh(self._back_ends.get_stats())

    def _ready(self) -> ReadyState:
        if self._draining:
            return ReadyState(False, "draining")
        if self._control.view is None:
            return ReadyState(False, "no control state yet")
        return ReadyState(True, "serving")

    def _link_key(self, role: PeerRole, name: str) -> bytes | None:
        return self._cluster_key if role is PeerRole.PROXY else None


def run_proxy(settings: ProxySettings, secrets: Secrets) -> int:
    """Run a proxy process; return its exit status."""
    if not secrets.get(settings.cluster_key):
        LOG.error("secrets-missing", names=settings.cluster_key)
        return EXIT_SETTINGS_INVALID
    settings.data_folder.mkdir(parents=True, exist_ok=True)
    resume_garbage_collection()
    return curio.run(_run, settings, secrets)


async def _run(settings: ProxySettings, secrets: Secrets) -> int:
    return await Proxy(settings, secrets).run()

"""The process of the diskless statement proxy."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import curio
from curio import socket
from result import Err

from limedyke.core.statements.stop_schedule import StopState
from limedyke.event_log import EventLog
from limedyke.messages.handshake import PeerRole
from limedyke.messages.statements import StatementUnit
from limedyke.metrics import TrafficCounter, new_registry
from limedyke.proxy.control.client import ControlClient
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.forwarding.home_links import HomeLinks
from limedyke.proxy.forwarding.server import ForwardingServer
from limedyke.proxy.limits.limit_metrics import LimitMetrics
from limedyke.proxy.statements.clients.client import ClientServices, StatementClient
from limedyke.proxy.statements.clients.client_codec import ClientCodec
from limedyke.proxy.statements.clients.session_admission import SessionAdmission
from limedyke.proxy.statements.executor import StatementExecutor
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.proxy.statements.homes.forwarding import StatementForwarding
from limedyke.proxy.statements.homes.home_service import StatementHomeService, refuse_unit
from limedyke.proxy.statements.members.member_codec import MemberCodec
from limedyke.proxy.statements.members.member_gauges import MemberGauges
from limedyke.proxy.statements.memory_store import MemoryControlStore
from limedyke.proxy.statements.planned_stop import PlannedStop
from limedyke.proxy.statements.runner import StatementRunner
from limedyke.proxy.statements.settings import StatementProxySettings
from limedyke.proxy.statements.statement_log import StatementLog
from limedyke.proxy.statements.statement_metrics import StatementMetrics
from limedyke.settings.base import EXIT_SETTINGS_INVALID
from limedyke.settings.secrets import Secrets
from limedyke.settings_watch import SettingsWatcher
from limedyke.stop_signal import StopSignal
from limedyke.transport.acceptor import Acceptor
from limedyke.transport.http_server import HttpAnswer, HttpLimits, HttpRequest, HttpServer
from limedyke.transport.http_status import ReadyState, serve_status
from limedyke.transport.link import Link, LinkIdentity, listen, serve_links
from limedyke.transport.traffic import Place

EXIT_FAILED = 1
READY_BODY_BYTES = 1_024
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
EVENTS = EventLog("proxy")


class StatementProxy:
    """One proxy process.

    :param make_client_codec: creates the codec of a client connection
    :param make_member_codec: creates the codec of a member connection
    :param settings_file: watched for changes
    :param reread: reads the settings again; raises ValueError when the file is invalid
    """

    def __init__(
        self,
        settings: StatementProxySettings,
        secrets: Secrets,
        make_client_codec: Callable[[], ClientCodec],
        make_member_codec: Callable[[], MemberCodec],
        settings_file: Path,
        reread: Callable[[], StatementProxySettings],
    ) -> None:
        self._settings = settings
        self._reread = reread
        self._settings_watch = SettingsWatcher(settings_file, self._reload)
        self._key = (secrets.get(settings.cluster_key) or "").encode()
        self._make_client_codec = make_client_codec
        self._registry = new_registry()
        metrics = StatementMetrics(self._registry)
        self._traffic = TrafficCounter(self._registry)
        log = StatementLog(metrics, settings.log_lines_per_second)
        runner = StatementRunner(settings.zone, metrics, log, lambda: self._control.limits)
        self._groups = StatementGroups(
            settings,
            runner,
            make_member_codec,
            lambda: self._control.primary_lease_ends_at,
            self._traffic,
        )
        store = MemoryControlStore(settings.link_advertise)
        self._control = ControlClient(
            settings, secrets, store, self._groups, self._traffic, self._groups.demands
        )
        self._control.limits.metrics = LimitMetrics(self._registry)
        self._groups.reporter = self._control
        self._groups.on_view = self._apply_view
        self._links = HomeLinks(settings, secrets, self._traffic)
        forwarding = StatementForwarding(self._links, metrics)
        self._executor = StatementExecutor(self._groups, runner, forwarding)
        self._stop = StopState()
        self._home = StatementHomeService(self._groups, runner, log, metrics, self._stop)
        self._home_server = ForwardingServer(self._home, StatementUnit, refuse_unit)
        self._services = ClientServices(
            self._groups,
            SessionAdmission(self._groups, self._control),
            self._executor,
            log,
            lambda: not self._control.holds_primary_lease,
            self._stop,
        )
        self._clients: set[StatementClient] = set()
        self._set_gauges(metrics)
        self._registry.register(MemberGauges(lambda: self._groups.groups.values()))

    def _set_gauges(self, metrics: StatementMetrics) -> None:
        control = self._control
        metrics.sessions.set_function(lambda: len(self._clients))
        metrics.control_revision.set_function(
            lambda: control.view.revision if control.view is not None else 0
        )
        metrics.control_connected.set_function(lambda: int(control.connected))
        metrics.control_behind.set_function(lambda: control.behind_s)

    async def run(self) -> int:
        """Run until a planned stop or a failure; return the exit status."""
        settings = self._settings
        listeners = [listen(a) for a in (settings.client_listen, settings.ready_listen)]
        links = listen(settings.link_listen)
        for listener in (*listeners, links):
            if isinstance(listener, Err):
                EVENTS.error("listen-failed", reason=listener.err_value)
                return EXIT_SETTINGS_INVALID
        stop = StopSignal()
        place = Place(settings.zone, settings.region)
        identity = LinkIdentity(PeerRole.PROXY, settings.name, self._key, place, self._traffic)
        ready_server = HttpServer(self._answer_ready, HttpLimits(READY_BODY_BYTES))
        EVENTS.info("started", name=settings.name, listen=settings.client_listen)
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._control.run)
            await tasks.spawn(self._groups.watch)
            await tasks.spawn(self._settings_watch.run)
            await tasks.spawn(ready_server.run, listeners[1].ok_value)
            await tasks.spawn(
                serve_status,
                settings.status_listen,
                self._registry,
                lambda: True,
                self._ready_state,
            )
            await tasks.spawn(
                serve_links, links.ok_value, identity, self._link_key, self._serve_link
            )
            stopping = await tasks.spawn(self._serve_until_stopped, listeners[0].ok_value, stop)
        await self._groups.close()
        finished = tasks.completed
        if finished is stopping and finished.exception is None:
            return 0
        EVENTS.error("failed", task=finished.name, reason=repr(finished.exception))
        return EXIT_FAILED

    async def _reload(self) -> None:
        """Apply the only setting that can change in a running process: the controllers."""
        self._control.settings_changed(self._reread().controllers)

    def _link_key(self, role: PeerRole, name: str) -> bytes | None:
        return self._key

    async def _serve_link(self, link: Link) -> None:
        """Run the statements that another proxy forwards over a link."""
        await self._home_server.serve(link)

    async def _apply_view(self, view: ControlView) -> None:
        self._links.control_changed(view)

    async def _admit(self, sock: socket.socket) -> None:
        if len(self._clients) >= self._settings.maximum_clients:
            await sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = StatementClient(sock, self._make_client_codec(), self._services)
        self._clients.add(client)
        client.task = await curio.spawn(self._serve_client, client, daemon=True)

    async def _serve_client(self, client: StatementClient) -> None:
        try:
            await client.run()
        finally:
            self._clients.discard(client)

    def _ready_state(self) -> ReadyState:
        if self._stop.is_stopping:
            return ReadyState(False, "stopping")
        if not self._control.view_confirmed:
            return ReadyState(False, "no leader has confirmed the control view yet")
        if not self._groups.groups:
            return ReadyState(False, "no group is declared yet")
        if not all(self._executor.can_serve(group) for group in self._groups.groups):
            return ReadyState(False, "a group has neither a lease here nor a home proxy yet")
        return ReadyState(True, "serving")

    async def _answer_ready(self, request: HttpRequest) -> HttpAnswer:
        state = self._ready_state()
        status = STATUS_OK if state.ready else STATUS_UNAVAILABLE
        return HttpAnswer(status, f"{state.reason}\n".encode(), "text/plain")

    async def _serve_until_stopped(self, listener: socket.socket, stop: StopSignal) -> None:
        """Accept clients until the process is asked to stop; then run the planned stop."""
        acceptor = Acceptor(listener, self._admit, EVENTS)
        await curio.spawn(acceptor.run, daemon=True)
        await stop.wait()
        whole_s = self._settings.drain_deadline_ms / 1_000
        planned = PlannedStop(
            self._stop, self._clients, self._home, self._home_server, self._control
        )
        await planned.run(whole_s, acceptor.close)


def run_statement_proxy(
    settings: StatementProxySettings,
    secrets: Secrets,
    make_client_codec: Callable[[], ClientCodec],
    make_member_codec: Callable[[], MemberCodec],
    settings_file: Path,
    reread: Callable[[], StatementProxySettings],
) -> int:
    """Run a proxy; return its exit status. For the parameters see ``StatementProxy``."""
    proxy = StatementProxy(
        settings, secrets, make_client_codec, make_member_codec, settings_file, reread
    )
    return curio.run(proxy.run)

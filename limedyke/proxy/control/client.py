"""The proxy's control client: one link to the leading controller, reopened when it breaks.

The client receives the control state and syncs it to disk before passing it
on, sends heartbeats, holds the connection leases, and passes promotion orders
to the proxy.  Times are seconds of ``time.monotonic()``.
"""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable, Mapping

import curio
from result import Err

from limedyke.event_log import EventLog
from limedyke.link_tasks import serve_until_closed
from limedyke.messages.control import (
    ConnectionDemand,
    ConnectionLease,
    ControlSnapshot,
    ControlTarget,
    ControlUpdate,
    LeaseReturned,
    LeaseUpdate,
    MemberReport,
    NotLeader,
    PositionQuery,
    PositionReport,
    PrimaryClaim,
    PrimaryQuery,
    PromoteOrder,
    ProxyHello,
    QuorumStamp,
    WritesPaused,
)
from limedyke.messages.declaration import Tenant
from limedyke.messages.handshake import PeerRole
from limedyke.messages.limits import OperationsGranted
from limedyke.proxy.control.controller_selector import ControllerSelector
from limedyke.proxy.control.handler import ControlHandler
from limedyke.proxy.control.leader_search import FoundLeader, LeaderSearch
from limedyke.proxy.control.leader_silence import LeaderSilence
from limedyke.proxy.control.leases import ControlLeases
from limedyke.proxy.control.quorum_stamp_tracker import QuorumStampTracker
from limedyke.proxy.control.reports import ControlReports
from limedyke.proxy.control.settings import ControlClientSettings
from limedyke.proxy.control.state_receiver import ControlStateReceiver
from limedyke.proxy.control.status_messages import ProxyStatusMessages
from limedyke.proxy.control.store import ControlStore, StoredControl
from limedyke.proxy.control.successor_search import SuccessorSearch
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.control.view_check import ViewFreshnessCheck
from limedyke.proxy.control.view_lag import ViewLag
from limedyke.proxy.limits.operation_limiter import OperationLimiter
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link, LinkClosedError, LinkIdentity
from limedyke.transport.traffic import NO_METER, Place, TrafficMeter

EVENTS = EventLog("control_client")
Demands = Callable[[bool], tuple[ConnectionDemand, ...] | None]


def no_demands(all_demands: bool) -> None:
    """Report no demands, for a proxy that does not measure them."""
    del all_demands


class ControlClient:
    """Maintains the connection of a proxy to the leading controller.

    :param settings: the proxy's settings
    :param secrets: holds the cluster key
    :param store: persists the control state
    :param handler: receives views, leases and promotion orders
    :param meter: counts the bytes sent to the controllers
    :param demands: returns the connection demands of the proxy, all if its argument is true and
        else those that changed; None for no report

    :ivar limits: admits operations of tenants with an operation limit
    """

    def __init__(
        self,
        settings: ControlClientSettings,
        secrets: Secrets,
        store: ControlStore,
        handler: ControlHandler,
        meter: TrafficMeter = NO_METER,
        demands: Demands = no_demands,
    ) -> None:
        self._demands = demands
        key = (secrets.get(settings.cluster_key) or "").encode()
        self._settings = settings
        place = Place(settings.zone, settings.region)
        identity = LinkIdentity(PeerRole.PROXY, settings.name, key, place, meter)
        self._handler = handler
        self._state_receiver = ControlStateReceiver(store, handler.control_changed)
        longest_pause_s = settings.control_retry_limit_ms / 1000
        self._controllers = ControllerSelector(
            settings.controllers, random.Random(), longest_pause_s
        )
        self._status_messages = ProxyStatusMessages(settings)
        self._quorum_stamp = QuorumStampTracker()
        self._view_confirmation = ViewFreshnessCheck(self._ask_leader, self._applied_index)
        self._view_lag = ViewLag()
        self._silence = LeaderSilence()
        self._reports = ControlReports(self._silence)
        self._leases = ControlLeases(
            settings.name, handler.leases_changed, lambda: self._link is not None
        )
        self._stored: StoredControl | None = None
        self._link: Link | None = None
        self._address = ""
        self._silence_limit_s = settings.control_silence_limit_ms / 1000
        self._search = LeaderSearch(
            identity, settings.source_ip, self._controllers, self._hello, self._silence_limit_s
        )
        self._successor_search = SuccessorSearch(self._search, self._silence)
        self._primary_lease_ends_at = 0.0
        self._heartbeats_sent_at: dict[int, float] = {}
        self.limits = OperationLimiter(
            self._tenants,
            self._send,
            lambda: self.leases_expire_at,
            self._count_homes,
            self._silence,
        )
        self.clients = 0
        self.links_opened = 0

    def _tenants(self) -> Mapping[str, Tenant]:
        return self.view.tenants if self.view is not None else {}

    def _count_homes(self) -> int:
        """Return the number of proxies that are a home proxy of any group."""
        homes = self.view.homes.values() if self.view is not None else ()
        return len({proxy for proxies in homes for proxy in proxies})

    @property
    def view(self) -> ControlView | None:
        """The applied view, or None before the first one."""
        return self._state_receiver.current

    @property
    def view_confirmed(self) -> bool:
        """Whether a leader has confirmed the applied view since the start."""
        return self._state_receiver.confirmed

    @property
    def connected(self) -> bool:
        """Whether the leader's quorum stamp advanced within the silence limit."""
        is_silent = self._quorum_stamp.silent_s(time.monotonic()) >= self._silence_limit_s
        return self._link is not None and not is_silent

    @property
    def behind_s(self) -> float:
        """Seconds for which the applied view has been behind the leader's, as far as is known."""
        return self._view_lag.seconds(time.monotonic())

    @property
    def leases(self) -> tuple[ConnectionLease, ...]:
        """The leases that are valid now."""
        return self._leases.in_use

    @property
    def leases_expire_at(self) -> float:
        """Monotonic time at which all leases expire unless renewed."""
        return self._leases.held.expires_at

    @property
    def primary_lease_ends_at(self) -> float:
        """Until when no primary other than the recorded ones can exist among announced members."""
        return self._primary_lease_ends_at

    @property
    def holds_primary_lease(self) -> bool:
        """Whether the primary lease is valid (see ``primary_lease_ends_at``)."""
        return time.monotonic() < self._primary_lease_ends_at

    def settings_changed(self, controllers: tuple[str, ...]) -> None:
        """Use the controller addresses of reloaded settings."""
        self._controllers.set_configured(controllers)

    async def run(self) -> None:
        """Maintain the link to the leader until cancelled.

        :raises RuntimeError: when the data folder cannot be used
        """
        opened = await self._state_receiver.open()
        if isinstance(opened, Err):
            raise RuntimeError(str(opened.err_value))
        self._stored = opened.ok_value
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._keep_connected)
            await tasks.spawn(self.limits.run)
            await tasks.spawn(self._leases.watch_expiry)

    async def report_member(self, report: MemberReport) -> None:
        """Report the state of a member; the report is kept and repeated on a new link."""
        self._reports.keep(report)
        await self._send(report)
        await self._request_answer()

    async def report_position(self, report: PositionReport) -> None:
        """Report the log position of a member; the leader queries again if it is lost."""
        await self._send(report)

    async def report_claim(self, claim: PrimaryClaim) -> None:
        """Report that a member says that it leads; the leader queries again if it is lost."""
        await self._send(claim)

    async def _request_answer(self) -> None:
        """Send a heartbeat for the leader to answer, unless an answer is already awaited."""
        link = self._link
        if link is None:
            return
        if not await self._reports.report_sent(self._status_messages.sequence + 1):
            return
        try:
            await self._send_heartbeat(link, ())
        except LinkClosedError:
            return

    async def confirm_view(self, limit_s: float) -> bool:
        """Wait until the leader's state as of this call is applied here.

        :returns: False if no leader confirmed it within ``limit_s`` seconds
        """
        return await self._view_confirmation.confirm(limit_s)

    def _applied_index(self) -> int:
        return self.view.control_index if self.view is not None else 0

    async def _ask_leader(self) -> int | None:
        """Send an extra heartbeat; return its sequence, or None while no leader is linked."""
        link = self._link
        if link is None:
            return None
        try:
            return await self._send_heartbeat(link, ())
        except LinkClosedError:
            return None

    async def forget_group(self, group: str) -> None:
        """Drop the kept reports about a group that is no longer monitored here."""
        self._reports.forget_group(group)

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Report that no more than these connections are held for these groups and tenants."""
        returned = self._leases.held.returned(leases)
        if returned:
            await self._send(LeaseReturned(returned))

    async def report_writes_paused(self, group: str, term: int) -> None:
        """Report that no write of a group in planned switchover is in flight here."""
        await self._send(WritesPaused(group, term))

    async def leave(self, done: bool) -> None:
        """Report that the proxy drains, or that it has finished draining.

        :param done: no work is left and no lease is held
        """
        await self._send(self._status_messages.leave(done))

    async def _send(self, message: object) -> bool:
        """Send a message to the leader; return False if there is no usable link.

        State lost with a link is reported again at the start of the next link.
        """
        link = self._link
        if link is None:
            return False
        try:
            await link.send(message)
        except LinkClosedError:
            return False
        return True

    async def _keep_connected(self) -> None:
        while True:
            found = self._successor_search.take_found() or await self._search.find()
            try:
                await self._serve_link(found)
            except LinkClosedError as error:
                EVENTS.info("control-link-closed", controller=found.address, reason=error)
            finally:
                self._link = None
                self._silence.link_closed()
                await found.link.close()
            await curio.sleep(self._controllers.pause_s())

    def _hello(self) -> ProxyHello:
        return self._status_messages.hello(self._stored, self._state_receiver.latest)

    async def _serve_link(self, found: FoundLeader) -> None:
        link = found.link
        self._address = found.address
        self._state_receiver.link_opened()
        self._leases.link_opened()
        EVENTS.info("control-connected", controller=found.address, name=link.peer_name)
        self.links_opened += 1
        self._quorum_stamp.link_opened(time.monotonic())
        self._silence.link_opened()
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(serve_until_closed, self._receive_all, link, found.first)
            await tasks.spawn(serve_until_closed, self._send_heartbeats, link)
            await tasks.spawn(serve_until_closed, self._reports.watch_silence)
            await tasks.spawn(serve_until_closed, self._leases.watch_lost)
            await tasks.spawn(serve_until_closed, self._successor_search.watch, found.address)
        raise LinkClosedError(tasks.completed.result)

    async def _send_heartbeats(self, link: Link) -> None:
        """Send a heartbeat each interval; close the link when the quorum stamp does not advance."""
        interval_s = self._settings.heartbeat_interval_ms / 1000
        await self._send_first_heartbeat(link)
        while True:
            await curio.sleep(interval_s)
            if self._quorum_stamp.silent_s(time.monotonic()) > self._silence_limit_s:
                raise LinkClosedError("the quorum stamp does not advance")
            await self._send_heartbeat(link, ())

    async def _send_first_heartbeat(self, link: Link) -> None:
        """Report all held leases before the leader can grant anything on this link."""
        await self._leases.check_expiry()
        await self._send_heartbeat(link, self._leases.held.report(), is_first=True)
        self._link = link
        await self.limits.link_opened()
        for report in self._reports.all():
            await link.send(report)
        leaving = self._status_messages.leaving()
        if leaving is not None:
            await link.send(leaving)

    async def _send_heartbeat(
        self, link: Link, leases: tuple[ConnectionLease, ...], is_first: bool = False
    ) -> int:
        """Send a heartbeat; return its sequence.

        :param is_first: whether it is the first heartbeat on its link
        """
        demands = self._demands(is_first)
        heartbeat = self._status_messages.next_heartbeat(
            self.view, self.clients, leases, demands if is_first else demands or None
        )
        now = time.monotonic()
        self._leases.held.heartbeat_sent(heartbeat.sequence, now)
        self._heartbeats_sent_at[heartbeat.sequence] = now
        await link.send(heartbeat)
        return heartbeat.sequence

    async def _receive_all(self, link: Link, first: object) -> None:
        await self._receive(first)
        while True:
            await self._receive(await link.receive())

    async def _receive(self, message: object) -> None:
        receiver = self._receivers().get(type(message))
        if receiver is None:
            raise LinkClosedError(f"unexpected {type(message).__name__}")
        await receiver(message)

    def _receivers(self) -> dict[type, Callable[..., Awaitable[None]]]:
        return {
            ControlTarget: self._state_receiver.set_target,
            ControlSnapshot: self._handle_snapshot,
            ControlUpdate: self._handle_update,
            QuorumStamp: self._handle_stamp,
            LeaseUpdate: self._leases.apply_update,
            PromoteOrder: self._handle_order,
            PositionQuery: self._handler.query_positions,
            PrimaryQuery: self._handler.query_primary,
            NotLeader: self._handle_not_leader,
            OperationsGranted: self.limits.granted,
        }

    async def _handle_snapshot(self, snapshot: ControlSnapshot) -> None:
        await self._state_receiver.apply_snapshot(snapshot)
        await self._view_applied()

    async def _handle_update(self, update: ControlUpdate) -> None:
        """Apply an update; acknowledge a new primary at once, since a promotion waits for it."""
        await self._state_receiver.apply_update(update)
        await self._view_applied()
        link = self._link
        if link is not None and any(primary.fence for primary in update.primaries):
            await self._send_heartbeat(link, ())

    async def _view_applied(self) -> None:
        self._learn_controllers()
        self._view_lag.applied(self._applied_index(), time.monotonic())
        await self._view_confirmation.view_changed()

    def _learn_controllers(self) -> None:
        view = self._state_receiver.current
        if view is not None and view.controllers:
            self._controllers.learn(view.controllers)

    def _renew_primary_lease(self, stamp: QuorumStamp) -> None:
        sent_at = self._heartbeats_sent_at.pop(stamp.sequence, None)
        for sequence in [old for old in self._heartbeats_sent_at if old < stamp.sequence]:
            del self._heartbeats_sent_at[sequence]
        if sent_at is not None and stamp.primary_lease_ms:
            ends_at = sent_at + stamp.primary_lease_ms / 1000
            self._primary_lease_ends_at = max(self._primary_lease_ends_at, ends_at)

    async def _handle_stamp(self, stamp: QuorumStamp) -> None:
        if self._quorum_stamp.is_older(stamp):
            raise LinkClosedError("the quorum stamp is older than one received before")
        if self._reports.answer_received(stamp.sequence):
            await self._request_answer()
        await self._silence.end()
        if self._quorum_stamp.advance(stamp, time.monotonic()):
            self._controllers.accepted(self._address)
            await self._leases.renew(stamp.sequence, stamp.lease_duration_ms / 1000)
            self._renew_primary_lease(stamp)
        self._view_lag.leader_at(stamp.control_index, time.monotonic())
        await self._view_confirmation.stamp_received(stamp)

    async def _handle_order(self, order: PromoteOrder) -> None:
        await curio.spawn(self._promote, order, daemon=True)

    async def _promote(self, order: PromoteOrder) -> None:
        result = await self._handler.promote(order)
        await self._send(result)

    async def _handle_not_leader(self, answer: NotLeader) -> None:
        self._controllers.redirect(answer.leader)
        raise LinkClosedError("the controller is no longer the leader")

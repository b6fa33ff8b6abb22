"""The proxy's side of control: one link to the controllers' leader, kept up by retries.

The client receives the control state, syncs it before it hands it on, sends
heartbeats, keeps the connection leases, and passes promotion orders to the
proxy.  Times are seconds of ``time.monotonic()``.
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
from limedyke.proxy.control.leases import ControlLeases
from limedyke.proxy.control.quorum_stamp_tracker import QuorumWatch
from limedyke.proxy.control.reports import ControlReports
from limedyke.proxy.control.settings import ControlClientSettings
from limedyke.proxy.control.state_receiver import ControlStateReceiver
from limedyke.proxy.control.status_messages import ControlAnnouncements
from limedyke.proxy.control.store import ControlStore, StoredControl
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.control.view_check import ViewCheck
from limedyke.proxy.limits.operation_limiter import OperationLimiter
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link, LinkClosedError, LinkIdentity
from limedyke.transport.traffic import NO_METER, Place, TrafficMeter

EVENTS = EventLog("control_client")
Demands = Callable[[bool], tuple[ConnectionDemand, ...] | None]


def tells_no_demand(whole: bool) -> None:
    """Stand for the demand of a proxy that tells none."""
    del whole


class ControlClient:
    """Keeps a proxy in touch with the controllers' leader.

    :param settings: the proxy's settings
    :param secrets: holds the cluster key
    :param store: the proxy's disk
    :param handler: gets views, leases and promotion orders
    :param meter: counts what is sent to the controllers
    :param demands: gives the connections that the proxy has use for: all, or those that changed;
        None where it tells none

    :ivar limits: lets operations of tenants with a limit run
    """

    def __init__(
        self,
        settings: ControlClientSettings,
        secrets: Secrets,
        store: ControlStore,
        handler: ControlHandler,
        meter: TrafficMeter = NO_METER,
        demands: Demands = tells_no_demand,
    ) -> None:
        self._demands = demands
        key = (secrets.get(settings.cluster_key) or "").encode()
        self._settings = settings
        place = Place(settings.zone, settings.region)
        identity = LinkIdentity(PeerRole.PROXY, settings.name, key, place, meter)
        self._handler = handler
        self._state_receiver = ControlStateReceiver(store, handler.control_changed)
        longest_pause_s = settings.control_retry_limit_ms / 1000
        self._choice = ControllerSelector(settings.controllers, random.Random(), longest_pause_s)
        self._announcements = ControlAnnouncements(settings)
        self._quorum = QuorumWatch()
        self._view_check = ViewCheck(self._ask_leader, self._index_in_force)
        self._reports = ControlReports()
        self._leases = ControlLeases(
            settings.name, handler.leases_changed, lambda: self._link is not None
        )
        self._stored: StoredControl | None = None
        self._link: Link | None = None
        self._address = ""
        self._silence_limit_s = settings.control_silence_limit_ms / 1000
        self._search = LeaderSearch(
            identity, settings.source_ip, self._choice, self._hello, self._silence_limit_s
        )
        self._primary_lease_ends_at = 0.0
        self._heartbeats_sent_at: dict[int, float] = {}
        self.limits = OperationLimiter(
            self._tenants, self._send, lambda: self.leases_expire_at, self._count_homes
        )
        self.clients = 0
        self.links_opened = 0

    def _tenants(self) -> Mapping[str, Tenant]:
        return self.view.tenants if self.view is not None else {}

    def _count_homes(self) -> int:
        """Return how many proxies are home proxies of any group."""
        homes = self.view.homes.values() if self.view is not None else ()
        return len({proxy for proxies in homes for proxy in proxies})

    @property
    def view(self) -> ControlView | None:
        """The newest view in force, or None before the first one."""
        return self._state_receiver.in_force

    @property
    def view_confirmed(self) -> bool:
        """Whether a leader has said that the view in force is current, since the start."""
        return self._state_receiver.confirmed

    @property
    def connected(self) -> bool:
        """Whether a leader with a live quorum was heard within the silence limit."""
        is_silent = self._quorum.silent_s(time.monotonic()) >= self._silence_limit_s
        return self._link is not None and not is_silent

    @property
    def leases(self) -> tuple[ConnectionLease, ...]:
        """The leases that may be used at this moment."""
        return self._leases.in_use

    @property
    def leases_expire_at(self) -> float:
        """The moment on the monotonic clock at which all leases end unless renewed."""
        return self._leases.held.expires_at

    @property
    def primary_lease_ends_at(self) -> float:
        """Until when the recorded primaries of announced members are surely the only ones."""
        return self._primary_lease_ends_at

    @property
    def holds_primary_lease(self) -> bool:
        """Whether the recorded primaries of announced members are surely the only ones now."""
        return time.monotonic() < self._primary_lease_ends_at

    def settings_changed(self, controllers: tuple[str, ...]) -> None:
        """Take the controllers that changed settings name."""
        self._choice.replace_first(controllers)

    async def run(self) -> None:
        """Stay in touch with the controllers until cancelled.

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
        """Report what is seen of a member; kept and sent again after reconnecting."""
        self._reports.keep(report)
        await self._send(report)
        await self._expect_answer()

    async def _expect_answer(self) -> None:
        """Have the leader show that it is alive, unless it was asked to already."""
        link = self._link
        if link is None or self._reports.is_answer_due:
            return
        await self._reports.expect_answer()
        try:
            await self._send_heartbeat(link, ())
        except LinkClosedError:
            return

    async def confirm_view(self, limit_s: float) -> bool:
        """Wait until all that the leader's state held at this moment is in force here.

        :returns: False when no leader has said so in time
        """
        return await self._view_check.confirm(limit_s)

    def _index_in_force(self) -> int:
        return self.view.control_index if self.view is not None else 0

    async def _ask_leader(self) -> int | None:
        """Send a heartbeat out of turn; return its sequence, None while no leader is linked."""
        link = self._link
        if link is None:
            return None
        try:
            return await self._send_heartbeat(link, ())
        except LinkClosedError:
            return None

    async def forget_group(self, group: str) -> None:
        """Stop repeating reports about a group, when it is no longer watched here."""
        self._reports.forget_group(group)

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Tell that no more than these connections are held for these groups and tenants."""
        returned = self._leases.held.returned(leases)
        if returned:
            await self._send(LeaseReturned(returned))

    async def report_writes_paused(self, group: str, term: int) -> None:
        """Tell that no write of a group in planned switchover is in flight here."""
        await self._send(WritesPaused(group, term))

    async def leave(self, done: bool) -> None:
        """Tell that the proxy drains, and later that it is done.

        :param done: nothing is left and no lease is held
        """
        await self._send(self._announcements.leave(done))

    async def _send(self, message: object) -> bool:
        """Send to the leader; tell whether one is linked.

        A message lost with the link is repeated by the next hello.
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
            found = await self._search.find()
            try:
                await self._serve_link(found)
            except LinkClosedError as error:
                EVENTS.info("control-link-closed", controller=found.address, reason=error)
            finally:
                self._link = None
                await found.link.close()
            await curio.sleep(self._choice.pause_s())

    def _hello(self) -> ProxyHello:
        return self._announcements.hello(self._stored, self._state_receiver.newest)

    async def _serve_link(self, found: FoundLeader) -> None:
        link = found.link
        self._address = found.address
        self._state_receiver.link_opened()
        self._leases.link_opened()
        EVENTS.info("control-connected", controller=found.address, name=link.peer_name)
        self.links_opened += 1
        self._quorum.link_opened(time.monotonic())
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(serve_until_closed, self._receive_all, link, found.first)
            await tasks.spawn(serve_until_closed, self._send_heartbeats, link)
            await tasks.spawn(serve_until_closed, self._reports.watch_silence)
            await tasks.spawn(serve_until_closed, self._leases.watch_lost)
        raise LinkClosedError(tasks.completed.result)

    async def _send_heartbeats(self, link: Link) -> None:
        """Send a heartbeat each interval; give up the link when the quorum stamp stands still."""
        interval_s = self._settings.heartbeat_interval_ms / 1000
        await self._send_first_heartbeat(link)
        while True:
            await curio.sleep(interval_s)
            if self._quorum.silent_s(time.monotonic()) > self._silence_limit_s:
                raise LinkClosedError("the quorum stamp does not advance")
            await self._send_heartbeat(link, ())

    async def _send_first_heartbeat(self, link: Link) -> None:
        """Report all that is held, before anything else can be granted on this link."""
        await self._leases.check_expiry()
        await self._send_heartbeat(link, self._leases.held.report(), is_first=True)
        self._link = link
        await self.limits.link_opened()
        for report in self._reports.all():
            await link.send(report)
        leaving = self._announcements.leaving()
        if leaving is not None:
            await link.send(leaving)

    async def _send_heartbeat(
        self, link: Link, leases: tuple[ConnectionLease, ...], is_first: bool = False
    ) -> int:
        """Send a heartbeat; return its sequence.

        :param is_first: on its link
        """
        demands = self._demands(is_first)
        heartbeat = self._announcements.next_heartbeat(
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
            ControlTarget: self._state_receiver.take_target,
            ControlSnapshot: self._take_snapshot,
            ControlUpdate: self._take_update,
            QuorumStamp: self._take_stamp,
            LeaseUpdate: self._leases.take,
            PromoteOrder: self._take_order,
            NotLeader: self._take_not_leader,
            OperationsGranted: self.limits.granted,
        }

    async def _take_snapshot(self, snapshot: ControlSnapshot) -> None:
        await self._state_receiver.apply_snapshot(snapshot)
        self._learn_controllers()
        await self._view_check.view_changed()

    async def _take_update(self, update: ControlUpdate) -> None:
        """Take a change; a change of primaries is confirmed at once, for a promotion waits."""
        await self._state_receiver.apply_update(update)
        self._learn_controllers()
        await self._view_check.view_changed()
        link = self._link
        if link is not None and any(primary.fence for primary in update.primaries):
            await self._send_heartbeat(link, ())

    def _learn_controllers(self) -> None:
        view = self._state_receiver.in_force
        if view is not None and view.controllers:
            self._choice.learn(view.controllers)

    def _renew_primary_lease(self, stamp: QuorumStamp) -> None:
        sent_at = self._heartbeats_sent_at.pop(stamp.sequence, None)
        for sequence in [old for old in self._heartbeats_sent_at if old < stamp.sequence]:
            del self._heartbeats_sent_at[sequence]
        if sent_at is not None and stamp.primary_lease_ms:
            ends_at = sent_at + stamp.primary_lease_ms / 1000
            self._primary_lease_ends_at = max(self._primary_lease_ends_at, ends_at)

    async def _take_stamp(self, stamp: QuorumStamp) -> None:
        if self._quorum.is_outdated(stamp):
            raise LinkClosedError("the quorum stamp is older than one already seen")
        self._reports.heard()
        if self._quorum.advance(stamp, time.monotonic()):
            self._choice.accepted(self._address)
            await self._leases.renew(stamp.sequence, stamp.lease_duration_ms / 1000)
            self._renew_primary_lease(stamp)
        await self._view_check.heard(stamp)

    async def _take_order(self, order: PromoteOrder) -> None:
        await curio.spawn(self._promote, order, daemon=True)

    async def _promote(self, order: PromoteOrder) -> None:
        result = await self._handler.promote(order)
        await self._send(result)

    async def _take_not_leader(self, answer: NotLeader) -> None:
        self._choice.redirect(answer.leader)
        raise LinkClosedError("the controller leads no longer")

"""The ``limedyke controller`` process: wires storage, agreement, links and leader services."""

from __future__ import annotations

import secrets as random_secrets
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import curio
from result import Err, Ok

from limedyke.controller.call_router import CallRouter
from limedyke.controller.clock import boot_seconds
from limedyke.controller.founding_phase import FoundingPhase
from limedyke.controller.keys import ControllerKeys
from limedyke.controller.leading.leader_calls import LeaderCalls
from limedyke.controller.leading.leader_service import LeaderService
from limedyke.controller.leading.operator_changes import ControllerChanges
from limedyke.controller.leading.operator_requests import OperatorRequests
from limedyke.controller.leading.voter_manager import VoterManager
from limedyke.controller.leading.voter_requirement import VoterRequirement
from limedyke.controller.leading.voter_watch import VoterWatch
from limedyke.controller.membership_search import MembershipSearch
from limedyke.controller.peer_network import PeerMessage, PeerNetwork
from limedyke.controller.promotion_authority import PromotionAuthority
from limedyke.controller.replica import DISK_PROBE_INTERVAL_S, Replica
from limedyke.controller.status_pages import StatusPages
from limedyke.controller.status_report import StatusReport
from limedyke.controller.timings import agreement_timing, control_timing
from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.records import StoredState
from limedyke.core.agreement.voter_policy import VoterPolicy
from limedyke.core.limits.leader_history import LeaderHistory
from limedyke.event_log import EventLog
from limedyke.in_flight import InFlightCounter
from limedyke.messages.agreement import ControllerIdentity, EntryKind, LogEntry
from limedyke.messages.control import ControlUpdate, NotLeader, ProxyHello
from limedyke.messages.control_entries import recorded_addresses
from limedyke.messages.handshake import PeerRole
from limedyke.result_codes import ResultCode
from limedyke.settings.base import EXIT_SETTINGS_INVALID
from limedyke.settings.controller import ControllerPeer, ControllerSettings
from limedyke.settings.secrets import Secrets
from limedyke.stop_signal import StopSignal
from limedyke.storage.agreement_storage import AgreementStorage
from limedyke.storage.durable_log import DurableLog
from limedyke.storage.file_system import LocalFileSystem
from limedyke.storage.open_log import open_durable_log, reopen_durable_log
from limedyke.transport.link import Link, LinkIdentity, listen, serve_links
from limedyke.transport.traffic import Place

INCARNATION_BYTES = 8
LEADERSHIP_CHECK_S = 0.02
TRANSFER_LIMIT_S = 3.0
CALLS_ANSWERED_S = 4.5
STOP_LIMIT_S = 5.0
"""The platform kills a process 6 s after the stop signal. A call may take 3 s, and a call that
arrives during the hand-over of the leadership gets the remaining time."""
MS_PER_S = 1_000
HELLO_TIMEOUT_S = 3.0
LEADER_WAIT_S = 1.0
EXIT_FAILED = 1
EVENTS = EventLog("controller")


LearnPeers = Callable[[tuple[ControllerPeer, ...]], None]


class ControllerEdge(Protocol):
    """Connects a controller to external callers and to a promotion authority."""

    authority: PromotionAuthority | None

    async def run(self, router: CallRouter, learn_peers: LearnPeers) -> None:
        """Serve calls until cancelled.

        :param learn_peers: receives the controllers that changed settings name
        """

    async def drain(self) -> None:
        """Stop accepting calls, and return once the pending ones are answered."""


class Controller:
    """One controller process.

    :param settings: validated settings
    :param secrets: holds the cluster key and the operators' keys
    :param log: the open durable log
    :param edge: accepts external calls; None if only operators' links are served
    :param process_started_at: when this process started, by ``boot_seconds``; given only where a
        process is started after the previous one has ended, else None

    :ivar log: the open log; replaced by a reopened one after its disk refused a write
    """

    def __init__(
        self,
        settings: ControllerSettings,
        secrets: Secrets,
        log: DurableLog,
        edge: ControllerEdge | None = None,
        process_started_at: float | None = None,
    ) -> None:
        self._settings = settings
        self._process_started_at = process_started_at
        self._edge = edge
        self._calls: LeaderCalls | None = None
        self.log = log
        self._keys = ControllerKeys(settings, secrets)
        self._pages = StatusPages(lambda: self._replica, lambda: self._leader)
        self._link_identity = LinkIdentity(
            PeerRole.CONTROLLER,
            settings.name,
            self._keys.cluster_key,
            Place(settings.zone, settings.region),
            self._pages.traffic,
        )
        peers = [peer.name for peer in settings.peers]
        self._voter_names = tuple(sorted([settings.name, *peers]))
        self._network = PeerNetwork(
            log.identity, self._link_identity, self._keys, settings.source_ip, self._receive
        )
        waits_to_join = settings.voters_wanted and settings.join and log.snapshot_index == 0
        self._network.dials_eagerly = not waits_to_join
        for peer in settings.peers:
            self._network.set_address(peer.name, peer.address)
        self._founding: FoundingPhase | None = None
        self._replica: Replica | None = None
        self._leader: LeaderService | None = None
        self._leader_task: curio.Task | None = None
        self._requests: OperatorRequests | None = None
        self._call_router = CallRouter(
            lambda: self._calls,
            self._leader_address,
            replace(self._link_identity, role=PeerRole.FORWARDER),
            self._keys,
            settings.source_ip,
            self._leader_lost,
        )
        self._operators_under_way = InFlightCounter()
        self._history = LeaderHistory(boot_seconds())
        self._search: MembershipSearch | None = None

    async def _leader_lost(self) -> None:
        """Search for the leader, if this controller is not a member."""
        if self._search is not None:
            await self._search.leader_lost()

    def learn_peers(self, peers: tuple[ControllerPeer, ...]) -> None:
        """Set the addresses of the controllers that changed settings name."""
        for peer in peers:
            self._network.set_address(peer.name, peer.address)

    async def run(self) -> int:
        """Run until a signal or a failure; return the exit status."""
        listened = listen(self._settings.listen)
        if isinstance(listened, Err):
            EVENTS.error("listen-failed", reason=listened.err_value)
            return EXIT_SETTINGS_INVALID
        stop = StopSignal()
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._network.run)
            await tasks.spawn(
                serve_links, listened.ok_value, self._link_identity, self._keys, self._serve_link
            )
            await tasks.spawn(self._pages.run, self._settings.status_listen)
            if self._edge is not None:
                await tasks.spawn(self._edge.run, self._call_router, self.learn_peers)
            work = await tasks.spawn(self._run_replicas)
            waiter = await tasks.spawn(self._wait_for_stop, stop)
        finished = tasks.completed
        if finished is waiter:
            return 0
        if finished is work and work.exception is None:
            return EXIT_FAILED
        if finished.exception is not None:
            EVENTS.error("failed", reason=repr(finished.exception))
        return EXIT_FAILED

    async def _receive(self, sender: ControllerIdentity, message: PeerMessage) -> None:
        if self._replica is not None:
            await self._replica.receive(sender, message)
        elif self._founding is not None:
            await self._founding.receive(sender, message)

    async def _run_replicas(self) -> None:
        if self.log.snapshot_index == 0 and not self._settings.join:
            self._founding = FoundingPhase(self.log, self._network, self._voter_names)
            await self._founding.run()
        self._start_replica(self._initial_state())
        while await self._run_replica():
            stored = await self._reopen_log()
            if stored is None:
                return
            self._start_replica(stored)

    async def _run_replica(self) -> bool:
        """Run the replica and its dependent tasks; tell whether its disk had refused a write."""
        async with curio.TaskGroup(wait=any) as tasks:
            replica = await tasks.spawn(self._replica.run)
            if self._search is not None:
                await tasks.spawn(self._search.run)
            await tasks.spawn(self._follow_leadership)
            if self._settings.voters_wanted:
                await tasks.spawn(self._voter_manager().run)
            await tasks.spawn(self._voter_watch().run)
        await self._stop_leading()
        ended = tasks.completed
        if ended is replica and ended.exception is None:
            return True
        EVENTS.error("work-ended", task=ended.name, reason=repr(ended.exception))
        return False

    async def _reopen_log(self) -> StoredState | None:
        """Load the log from disk again, as a new process would; state in memory is discarded.

        Only the time of the last leader contact is kept, so that this voter grants no vote before
        that leader's lease has expired.

        :returns: None if the content of the disk cannot be used
        """
        contact_at = self._replica.agreement.leader_contact_at
        while True:
            opened = await curio.run_in_thread(reopen_durable_log, self.log)
            if isinstance(opened, Ok):
                break
            if opened.err_value.code is not ResultCode.DISK_FULL:
                EVENTS.error("log-not-opened", reason=opened.err_value)
                return None
            await curio.sleep(DISK_PROBE_INTERVAL_S)
        self.log = opened.ok_value
        EVENTS.warning("log-read-anew", last_index=self.log.last_index, cut=self.log.torn_tail)
        return self.log.take_stored_state().with_leader_contact(contact_at)

    def _learn_stored_addresses(self, entries: tuple[LogEntry, ...]) -> None:
        """Learn the last known addresses of the others from the stored entries.

        The settings may name other controllers now. Entries that are not known to be committed are
        used too: an address is only a place to ask.
        """
        for entry in entries:
            if entry.kind == EntryKind.PROPOSAL:
                for known in recorded_addresses(entry.payload):
                    self._network.set_address(known.name, known.address)

    def _voter_manager(self) -> VoterManager:
        settings = self._settings
        silence_limit_s = settings.voter_silence_limit_ms / 1000
        policy = VoterPolicy(settings.voters_wanted, silence_limit_s)
        return VoterManager(self._replica, policy, settings.advertise)

    def _voter_watch(self) -> VoterWatch:
        settings = self._settings
        required = VoterRequirement(self._replica, settings.lost_disks_tolerated).voters
        wanted = max(settings.voters_wanted, required)
        silence_limit_s = settings.voter_silence_limit_ms / 1000
        return VoterWatch(self._replica, wanted, silence_limit_s, self._pages.metrics)

    def _initial_state(self) -> StoredState:
        """Return the state found on disk when this process started."""
        stored = self.log.take_stored_state()
        if self._process_started_at is None:
            return stored
        return stored.with_contact_bound(self._process_started_at)

    def _start_replica(self, stored: StoredState) -> None:
        self._network.cluster = stored.snapshot.configuration.cluster
        self._learn_stored_addresses(stored.entries)
        replica = Replica(
            identity=self.log.identity,
            stored=stored,
            storage=AgreementStorage(self.log),
            timing=agreement_timing(self._settings),
            network=self._network,
            voter_names=self._voter_names,
            tick_interval_s=self._settings.tick_interval_ms / 1000,
            on_update=self._on_update,
            on_role=self._on_role,
            metrics=self._pages.metrics,
            advertise=self._settings.advertise if self._settings.voters_wanted else "",
        )
        addresses = {self._settings.name: self._settings.advertise, **self._network.addresses}
        requirement = VoterRequirement(replica, self._settings.lost_disks_tolerated)
        self._requests = OperatorRequests(
            replica=replica,
            leader=lambda: self._leader,
            leader_address=self._leader_address,
            plan_lifetime_s=self._settings.plan_lifetime_s,
            status=StatusReport(replica, addresses),
            changes=ControllerChanges(replica),
            requirement=requirement,
            metrics=self._pages.metrics,
        )
        self._replica = replica
        if self._settings.voters_wanted:
            self._search = MembershipSearch(
                replica,
                self._call_router.ask_leader,
                self._call_router.ask_at,
                self._settings.advertise,
            )
        self._calls = LeaderCalls(
            replica,
            lambda: self._leader,
            requirement,
            self._settings.advertise,
            self._pages.metrics,
        )

    async def _on_update(self, update: ControlUpdate, changed_homes: frozenset[str]) -> None:
        if self._leader is not None:
            await self._leader.state_changed(update, changed_homes)

    async def _on_role(self) -> None:
        if self._replica.agreement.leader is not None:
            self._history.record_leader(self._replica.agreement.term, boot_seconds())
        if self._replica.agreement.role is not Role.LEADER:
            await self._stop_leading()

    async def _follow_leadership(self) -> None:
        """Serve proxies and operators exactly while this controller leads under its lease."""
        while True:
            await curio.sleep(LEADERSHIP_CHECK_S)
            if self._leader_task is not None and self._leader_task.terminated:
                raise RuntimeError("the leader service ended unexpectedly")
            if not self._replica.leads:
                await self._stop_leading()
            elif self._leader is None:
                confirmed = await self._replica.confirm_leadership()
                if not isinstance(confirmed, Err):
                    await self._start_leading()

    async def _start_leading(self) -> None:
        EVENTS.info("serving-as-leader", term=self._replica.agreement.term)
        leader = self._leader = LeaderService(
            self._replica,
            control_timing(self._settings),
            self._settings.home_proxies_per_group,
            self._settings.platform_list_url,
            self._settings.source_ip,
            self._pages.metrics,
            self._edge.authority if self._edge is not None else None,
            self._history.last_lead_began_at,
        )
        task = await curio.spawn(leader.run)
        if self._leader is leader:
            self._leader_task = task
        else:
            await task.cancel()

    async def _stop_leading(self) -> None:
        leader, self._leader = self._leader, None
        task, self._leader_task = self._leader_task, None
        if leader is None:
            return
        EVENTS.warning("no-longer-leader", leader=self._leader_address() or "unknown")
        await leader.sessions.close_all(self._leader_address())
        if task is not None:
            await task.cancel()

    def _leader_address(self) -> str:
        if self._replica is None:
            return ""
        return self._replica.leader_address("")

    async def _serve_link(self, link: Link) -> None:
        match link.peer_role:
            case PeerRole.CONTROLLER:
                await self._network.serve(link)
            case PeerRole.PROXY:
                await self._serve_proxy(link)
            case PeerRole.OPERATOR:
                await self._serve_operator(link)
            case PeerRole.FORWARDER:
                await self._call_router.serve(link)

    async def _serve_proxy(self, link: Link) -> None:
        async with curio.timeout_after(HELLO_TIMEOUT_S):
            hello = await link.receive()
        await self._wait_for_some_leader()
        leader = self._leader
        if leader is None or not self._replica.leads or not isinstance(hello, ProxyHello):
            await link.send(NotLeader(self._leader_address()))
            return
        await leader.sessions.serve(link, hello)

    async def _wait_for_some_leader(self) -> None:
        """Wait briefly for a leader to be known, so that proxies need not retry.

        A learner does not wait: with a new disk, it learns of a leader later than the others.
        """
        async with curio.ignore_after(LEADER_WAIT_S):
            while self._takes_part_in_elections():
                if self._leader is not None or self._leader_address():
                    return
                await curio.sleep(LEADERSHIP_CHECK_S)

    def _takes_part_in_elections(self) -> bool:
        if self._replica is None:
            return not self._settings.join
        return self._replica.agreement.role is not Role.LEARNER

    async def _serve_operator(self, link: Link) -> None:
        while True:
            request = await link.receive()
            if self._requests is None:
                return
            with self._operators_under_way:
                await link.send(await self._requests.answer(link.peer_name, request))

    async def _wait_for_stop(self, stop: StopSignal) -> None:
        """Hand over the leadership and answer pending calls before the process ends."""
        await stop.wait()
        EVENTS.info("stopping")
        began_at = time.monotonic()
        self._call_router.set_answer_deadline(began_at + CALLS_ANSWERED_S)
        if self._replica is not None and self._replica.agreement.role is Role.LEADER:
            await self._hand_over()
        left_s = began_at + STOP_LIMIT_S - time.monotonic()
        async with curio.ignore_after(left_s):
            await self._answer_calls()
        EVENTS.info("stopped", elapsed_ms=int((time.monotonic() - began_at) * MS_PER_S))

    async def _hand_over(self) -> None:
        await self._replica.transfer_leadership()
        async with curio.ignore_after(TRANSFER_LIMIT_S):
            while self._replica.agreement.role is Role.LEADER:
                await curio.sleep(LEADERSHIP_CHECK_S)
        await self._stop_leading()
        await curio.sleep(LEADERSHIP_CHECK_S)

    async def _answer_calls(self) -> None:
        """Answer pending calls, so that their callers need not ask another controller."""
        if self._edge is not None:
            await self._edge.drain()
        await self._call_router.drain()
        await self._operators_under_way.wait_until_idle()


def run_controller(
    settings: ControllerSettings,
    secrets: Secrets,
    edge: ControllerEdge | None = None,
    process_started_at: float | None = None,
) -> int:
    """Run a controller process; return its exit status.

    The parameters are those of ``Controller``.
    """
    keys = ControllerKeys(settings, secrets)
    if keys.missing():
        EVENTS.error("secrets-missing", names=",".join(keys.missing()))
        return EXIT_SETTINGS_INVALID
    identity = ControllerIdentity(settings.name, random_secrets.token_hex(INCARNATION_BYTES))
    files = LocalFileSystem(settings.keeps_unsynced_writes)
    opened = open_durable_log(settings.data_folder / "agreement", identity, files)
    if isinstance(opened, Err):
        EVENTS.error("log-not-opened", reason=opened.err_value)
        return EXIT_FAILED
    log = opened.ok_value
    if log.torn_tail is not None:
        EVENTS.warning("torn-tail-cut", detail=log.torn_tail)
    controller = Controller(settings, secrets, log, edge, process_started_at)
    try:
        return curio.run(controller.run)
    finally:
        controller.log.close()

"""One controller's replica: the agreement core, its storage and the replicated control state."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import curio
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from limedyke.controller.clock import boot_seconds
from limedyke.controller.mailbox import Mailbox
from limedyke.controller.metrics import ControllerMetrics
from limedyke.controller.peer_network import PeerMessage, PeerNetwork
from limedyke.controller.pending_requests import PendingRequests
from limedyke.controller.snapshot_schedule import SnapshotSchedule
from limedyke.controller.waiting_controllers import ANNOUNCEMENT_INTERVAL_S, WaitingControllers
from limedyke.core.agreement import Agreement, AgreementTiming
from limedyke.core.agreement.commands import (
    ApplyEntries,
    Command,
    ProposalAccepted,
    ProposalRefused,
    ReadReady,
    ReadRefused,
    RestoreState,
    Role,
    RoleChanged,
    SaveSnapshot,
    SendMessage,
    SteppedDown,
    StorageCommand,
)
from limedyke.core.agreement.events import (
    Event,
    LeadershipTransferRequested,
    MembershipChange,
    MembershipChangeRequested,
    MessageReceived,
    Proposed,
    ReadRequested,
    SnapshotTaken,
    Started,
    StorageFailed,
    Tick,
)
from limedyke.core.agreement.founding import ANY_INCARNATION, answer_founding_query
from limedyke.core.agreement.records import Snapshot, StoredState
from limedyke.core.control.state import ControlState
from limedyke.core.control.update_ring import UpdateRing
from limedyke.core.home import HomeDirectory, connection_limits
from limedyke.event_log import EventLog
from limedyke.messages.agreement import (
    ControllerIdentity,
    EntryKind,
    FoundingAnswer,
    FoundingQuery,
    LogEntry,
    PeerAddress,
)
from limedyke.messages.calls import AwaitMembershipCall, CallAnswer
from limedyke.messages.control import ControlUpdate
from limedyke.messages.control_entries import ControlEntry, pack_entry, unpack_entry
from limedyke.result_codes import Failure
from limedyke.storage.agreement_storage import AgreementStorage

DISK_PROBE_INTERVAL_S = 0.25
MS_PER_S = 1_000
EVENTS = EventLog("controller")


class Replica:
    """Drives the agreement core and applies its entries.

    :param identity: this controller and the incarnation of its data folder
    :param stored: the state found on disk
    :param storage: the same disk, opened for writing
    :param network: the links to the other controllers
    :param voter_names: the founding voters in the settings
    :param tick_interval_s: seconds between two ticks of the agreement
    :param on_update: called for each applied change that proxies must learn, with the groups whose
        home proxies it changed
    :param on_role: called when the role, term or known leader changes, and when state is restored
    :param metrics: counts roles, snapshots and messages, and measures syncs and commits
    :param advertise: where the other controllers reach this one (``ip:port``)

    :ivar non_members: controllers that announced themselves and are not members, by name
    :ivar waiting: those of them that gave their address and keep announcing themselves
    """

    def __init__(
        self,
        identity: ControllerIdentity,
        stored: StoredState,
        storage: AgreementStorage,
        timing: AgreementTiming,
        network: PeerNetwork,
        voter_names: tuple[str, ...],
        tick_interval_s: float,
        on_update: Callable[[ControlUpdate, frozenset[str]], Awaitable[None]],
        on_role: Callable[[], Awaitable[None]],
        metrics: ControllerMetrics | None = None,
        advertise: str = "",
    ) -> None:
        self.agreement = Agreement(identity, stored, timing, random.Random(), boot_seconds())
        self.state = ControlState()
        self.updates = UpdateRing()
        self.homes = HomeDirectory(self.state.home_proxies_per_group)
        self.storage_failure = ""
        self._storage_failed = curio.Event()
        self.non_members: dict[str, ControllerIdentity] = {}
        self.waiting = WaitingControllers()
        self._leader_hint = ""
        self._advertise = advertise
        self._snapshot = stored.snapshot
        self._storage = storage
        self._network = network
        self._voter_names = voter_names
        self._tick_interval_s = tick_interval_s
        self._on_update = on_update
        self._on_role = on_role
        self._metrics = metrics or ControllerMetrics(CollectorRegistry())
        self._events: Mailbox[Event] = Mailbox()
        self._writes: Mailbox[StorageCommand] = Mailbox()
        self._requests = PendingRequests()
        self._answers: dict[int, object] = {}
        self._snapshot_schedule = SnapshotSchedule()
        self._next_announcement_at = 0.0
        self._saved_leader_contact_at = self.agreement.leader_contact_at
        self._longest_step_s = 0.0
        self._longest_sync_s = 0.0

    @property
    def leads(self) -> bool:
        """Whether this controller leads and no other leader can have been elected."""
        return self.agreement.holds_lease(boot_seconds())

    def leader_address(self, own_address: str) -> str:
        """Return the address of the known leader, or an empty string.

        A controller that the leader does not contact uses the address that another controller gave
        it.
        """
        if self.seeks_leader:
            return self._leader_hint
        leader = self.agreement.leader
        if leader is None:
            return ""
        if leader == self.agreement.identity:
            return own_address
        return self._network.addresses.get(leader.name, "")

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a voter or learner, as far as it knows."""
        configuration = self.agreement.configuration
        return self.agreement.identity in configuration.voters + configuration.learners

    @property
    def seeks_leader(self) -> bool:
        """Whether this controller has to find the leader, as the leader does not contact it.

        Its own log may be older than a change of the members: a voter that was replaced while it
        was down finds itself a voter in it. A learner is not contacted either if the present leader
        does not know its address.
        """
        if not self.is_member:
            return True
        agreement = self.agreement
        return agreement.leader_silence_s(boot_seconds()) > agreement.leader_silence_limit_s

    def keep_links(self) -> None:
        """Keep links to all other members from now on, even when there is nothing to send."""
        self._network.dials_eagerly = True

    def forget_leader(self) -> None:
        """Drop the leader address that another controller gave."""
        self._leader_hint = ""

    def learn_members(self, answer: CallAnswer) -> None:
        """Store the addresses of the leader and the members from another controller's answer."""
        self._leader_hint = answer.leader
        for member in answer.members:
            self._network.set_address(member.name, member.address)

    def answer_membership_call(self, call: AwaitMembershipCall) -> CallAnswer:
        """Answer a controller that the leader does not contact; the leader also records it."""
        leader = self.leader_address(self._advertise)
        if self.leads:
            self._record_announcement(call)
        elif call.finds_itself_member:
            self._network.learn_caller(call.identity.name, call.address)
        retry_after_ms = int(self.waiting.interval_s * MS_PER_S)
        return CallAnswer(leader=leader, members=self._members(), retry_after_ms=retry_after_ms)

    def _record_announcement(self, call: AwaitMembershipCall) -> None:
        """Record a controller as waiting, or the address of a member.

        The leader that added a member may have lost the leadership before it recorded the address.
        """
        configuration = self.agreement.configuration
        if call.identity in configuration.voters + configuration.learners:
            self._network.set_address(call.identity.name, call.address)
            return
        self.non_members[call.identity.name] = call.identity
        self.waiting.record(call.identity, call.address, boot_seconds())

    def _members(self) -> tuple[PeerAddress, ...]:
        """Return the members whose address this controller knows."""
        own = self.agreement.identity.name
        known = {own: self._advertise, **self._network.addresses}
        configuration = self.agreement.configuration
        names = [member.name for member in configuration.voters + configuration.learners]
        return tuple(PeerAddress(name, known[name]) for name in names if known.get(name))

    async def run(self) -> None:
        """Run until cancelled; return once the storage has failed and the disk works again.

        After a failed write it is unknown what the disk holds, so another replica has to load the
        state from disk. This replica has given up its leadership and refuses requests.

        :raises Exception: any other error that ended the replica
        """
        await self._events.put(Started())
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._run_events)
            await tasks.spawn(self._run_writes)
            disk = await tasks.spawn(self._wait_for_disk_after_failure)
        if tasks.completed is not disk or disk.exception is not None:
            raise tasks.completed.exception
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Stop the agreement, fail pending requests and release the disk."""
        failed = StorageFailed(self.storage_failure)
        for command in self.agreement.handle(failed, boot_seconds()):
            await self._execute(command)
        await self._requests.end()
        await curio.run_in_thread(self._storage.stop)

    async def _wait_for_disk_after_failure(self) -> None:
        """Return once the storage has failed and the disk accepts writes again."""
        await self._storage_failed.wait()
        while not await curio.run_in_thread(self._storage.disk_is_writable):
            await curio.sleep(DISK_PROBE_INTERVAL_S)
        EVENTS.warning("disk-works-again")

    @property
    def known_addresses(self) -> dict[str, str]:
        """The addresses of the other controllers, by name."""
        return self._network.addresses

    def members_heard_at(self) -> dict[ControllerIdentity, float]:
        """Return, on the leader, when each other member was last heard.

        For a member that has not responded to this leader yet, what this controller heard before it
        led counts: a change of the leader does not make a member that is gone a new one.
        """
        heard_at = self._network.heard_at
        return {
            member: progress.last_response_at
            if progress.has_responded
            else min(progress.last_response_at, heard_at.get(member.name, float("inf")))
            for member, progress in self.agreement.member_progress().items()
        }

    def learn_address(self, name: str, address: str) -> None:
        """Set the address of another controller."""
        self._network.set_address(name, address)

    async def receive(self, sender: ControllerIdentity, message: PeerMessage) -> None:
        """Handle a message from another controller."""
        if isinstance(message, FoundingQuery):
            await self._answer_non_member(sender)
            return
        if isinstance(message, FoundingAnswer):
            for known in message.controllers:
                self._network.set_address(known.name, known.address)
            return
        self._metrics.peer_messages.labels("in").inc()
        await self._events.put(MessageReceived(sender, message))

    async def _answer_non_member(self, sender: ControllerIdentity) -> None:
        """Record a controller that waits to be added, and answer its query."""
        self.non_members[sender.name] = sender
        known = {self.agreement.identity.name: self._advertise, **self._network.addresses}
        answer = answer_founding_query(
            sender,
            self._snapshot,
            self.agreement.configuration,
            self._voter_names,
            tuple(PeerAddress(name, address) for name, address in known.items() if address),
        )
        await self._network.send(answer.to, answer.message)

    async def propose(self, entry: ControlEntry) -> Result[object, Failure]:
        """Propose an entry; return the answer that it gave when it was applied."""
        payload = pack_entry(entry)
        proposed_at = boot_seconds()
        result = await self._request(lambda number: Proposed(number, payload))
        if isinstance(result, Ok):
            self._metrics.commit_seconds.observe(boot_seconds() - proposed_at)
        return result

    async def propose_without_answer(self, entry: ControlEntry) -> None:
        """Propose an entry without waiting; the caller proposes it again if it is lost."""
        await self._events.put(Proposed("", pack_entry(entry)))

    async def change_members(self, change: MembershipChange) -> Result[object, Failure]:
        """Request a membership change."""
        return await self._request(lambda number: MembershipChangeRequested(number, change))

    async def confirm_leadership(self) -> Result[object, Failure]:
        """Return Ok if the applied state is current and may be read."""
        return await self._request(lambda number: ReadRequested(number))

    async def transfer_leadership(self) -> None:
        """Hand over the leadership, if this controller has it."""
        await self._events.put(LeadershipTransferRequested())

    async def _request(self, event: Callable[[str], Event]) -> Result[object, Failure]:
        return await self._requests.ask(lambda number: self._events.put(event(number)))

    async def _run_events(self) -> None:
        next_tick_at = boot_seconds()
        ended_at = next_tick_at
        while True:
            events = await self._events.take_all(next_tick_at - boot_seconds())
            now = boot_seconds()
            self._longest_step_s = max(self._longest_step_s, now - max(ended_at, next_tick_at))
            if now >= next_tick_at:
                events.append(Tick())
                next_tick_at = now + self._tick_interval_s
            commands = self.agreement.handle_batch(events, now)
            for command in await self._save_leader_contact(commands, now):
                await self._execute(command)
            self._answers.clear()
            await self._save_snapshot_when_due()
            await self._announce_when_due(now)
            ended_at = boot_seconds()
            self._longest_step_s = max(self._longest_step_s, ended_at - now)

    async def _save_leader_contact(self, commands: list[Command], now: float) -> list[Command]:
        """Store the time of a leader contact before the leader is answered.

        :returns: the commands to execute; without messages if the time could not be stored
        """
        contact_at = self.agreement.leader_contact_at
        if contact_at == self._saved_leader_contact_at:
            return commands
        self._saved_leader_contact_at = contact_at
        failed = self._storage.save_leader_contact(contact_at)
        if failed is None:
            return commands
        await self._record_storage_failure(failed)
        kept = [command for command in commands if not isinstance(command, SendMessage)]
        return kept + self.agreement.handle(failed, now)

    async def _announce_when_due(self, now: float) -> None:
        """Announce a controller that the leader does not contact to all declared controllers.

        The announcement is repeated, because a controller that restarts forgets it. Where
        controllers find each other automatically, ``MembershipSearch`` does this.
        """
        if self._advertise or not self.seeks_leader or now < self._next_announcement_at:
            return
        self._next_announcement_at = now + ANNOUNCEMENT_INTERVAL_S
        query = FoundingQuery(self._voter_names)
        for name in self._network.addresses:
            await self._network.send(ControllerIdentity(name, ANY_INCARNATION), query)

    async def _run_writes(self) -> None:
        """Write to disk in a thread, so that the event loop keeps sending heartbeats."""
        while True:
            commands = await self._writes.take_all()
            started_at = boot_seconds()
            outcome = await curio.run_in_thread(self._storage.execute, commands)
            took_s = boot_seconds() - started_at
            self._longest_sync_s = max(self._longest_sync_s, took_s)
            self._metrics.sync_seconds.observe(took_s)
            if isinstance(outcome, StorageFailed):
                await self._record_storage_failure(outcome)
            if outcome is not None:
                await self._events.put(outcome)

    async def _record_storage_failure(self, failed: StorageFailed) -> None:
        if not self.storage_failure:
            EVENTS.error("storage-failed", reason=failed.reason)
        self.storage_failure = failed.reason
        await self._storage_failed.set()

    async def _execute(self, command: Command) -> None:
        match command:
            case SendMessage():
                self._metrics.peer_messages.labels("out").inc()
                await self._network.send(command.to, command.message)
            case ApplyEntries():
                await self._apply(command.entries)
            case ProposalAccepted():
                await self._requests.finish(
                    command.request_id, Ok(self._answers.get(command.index))
                )
            case ProposalRefused() | ReadRefused():
                await self._requests.finish(command.request_id, Err(command.failure))
            case ReadReady():
                await self._requests.finish(command.request_id, Ok(None))
            case RestoreState():
                self._metrics.snapshots.labels("installed").inc()
                await self._restore(command.snapshot)
            case RoleChanged() | SteppedDown():
                self._report_role(command)
                await self._on_role()
            case _:
                if isinstance(command, SaveSnapshot):
                    self._snapshot = command.snapshot
                await self._writes.put(command)

    def _report_role(self, command: RoleChanged | SteppedDown) -> None:
        """Count and log a role change."""
        if isinstance(command, SteppedDown):
            self._metrics.step_downs.labels(command.reason).inc()
            self._log_step_down(command)
            return
        leader = command.leader or "none"
        self._longest_step_s = 0.0
        self._longest_sync_s = 0.0
        self._metrics.role_changes.labels(command.role.value).inc()
        EVENTS.info("role", role=command.role, term=command.term, leader=leader)

    def _log_step_down(self, command: SteppedDown) -> None:
        """Log why the leadership was lost: silent voters, replication lag, slow steps and syncs."""
        rounds = command.rounds
        EVENTS.warning(
            "stepped-down",
            term=command.term,
            reason=command.reason,
            led_ms=int(rounds.led_s * MS_PER_S),
            rounds_sent=rounds.sent,
            rounds_confirmed=rounds.confirmed,
            unconfirmed_ms=int(rounds.confirmed_s * MS_PER_S),
            heard_ms=_by_name({n: int(s * MS_PER_S) for n, s in rounds.silent_s.items()}),
            behind=_by_name(rounds.behind),
            unsynced=rounds.unsynced,
            longest_step_ms=int(self._longest_step_s * MS_PER_S),
            longest_sync_ms=int(self._longest_sync_s * MS_PER_S),
        )

    async def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            self._snapshot_schedule.note_applied(len(entry.payload))
            if entry.kind != EntryKind.PROPOSAL:
                self.state.applied_index = entry.index
                continue
            unpacked = unpack_entry(entry.payload)
            if isinstance(unpacked, Err):
                raise RuntimeError(f"entry {entry.index}: {unpacked.err_value}")
            applied = self.state.apply(entry.index, unpacked.ok_value)
            if applied.answer is not None and self.agreement.role is Role.LEADER:
                self._answers[entry.index] = applied.answer
            if applied.update is not None:
                await self._publish_update(applied.update)
        self._learn_addresses()

    async def _publish_update(self, update: ControlUpdate) -> None:
        """Keep an update for proxies that lag, and pass it to those that are connected."""
        self.updates.add(update)
        changed_homes = frozenset(self.homes.apply(update))
        await self._on_update(update, changed_homes)

    async def _restore(self, snapshot: Snapshot) -> None:
        self.state = ControlState.from_bytes(snapshot.data)
        self.state.applied_index = snapshot.index
        self.homes = HomeDirectory.of(
            self.state.home_proxies_per_group,
            self.state.proxies.values(),
            connection_limits(self.state.declared.groups.values()),
        )
        self.updates.clear()
        self._snapshot = snapshot
        self._learn_addresses()
        await self._on_role()

    def _learn_addresses(self) -> None:
        for name, address in self.state.controllers.items():
            if self._network.addresses.get(name) != address:
                self._network.set_address(name, address)

    async def _save_snapshot_when_due(self) -> None:
        if not self._snapshot_schedule.take_due():
            return
        self._metrics.snapshots.labels("saved").inc()
        data = self.state.to_bytes()
        await self._events.put(SnapshotTaken(self.state.applied_index, data))


def _by_name(values: dict[str, int]) -> str:
    """Return ``name:value`` pairs for a log line."""
    return ",".join(f"{name}:{value}" for name, value in sorted(values.items()))

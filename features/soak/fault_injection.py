"""A deployment that restarts its processes, and the injection of faults and planned work."""

from __future__ import annotations

import random
import resource
import shutil
import signal
import time
from pathlib import Path

import curio

from features.soak.plan import Fault, FaultKind
from features.soak.process_history import ProcessHistory
from features.soak.relay import MemberRelay
from features.soak.stops import Series, StopKind
from features.support.line_platform.deployment import CONTROLLERS, PROXIES, Deployment
from features.support.line_platform.group import StandInMember

RESTART_INTERVAL_S = 0.3
SECOND_SIGNAL_S = 0.2
POLL_INTERVAL_S = 0.05
BUSY_ANSWERS, LOST_ANSWERS = 40, 3
LAG_S, DELAY_S = 0.6, 0.15
LATE_ANNOUNCEMENT_S = 1.5
SILENT_FOR_LONGER_S = 1.0
EMPTY_SHARE, LEADING_SHARE = 0.7, 0.5
"""With empty restarts: share of the crashed members that restart without their logs, and share of
the former primaries among these that start as primary."""
CATCH_UP_S, CATCH_UP_POLL_S = 1.0, 0.2
CONTROLLER_PROGRAM, PROXY_PROGRAM = "run_controller.py", "run_proxy.py"


class SoakDeployment(Deployment):
    """Puts a relay in front of each member, and restarts exited processes as the platform does.

    :ivar held_down: machines whose process is not restarted for now
    :ivar is_stopping: whether the run is over, so that no process is started any more
    """

    def __init__(
        self,
        folder: Path,
        proxies: tuple[str, ...] = PROXIES,
        synchronous_replicas: int = 0,
        controllers: tuple[str, ...] = CONTROLLERS,
        tolerated_losses: int = 1,
    ) -> None:
        super().__init__(folder, proxies, synchronous_replicas, controllers, tolerated_losses)
        self.history = ProcessHistory()
        self.relays: dict[str, MemberRelay] = {}
        self.held_down: set[str] = set()
        self.is_stopping = False

    async def start(self) -> None:
        """Start the relays, the deployment and its supervision."""
        for name, member in self.group.members.items():
            self.relays[name] = MemberRelay(member)
            await self.relays[name].start()
        await super().start()
        await curio.spawn(self._supervise, daemon=True)

    def address_of(self, member: StandInMember) -> str:
        """Return the address of the member's relay."""
        return self.relays[member.identity].address

    async def stop(self) -> None:
        """Stop the supervision and everything that was started."""
        self.is_stopping = True
        await super().stop()

    def start_process(self, ip: str, program: str, bootstrap: bool = False) -> None:
        """Start one process, and record its start."""
        super().start_process(ip, program, bootstrap)
        self.history.record_start(ip)

    def set_answer_time(self, answer_s: float) -> None:
        """Set the time that members take to answer."""
        for member in self.group.members.values():
            member.faults.answers_travel_s = answer_s

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine, and record what it means to the process."""
        process = self.process(ip)
        if process.poll() is not None:
            return
        if number == signal.SIGTERM:
            self.history.record_stop(ip)
        if number in (signal.SIGTERM, signal.SIGHUP):
            self.history.record_signal(ip, process.pid, number)
        else:
            self.history.record_disturbance(ip)
        process.send_signal(number)

    async def _supervise(self) -> None:
        while not self.is_stopping:
            for ip in self.started_machines():
                status = self.process(ip).poll()
                if status is not None:
                    self.history.record_exit(ip, status)
                    await curio.spawn(self._restart, ip, daemon=True)
            await curio.sleep(RESTART_INTERVAL_S)

    async def _restart(self, ip: str) -> None:
        is_wanted = not self.is_stopping and ip not in self.held_down
        if self.process(ip).poll() is not None and is_wanted:
            program = CONTROLLER_PROGRAM if ip in self.controllers else PROXY_PROGRAM
            self.start_process(ip, program)


class MaintenanceRunner:
    """Runs series of planned work, which may overlap."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self._deployment = deployment

    async def run(self, plan: tuple[Series, ...]) -> None:
        """Run all series of a plan; return when the last one has ended."""
        started_at = time.monotonic()
        async with curio.TaskGroup() as tasks:
            for series in plan:
                await curio.sleep(max(0.0, started_at + series.at_s - time.monotonic()))
                await tasks.spawn(self._run_series, series)

    async def _run_series(self, series: Series) -> None:
        for ip in self._machines(series):
            await self._apply(ip, series.kind)
            await curio.sleep(series.gap_s)

    def _machines(self, series: Series) -> list[str]:
        """Return the machines of a series in order, at least one."""
        match series.kind:
            case StopKind.STOP_CONTROLLERS:
                machines = CONTROLLERS
            case StopKind.STOP_PROXIES | StopKind.STOP_TWICE:
                machines = self._deployment.proxies
            case _:
                machines = (*CONTROLLERS, *self._deployment.proxies)
        count = max(1, round(series.share * len(machines)))
        return [machines[(series.first + number) % len(machines)] for number in range(count)]

    async def _apply(self, ip: str, kind: StopKind) -> None:
        match kind:
            case StopKind.STOP_PROXIES | StopKind.STOP_CONTROLLERS:
                self._deployment.signal(ip, signal.SIGTERM)
            case StopKind.STOP_TWICE:
                self._deployment.signal(ip, signal.SIGTERM)
                await curio.sleep(SECOND_SIGNAL_S)
                self._deployment.signal(ip, signal.SIGTERM)
            case StopKind.HANG_UP:
                self._deployment.signal(ip, signal.SIGHUP)
            case StopKind.CHANGE_SEEDS:
                self._deployment.seeds = self._deployment.seeds[1:] + self._deployment.seeds[:1]
                self._deployment.write_node_file(ip)
                self._deployment.signal(ip, signal.SIGHUP)


class FaultInjector:
    """Injects faults, and ends them.

    :param seed: seed of the choices that a plan leaves open
    :param empty_restarts: whether most members that crash restart under their identities without
        their logs, provided that all other members run and hold the committed data
    """

    def __init__(self, deployment: SoakDeployment, seed: int, empty_restarts: bool = False) -> None:
        self._deployment = deployment
        self._empty_restarts = empty_restarts
        self._generator = random.Random(seed)

    async def run(self, plan: tuple[Fault, ...]) -> None:
        """Inject the faults of a plan; return when the last one has ended."""
        started_at = time.monotonic()
        async with curio.TaskGroup() as tasks:
            for fault in plan:
                await curio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
                await tasks.spawn(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        controller = CONTROLLERS[fault.target % len(CONTROLLERS)]
        proxies = self._deployment.proxies
        proxy = proxies[fault.target % len(proxies)]
        match fault.kind:
            case FaultKind.KILL_CONTROLLER:
                self._signal(controller, signal.SIGKILL)
            case FaultKind.KILL_ALL_CONTROLLERS:
                for ip in CONTROLLERS:
                    self._signal(ip, signal.SIGKILL)
            case FaultKind.STOP_CONTROLLER:
                self._signal(controller, signal.SIGTERM)
            case FaultKind.PAUSE_CONTROLLER:
                await self._pause(controller, fault.for_s)
            case FaultKind.WIPE_CONTROLLER:
                await self._wipe(controller)
            case FaultKind.FILL_DISK:
                await self._fill_disk(controller, fault.for_s)
            case FaultKind.KILL_PROXY:
                self._signal(proxy, signal.SIGKILL)
            case FaultKind.STOP_PROXY:
                self._signal(proxy, signal.SIGTERM)
            case FaultKind.PAUSE_PROXY:
                await self._pause(proxy, fault.for_s)
            case _:
                await self._inject_member_fault(fault)

    def _signal(self, ip: str, number: signal.Signals) -> None:
        self._deployment.signal(ip, number)

    async def _pause(self, ip: str, seconds: float) -> None:
        process = self._deployment.process(ip)
        self._signal(ip, signal.SIGSTOP)
        await curio.sleep(seconds)
        if process is self._deployment.process(ip):
            self._signal(ip, signal.SIGCONT)

    async def _wipe(self, ip: str) -> None:
        process = self._deployment.process(ip)
        self._signal(ip, signal.SIGKILL)
        while process.poll() is None:
            await curio.sleep(POLL_INTERVAL_S)
        if process is self._deployment.process(ip):
            shutil.rmtree(self._deployment.data_folder(ip), ignore_errors=True)

    async def _fill_disk(self, ip: str, seconds: float) -> None:
        """Keep the files of a controller from growing, as on a full disk."""
        process = self._deployment.process(ip)
        if process.poll() is not None:
            return
        self._deployment.history.record_disturbance(ip)
        try:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
            await curio.sleep(seconds)
            unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
            if process.poll() is None:
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, unlimited)
        except ProcessLookupError:
            return

    async def _inject_member_fault(self, fault: Fault) -> None:
        group = self._deployment.group
        names = sorted(group.members)
        member = group.members[names[fault.target % len(names)]]
        match fault.kind:
            case FaultKind.CRASH_PRIMARY:
                await self._crash(group.primary, fault.for_s)
            case FaultKind.CRASH_REPLICA:
                if not member.is_primary:
                    await self._crash(member, fault.for_s)
            case FaultKind.LOSE_ANSWERS:
                member.faults.lose_answers = LOST_ANSWERS
            case FaultKind.DEAF_REPLICA:
                member.faults.deaf = True
                await curio.sleep(fault.for_s)
                await group.listen_again(member.identity)
            case FaultKind.BUSY_PRIMARY:
                if group.primary is not None:
                    group.primary.faults.busy = BUSY_ANSWERS
            case FaultKind.CUT_PRIMARY:
                await self._cut_off(group.primary, fault.for_s)
            case FaultKind.SILENT_MEMBER:
                member.announces_itself = False
                await curio.sleep(fault.for_s)
                member.announces_itself = True
            case FaultKind.LATE_ANNOUNCEMENTS:
                member.announcements_travel_s = LATE_ANNOUNCEMENT_S
                await curio.sleep(fault.for_s)
                member.announcements_travel_s = 0.0
            case FaultKind.LATE_CALL:
                self._deployment.authority.late_calls += 1
            case FaultKind.LAG:
                member.faults.lag_s = LAG_S
                await curio.sleep(fault.for_s)
                member.faults.lag_s = 0.0
            case _:
                await self._inject_link_fault(fault, self._deployment.relays[member.identity])

    async def _cut_off(self, member: StandInMember | None, seconds: float) -> None:
        """Cut a member off from the proxies, and for longer from the controllers."""
        if member is None:
            return
        faults = self._deployment.relays[member.identity].faults
        member.announces_itself = False
        faults.cut_to_member = faults.cut_from_member = True
        await curio.sleep(seconds)
        faults.cut_to_member = faults.cut_from_member = False
        await curio.sleep(SILENT_FOR_LONGER_S)
        member.announces_itself = True

    async def _crash(self, member: StandInMember | None, seconds: float) -> None:
        if member is None or member.task.terminated:
            return
        was_primary = member.is_primary
        await self._deployment.group.crash(member.identity)
        await curio.sleep(seconds)
        if not member.task.terminated:
            return
        if (
            self._empty_restarts
            and self._generator.random() < EMPTY_SHARE
            and self._has_others(member)
        ):
            await self._start_empty(
                member, was_primary and self._generator.random() < LEADING_SHARE
            )
        else:
            await self._deployment.group.restart(member.identity)

    def _has_others(self, member: StandInMember) -> bool:
        """Tell whether all other members run and hold the committed data."""
        others = [m for m in self._deployment.group.members.values() if m is not member]
        return all(not m.task.terminated and not m.faults.deaf for m in others)

    async def _start_empty(self, member: StandInMember, as_primary: bool) -> None:
        """Start a member without its log, and have it catch up once there is another primary."""
        group = self._deployment.group
        await group.start_again(member.identity, as_primary and group.primary is None)
        await curio.sleep(CATCH_UP_S)
        while not member.task.terminated and not group.catch_up(member.identity):
            await curio.sleep(CATCH_UP_POLL_S)

    async def _inject_link_fault(self, fault: Fault, relay: MemberRelay) -> None:
        faults = relay.faults
        match fault.kind:
            case FaultKind.RESET_LINK:
                await relay.reset_all()
                return
            case FaultKind.SILENCE_OPEN:
                relay.silence_open()
                return
            case FaultKind.DELAY_LINK:
                faults.delay_s = DELAY_S
            case FaultKind.CUT_TO_MEMBER:
                faults.cut_to_member = True
            case FaultKind.CUT_FROM_MEMBER:
                faults.cut_from_member = True
            case FaultKind.SILENCE_LINK:
                faults.cut_to_member = faults.cut_from_member = True
        await curio.sleep(fault.for_s)
        faults.delay_s = 0.0
        faults.cut_to_member = faults.cut_from_member = False

"""Five controllers and some proxies, whose machines start late, stay down, lose disks or go."""

from __future__ import annotations

import shutil
import signal
import time
from collections.abc import Collection, Mapping
from pathlib import Path

import curio

from features.soak.configuration.history import ConfigurationHistory
from features.soak.fault_injection import CONTROLLER_PROGRAM, PROXY_PROGRAM, SoakDeployment
from features.support.line_platform.deployment import NETWORK, SEED_COUNT

TOLERATED_LOSSES = 2
FIVE_CONTROLLERS = (
    *(f"{NETWORK}.{zone}.1" for zone in (1, 2, 3)),
    *(f"{NETWORK}.{zone}.3" for zone in (1, 2)),
)
FIRST_PROXY_HOST, FIRST_SUCCESSOR_HOST = 10, 60
ZONE_COUNT = 3
POLL_INTERVAL_S = 0.02


def proxy_machines(count: int) -> tuple[str, ...]:
    """Return the addresses of the proxies' machines, spread over the zones."""
    return tuple(
        f"{NETWORK}.{1 + number % ZONE_COUNT}.{FIRST_PROXY_HOST + number // ZONE_COUNT}"
        for number in range(count)
    )


class ConfigurationDeployment(SoakDeployment):
    """A deployment that bears the loss of two of five controllers.

    :param late: delay of the first start by machine, in seconds; the others start at once
    :param paused: machines whose process stands still from its start, with the seconds until it
        continues

    :ivar changes: what operators and observers see, and when machines were disturbed
    """

    def __init__(
        self,
        folder: Path,
        proxies: int,
        late: Mapping[str, float] | None = None,
        paused: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(
            folder,
            proxy_machines(proxies),
            controllers=FIVE_CONTROLLERS,
            tolerated_losses=TOLERATED_LOSSES,
        )
        self.changes = ConfigurationHistory()
        self._late = dict(late or {})
        self._paused = dict(paused or {})
        self._successor_count = 0
        self._process_numbers: dict[str, int] = {}

    async def start_machine(self, ip: str, program: str) -> None:
        """Start the first process of a machine, at once or when it is due."""
        await curio.spawn(self._start_when_due, ip, program, daemon=True)

    async def _start_when_due(self, ip: str, program: str) -> None:
        await curio.sleep(self._late.get(ip, 0.0))
        if self.is_stopping or ip in self._process_numbers or ip in self.held_down:
            return
        self.start_process(ip, program, bootstrap=True)
        if ip in self._paused:
            await self.pause(ip, self._paused[ip])

    def start_process(
        self, ip: str, program: str, bootstrap: bool = False, written: str | None = None
    ) -> None:
        """Start one process, and record the disturbance."""
        super().start_process(ip, program, bootstrap)
        self._process_numbers[ip] = len(self.history.processes)
        self._record_disturbance(ip)

    def process_number(self, ip: str) -> int:
        """Return the number of a machine's process among all of the run; 0 before its start."""
        return self._process_numbers.get(ip, 0)

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal, and record it as a disturbance unless it only announces settings."""
        super().signal(ip, number)
        if number != signal.SIGHUP:
            self._record_disturbance(ip)

    def _record_disturbance(self, ip: str) -> None:
        self.changes.disturbances.setdefault(ip, []).append(time.monotonic())

    def running_controllers(self) -> tuple[str, ...]:
        """Return the controllers whose machines have started and are not held down."""
        return tuple(
            ip
            for ip in self.controllers
            if ip in self._process_numbers and ip not in self.held_down
        )

    async def pause(self, ip: str, seconds: float) -> None:
        """Stop a process for some seconds with SIGSTOP."""
        process = self.process(ip)
        self.signal(ip, signal.SIGSTOP)
        await curio.sleep(seconds)
        if process is self.process(ip):
            self.signal(ip, signal.SIGCONT)

    async def switch_off(self, ip: str, seconds: float, keeps_disk: bool = True) -> None:
        """Kill a process; start it again some seconds later, with its disk or an empty one."""
        self.held_down.add(ip)
        await self._kill(ip)
        if not keeps_disk:
            self.lose_disk(ip)
        await curio.sleep(seconds)
        self.held_down.discard(ip)

    def lose_disk(self, ip: str) -> None:
        """Remove the data folder of a controller whose process has ended."""
        shutil.rmtree(self.data_folder(ip), ignore_errors=True)

    async def replace_controller(self, ip: str, successor_after_s: float) -> str:
        """Remove a controller for good, and start one with an empty disk at another address."""
        self.held_down.add(ip)
        await self._kill(ip)
        self.controllers = tuple(other for other in self.controllers if other != ip)
        self.seeds = self.controllers[:SEED_COUNT]
        await curio.sleep(successor_after_s)
        zone = 1 + self._successor_count % ZONE_COUNT
        successor = f"{NETWORK}.{zone}.{FIRST_SUCCESSOR_HOST + self._successor_count}"
        self._successor_count += 1
        self.controllers = (*self.controllers, successor)
        self.start_process(successor, CONTROLLER_PROGRAM)
        return successor

    async def _kill(self, ip: str) -> None:
        process = self.process(ip)
        self.signal(ip, signal.SIGKILL)
        while process.poll() is None:
            await curio.sleep(POLL_INTERVAL_S)

    async def kill_everything(self) -> None:
        """Kill all controllers and proxies; those that are due to start stay down as well."""
        machines = self.started_machines()
        self.held_down.update(self.controllers, self.proxies)
        for ip in machines:
            self.signal(ip, signal.SIGKILL)
        for ip in machines:
            await self._kill(ip)

    def start_everything(self, lost_disks: Collection[str]) -> None:
        """Start all machines again after ``kill_everything``, some with empty disks."""
        for ip in lost_disks:
            self.lose_disk(ip)
        for ip in (*self.controllers, *self.proxies):
            program = CONTROLLER_PROGRAM if ip in self.controllers else PROXY_PROGRAM
            self.start_process(ip, program)
        self.held_down.clear()

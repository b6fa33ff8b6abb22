"""The machines of a run, and the losses that they suffer."""

from __future__ import annotations

import random
from collections.abc import Callable

import curio

from limedyke_lab.controller_disks import ControllerDisk, fatal_losses
from limedyke_lab.simulator.controllers import SimulatedController
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.layout import Place, make_secrets
from limedyke_lab.simulator.machine.curio_process import CurioProcess
from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.machine.kernel import Kernel, Process
from limedyke_lab.simulator.machine.network import Network
from limedyke_lab.simulator.voters.faults import LOSSES, Fault, FaultKind
from limedyke_lab.simulator.voters.layout import (
    INITIAL_CONTROLLERS,
    LOST_DISKS_TOLERATED,
    OPERATORS,
    SEEDS,
    SUCCESSORS,
    geography_of,
    make_places,
    voter_settings,
)
from limedyke_lab.simulator.voters.operator import DeclaringOperator, Versions
from limedyke_lab.simulator.voters.record import VoterRecord

CLOCK_DRIFT = 0.008
CLOCK_OFFSET_S = 5_000.0
RESTART_S = 0.5
EMPTY_AFTER_S = 1.0
SUCCESSOR_AFTER_S = 1.0
CATCH_UP_S = 4.0
"""Seconds for which a controller counts as lost after it has come back."""
ADDITION_WAIT_S, POLL_S = 4.0, 0.002
CONTROLLER_HOST, OPERATOR_HOST = 10, 80


class VoterWorld:
    """Controllers that keep their voters themselves, and operators.

    :ivar present: the machines that are not gone for good, by name
    """

    def __init__(self, seed: int, environment: Environment) -> None:
        self.seed = seed
        self.kernel = Kernel(seed)
        self.history = History(self.kernel)
        self.record = VoterRecord()
        self._geography = geography_of(seed)
        self._network = Network(self.kernel, self._geography)
        self._environment = environment
        self._rng = random.Random(f"{seed}/voter-world")
        self._secrets = make_secrets()
        count = INITIAL_CONTROLLERS + SUCCESSORS
        self._places = make_places(self._geography, "controller", count, CONTROLLER_HOST)
        self._controllers: dict[str, SimulatedController] = {}
        self._counted: dict[str, int] = {}
        self._caught_up_at = 0.0
        self._held_down: set[str] = set()
        self.present: dict[str, Place] = {}

    # ----- start -----

    def boot(self, late: dict[int, float]) -> None:
        """Start the controllers, some of them late, and the operators."""
        seeds = self._places[:SEEDS]
        for number, place in enumerate(self._places[:INITIAL_CONTROLLERS]):
            self._add_controller(place, seeds, joins=place not in seeds)
            self.kernel.call_later(late.get(number, 0.0), self._boot, place.name)
        versions = Versions()
        for place in make_places(self._geography, "operator", OPERATORS, OPERATOR_HOST):
            self._start_operator(place, versions)

    def _process(self, place: Place) -> Process:
        rate = 1.0 + self._rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        offset = self._rng.uniform(100.0, CLOCK_OFFSET_S)
        process = Process(self.kernel, place.name, place.zone, rate, offset)
        self._network.attach(process, place.ip)
        return process

    def _add_controller(self, place: Place, seeds: tuple[Place, ...], joins: bool) -> None:
        controller = SimulatedController(
            self._process(place),
            self._network,
            self._environment,
            self.history,
            voter_settings(place, seeds, joins),
            self._secrets,
            random.Random(f"{self.seed}/{place.name}"),
            self._on_exit,
        )
        controller.runtime.on_power_loss = lambda: self._on_power_lost(place.name)
        self._controllers[place.name] = controller
        self.present[place.name] = place

    def _start_operator(self, place: Place, versions: Versions) -> None:
        key = (self._secrets.get("cluster") or "").encode()

        async def program() -> None:
            operator = DeclaringOperator(
                place,
                key,
                lambda: tuple(self.present.values()),
                versions,
                self.record,
                self.kernel,
                self._on_confirmed,
                self.seed,
            )
            await operator.run()
            await curio.Event().wait()

        process = self._process(place)
        CurioProcess(process, self._network, self._environment, program)
        process.boot()

    def _boot(self, name: str) -> None:
        controller = self._controllers[name]
        if name not in self.present or name in self._held_down or controller.process.running:
            return
        self.history.add("boot", process=name)
        controller.process.boot()

    def _restart_as_joiner(self, name: str) -> None:
        """Start a process again, with the settings of the moment.

        Only the very first start of the system founds a cluster; the seeds are present machines.
        """
        if name not in self.present:
            return
        controller = self._controllers[name]
        controller.settings = voter_settings(self.present[name], self._seeds(), joins=True)
        self._boot(name)

    def _seeds(self) -> tuple[Place, ...]:
        return tuple(self.present.values())[:SEEDS]

    def _on_exit(self, controller: SimulatedController) -> None:
        self._crash(controller.name)
        self.kernel.call_later(RESTART_S, self._restart_as_joiner, controller.name)

    def _on_power_lost(self, name: str) -> None:
        self._crash(name, loses_power=True)
        self.kernel.call_later(RESTART_S, self._restart_as_joiner, name)

    # ----- faults -----

    def _crash(self, name: str, loses_power: bool = False) -> None:
        controller = self._controllers[name]
        if not controller.process.running:
            return
        controller.process.crash()
        self._network.process_crashed(controller.process)
        controller.power_loss_pending = loses_power
        controller.crashed()

    def inject(self, fault: Fault) -> None:
        """Inject a fault, unless it would lose more controllers than are to be borne."""
        if fault.kind is FaultKind.DARK_ADDING_LEADER:
            self._await_addition(fault.seconds, self.kernel.now + ADDITION_WAIT_S)
            return
        if fault.kind not in LOSSES:
            self.history.add("fault", fault=str(fault.kind))
            self._restart_all(loses_power=fault.kind is FaultKind.POWER_LOSS_ALL)
            return
        candidates = [name for name in self._running() if name not in self._counted]
        if not candidates or not self._further_losses():
            return
        name = candidates[fault.target % len(candidates)]
        if fault.kind is FaultKind.REPLACE and len(self._controllers) == len(self._places):
            return
        self.history.add("fault", fault=str(fault.kind), process=name)
        self._losses()[fault.kind](name, fault.seconds)

    def _await_addition(self, seconds: float, until: float) -> None:
        """Switch the leader off once it has added a learner and not recorded its address."""
        for name in self._running():
            if self._controllers[name].leads and self._controllers[name].unrecorded_learners():
                if name not in self._counted and self._further_losses():
                    self.history.add("fault", fault="dark-adding-leader", process=name)
                    self._switch_off(name, seconds, loses_power=True)
                return
        if self.kernel.now < until:
            self.kernel.call_later(POLL_S, self._await_addition, seconds, until)

    def _restart_all(self, loses_power: bool) -> None:
        """Restart all processes; nothing may be lost before they have had time to catch up."""
        self._caught_up_at = self.kernel.now + RESTART_S + CATCH_UP_S
        for name in list(self._counted):
            self._count_until(name, RESTART_S)
        for name in self._running():
            self._crash(name, loses_power)
            self.kernel.call_later(RESTART_S, self._restart_as_joiner, name)

    def _further_losses(self) -> int:
        """Return how many more controllers may be lost now."""
        if self.kernel.now < self._caught_up_at:
            return 0
        return max(0, LOST_DISKS_TOLERATED - len(self._counted))

    def _losses(self) -> dict[FaultKind, Callable[[str, float], None]]:
        return {
            FaultKind.KILL: lambda name, seconds: self._switch_off(name, RESTART_S),
            FaultKind.POWER_LOSS: lambda name, seconds: self._switch_off(
                name, RESTART_S, loses_power=True
            ),
            FaultKind.DARK: lambda name, seconds: self._switch_off(name, seconds, loses_power=True),
            FaultKind.FREEZE: self._freeze,
            FaultKind.ISOLATE: self._isolate,
            FaultKind.LOSE_DISK: self._lose_disk,
            FaultKind.REPLACE: self._replace,
        }

    def _running(self) -> list[str]:
        return [name for name in self.present if self._controllers[name].process.running]

    def _count_until(self, name: str, seconds: float) -> None:
        """Count a controller as lost for some seconds and the time to catch up after them."""
        self._counted[name] = self._counted.get(name, 0) + 1

        def forget() -> None:
            self._counted[name] -= 1
            if not self._counted[name]:
                del self._counted[name]

        self.kernel.call_later(seconds + CATCH_UP_S, forget)

    def _switch_off(self, name: str, seconds: float, loses_power: bool = False) -> None:
        self._count_until(name, seconds)
        self._crash(name, loses_power)
        self.kernel.call_later(seconds, self._restart_as_joiner, name)

    def _freeze(self, name: str, seconds: float) -> None:
        self._count_until(name, seconds)
        process = self._controllers[name].process
        life = process.life
        process.freeze()
        self.kernel.call_later(seconds, lambda: process.thaw() if process.life == life else None)

    def _isolate(self, name: str, seconds: float) -> None:
        self._count_until(name, seconds)
        for other in self._controllers:
            if other != name:
                self._network.cut(name, other, seconds)
                self._network.cut(other, name, seconds)

    def _lose_disk(self, name: str, seconds: float) -> None:
        self._count_until(name, EMPTY_AFTER_S)
        self._crash(name, loses_power=True)
        self._controllers[name].lose_disk()
        self.kernel.call_later(EMPTY_AFTER_S, self._restart_as_joiner, name)

    def _replace(self, name: str, seconds: float) -> None:
        self._crash(name, loses_power=True)
        del self.present[name]
        place = self._places[len(self._controllers)]
        self._count_until(place.name, SUCCESSOR_AFTER_S)
        self._add_controller(place, self._seeds(), joins=True)
        self.kernel.call_later(SUCCESSOR_AFTER_S, self._boot, place.name)

    # ----- promises -----

    def _on_confirmed(self, version: int) -> None:
        """Check, at the moment of a confirmation, which further losses it survives."""
        newest = max(version, self.record.confirmed_version(self.kernel.now))
        counted = tuple(name for name in self._counted if name in self.present)
        losses = len(counted) + self._further_losses()
        for lost, reason in fatal_losses(self._disks(), losses, newest, counted):
            self._add_lost(newest, lost, reason)
            return

    def _add_lost(self, version: int, lost: tuple[str, ...], reason: str) -> None:
        text = f"version {version} at {self.kernel.now:.3f} without {', '.join(lost)}: {reason}"
        self.record.violations.append(f"survives: {text}")

    def _disks(self) -> dict[str, ControllerDisk | None]:
        return {name: self._controllers[name].disk_after_power_loss() for name in self.present}

    def lose_power_and_disks(self) -> None:
        """Lose power everywhere, and the disks whose loss hurts most; start all again."""
        version = self.record.confirmed_version(self.kernel.now)
        for name in self._running():
            self._crash(name, loses_power=True)
        disks = self._disks()
        fatal = list(fatal_losses(disks, LOST_DISKS_TOLERATED, version))
        if fatal:
            lost, reason = fatal[0]
            self._add_lost(version, lost, reason)
        else:
            advanced = sorted(disks, key=lambda n: disks[n].last_index if disks[n] else 0)
            lost = tuple(advanced[-LOST_DISKS_TOLERATED:])
        self.history.add("fault", fault="lose-disks", process=",".join(lost))
        for name in lost:
            self._count_until(name, RESTART_S)
            self._controllers[name].lose_disk()
        for name in self.present:
            self.kernel.call_later(RESTART_S, self._restart_as_joiner, name)

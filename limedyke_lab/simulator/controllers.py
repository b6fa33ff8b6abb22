"""Simulated controllers: the product's controller on a simulated disk and network."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

import curio

from limedyke.controller.server import EXIT_FAILED, Controller
from limedyke.core.agreement.records import StoredState
from limedyke.core.control.state import ControlState
from limedyke.messages.agreement import ControllerIdentity
from limedyke.result_codes import ResultCode
from limedyke.settings.controller import ControllerSettings
from limedyke.settings.secrets import Secrets
from limedyke.storage.durable_log import DurableLog
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.simulated_disk import SimulatedDisk, SimulatedPowerLoss
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.curio_process import CurioProcess
from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.machine.kernel import Process
from limedyke_lab.simulator.machine.network import Network

POWER_LOSS_SHARE = 0.5
"""Share of the crashes that also lose what was not synced; the others end the process only."""
FOLDER = Path("/simulated/agreement")
SEGMENT_BYTES = 4_096
"""Small, so that a short run begins and removes segments of the log."""


class _NotingController(Controller):
    """A controller that tells when it reads its log anew after a failure of its disk."""

    def __init__(self, note: Callable[[], None], *arguments) -> None:
        super().__init__(*arguments)
        self._note = note

    async def _reopen_log(self) -> StoredState | None:
        self._note()
        return await super()._reopen_log()


class SimulatedController:
    """A controller process with its disk.

    :param on_exit: called when the process has ended by itself
    """

    def __init__(
        self,
        process: Process,
        network: Network,
        environment: Environment,
        history: History,
        settings: ControllerSettings,
        secrets: Secrets,
        rng: random.Random,
        on_exit: Callable[[SimulatedController], None],
    ) -> None:
        self.process = process
        self.name = process.name
        self.lost_disk = False
        self.loses_power = False
        self._history = history
        self._settings = settings
        self._secrets = secrets
        self._rng = rng
        self._on_exit = on_exit
        self._disk = SimulatedDisk(rng)
        self._controller: Controller | None = None
        self.runtime = CurioProcess(process, network, environment, self._program, self._exited)

    @property
    def leads(self) -> bool:
        """Whether it serves as the leader, by its own observed."""
        controller = self._controller
        return self.process.running and controller is not None and controller._leader is not None

    @property
    def state(self) -> ControlState | None:
        """The control state it has applied in this life."""
        controller = self._controller
        return (
            None
            if controller is None or controller._replica is None
            else (controller._replica.state)
        )

    @property
    def storage_failed(self) -> bool:
        """Whether it stopped writing after a failure of its disk."""
        controller = self._controller
        replica = None if controller is None else controller._replica
        return replica is not None and bool(replica.storage_failure)

    async def _program(self) -> None:
        identity = ControllerIdentity(self.name, f"{self._rng.getrandbits(64):016x}")
        log = await self._open_log(identity)
        self._controller = _NotingController(
            self._note_storage_failure, self._settings, self._secrets, log
        )
        await self._controller.run()

    async def _open_log(self, identity: ControllerIdentity) -> DurableLog:
        """Open the log; it is repaired then, so that power may be lost here too."""
        try:
            opened = open_durable_log(FOLDER, identity, self._disk, segment_bytes=SEGMENT_BYTES)
        except SimulatedPowerLoss:
            self.runtime.lose_power()
            return await curio.Event().wait()
        if opened.is_err() and opened.unwrap_err().code is ResultCode.DISK_FULL:
            raise SystemExit(EXIT_FAILED)
        return opened.unwrap()

    def _exited(self, error: BaseException | None) -> None:
        """Start again after an unexpected end, as a service manager would."""
        detail = type(error).__name__ if error is not None else "returned"
        self._history.add("controller-exited", controller=self.name, detail=detail)
        if self.storage_failed:
            self._note_storage_failure()
        if error is not None and not isinstance(error, SystemExit):
            self._history.add("process-failed", process=self.name, detail=repr(error))
        self._on_exit(self)

    def _note_storage_failure(self) -> None:
        self._history.add("storage-failed", controller=self.name)

    def crashed(self) -> None:
        """Lose or keep what was not synced."""
        self._controller = None
        loses_power, self.loses_power = self.loses_power, False
        if self._rng.random() < POWER_LOSS_SHARE or loses_power:
            self._disk.crash()
        else:
            self._disk.kill_process()

    def lose_disk(self) -> None:
        """Replace the disk by an empty one."""
        self._disk = SimulatedDisk(self._rng)
        self.lost_disk = True
        self._history.add("disk-lost", process=self.name)

    def fail_next_sync(self) -> None:
        """Let the next sync fail; what it should have written is lost."""
        self._disk.fail_syncs(1)

    def fill_disk(self) -> None:
        """Leave no room on the disk."""
        self._disk.capacity_bytes = 0

    def empty_disk(self) -> None:
        """Give the disk room again."""
        self._disk.capacity_bytes = None

    def lose_power_soon(self, operations: int | None) -> None:
        """Lose power in the middle of a later disk operation; None takes it back."""
        self._disk.lose_power_after(operations)

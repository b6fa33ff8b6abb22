"""Simulated controllers: the product's controller on a simulated disk and network."""

from __future__ import annotations

import copy
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
from limedyke_lab.controller_disks import ControllerDisk, summarize_disk
from limedyke_lab.simulated_disk import SimulatedDisk, SimulatedPowerLoss
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.curio_process import CurioProcess
from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.machine.kernel import Process
from limedyke_lab.simulator.machine.network import Network

POWER_LOSS_SHARE = 0.5
"""Share of crashes that lose unsynced data; the others only kill the process."""
FOLDER = Path("/simulated/agreement")
SEGMENT_BYTES = 4_096
"""Small enough for a short run to create and remove log segments."""


class _ReportingController(Controller):
    """A controller that reports each reopening of its log after a storage failure."""

    def __init__(self, report_storage_failure: Callable[[], None], *arguments) -> None:
        super().__init__(*arguments)
        self._report_storage_failure = report_storage_failure

    async def _reopen_log(self) -> StoredState | None:
        self._report_storage_failure()
        return await super()._reopen_log()


class SimulatedController:
    """A simulated controller process and its disk.

    :param on_exit: called when the process has exited on its own

    :ivar settings: what the next process reads at its start
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
        self.power_loss_pending = False
        self._history = history
        self.settings = settings
        self._secrets = secrets
        self._rng = rng
        self._on_exit = on_exit
        self._disk = SimulatedDisk(rng)
        self._controller: Controller | None = None
        self.runtime = CurioProcess(process, network, environment, self._program, self._exited)

    @property
    def leads(self) -> bool:
        """Whether it considers itself the leader."""
        controller = self._controller
        return self.process.running and controller is not None and controller._leader is not None

    @property
    def state(self) -> ControlState | None:
        """The control state that the running process has applied; None before it has any."""
        controller = self._controller
        return (
            None
            if controller is None or controller._replica is None
            else (controller._replica.state)
        )

    @property
    def storage_failed(self) -> bool:
        """Whether it stopped writing after a storage failure."""
        controller = self._controller
        replica = None if controller is None else controller._replica
        return replica is not None and bool(replica.storage_failure)

    async def _program(self) -> None:
        identity = ControllerIdentity(self.name, f"{self._rng.getrandbits(64):016x}")
        log = await self._open_log(identity)
        self._controller = _ReportingController(
            self._record_storage_failure, self.settings, self._secrets, log
        )
        await self._controller.run()

    async def _open_log(self, identity: ControllerIdentity) -> DurableLog:
        """Open and repair the log; the repair writes, so a power loss can interrupt it."""
        try:
            opened = open_durable_log(FOLDER, identity, self._disk, segment_bytes=SEGMENT_BYTES)
        except SimulatedPowerLoss:
            self.runtime.lose_power()
            return await curio.Event().wait()
        if opened.is_err() and opened.unwrap_err().code is ResultCode.DISK_FULL:
            raise SystemExit(EXIT_FAILED)
        return opened.unwrap()

    def _exited(self, error: BaseException | None) -> None:
        """Record the exit and report it, so that the process is restarted."""
        detail = type(error).__name__ if error is not None else "returned"
        self._history.add("controller-exited", controller=self.name, detail=detail)
        if self.storage_failed:
            self._record_storage_failure()
        if error is not None and not isinstance(error, SystemExit):
            self._history.add("process-failed", process=self.name, detail=repr(error))
        self._on_exit(self)

    def _record_storage_failure(self) -> None:
        self._history.add("storage-failed", controller=self.name)

    def crashed(self) -> None:
        """Apply a crash to the disk: a power loss drops unsynced data, a kill keeps it."""
        self._controller = None
        power_loss_pending, self.power_loss_pending = self.power_loss_pending, False
        if self._rng.random() < POWER_LOSS_SHARE or power_loss_pending:
            self._disk.crash()
        else:
            self._disk.kill_process()

    def unrecorded_learners(self) -> list[str]:
        """Return the learners in its log whose address it has not applied."""
        replica = self._controller._replica
        recorded = replica.state.controllers
        learners = replica.agreement.configuration.learners
        return [learner.name for learner in learners if learner.name not in recorded]

    def disk_after_power_loss(self) -> ControllerDisk | None:
        """Return what the disk would hold if power were lost now; None if it holds no log."""
        disk = copy.deepcopy(self._disk)
        disk.crash()
        identity = ControllerIdentity(self.name, "")
        opened = open_durable_log(FOLDER, identity, disk, segment_bytes=SEGMENT_BYTES)
        if opened.is_err():
            return None
        log = opened.unwrap()
        return summarize_disk(log.identity, log.take_stored_state())

    def lose_disk(self) -> None:
        """Replace the disk with an empty one."""
        self._disk = SimulatedDisk(self._rng)
        self.lost_disk = True
        self._history.add("disk-lost", process=self.name)

    def fail_next_sync(self) -> None:
        """Make the next sync fail and lose the data it should have written."""
        self._disk.fail_syncs(1)

    def fill_disk(self) -> None:
        """Make the disk full."""
        self._disk.capacity_bytes = 0

    def free_disk(self) -> None:
        """Remove the disk's capacity limit."""
        self._disk.capacity_bytes = None

    def lose_power_soon(self, operations: int | None) -> None:
        """Lose power after this many further disk operations; None cancels it."""
        self._disk.lose_power_after(operations)

"""Controllers in one process whose disks refuse writes, or hang, for a while."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from pathlib import Path

import curio
from result import Ok

from features.support.controller_lab import free_address
from limedyke.controller.clock import boot_seconds
from limedyke.controller.replica import Replica
from limedyke.controller.server import Controller
from limedyke.core.agreement.commands import Role
from limedyke.core.agreement.records import StoredState
from limedyke.messages.agreement import ControllerIdentity
from limedyke.messages.codec import encode
from limedyke.messages.control import NotLeader
from limedyke.messages.control_entries import RecordAnswer
from limedyke.settings.controller import ControllerPeer, ControllerSettings
from limedyke.settings.secrets import Secrets
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.simulated_disk import SimulatedDisk, SimulatedFile

FOLDER = Path("/simulated/agreement")
SEED = 11
ANSWER = encode(NotLeader(""))
"""Any message: the recorded content does not matter."""
POLL_S = 0.01
ELECTION_TIMEOUT_MS = 400
START_LIMIT_S = 5.0
PARTICIPATING_ROLES = (Role.LEADER, Role.FOLLOWER)


class _HangingFile:
    """A file whose syncs wait while its disk hangs."""

    def __init__(self, file: SimulatedFile, disk: RefusingDisk) -> None:
        self._file = file
        self._disk = disk

    def write(self, data: bytes) -> None:
        """Append all bytes."""
        self._file.write(data)

    def sync(self) -> None:
        """Sync once the disk no longer hangs."""
        self._disk.not_hanging.wait()
        self._file.sync()

    def close(self) -> None:
        """Release the file."""
        self._file.close()


class RefusingDisk(SimulatedDisk):
    """A disk that can be made to refuse writes, to hang, and to read slowly.

    :param keeps_unsynced: whether it is known which unsynced writes the disk keeps
    :ivar openings: how often the folder was locked, once for each opening of the log
    :ivar not_hanging: cleared while syncs hang
    """

    def __init__(self, keeps_unsynced: bool) -> None:
        super().__init__(random.Random(SEED))
        self._keeps_unsynced = keeps_unsynced
        self.openings = 0
        self.reading_s = 0.0
        self.failing_notes = 0
        self.not_hanging = threading.Event()
        self.not_hanging.set()

    def refuse(self) -> None:
        """Refuse all writes from now on."""
        self.capacity_bytes = 0

    def accept_again(self) -> None:
        """Accept writes again."""
        self.capacity_bytes = None

    def create(self, path: Path) -> _HangingFile:
        """Open an empty file whose syncs hang with the disk; the disk probe never hangs."""
        file = super().create(path)
        return file if "probe" in path.name else _HangingFile(file, self)

    def overwrite(self, path: Path, data: bytes) -> None:
        """Overwrite in place; fail while ``failing_notes`` is positive."""
        if self.failing_notes:
            self.failing_notes -= 1
            raise OSError(28, "no space")
        super().overwrite(path, data)

    def read(self, path: Path) -> bytes | None:
        """Return the whole file, after ``reading_s`` seconds."""
        time.sleep(self.reading_s)
        return super().read(path)

    def life(self) -> str:
        """Identify the period in which unsynced writes survive, if that is known."""
        return super().life() if self._keeps_unsynced else ""

    def lock(self, folder: Path) -> None:
        """Count the openings."""
        super().lock(folder)
        self.openings += 1


class _ObservedController(Controller):
    """A controller that records the stored states that its replicas started from.

    :ivar started_from: the stored state of each replica; the first is that of the process start
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.started_from: list[StoredState] = []

    def _start_replica(self, stored: StoredState) -> None:
        self.started_from.append(stored)
        super()._start_replica(stored)


class RefusingDisks:
    """Controllers on refusing disks; coroutines run in the kernel of the test.

    :ivar acknowledged: numbers of the acknowledged changes
    :ivar statuses: exit statuses of the controllers that ended
    """

    def __init__(self, count: int, keeps_unsynced: bool = True) -> None:
        names = [f"c{number}" for number in range(1, count + 1)]
        self._links = {name: free_address() for name in names}
        self.disks = {name: RefusingDisk(keeps_unsynced) for name in names}
        self.controllers: dict[str, _ObservedController] = {}
        self.statuses: dict[str, int] = {}
        self.acknowledged: list[int] = []
        self.proposed = 0
        self._tasks: list[curio.Task] = []

    async def start(self) -> None:
        """Start all controllers, and return once one leads."""
        for name in self.disks:
            identity = ControllerIdentity(name, f"{name}-first")
            log = open_durable_log(FOLDER, identity, self.disks[name]).unwrap()
            secrets = Secrets({"cluster": "a key of the cluster"})
            self.controllers[name] = _ObservedController(
                self._settings(name), secrets, log, process_started_at=boot_seconds()
            )
            self._tasks.append(await curio.spawn(self._run, name, daemon=True))
        await self.until(lambda: self.leader() is not None, START_LIMIT_S)

    async def stop(self) -> None:
        """Stop all controllers."""
        for disk in self.disks.values():
            disk.not_hanging.set()
        for task in self._tasks:
            await task.cancel()

    async def until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Wait until a condition holds; tell whether it did in time."""
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                return False
            await curio.sleep(POLL_S)
        return True

    def replica(self, name: str) -> Replica | None:
        """Return the current replica of a controller."""
        return self.controllers[name]._replica

    def leader(self) -> str | None:
        """Return the name of the controller that leads."""
        for name in self.controllers:
            replica = self.replica(name)
            if replica is not None and replica.leads:
                return name
        return None

    def follower(self) -> str:
        """Return the name of a controller that does not lead."""
        return next(name for name in self.controllers if name != self.leader())

    def participates(self, name: str) -> bool:
        """Tell whether a controller follows or leads with a working log."""
        replica = self.replica(name)
        return (
            replica is not None
            and not replica.storage_failure
            and replica.agreement.role in PARTICIPATING_ROLES
            and replica.agreement.leader is not None
        )

    async def change(self, limit_s: float) -> bool:
        """Propose one change at the leader; tell whether it was acknowledged."""
        name = self.leader()
        if name is None:
            await curio.sleep(POLL_S)
            return False
        self.proposed += 1
        number = self.proposed
        answer = await curio.ignore_after(limit_s, self.propose, self.replica(name), number)
        if isinstance(answer, Ok):
            self.acknowledged.append(number)
        return isinstance(answer, Ok)

    async def propose(self, replica: Replica, number: int):
        """Propose a change at one replica."""
        return await replica.propose(RecordAnswer(change_name(number), "anna", ANSWER))

    def applied_changes(self, name: str) -> set[int]:
        """Return the numbers of the changes that a controller has applied, from its log."""
        replica = self.replica(name)
        log = replica.agreement._state.log
        applied = log.entries_between(log.base_index + 1, replica.state.applied_index)
        payloads = b"".join(entry.payload for entry in applied)
        return {n for n in range(1, self.proposed + 1) if change_name(n).encode() in payloads}

    async def _run(self, name: str) -> None:
        self.statuses[name] = await self.controllers[name].run()

    def _settings(self, name: str) -> ControllerSettings:
        peers = tuple(
            ControllerPeer(name=other, address=address)
            for other, address in self._links.items()
            if other != name
        )
        return ControllerSettings(
            name=name,
            zone="a",
            data_folder=FOLDER.parent,
            secrets_file=FOLDER.parent / "secrets.yaml",
            status_listen=free_address(),
            listen=self._links[name],
            advertise=self._links[name],
            peers=peers,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
        )


def change_name(number: int) -> str:
    """Return the request id of a change; no id is contained in another."""
    return f"change-{number:04d}."

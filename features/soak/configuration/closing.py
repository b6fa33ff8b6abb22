"""The end of a run: every process is killed, disks are lost, and all is started again."""

from __future__ import annotations

import time
from collections.abc import Collection, Mapping

import curio

from features.soak.checks import Violation
from features.soak.configuration.checks import SERVES_AGAIN, SURVIVES
from features.soak.configuration.deployment import TOLERATED_LOSSES, ConfigurationDeployment
from features.soak.configuration.disks import controller_name, read_disk
from features.soak.configuration.documents import COMMON_DATABASE
from features.soak.configuration.observers import OPENED, ControllerReader, open_session
from limedyke_lab.controller_disks import ControllerDisk, fatal_losses

POWER_OFF_S = 0.9
RECOVERY_S = 12.0
POLL_INTERVAL_S = 0.1


class PowerLoss:
    """A loss of power of all machines, some of which also lose their disks.

    :ivar violations: the promises that were broken
    """

    def __init__(self, deployment: ConfigurationDeployment) -> None:
        self._deployment = deployment
        self.violations: list[Violation] = []

    def read_disks(self) -> Mapping[str, ControllerDisk | None]:
        """Return what the disks of the present controllers hold, by machine."""
        deployment = self._deployment
        return {
            ip: read_disk(deployment.data_folder(ip), controller_name(ip))
            for ip in deployment.controllers
        }

    async def restart(self, losses: int = TOLERATED_LOSSES) -> None:
        """Lose disks and start everything after it was killed; expect the last change and service.

        :param losses: number of disks to lose; those whose loss hurts most are chosen
        """
        version = self._deployment.changes.acknowledged_version(time.monotonic())
        lost = self._choose_disks(version, losses)
        await curio.sleep(POWER_OFF_S)
        self._deployment.start_everything(lost)
        until = time.monotonic() + RECOVERY_S
        await self._expect_read_back(version, until, lost)
        await self._expect_service(until)

    def _choose_disks(self, version: int, losses: int) -> tuple[str, ...]:
        if not losses:
            return ()
        disks = self.read_disks()
        for lost, reason in fatal_losses(disks, losses, version):
            detail = f"version {version} without the disks of {', '.join(lost)}: {reason}"
            self.violations.append(Violation(SURVIVES, detail))
            return lost
        newest = sorted(disks, key=lambda ip: disks[ip].last_index if disks[ip] else 0)
        return tuple(newest[-losses:])

    async def _expect_read_back(self, version: int, until: float, lost: Collection[str]) -> None:
        while time.monotonic() < until:
            for ip in self._deployment.controllers:
                read = await ControllerReader(ip, self._deployment.changes).read()
                if read.body:
                    return
            await curio.sleep(POLL_INTERVAL_S)
        detail = f"{version} was confirmed, nothing is read back; lost: {', '.join(lost)}"
        self.violations.append(Violation(SURVIVES, detail))

    async def _expect_service(self, until: float) -> None:
        left = list(self._deployment.proxies)
        while left and time.monotonic() < until:
            left = [ip for ip in left if not await _serves(ip)]
            await curio.sleep(POLL_INTERVAL_S)
        self.violations += [
            Violation(SERVES_AGAIN, f"{ip} opens no session in {RECOVERY_S} s") for ip in left
        ]


async def _serves(ip: str) -> bool:
    return (await open_session(ip, COMMON_DATABASE)).startswith(OPENED)

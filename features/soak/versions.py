"""Replaces the processes of one version by those of another, machine by machine, under load.

``python -m features.soak.versions REFERENCE`` takes the other version from a git reference of this
repository.  Its processes found the system; machines move to the version of the working tree one
after the other, and back again on the same data folders.  Whenever one, two or all controllers are
of the new version, each controller is killed once, so that the leader is killed in each mix.
Clients go on all the time; what they saw is judged as in the soak.
"""

from __future__ import annotations

import io
import shutil
import signal
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import curio
import fire

from features.soak.checks import Violation, check, check_stops
from features.soak.fault_injection import SoakDeployment
from features.soak.load import TENANTS, SoakClient
from features.soak.run import RECOVERY_S, SETTLE_S, START_LIMIT_S, Operator, SoakShape
from features.support.line_platform.deployment import CONTROLLERS
from features.support.platform_path import PLATFORM_FOLDER
from features.support.run_features import fleet_turn

ROOT = PLATFORM_FOLDER.parent
CLIENTS = 8
PROXY_COUNT = 6
"""Three of them are home proxies; the others forward what clients ask of them."""
SEED = 1
CHANGES_AT_FIRST = 100
"""Changes of the configuration that the processes that found the system record."""
KILL_PAUSE_S = 3.0
"""Between two kills: a new leader serves, and the killed process has started again."""
STOP_LIMIT_S = 8.0


class MixedDeployment(SoakDeployment):
    """Each machine runs the programs of one of two versions.

    :param other: folder of the other version's source
    """

    def __init__(self, folder: Path, other: Path, proxies: tuple[str, ...]) -> None:
        super().__init__(folder, proxies)
        self._other = other
        self.on_other = {*CONTROLLERS, *proxies}

    def platform_folder(self, ip: str) -> Path:
        """Return the folder of the programs that a machine runs."""
        return (self._other if ip in self.on_other else ROOT) / PLATFORM_FOLDER.name

    def start_process(
        self, ip: str, program: str, bootstrap: bool = False, written: str | None = None
    ) -> None:
        """Start one process, and say in its log which version it is of."""
        with open(self._folder / f"{ip}.log", "a") as log:
            log.write(f"--- starts {self.platform_folder(ip)}\n")
        super().start_process(ip, program, bootstrap)


class Replacement:
    """Moves machines between the versions, and kills controllers in each mix.

    :ivar steps: what was done, for the report
    """

    def __init__(self, deployment: MixedDeployment) -> None:
        self._deployment = deployment
        self.steps: list[str] = []

    async def run(self) -> None:
        """Move all machines to the new version and back."""
        for to_other in (False, True):
            for ip in _in_turn(self._deployment.proxies):
                await self._move(ip, to_other)
                if ip in CONTROLLERS:
                    await self._kill_each_controller()

    async def _move(self, ip: str, to_other: bool) -> None:
        """Stop a machine's process; its successor is of the version given."""
        deployment = self._deployment
        process = deployment.process(ip)
        change = deployment.on_other.add if to_other else deployment.on_other.discard
        change(ip)
        deployment.signal(ip, signal.SIGTERM)
        await _wait_for_successor(deployment, ip, process)
        self._note(f"{ip} moved")
        await curio.sleep(KILL_PAUSE_S)

    async def _kill_each_controller(self) -> None:
        deployment = self._deployment
        for ip in CONTROLLERS:
            process = deployment.process(ip)
            deployment.signal(ip, signal.SIGKILL)
            await _wait_for_successor(deployment, ip, process)
            await curio.sleep(KILL_PAUSE_S)
        self._note("each controller killed once")

    def _note(self, what: str) -> None:
        on_other = self._deployment.on_other
        controllers = sum(ip in on_other for ip in CONTROLLERS)
        proxies = len(on_other) - controllers
        self.steps.append(f"{what}; other version: {controllers} controllers, {proxies} proxies")


def _in_turn(proxies: tuple[str, ...]) -> Iterator[str]:
    """Return the machines in the order in which they are moved: each mix has both kinds mixed."""
    each = len(proxies) // len(CONTROLLERS)
    for number, controller in enumerate(CONTROLLERS):
        yield controller
        yield from proxies[number * each : (number + 1) * each]


async def _wait_for_successor(
    deployment: SoakDeployment, ip: str, process: subprocess.Popen
) -> None:
    end = time.monotonic() + STOP_LIMIT_S
    while deployment.process(ip) is process:
        if time.monotonic() > end:
            raise AssertionError(f"{ip} was not started again in {STOP_LIMIT_S} s")
        await curio.sleep(0.05)


async def _play(folder: Path, other: Path) -> tuple[list[Violation], list[str]]:
    deployment = MixedDeployment(folder, other, SoakShape(proxies=PROXY_COUNT).machines())
    deployment.tenants = [tenant.document() for tenant in TENANTS]
    clients = [
        SoakClient(f"c{number}", deployment.proxies, SEED, TENANTS[number % len(TENANTS)])
        for number in range(CLIENTS)
    ]
    operator = Operator(deployment)
    replacement = Replacement(deployment)
    try:
        await deployment.start()
        for _ in range(CHANGES_AT_FIRST):
            await operator.change()
        await deployment.wait_until(
            lambda: _all_ready(deployment), START_LIMIT_S, "all proxies ready"
        )
        tasks = [await curio.spawn(client.run) for client in clients]
        tasks.append(await curio.spawn(operator.run))
        await replacement.run()
        await curio.sleep(RECOVERY_S)
        healed_at = time.monotonic()
        await curio.sleep(SETTLE_S)
        for task in tasks:
            await task.cancel()
        await operator.change()
    finally:
        await deployment.stop()
    records = [client.record for client in clients]
    violations = check(records, deployment.group, healed_at)
    violations += check_stops(records, deployment.group, deployment.lives)
    violations += [
        Violation("a change is acknowledged", f"version {version}")
        for version in operator.unacknowledged
    ]
    served = sum(len(record.served) for record in records)
    unanswered = sum(not ask.is_answered for record in records for ask in record.asks)
    summary = (
        f"served={served} unanswered={unanswered} changes={deployment.version} "
        f"violations={len(violations)}"
    )
    return violations, [*replacement.steps, summary]


async def _all_ready(deployment: SoakDeployment) -> bool:
    return all([await deployment.is_ready(ip) for ip in deployment.proxies])


def extract(reference: str, folder: Path) -> None:
    """Write the source of a git reference into a folder."""
    archive = subprocess.run(
        ["git", "archive", reference], cwd=ROOT, capture_output=True, check=True
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder)


def main(reference: str) -> None:
    """Play one replacement; exit with 1 when a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix="limedyke-versions-"))
    other = folder / "other"
    other.mkdir()
    extract(str(reference), other)
    with fleet_turn():
        violations, lines = curio.run(_play, folder, other)
    print("\n".join([*lines, *map(str, violations)]), flush=True)
    if violations:
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(int(bool(violations)))


if __name__ == "__main__":
    fire.Fire(main)

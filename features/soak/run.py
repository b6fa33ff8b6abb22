"""Runs the soak: ``python -m features.soak.run SEEDS [SECONDS]``; ``--help`` lists the options.

Seeds are such as ``1-5``; the shape is ``faults``, ``stops`` for planned work in series that
overlap, or ``both``; with ``--waves`` further clients come at once, with ``--empties`` most members
that crash start again empty.  Each seed prints one line; one that breaks a promise prints what was
done, what is broken and the folder of its logs, and the exit status is 1.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import curio
import fire

from features.soak.checks import Violation, check, check_load, check_stops
from features.soak.fault_injection import SoakDeployment, Striker, Worker
from features.soak.load import (
    BATCH_DATABASE,
    BATCH_PRIORITY,
    DATABASE,
    MODEST,
    MODEST_PAUSE_S,
    TENANTS,
    SoakClient,
)
from features.soak.plan import Fault, draw_plan
from features.soak.stops import Series, draw_answer_time_s, draw_series
from features.soak.waves import ANSWER_S, Wave, WaveLoad, draw_waves
from features.support.line_platform.deployment import CONTROLLERS, PROXIES, ZONES

DEFAULT_SECONDS = 15.0
CLIENTS = 8
START_LIMIT_S = 15.0
START_EACH_S = 0.3
"""Processes that start together share the machine's processors: 0.3 s of one for each."""
FIRST_FURTHER = 10
RECOVERY_S = 10.0
SETTLE_S = 3.0
CHANGE_INTERVAL_S = 2.5
CHANGE_LIMIT_S = 12.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SoakShape:
    """What is played.

    :param has_faults: faults strike
    :param has_stops: processes are stopped, and told of changed settings, in series that overlap
    :param has_empties: most members that crash start again without their logs
    :param has_waves: further clients come at once, beside a tenant that asks for little
    """

    has_faults: bool = True
    has_stops: bool = False
    proxies: int = len(PROXIES)
    clients: int = CLIENTS
    has_empties: bool = False
    has_waves: bool = False

    def machines(self) -> tuple[str, ...]:
        """Return the addresses of the proxies' machines, spread over the zones."""
        zones = list(ZONES)
        further = [
            f"{zones[number % len(zones)]}.{FIRST_FURTHER + number // len(zones)}"
            for number in range(max(0, self.proxies - len(PROXIES)))
        ]
        return (*PROXIES[: self.proxies], *further)


FAULTS = SoakShape()


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What one seed gave."""

    seed: int
    plan: tuple[Fault | Series | Wave, ...]
    violations: tuple[Violation, ...]
    served: int
    writes: int
    promotions: int
    folder: Path


class Operator:
    """Sends configurations, each until it is acknowledged."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self._deployment = deployment
        self.unacknowledged: list[int] = []

    async def change(self) -> None:
        """Send the next version to one controller after the other until one takes it."""
        deployment = self._deployment
        deployment.version += 1
        version = deployment.version
        databases = (DATABASE, BATCH_DATABASE, f"extra{version}")
        end = time.monotonic() + CHANGE_LIMIT_S
        while time.monotonic() < end:
            for ip in CONTROLLERS:
                if await deployment.send_configuration(version, databases, ip) == HTTP_OK:
                    return
            await curio.sleep(0.1)
        self.unacknowledged.append(version)

    async def run(self) -> None:
        """Change the configuration again and again until cancelled."""
        while True:
            await curio.sleep(CHANGE_INTERVAL_S)
            await self.change()


async def _play(seed: int, seconds: float, shape: SoakShape, folder: Path) -> SoakResult:
    deployment = SoakDeployment(folder, shape.machines())
    tenants = (*TENANTS, MODEST) if shape.has_waves else TENANTS
    deployment.tenants = [tenant.document() for tenant in tenants]
    deployment.priorities = {BATCH_DATABASE: BATCH_PRIORITY}
    clients = [
        SoakClient(f"c{number}", deployment.proxies, seed, TENANTS[number % len(TENANTS)])
        for number in range(shape.clients)
    ]
    if shape.has_waves:
        clients.append(
            SoakClient("modest", deployment.proxies, seed, MODEST, pause_s=MODEST_PAUSE_S)
        )
    waves = draw_waves(seed, seconds) if shape.has_waves else ()
    wave_load = WaveLoad(deployment.proxies, seed)
    faults = draw_plan(seed, seconds) if shape.has_faults else ()
    series = draw_series(seed, seconds) if shape.has_stops else ()
    if shape.has_stops:
        deployment.let_members_work(draw_answer_time_s(seed))
    elif shape.has_waves:
        deployment.let_members_work(ANSWER_S)
    operator = Operator(deployment)
    try:
        await deployment.start()
        await operator.change()
        await deployment.wait_until(
            lambda: _all_ready(deployment),
            START_LIMIT_S + shape.proxies * START_EACH_S,
            "all proxies ready",
        )
        tasks = [await curio.spawn(client.run) for client in clients]
        tasks.append(await curio.spawn(operator.run))
        async with curio.TaskGroup() as work:
            striker = Striker(deployment, seed, shape.has_empties)
            await work.spawn(striker.run, faults)
            await work.spawn(Worker(deployment).run, series)
            await work.spawn(wave_load.run, waves)
        await curio.sleep(RECOVERY_S)
        healed_at = time.monotonic()
        await curio.sleep(SETTLE_S)
        for task in tasks:
            await task.cancel()
        await operator.change()
    finally:
        await deployment.stop()
    records = [client.record for client in clients]
    all_records = [*records, *wave_load.records]
    violations = check(all_records, deployment.group, healed_at, may_end_early=wave_load.records)
    violations += check_stops(all_records, deployment.group, deployment.lives)
    violations += check_load(all_records)
    violations += [
        Violation("a change is acknowledged", f"version {version}")
        for version in operator.unacknowledged
    ]
    return SoakResult(
        seed,
        (*faults, *series, *waves),
        tuple(violations),
        sum(len(record.served) for record in all_records),
        sum(len(record.writes) for record in all_records),
        len(deployment.promotions),
        folder,
    )


async def _all_ready(deployment: SoakDeployment) -> bool:
    return all([await deployment.is_ready(ip) for ip in deployment.proxies])


def run_soak(seed: int, seconds: float, shape: SoakShape = FAULTS) -> SoakResult:
    """Play one seed; its folder of logs stays only when a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"limedyke-soak-{seed}-"))
    result = curio.run(_play, seed, seconds, shape, folder)
    if not result.violations:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def report(result: SoakResult) -> str:
    """Return what a seed gave, as text."""
    head = (
        f"seed={result.seed} faults={len(result.plan)} served={result.served} "
        f"writes={result.writes} promotions={result.promotions} "
        f"violations={len(result.violations)}"
    )
    if not result.violations:
        return head
    lines = [head, f"  faults: {' '.join(map(str, result.plan))}", f"  logs: {result.folder}"]
    return "\n".join([*lines, *(f"  {violation}" for violation in result.violations)])


def main(
    seeds: str = "1",
    seconds: float = DEFAULT_SECONDS,
    shape: str = "faults",
    proxies: int = len(PROXIES),
    clients: int = CLIENTS,
    empties: bool = False,
    waves: bool = False,
) -> None:
    """Play seeds; exit with 1 when a promise was broken."""
    first, _, last = str(seeds).partition("-")
    played = SoakShape(shape != "stops", shape != "faults", proxies, clients, empties, waves)
    is_broken = False
    for seed in range(int(first), int(last or first) + 1):
        result = run_soak(seed, seconds, played)
        print(report(result), flush=True)
        is_broken = is_broken or bool(result.violations)
    sys.exit(int(is_broken))


if __name__ == "__main__":
    fire.Fire(main)

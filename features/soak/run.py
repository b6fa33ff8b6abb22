"""Runs the soak: ``python -m features.soak.run SEEDS [SECONDS]``; ``--help`` lists the options.

SEEDS is one seed or a range such as ``1-5``.  The shape is ``faults``, ``stops`` (overlapping
series of planned maintenance), ``both`` or ``none``.  ``--waves`` adds bursts of clients; with
``--empties`` most members that crash restart with empty logs; with ``--synchronous`` commits wait
for a replica, and replicas receive nothing at times; with ``--late`` announcements and promotion
calls are late while primaries change, and all reads want the primary.  Each seed prints one line.
A seed that breaks a promise also prints its schedule, the broken promises and the folder of its
logs, and the exit status is 1.
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

from features.soak.checks import (
    Violation,
    check,
    check_load,
    check_stops,
    check_synchronous,
)
from features.soak.fault_injection import FaultInjector, MaintenanceRunner, SoakDeployment
from features.soak.load import (
    BATCH_DATABASE,
    BATCH_PRIORITY,
    DATABASE,
    MODEST,
    MODEST_PAUSE_S,
    TENANTS,
    SoakClient,
)
from features.soak.plan import Fault, draw_deafness, draw_lateness, draw_plan
from features.soak.stops import Series, draw_answer_time_s, draw_series
from features.soak.waves import ANSWER_TIME_S, Wave, WaveLoad, draw_waves
from features.support.line_platform.deployment import CONTROLLERS, PROXIES, ZONES

DEFAULT_SECONDS = 15.0
CLIENTS = 8
START_TIMEOUT_S = 15.0
START_PER_PROXY_S = 0.3
"""Start time allowed for each proxy, as processes that start together share the processors."""
FIRST_EXTRA_HOST = 10
RECOVERY_S = 10.0
SETTLE_S = 3.0
CHANGE_INTERVAL_S = 2.5
CHANGE_TIMEOUT_S = 12.0
HTTP_OK = 200
LATE_PROMOTE_S = 0.6
LATE_LAG_S = 3.0
"""Longer than it takes to replace a silent primary, so that a read at its successor shows whether
that had begun to lead."""


@dataclass(frozen=True, slots=True)
class SoakShape:
    """Load, faults and planned work of a run.

    :param has_faults: faults are injected
    :param has_stops: processes are stopped and told to reload their settings, in overlapping series
    :param has_empty_restarts: most members that crash restart without their logs
    :param has_waves: bursts of clients run beside the modest tenant
    :param is_synchronous: commits wait for a replica, and replicas receive nothing at times
    :param has_lateness: announcements and promotion calls are late; reads want the primary
    """

    has_faults: bool = True
    has_stops: bool = False
    proxies: int = len(PROXIES)
    clients: int = CLIENTS
    has_empty_restarts: bool = False
    has_waves: bool = False
    is_synchronous: bool = False
    has_lateness: bool = False

    def machines(self) -> tuple[str, ...]:
        """Return the addresses of the proxies' machines; those added are spread over the zones."""
        zones = list(ZONES)
        extra = [
            f"{zones[number % len(zones)]}.{FIRST_EXTRA_HOST + number // len(zones)}"
            for number in range(max(0, self.proxies - len(PROXIES)))
        ]
        return (*PROXIES[: self.proxies], *extra)


FAULTS_ONLY = SoakShape()


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed."""

    seed: int
    plan: tuple[Fault | Series | Wave, ...]
    violations: tuple[Violation, ...]
    served: int
    writes: int
    promotions: int
    folder: Path


class Operator:
    """Sends new configurations, each until a controller acknowledges it."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self._deployment = deployment
        self.unacknowledged: list[int] = []

    async def change(self) -> None:
        """Send the next version to the controllers in turn until one takes it, or time out."""
        deployment = self._deployment
        deployment.version += 1
        version = deployment.version
        databases = (DATABASE, BATCH_DATABASE, f"extra{version}")
        end = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < end:
            for ip in CONTROLLERS:
                if await deployment.send_configuration(version, databases, ip) == HTTP_OK:
                    return
            await curio.sleep(0.1)
        self.unacknowledged.append(version)

    async def run(self) -> None:
        """Change the configuration at a fixed interval until cancelled."""
        while True:
            await curio.sleep(CHANGE_INTERVAL_S)
            await self.change()


async def _run_seed(seed: int, seconds: float, shape: SoakShape, folder: Path) -> SoakResult:
    synchronous_replicas = int(shape.is_synchronous)
    deployment = SoakDeployment(folder, shape.machines(), synchronous_replicas)
    tenants = (*TENANTS, MODEST) if shape.has_waves else TENANTS
    deployment.tenants = [tenant.to_document() for tenant in tenants]
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
    deafness = draw_deafness(seed, seconds) if shape.is_synchronous else ()
    lateness = draw_lateness(seed, seconds) if shape.has_lateness else ()
    series = draw_series(seed, seconds) if shape.has_stops else ()
    if shape.has_stops:
        deployment.set_answer_time(draw_answer_time_s(seed))
    elif shape.has_waves:
        deployment.set_answer_time(ANSWER_TIME_S)
    if shape.has_lateness:
        deployment.route_type = "primary"
        deployment.group.lag_s = LATE_LAG_S
        deployment.authority.promote_s = LATE_PROMOTE_S
        for client in clients:
            client.record.staleness_s = 0.0
    operator = Operator(deployment)
    try:
        await deployment.start()
        await operator.change()
        await deployment.wait_until(
            lambda: _all_ready(deployment),
            START_TIMEOUT_S + shape.proxies * START_PER_PROXY_S,
            "all proxies ready",
        )
        tasks = [await curio.spawn(client.run) for client in clients]
        tasks.append(await curio.spawn(operator.run))
        async with curio.TaskGroup() as work:
            injector = FaultInjector(deployment, seed, shape.has_empty_restarts)
            await work.spawn(injector.run, faults)
            await work.spawn(injector.run, deafness)
            await work.spawn(injector.run, lateness)
            await work.spawn(MaintenanceRunner(deployment).run, series)
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
    violations = check(all_records, deployment.group, healed_at, short_lived=wave_load.records)
    violations += check_stops(all_records, deployment.group, deployment.history)
    violations += check_load(all_records)
    violations += check_synchronous(all_records, deployment.group)
    violations += [
        Violation("a change is acknowledged", f"version {version}")
        for version in operator.unacknowledged
    ]
    return SoakResult(
        seed,
        (*faults, *deafness, *lateness, *series, *waves),
        tuple(violations),
        sum(len(record.served) for record in all_records),
        sum(len(record.writes) for record in all_records),
        len(deployment.authority.promotions),
        folder,
    )


async def _all_ready(deployment: SoakDeployment) -> bool:
    return all([await deployment.is_ready(ip) for ip in deployment.proxies])


def run_soak(seed: int, seconds: float, shape: SoakShape = FAULTS_ONLY) -> SoakResult:
    """Run one seed; keep its folder of logs only when a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"limedyke-soak-{seed}-"))
    result = curio.run(_run_seed, seed, seconds, shape, folder)
    if not result.violations:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def report(result: SoakResult) -> str:
    """Format the result of a seed."""
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
    synchronous: bool = False,
    late: bool = False,
) -> None:
    """Run the soak for SEEDS; exit with 1 when a promise was broken."""
    first, _, last = str(seeds).partition("-")
    soak_shape = SoakShape(
        shape in ("faults", "both"),
        shape in ("stops", "both"),
        proxies,
        clients,
        empties,
        waves,
        synchronous,
        late,
    )
    has_violations = False
    for seed in range(int(first), int(last or first) + 1):
        result = run_soak(seed, seconds, soak_shape)
        print(report(result), flush=True)
        has_violations = has_violations or bool(result.violations)
    sys.exit(int(has_violations))


if __name__ == "__main__":
    fire.Fire(main)

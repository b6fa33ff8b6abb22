"""Runs the configuration soak: ``python -m features.soak.configuration.run SEEDS [SECONDS]``.

SEEDS is one seed or a range such as ``1-5``.  Operators at several controllers send changes, also
invalid, repeated and conflicting ones, while processes are killed, paused and stopped and disks are
lost; at the end every process is killed right after a change, and disks are lost.  With
``--spares_proxies`` controllers alone are lost until then, no more at once than are borne.  Each
seed prints one line.  A seed that breaks a promise also prints its plan, the broken promises and
the folder of its logs, and the exit status is 1.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import curio
import fire

from features.soak.checks import Violation
from features.soak.configuration.checks import check
from features.soak.configuration.closing import PowerLoss
from features.soak.configuration.deployment import (
    FIVE_CONTROLLERS,
    TOLERATED_LOSSES,
    ConfigurationDeployment,
)
from features.soak.configuration.faults import ConfigurationFaults
from features.soak.configuration.observers import ControllerReader, ProxyProber
from features.soak.configuration.operators import Operators
from features.soak.configuration.plan import Closing, Plan, draw_plan
from features.soak.configuration.sessions import OpenSession

DEFAULT_SECONDS = 15.0
START_TIMEOUT_S = 40.0
"""Seconds until the first change is confirmed, as machines start up to 12 s late."""
PROXIES = 4
OPERATORS = 3
OPEN_SESSIONS = 3
"""Sessions that are kept open at each proxy."""
CALM_S = 10.0
"""Seconds without a fault in which every proxy in touch must apply each change in time."""
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed.

    :param faults: number of faults that were brought about
    :param probes: answers of proxies, those to reads in open sessions among them
    """

    seed: int
    plan: Plan
    faults: int
    violations: tuple[Violation, ...]
    confirmed: int
    reads: int
    probes: int
    session_reads: int
    folder: Path


class ConfigurationSoak:
    """One run of a plan."""

    def __init__(self, seed: int, plan: Plan, proxies: int, folder: Path) -> None:
        self._plan = plan
        self._seed = seed
        self._folder = folder
        self._deployment = ConfigurationDeployment(
            folder,
            proxies,
            {FIVE_CONTROLLERS[number]: s for number, s in plan.late_s.items()},
            {FIVE_CONTROLLERS[number]: s for number, s in plan.paused_s.items()},
        )
        self._history = self._deployment.changes
        self._operators = Operators(lambda: self._deployment.controllers, self._history, seed)
        self._power_loss = PowerLoss(self._deployment)
        self._tasks: list[curio.Task] = []

    async def run(self) -> SoakResult:
        """Play the plan and return what was broken."""
        faults = ConfigurationFaults(self._deployment, self._operators)
        try:
            await self._deployment.start()
            await self._start_observers()
            await self._operators.change(START_TIMEOUT_S)
            if not self._plan.closes_early:
                await self._play(faults)
            await self._close()
        finally:
            for task in self._tasks:
                await task.cancel()
            await self._deployment.stop()
        return self._result(len(faults.injected))

    async def _play(self, faults: ConfigurationFaults) -> None:
        """Inject the faults of the plan while operators send changes, and some calm after them."""
        operators = [await curio.spawn(self._operators.run) for _ in range(OPERATORS)]
        await faults.run(self._plan.faults)
        await curio.sleep(CALM_S)
        for task in operators:
            await task.cancel()

    async def _start_observers(self) -> None:
        deployment, history = self._deployment, self._history
        self._tasks.append(await curio.spawn(self._read_controllers))
        for ip in deployment.proxies:
            prober = ProxyProber(
                ip, history, lambda ip=ip: deployment.process_number(ip), self._seed
            )
            self._tasks.append(await curio.spawn(prober.run))
            for number in range(OPEN_SESSIONS):
                session = OpenSession(
                    ip, history, lambda ip=ip: deployment.process_number(ip), number, self._seed
                )
                self._tasks.append(await curio.spawn(session.run))

    async def _read_controllers(self) -> None:
        """Read from every controller that runs, also from those that come later."""
        readers: dict[str, curio.Task] = {}
        try:
            while True:
                for ip in self._deployment.running_controllers():
                    if ip not in readers:
                        reader = ControllerReader(ip, self._history)
                        readers[ip] = await curio.spawn(reader.run)
                await curio.sleep(POLL_INTERVAL_S)
        finally:
            for task in readers.values():
                await task.cancel()

    async def _close(self) -> None:
        """Kill everything right after a change was sent, and see whether all comes back."""
        change = await curio.spawn(self._operators.change)
        await curio.sleep(self._plan.closing_delay_s)
        await self._deployment.kill_everything()
        await change.cancel()
        losses = TOLERATED_LOSSES if self._plan.closing is Closing.LOSE_DISKS else 0
        await self._power_loss.restart(losses)

    def _result(self, faults: int) -> SoakResult:
        history = self._history
        violations = [
            *self._power_loss.violations,
            *check(history, self._deployment.controllers),
        ]
        confirmed = {s.content.marker for s in history.sendings if s.is_acknowledged}
        return SoakResult(
            self._seed,
            self._plan,
            faults,
            tuple(violations),
            len(confirmed),
            sum(bool(read.body) for read in history.reads),
            len(history.probes),
            sum(probe.in_open_session for probe in history.probes),
            self._folder,
        )


def run_soak(
    seed: int,
    seconds: float = DEFAULT_SECONDS,
    proxies: int = PROXIES,
    spares_proxies: bool = False,
) -> SoakResult:
    """Run one seed; keep its folder of logs only when a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"limedyke-configuration-{seed}-"))
    plan = draw_plan(seed, seconds, len(FIVE_CONTROLLERS), spares_proxies)
    result = curio.run(ConfigurationSoak(seed, plan, proxies, folder).run)
    if not result.violations:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def report(result: SoakResult) -> str:
    """Format the result of a seed."""
    head = (
        f"seed={result.seed} faults={result.faults} confirmed={result.confirmed} "
        f"reads={result.reads} probes={result.probes} session_reads={result.session_reads} "
        f"violations={len(result.violations)}"
    )
    if not result.violations:
        return head
    lines = [head, f"  plan: {result.plan}", f"  logs: {result.folder}"]
    return "\n".join([*lines, *(f"  {violation}" for violation in result.violations)])


def main(
    seeds: str = "1",
    seconds: float = DEFAULT_SECONDS,
    proxies: int = PROXIES,
    spares_proxies: bool = False,
) -> None:
    """Run the soak for SEEDS; exit with 1 when a promise was broken."""
    first, _, last = str(seeds).partition("-")
    has_violations = False
    for seed in range(int(first), int(last or first) + 1):
        result = run_soak(seed, seconds, proxies, spares_proxies)
        print(report(result), flush=True)
        has_violations = has_violations or bool(result.violations)
    sys.exit(int(has_violations))


if __name__ == "__main__":
    fire.Fire(main)

"""One run: set up the world of a seed, inject faults, let it settle, check the history."""

from __future__ import annotations

import contextlib
import gc
import hashlib
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import logbook

from limedyke.controller import snapshot_schedule
from limedyke.proxy.control import store as control_store
from limedyke_lab.simulator.checkers import RunRecord, Violation, check_all
from limedyke_lab.simulator.clients.operators import Operator, set_leaving
from limedyke_lab.simulator.coverage import count
from limedyke_lab.simulator.fault_injector import FaultInjector
from limedyke_lab.simulator.faults import FIRST_AT_S, Fault, Targets, draw_faults
from limedyke_lab.simulator.instruments import instruments
from limedyke_lab.simulator.layout import BUDGETS, CONNECTION_LIMIT, OPERATORS, tenant_name
from limedyke_lab.simulator.machine.curio_process import CurioProcess, SpinningError
from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.members.member_log import Record
from limedyke_lab.simulator.world import World

DEFAULT_FAULTS_S = 14.0
"""Length of the fault phase, in virtual seconds."""
RECOVERY_S = 8.0
CALM_S = 6.0
DRAIN_AFTER_S = 1.0
CLOSING_S = 1.0

Replacement = tuple[object, str, object]

COMPACTION_THRESHOLDS: tuple[Replacement, ...] = (
    (snapshot_schedule, "SNAPSHOT_AFTER_ENTRIES", 12),
    (control_store, "REWRITE_AFTER_UPDATES", 8),
)
"""Log compaction thresholds, small enough to be reached in a short run."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of a run.

    :param faults_s: length of the fault phase, in virtual seconds
    :param only_faults: numbers of the faults to inject; None for all that the seed draws
    :param script: faults to inject instead of those that the seed draws
    """

    seed: int
    faults_s: float = DEFAULT_FAULTS_S
    only_faults: tuple[int, ...] | None = None
    script: tuple[Fault, ...] | None = None


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of a run.

    :param trace: the faults and the whole history as lines of text
    :param exercised: how often each kind of fault and each path of the product occurred
    """

    seed: int
    events: int
    faults: tuple[Fault, ...]
    violations: tuple[Violation, ...]
    trace: tuple[str, ...]
    exercised: Counter[str]

    @property
    def digest(self) -> str:
        """A digest of the trace; equal for equal runs."""
        return hashlib.sha256("\n".join(self.trace).encode()).hexdigest()


def run_seed(options: RunOptions, mutations: Sequence[Replacement] = ()) -> RunResult:
    """Run a seed and check its history.

    :param mutations: replacements of product code, used by mutation tests
    """
    with (
        logbook.NullHandler().applicationbound(),
        garbage_collection_disabled(),
        tempfile.TemporaryDirectory() as folder,
    ):
        return _run_in(Path(folder), options, mutations)


def _run_in(folder: Path, options: RunOptions, mutations: Sequence[Replacement]) -> RunResult:
    """Run a seed with the simulated environment installed, and restore the real one."""
    environment = Environment(options.seed)
    with contextlib.ExitStack() as stack:
        for target, name, value in (*COMPACTION_THRESHOLDS, *mutations):
            stack.enter_context(mock.patch.object(target, name, value))
        stack.enter_context(environment.installed())
        run = _Run(options, environment, folder)
        for target, name, value in instruments(run.world.history, environment):
            stack.enter_context(mock.patch.object(target, name, value))
        return run.finish()


@contextlib.contextmanager
def garbage_collection_disabled() -> Iterator[None]:
    """Disable garbage collection during a run, and collect the run's objects after it.

    A collection would finalise the coroutines of crashed processes at a time that does not
    depend on the seed.  Errors raised by this finalisation are meaningless and are hidden.
    """
    hook = sys.unraisablehook
    gc.disable()
    try:
        yield
    finally:
        sys.unraisablehook = lambda unraisable: None
        CurioProcess.discard_kernels()
        gc.enable()
        gc.collect()
        sys.unraisablehook = hook


class _Run:
    def __init__(self, options: RunOptions, environment: Environment, folder: Path) -> None:
        self._options = options
        self._environment = environment
        self.world = World(options.seed, environment, folder)
        self._healed_at = FIRST_AT_S + options.faults_s
        self._faults = self._choose_faults()

    def _choose_faults(self) -> tuple[Fault, ...]:
        options = self._options
        if options.script is not None:
            return options.script
        layout = self.world.layout
        targets = Targets(
            proxies=tuple(place.name for place in layout.proxies),
            controllers=tuple(place.name for place in layout.controllers),
            members=tuple(place.name for place in layout.all_members),
        )
        drawn = draw_faults(options.seed, targets, self._healed_at)
        wanted = options.only_faults
        return tuple(fault for fault in drawn if wanted is None or fault.number in wanted)

    def finish(self) -> RunResult:
        """Run to the end and check the history."""
        world = self.world
        try:
            self._run()
        except SpinningError as error:
            world.history.add("process-failed", process=str(error), detail="spins")
        self._record_final_processes()
        violations = tuple(check_all(self._record()))
        lines = [fault.line() for fault in self._faults] + world.history.lines()
        return RunResult(
            seed=self._options.seed,
            events=world.kernel.events,
            faults=self._faults,
            violations=violations,
            trace=tuple(lines),
            exercised=count(world.history),
        )

    def _run(self) -> None:
        world = self.world
        world.boot()
        FaultInjector(world, self._faults, self._healed_at)
        calm_at = self._healed_at + RECOVERY_S
        world.kernel.run_until(calm_at)
        world.history.add("calm")
        self._leave_without_faults()
        world.kernel.run_until(calm_at + DRAIN_AFTER_S)
        self._drain_without_faults()
        world.kernel.run_until(calm_at + CALM_S)
        world.history.add("closing")
        for caller in world.callers:
            caller.stopped = True
        world.kernel.run_until(calm_at + CALM_S + CLOSING_S)

    def _leave_without_faults(self) -> None:
        """Declare the first group's primary leaving, and record when this is confirmed."""
        world = self.world
        member = world.primary_of(world.layout.all_members[0].name)

        async def leave(operator: Operator) -> None:
            answer = await operator.change_until_in_force(set_leaving(member, True))
            if answer is None:
                world.history.add("calm-operator")
            else:
                world.history.add("calm-leave", member=member, revision=answer.revision)

        world.run_as_operator(OPERATORS[0], leave)

    def _drain_without_faults(self) -> None:
        proxies = list(self.world.proxies.values())
        proxy = proxies[self._options.seed % len(proxies)]
        if proxy.process.running:
            proxy.drain()

    def _record_final_processes(self) -> None:
        history = self.world.history
        for name, text in self._environment.crashes:
            history.add("process-failed", process=name, detail=text.strip().splitlines()[-1])
        for name, process in self.world.processes.items():
            if name in self.world.proxies and process.running:
                history.add("proxy-at-end", proxy=name)

    def _record(self) -> RunRecord:
        world = self.world
        digests: dict[int, str] = {}
        for event in world.history.of("revision-applied"):
            digests.setdefault(event.revision, event.digest)
        groups = world.layout.members
        return RunRecord(
            history=world.history,
            final_logs={group: self._final_log(group) for group in groups},
            digests=digests,
            connection_limits=dict.fromkeys(groups, CONNECTION_LIMIT),
            budgets={
                (group, tenant_name(number)): budget
                for group in groups
                for number, budget in enumerate(BUDGETS)
            },
            healed_at=self._healed_at,
            end=world.kernel.now,
        )

    def _final_log(self, group: str) -> tuple[Record, ...]:
        """Return the log of the group's most advanced member, which a promotion would choose."""
        members = [m for m in self.world.members.values() if m.group == group]
        best = max(members, key=lambda m: (m.disk.last_term, m.disk.end))
        return tuple(best.disk.records)

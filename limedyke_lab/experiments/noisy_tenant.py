"""Experiment ``noisy-tenant``: effect of one tenant's flood on another tenant's latency.

Rounds alternate between the steady tenant alone and beside each flood, so that changes in the
machine's own load affect all variants alike.
"""

from __future__ import annotations

import time
from collections import defaultdict

from limedyke_lab.checkers.report import check_all
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.settings_file import NoisyTenantSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.history import ClientOutcome, History, Kind, Operation
from limedyke_lab.load.profiles import PROFILES
from limedyke_lab.load.runner import LoadRun, create_tables
from limedyke_lab.load.settings import Mix, SessionProfile

NAME = "noisy-tenant"
STEADY = {"ostmark": "editor", "cold-chain": "dispatcher"}
FLOODING = {"ostmark": "listener", "cold-chain": "viewer"}
STEADY_MIX = Mix(read=80, write=20)
FLOOD_MIXES = {"flood of reads": Mix(read=100), "flood with writes": Mix(read=80, write=20)}
ALONE = "alone"
STEADY_THINK_MS = 40.0
LEAD_S = 2.0
"""A flood starts this long before the measured load and ends as long after it."""


class _Run:
    """Runs the experiment on one fleet.

    :ivar operations: operations of all rounds, by variant
    :ivar violations: number of violations, by variant
    """

    def __init__(self, fleet: Fleet, settings: NoisyTenantSettings) -> None:
        self._fleet = fleet
        self._settings = settings
        self.operations: dict[str, list[Operation]] = defaultdict(list)
        self.violations: dict[str, int] = defaultdict(int)

    def run_round(self, number: int) -> None:
        """Measure the steady tenant alone and beside each flood."""
        self._add_history(ALONE, self._steady_load(f"alone-{number}").run())
        for flood, mix in FLOOD_MIXES.items():
            self._run_flood(flood, mix, f"{mix.write:g}-{number}")

    def _run_flood(self, flood: str, mix: Mix, label: str) -> None:
        settings = self._settings
        profile = _profile(self._fleet, FLOODING, settings.flood_sessions, mix, 0.0)
        seconds = settings.seconds + 2 * LEAD_S
        noise = LoadRun(
            self._fleet, f"flood-{label}", (profile,), seconds, settings.workers, settings.seed
        )
        noise.start()
        try:
            time.sleep(LEAD_S)
            steady = self._steady_load(f"beside-{label}").run()
            noise.wait()
        finally:
            noise.stop()
        self._add_history(f"beside a {flood}", steady)
        self._add_history(f"the {flood}", noise.collect())

    def _steady_load(self, name: str) -> LoadRun:
        settings = self._settings
        profile = _profile(
            self._fleet, STEADY, settings.steady_sessions, STEADY_MIX, STEADY_THINK_MS
        )
        return LoadRun(self._fleet, name, (profile,), settings.seconds, 1, settings.seed)

    def _add_history(self, variant: str, history: History) -> None:
        self.operations[variant] += history.operations
        self.violations[variant] += len(check_all(history))


def run(geography: str, writer: ResultWriter) -> None:
    """Measure all rounds on one fleet."""
    settings = load_experiment(NoisyTenantSettings, NAME)
    with Fleet(FleetOptions(geography=geography, name=f"{NAME}-{geography}")) as fleet:
        create_tables(fleet)
        measured = _Run(fleet, settings)
        for number in range(settings.rounds):
            measured.run_round(number)
    sizes: dict[str, Value] = {
        "rounds": settings.rounds,
        "seconds": settings.seconds,
        "steady_sessions": settings.steady_sessions,
        "flood_sessions": settings.flood_sessions,
    }
    alone = _latencies(measured.operations[ALONE]).percentile_ms(99)
    for variant, operations in measured.operations.items():
        values = _values(operations, alone)
        values["violations"] = measured.violations[variant]
        writer.add(ExperimentResult(NAME, geography, variant, settings.seed, sizes, values))


def _profile(
    fleet: Fleet, names: dict[str, str], count: int, mix: Mix, think_ms: float
) -> SessionProfile:
    """Return a profile of the geography with a changed size and mix, on the first group only."""
    geography = fleet.topology.geography
    name = names[geography.name]
    (profile,) = (p for p in PROFILES[geography.name](geography) if p.name == name)
    changes = {
        "count": count,
        "mix": mix,
        "think_ms": think_ms,
        "groups": geography.groups[:1],
        "roam_probability": 0.0,
        "extended": False,
    }
    return profile.model_copy(update=changes)


def _latencies(operations: list[Operation], kind: Kind | None = None) -> Latencies:
    """Return the latencies of successful operations, of one kind or all."""
    return Latencies.of(
        [
            operation
            for operation in operations
            if operation.outcome is ClientOutcome.DONE and kind in (None, operation.kind)
        ]
    )


def _values(operations: list[Operation], alone_p99_ms: float) -> dict[str, Value]:
    """Return the measured values of a variant.

    ``p99_moved`` is the ratio of its 99th percentile to that of the steady tenant alone.
    """
    refused = [o for o in operations if o.outcome is ClientOutcome.DID_NOT_RUN]
    done = _latencies(operations)
    return {
        "done": sum(o.outcome is ClientOutcome.DONE for o in operations),
        "refused": len(refused),
        **done.p50_p99("request"),
        "p99_moved": done.percentile_ms(99) / alone_p99_ms if alone_p99_ms else 0.0,
        **_latencies(operations, Kind.READ).p50_p99("read"),
        **_latencies(operations, Kind.WRITE).p50_p99("write"),
        **Latencies.of(refused).p50_p99("refusal"),
    }

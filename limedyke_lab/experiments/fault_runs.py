"""Fault runs: each injects one fault into real processes under load.

``limedyke-lab experiment fault-NAME`` runs one, ``limedyke-lab experiment faults`` runs all.
"""

from __future__ import annotations

import time

from limedyke_lab.checkers import measures
from limedyke_lab.checkers.report import (
    CHECKERS_REQUIRING_CASES,
    check_all,
    checkers_without_cases,
    count_by_checker,
)
from limedyke_lab.checkers.revisions import IN_FORCE, REVISIONS
from limedyke_lab.experiments.baselines import BASELINES
from limedyke_lab.experiments.fault_catalogue import FAULT_RUNS, FaultRun
from limedyke_lab.experiments.fault_stage import FaultStage
from limedyke_lab.experiments.result import ExperimentResult, ResultWriter, Value
from limedyke_lab.experiments.settings_file import FaultSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.history import History
from limedyke_lab.load.profiles import PROFILES, watch_profile
from limedyke_lab.load.runner import LoadRun, create_tables

NAME = "faults"
PREFIX = "fault-"
SHOWN_VIOLATIONS = 5
PROXY_MODULE = "limedyke.cli"
_NANOSECONDS = 1_000_000_000


def run(geography: str, writer: ResultWriter) -> None:
    """Run all fault runs, each on a new fleet."""
    for fault in FAULT_RUNS:
        run_one(fault, geography, writer)


def run_one(fault: FaultRun, geography: str, writer: ResultWriter) -> None:
    """Run one fault run and add its result."""
    settings = load_experiment(FaultSettings, NAME)
    history = record(fault, geography, settings)
    violations = check_all(history)
    for violation in violations[:SHOWN_VIOLATIONS]:
        print(violation, flush=True)
    counts = count_by_checker(violations)
    gaps = [gap.gap_ms for gap in measures.failover_gaps(history)]
    values: dict[str, Value] = {
        "done": measures.count_done_operations(history),
        "violations": len(violations),
        "found_by": ",".join(name for name, number in counts.items() if number) or "none",
        "too_little": ",".join(_checkers_without_cases(history)) or "none",
        "groups_without_writes_at_end": _groups_without_writes(history, settings),
        "gap_max_ms": max(gaps, default=0.0),
    }
    sizes: dict[str, Value] = {"hold_s": settings.hold_s, "lag_ms": settings.replica_lag_ms}
    writer.add(ExperimentResult(NAME, geography, fault.name, settings.seed, sizes, values))


def record(
    fault: FaultRun,
    geography: str,
    settings: FaultSettings,
    baseline: str = "",
    proxy_module: str = PROXY_MODULE,
) -> History:
    """Run a fleet with load and the fault; return the full history.

    :param baseline: name of a baseline that the clients use instead of the product
    :param proxy_module: Python module that runs the proxies
    """
    options = FleetOptions(
        geography=geography,
        name=f"{PREFIX}{fault.name}-{geography}",
        member_options={"lag_ms": settings.replica_lag_ms},
        product=not baseline,
        proxy_module=proxy_module,
    )
    with Fleet(options) as fleet:
        create_tables(fleet)
        place = fleet.topology.geography
        count = settings.watchers_per_group
        watchers = (watch_profile(place, group, count) for group in place.groups)
        profiles = (*PROFILES[geography](place, settings.session_scale), *watchers)
        routes = BASELINES[baseline](fleet) if baseline else None
        load = LoadRun(
            fleet,
            fault.name,
            profiles,
            settings.limit_s,
            settings.workers,
            settings.seed,
            routes,
        )
        load.start()
        try:
            time.sleep(settings.lead_s)
            stage = FaultStage(fleet, load, settings.hold_s)
            fault.act(stage)
            if not baseline:
                stage.change_configuration()
            time.sleep(settings.tail_s)
            load.finish()
        finally:
            load.stop()
        return load.collect()


def _checkers_without_cases(history: History) -> list[str]:
    return checkers_without_cases(history, (*CHECKERS_REQUIRING_CASES, REVISIONS, IN_FORCE))


def _groups_without_writes(history: History, settings: FaultSettings) -> int:
    """Count the groups without an acknowledged write in the last seconds of the load."""
    end_ns = max(operation.start_ns for operation in history.operations)
    since_ns = end_ns - int(settings.tail_s / 2 * _NANOSECONDS)
    writing = {
        operation.group
        for operation in history.operations
        if operation.acknowledged_write and operation.start_ns >= since_ns
    }
    return len({operation.group for operation in history.operations} - writing)

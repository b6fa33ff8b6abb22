"""Experiment ``replica-reads``: share of reads served by replicas, by replica lag."""

from __future__ import annotations

from limedyke_lab.checkers import consistency, measures
from limedyke_lab.checkers.report import check_all, count_by_checker
from limedyke_lab.experiments.baselines import BASELINES
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.settings_file import ReplicaReadsSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.history import History
from limedyke_lab.load.profiles import PROFILES
from limedyke_lab.load.runner import LoadRun, create_tables

NAME = "replica-reads"
LAG_SWITCH = "lag_ms"


def run(geography: str, writer: ResultWriter) -> None:
    """Measure each lag on one fleet, then the baselines on another without the product."""
    settings = load_experiment(ReplicaReadsSettings, NAME)
    name = f"{NAME}-{geography}"
    with Fleet(FleetOptions(geography=geography, name=name)) as fleet:
        create_tables(fleet)
        for lag_ms in settings.lags_ms:
            _set_lag(fleet, lag_ms)
            _measure(fleet, settings, lag_ms, "limedyke", writer)
    with Fleet(FleetOptions(geography=geography, name=name, product=False)) as fleet:
        create_tables(fleet)
        lag_ms = settings.lags_ms[1]
        _set_lag(fleet, lag_ms)
        for baseline in BASELINES:
            _measure(fleet, settings, lag_ms, baseline, writer)


def _set_lag(fleet: Fleet, lag_ms: float) -> None:
    for member in fleet.topology.members:
        fleet.members.set_switch(member, LAG_SWITCH, lag_ms)


def _measure(
    fleet: Fleet,
    settings: ReplicaReadsSettings,
    lag_ms: float,
    variant: str,
    writer: ResultWriter,
) -> None:
    geography = fleet.topology.geography
    profiles = PROFILES[geography.name](geography, settings.session_scale)
    routes = BASELINES[variant](fleet) if variant in BASELINES else None
    name = f"{variant}-{lag_ms:g}"
    load = LoadRun(fleet, name, profiles, settings.seconds, settings.workers, settings.seed, routes)
    history = load.run()
    sizes: dict[str, Value] = {
        "lag_ms": lag_ms,
        "seconds": settings.seconds,
        "sessions": sum(profile.count for profile in profiles),
    }
    shown = f"{variant} lag={lag_ms:g}ms"
    writer.add(
        ExperimentResult(NAME, geography.name, shown, settings.seed, sizes, _values(history))
    )


def _values(history: History) -> dict[str, Value]:
    share = measures.read_share(history)
    violations = count_by_checker(check_all(history))
    reads = Latencies.of(measures.done_reads(history))
    writes = Latencies.of([o for o in history.operations if o.acknowledged_write])
    return {
        "reads": share.reads,
        "replica_read_share": share.share,
        "ceiling": share.ceiling,
        "of_ceiling": share.share / share.ceiling if share.ceiling else 0.0,
        "stale_reads": violations[consistency.READ_YOUR_WRITES],
        "other_violations": sum(violations.values()) - violations[consistency.READ_YOUR_WRITES],
        **reads.p50_p99("read"),
        **writes.p50_p99("write"),
    }

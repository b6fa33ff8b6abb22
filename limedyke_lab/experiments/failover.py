"""Experiments ``failover`` and ``failover-long``: duration of write outages.

The gap of a failure is the longest time around it without a completed write in the group,
computed from the clients' history.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import pairwise
from statistics import mean

from limedyke_lab.checkers import measures
from limedyke_lab.checkers.report import check_all, count_by_checker
from limedyke_lab.experiments.baselines import primary_only
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.settings_file import FailoverSettings, load_experiment
from limedyke_lab.fleet.conditions import wait_until
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.history import History
from limedyke_lab.load.profiles import PROFILES, watch_profile
from limedyke_lab.load.runner import LoadRun, create_tables

NAME = "failover"
LONG_NAME = "failover-long"
ALL_KINDS = "all"
MEMBER_FAILURES = ("kill", "freeze", "cut")
BASELINE = "baseline-primary-only"
BASELINE_KINDS = ("freeze", "cut")
"""Excludes ``kill``: a restarted primary is a replica, so without promotion the gap never ends."""
PLANNED_EVENT = "planned-move"
LEAD_IN_S = 3.0
LONGEST_ROUND = 2.0
"""Limit on a round's duration on a slow machine, in ``round_s``; load ends after the last round."""
REJOIN_TIMEOUT_S = 30.0
WATCHERS_PER_GROUP = 3
HISTOGRAM_EDGES_S = (0.0, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, float("inf"))
_MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of primary failure, and how to undo it.

    :param event: event name in the history
    """

    kind: str
    event: str
    apply: Callable[[str], None]
    undo: Callable[[str], None]


def _faults(fleet: Fleet) -> dict[str, Fault]:
    """Return the kinds of failure.

    ``region`` cuts off the region of the primary. ``leave`` is a planned move, which declares the
    primary as leaving.
    """

    def other_zones(member: str) -> list[tuple[str, str]]:
        zone = fleet.member(member).node.zone.name
        return [
            (zone, other.name) for other in fleet.topology.geography.zones if other.name != zone
        ]

    def cut_region(member: str) -> None:
        for zone, other in other_zones(member):
            fleet.relays.cut(zone, other)

    def heal_region(member: str) -> None:
        for zone, other in other_zones(member):
            fleet.relays.heal(zone, other)

    def drain(member: str, *more: str) -> None:
        plan = fleet.operator.run("drain", f"{fleet.member(member).group}/{member}", *more)
        fleet.operator.confirm(plan["plan_id"])

    faults = (
        Fault("kill", "kill", fleet.kill, fleet.restart),
        Fault("freeze", "freeze", fleet.freeze, fleet.thaw),
        Fault("cut", "cut", fleet.isolate, fleet.rejoin),
        Fault("region", "cut", cut_region, heal_region),
        Fault("leave", PLANNED_EVENT, drain, lambda member: drain(member, "--undo")),
    )
    return {fault.kind: fault for fault in faults}


def run(geography: str, writer: ResultWriter) -> None:
    """Run a few failures of each kind; add a result for each kind and one for all."""
    settings = load_experiment(FailoverSettings, NAME)
    _run_with_product(NAME, settings, geography, writer)
    _run_baseline(settings, geography, writer)


def run_long(geography: str, writer: ResultWriter) -> None:
    """Run the experiment with many failures, which takes minutes."""
    settings = load_experiment(FailoverSettings, LONG_NAME)
    _run_with_product(LONG_NAME, settings, geography, writer)


def _run_with_product(
    name: str, settings: FailoverSettings, geography: str, writer: ResultWriter
) -> None:
    with Fleet(_options(name, settings, geography)) as fleet:
        create_tables(fleet)
        history = _run_rounds(fleet, settings, _rounds(settings.kinds, settings.rounds))
    counts = count_by_checker(check_all(history))
    for checker, count in counts.items():
        if count:
            print(f"{name} {geography}: checker {checker} found {count}")
    gaps = gaps_by_kind(history)
    for kind, found in gaps.items():
        values = {**_gap_values(found), "violations": sum(counts.values())}
        writer.add(_result(name, geography, kind, settings, values))


def _run_baseline(settings: FailoverSettings, geography: str, writer: ResultWriter) -> None:
    """Measure clients that write directly to the primary, without failover."""
    options = _options(f"{NAME}-baseline", settings, geography, product=False)
    with Fleet(options) as fleet:
        create_tables(fleet)
        history = _run_rounds(fleet, settings, list(BASELINE_KINDS), past_product=True)
    found = gaps_by_kind(history).get(ALL_KINDS, [])
    writer.add(_result(NAME, geography, BASELINE, settings, _gap_values(found)))


def _options(
    name: str, settings: FailoverSettings, geography: str, product: bool = True
) -> FleetOptions:
    return FleetOptions(
        geography=geography,
        name=f"{name}-{geography}",
        member_options={"lag_ms": settings.replica_lag_ms},
        product=product,
    )


def _rounds(kinds: tuple[str, ...], rounds: int) -> list[str]:
    return [kind for kind in kinds for _ in range(rounds)]


def _result(
    name: str,
    geography: str,
    variant: str,
    settings: FailoverSettings,
    values: dict[str, Value],
) -> ExperimentResult:
    sizes: dict[str, Value] = {
        "rounds": values["failures"],
        "round_s": settings.round_s,
        "undo_after_s": settings.undo_after_s,
        "lag_ms": settings.replica_lag_ms,
        "session_scale": settings.session_scale,
    }
    return ExperimentResult(name, geography, variant, settings.seed, sizes, values)


def gaps_by_kind(history: History) -> dict[str, list[float]]:
    """Return the gaps by kind of failure, and those of all single-member failures."""
    by_kind: dict[str, list[float]] = defaultdict(list)
    for gap in measures.failover_gaps(_with_planned(history)):
        by_kind[gap.event.detail or gap.event.name].append(gap.gap_ms)
        if gap.event.detail in MEMBER_FAILURES:
            by_kind[ALL_KINDS].append(gap.gap_ms)
    return by_kind


def _with_planned(history: History) -> History:
    """Return the history with planned moves renamed, so that they are measured like failures."""
    events = tuple(
        replace(event, name="cut") if event.name == PLANNED_EVENT else event
        for event in history.events
    )
    return replace(history, events=events)


def _gap_values(gaps: list[float]) -> dict[str, Value]:
    latencies = Latencies()
    ended = [gap for gap in gaps if gap != float("inf")]
    for gap in ended:
        latencies.add_ms(gap)
    return {
        "failures": len(gaps),
        "without_end": len(gaps) - len(ended),
        **latencies.p50_p99("gap"),
        "gap_mean_ms": mean(ended) if ended else 0.0,
        "gap_max_ms": max(ended, default=0.0),
        "histogram_s": histogram(gaps),
    }


def histogram(gaps_ms: list[float]) -> str:
    """Return the number of gaps in each range of seconds, such as ``0.5-0.75:3``."""
    parts = []
    for low, high in pairwise(HISTOGRAM_EDGES_S):
        count = sum(low <= gap / _MS_PER_S < high for gap in gaps_ms)
        if count:
            parts.append(f"{low:g}-{high:g}:{count}")
    endless = sum(gap == float("inf") for gap in gaps_ms)
    return ",".join([*parts, f"endless:{endless}"] if endless else parts)


def _run_rounds(
    fleet: Fleet, settings: FailoverSettings, rounds: list[str], past_product: bool = False
) -> History:
    geography = fleet.topology.geography
    watchers = tuple(
        watch_profile(geography, group, WATCHERS_PER_GROUP) for group in geography.groups
    )
    profiles = (*PROFILES[geography.name](geography, settings.session_scale), *watchers)
    seconds = LEAD_IN_S + LONGEST_ROUND * settings.round_s * len(rounds)
    routes = primary_only(fleet) if past_product else None
    load = LoadRun(fleet, NAME, profiles, seconds, settings.workers, settings.seed, routes)
    faults = _faults(fleet)
    load.start()
    started = time.monotonic() + LEAD_IN_S
    try:
        for number, kind in enumerate(rounds):
            _sleep_until(started + number * settings.round_s)
            group = geography.groups[number % len(geography.groups)]
            _fail_primary(fleet, load, group, faults[kind], settings.undo_after_s)
        _sleep_until(time.monotonic() + settings.round_s - settings.undo_after_s)
        load.finish()
    finally:
        load.stop()
    return load.collect()


def _fail_primary(
    fleet: Fleet, load: LoadRun, group: str, fault: Fault, undo_after_s: float
) -> None:
    primary = fleet.wait_for_primary(group)
    name = primary.node.name
    load.note(fault.event, name, detail=fault.kind)
    fault.apply(name)
    time.sleep(undo_after_s)
    load.note("undo", name, detail=fault.kind)
    fault.undo(name)
    wait_until(lambda: fleet.members.term(primary) > 0, f"{name} is back", REJOIN_TIMEOUT_S)


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))

"""Experiment ``drain``: planned stops of proxies and members under load fail no request."""

from __future__ import annotations

import time
from signal import Signals

from limedyke_lab.checkers import leaving
from limedyke_lab.checkers.report import check_all, count_by_checker
from limedyke_lab.experiments.result import ExperimentResult, Latencies, ResultWriter, Value
from limedyke_lab.experiments.settings_file import DrainSettings, load_experiment
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.history import History
from limedyke_lab.load.profiles import PROFILES
from limedyke_lab.load.runner import LoadRun, create_tables

NAME = "drain"
LONG_NAME = "drain-long"
LEAD_IN_S = 2.0
STOP_TIMEOUT_S = 40.0
NO_EXIT_CODE = -1
PROXY_STOPS = "proxy stops"
MEMBER_STOPS = "member stops"


def run(geography: str, writer: ResultWriter) -> None:
    """Stop proxies, then members, one by one under load; add a result for each kind."""
    _run(NAME, geography, writer)


def run_long(geography: str, writer: ResultWriter) -> None:
    """Run the experiment with fifty stops, which takes minutes."""
    _run(LONG_NAME, geography, writer)


def _run(name: str, geography: str, writer: ResultWriter) -> None:
    settings = load_experiment(DrainSettings, name)
    with Fleet(FleetOptions(geography=geography, name=f"{name}-{geography}")) as fleet:
        create_tables(fleet)
        _stop_proxies(fleet, settings, writer)
        _stop_members(fleet, settings, writer)


def _load(fleet: Fleet, settings: DrainSettings, name: str, rounds: int) -> LoadRun:
    geography = fleet.topology.geography
    profiles = PROFILES[geography.name](geography, settings.session_scale)
    seconds = LEAD_IN_S + rounds * settings.round_s
    return LoadRun(fleet, name, profiles, seconds, settings.workers, settings.seed)


def _stop_proxies(fleet: Fleet, settings: DrainSettings, writer: ResultWriter) -> None:
    load = _load(fleet, settings, "proxies", settings.proxy_rounds)
    times = Latencies()
    load.start()
    started = time.monotonic() + LEAD_IN_S
    try:
        for number in range(settings.proxy_rounds):
            time.sleep(max(0.0, started + number * settings.round_s - time.monotonic()))
            node = fleet.topology.proxies[number % len(fleet.topology.proxies)]
            times.add_ms(stop_proxy(fleet, load, node.name))
            fleet.restart(node.name)
            fleet.wait_ready(node)
        load.wait()
    finally:
        load.stop()
    _add(fleet, settings, writer, PROXY_STOPS, settings.proxy_rounds, load.collect(), times)


def stop_proxy(fleet: Fleet, load: LoadRun, name: str) -> float:
    """Stop a proxy with SIGTERM and wait until it ends; return the duration in milliseconds."""
    began = time.monotonic()
    load.note(leaving.DRAIN_START, name)
    fleet.process(name).send_signal(Signals.SIGTERM)
    code = fleet.process(name).wait(STOP_TIMEOUT_S)
    load.note(leaving.DRAIN_END, name, NO_EXIT_CODE if code is None else code)
    if code is None:
        fleet.kill(name)
    return (time.monotonic() - began) * 1_000


def _stop_members(fleet: Fleet, settings: DrainSettings, writer: ResultWriter) -> None:
    load = _load(fleet, settings, "members", settings.member_rounds)
    groups = fleet.topology.geography.groups
    times = Latencies()
    load.start()
    started = time.monotonic() + LEAD_IN_S
    try:
        for number in range(settings.member_rounds):
            time.sleep(max(0.0, started + number * settings.round_s - time.monotonic()))
            primary = fleet.wait_for_primary(groups[number % len(groups)])
            item = f"{primary.group}/{primary.node.name}"
            began = time.monotonic()
            plan = fleet.operator.run("drain", item)
            fleet.operator.confirm(plan["plan_id"])
            load.note(leaving.MEMBER_LEAVING, primary.node.name)
            times.add_ms((time.monotonic() - began) * 1_000)
            time.sleep(settings.hold_s)
            load.note(leaving.MEMBER_STOPPED, primary.node.name)
            plan = fleet.operator.run("drain", item, "--undo")
            fleet.operator.confirm(plan["plan_id"])
        load.wait()
    finally:
        load.stop()
    _add(fleet, settings, writer, MEMBER_STOPS, settings.member_rounds, load.collect(), times)


def _add(
    fleet: Fleet,
    settings: DrainSettings,
    writer: ResultWriter,
    variant: str,
    rounds: int,
    history: History,
    times: Latencies,
) -> None:
    violations = check_all(history)
    counts = count_by_checker(violations)
    for violation in violations[:5]:
        print(violation)
    values: dict[str, Value] = {
        "stops": rounds,
        "operations": len(history.operations),
        "cut_or_failed": counts[leaving.DRAIN] + counts[leaving.MEMBER_STOP],
        "late_work": counts[leaving.LEAVING_MEMBER],
        "violations": len(violations),
        **times.p50_p99("stop"),
    }
    geography = fleet.topology.geography.name
    sizes: dict[str, Value] = {"round_s": settings.round_s, "hold_s": settings.hold_s}
    writer.add(ExperimentResult(NAME, geography, variant, settings.seed, sizes, values))

"""Demonstration: a fleet under load while a primary and a proxy are killed."""

from __future__ import annotations

import time
from pathlib import Path

from limedyke_lab.checkers import consistency, measures, transactions, writes
from limedyke_lab.checkers.fault_windows import KILL, UNDO
from limedyke_lab.checkers.report import (
    CHECKERS_REQUIRING_CASES,
    check_all,
    checkers_without_cases,
    count_by_checker,
    describe,
)
from limedyke_lab.checkers.revisions import CONFIRMED, IN_FORCE, REVISIONS
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.geography import GEOGRAPHIES
from limedyke_lab.history import History
from limedyke_lab.load.profiles import PROFILES, watch_profile
from limedyke_lab.load.runner import LoadRun, create_tables

REPLICA_LAG_MS = 20.0
KILLED_PROXY = "proxy-2"
CHANGED_CLIENT_LIMIT = 1_001
CHANGE_AT = 0.1
KILL_PRIMARY_AT = 0.25
KILL_PROXY_AT = 0.5
RESTART_AT = 0.65
"""Times of the events, as fractions of the load's duration."""
EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_UNKNOWN_GEOGRAPHY = 2


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


def run_demo(geography: str, seconds: float, run_root: Path) -> int:
    """Run the demonstration and print its summary as the last line; return the exit code."""
    if geography not in GEOGRAPHIES:
        _print_progress(f"expected one of {', '.join(GEOGRAPHIES)}")
        return EXIT_UNKNOWN_GEOGRAPHY
    _print_progress("starting 3 controllers, 3 proxies and 3 groups of 3 members")
    options = FleetOptions(
        geography=geography,
        name=f"demo-{geography}",
        run_root=run_root,
        member_options={"lag_ms": REPLICA_LAG_MS},
    )
    with Fleet(options) as fleet:
        _print_progress(
            f"declared {geography}.yaml by plan and confirm; run folder {options.folder}"
        )
        create_tables(fleet)
        history = _load_with_faults(fleet, seconds)
    return conclude(history)


def conclude(history: History) -> int:
    """Print the results of checkers and measures, then the summary; return the exit code.

    The demonstration fails on a violation, or when a checker had too little data.
    """
    violations = check_all(history)
    print("\n".join(describe(history, violations)))
    nothing = checkers_without_cases(history, (*CHECKERS_REQUIRING_CASES, REVISIONS, IN_FORCE))
    if nothing:
        _print_progress(f"too little to judge: {', '.join(nothing)}")
    print(summary(history), flush=True)
    return EXIT_VIOLATION if violations or nothing else EXIT_OK


def _load_with_faults(fleet: Fleet, seconds: float) -> History:
    geography = fleet.topology.geography
    group = geography.groups[0]
    profiles = (*PROFILES[geography.name](geography), watch_profile(geography, group))
    run = LoadRun(fleet, "demo", profiles, seconds)
    run.start()
    started = time.monotonic()

    def wait_for(moment: float) -> None:
        time.sleep(max(0.0, started + moment * seconds - time.monotonic()))

    try:
        wait_for(CHANGE_AT)
        revision = fleet.declare_client_limit(CHANGED_CLIENT_LIMIT)
        run.note(CONFIRMED, value=revision)
        _print_progress(f"confirmed revision {revision} under load")
        wait_for(KILL_PRIMARY_AT)
        primary = fleet.wait_for_primary(group).node.name
        _kill(fleet, run, primary)
        _print_progress(f"killed {primary}, the primary of {group}")
        wait_for(KILL_PROXY_AT)
        _kill(fleet, run, KILLED_PROXY)
        _print_progress(f"killed {KILLED_PROXY}")
        wait_for(RESTART_AT)
        for name in (primary, KILLED_PROXY):
            fleet.restart(name)
        fleet.wait_ready(fleet.node(KILLED_PROXY))
        for name in (primary, KILLED_PROXY):
            run.note(UNDO, name)
        _print_progress(f"started {primary} and {KILLED_PROXY} again")
        run.wait()
    finally:
        run.stop()
    return run.collect()


def _kill(fleet: Fleet, run: LoadRun, name: str) -> None:
    run.note(KILL, name)
    fleet.kill(name)


def summary(history: History) -> str:
    """Return the summary line with measures and violation counts."""
    violations = check_all(history)
    counts = count_by_checker(violations)
    gaps = [gap.gap_ms for gap in measures.failover_gaps(history)]
    mixed = counts[consistency.ANSWERS] + counts[transactions.TRANSACTIONS]
    values = {
        "statements": measures.count_done_operations(history),
        "replica_read_share": f"{measures.read_share(history).share:.3f}",
        "failover_gap_ms": f"{max(gaps, default=float('nan')):.0f}",
        "stale_reads": counts[consistency.READ_YOUR_WRITES],
        "lost_acknowledged_writes": counts[writes.ACKNOWLEDGED_WRITES],
        "mixed_answers": mixed,
        "violations": len(violations),
    }
    return "demo: " + " ".join(f"{name}={value}" for name, value in values.items())

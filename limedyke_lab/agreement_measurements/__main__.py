"""Measures and prints the duration of syncs, commits and restarts on this machine."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import fire

from limedyke_lab.agreement_measurements.figures import (
    concurrent_commits,
    group_commit,
    make_changes,
    restart_all,
    summarize_latencies,
    sync_latencies,
    wait_until_served,
)
from limedyke_lab.agreement_measurements.trio import ControllerTrio

BATCHES = (1, 16, 64, 256)
GROUP_COMMIT_S = 2.0
OPERATORS = (1, 8, 32)
STEPS = (1_000, 10_000)


def measure(syncs: int = 2_000, steps: tuple[int, ...] = STEPS, restarts: int = 3) -> None:
    """Run all benchmarks and print one line per result.

    :param syncs: number of single entries to append
    :param steps: total numbers of configuration changes after which to restart
    :param restarts: number of restarts at each step
    """
    folder = Path(tempfile.mkdtemp(prefix="limedyke-agreement-"))
    try:
        print(f"sync of one entry: {sync_latencies(folder / 'syncs', syncs)}", flush=True)
        for batch in BATCHES:
            rate = group_commit(folder / f"batch-{batch}", batch, GROUP_COMMIT_S)
            print(f"group commit: batch={batch} entries_per_s={rate.entries_per_s:.0f}", flush=True)
        with ControllerTrio(folder / "trio") as trio:
            _measure_trio(trio, steps, restarts)
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _measure_trio(trio: ControllerTrio, steps: tuple[int, ...], restarts: int) -> None:
    wait_until_served(trio)
    for operators in OPERATORS:
        rate = concurrent_commits(trio, operators, GROUP_COMMIT_S)
        print(f"commits at once: operators={operators} entries_per_s={rate:.0f}", flush=True)
    made = 0
    for step in steps:
        durations = make_changes(trio, made + 1, step - made)
        made = step
        print(f"commit over three controllers: {summarize_latencies(durations)}", flush=True)
        for _ in range(restarts):
            print(f"restart: {restart_all(trio, made)}", flush=True)


if __name__ == "__main__":
    fire.Fire(measure)

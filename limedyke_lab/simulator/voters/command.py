"""The command ``limedyke-lab voters``: runs seeds in parallel."""

from __future__ import annotations

import os
import sys

from limedyke_lab.simulator.command import EXIT_USAGE, EXIT_VIOLATION, make_pool, parse_seeds
from limedyke_lab.simulator.voters.run import VoterRunResult, run_voters

SHOWN_VIOLATIONS = 5


def _report(result: VoterRunResult) -> str:
    head = (
        f"seed={result.seed} confirmed={result.confirmed} read={result.shown} "
        f"violations={len(result.violations)}"
    )
    if not result.violations:
        return head
    shown = [f"  {violation}" for violation in result.violations[:SHOWN_VIOLATIONS]]
    return "\n".join([head, *shown, *(f"    {line}" for line in result.trace)])


def simulate_voters(seeds: object, workers: int) -> int:
    """Run seeds and print a line for each; return 1 when a promise was broken, 2 for wrong seeds.

    :param workers: number of processes; 0 for one per core
    """
    try:
        wanted = parse_seeds(seeds)
    except ValueError as error:
        print(f"seeds: {error}", file=sys.stderr)
        return EXIT_USAGE
    broken = 0
    with make_pool(workers or os.cpu_count() or 1) as pool:
        for result in pool.map(run_voters, wanted):
            broken += bool(result.violations)
            print(_report(result), flush=True)
    print(f"voters: seeds={len(wanted)} broken={broken}")
    return EXIT_VIOLATION if broken else 0

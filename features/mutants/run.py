"""Runs the mutants of this folder in parallel, and prints a summary.

Usage: ``python -m features.mutants.run [AREA ...]``, or ``limedyke-lab mutants``.  A module
named ``AREA_SOMETHING.py`` defines a tuple ``MUTANTS``.  The last line is
``mutants: N caught, N missed``; the exit code is 0 when none was missed.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from importlib import import_module
from multiprocessing import get_context
from pathlib import Path

from features.mutants.mutant import Mutant

FOLDER = Path(__file__).resolve().parent
PACKAGE = "features.mutants"
PARALLEL_MUTANTS = 4
EXIT_ALL_CAUGHT = 0
EXIT_MISSED = 1


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one mutant.

    :param reason: the error that ended its check early and makes it count as missed, or empty
    """

    module: str
    name: str
    safeguard: str
    caught_by: str
    caught: bool
    duration_s: float
    reason: str = ""

    def __str__(self) -> str:
        word = "caught" if self.caught else "MISSED"
        because = f" ({self.reason})" if self.reason else ""
        shown = f"{self.module}: {self.name}: {self.safeguard}"
        return f"{word} {shown}, by {self.caught_by} in {self.duration_s:.1f} s{because}"


def modules_with_mutants(areas: tuple[str, ...] = ()) -> tuple[str, ...]:
    """Return the names of this folder's modules that are named after an area."""
    names = sorted(path.stem for path in FOLDER.glob("*_*.py") if not path.stem.startswith("_"))
    return tuple(name for name in names if not areas or name.split("_", 1)[0] in areas)


def load_mutants(module: str) -> tuple[Mutant, ...]:
    """Return the mutants that a module of this folder defines."""
    return tuple(import_module(f"{PACKAGE}.{module}").MUTANTS)


def judge(module: str, mutant: Mutant) -> Verdict:
    """Check one mutant; it counts as missed when its check raises."""
    started = time.monotonic()
    reason = ""
    try:
        caught = mutant.check()
    except Exception as error:
        caught, reason = False, f"{type(error).__name__}: {error}"
    duration_s = time.monotonic() - started
    return Verdict(
        module, mutant.name, mutant.safeguard, mutant.caught_by, caught, duration_s, reason
    )


def _judge_index(module: str, index: int) -> Verdict:
    return judge(module, load_mutants(module)[index])


def judge_all(jobs: list[tuple[str, int]]) -> Iterator[Verdict]:
    """Check mutants in parallel, then one by one those that must not run beside others."""
    exclusive = [job for job in jobs if load_mutants(job[0])[job[1]].alone]
    parallel = [job for job in jobs if job not in exclusive]
    with ProcessPoolExecutor(PARALLEL_MUTANTS, mp_context=get_context("spawn")) as executor:
        modules = [module for module, _ in parallel]
        yield from executor.map(_judge_index, modules, [index for _, index in parallel])
    for module, index in exclusive:
        yield _judge_index(module, index)


def main(arguments: list[str]) -> int:
    """Check the mutants of the named areas, or all, and return the exit code."""
    jobs = [
        (module, index)
        for module in modules_with_mutants(tuple(arguments))
        for index in range(len(load_mutants(module)))
    ]
    caught = 0
    for verdict in judge_all(jobs):
        caught += verdict.caught
        print(verdict, flush=True)
    print(f"mutants: {caught} caught, {len(jobs) - caught} missed")
    return EXIT_ALL_CAUGHT if jobs and caught == len(jobs) else EXIT_MISSED


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

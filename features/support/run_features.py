"""Runs all feature files, several in parallel, and sums up their results.

Usage: ``python -m features.support.run_features [FEATURE ...]``.  Features tagged
``@fleet`` start many processes and run one at a time, after the others.  The last
line is ``scenarios: N passed, N failed``; the exit code is 0 when every failure is
listed in KNOWN-RED.txt.
"""

from __future__ import annotations

import fcntl
import re
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from features.support.behave_run import FeatureResult, run_feature
from features.support.known_red import KnownRed, KnownRedError, load_known_red

ROOT = Path(__file__).resolve().parents[2]
PARALLEL_FEATURES = 4
FLEET_TAG = re.compile(r"^\s*(@\S+\s+)*@fleet\b", re.MULTILINE)
FLEET_LOCK = Path(tempfile.gettempdir()) / "limedyke-fleet-features.lock"
EXIT_PASSED = 0
EXIT_FAILED = 1
EXIT_KNOWN_RED_INVALID = 2


@dataclass(frozen=True, slots=True)
class Verdict:
    """The sum over all feature files; tests are named ``feature file:scenario name``."""

    passed: tuple[str, ...]
    failed: tuple[str, ...]

    def unexpected(self, known: tuple[KnownRed, ...]) -> tuple[str, ...]:
        """Return the failures that are not listed."""
        listed = {entry.test for entry in known}
        return tuple(test for test in self.failed if test not in listed)


def find_features(root: Path) -> tuple[str, ...]:
    """Return the paths of all feature files, relative to ``root``, in order of name."""
    return tuple(
        str(path.relative_to(root)) for path in sorted((root / "features").rglob("*.feature"))
    )


def is_fleet_feature(text: str) -> bool:
    """Return True if a feature file is tagged ``@fleet`` and must run alone."""
    head = text.split("Feature:", 1)[0]
    return FLEET_TAG.search(head) is not None


def sum_verdicts(results: list[FeatureResult]) -> Verdict:
    """Return the verdict over all results."""
    passed = [f"{result.feature}:{name}" for result in results for name in result.passed]
    failed = [f"{result.feature}:{name}" for result in results for name in result.failed]
    return Verdict(tuple(passed), tuple(failed))


def _run_one(feature: str) -> FeatureResult:
    result = run_feature(ROOT, feature)
    word = "FAILED" if result.failed else "passed"
    counts = f"{len(result.passed)} passed, {len(result.failed)} failed"
    print(f"{word} {feature}: {counts} in {result.duration_s:.1f} s", flush=True)
    return result


@contextmanager
def fleet_turn(lock: Path = FLEET_LOCK) -> Iterator[None]:
    """Hold a lock that lets only one checkout on this machine run a fleet feature at a time.

    The processes of fleet features listen on the same loopback addresses in every checkout.
    """
    with lock.open("w") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        yield


def _run_fleet_feature(feature: str) -> FeatureResult:
    with fleet_turn():
        return _run_one(feature)


def run_all(features: tuple[str, ...]) -> list[FeatureResult]:
    """Run the feature files, those tagged ``@fleet`` one at a time at the end."""
    sequential = [name for name in features if is_fleet_feature((ROOT / name).read_text())]
    parallel = [name for name in features if name not in sequential]
    with ThreadPoolExecutor(PARALLEL_FEATURES) as executor:
        results = list(executor.map(_run_one, parallel))
    results.extend(_run_fleet_feature(name) for name in sequential)
    return results


def _print_known(verdict: Verdict, known: tuple[KnownRed, ...]) -> None:
    for entry in known:
        state = "not run"
        if entry.test in verdict.failed:
            state = "failed"
        elif entry.test in verdict.passed:
            state = "passed: take it off the list"
        details = f"{entry.command} | {entry.seen} | {entry.issue}"
        print(f"known red ({state}): {entry.test} | {details}")


def main(arguments: list[str]) -> int:
    """Run the named feature files, or all, and return the exit code."""
    try:
        known = load_known_red(ROOT / "KNOWN-RED.txt")
    except KnownRedError as error:
        print(f"KNOWN-RED.txt: {error}")
        return EXIT_KNOWN_RED_INVALID
    results = run_all(tuple(arguments) or find_features(ROOT))
    verdict = sum_verdicts(results)
    for result in results:
        if result.failed:
            print(f"--- {result.feature}\n{result.output}")
    for test in verdict.unexpected(known):
        print(f"failed: {test}")
    _print_known(verdict, known)
    print(f"scenarios: {len(verdict.passed)} passed, {len(verdict.failed)} failed")
    return EXIT_FAILED if verdict.unexpected(known) else EXIT_PASSED


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

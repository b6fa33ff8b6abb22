"""Runs one feature file in its own behave process and parses the result."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

FEATURE_TIMEOUT_S = 240.0
KILL_WAIT_S = 10.0
WHOLE_FILE = "(the whole file)"
PASSED = "passed"


@dataclass(frozen=True, slots=True)
class FeatureResult:
    """The verdict on one feature file.

    :param failed: names of the scenarios that did not pass, for whatever reason
    :param output: what behave printed
    """

    feature: str
    passed: tuple[str, ...]
    failed: tuple[str, ...]
    duration_s: float
    output: str


def _scenario_verdicts(report: str) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the names that passed and those that did not, from behave's JSON report."""
    passed: list[str] = []
    failed: list[str] = []
    for feature in json.loads(report):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            verdicts = passed if element["status"] == PASSED else failed
            verdicts.append(element["name"].strip())
    return tuple(passed), tuple(failed)


def _run_behave(command: list[str], root: Path, timeout_s: float) -> tuple[int | None, str]:
    """Run behave; return its exit code, or None when it took too long, and its output."""
    environment = dict(os.environ, PYTHONPATH=str(root))
    process = subprocess.Popen(
        command,
        cwd=root,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=timeout_s)
        return process.returncode, output
    except subprocess.TimeoutExpired:
        # The process has its own process group, which contains only this feature's processes.
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate(timeout=KILL_WAIT_S)
        return None, output


def run_feature(root: Path, feature: str, timeout_s: float = FEATURE_TIMEOUT_S) -> FeatureResult:
    """Run one feature file.

    A file that cannot be run, runs too long, holds no scenario, or fails without a failed
    scenario counts as one failure named ``WHOLE_FILE``.

    :param root: root of the project
    :param feature: path of the feature file, relative to ``root``
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="limedyke-features-") as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["-f", "plain", "--no-timings", feature]
        exit_code, output = _run_behave(command, root, timeout_s)
        try:
            passed, failed = _scenario_verdicts(report.read_text())
        except (OSError, ValueError):
            passed, failed = (), (WHOLE_FILE,)
    if exit_code is None:
        output += f"\nnot finished after {timeout_s:.0f} s\n"
    if (exit_code != 0 or not passed) and not failed:
        failed = (WHOLE_FILE,)
    duration_s = time.monotonic() - started
    return FeatureResult(feature, passed, failed, duration_s, output)

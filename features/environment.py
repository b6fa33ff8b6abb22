"""Hooks of behave: a temporary folder for each scenario, and a quiet event log."""

from __future__ import annotations

import gc
import shutil
import tempfile
from pathlib import Path

import logbook
import parse
from behave import register_type
from behave.model import Scenario
from behave.model_core import Status
from behave.runner import Context

from limedyke.garbage_collection import resume_garbage_collection

SHOWN_LOG_LINES = 15
"""Lines of each process's log that are shown when a scenario has failed."""


@parse.with_pattern(r".*")
def _anything(text: str) -> str:
    return text


register_type(Anything=_anything)


def before_all(context: Context) -> None:
    """Hold the event log of code under test to errors, and look for garbage as a process does.

    With Python's own thresholds a full collection goes through the 150,000 objects of all step
    modules, in the middle of a scenario: it stopped proxy, members and clients of a test together
    for 0.25 to 0.68 s on a machine with 20 runnable processes on 8 cores.
    """
    gc.collect()
    resume_garbage_collection()
    handler = logbook.StderrHandler(level="ERROR")
    logbook.NullHandler().push_application()
    handler.push_application()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Make ``context.folder``, an empty folder that lasts as long as the scenario."""
    context.folder = Path(tempfile.mkdtemp(prefix="limedyke-scenario-"))


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Remove the scenario's folder; keep it if the scenario failed and left logs there."""
    logs = sorted(context.folder.glob("*.log"))
    if scenario.status is Status.passed or not logs:
        shutil.rmtree(context.folder, ignore_errors=True)
        return
    print(f"logs of the failed scenario are kept in {context.folder}")
    for log in logs:
        lines = log.read_text(errors="replace").splitlines()
        print(f"--- {log.name}, the last {SHOWN_LOG_LINES} of {len(lines)} lines")
        print("\n".join(lines[-SHOWN_LOG_LINES:]))

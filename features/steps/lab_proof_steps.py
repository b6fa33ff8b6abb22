"""Steps that check the references in docs/PROOF.md."""

from __future__ import annotations

import re
from pathlib import Path

from behave import then

from features.mutants.run import load_mutants, modules_with_mutants
from limedyke_lab.checkers.report import CHECKERS
from limedyke_lab.experiments import fault_runs
from limedyke_lab.experiments.fault_catalogue import FAULT_RUNS
from limedyke_lab.experiments.run import EXPERIMENTS, MEASURED

ROOT = Path(__file__).resolve().parents[2]
FEATURE_PATH = re.compile(r"`(features/\w+\.feature)`(: ([^|]*))?")
SCENARIO_NAME = re.compile(r'"([^"]+)"')
CODE = re.compile(r"`([a-z][a-z0-9-]+)`")
SCENARIO_LINE = re.compile(r"^\s*Scenario(?: Outline)?: (.*)$", re.MULTILINE)


def page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def rows(kind: str) -> list[str]:
    """Return the cells of the table rows of a kind in docs/PROOF.md."""
    found = re.findall(rf"^\| {kind}s? \| (.*) \|$", page("PROOF.md"), re.MULTILINE)
    assert found, kind
    return found


@then("proof: its features and scenarios exist")
def then_scenarios(context):
    named = FEATURE_PATH.findall(page("PROOF.md"))
    assert len(named) > 20, named
    for path, _, names in named:
        titles = SCENARIO_LINE.findall((ROOT / path).read_text())
        for name in SCENARIO_NAME.findall(names):
            assert any(title.startswith(name) for title in titles), (path, name)


@then("proof: its mutants exist")
def then_mutants(context):
    mutants = {
        module: {mutant.name for mutant in load_mutants(module)}
        for module in modules_with_mutants()
    }
    for cell in rows("mutant"):
        for entry in cell.split("; "):
            module, _, names = entry.partition(": ")
            for part in module.split(", "):
                assert part in mutants, part
            for name in filter(None, names.split(", ")):
                assert name in mutants[module], (module, name)


@then("proof: its checkers, traces and fault runs exist")
def then_checkers(context):
    traces = {path.stem for path in (ROOT / "features" / "traces").glob("*.jsonl")}
    for cell in rows("checker"):
        for name in CODE.findall(cell):
            assert name in CHECKERS or name in traces, name
    known = {run.name for run in FAULT_RUNS} | set(MEASURED)
    for cell in rows("fault run") + rows("run"):
        for name in CODE.findall(cell):
            assert name in known, name


@then("proof: docs/LAB.md names every checker")
def then_lab(context):
    assert set(CHECKERS) <= set(CODE.findall(page("LAB.md"))), CHECKERS


@then("proof: docs/EXPERIMENTS.md names every experiment and fault run")
def then_experiments(context):
    named = set(CODE.findall(page("EXPERIMENTS.md")))
    experiments = {name.removeprefix(fault_runs.PREFIX) for name in EXPERIMENTS}
    missing = experiments - named
    assert not missing, missing

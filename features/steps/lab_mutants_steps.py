"""Steps for the mutation test runner."""

from __future__ import annotations

import io
from contextlib import redirect_stdout

from behave import then, when

from features.mutants import run
from features.mutants.mutant import Mutant
from limedyke_lab.checkers.report import CHECKERS


def _noticed_with_safeguard() -> bool:
    raise AssertionError("also with it")


CASES = {
    "is noticed": lambda: True,
    "is not noticed": lambda: False,
    "is noticed with safeguard": _noticed_with_safeguard,
}


@when("mutants: a mutant that {case} is judged")
def when_judged(context, case):
    context.verdict = run.judge("area", Mutant("name", "safeguard", "check", CASES[case]))


@then('mutants: it counts as {verdict} with the reason "{reason:Anything}"')
def then_counts(context, verdict, reason):
    assert str(context.verdict).startswith(verdict), str(context.verdict)
    assert context.verdict.caught == (verdict == "caught")
    assert context.verdict.reason == reason, context.verdict.reason


@when('mutants: the mutants of the area "{area}" are run')
def when_run(context, area):
    output = io.StringIO()
    with redirect_stdout(output):
        context.code = run.main([area])
    context.lines = output.getvalue().splitlines()


@then('mutants: the run ends with {code:d} and the line "{line}"')
def then_ends(context, code, line):
    assert (context.code, context.lines[-1]) == (code, line), (context.code, context.lines)


@then("mutants: the run ends with 0 and no mutant was missed")
def then_none_missed(context):
    missed = [line for line in context.lines if line.startswith("MISSED")]
    assert context.code == run.EXIT_ALL_CAUGHT, missed
    assert context.lines[-1].endswith("caught, 0 missed"), context.lines[-1]


@when('mutants: the mutants of the area "{area}" are listed')
def when_listed(context, area):
    modules = run.modules_with_mutants((area,))
    context.mutants = {module: run.load_mutants(module) for module in modules}


@then("mutants: each checker has one, and mutants that start fleets run alone")
def then_listed(context):
    assert len(context.mutants["lab_checkers"]) == len(CHECKERS)
    assert all(mutant.alone for mutant in context.mutants["lab_fleet"])

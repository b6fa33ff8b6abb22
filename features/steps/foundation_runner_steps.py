"""Steps for the test runner."""

from __future__ import annotations

import threading

from behave import given, then, when

from features.support.behave_run import FeatureResult, run_feature
from features.support.known_red import KnownRedError, parse_known_red
from features.support.run_features import fleet_turn, is_fleet_feature, sum_verdicts

RUN_TIMEOUT_S = 8.0
TURN_LIMIT_S = 10.0
NOT_BEGUN_S = 0.2
STEPS = """
from behave import given
import time

@given("a step that passes")
def passes(context):
    pass

@given("a step that fails")
def fails(context):
    raise AssertionError("as it should")

@given("a step that skips")
def skips(context):
    context.scenario.skip("not today")

@given("a step that never ends")
def never(context):
    time.sleep(600)
"""
PASSES = "  Scenario: it passes\n    Given a step that passes\n"
CONTENTS = {
    "passes": PASSES,
    "fails in one of two": PASSES + "  Scenario: it fails\n    Given a step that fails\n",
    "skips a scenario": PASSES + "  Scenario: it is skipped\n    Given a step that skips\n",
    "uses a step nobody wrote": "  Scenario: it is undefined\n    Given a step unknown\n",
    "cannot be parsed": "  Nonsense: it\n    Perhaps a step\n",
    "holds no scenario": "",
    "never ends": "  Scenario: it hangs\n    Given a step that never ends\n",
}
ENTRY = "features/a.feature:name | behave --seed 1 | it failed | #3\n"
LISTS = {
    "no line": "\n# a comment\n",
    "six entries": ENTRY * 6,
    "seven entries": ENTRY * 7,
    "an entry without a command": "features/a.feature:name |  | it failed | #3\n",
    "an entry without what was seen": "features/a.feature:name | behave |  | #3\n",
    "an entry without issue": "features/a.feature:name | behave | it failed\n",
    "an entry of five fields": "features/a.feature:name | behave | it failed | #3 | more\n",
}


def _words(text: str) -> tuple[str, ...]:
    return () if text == "nothing" else tuple(word.strip() for word in text.split(","))


@given("runner: a project whose feature file {content}")
def step_project(context, content):
    steps = context.folder / "features" / "steps"
    steps.mkdir(parents=True)
    (steps / "steps.py").write_text(STEPS)
    text = "Feature: a feature\n" + CONTENTS[content]
    (context.folder / "features" / "one.feature").write_text(text)


@when("runner: the feature file is run")
def step_run(context):
    context.result = run_feature(context.folder, "features/one.feature", RUN_TIMEOUT_S)


@then('runner: {passed:d} scenarios passed and "{failed:Anything}" failed')
def step_result(context, passed, failed):
    result = context.result
    assert len(result.passed) == passed, result.output
    assert result.failed == ((failed,) if failed else ()), result.output


@when("runner: {failed} fail and the list holds {listed}")
def step_verdict(context, failed, listed):
    result = FeatureResult("f", (), _words(failed), 0.0, "")
    known = parse_known_red(
        "".join(f"f:{name} | behave | it failed | #3\n" for name in _words(listed))
    )
    context.unexpected = sum_verdicts([result]).unexpected(known)


@then("runner: the unexpected failures are {names}")
def step_unexpected(context, names):
    assert context.unexpected == tuple(f"f:{name}" for name in _words(names))


@when("runner: a list with {lines} is read")
def step_list(context, lines):
    context.verdict = "accepted"
    try:
        parse_known_red(LISTS[lines])
    except KnownRedError:
        context.verdict = "refused"


@then("runner: the list is {verdict}")
def step_list_verdict(context, verdict):
    assert context.verdict == verdict


@then("runner: a feature tagged @fleet runs alone, and one that only mentions it does not")
def step_fleet(context):
    assert is_fleet_feature("@fleet\nFeature: x\n")
    assert is_fleet_feature("@slow @fleet\nFeature: x\n")
    assert not is_fleet_feature("@fleeting\nFeature: x\n")
    assert not is_fleet_feature("Feature: about the @fleet tag\n  @fleet\n  Scenario: y\n")


@given("runner: another checkout runs a fleet feature")
def step_other_checkout(context):
    lock = context.folder / "fleet.lock"
    context.other = fleet_turn(lock)
    context.other.__enter__()
    context.begun = threading.Event()

    def take_turn():
        with fleet_turn(lock):
            context.begun.set()

    threading.Thread(target=take_turn, daemon=True).start()


@then("runner: a fleet feature here does not begin")
def step_not_begun(context):
    assert not context.begun.wait(NOT_BEGUN_S)


@when("runner: the other checkout is done")
def step_other_done(context):
    context.other.__exit__(None, None, None)


@then("runner: a fleet feature here begins")
def step_begun(context):
    assert context.begun.wait(TURN_LIMIT_S)

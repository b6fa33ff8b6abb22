"""Steps for the simulation of controllers that keep their voters themselves."""

from __future__ import annotations

from behave import given, then, when

from limedyke.result_codes import ResultCode
from limedyke_lab.simulator.voters.faults import Fault, FaultKind
from limedyke_lab.simulator.voters.record import Sent, Shown, VoterRecord
from limedyke_lab.simulator.voters.run import run_voters

REFUSED = ResultCode.TOO_FEW_VOTERS.value.number
SHORT_S, SCRIPT_S = 6.0, 9.0


@given("voters simulation: a sound record")
def step_sound(context):
    context.record = VoterRecord(
        sent=[
            Sent(1, b"1", 0.0, 0.5, 0),
            Sent(2, b"2", 1.0, 1.5, REFUSED),
            Sent(2, b"2", 2.0, 2.5, None),
            Sent(2, b"2 otherwise", 3.0, 3.5, REFUSED),
        ],
        shown=[Shown("a", 1, b"1", 1.0), Shown("b", 2, b"2", 3.0)],
    )


@when("voters simulation: a controller shows a version older than one confirmed before")
def step_old(context):
    context.record.sent.append(Sent(2, b"2", 4.0, 4.5, 0))
    context.record.shown.append(Shown("a", 1, b"1", 5.0))


@when("voters simulation: a version is shown with two contents")
def step_two(context):
    context.record.sent.append(Sent(2, b"2 otherwise", 4.0, 4.5, 0))
    context.record.shown.append(Shown("a", 2, b"2 otherwise", 5.0))


@when("voters simulation: a declaration is shown whose every answer says did not run")
def step_refused(context):
    context.record.sent.append(Sent(3, b"3", 4.0, 4.5, REFUSED))
    context.record.shown.append(Shown("a", 3, b"3", 5.0))


@when("voters simulation: a declaration is shown while it is being sent")
def step_under_way(context):
    context.record.begin(3, b"3", 4.0)
    context.record.shown.append(Shown("a", 3, b"3", 5.0))


@then('voters simulation: the promise "{promise}" is broken')
def step_broken(context, promise):
    found = {violation.partition(":")[0] for violation in context.record.broken_promises()}
    assert found == {promise}, context.record.broken_promises()


@then("voters simulation: no promise is broken")
def step_kept(context):
    assert not context.record.broken_promises(), context.record.broken_promises()


@then("voters simulation: seed {seed:d} breaks no promise, and {count:d} changes are confirmed")
def step_seed(context, seed, count):
    result = run_voters(seed)
    assert not result.violations, (result.violations[:3], result.trace)
    assert result.confirmed >= count, result.confirmed


@then("voters simulation: seed {seed:d} with these faults breaks no promise")
def step_script(context, seed):
    script = [
        Fault(FaultKind(row["kind"]), float(row["time"]), 0.0, int(row["target"]))
        for row in context.table
    ]
    result = run_voters(seed, SCRIPT_S, script=script)
    assert not result.violations, (result.violations[:3], result.trace)


@then("voters simulation: seed {seed:d} is played alike twice")
def step_repeats(context, seed):
    assert run_voters(seed, SHORT_S) == run_voters(seed, SHORT_S)

"""Steps for the checkers and for replaying traces."""

from __future__ import annotations

import io
from contextlib import redirect_stdout
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from features.support.history_damage import MORE_DAMAGES
from limedyke_lab.checkers import measures
from limedyke_lab.checkers.damage import DAMAGES
from limedyke_lab.checkers.report import CHECKERS, check_all, count_by_checker
from limedyke_lab.checkers.revisions import CONFIRMED, REVISION
from limedyke_lab.demo import EXIT_OK, EXIT_VIOLATION, conclude
from limedyke_lab.history import (
    ClientOutcome,
    Event,
    History,
    Kind,
    MemberEntry,
    NoAnswer,
    Operation,
    read_records,
)
from limedyke_lab.load.outcome import meaning_of_answer
from limedyke_lab.load.trace_file import write_trace

TRACES = Path(__file__).resolve().parents[1] / "traces"
NANOSECONDS_PER_MS = 1_000_000


def operation(number: int, kind: Kind, start_ms: int, end_ms: int) -> Operation:
    return Operation(
        number=number,
        session="session",
        tenant="tenant",
        group="group",
        proxy="proxy-1",
        kind=kind,
        start_ns=start_ms * NANOSECONDS_PER_MS,
        end_ns=end_ms * NANOSECONDS_PER_MS,
        outcome=ClientOutcome.DONE,
        owner="session",
        traceable=True,
    )


@given('checkers: the trace "{name}"')
@given('replay: the trace "{name}"')
def given_trace(context, name):
    context.history = read_records([TRACES / f"{name}.jsonl"])


@when("checkers: all checkers run")
def when_checked(context):
    context.violations = check_all(context.history)


@then("checkers: no violations are reported")
def then_no_violations(context):
    assert not context.violations, [str(violation) for violation in context.violations]


@when('checkers: it is damaged for "{checker}" and all checkers run')
def when_damaged(context, checker):
    context.violations = check_all(DAMAGES[checker](context.history))


@then('checkers: "{checker}" finds something')
def then_found(context, checker):
    assert set(DAMAGES) == set(CHECKERS), "each checker needs a damage"
    assert count_by_checker(context.violations)[checker] > 0, "the damage was not detected"


@when('checkers: a statement fails with "{sqlstate:Anything}" and "{message}"')
def when_fails(context, sqlstate, message):
    context.meaning = meaning_of_answer(sqlstate, message)


@then('checkers: the caller concludes "{outcome}"')
def then_concludes(context, outcome):
    assert context.meaning.outcome == ClientOutcome(outcome), context.meaning


@given('checkers: writes completed at "{completed}" ms and a kill at {kill:d} ms')
def given_writes(context, completed, kill):
    operations = [
        operation(number, Kind.WRITE, int(end) - 1, int(end))
        for number, end in enumerate(completed.split(), 1)
    ]
    event = Event(kill * NANOSECONDS_PER_MS, "kill", "group-a")
    context.history = History(operations=tuple(operations), events=(event,))


@then('checkers: the failover gap is "{gap}" ms')
def then_gap(context, gap):
    (found,) = measures.failover_gaps(context.history)
    assert found.gap_ms == float(gap), found


@given(
    "checkers: a write, applied at a replica at {applied:d} ms, "
    "and a read that ends at {ended:d} ms"
)
def given_write_and_read(context, applied, ended):
    entry = MemberEntry(
        time_ns=applied * NANOSECONDS_PER_MS,
        member="group-b",
        connection=0,
        user="",
        application="",
        statement="INSERT INTO registers(number, owner) VALUES(1, 'session')",
        transaction=1,
        outcome="apply",
        term=1,
        position="0/1",
    )
    operations = (operation(1, Kind.WRITE, 0, 1), operation(2, Kind.READ, 2, ended))
    context.history = History(operations=operations, members=(entry,))


@then("checkers: the ceiling of the read share is {ceiling:f}")
def then_ceiling(context, ceiling):
    assert measures.read_share(context.history).ceiling == ceiling


@then("replay: it holds at least {count:d} operations")
def then_operations(context, count):
    assert len(context.history.operations) >= count, len(context.history.operations)


@then('replay: exactly these checkers find something: "{found:Anything}"')
def then_exactly(context, found):
    counts = count_by_checker(check_all(context.history))
    finding = {name for name, count in counts.items() if count}
    assert finding == set(found.split()), counts


@when('checkers: it is damaged by "{damage}" and all checkers run')
def when_damaged_by(context, damage):
    context.violations = check_all(MORE_DAMAGES[damage](context.history))


@given("checkers: an operation without answer from {start:d} to {end:d} ms at its proxy")
def given_unanswered(context, start, end):
    lost = operation(1, Kind.READ, start, end)
    lost = replace(lost, outcome=ClientOutcome.FAILED, no_answer=NoAnswer.CONNECTION_LOST)
    context.history = History(operations=(lost,))


@given("checkers: the proxy is {fault} from {began:d} to {undone:d} ms")
def given_fault(context, fault, began, undone):
    events = (
        Event(began * NANOSECONDS_PER_MS, fault, "proxy-1"),
        Event(undone * NANOSECONDS_PER_MS, "undo", "proxy-1"),
    )
    context.history = replace(context.history, events=events)


@then('checkers: "{checker}" finds {count:d} violations')
def then_count(context, checker, count):
    assert count_by_checker(context.violations)[checker] == count, context.violations


@given("checkers: a confirmed revision that came into force at a proxy")
def given_revision(context):
    last_ns = context.history.operations[-1].end_ns
    events = (Event(last_ns, CONFIRMED, "", 2), Event(last_ns + 1, REVISION, "proxy-1", 2))
    context.history = replace(context.history, events=(*context.history.events, *events))


@when("checkers: the demonstration concludes from it")
def when_concludes(context):
    output = io.StringIO()
    with redirect_stdout(output):
        context.code = conclude(context.history)
    context.output = output.getvalue()


@when('checkers: it is damaged for "{checker}" and the demonstration concludes from it')
def when_damaged_concludes(context, checker):
    context.history = DAMAGES[checker](context.history)
    when_concludes(context)


@then("checkers: it passes")
def then_passes(context):
    assert context.code == EXIT_OK, context.output


@then('checkers: it fails, with "{text}"')
def then_fails(context, text):
    assert context.code == EXIT_VIOLATION, context.output
    assert text in context.output, context.output


@when("replay: it is written and read again")
def when_written(context):
    path = context.folder / "trace.jsonl"
    write_trace(context.history, path)
    context.read_again = read_records([path])


@then("replay: both histories are equal")
def then_equal(context):
    assert context.read_again == context.history

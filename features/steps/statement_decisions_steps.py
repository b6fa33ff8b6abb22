"""Steps on the choice of the member for a read, and the wait for a primary."""

from __future__ import annotations

import re

from behave import given, then, when

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.primary_outage import OutageTimes, PrimaryOutage
from limedyke.core.statements.routing import order_for_read
from limedyke.core.statements.time_estimate import TimeEstimate
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import LogPosition

NOW = 100.0
CAPACITY = 3
REQUIRED = LogPosition(1, 10)
TOLERANCE_S = 0.002
NONE = "-"


@given("decisions: the primary a in z1, replicas b in z2 and c in z3, the proxy in z2")
def step_members(context):
    context.primary = "a"
    context.observed_members = {
        name: ObservedMember(
            AnnouncedMember(name, "g", f"{name}:1", zone, "v1", CAPACITY, MemberState.READY, False)
        )
        for name, zone in (("a", "z1"), ("b", "z2"), ("c", "z3"))
    }


def _seen(milliseconds):
    """Return an estimate whose spread is half of the usual time."""
    return TimeEstimate(milliseconds / 1_000, milliseconds / 2_000, True)


@given("decisions: all answer in {latency:d} ms")
def step_all_answer(context, latency):
    for name in context.observed_members:
        step_answers_in(context, name, latency)


@given("decisions: {name:w} answers in {latency:d} ms")
def step_answers_in(context, name, latency):
    context.observed_members[name].answer = _seen(latency)
    context.observed_members[name].opening = _seen(latency)


@given("decisions: {name:w} opened connections in {opened} ms and answered in {answers} ms")
def step_times_seen(context, name, opened, answers):
    context.observed = context.observed_members[name]
    for milliseconds in re.findall(r"\d+", opened):
        context.observed.connected(NOW, int(milliseconds) / 1_000)
    for milliseconds in re.findall(r"\d+", answers):
        context.observed.served(int(milliseconds) / 1_000)


@given("decisions: an answer of {name:w} was given up after {waited:d} ms")
def step_given_up_after(context, name, waited):
    context.observed_members[name].answer_took_at_least(waited / 1_000)


@given("decisions: {new:w} is new in the zone of {known:w}")
def step_new_in_zone(context, new, known):
    context.observed_members[new].assume_times_of(context.observed_members[known])


@then("decisions: its usual answer takes {usual:d} ms, and its longest healthy one {longest:d} ms")
def step_estimate(context, usual, longest):
    answer = context.observed.answer
    found = (round(answer.usual_s * 1_000), round(answer.longest_s * 1_000))
    assert found == (usual, longest), found


@given("decisions: {count:d} statements of this proxy are at {name:w}")
def step_outstanding(context, count, name):
    context.observed_members[name].outstanding = count
    for _ in range(count):
        context.observed_members[name].sent(NOW)


@given("decisions: {count:d} requests wait for a connection to {name:w}")
def step_waiting(context, count, name):
    context.observed_members[name].waiting = count


@given("decisions: {name:w} has been silent for {silence:d} ms{then_what}")
def step_silent_then(context, name, silence, then_what):
    step_silent(context, name, silence)
    if then_what == ", then answers":
        context.observed_members[name].answered(NOW, None)
    elif then_what == ", and is given up":
        context.observed_members[name].ended()
    else:
        raise AssertionError(f"unknown: {then_what}")


@given("decisions: {name:w} has been silent for {silence:d} ms")
def step_silent(context, name, silence):
    context.observed_members[name].sent(NOW - silence / 1_000)


@given("decisions: {name:w} can't be reached")
def step_unreachable(context, name):
    context.observed_members[name].probe_timed_out(NOW)


@given("decisions: {name:w} was found behind")
def step_behind(context, name):
    context.observed_members[name].lag.lacked(REQUIRED, None, NOW)


@then('decisions: the order for a read is "{order}"')
def step_order(context, order):
    observed_members = context.observed_members.values()
    found = order_for_read(observed_members, context.primary, REQUIRED, "z2", (), NOW)
    assert [observed.record.identity for observed in found] == order.split(), found


@then("decisions: {name:w} seems to hang: {answer:w}")
def step_hangs(context, name, answer):
    assert context.observed_members[name].seems_silent(NOW) == (answer == "yes")


@given("decisions: recent changes of primary took {times} ms")
def step_outage_times(context, times):
    outage_times = OutageTimes()
    for milliseconds in re.findall(r"\d+", times):
        outage_times.learn(int(milliseconds) / 1_000)
    context.outage = PrimaryOutage(outage_times)


@when("decisions: statements found no primary at {moments} ms")
def step_noticed(context, moments):
    for milliseconds in moments.split():
        context.outage.note_no_primary(NOW + int(milliseconds) / 1_000)


@when("decisions: the primary answers")
def step_primary_answers(context):
    context.outage.ended()


@then(
    "decisions: at {now:d} ms a statement is held until {until:d} ms, and the primary is "
    "expected in {left:d} ms"
)
def step_held(context, now, until, left):
    at = NOW + now / 1_000
    held_until = context.outage.hold_until(at) - NOW
    expected_left = context.outage.expected_left_s(at)
    assert abs(held_until - until / 1_000) < TOLERANCE_S, held_until
    assert abs(expected_left - left / 1_000) < TOLERANCE_S, expected_left

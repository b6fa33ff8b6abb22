"""Steps for the reports on lost leaderships, and for the call counts of a leader."""

from __future__ import annotations

import io

import logbook
from behave import given, then, when
from prometheus_client import CollectorRegistry

from features.support.agreement_script_tools import propose_accepted
from features.support.agreement_world import ScriptedCluster
from limedyke.controller.leading.call_counts import CALL_KINDS, CallCounts
from limedyke.controller.metrics import ControllerMetrics
from limedyke.messages.calls import CallAnswer
from limedyke.result_codes import ResultCode

CALL_S = 0.02
KIND_OF_NAME = {name: call for call, name in CALL_KINDS.items()}


@given("leader losses: voters a b c of which a leads")
def step_cluster(context):
    context.cluster = ScriptedCluster()
    context.leader = context.cluster.make_leader("a")


@given("leader losses: {count:d} changes are accepted")
def step_accepted(context, count):
    for _ in range(count):
        propose_accepted(context.cluster, context.leader)


@when("leader losses: a is cut off from the others, and proposes {count:d} more")
def step_cut(context, count):
    context.cluster.run(0.3)
    context.cluster.cut(context.leader)
    for _ in range(count):
        context.cluster.start_proposal(context.leader)
    assert context.cluster.run_until(lambda: context.leader.step_downs)


@then("leader losses: it steps down for {reason}")
def step_reason(context, reason):
    assert context.leader.step_downs[-1].reason == reason, context.leader.step_downs


@then(
    "leader losses: it reports that b and c were silent for {least:g} to {most:g} s, "
    "and {behind:d} entries behind"
)
def step_silent(context, least, most, behind):
    rounds = context.leader.step_downs[-1].rounds
    assert set(rounds.silent_s) == {"b", "c"}, rounds
    assert all(least <= seconds <= most for seconds in rounds.silent_s.values()), rounds
    assert set(rounds.behind.values()) == {behind}, rounds
    assert least <= rounds.confirmed_s <= most, rounds
    assert rounds.unsynced == 0, rounds


@then("leader losses: it reports that rounds were sent after the last one that was confirmed")
def step_rounds(context):
    rounds = context.leader.step_downs[-1].rounds
    assert rounds.sent > rounds.confirmed > 0, rounds
    assert rounds.led_s > rounds.confirmed_s, rounds


@given("leader losses: the call counts of a leader")
def step_counts(context):
    context.registry = CollectorRegistry()
    context.now = 0.0
    context.counts = CallCounts(ControllerMetrics(context.registry), context.now)
    context.lines = io.StringIO()
    handler = logbook.StreamHandler(context.lines, format_string="{record.message}")
    handler.push_application()
    context.add_cleanup(handler.pop_application)


def _answer(context, name: str, code: int = 0) -> None:
    call_class = KIND_OF_NAME[name]
    call = call_class.__new__(call_class)
    began_at = context.now
    context.now += CALL_S
    context.counts.answered(call, CallAnswer(code=code), began_at, context.now)


@when('leader losses: calls "{names}" take 20 ms each, and a "{failing}" fails')
def step_calls(context, names, failing):
    for name in names.split():
        _answer(context, name)
    _answer(context, failing, ResultCode.NOT_LEADER.value.number)


@then(
    "leader losses: the metrics count {count:d} of {kind} and {outcome:w}, "
    "and {others:d} of {other_kind} and {other:w}"
)
def step_metrics(context, count, kind, outcome, others, other_kind, other):
    def value(kind: str, outcome: str) -> float | None:
        labels = {"kind": kind, "outcome": outcome}
        return context.registry.get_sample_value("limedyke_controller_calls_total", labels)

    assert value(kind, outcome) == count
    assert value(other_kind, other) == others


@then("leader losses: no line is written within 5 s")
def step_no_line(context):
    assert not context.lines.getvalue()


@when('leader losses: {seconds:d} s pass, and a "{name}" is answered')
def step_pass(context, seconds, name):
    context.now += seconds
    _answer(context, name)


@then('leader losses: one line says "{counts}"')
def step_line(context, counts):
    lines = context.lines.getvalue().splitlines()
    assert len(lines) == 1, lines
    assert f"counts={counts} " in lines[0], lines
    assert "announce/ok:20" in lines[0], lines

"""Steps for the soak test."""

from __future__ import annotations

import signal
import subprocess
import sys

from behave import given, step, then, when

from features.soak.checks import check, check_load, check_stops, check_synchronous
from features.soak.load import (
    BATCH_DATABASE,
    MODEST,
    TENANTS,
    UNANSWERED,
    ClientRecord,
    ReadResult,
    StatementResult,
    WriteResult,
)
from features.soak.plan import draw_lateness, draw_plan
from features.soak.process_history import ProcessHistory, ProcessRecord, handles_signal
from features.soak.run import SoakShape, report, run_soak
from features.soak.stops import draw_series
from features.soak.waves import draw_waves
from features.support.line_platform.group import StandInGroup
from features.support.line_platform.member_log import Commit, Run

HEALED_AT = 10.0
LAST_SERVED_AT = 11.0
PLAN_S = 60.0
LIMITED = TENANTS[1]


def _commit(number, request_id):
    return Commit(3, number, request_id, (("c0", f"v{number}"),))


@given("soak: a sound history")
def step_sound(context):
    group = context.group = StandInGroup("g", ("a", "b"))
    commits = [_commit(1, "w1"), _commit(2, "w2")]
    for member in group.members.values():
        member.log.commits = list(commits)
    group.runs = [Run("a", "w1", "WRITE c0 v1", {}, False, 1.0, LIMITED.name)]
    record = context.record = ClientRecord("c0", LIMITED, {"w1", "w2", "w3", "r1"})
    record.writes = [
        WriteResult("w1", "v1", "done", 1.0),
        WriteResult("w2", "v2", "closed", 2.0),
        WriteResult("w3", "v3", "BUSY", 3.0),
    ]
    record.reads = [ReadResult("r1", "v2", record.allowed_values("w", 3.5), 4.0)]
    record.served = [LAST_SERVED_AT]
    context.history = ProcessHistory()
    context.extra = []


@when("soak: a member ran a statement that no client sent")
def step_foreign(context):
    context.group.runs.append(Run("b", "x9", "READ c0", {}, False, 5.0, LIMITED.name))


@when("soak: a member ran a statement for another tenant")
def step_other_tenant(context):
    context.group.runs.append(Run("b", "w2", "WRITE c0 v2", {}, False, 2.0, "free"))


@when("soak: a tenant ran more than its limit within a window")
def step_over_limit(context):
    for number in range(LIMITED.rate * 10):
        context.record.request_ids.add(f"o{number}")
        run = Run("b", f"o{number}", "READ c0", {}, False, 2.0 + number / 100, LIMITED.name)
        context.group.runs.append(run)


@when("soak: a write was committed twice")
def step_twice(context):
    context.group.members["a"].log.commits.append(_commit(3, "w1"))


@when("soak: a refused write was committed")
def step_refused(context):
    context.group.members["a"].log.commits.append(_commit(3, "w3"))


@when("soak: an acknowledged write is in no member's log")
def step_nowhere(context):
    for member in context.group.members.values():
        del member.log.commits[0]


@when("soak: a session read a value older than its last acknowledged write")
def step_older(context):
    _read(context, "v0", "w", 4.5)


def _read(context, value: str, session: str, sent_at: float) -> None:
    allowed = context.record.allowed_values(session, sent_at)
    context.record.request_ids.add("r2")
    context.record.reads.append(ReadResult("r2", value, allowed, sent_at + 0.5))


@when("soak: a new session missed a write acknowledged to its client {age:d} s earlier")
def step_new_session(context, age):
    context.record.writes.append(WriteResult("w4", "v4", "done", 4.0))
    for member in context.group.members.values():
        member.log.commits.append(_commit(4, "w4"))
    context.record.request_ids.add("w4")
    _read(context, "v2", "x", 4.0 + age)


@when("soak: a client was not served at the end")
def step_unserved(context):
    context.record.served = [HEALED_AT - 1]


def _ask_in_turn(record, count, refused, word, code):
    """Record statements of a client, spread over a second, of which the first ones are refused."""
    for number in range(count):
        is_refused = number < refused
        name = f"{record.name}-{number}"
        record.request_ids.add(name)
        sent_at = 5.0 + number / count
        words = (word if is_refused else "done", "I")
        result_code = code if is_refused else ""
        record.statements.append(
            StatementResult(name, PROXY, sent_at, sent_at + 0.01, words, result_code)
        )


@when("soak: a tenant that asked for {count:d} in a second was told that its limit is used up")
def step_modest_refused(context, count):
    record = ClientRecord("modest", MODEST)
    context.extra.append(record)
    _ask_in_turn(record, count, 0, "", "")
    record.statements.append(StatementResult("last", PROXY, 6.0, 6.01, ("BUSY", "I"), "LD3017"))
    record.request_ids.add("last")


@when("soak: {urgent:d} of 100 urgent statements and {batch:d} of 100 others were refused")
def step_turned_away(context, urgent, batch):
    others = ClientRecord("others", TENANTS[0], database=BATCH_DATABASE)
    context.extra.append(others)
    _ask_in_turn(context.record, 100, urgent, "BUSY", "LD2004")
    _ask_in_turn(others, 100, batch, "BUSY", "LD2004")


STOPPED_AT = 20.0
PROXY = "127.31.1.2"


def _stopped_proxy(context, took_s: float = 3.0, status: int = 0) -> ProcessRecord:
    """Record a proxy that is told to stop and exits; return its record."""
    process = ProcessRecord(PROXY, 0.0, STOPPED_AT, STOPPED_AT + took_s, status)
    context.history.processes.append(process)
    return process


def _unanswered(context, held_s: float, member: str = "") -> None:
    """Record a statement that is sent while the proxy stops, and not answered.

    :param member: the member that ran it, or empty
    """
    sent_at = STOPPED_AT + 2.0
    statement = StatementResult("u1", PROXY, sent_at, sent_at + held_s, (UNANSWERED,))
    context.record.request_ids.add(statement.request_id)
    context.record.statements.append(statement)
    if member:
        run = Run(member, statement.request_id, "READ c0", {}, False, sent_at, LIMITED.name)
        context.group.runs.append(run)


@when("soak: a stopping proxy ran a statement and did not answer")
def step_ran_unanswered(context):
    _stopped_proxy(context)
    _unanswered(context, 0.05, "a")


@when("soak: a stopping proxy held a statement and did not answer")
def step_held_unanswered(context):
    _stopped_proxy(context)
    _unanswered(context, 0.6)


@when("soak: a proxy that was told to stop exited after {took:d} s")
def step_ended_late(context, took):
    _stopped_proxy(context, took)


@when("soak: a proxy that was told to stop exited with {status:d}")
def step_ended_badly(context, status):
    _stopped_proxy(context, status=status)


@when("soak: {name:w} ended a proxy that {state} handle it")
def step_signalled(context, name, state):
    number = signal.Signals[name]
    process = ProcessRecord(PROXY, 0.0, ended_at=0.05, status=-number)
    if state == "could not yet":
        process.unhandled_signals.add(number)
    context.history.processes.append(process)


LEAVES_ALONE = "signal.signal(1, signal.SIG_DFL)"
"""Resets SIGHUP: a process inherits ignored signals, and under nohup SIGHUP is ignored."""


@then("soak: a process that {state} SIGHUP is known to handle it: {known}")
def step_handles(context, state, known):
    code = {"ignores": "signal.signal(1, signal.SIG_IGN)", "leaves alone": LEAVES_ALONE}[state]
    program = f"import signal, time; {code}; print('ready', flush=True); time.sleep(10)"
    process = subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE)
    try:
        assert process.stdout.readline() == b"ready\n"
        assert handles_signal(process.pid, signal.SIGHUP) == (known == "yes")
    finally:
        process.kill()
        process.communicate()


@when("soak: a killed proxy ran a statement and did not answer")
def step_killed(context):
    _stopped_proxy(context, status=-9).disturbed_at.append(STOPPED_AT + 2.04)
    _unanswered(context, 0.05, "a")


@when("soak: a statement reached a proxy as its connection ended")
def step_crossed(context):
    _stopped_proxy(context)
    _unanswered(context, 0.05)


def _violations(context):
    records = [context.record]
    extra = context.extra
    return [
        *check([*records, *extra], context.group, HEALED_AT, short_lived=extra),
        *check_stops([*records, *extra], context.group, context.history),
        *check_load([*records, *extra]),
        *check_synchronous([*records, *extra], context.group),
    ]


@then('soak: the promise "{promise}" is broken')
def step_broken(context, promise):
    assert {violation.promise for violation in _violations(context)} == {promise}


@then("soak: no promise is broken")
def step_unbroken(context):
    assert not _violations(context), _violations(context)


@then("soak: seed {one:d} draws the same faults twice, and seed {other:d} others")
def step_same(context, one, other):
    assert draw_plan(one, PLAN_S) == draw_plan(one, PLAN_S) != draw_plan(other, PLAN_S)


@then("soak: seed {one:d} draws the same series of stops twice, and seed {other:d} others")
def step_same_series(context, one, other):
    assert draw_series(one, PLAN_S) == draw_series(one, PLAN_S) != draw_series(other, PLAN_S)


@then("soak: seed {one:d} draws the same lateness twice, and seed {other:d} others")
def step_same_lateness(context, one, other):
    assert draw_lateness(one, PLAN_S) == draw_lateness(one, PLAN_S) != draw_lateness(other, PLAN_S)


@then("soak: seed {one:d} draws the same waves twice, and seed {other:d} others")
def step_same_waves(context, one, other):
    assert draw_waves(one, PLAN_S) == draw_waves(one, PLAN_S) != draw_waves(other, PLAN_S)


@when("soak: seed {seed:d}, with waves of load beside its faults, is played for {seconds:d} s")
def step_waves_played(context, seed, seconds):
    context.result = run_soak(seed, seconds, SoakShape(has_waves=True))


@when("soak: the {what} of seed {seed:d} are played for {seconds:d} s with {clients:d} clients")
def step_stops_played(context, what, seed, seconds, clients):
    shape = SoakShape(has_faults="faults" in what, has_stops=True, clients=clients)
    context.result = run_soak(seed, seconds, shape)


@when("soak: seed {seed:d}, whose members restart with empty logs, is played for {seconds:d} s")
def step_empties_played(context, seed, seconds):
    context.result = run_soak(seed, seconds, SoakShape(has_empty_restarts=True))


@when("soak: seed {seed:d}, whose commits wait for a replica, is played for {seconds:d} s")
def step_synchronous_played(context, seed, seconds):
    context.result = run_soak(seed, seconds, SoakShape(is_synchronous=True))


@when("soak: seed {seed:d}, whose announcements and calls are late, is played for {seconds:d} s")
def step_late_played(context, seed, seconds):
    context.result = run_soak(seed, seconds, SoakShape(has_faults=False, has_lateness=True))


@when("soak: a read of the primary missed a write acknowledged to its client {ms:d} ms earlier")
def step_missed_at_primary(context, ms):
    context.record.staleness_s = 0.0
    context.record.writes.append(WriteResult("w4", "v4", "done", 4.0))
    for member in context.group.members.values():
        member.log.commits.append(_commit(4, "w4"))
    _read(context, "v2", "x", 4.0 + ms / 1_000)


@when("soak: an acknowledged write was rolled back where commits wait for a replica")
def step_rolled_back(context):
    context.group.synchronous_replicas = 1
    context.group.rolled_back.add("w1")


@when("soak: seed {seed:d} is played for {seconds:d} s")
def step_played(context, seed, seconds):
    context.result = run_soak(seed, seconds)


@step("soak: it broke no promise, and served {count:d} statements")
def step_result(context, count):
    assert not context.result.violations, report(context.result)
    assert context.result.served >= count, report(context.result)

"""Steps for answers and outcomes with real member processes."""

from __future__ import annotations

import signal
import time

import curio
from behave import given, then, when
from postgresql.protocol import element3

from features.support.back_end_load import gate_of, set_switch
from features.support.unsafe_back_end import disable_safeguard
from limedyke.messages.work import AbandonWork, Access, PreparedStatement
from limedyke.result_codes import CODE_BY_NUMBER

TRANSACTION = 7
FAULTS = {
    "repeat the end of an answer": "duplicate_answer_tail",
    "cross two answers": "swap_answers",
}
FAULT_COUNT = 6
HELD_ANSWER_MS = 300
SHORT_WAIT_MS = 300
LAG_MS = 5_000
LETTER_LENGTH = ord("P")
LENGTH_AND_END_BYTES = 5


def _reported(answer):
    code = answer.end.code
    return CODE_BY_NUMBER[code].outcome.value if code else "done"


@given("outcomes: p1 has one connection to each member")
def step_one_connection(context):
    context.lab.lease("p1", 1, 0)
    gates = [gate_of(context, name) for name in context.lab.members.names]
    context.lab.wait(lambda: all(gate.pools["one"].size == 1 for gate in gates))
    context.lab.wait(lambda: all(gate.pools["one"].has_idle for gate in gates))


@given('outcomes: the safeguard "{name}" is {state}')
def step_safeguard(context, name, state):
    if state == "off":
        context.add_cleanup(disable_safeguard(name).close)


# Answers


def _is_wrong(answer, number):
    """Return whether anything but exactly the answer for this number was relayed."""
    if not answer.data:
        return False
    rows = answer.data.count(b"D\0\0\0")
    return rows != 1 or f"number {number}." not in answer.text


def _ask_number(context, number, access):
    answer = context.lab.ask(f"SELECT 'number {number}.'", access)
    return _is_wrong(answer, number) or (answer.end.code == 0 and not answer.data)


@when("outcomes: {count:d} times a {access} asks for its own number while members {fault}")
def step_numbers(context, count, access, fault):
    for member in context.lab.members.names:
        set_switch(context, member, FAULTS[fault], FAULT_COUNT, 0)
    context.wrong = [_ask_number(context, number, Access(access)) for number in range(count)]


@then("outcomes: it is {verdict} that a wrong answer was relayed")
def step_wrong(context, verdict):
    assert any(context.wrong) is (verdict == "true"), context.wrong


def _hold_answers(context, members):
    for member in members:
        set_switch(context, member, "delay_answers_ms", HELD_ANSWER_MS, 0)


def _release_answers(context, members):
    for member in members:
        context.lab.members.switch(member, "delay_answers_ms", 0)


def _start(context, unit):
    """Start a unit and wait until a member executes it."""
    lab = context.lab
    task = lab.run(curio.spawn, lab.answer, "p1", unit)
    local = lab.proxies["p1"]._local
    lab.wait(lambda: any(running.connection for running in local._running.values()))
    return task


@when("outcomes: a caller disconnects before its answer arrives, and another caller asks")
def step_late(context):
    lab = context.lab
    replicas = ("b",)
    lab.leaving = {"c"}
    lab.announce()
    _hold_answers(context, replicas)
    task = _start(context, lab.unit("SELECT 'number 1.'", Access.READ))
    lab.run(task.cancel)
    _release_answers(context, replicas)
    context.wrong = [_ask_number(context, number, Access.READ) for number in (2, 3)]


# Writes


@given("outcomes: member a cuts the connection behind the commit")
def step_cut(context):
    set_switch(context, "a", "drop_connection_after_execute", 1, 0)


@given("outcomes: member a has cut all idle connections")
def step_cut_idle(context):
    step_one_connection(context)
    pid = context.lab.ask("SELECT 'pid ' || pg_backend_pid()").text.split("pid ")[1].split("C")[0]
    context.lab.members.admin("a", f"SELECT pg_terminate_backend({pid})")
    connections = gate_of(context).pools["one"].connections
    context.lab.wait(lambda: not any(connection.check_idle() for connection in connections))


@given("outcomes: member a reaches no majority")
def step_no_majority(context):
    set_switch(context, "a", "freeze_replication", "on", "off")


@when("outcomes: a row is written with a deadline of {deadline_ms:d} ms")
def step_write_in_time(context, deadline_ms):
    sql = "INSERT INTO note (text) VALUES ('once')"
    context.answer = context.lab.ask(sql, deadline_ms=deadline_ms)
    assert not context.answer.data, context.answer.text


@when("outcomes: a row is written")
def step_write(context):
    context.answer = context.lab.ask("INSERT INTO note (text) VALUES ('once')")


@then("outcomes: the write is reported as {told}, and its row exists {times:d} times")
def step_write_reported(context, told, times):
    assert _reported(context.answer) == told, context.answer.end
    count = "SELECT count(*) FROM note WHERE text = 'once'"
    assert context.lab.members.admin("a", count) == [(times,)], context.answer.end


@when("outcomes: the primary is replaced while a write waits for its answer")
def step_replaced(context):
    lab = context.lab
    _hold_answers(context, ("a",))
    task = _start(context, lab.unit("INSERT INTO note (text) VALUES ('once')"))
    lab.term, lab.primary = 2, "b"
    lab.announce()
    context.answer = lab.run(task.join)


@then("outcomes: the write is reported as {told}")
@then("outcomes: the unit is reported as {told}")
def step_reported(context, told):
    assert _reported(context.answer) == told, context.answer.end


# Transactions


def _begin(context):
    for sql in ("BEGIN", "INSERT INTO note (text) VALUES ('open')"):
        answer = context.lab.ask(sql, transaction=TRANSACTION)
        assert answer.end.code == 0, answer.end


def _unit_of(context, sql):
    lab = context.lab
    if sql == "a prepared COMMIT":
        messages = (
            element3.Bind(b"", b"ps1", (), (), ()),
            element3.Execute(b"", 0),
            element3.SynchronizeMessage,
        )
        data = b"".join(message.bytes() for message in messages)
        prepared = (PreparedStatement("ps1", "COMMIT"),)
        return lab.unit("", transaction=TRANSACTION, data=data, prepared=prepared)
    if sql == "a COMMIT whose length is a letter":
        sql = "COMMIT".ljust(LETTER_LENGTH - LENGTH_AND_END_BYTES)
    return lab.unit(sql, transaction=TRANSACTION)


@when("outcomes: in a transaction the answer to {sql} is lost")
def step_lost_end(context, sql):
    lab = context.lab
    _begin(context)
    unit = _unit_of(context, sql)
    if "COMMIT" in sql:
        set_switch(context, "a", "drop_connection_after_execute", 1, 0)
        context.answer = lab.run(lab.answer, "p1", unit)
        return
    _hold_answers(context, ("a",))
    task = _start(context, unit)
    gate_of(context).shut_all()
    context.answer = lab.run(task.join)


@when("outcomes: a transaction has written and its {who} disconnects")
def step_goes_away(context, who):
    lab = context.lab
    _begin(context)
    proxy = lab.proxies["p1"]
    if who == "proxy":
        lab.run(proxy.close)
    else:
        lab.run(proxy.abandon, AbandonWork(0, TRANSACTION, False))


@then("outcomes: its row does not exist, and its locks are free")
def step_rolled_back(context):
    members = context.lab.members
    members.admin("a", "INSERT INTO note (text) VALUES ('next')")
    assert members.admin("a", "SELECT text FROM note") == [("next",)]


# Reads


def _no_primary(context):
    lab = context.lab
    settings = lab.settings["p1"].model_copy(update={"failover_wait_ms": SHORT_WAIT_MS})
    lab.proxies["p1"]._local._settings = settings
    lab.term, lab.primary = 2, ""
    lab.announce()


@given("outcomes: no primary, and the replicas repeat each answer's end")
def step_bad_replicas(context):
    context.token = context.lab.ask("SELECT 1").end.position
    for member in ("b", "c"):
        set_switch(context, member, "duplicate_answer_tail", 100, 0)
    _no_primary(context)


@given("outcomes: no primary, and the replicas are behind the token")
def step_behind(context):
    for member in ("b", "c"):
        set_switch(context, member, "lag_ms", LAG_MS, 0)
    context.token = context.lab.ask("INSERT INTO note (text) VALUES ('x')").end.position
    _no_primary(context)


@given("outcomes: no primary, and the replicas take no connections")
def step_no_replicas(context):
    context.token = context.lab.ask("SELECT 1").end.position
    for member in ("b", "c"):
        _refuse(context, member)
    _no_primary(context)


def _refuse(context, member):
    """Make a member refuse connections, and shut down those that are open.

    This waits for connections that were being opened, which the member still accepts.
    """
    set_switch(context, member, "refuse_connections", "on", "off")
    gate = gate_of(context, member)
    context.lab.wait(lambda: not any(pool.get_stats().opening for pool in gate.pools.values()))
    gate.shut_all()


@when("outcomes: a read is refused after its retries")
def step_read(context):
    context.answer = context.lab.ask("SELECT 1", Access.READ, required=context.token)
    assert context.answer.end.code and context.answer.end.retry_after_ms > 0


@given("outcomes: replica {member} refuses connections")
def step_refuses(context, member):
    _refuse(context, member)


@given("outcomes: replica {member} is frozen")
def step_frozen(context, member):
    context.lab.members.signal(member, signal.SIGSTOP)
    context.add_cleanup(context.lab.members.signal, member, signal.SIGCONT)


@when("outcomes: {count:d} reads ask for their own number")
def step_reads(context, count):
    started = time.monotonic()
    context.answers = [
        context.lab.ask(f"SELECT 'number {number}.'", Access.READ) for number in range(count)
    ]
    context.seconds = time.monotonic() - started


@then("outcomes: all were answered completely, none by {member}")
def step_elsewhere(context, member):
    for number, answer in enumerate(context.answers):
        assert answer.end.code == 0 and not _is_wrong(answer, number), answer.end
    assert member not in {answer.end.member for answer in context.answers}

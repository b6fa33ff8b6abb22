"""Steps for requests that run at most once."""

from __future__ import annotations

import re
import time
from unittest import mock

import curio
from behave import given, then, when

from limedyke.postgres.member_batch import split_batch
from limedyke.proxy.local_executor import LocalExecutor
from limedyke.proxy.unit_write import UnitWrite
from limedyke.result_codes import CODE_BY_NUMBER, Outcome, ResultCode

TRANSACTION = 8
WRITE = "INSERT INTO note (text) VALUES ('once')"
COUNT = "SELECT count(*) FROM note WHERE text = 'once'"
FAULTS = {
    "repeat the end of an answer": "duplicate_answer_tail",
    "cross two answers": "swap_answers",
}
FAULT_COUNT = 6
HELD_ANSWER_MS = 300
RETRY_S = 5.0
PROMOTED_TERM = 2
_run = LocalExecutor._run


async def _run_without_key(self, context):
    if context.unit.once_key and not context.unit.transaction:
        return await UnitWrite(context).run()
    return await _run(self, context)


@given("once: proxy p2 with the same members")
def step_second_proxy(context):
    context.lab.add_proxy("p2")
    context.key = f"key-{time.monotonic_ns()}"


@given('once: the safeguard "key" is {state}')
def step_safeguard(context, state):
    if state == "off":
        patch = mock.patch.object(LocalExecutor, "_run", _run_without_key)
        patch.start()
        context.add_cleanup(patch.stop)


def _cut_commits(context, count=1):
    context.lab.members.switch("a", "drop_connection_after_execute", count)
    context.add_cleanup(context.lab.members.switch, "a", "drop_connection_after_execute", 0)


def _send(context, proxy):
    return context.lab.ask(WRITE, proxy=proxy, once_key=context.key)


def _send_in_transaction(context, proxy):
    lab = context.lab
    lab.ask("BEGIN", proxy=proxy, transaction=TRANSACTION)
    lab.ask(WRITE, proxy=proxy, transaction=TRANSACTION, once_key=context.key)
    return lab.ask("COMMIT", proxy=proxy, transaction=TRANSACTION)


def _is_unknown(answer):
    return answer.end.code in (
        ResultCode.OUTCOME_UNKNOWN.value.number,
        ResultCode.PRIMARY_REPLACED.value.number,
    )


@when("once: the answer to a keyed write {lost}, and the caller repeats it {again}")
def step_keyed(context, lost, again):
    lab = context.lab
    if lost == "is not waited for":
        unit = lab.unit(WRITE, once_key=context.key)
        first = lab.run(curio.spawn, lab.answer, "p1", unit)
        context.answer = _send(context, "p2")
        lab.run(first.join)
        return
    if lost == "of a transaction is lost":
        _cut_commits(context)
        assert _is_unknown(_send_in_transaction(context, "p1"))
        context.answer = _send_in_transaction(context, "p2")
        return
    if lost == "is lost behind the commit":
        _cut_commits(context, 2 if "and then" in again else 1)
    first = _send(context, "p1")
    assert _is_unknown(first) is (lost != "comes"), first.end
    for proxy in re.findall(r"p\d", again):
        context.answer = _send(context, proxy)


@when("once: the answer to a keyed write is lost behind the commit, and member b is promoted")
def step_promoted(context):
    lab = context.lab
    lab.ask("SELECT 1", once_key="first-use-makes-the-table")
    _cut_commits(context)
    assert _is_unknown(_send(context, "p1"))
    for name in ("b", "c"):
        lab.members.admin(name, f"SELECT group_promise({PROMOTED_TERM}, 'test')", "limedyke_admin")
    lab.members.admin("b", f"SELECT group_promote({PROMOTED_TERM})", "limedyke_admin")
    lab.term, lab.primary = PROMOTED_TERM, "b"
    lab.announce()


@when("once: the caller repeats it through {proxy}")
def step_again(context, proxy):
    context.answer = _send(context, proxy)


@then("once: the row exists {times:d} times, and the caller got a successful answer")
def step_times(context, times):
    assert context.answer.end.code == 0, context.answer.end
    assert context.lab.members.admin(context.lab.primary, COUNT) == [(times,)]


@when("once: the answer to a write without a key is lost behind the commit")
def step_without_key(context):
    _cut_commits(context)
    context.answer = context.lab.ask(WRITE)


@when("once: the answer to a write without a key is lost before it executes")
def step_before_execution(context):
    lab = context.lab
    lab.members.switch("a", "execute_ms", HELD_ANSWER_MS)
    context.add_cleanup(lab.members.switch, "a", "execute_ms", 0)
    task = lab.run(curio.spawn, lab.answer, "p1", lab.unit(WRITE))
    local = lab.proxies["p1"]._local
    lab.wait(lambda: any(running.connection for running in local._running.values()))
    for name in ("p1", "p2"):
        lab.proxies[name]._groups["g"].gates["a"].shut_all()
    context.answer = lab.run(task.join)
    lab.members.switch("a", "execute_ms", 0)


@then("once: its outcome is unknown, and its row exists {times:d} times")
def step_unknown(context, times):
    assert _is_unknown(context.answer), context.answer.end
    assert context.lab.members.admin("a", COUNT) == [(times,)]


@when("once: a key is used for {first} and then for {second}")
def step_two_uses(context, first, second):
    context.lab.ask(first, once_key=context.key)
    context.answer = context.lab.ask(second, proxy="p2", once_key=context.key)


@then("once: the second is {verdict}")
def step_second(context, verdict):
    answer = context.answer
    refused = answer.end.code == ResultCode.ONCE_KEY_CONFLICT.value.number
    assert refused is (verdict == "refused"), answer.end
    assert ("ran before" in answer.text) is (verdict == "repeated"), answer.text
    for kind, body in split_batch(answer.data):
        assert kind != b"N" or body.endswith(b"\0\0"), "a notice without its end"


@when("once: {count:d} keyed writes ask for their own number while member a does {fault}")
def step_crossed(context, count, fault):
    lab = context.lab
    lab.lease("p1", 1, 0)
    lab.ask("SELECT 1", once_key="first-use-makes-the-table")
    lab.members.switch("a", FAULTS[fault], FAULT_COUNT)
    context.add_cleanup(lab.members.switch, "a", FAULTS[fault], 0)
    context.answers = []
    for number in range(count):
        sql = f"INSERT INTO note (text) VALUES ('mine {number}.') RETURNING text"
        key = f"{context.key}-{number}"
        context.answers.append(lab.ask(sql, once_key=key))


@then(
    "once: each request gets its own complete answer, or a code that says it did not "
    "run or is unknown"
)
def step_own(context):
    rows = {text for (text,) in context.lab.members.admin("a", "SELECT text FROM note")}
    for number, answer in enumerate(context.answers):
        written = f"mine {number}." in rows
        if answer.end.code == 0:
            own = [f"mine {number}."] == re.findall(r"mine \d+\.", answer.text)
            assert own and written, (number, answer.end, answer.text)
            continue
        assert not answer.data, answer.text
        if CODE_BY_NUMBER[answer.end.code].outcome is Outcome.DID_NOT_RUN:
            assert not written, (number, answer.end)
    assert any(answer.end.code == 0 for answer in context.answers)

"""Steps for reads on replicas of real member processes."""

from __future__ import annotations

import shutil
import signal
import time
from unittest import mock

import curio
from behave import given, then, when
from result import Ok

from features.support.back_end_lab import MemberGroup, make_lab, shared_members
from limedyke.messages.work import Access, LogPosition
from limedyke.proxy.unit_read import UnitRead

READ_WAIT_S = 5.0


async def _no_bound(self):
    return Ok(self._unit.required)


SAFEGUARDS = {
    "replica position": (UnitRead, "_accepts_replica", lambda self, answer: True),
    "barrier": (UnitRead, "_find_required", _no_bound),
    "staleness": (UnitRead, "_find_required", _no_bound),
}


@given("back ends: proxy p1 with the shared members")
def step_shared(context):
    make_lab(context, shared_members())
    members = context.lab.members
    members.admin("a", "DELETE FROM note")
    for name in ("b", "c"):
        members.switch(name, "lag_ms", 0)
        members.wait(lambda name=name: members.admin(name, "SELECT count(*) FROM note") == [(0,)])


@given("back ends: proxy p1 with separate members")
def step_own(context):
    members = MemberGroup("127.92.2", connect_delay_ms=0)
    context.add_cleanup(members.stop)
    make_lab(context, members)


@given("back ends: the replicas lag by {lag_ms:d} ms")
def step_lag(context, lag_ms):
    for name in ("b", "c"):
        context.lab.members.switch(name, "lag_ms", lag_ms)
        context.add_cleanup(context.lab.members.switch, name, "lag_ms", 0)


@given('back ends: the safeguard "{name}" is {state}')
def step_safeguard(context, name, state):
    if state == "off":
        owner, attribute, replacement = SAFEGUARDS[name]
        patch = mock.patch.object(owner, attribute, replacement)
        patch.start()
        context.add_cleanup(patch.stop)


def _write_and_read(context, times, **changes):
    context.seen = []
    for number in range(times):
        written = context.lab.ask(f"INSERT INTO note VALUES ({number}, 'x')")
        assert written.end.code == 0, written.end
        if "barrier" not in changes:
            changes["required"] = written.end.position
        sql = f"SELECT 'row' || id FROM note WHERE id = {number}"
        read = context.lab.ask(sql, Access.READ, **changes)
        assert read.end.code == 0, read.end
        context.seen.append(f"row{number}" in read.text)


@when("back ends: {times:d} times a row is written and read back with its token")
def step_token(context, times):
    _write_and_read(context, times)


@when("back ends: {times:d} times a row is written and read back with a barrier")
def step_barrier(context, times):
    _write_and_read(context, times, barrier=True)


@when("back ends: a row older than {age_ms:d} ms is read with a staleness bound of {bound_ms:d} ms")
def step_staleness(context, age_ms, bound_ms):
    context.lab.ask("INSERT INTO note VALUES (1, 'x')")
    context.lab.run(curio.sleep, (age_ms + 50) / 1_000)
    read = context.lab.ask("SELECT 'row' || id FROM note", Access.READ, staleness_ms=bound_ms)
    context.seen = ["row1" in read.text]


@then("back ends: the row was {outcome}")
def step_outcome(context, outcome):
    expected = outcome == "seen each time"
    assert all(context.seen) is expected, context.seen


@when("back ends: a row is written, and once the replicas have it {times:d} reads ask for it")
def step_caught_up(context, times):
    lab = context.lab
    position = lab.ask("INSERT INTO note VALUES (1, 'x')").end.position
    for name in ("b", "c"):
        lab.members.wait(lambda n=name: lab.members.admin(n, "SELECT id FROM note") == [(1,)])
    reads = [lab.ask("SELECT id FROM note", Access.READ, required=position) for _ in range(times)]
    context.served = [read.end.by_replica for read in reads]


@then("back ends: replicas served all of them")
def step_by_replica(context):
    assert all(context.served), context.served


@when("back ends: a read-only transaction of 4 statements runs")
def step_read_transaction(context):
    statements = ("BEGIN READ ONLY", "SELECT 1", "SELECT 2", "COMMIT")
    answers = [context.lab.ask(sql, Access.READ, transaction=9) for sql in statements]
    assert all(answer.end.code == 0 for answer in answers), [a.end for a in answers]
    context.served = [(a.end.member, a.end.by_replica) for a in answers]


@then("back ends: one replica served all of them")
def step_one_replica(context):
    assert len(set(context.served)) == 1 and context.served[0][1], context.served


@when("back ends: a row is written and read on replica c alone")
def step_read_on_c(context):
    lab = context.lab
    context.position = lab.ask("INSERT INTO note VALUES (1, 'x')").end.position
    lab.leaving = {"b"}
    lab.announce()
    deadline = time.monotonic() + READ_WAIT_S
    while lab.ask("SELECT 1", Access.READ, required=context.position).end.member != "c":
        assert time.monotonic() < deadline
    lab.leaving = set()
    lab.announce()


@when("back ends: member c loses its data and restarts, cut off from its primary")
def step_loses_data(context):
    lab = context.lab
    lab.members.signal("c", signal.SIGKILL)
    lab.members.processes["c"].wait()
    shutil.rmtree(lab.members.folder / "c")
    lab.members.switch("a", "freeze_replication", "on")
    context.add_cleanup(lab.members.switch, "a", "freeze_replication", "off")
    lab.members.start("c")
    lab.members.wait(lambda: lab.members.admin("c", "SELECT group_term()") == [(0,)])


@then("back ends: a read with the token is not served by c, and sees the row")
def step_not_c(context):
    assert context.position.satisfies(LogPosition(1, 1))
    for _ in range(10):
        read = context.lab.ask("SELECT id FROM note", Access.READ, required=context.position)
        assert read.end.code == 0 and read.end.member != "c", read.end
        assert read.data.count(b"D\0\0\0") == 1, read.text

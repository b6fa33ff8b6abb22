"""Steps for work that is forwarded to home proxies, before real member processes."""

from __future__ import annotations

import gc
import time
from contextlib import ExitStack
from unittest import mock

import curio
from behave import given, then, when

from limedyke.messages.work import AbandonWork, Access
from limedyke.proxy.forwarding import link as forwarding_link
from limedyke.proxy.forwarding import server as forwarding_server
from limedyke.result_codes import CODE_BY_NUMBER, ResultCode

TRANSACTION = 9
HELD_ANSWER_MS = 300
HOLD_S = 0.3
COUNT = "SELECT count(*) FROM note WHERE text = 'forwarded'"
WRITE = "INSERT INTO note (text) VALUES ('forwarded')"
ROW_BYTES = 50_000
NO_LIMIT_S = 3_600.0
NO_WINDOW_BYTES = 1 << 40
FAILOVER_WAIT_MS = 600
SHORT_SILENCES = (
    (forwarding_link, "SILENCE_BEFORE_PROBE_S", 0.2),
    (forwarding_link, "SILENCE_LIMIT_S", 0.6),
    (forwarding_server, "SERVED_SILENCE_LIMIT_S", 1.2),
)
SAFEGUARDS = {
    "silence": ("SERVED_SILENCE_LIMIT_S", NO_LIMIT_S),
    "window": ("STREAM_WINDOW_BYTES", NO_WINDOW_BYTES),
}


@given("forwarding: proxy p2 without a lease")
def step_without_lease(context):
    patches = ExitStack()
    for module, name, value in SHORT_SILENCES:
        patches.enter_context(mock.patch.object(module, name, value))
    context.add_cleanup(patches.close)
    context.lab.add_proxy("p2", lease=0, failover_wait_ms=FAILOVER_WAIT_MS)
    context.lab.announce()


@given("forwarding: {others} other home proxy p3")
def step_other_home(context, others):
    if others != "no":
        context.lab.add_proxy("p3", zone="z3")


@given("forwarding: another home proxy p3")
def step_another_home(context):
    step_other_home(context, "one")


@given("forwarding: a nearer home proxy that never answers, and another home proxy p3")
def step_frozen_home(context):
    lab = context.lab
    lab.add_proxy("p3", zone="z3")
    lab.run(lab.servers["p1"].cancel)


@when("forwarding: {count:d} reads run one after the other through p2")
def step_one_by_one(context, count):
    context.times = []
    for _ in range(count):
        started = time.monotonic()
        assert _ask(context, "SELECT 1", Access.READ).end.code == 0
        context.times.append(time.monotonic() - started)


@then(
    "forwarding: all were done, the slowest in less than {slowest_ms:d} ms "
    "and the others in less than {others_ms:d} ms"
)
def step_times(context, slowest_ms, others_ms):
    *others, slowest = sorted(context.times)
    assert slowest * 1_000 < slowest_ms and others[-1] * 1_000 < others_ms, context.times


@given('forwarding: the safeguard "{name}" is {state}')
def step_safeguard(context, name, state):
    if state == "off":
        attribute, value = SAFEGUARDS[name]
        patch = mock.patch.object(forwarding_server, attribute, value)
        patch.start()
        context.add_cleanup(patch.stop)


def _ask(context, sql, access=Access.WRITE, **changes):
    return context.lab.ask(sql, access, proxy="p2", **changes)


def _in_transaction(context, *statements):
    answers = [_ask(context, sql, transaction=TRANSACTION) for sql in statements]
    assert all(answer.end.code == 0 for answer in answers), [a.end for a in answers]
    return answers


@when("forwarding: a transaction of 4 statements runs through p2")
def step_transaction(context):
    pid = "SELECT 'pid ' || pg_backend_pid()"
    answers = _in_transaction(context, "BEGIN", pid, WRITE, pid, "COMMIT")
    context.pids = {answers[index].text.split("pid ")[1].split("C")[0] for index in (1, 3)}


@then("forwarding: all ran on one connection, and its row is there")
def step_one_connection(context):
    assert len(context.pids) == 1, context.pids
    assert context.lab.members.admin("a", COUNT) == [(1,)]


def _start(context, unit, home="p1"):
    """Start a unit at p2 and wait until a member executes it for the home proxy."""
    lab = context.lab
    task = lab.run(curio.spawn, lab.answer, "p2", unit)
    local = lab.proxies[home]._local
    lab.wait(lambda: any(running.connection for running in local._running.values()))
    return task


def _hold(context, switch):
    """Have the members delay answers, or the execution of statements."""
    for member in context.lab.members.names:
        context.lab.members.switch(member, switch, HELD_ANSWER_MS)
        context.add_cleanup(context.lab.members.switch, member, switch, 0)


async def _drop(_message):
    return


def _cut(context, fate):
    lab = context.lab
    if fate == "dies":
        lab.kill("p1")
    elif fate == "is no more heard":
        for link in lab.served_links["p1"]:
            link.send = _drop
    else:
        _cut_requests(context)


def _cut_requests(context):
    for link in context.lab.proxies["p2"]._forwarding.links.links():
        link._link.send = _drop


def _unit(context, work):
    lab = context.lab
    if work == "a read":
        return lab.unit("SELECT 'answer'", Access.READ)
    if work == "a write":
        return lab.unit(WRITE)
    _in_transaction(context, "BEGIN", WRITE)
    sql = "COMMIT" if work == "a COMMIT" else "SELECT 1"
    return lab.unit(sql, transaction=TRANSACTION)


@when("forwarding: {work} runs through p2 and its home proxy {fate}")
def step_fate(context, work, fate):
    lab = context.lab
    if fate == "hears no more":
        _ask(context, "SELECT 1")
    unit = _unit(context, work)
    if fate == "hears no more":
        _cut_requests(context)
        started = time.monotonic()
        context.answer = lab.run(lab.answer, "p2", unit)
    else:
        _hold(context, "execute_ms" if work == "a write" and fate == "dies" else "delay_answers_ms")
        task = _start(context, unit)
        started = time.monotonic()
        _cut(context, fate)
        context.answer = lab.run(task.join)
    context.seconds = time.monotonic() - started


@then(
    "forwarding: its outcome is {told} in less than {within_s:d} s, and its row is "
    "there {times:d} times"
)
def step_told(context, told, within_s, times):
    code = context.answer.end.code
    assert (CODE_BY_NUMBER[code].outcome.value if code else "done") == told, context.answer.end
    assert context.seconds < within_s, context.seconds
    members = context.lab.members
    members.wait(lambda: members.admin("a", COUNT) == [(times,)])


def _open_transaction(context):
    _in_transaction(context, "BEGIN", WRITE)
    assert context.lab.proxies["p1"]._local.open_transactions == 1


@when("forwarding: p2 has written in a transaction and is cut off from its home proxy")
def step_cut_off(context):
    _open_transaction(context)
    _cut_requests(context)
    for link in context.lab.proxies["p2"]._forwarding.links.links():
        link._link.close = _stay_open


async def _stay_open():
    """Ignore the close of a link, as when no packet arrives."""


@when("forwarding: p2 has written in a transaction and its caller disconnects")
def step_caller_gone(context):
    _open_transaction(context)
    lab = context.lab
    lab.run(lab.proxies["p2"].abandon, AbandonWork(0, TRANSACTION, False))


@then("forwarding: its locks are free after {seconds:d} s is {free}")
def step_free(context, seconds, free):
    local = context.lab.proxies["p1"]._local
    deadline = time.monotonic() + seconds
    while local.open_transactions and time.monotonic() < deadline:
        context.lab.run(curio.sleep, 0.02)
    assert (local.open_transactions == 0) is (free == "true")
    if free == "true":
        assert context.lab.members.admin("a", COUNT) == [(0,)]
        context.lab.members.admin("a", "INSERT INTO note (text) VALUES ('next')")


class _SlowReader:
    """Receives the first part of an answer, and the rest only when ``go_on`` is set."""

    def __init__(self):
        self.go_on = curio.Event()
        self.size = 0

    async def __call__(self, chunk):
        """Receive a part."""
        self.size += len(chunk.data)
        await self.go_on.wait()


@when("forwarding: a caller of p2 stops reading in the middle of {size:d} bytes")
def step_slow(context, size):
    lab = context.lab
    row = "x" * ROW_BYTES
    for _ in range(size // ROW_BYTES // 10):
        values = ", ".join([f"('{row}')"] * 10)
        lab.members.admin("a", f"INSERT INTO note (text) VALUES {values}")
    context.size = size
    context.reader = _SlowReader()
    sent = context.sent = []
    put = forwarding_server.Outbox.put

    async def count(self, message):
        sent.append(len(getattr(message, "data", b"")))
        await put(self, message)

    patch = mock.patch.object(forwarding_server.Outbox, "put", count)
    patch.start()
    context.add_cleanup(patch.stop)
    unit = lab.unit("SELECT text FROM note")
    context.task = lab.run(curio.spawn, lab.proxies["p2"].run, unit, context.reader)
    lab.wait(lambda: context.reader.size > 0)
    lab.run(curio.sleep, HOLD_S)


@then("forwarding: the home proxy has sent no more than {limit:d} bytes is {verdict}")
def step_bounded(context, limit, verdict):
    home_bytes = sum(context.sent) - len(context.sent)
    assert (home_bytes <= limit) is (verdict == "true"), home_bytes


@then("forwarding: the caller gets all of it when it continues to read")
def step_reads_on(context):
    context.lab.run(context.reader.go_on.set)
    end = context.lab.run(context.task.join)
    assert end.code == 0 and context.reader.size >= context.size, (end, context.reader.size)


@when("forwarding: p1 drains with a transaction of p2 open")
def step_drain(context):
    lab = context.lab
    _open_transaction(context)
    context.task = lab.run(curio.spawn, lab.proxies["p1"].drain)
    lab.wait(lambda: lab.proxies["p1"]._serving.draining)


@then("forwarding: new work of p2 runs at p3, and the open transaction completes")
def step_drained(context):
    lab = context.lab
    local = lab.proxies["p3"]._local
    with mock.patch.object(local, "run", wraps=local.run) as run:
        assert _ask(context, "SELECT 1", Access.READ).end.code == 0
    assert run.call_count == 1
    _in_transaction(context, WRITE, "COMMIT")
    lab.run(context.task.join)
    assert lab.members.admin("a", COUNT) == [(2,)]


@given("forwarding: p1 has no lease of the tenant, {others}")
def step_no_lease(context, others):
    lab = context.lab
    lab.lease("p1", 0, 2)
    if others == "and p3 has none":
        lab.lease("p3", 0, 2)


@given("forwarding: p1 is no longer a home proxy, but still has its lease")
def step_no_home(context):
    context.lab.homes = tuple(name for name in context.lab.homes if name != "p1")
    context.lab.announce()


@when("forwarding: a read behind a barrier comes through {proxy}")
def step_barrier_through(context, proxy):
    started = time.monotonic()
    context.answer = context.lab.ask(COUNT, Access.READ, proxy, barrier=True)
    context.seconds = time.monotonic() - started


@then("forwarding: the read is answered in less than {within_ms:d} ms")
def step_read_answered(context, within_ms):
    assert context.answer.end.code == 0, context.answer.end
    assert context.seconds * 1_000 < within_ms, context.seconds


@when("forwarding: a write comes through {proxy}")
def step_write_through(context, proxy):
    started = time.monotonic()
    context.answer = context.lab.ask(WRITE, proxy=proxy)
    context.seconds = time.monotonic() - started


@when("forwarding: a write waits for a primary at p1, and the lease of p1 ends")
def step_lease_ends(context):
    lab = context.lab
    lab.term, lab.primary = 2, ""
    lab.announce()
    task = lab.run(curio.spawn, lab.answer, "p2", lab.unit(WRITE))
    lab.wait(lambda: lab.proxies["p1"]._local.running_units == 1)
    lab.term, lab.primary = 1, "a"
    for name in ("p1", "p2", "p3"):
        lab.proxies[name]._groups["g"].view.term = 0
    lab.proxies["p3"]._groups["g"].view.declare(lab.view().groups["g"], lab.view().primaries["g"])
    started = time.monotonic()
    lab.lease("p1", 0, 2)
    context.answer = lab.run(task.join)
    context.seconds = time.monotonic() - started


@then(
    "forwarding: its outcome is {told} in less than {within_ms:d} ms, with a retry delay is {hint}"
)
def step_told_with_hint(context, told, within_ms, hint):
    end = context.answer.end
    found = CODE_BY_NUMBER[end.code].outcome.value if end.code else "done"
    assert found == told, end
    assert context.seconds * 1_000 < within_ms, context.seconds
    assert (end.retry_after_ms > 0) is (hint == "true"), end
    assert context.lab.members.admin("a", COUNT) == [(int(told == "done"),)]


@when("forwarding: {count:d} reads run through p2")
def step_reads(context, count):
    _ask(context, "SELECT 1", Access.READ)
    context.tasks_before = _live_tasks()
    for _ in range(count):
        assert _ask(context, "SELECT 1", Access.READ).end.code == 0


def _live_tasks():
    gc.collect()
    return sum(isinstance(item, curio.Task) for item in gc.get_objects())


@then("forwarding: p1 has no tasks left of them")
def step_no_tasks(context):
    more = _live_tasks() - context.tasks_before
    assert more < 20, more


@when("forwarding: a write whose time is over arrives at p1, {which}")
def step_expired(context, which):
    transaction = TRANSACTION if which == "in an open transaction" else 0
    if transaction:
        assert context.lab.ask("BEGIN", transaction=transaction).end.code == 0
    context.answer = context.lab.ask(WRITE, transaction=transaction, deadline_ms=0)


@then("forwarding: it is refused as {code:w}, nothing was written, and no transaction is open")
def step_expired_refused(context, code):
    end = context.answer.end
    assert end.code == ResultCode[code].value.number, end
    assert context.lab.members.admin("a", COUNT) == [(0,)]
    assert context.lab.proxies["p1"]._local.open_transactions == 0

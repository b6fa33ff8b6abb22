"""Steps for connections, slots and pools with real member processes."""

from __future__ import annotations

import time
from unittest import mock

import curio
from behave import given, then, when

from features.support.back_end_load import (
    executed,
    gate_of,
    most_at_once,
    run_together,
    set_switch,
)
from limedyke.core.group_view import GroupView
from limedyke.core.home import budget_share
from limedyke.core.slot_use import SlotUse
from limedyke.messages.declaration import Priority
from limedyke.messages.work import Access
from limedyke.proxy.members.gate import MemberGate
from limedyke.proxy.members.pool import BackendPool
from limedyke.proxy.unit_transaction import UnitInTransaction

LOGINS = {"one": "app", "two": "app2"}
MEMBER_SLOTS = 5
MEMBER_CONNECTIONS = 40
TRANSACTION = 7
AT_ONCE_S = 1.0
LOCK_WAIT_MS = 2_500
EXECUTE_MS = 40


def _patched(context, owner, attribute, replacement):
    patch = mock.patch.object(owner, attribute, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


def _always(*_):
    return True


_add_tenant = MemberGate.add_tenant
_declare_member = GroupView._member_state
_run_in_transaction = UnitInTransaction.run


def _add_to_one_pool(self, tenant, credentials, weight):
    """Make all tenants of a member share the first tenant's pool."""
    _add_tenant(self, tenant, credentials, weight)
    first = next(iter(self.pools.values()))
    self.pools[tenant] = first


def _forget_leaving(self, member):
    state = _declare_member(self, member)
    state.leaving = False
    return state


async def _wait_for_slot(self):
    """Make a unit of a transaction wait until a slot of this proxy is free."""
    state = self._transaction.gate.state
    while state.outstanding >= state.slots:
        await curio.sleep(0.01)
    return await _run_in_transaction(self)


SAFEGUARDS = {
    "lease": (BackendPool, "_may_open", _always),
    "slots": (SlotUse, "may_start", _always),
    "transaction": (UnitInTransaction, "run", _wait_for_slot),
    "tenants": (MemberGate, "add_tenant", _add_to_one_pool),
    "leaving": (GroupView, "_member_state", _forget_leaving),
}


@given('pool: the safeguard "{name}" is {state}')
def step_safeguard(context, name, state):
    if state == "on":
        return
    _patched(context, *SAFEGUARDS[name])
    if name == "slots":
        _patched(context, SlotUse, "has_room", _always)
    if name == "tenants":
        context.lab.add_proxy("p1")


# Connections


@given("pool: p1 leases {one:d} connections for tenant one and {two:d} for tenant two")
def step_lease(context, one, two):
    context.lab.lease("p1", one, two)
    context.leased = one + two
    pools = gate_of(context).pools
    context.lab.wait(lambda: pools["one"].size <= one and pools["two"].size <= two)


@given("pool: member a accepts only that many connections")
def step_room(context):
    context.lab.members.wait(
        lambda: context.lab.members.admin("a", "SELECT 1", user="app") == [(1,)]
    )
    set_switch(context, "a", "connection_limit", context.leased, MEMBER_CONNECTIONS)
    context.failed_before = _failed_connects(context)


def _failed_connects(context):
    return sum(pool.get_stats().failed for pool in gate_of(context).pools.values())


@when("pool: {one:d} writes of tenant one and {two:d} of tenant two arrive at once")
def step_both_write(context, one, two):
    lab = context.lab
    tenants = ["one"] * one + ["two"] * two
    units = [
        lab.unit(f"INSERT INTO note VALUES ({number}, 'x')", tenant=tenant)
        for number, tenant in enumerate(tenants)
    ]
    context.answers = run_together(lab, units)


@then("pool: member a refused {refused} connection")
def step_refused_connections(context, refused):
    failed = _failed_connects(context) - context.failed_before
    assert (failed > 0) is (refused == "some"), failed


# Slots


@given("pool: the group has {slots:d} slots")
def step_group_slots(context, slots):
    context.lab.slots = slots
    context.lab.announce()


@given(
    "pool: the group has {slots:d} slots, member a would run {most:d} statements at once, "
    "each for {execute_ms:d} ms"
)
def step_slots(context, slots, most, execute_ms):
    step_group_slots(context, slots)
    set_switch(context, "a", "slots", most, MEMBER_SLOTS)
    set_switch(context, "a", "execute_ms", execute_ms, 0)


@when("pool: {count:d} statements for member a arrive at once")
def step_statements(context, count):
    lab = context.lab
    context.mark = f"slots {time.monotonic_ns()}"
    units = [lab.unit(f"SELECT '{context.mark} {number}'") for number in range(count)]
    context.answers = run_together(lab, units)
    assert all(timed.code == 0 for timed in context.answers), [t.code for t in context.answers]


@then("pool: it is {verdict} that at most {limit:d} ran at once")
def step_at_once(context, limit, verdict):
    entries = executed(context.lab, "a")
    most = most_at_once(entries, lambda entry: context.mark in entry["statement"], EXECUTE_MS)
    assert (0 < most <= limit) is (verdict == "true"), most


@when("pool: a group of {slots:d} slots has {homes:d} home proxies")
def step_shares(context, slots, homes):
    names = tuple(f"p{number}" for number in range(1, homes + 1))
    lab = context.lab
    lab.slots = slots
    for name in names[1:]:
        lab.add_proxy(name)
    lab.announce()
    context.shares = [gate_of(context, proxy=name).state.slots for name in names]
    assert sum(budget_share(slots, names, name) for name in names) == slots


@then("pool: their shares are {shares}")
def step_shares_are(context, shares):
    assert context.shares == [int(share) for share in shares.split(", ")], context.shares


# Open transactions


@when("pool: a transaction has written, and {count:d} writes wait for its lock")
def step_lock_waiters(context, count):
    lab = context.lab
    for sql in ("BEGIN", "INSERT INTO note VALUES (1, 'x')"):
        answer = lab.ask(sql, transaction=TRANSACTION)
        assert answer.end.code == 0, answer.end
    context.waiters = [
        lab.unit(f"INSERT INTO note VALUES ({number}, 'x')", deadline_ms=LOCK_WAIT_MS)
        for number in range(2, 2 + count)
    ]
    context.tasks = [lab.run(curio.spawn, lab.answer, "p1", unit) for unit in context.waiters]
    gate = gate_of(context)
    lab.wait(lambda: gate.state.outstanding >= gate.state.slots)


@then("pool: the next statement of the transaction is answered {when_}")
def step_goes_on(context, when_):
    lab = context.lab
    started = time.monotonic()
    lab.ask("INSERT INTO note VALUES (100, 'x')", transaction=TRANSACTION)
    seconds = time.monotonic() - started
    assert (seconds < AT_ONCE_S) is (when_ == "at once"), seconds
    lab.ask("COMMIT", transaction=TRANSACTION)
    for task in context.tasks:
        lab.run(task.join)


# Tenants apart


@when("pool: both tenants query their login {count:d} times at once")
def step_logins(context, count):
    lab = context.lab
    units = [
        lab.unit("SELECT 'login ' || current_user", Access.READ, tenant=tenant)
        for _ in range(count)
        for tenant in LOGINS
    ]
    context.answers = run_together(lab, units)


@then("pool: it is {verdict} that each answer shows the tenant's own login")
def step_own_login(context, verdict):
    answers = [timed for timed in context.answers if timed.code == 0]
    own = [f"login {LOGINS[timed.unit.tenant]}C" in timed.answer.text for timed in answers]
    assert answers and all(own) is (verdict == "true"), own


# Leaving


@when("pool: reads run on all replicas for {hold_ms:d} ms each and member b leaves")
def step_leaves(context, hold_ms):
    lab = context.lab
    sql = f"SELECT pg_sleep({hold_ms / 1_000})"
    units = [lab.unit(sql, Access.READ) for _ in range(8)]
    tasks = [lab.run(curio.spawn, lab.answer, "p1", unit) for unit in units]
    gate = gate_of(context, "b")
    lab.wait(lambda: gate.state.outstanding > 0)
    lab.leaving = {"b"}
    lab.announce()
    context.before = [lab.run(task.join) for task in tasks]
    context.after = run_together(lab, [lab.unit("SELECT 1", Access.READ) for _ in range(20)])


@then("pool: the running reads are answered completely, and new work for b is {new}")
def step_left(context, new):
    assert all(answer.end.code == 0 for answer in context.before), context.before
    assert any(answer.end.member == "b" for answer in context.before)
    assert all(timed.code == 0 for timed in context.after)
    members = {timed.answer.end.member for timed in context.after}
    assert ("b" in members) is (new == "there"), members


# Classes


@when(
    "pool: {count:d} statements of class {second} wait, and {more:d} of class {first} arrive later"
)
def step_classes(context, count, second, more, first):
    lab = context.lab
    context.order = []

    async def note(name):
        unit = lab.unit("SELECT 1", priority=Priority[name.upper()])
        answer = await lab.answer("p1", unit)
        assert answer.end.code == 0, answer.end
        context.order.append(name)

    tasks = [lab.run(curio.spawn, note, second) for _ in range(count)]
    tasks += [lab.run(curio.spawn, note, first) for _ in range(more)]
    for task in tasks:
        lab.run(task.join)
    context.first = first


@then("pool: the later ones were served first")
def step_served_first(context):
    late = len(context.order) - context.order[::-1].index(context.first)
    under_way_before = 2
    assert late <= len(context.order) // 2 + under_way_before, context.order

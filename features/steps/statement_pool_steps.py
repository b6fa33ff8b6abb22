"""Steps on the path of a statement: leases, connections and the monitoring of members."""

from __future__ import annotations

import time

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import run
from features.support.statement_path import GROUP
from limedyke.messages.control import ConnectionLease, MemberHealth


@given("statement path: the lease is for 1 connection")
def step_one_connection(context):
    lease = ConnectionLease(GROUP, "shared", 1)
    run(context, context.path.groups.leases_changed, (lease,), float("inf"))


@given("statement path: the lease is for {count:d} connections")
def step_few_connections(context, count):
    lease = ConnectionLease(GROUP, "shared", count)
    run(context, context.path.groups.leases_changed, (lease,), float("inf"))


class _HealthReporter:
    """Records the reported health of the primary."""

    def __init__(self) -> None:
        self.seen: list[str] = []

    async def report_member(self, report: object) -> None:
        """Record the health in a report on the primary."""
        if report.member == "a":
            self.seen.append(report.health.value)

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Ignore returned leases."""


@then("statement path: a was reported {healths}")
def step_reported(context, healths):
    assert context.healths.seen == healths.split(", "), context.healths.seen


@then("statement path: a was never reported unreachable")
def step_never_unreachable(context):
    assert MemberHealth.UNREACHABLE.value not in context.healths.seen, context.healths.seen


@step("statement path: the members are monitored from now on")
def step_monitored_on(context):
    context.healths = context.path.groups.reporter = _HealthReporter()
    run(context, curio.spawn, _watch_members, context.path.groups)


async def _watch_members(groups):
    await groups.watch()


@given("statement path: {name:w} accepts {count:d} connection and {way}")
def step_full(context, name, count, way):
    member = context.path.group.members[name]
    member.connection_limit = count
    member.faults.resets_when_full = way == "resets any others"


@then("statement path: {name:w} counts as unreachable")
def step_unreachable(context, name):
    observed = context.path.groups.groups[GROUP].pools[name].observed
    assert observed.health is MemberHealth.UNREACHABLE, observed


@then("statement path: {name:w} counts as reachable")
def step_reachable(context, name):
    observed = context.path.groups.groups[GROUP].pools[name].observed
    assert observed.health is MemberHealth.REACHABLE, observed


@when("statement path: {count:d} clients hold transactions open, each with a write")
def step_hold(context, count):
    async def hold():
        for _ in range(count):
            client, _ = await context.path.connect()
            assert await client.ask("BEGIN") == "done T"
            assert await client.ask("WRITE x 1") == "done T"
            context.holders.append(client)

    context.holders = []
    run(context, hold)


@step("statement path: those clients roll back")
def step_holders_roll_back(context):
    for client in context.holders:
        assert run(context, client.ask, "ROLLBACK") == "done I"


@when("statement path: {count:d} clients hold read transactions open at {name:w}")
def step_hold_reads(context, count, name):
    async def hold():
        for _ in range(count):
            client, _ = await context.path.connect()
            assert await client.ask("BEGIN READ") == "done T"
            assert await client.ask("READ y") == "- done T"

    run(context, hold)
    runs = context.path.runs_of("READ y")
    assert runs == [name] * count, runs


@when("statement path: {count:d} other clients begin to read")
def step_begin_to_read(context, count):
    async def begin_all():
        for _ in range(count):
            client, _ = await context.path.connect()
            await curio.spawn(client.ask, "READ x", daemon=True)

    run(context, begin_all)


@when("statement path: {count:d} other clients begin to write")
def step_begin_to_write(context, count):
    async def begin_all():
        for _ in range(count):
            client, _ = await context.path.connect()
            await curio.spawn(client.ask, "WRITE x 2", daemon=True)

    run(context, begin_all)


@then("statement path: that took at least {limit:d} ms, and a has {count:d} connections")
def step_took_at_least(context, limit, count):
    assert context.took_ms >= limit, context.took_ms
    step_connections(context, count)


@step("statement path: a has {count:d} connections")
def step_connections(context, count):
    assert context.path.groups.groups[GROUP].pools["a"].opened == count


@when("statement path: pools close idle connections")
def step_close_idle(context):
    for pool in context.path.groups.groups[GROUP].pools.values():
        run(context, pool.close_idle, time.monotonic())


@step("statement path: the lease has run out")
def step_lease_over(context):
    context.path.lease_ends_at = 0.0


@step("statement path: the lease has run out, and b leads without the proxy knowing")
def step_lease_over_and_replaced(context):
    context.path.lease_ends_at = 0.0
    context.path.group.promote("b")


@step("statement path: the lease has run out, and nobody leads")
def step_nobody_leads(context):
    context.path.lease_ends_at = 0.0
    context.path.group.members["a"].is_primary = False


class Reporter:
    """Records the leases that a proxy returns."""

    def __init__(self) -> None:
        self.returned: list[ConnectionLease] = []

    async def report_member(self, report: object) -> None:
        """Ignore a report."""

    async def return_leases(self, leases: tuple[ConnectionLease, ...]) -> None:
        """Record returned leases."""
        self.returned.extend(leases)


@when("statement path: all leases are revoked")
def step_revoked(context):
    context.reporter = context.path.groups.reporter = Reporter()
    run(context, context.path.groups.leases_changed, (), float("inf"))


@then("statement path: no lease is returned yet")
def step_nothing_returned(context):
    assert not context.reporter.returned, context.reporter.returned


@when("statement path: the members are monitored for {milliseconds:d} ms")
def step_monitored(context, milliseconds):
    async def watch() -> None:
        await curio.ignore_after(milliseconds / 1_000, context.path.groups.watch)

    run(context, watch)


@then("statement path: leases of {count:d} connections are returned")
def step_returned(context, count):
    assert context.reporter.returned == [ConnectionLease(GROUP, "shared", count)], (
        context.reporter.returned
    )

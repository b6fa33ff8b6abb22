"""Steps for a proxy whose members restart under their identities."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.steps.statement_path_steps import begin, run
from features.support.incarnations_world import start_of
from features.support.statement_path import GROUP, StatementPath
from limedyke.messages.control import MemberHealth
from limedyke.messages.databases import Consistency

EMPTY = "- done I"
ASKS = 3
LOOK_S = 0.02
REPLICATION_S = 0.1


class _Reports:
    """Records the proxy's reports on members."""

    def __init__(self) -> None:
        self.newest: dict[str, object] = {}

    async def report_member(self, report: object) -> None:
        """Record a report."""
        self.newest[report.member] = report

    async def return_leases(self, leases: object) -> None:
        """Ignore returned leases."""

    def reports_unusable_primary(self, name: str) -> bool:
        """Return whether the newest report says that a member is unusable as the primary."""
        report = self.newest.get(name)
        if report is None:
            return False
        return report.health is MemberHealth.UNREACHABLE or not report.is_primary


@given("incarnation: a proxy of a {consistency:w} database on primary a, replicas b and c")
def step_proxy(context, consistency):
    path = StatementPath(Consistency(consistency))
    path.starts = dict.fromkeys(path.group.members, start_of(1))
    begin(context, path)
    run(context, path.start)
    context.reports = path.groups.reporter = _Reports()
    context.client, _ = run(context, path.connect)

    async def watch() -> None:
        await curio.spawn(path.groups.watch, daemon=True)

    run(context, watch)


@when("incarnation: a client writes 1 to x")
def step_write(context):
    answer = run(context, context.client.ask, "WRITE x 1")
    assert answer == "done I", answer
    run(context, curio.sleep, REPLICATION_S)
    answer = run(context, context.client.ask, "READ x")
    assert answer == "1 done I", answer


@when("incarnation: the client reads x at b")
def step_read_at(context):
    assert run(context, context.client.ask, "READ x") == "1 done I"
    assert context.path.runs_of("READ x")[-1] == "b", context.path.runs_of("READ x")


@when("incarnation: {name:w} restarts empty, says that it {says:w}, and {notified}")
def step_start_again(context, name, says, notified):
    path = context.path
    run(context, path.group.start_again, name, says == "leads")
    if notified == "the proxy is notified":
        path.primary_started_at_ms = path.starts[path.primary]
        path.starts[name] = start_of(2)
        run(context, path.tell_view)
    context.runs_before = len(path.group.runs)


@then("incarnation: reads of x and writes of y are not answered by the empty a")
def step_not_answered(context):
    for number in range(ASKS):
        read = run(context, context.client.ask, "READ x")
        assert read != EMPTY, read
        written = run(context, context.client.ask, f"WRITE y {number}")
        assert not written.startswith("done"), written
    ran = [run_ for run_ in context.path.group.runs[context.runs_before :] if run_.member == "a"]
    assert not ran, ran


@then("incarnation: within {limit:d} ms the proxy reports that a cannot lead")
def step_reported(context, limit):
    end = time.monotonic() + limit / 1_000
    while not context.reports.reports_unusable_primary("a"):
        assert time.monotonic() < end, context.reports.newest
        run(context, curio.sleep, LOOK_S)


@when("incarnation: b leads, and the proxy is notified")
def step_promoted(context):
    path = context.path
    path.group.promote("b")
    path.primary = "b"
    path.primary_started_at_ms = 0
    path.term = 2
    run(context, path.tell_view)


@then("incarnation: the client reads 1 from x, and can write")
def step_serves(context):
    read = run(context, context.client.ask, "READ x")
    assert read == "1 done I", read
    written = run(context, context.client.ask, "WRITE z 1")
    assert written == "done I", written


@when("incarnation: the proxy is notified that b drains")
def step_drains(context):
    path = context.path
    context.opened_before = path.group.members["a"].opened
    path.draining.add("b")
    run(context, path.tell_view)


@then("incarnation: the connection to a is still the same")
def step_same_connection(context):
    step_serves(context)
    assert context.path.group.members["a"].opened == context.opened_before
    assert context.path.groups.groups[GROUP].pools["a"].opened == 1

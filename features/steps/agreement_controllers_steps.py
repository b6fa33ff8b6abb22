"""Steps for three real controller processes: restarts, lost disks, a frozen leader."""

from __future__ import annotations

import resource
import signal
import statistics
import time

import curio
from behave import given, step, then, when

from limedyke.messages.operator import Status, StatusRequest
from limedyke.storage.durable_log import MANIFEST_NAME, load_snapshot
from limedyke.storage.file_system import LocalFileSystem
from limedyke_lab.agreement_measurements.figures import (
    make_changes,
    restart_all,
    wait_until_served,
)
from limedyke_lab.agreement_measurements.trio import NAMES, CommandFailedError, ControllerTrio

PATIENCE_S = 15.0
PAUSE_S = 0.1
LEADER = "leader"


@given("agreement controllers: three of them")
def step_three(context):
    context.trio = ControllerTrio(context.folder / "trio")
    context.add_cleanup(context.trio.__exit__)
    context.trio.__enter__()
    context.changes = wait_until_served(context.trio)


def status(context, *names) -> Status:
    """Return the status from the leader."""

    async def ask() -> Status:
        operator = context.trio.operator(*names)
        try:
            return (await operator.status()).answer
        finally:
            await operator.close()

    return curio.run(ask)


def leader(context, *names) -> str:
    """Return the name of the leader."""
    rows = status(context, *names).controllers
    return next(row.name for row in rows if row.role == LEADER)


def others(context, name) -> tuple[str, ...]:
    return tuple(other for other in NAMES if other != name)


def until(what, condition):
    """Wait until a condition returns a true value, and return that value."""
    deadline = time.monotonic() + PATIENCE_S
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(PAUSE_S)
    raise AssertionError(f"not in {PATIENCE_S:g} s: {what}")


@step("agreement controllers: {count:d} changes are confirmed")
@step("agreement controllers: {count:d} change is confirmed")
def step_changes(context, count):
    make_changes(context.trio, context.changes + 1, count)
    context.changes += count


@when("agreement controllers: all are killed by SIGKILL and restarted, {count:d} times")
def step_restarts(context, count):
    context.restarts = [restart_all(context.trio, context.changes) for _ in range(count)]


@then("agreement controllers: each time they served revision {revision:d}")
def step_served(context, revision):
    assert [restart.revision for restart in context.restarts] == [revision] * len(
        context.restarts
    ), context.restarts


@then("agreement controllers: the median restart took less than {seconds:g} s")
def step_restart_time(context, seconds):
    median = statistics.median(restart.served_s for restart in context.restarts)
    assert median < seconds, context.restarts


@then("agreement controllers: the next change makes revision {revision:d}")
def step_next_change(context, revision):
    step_changes(context, 1)
    assert status(context).revision == revision, status(context)


@when("agreement controllers: a follower loses its data folder and starts again")
def step_lose_follower(context):
    context.lost = others(context, leader(context))[0]
    context.trio.lose_disk(context.lost)
    context.trio.process(context.lost).start()


@then("agreement controllers: its status is replaced-disk, in addition to the voter of its name")
def step_replaced_disk(context):
    expected = ["replaced-disk", "voter"]

    def roles() -> bool:
        rows = status(context).controllers
        return sorted(row.role for row in rows if row.name == context.lost) == expected

    until("the waiting controller is shown", roles)


@when("agreement controllers: both others restart")
def step_restart_others(context):
    """Restart one after the other, so that neither remembers earlier announcements."""
    for name in others(context, context.lost):
        process = context.trio.process(name)
        process.send_signal(signal.SIGTERM)
        process.wait(PATIENCE_S)
        process.start()
        wait_until_served(context.trio)


def try_command(context, *arguments) -> str:
    """Run a command; return an empty string if it is refused, as while a learner catches up."""
    try:
        return context.trio.command(*arguments)
    except CommandFailedError as error:
        context.refusal = error
        return ""


@when("agreement controllers: it is added as a learner")
def step_add(context):
    until("it is added", lambda: try_command(context, "controller", "add", context.lost, "--yes"))


@when("agreement controllers: its replacement is planned")
def step_plan_replacement(context):
    context.before = status(context).controllers
    context.plan = context.trio.command("controller", "replace", context.lost)


@then("agreement controllers: the plan names it and changes nothing")
def step_plan_only(context):
    assert "would" in context.plan and context.lost in context.plan, context.plan
    after = status(context).controllers
    assert [(row.name, row.role) for row in after] == [
        (row.name, row.role) for row in context.before
    ], after


@when("agreement controllers: its replacement is confirmed")
def step_confirm_replacement(context):
    until(
        "it is replaced",
        lambda: try_command(context, "controller", "replace", context.lost, "--yes"),
    )


@then("agreement controllers: there are 3 voters, its new identity among them")
def step_three_voters(context):
    def whole() -> bool:
        rows = status(context).controllers
        named = sorted(row.name for row in rows if row.role in (LEADER, "voter"))
        return named == sorted(NAMES) and len(rows) == len(NAMES)

    until("three voters", whole)


@when("agreement controllers: the leader loses its data folder at once")
def step_lose_leader(context):
    context.lost = leader(context)
    context.trio.lose_disk(context.lost)


@then("agreement controllers: the others serve revision {revision:d}")
def step_others_serve(context, revision):
    assert wait_until_served(context.trio, *others(context, context.lost)) == revision


@when("agreement controllers: the lost leader starts again and is repaired too")
def step_repair_leader(context):
    context.trio.process(context.lost).start()
    step_replaced_disk(context)
    step_add(context)
    step_confirm_replacement(context)


@when("agreement controllers: the leader is frozen while the others confirm {count:d} changes")
def step_freeze(context, count):
    context.frozen = leader(context)
    context.frozen_changes = count


@when("agreement controllers: it resumes with a request waiting, and is queried for {seconds:g} s")
def step_thaw(context, seconds):
    """Keep one link open over the freeze, so that a request waits there on resumption."""
    process = context.trio.process(context.frozen)
    names = others(context, context.frozen)
    first = context.changes + 1
    context.served = []

    def other_leads() -> bool:
        return any(context.trio.leads(name) for name in names)

    async def ask(operator) -> None:
        answered = await operator._try_request(StatusRequest("frozen"))
        if answered is not None and isinstance(answered.answer, Status):
            context.served.append(answered.answer.revision)

    async def run() -> None:
        operator = context.trio.operator(context.frozen)
        await operator.status()
        process.send_signal(signal.SIGSTOP)
        await curio.run_in_thread(until, "another leads", other_leads)
        await curio.run_in_thread(make_changes, context.trio, first, context.frozen_changes, *names)
        waiting = await curio.spawn(ask, operator)
        await curio.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)
        await waiting.join()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            await ask(operator)
        await operator.close()

    curio.run(run)


@then("agreement controllers: it served no revision before {revision:d}")
def step_nothing_old(context, revision):
    assert all(served >= revision for served in context.served), context.served


@when("agreement controllers: the leader's disk has space for {room:d} more bytes")
def step_little_space(context, room):
    """Limit the file size of the process, so that writes fail as on a full disk."""
    context.full = leader(context)
    process = context.trio.process(context.full)
    folder = context.trio.data(context.full)
    largest = max(path.stat().st_size for path in folder.rglob("*") if path.is_file())
    limits = (largest + room, resource.RLIM_INFINITY)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)


@then(
    "agreement controllers: another controller leads, and the one with the "
    "full disk logs that it stopped"
)
def step_other_leads(context):
    assert leader(context) != context.full
    log = context.trio.process(context.full).log_tail()
    assert "event=storage-failed" in log, log
    assert "role=stopped" in log, log


@then("agreement controllers: the one with the full disk keeps running for {seconds:d} s")
def step_goes_on(context, seconds):
    time.sleep(seconds)
    assert context.trio.process(context.full).running


@when("agreement controllers: the one with the full disk has space again")
def step_space(context):
    pid = context.trio.process(context.full).pid
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, unlimited)


@then(
    "agreement controllers: the one with the full disk reopens its log "
    "within {limit:d} s, in the same process"
)
def step_reopens_log(context, limit):
    process = context.trio.process(context.full)
    context.full_pid = process.pid
    deadline = time.monotonic() + limit
    while "event=log-read-anew" not in process.log_tail():
        assert time.monotonic() < deadline, process.log_tail()
        time.sleep(0.05)
    assert process.running


@then("agreement controllers: the one with the full disk has not exited since")
def step_not_ended(context):
    process = context.trio.process(context.full)
    assert process.running
    assert process.pid == context.full_pid


@when("agreement controllers: the one with the full disk has space again and restarts")
def step_space_again(context):
    process = context.trio.process(context.full)
    process.kill()
    process.start()


def wait_until_caught_up(context, name) -> None:
    def caught_up() -> bool:
        rows = {row.name: row for row in status(context).controllers}
        leading = next(row for row in rows.values() if row.role == LEADER)
        return rows[name].matched_index == leading.matched_index > 0

    until(f"{name} follows", caught_up)


@then("agreement controllers: it has replicated the leader's whole log")
def step_caught_up(context):
    wait_until_caught_up(context, context.full)


@then("agreement controllers: it received a snapshot and has replicated the leader's whole log")
def step_caught_up_by_snapshot(context):
    wait_until_caught_up(context, context.lost)
    snapshot = load_snapshot(context.trio.data(context.lost) / "agreement", LocalFileSystem())
    assert snapshot.unwrap().index > 1, snapshot


@when("agreement controllers: its log is damaged and it restarts")
def step_damage(context):
    process = context.trio.process(context.full)
    process.kill()
    manifest = context.trio.data(context.full) / "agreement" / MANIFEST_NAME
    content = bytearray(manifest.read_bytes())
    content[-1] ^= 0xFF
    manifest.write_bytes(content)
    process.start()


@then("agreement controllers: it exits with status {code:d}, naming the file and offset")
def step_ends_with_status(context, code):
    process = context.trio.process(context.full)
    assert process.wait(PATIENCE_S) == code, process.exit_code
    log = process.log_tail()
    assert "event=log-not-opened" in log and MANIFEST_NAME in log and "offset 0" in log, log

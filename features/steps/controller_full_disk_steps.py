"""Steps for controllers whose disks refuse writes for a while."""

from __future__ import annotations

import time

import curio
from behave import given, then, when
from result import Err

from features.support.refusing_disks import RefusingDisks
from limedyke.core.agreement.state import AgreementInvariantError
from limedyke.result_codes import ResultCode

ANSWER_LIMIT_S = 5.0


def run(context, function, *arguments):
    """Run a coroutine in the scenario's kernel."""
    return context.kernel.run(function, *arguments)


def _begin(context, count: int, keeps_unsynced: bool = True) -> None:
    context.kernel = curio.Kernel()
    context.world = RefusingDisks(count, keeps_unsynced)

    def end() -> None:
        context.kernel.run(context.world.stop)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)
    run(context, context.world.start)
    assert context.world.leader() is not None


@given("full disk: three controllers in one process, each on a disk of its own")
def step_three(context):
    _begin(context, 3)


@given("full disk: three controllers whose disks may lose unsynced writes")
def step_three_unknown(context):
    _begin(context, 3, keeps_unsynced=False)


@given("full disk: a single controller")
def step_alone(context):
    _begin(context, 1)


@when("full disk: {count:d} changes are acknowledged")
def step_changes(context, count):
    wanted = len(context.world.acknowledged) + count

    async def change_all() -> None:
        deadline = time.monotonic() + ANSWER_LIMIT_S
        while len(context.world.acknowledged) < wanted:
            assert time.monotonic() < deadline, "changes are not acknowledged"
            await context.world.change(ANSWER_LIMIT_S)

    run(context, change_all)


@when("full disk: the disk of {which} refuses writes for {seconds:g} s while changes continue")
def step_refuses(context, which, seconds):
    world = context.world
    context.full = world.leader() if which == "the leader" else world.follower()
    disk = world.disks[context.full]
    context.openings = disk.openings
    context.contact_at = world.replica(context.full).agreement.leader_contact_at

    async def refuse() -> None:
        disk.refuse()
        replica = world.replica(context.full)
        end = time.monotonic() + seconds
        while not replica.storage_failure or time.monotonic() < end:
            await world.change(0.2)
        disk.accept_again()

    run(context, refuse)


@when("full disk: the disk of the leader refuses writes, and one change is proposed")
def step_refuses_one(context):
    world = context.world
    context.full = world.leader()
    context.openings = world.disks[context.full].openings
    context.old_replica = world.replica(context.full)
    world.disks[context.full].refuse()
    world.proposed += 1
    context.refused = world.proposed
    began_at = time.monotonic()
    context.answer = run(
        context,
        curio.ignore_after,
        ANSWER_LIMIT_S,
        world.propose,
        context.old_replica,
        context.refused,
    )
    context.took_s = time.monotonic() - began_at


@then("full disk: that change is answered with an unknown outcome, within {limit:g} s")
def step_unknown(context, limit):
    assert isinstance(context.answer, Err), context.answer
    code = context.answer.err_value.code
    assert code is ResultCode.CONTROL_OUTCOME_UNKNOWN, context.answer
    assert context.took_s < limit, context.took_s


@when("full disk: the disk of the leader accepts writes again")
def step_takes(context):
    context.world.disks[context.full].accept_again()


@when("full disk: the disk of the leader accepts writes again, and reading takes {seconds:g} s")
def step_takes_slowly(context, seconds):
    disk = context.world.disks[context.full]
    disk.reading_s = seconds / 2
    disk.accept_again()
    run(context, context.world.until, lambda: disk.openings > context.openings, 3.0)
    disk.reading_s = 0.0


@then("full disk: a change that is proposed {when} is refused within {limit:g} s")
def step_refused(context, when, limit):
    context.world.proposed += 1
    answer = run(
        context,
        curio.ignore_after,
        limit,
        context.world.propose,
        context.old_replica,
        context.world.proposed,
    )
    assert isinstance(answer, Err), answer
    assert answer.err_value.code is ResultCode.NOT_LEADER, answer


@then("full disk: no controller has exited")
def step_none_exited(context):
    run(context, curio.sleep, 0.5)
    assert not context.world.statuses, context.world.statuses


@when("full disk: it participates again")
def step_participates_again(context):
    step_participates(context, 3.0)


@then("full disk: it participates again within {limit:g} s")
def step_participates(context, limit):
    world = context.world

    def is_back() -> bool:
        opened = world.disks[context.full].openings > context.openings
        return opened and world.participates(context.full)

    assert run(context, world.until, is_back, limit), world.statuses
    assert not world.statuses, world.statuses


@then("full disk: all controllers hold every change that was acknowledged")
def step_all_hold(context):
    world = context.world
    wanted = set(world.acknowledged)

    def hold() -> bool:
        return all(world.applied_changes(name) >= wanted for name in world.disks)

    assert run(context, world.until, hold, 3.0), {
        n: wanted - world.applied_changes(n) for n in world.disks
    }


@then("full disk: it holds the {count:d} changes, and not the one that its disk refused")
def step_holds_synced(context, count):
    world = context.world
    wanted = set(range(1, count + 1))
    assert run(context, world.until, lambda: world.applied_changes(context.full) >= wanted, 3.0)
    assert context.refused not in world.applied_changes(context.full)


@then("full disk: it knows the time of its last leader contact")
def step_leader_contact(context):
    stored = context.world.controllers[context.full].started_from[-1]
    assert stored.leader_contact_at is not None
    assert stored.leader_contact_at >= context.contact_at, (
        stored.leader_contact_at,
        context.contact_at,
    )


@when("full disk: a sync of the leader's disk hangs, and saving the leader contact fails once")
def step_hangs(context):
    world = context.world
    context.full = world.leader()
    context.openings = world.disks[context.full].openings
    world.disks[context.full].not_hanging.clear()
    replica = world.replica(context.full)

    async def fail() -> None:
        await curio.spawn(world.propose, replica, world.proposed + 1, daemon=True)
        await curio.sleep(0.1)
        world.disks[context.full].failing_notes = 1
        failed = replica._storage.save_leader_contact(time.monotonic())
        assert failed is not None
        await replica._record_storage_failure(failed)

    run(context, fail)


@then("full disk: its log is not reopened within {seconds:g} s")
def step_not_opened(context, seconds):
    disk = context.world.disks[context.full]
    opened = run(context, context.world.until, lambda: disk.openings > context.openings, seconds)
    assert not opened


@when("full disk: the sync continues")
def step_continues(context):
    context.world.disks[context.full].not_hanging.set()


@when("full disk: an invariant of the agreement is violated")
def step_breaks(context):
    context.full = context.world.leader()

    def break_rule(events, now):
        raise AgreementInvariantError("for the test")

    context.world.replica(context.full).agreement.handle_batch = break_rule


@then("full disk: the controller exits with {status:d} within {limit:g} s")
def step_ends(context, status, limit):
    world = context.world
    assert run(context, world.until, lambda: context.full in world.statuses, limit)
    assert world.statuses[context.full] == status, world.statuses

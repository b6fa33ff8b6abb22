"""Steps on the promotion of members in groups whose commits wait for a replica."""

from __future__ import annotations

import time

import curio
from behave import given, then, when

from features.soak.fault_injection import SoakDeployment
from features.steps.platform_processes_steps import (
    open_session,
    run,
    step_declared,
    step_ready,
)
from features.support.line_platform.deployment import CONTROLLERS, PROXIES
from features.support.line_platform.group import StandInMember

DATABASE = "db1"
START_LIMIT_S = 15
ANSWER_LIMIT_S = 20.0
RETRY_S = 0.05
POLL_S = 0.005
RESTART_S = 1.5
READ_S = 0.05
UNREACHABLE_S = 3.0
RELEASE_LIMIT_S = 6.0
LEADS = "event=serving-as-leader"


@given("lost commits: a group whose members {knowledge} how to stop receiving")
def step_group(context, knowledge):
    context.kernel = curio.Kernel()
    deployment = context.deployment = SoakDeployment(context.folder, synchronous_replicas=1)
    for member in deployment.group.members.values():
        member.knows_hold = knowledge == "know"

    def end() -> None:
        context.kernel.run(deployment.stop)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)
    run(context, deployment.start)
    step_declared(context, DATABASE, START_LIMIT_S)
    step_ready(context, START_LIMIT_S)


async def _write(count: int, limit_s: float = ANSWER_LIMIT_S) -> None:
    """Write through the proxies in turn until so many writes are acknowledged; read after each."""
    clients = {}
    end = time.monotonic() + limit_s
    acknowledged = 0
    while acknowledged < count:
        assert time.monotonic() < end, f"{acknowledged} of {count} writes in {limit_s} s"
        ip = PROXIES[acknowledged % len(PROXIES)]
        if ip not in clients:
            clients[ip], told = await open_session(ip, DATABASE)
            assert told == "I", told
        if await clients[ip].ask(f"WRITE x {acknowledged}") == "done I":
            acknowledged += 1
        else:
            await curio.sleep(RETRY_S)
        await clients[ip].ask("READ x")
    for client in clients.values():
        await client.close()


@when('lost commits: {count:d} writes are acknowledged while "{name}" receives nothing')
def step_write_without(context, count, name):
    context.deployment.group.members[name].faults.deaf = True
    run(context, _write, count)


@when('lost commits: "{name}" receives everything again')
def step_listens(context, name):
    run(context, context.deployment.group.listen_again, name)


@when(
    'lost commits: "{name}" restarts, so that the reports on it are newer than those on "{other}"'
)
def step_restarts(context, name, other):
    group = context.deployment.group

    async def restart() -> None:
        await group.crash(name)
        await _read_for(RESTART_S)
        await group.restart(name)
        await _read_for(RESTART_S)

    run(context, restart)


async def _read_for(seconds: float) -> None:
    """Read at both proxies, so that they notice which members answer."""
    end = time.monotonic() + seconds
    clients = [(await open_session(ip, DATABASE))[0] for ip in PROXIES]
    while time.monotonic() < end:
        for client in clients:
            await client.ask("READ x")
        await curio.sleep(READ_S)
    for client in clients:
        await client.close()


@when("lost commits: the primary crashes")
def step_crash(context):
    run(context, context.deployment.group.crash, context.deployment.group.primary.identity)


@when("lost commits: the primary announces that it drains")
def step_drains(context):
    context.deployment.group.primary.announced_state = "draining"


def _cut(context, member: StandInMember, is_cut: bool) -> None:
    faults = context.deployment.relays[member.identity].faults
    faults.cut_to_member = faults.cut_from_member = is_cut


@when("lost commits: no proxy or controller reaches the primary any more")
def step_dark(context):
    primary = context.deployment.group.primary
    primary.announces_itself = False
    _cut(context, primary, True)


@when('lost commits: the primary crashes while the proxies cannot reach "{name}" for {seconds:d} s')
def step_crash_unreachable(context, name, seconds):
    group = context.deployment.group
    member = group.members[name]

    async def crash() -> None:
        _cut(context, member, True)
        await group.crash(group.primary.identity)
        await curio.sleep(seconds)
        _cut(context, member, False)

    run(context, crash)


@when("lost commits: the primary crashes, and the controller that leads is killed once one is held")
def step_crash_leader(context):
    deployment = context.deployment
    group = deployment.group

    async def crash() -> None:
        await group.crash(group.primary.identity)
        end = time.monotonic() + ANSWER_LIMIT_S
        while not any(member.held_term for member in group.members.values()):
            assert time.monotonic() < end, "no replica was held"
            await curio.sleep(POLL_S)
        leader = next(ip for ip in CONTROLLERS if LEADS in deployment.log(ip))
        deployment.kill(leader)

    run(context, crash)


@then('lost commits: "{name}" is promoted within {limit:d} s, and lacks no acknowledged commit')
def step_promoted(context, name, limit):
    group = context.deployment.group

    async def is_promoted() -> bool:
        return bool(group.lacking)

    run(context, context.deployment.wait_until, is_promoted, limit, "a member is promoted")
    assert not group.lacking[0], f"{group.leader} lacks {len(group.lacking[0])} commits"
    assert group.leader == name, group.leader


@then("lost commits: {count:d} more writes are acknowledged within {limit:d} s")
def step_goes_on(context, count, limit):
    run(context, _write, count, float(limit))
    lacking = [len(missing) for missing in context.deployment.group.lacking]
    assert not any(lacking), lacking


@then("lost commits: no replica is still held")
def step_released(context):
    members = context.deployment.group.members.values()

    async def none_is_held() -> bool:
        return not any(member.held_term for member in members)

    run(context, context.deployment.wait_until, none_is_held, RELEASE_LIMIT_S, "none held")

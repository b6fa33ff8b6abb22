"""Steps for confirmed changes that must survive lost disks, with real processes."""

from __future__ import annotations

import time
import urllib.request
from collections.abc import Collection

import curio
from behave import given, then, when

from features.soak.configuration.checks import check
from features.soak.configuration.closing import PowerLoss
from features.soak.configuration.deployment import (
    FIVE_CONTROLLERS,
    TOLERATED_LOSSES,
    ConfigurationDeployment,
)
from features.soak.configuration.disks import LOG_FOLDER, controller_name
from features.soak.configuration.documents import build_content
from features.soak.configuration.http_calls import get_configuration, put_configuration
from features.soak.configuration.operators import Operators
from features.soak.fault_injection import CONTROLLER_PROGRAM, SoakDeployment
from features.steps.platform_processes_steps import run
from features.support.line_platform.deployment import (
    CONTROLLERS,
    FIRST_INTERNAL_PORT,
    NETWORK,
    SEED_COUNT,
)
from limedyke.core.agreement.records import Snapshot, genesis_snapshot
from limedyke.core.control.state import ControlState
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration
from limedyke.messages.control_entries import ControllerAddress, DeclareVersion, RecordControllers
from limedyke.messages.declaration import Declaration
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.controller_disks import ControllerDisk, fatal_losses, newest_disk

PROXIES = 3
LATE_S, VERY_LATE_S = 9.0, 12.0
LATE_CONTROLLERS = FIVE_CONTROLLERS[3:]
TOO_FEW = b"LD4011"
REFUSED_AFTER_S = 2.5
"""Until then controllers load, and there is no leader that could refuse."""
STATUS_PORT = 9464
LEARNER = f"{NETWORK}.1.4"
REFUSAL_INTERVAL_S = 0.5
OFF_S, REMOVED_AFTER_S, SUCCESSOR_AFTER_S = 5.0, 1.4, 1.0
LEADS = "event=serving-as-leader"
STATES = {
    "start with the others": ({}, {}),
    "start 9 s late": (dict.fromkeys(LATE_CONTROLLERS, LATE_S), {}),
    "start 12 s late": (dict.fromkeys(LATE_CONTROLLERS, VERY_LATE_S), {}),
    "stand still for their first 9 s": ({}, dict.fromkeys(LATE_CONTROLLERS, LATE_S)),
}


@given("confirmed changes: five controllers, of which two {state}")
def step_start(context, state):
    late, paused = STATES[state]
    context.kernel = curio.Kernel()
    context.deployment = ConfigurationDeployment(context.folder, PROXIES, late, paused)
    deployment = context.deployment
    context.power_loss = PowerLoss(deployment)
    context.operators = Operators(lambda: deployment.controllers, deployment.changes, seed=1)

    def end() -> None:
        context.kernel.run(deployment.stop)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)
    run(context, deployment.start)


@then("confirmed changes: a change is confirmed within {limit:d} s")
def step_confirmed(context, limit):
    content = run(context, context.operators.change, limit)
    assert content not in context.deployment.changes.unacknowledged, f"not in {limit} s"


@then(
    "confirmed changes: for {seconds:d} s each change is refused within {limit:d} s, as "
    '"{reason}", with a time to come back'
)
def step_refused(context, seconds, limit, reason):
    run(context, curio.sleep, REFUSED_AFTER_S)
    until = time.monotonic() + seconds - REFUSED_AFTER_S
    version = 0
    while time.monotonic() < until:
        version += 1
        content = build_content(version, "r")
        for ip in FIVE_CONTROLLERS[:3]:
            sent_at = time.monotonic()
            reply = run(context, put_configuration, ip, content.body)
            assert time.monotonic() - sent_at < limit, reply
            assert reply.status == 503 and int(reply.retry_after) > 0, reply
            assert TOO_FEW in reply.body and reason.encode() in reply.body, reply
        run(context, curio.sleep, REFUSAL_INTERVAL_S)


@then(
    "confirmed changes: the leader's log and gauge tell that {configured:d} of {wanted:d} voters "
    "are configured"
)
def step_told(context, configured, wanted):
    deployment = context.deployment
    leader = next(ip for ip in FIVE_CONTROLLERS[:3] if LEADS in deployment.log(ip))
    expected = f"event=too-few-voters wanted={wanted} configured={configured}"
    assert expected in deployment.log(leader), deployment.log(leader)
    page = urllib.request.urlopen(f"http://{leader}:{STATUS_PORT}/metrics").read().decode()
    for state, count in (("configured", configured), ("wanted", wanted)):
        assert f'limedyke_controller_voters{{state="{state}"}} {count:.1f}' in page, page


@then("confirmed changes: it survives the loss of any two disks")
def step_survives(context):
    version = context.deployment.changes.acknowledged_version(time.monotonic())
    disks = context.power_loss.read_disks()
    fatal = list(fatal_losses(disks, TOLERATED_LOSSES, version))
    assert not fatal, (version, fatal, disks)


@when("confirmed changes: everything is killed and the two disks are lost that hurt most")
def step_power_loss(context):
    run(context, context.deployment.kill_everything)
    run(context, context.power_loss.restart)


@then("confirmed changes: it is read back within 12 s, and every proxy serves it")
def step_read_back(context):
    assert not context.power_loss.violations, [str(v) for v in context.power_loss.violations]
    found = check(context.deployment.changes, context.deployment.controllers)
    assert not found, [str(violation) for violation in found]


@when(
    "confirmed changes: a follower is off for 5 s, and another is gone for good and has a successor"
)
def step_replaced_while_off(context):
    deployment = context.deployment
    returning, removed = [ip for ip in deployment.controllers if LEADS not in deployment.log(ip)][
        -2:
    ]
    run(context, _replace_while_off, deployment, returning, removed)


async def _replace_while_off(deployment, returning: str, removed: str) -> None:
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(deployment.switch_off, returning, OFF_S)
        await curio.sleep(REMOVED_AFTER_S)
        await tasks.spawn(deployment.replace_controller, removed, SUCCESSOR_AFTER_S)


@then("confirmed changes: the five that run are the voters {limit:d} s after it is back")
def step_voters(context, limit):
    run(context, curio.sleep, limit)
    disks = context.power_loss.read_disks().values()
    assert all_vote(disks), disks


def all_vote(disks: Collection[ControllerDisk | None]) -> bool:
    """Tell whether the controllers of these disks are all voters, and the only ones."""
    configuration = newest_disk(disks).configuration
    running = {disk.identity for disk in disks if disk is not None}
    return set(configuration.voters) == running and not configuration.previous_voters


@given("confirmed changes: two of three voters, and a learner whose address they do not know")
def step_unknown_learner(context):
    """Start from logs as such a leader leaves them: the third voter is gone for good."""
    context.kernel = curio.Kernel()
    deployment = context.deployment = SoakDeployment(context.folder)
    context.power_loss = PowerLoss(deployment)
    gone = CONTROLLERS[-1]
    identities = {
        ip: ControllerIdentity(controller_name(ip), f"{number:016x}")
        for number, ip in enumerate((*CONTROLLERS, LEARNER))
    }
    voters = tuple(identities[ip] for ip in CONTROLLERS)
    configuration = MemberConfiguration("x", voters, (identities[LEARNER],))
    deployment.controllers = tuple(ip for ip in (*CONTROLLERS, LEARNER) if ip != gone)
    for ip in deployment.controllers:
        _write_log(deployment, identities[ip], ip, Snapshot(1, 1, configuration))
    _start_controllers(context)


def _write_log(deployment, identity: ControllerIdentity, ip: str, snapshot: Snapshot) -> None:
    log = open_durable_log(deployment.data_folder(ip) / LOG_FOLDER, identity).unwrap()
    log.install_snapshot(snapshot, keep_entries=False).unwrap()
    log.close()


def _start_controllers(context) -> None:
    deployment = context.deployment

    def end() -> None:
        context.kernel.run(deployment.stop)
        context.kernel.run(shutdown=True)

    context.add_cleanup(end)
    for ip in deployment.controllers:
        deployment.start_process(ip, CONTROLLER_PROGRAM)


@given(
    "confirmed changes: five voters, of which one missed that two were added, and two lost their "
    "disks"
)
def step_missed_additions(context):
    """Start from logs as a loss of power leaves them: two empty, one of the founding."""
    context.kernel = curio.Kernel()
    deployment = context.deployment = ConfigurationDeployment(context.folder, PROXIES)
    context.power_loss = PowerLoss(deployment)
    identities = {
        ip: ControllerIdentity(controller_name(ip), f"{number:016x}")
        for number, ip in enumerate(FIVE_CONTROLLERS)
    }
    founders = tuple(identities[ip] for ip in FIVE_CONTROLLERS[:SEED_COUNT])
    _write_log(
        deployment,
        founders[-1],
        FIVE_CONTROLLERS[SEED_COUNT - 1],
        genesis_snapshot("x", founders),
    )
    context.content = build_content(1, "a")
    state = ControlState()
    state.apply(2, DeclareVersion(1, context.content.body, Declaration()))
    addresses = tuple(
        ControllerAddress(identity.name, f"{ip}:{FIRST_INTERNAL_PORT}")
        for ip, identity in identities.items()
    )
    state.apply(3, RecordControllers(addresses))
    configuration = MemberConfiguration("x", tuple(identities.values()))
    for ip in FIVE_CONTROLLERS[SEED_COUNT:]:
        snapshot = Snapshot(3, 2, configuration, state.to_bytes())
        _write_log(deployment, identities[ip], ip, snapshot)
    _start_controllers(context)


@then("confirmed changes: the confirmed version is read back within {limit:d} s")
def step_version_read(context, limit):
    deployment = context.deployment

    async def is_read() -> bool:
        replies = [await get_configuration(ip) for ip in deployment.controllers]
        return context.content.body in [reply.body for reply in replies]

    run(context, deployment.wait_until, is_read, limit, "the version")


@then("confirmed changes: the {count:w} that run are the voters within {limit:d} s")
def step_running_vote(context, count, limit):
    deployment = context.deployment

    async def are_voters() -> bool:
        return all_vote(context.power_loss.read_disks().values())

    run(context, deployment.wait_until, are_voters, limit, f"{count} voters")

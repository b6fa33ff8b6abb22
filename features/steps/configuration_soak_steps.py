"""Steps for the configuration soak."""

from __future__ import annotations

from dataclasses import replace

import curio
from behave import given, then, when

from features.soak.configuration.checks import check
from features.soak.configuration.deployment import FIVE_CONTROLLERS, ConfigurationDeployment
from features.soak.configuration.documents import Content, Flaw, build_content
from features.soak.configuration.history import ConfigurationHistory, Probe, Read, Sending
from features.soak.configuration.plan import LOSSES, draw_plan
from features.soak.configuration.run import report, run_soak
from features.soak.fault_injection import CONTROLLER_PROGRAM
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration
from limedyke_lab.controller_disks import ControllerDisk, fatal_losses

CONTROLLERS = ("c1", "c2", "c3")
PROXY = "p1"
CONFIRMED_AT = {1: 2.0, 2: 12.0}
FIRST, SECOND = build_content(1, "a"), build_content(2, "a")
OTHER = build_content(2, "b")
INVALID = build_content(3, "i", Flaw.NO_TIMEOUT)
PLAN_S = 60.0
LATE = FIVE_CONTROLLERS[-1]
VERSION = 7


def _send(context, content: Content, at: float, status: int | None) -> None:
    context.history.record_begin(content, at)
    context.history.sendings.append(Sending(content, "c1", at, at + 0.1, status))


def _probe(context, content: Content, at: float, is_served: bool, process: int = 1) -> None:
    probe = Probe(PROXY, process, content.marker, at, at + 0.01, is_served)
    context.history.probes.append(probe)


def _read(context, body: bytes, at: float) -> None:
    context.history.reads.append(Read("c2", at, at + 0.01, body))


@given("configuration soak: a sound history")
def step_sound(context):
    context.history = ConfigurationHistory()
    for content, at in ((FIRST, CONFIRMED_AT[1]), (SECOND, CONFIRMED_AT[2])):
        _send(context, content, at - 0.1, 200)
    _probe(context, FIRST, 8.0, True)
    _probe(context, SECOND, 8.0, False)
    _read(context, FIRST.body, 8.0)
    _read(context, SECOND.body, 13.0)
    _send(context, INVALID, 13.0, 400)


@when("configuration soak: a proxy serves a removed database {late:g} s after the confirmation")
def step_serves_removed(context, late):
    _probe(context, FIRST, CONFIRMED_AT[2] + late, True)


@when("configuration soak: an open session is served a removed database 3.1 s after it")
def step_session_served(context):
    at = CONFIRMED_AT[2] + 3.1
    read = Probe(PROXY, 1, FIRST.marker, at, at + 0.01, is_served=True, in_open_session=True)
    context.history.probes.append(read)


@when("configuration soak: a proxy does not know an added database 3.1 s after it")
def step_does_not_know(context):
    _probe(context, SECOND, CONFIRMED_AT[2] + 3.1, False)


@when("configuration soak: a proxy that was paused 4 s before serves a removed database")
def step_paused(context):
    context.history.disturbances[PROXY] = [12.0]
    _probe(context, FIRST, 16.0, True)


@when(
    "configuration soak: a proxy serves a removed database while a controller was killed 4 s before"
)
def step_controller_killed(context):
    context.history.disturbances["c3"] = [12.0]
    _probe(context, FIRST, 16.0, True)


def _lose_controllers(context) -> None:
    context.history.disturbances["c3"] = [CONFIRMED_AT[2] + second for second in range(30)]


@when(
    "configuration soak: a proxy serves a removed database {late:g} s after it, while controllers "
    "are lost all the time"
)
def step_late_under_faults(context, late):
    _lose_controllers(context)
    _probe(context, FIRST, CONFIRMED_AT[2] + late, True)


@when(
    "configuration soak: a proxy serves a removed database {late:g} s after it and {age:g} s after "
    "its own start, while controllers are lost all the time"
)
def step_young_under_faults(context, late, age):
    context.history.disturbances[PROXY] = [CONFIRMED_AT[2] + late - age]
    step_late_under_faults(context, late)


@when("configuration soak: a controller shows a version older than one confirmed before")
def step_old_read(context):
    _read(context, FIRST.body, 12.1)


@when("configuration soak: a controller shows a document that nobody sent")
def step_foreign_read(context):
    _read(context, b"{}", 13.0)


@when("configuration soak: a controller shows other content under a confirmed version")
def step_other_read(context):
    _send(context, OTHER, 13.0, 200)
    _read(context, OTHER.body, 14.0)


@when("configuration soak: a proxy obeys other content under a confirmed version")
def step_other_obeyed(context):
    _send(context, OTHER, 13.0, 200)
    _probe(context, OTHER, 14.0, True)


@when("configuration soak: a proxy serves a removed database after it obeyed its successor")
def step_regresses(context):
    _probe(context, SECOND, 12.5, True)
    _probe(context, FIRST, 13.0, True)


@when(
    "configuration soak: another life of a proxy serves a removed database after it obeyed its "
    "successor"
)
def step_other_life(context):
    _probe(context, SECOND, 12.5, True)
    context.history.disturbances[PROXY] = [12.6]
    _probe(context, FIRST, 13.0, True, process=2)


@when("configuration soak: an invalid change is confirmed")
def step_invalid_confirmed(context):
    context.history.sendings[-1] = replace(context.history.sendings[-1], status=200)


@when("configuration soak: an invalid change is obeyed")
def step_invalid_obeyed(context):
    _probe(context, INVALID, 14.0, True)


@when("configuration soak: an invalid change is read back")
def step_invalid_read(context):
    _read(context, INVALID.body, 14.0)


@when("configuration soak: a confirmed change is sent again and {answer}")
def step_again(context, answer):
    statuses = {"refused": 409, "gets no answer": None, "is to be sent later": 503}
    _send(context, SECOND, 14.0, statuses[answer])


@when("configuration soak: an older change is sent again and confirmed")
def step_older_again(context):
    _send(context, FIRST, 14.0, 200)


@when("configuration soak: a valid change is not confirmed in time")
def step_unacknowledged(context):
    context.history.unacknowledged.append(build_content(9, "a"))


@then('configuration soak: only the promise "{promise}" is broken')
def step_broken(context, promise):
    found = check(context.history, CONTROLLERS)
    assert {violation.promise for violation in found} == {promise}, found


@then("configuration soak: no promise is broken")
def step_kept(context):
    found = check(context.history, CONTROLLERS)
    assert not found, found


def _identity(name: str) -> ControllerIdentity:
    return ControllerIdentity(name, f"{name}1")


@given(
    "configuration soak: five controllers that all hold version {version:d}, and {count:d} voters"
)
def step_disks(context, version, count):
    identities = [_identity(name) for name in "abcde"]
    configuration = MemberConfiguration("x", tuple(identities[:count]))
    context.disks = {
        identity.name: ControllerDisk(identity, 2, 20, configuration, version)
        for identity in identities
    }


def _change_disks(context, names: str, **changes) -> None:
    for name in names:
        context.disks[name] = replace(context.disks[name], **changes)


@when("configuration soak: {count} hold version 6 only")
def step_older_disks(context, count):
    names = {"two": "de", "three": "cde"}[count]
    _change_disks(context, names, version=6, last_index=19)


@when("configuration soak: all are voters")
@when("configuration soak: three are voters")
def step_unchanged(context):
    pass


@when("configuration soak: one is no voter in place of one that is gone")
def step_gone(context):
    voters = tuple(_identity(name) for name in "abcdg")
    _change_disks(context, "abcde", configuration=MemberConfiguration("x", voters))


@when("configuration soak: one takes the place of another in a pending change")
def step_pending(context):
    old, new = (tuple(_identity(name) for name in names) for names in ("abcde", "abcdf"))
    joint = MemberConfiguration("x", new, previous_voters=old)
    _change_disks(context, "abcde", configuration=joint)
    context.disks["f"] = ControllerDisk(_identity("f"), 2, 20, joint, VERSION)


@then("configuration soak: the loss of two disks is {judgement}")
def step_judged(context, judgement):
    found = {reason for _, reason in fatal_losses(context.disks, 2, VERSION)}
    expected = set() if judgement == "borne" else {judgement.removeprefix("fatal: ")}
    assert found == expected, found


@when("configuration soak: a machine is due {due:g} s after a loss of power that lasts {off:g} s")
def step_due_while_off(context, due, off):
    started = []

    async def lose_power() -> None:
        deployment = ConfigurationDeployment(context.folder, 0, {LATE: due})
        deployment.start_process = lambda ip, *arguments, **options: started.append(ip)
        await deployment.start_machine(LATE, CONTROLLER_PROGRAM)
        await deployment.kill_everything()
        await curio.sleep(off)
        deployment.start_everything(())

    curio.run(lose_power)
    context.started = started.count(LATE)


@then("configuration soak: it was started {count:d} time")
def step_started(context, count):
    assert context.started == count, context.started


@then("configuration soak: seed {first:d} draws the same plan twice, and seed {second:d} another")
def step_same_plan(context, first, second):
    assert draw_plan(first, PLAN_S, 5) == draw_plan(first, PLAN_S, 5)
    assert draw_plan(first, PLAN_S, 5) != draw_plan(second, PLAN_S, 5)


@then("configuration soak: seed {seed:d} sparing the proxies draws losses of controllers only")
def step_spared(context, seed):
    plan = draw_plan(seed, PLAN_S, 5, spares_proxies=True)
    assert plan.faults and not plan.closes_early, plan
    assert {fault.kind for fault in plan.faults} <= LOSSES, plan


@when("configuration soak: seed {seed:d} is played for {seconds:d} s")
def step_play(context, seed, seconds):
    context.result = run_soak(seed, seconds)


@when("configuration soak: seed {seed:d} is played for {seconds:d} s, sparing the proxies")
def step_play_spared(context, seed, seconds):
    context.result = run_soak(seed, seconds, spares_proxies=True)


@then("configuration soak: it broke no promise, and confirmed {count:d} changes")
def step_played(context, count):
    assert not context.result.violations, report(context.result)
    assert context.result.confirmed >= count, report(context.result)


@then("configuration soak: {count:d} reads in open sessions were answered")
def step_session_reads(context, count):
    assert context.result.session_reads >= count, report(context.result)

"""Steps on a proxy whose leading controller is paused and replaced."""

from __future__ import annotations

import curio
from behave import given, then, when

from features.support.paused_leader import PausedLeaderLab
from limedyke.core.limits.leader_outage import LeaderOutage
from limedyke.messages.control import MemberHealth, MemberReport

MS_PER_S = 1_000
NOW = 1_000.0
REPORT = MemberReport("g0", "m1", MemberHealth.UNREACHABLE, 1, 0, True)


@given("paused leader: a proxy linked to it, and a tenant that may run {rate:d} a second")
def step_lab(context, rate):
    _start(context, PausedLeaderLab(context.folder, rate))


@given(
    "paused leader: a proxy linked to the only controller, and a tenant that may run {rate:d} a "
    "second"
)
def step_lab_of_one(context, rate):
    _start(context, PausedLeaderLab(context.folder, rate, knows_second=False))


def _start(context, lab: PausedLeaderLab) -> None:
    context.kernel = curio.Kernel()
    context.lab = lab
    context.add_cleanup(lambda: context.kernel.run(shutdown=True))
    context.add_cleanup(context.kernel.run, lab.stop)
    context.kernel.run(lab.start)


@given("paused leader: its answers to heartbeats take {milliseconds:d} ms")
def step_slow_answers(context, milliseconds):
    context.lab.first.answer_s = milliseconds / MS_PER_S


@when("paused leader: {per_s:g} operations a second arrive for {seconds:g} s")
def step_send(context, per_s, seconds):
    context.kernel.run(context.lab.send, per_s, seconds)


@when(
    "paused leader: it is paused for {pause_ms:d} ms, and another one leads {after_ms:d} ms later"
)
def step_replaced(context, pause_ms, after_ms):
    _pause(context, pause_ms, after_ms / MS_PER_S)


@when("paused leader: it is paused for {pause_ms:d} ms, and no other one leads")
def step_not_replaced(context, pause_ms):
    _pause(context, pause_ms, None)


def _pause(context, pause_ms, successor_after_s):
    async def pause() -> None:
        arguments = (pause_ms / MS_PER_S, successor_after_s)
        await curio.spawn(context.lab.pause_leader, *arguments, daemon=True)

    context.kernel.run(pause)


@when("paused leader: the proxy reports a member")
def step_report(context):
    context.kernel.run(context.lab.client.report_member, REPORT)


@when("paused leader: {milliseconds:d} ms pass")
def step_pass(context, milliseconds):
    context.kernel.run(curio.sleep, milliseconds / MS_PER_S)


@then("paused leader: no operation was refused")
def step_none_refused(context):
    refused = [over for over in context.lab.answers if over is not None]
    assert not refused, (len(refused), len(context.lab.answers), refused[:3])


@then(
    "paused leader: at least {least:d} operations were refused, those that arrived after "
    "{since_ms:d} ms within {limit_ms:d} ms"
)
def step_refused(context, least, since_ms, limit_ms):
    lab = context.lab
    refused = [number for number, over in enumerate(lab.answers) if over is not None]
    assert len(refused) >= least, refused
    late = [
        lab.took_s[number]
        for number in refused
        if (lab.arrived_at[number] - lab.paused_at) * MS_PER_S > since_ms
    ]
    assert late
    assert max(late) * MS_PER_S <= limit_ms, max(late)


@then("paused leader: no operation ran more than {limit_ms:d} ms before an earlier one")
def step_in_order(context, limit_ms):
    lab = context.lab
    ended = [at + took for at, took in zip(lab.arrived_at, lab.took_s, strict=True)]
    early = [
        (number, later)
        for number, later in enumerate(ended)
        if later + limit_ms / MS_PER_S < max(ended[: number + 1])
    ]
    assert not early, (early, ended)


@given("paused leader: a leader last asked 0 ms ago has not answered")
def step_outage(context):
    context.outage = LeaderOutage()
    context.outage.note_unanswered(NOW)


@when(
    "paused leader: {after_ms:d} ms later an operation arrives that may wait {wait_ms:d} ms, its "
    "tenant was {where:w} its limit"
)
def step_held(context, after_ms, wait_ms, where):
    now = NOW + after_ms / MS_PER_S
    latest = now + wait_ms / MS_PER_S
    context.held_s = context.outage.held_until(latest, where == "over", now) - now


@then("paused leader: it is held for {held_ms:d} ms")
def step_held_for(context, held_ms):
    assert round(context.held_s * MS_PER_S) == held_ms, context.held_s


@then("paused leader: the proxy was linked to the other one within {limit_ms:d} ms of the pause")
def step_switched(context, limit_ms):
    assert context.lab.switched_s * MS_PER_S <= limit_ms, context.lab.switched_s


@then("paused leader: the proxy has kept its link")
def step_kept(context):
    assert context.lab.client.links_opened == 1, context.lab.client.links_opened

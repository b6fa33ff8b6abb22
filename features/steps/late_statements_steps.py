"""Steps on statements that arrive, or would be sent, after their time is over."""

from __future__ import annotations

import dataclasses
import time
from types import SimpleNamespace

from behave import given, step, then, when

from features.steps.forwarding_links_steps import make_unit
from features.steps.statement_path_steps import run
from limedyke.core.message_delay import MessageDelay
from limedyke.messages.work import WorkUnit
from limedyke.proxy.forwarding.server import ForwardingServer, _ServedLink
from limedyke.proxy.statements.members.member_connection import MemberConnection

MS_PER_S = 1_000
CLOCK_DIFFERENCE_MS = 5_000
CLOCK_STEP_MS = 30
"""Allowed error: clocks are sent in whole milliseconds, and the test itself takes some."""
OLD_VALUE = "old"


@step("late statements: the client has begun no transaction")
def step_no_transaction(context):
    pass


@step("late statements: the client has begun a transaction that wrote old")
def step_transaction(context):
    assert run(context, context.client.ask, "BEGIN") == "done T"
    assert run(context, context.client.ask, f"WRITE x {OLD_VALUE}") == "done T"


@step("late statements: {name:w} pauses for {milliseconds:d} ms")
def step_pause(context, name, milliseconds):
    context.path.homes[name].pause(milliseconds / MS_PER_S)


@then('late statements: no member committed "{value}"')
def step_not_committed(context, value):
    members = context.path.group.members.values()
    written = [write for m in members for commit in m.log.commits for write in commit.writes]
    assert ("x", value) not in written, written


@given("late statements: answers of {name:w} travel {milliseconds:d} ms")
def step_travel(context, name, milliseconds):
    context.path.group.members[name].faults.answers_travel_s = milliseconds / MS_PER_S


@when(
    "late statements: the process pauses for {milliseconds:d} ms before the next statement is sent "
    "to {name:w}"
)
def step_pause_before_sending(context, milliseconds, name):
    requests_to_set = MemberConnection._requests_to_set

    def pause_once(connection, values):
        MemberConnection._requests_to_set = requests_to_set
        time.sleep(milliseconds / MS_PER_S)
        return requests_to_set(connection, values)

    def undo():
        MemberConnection._requests_to_set = requests_to_set

    MemberConnection._requests_to_set = pause_once
    context.add_cleanup(undo)


@when('late statements: the client asks "{first}", then "{asked}"')
def step_ask_both(context, first, asked):
    async def ask_both() -> str:
        await context.client.ask(first)
        return await context.client.ask(asked)

    context.told = run(context, ask_both)


@then('late statements: the last answer is "{told}", and {name:w} ran "{text}" {times:d} times')
def step_ran(context, told, name, text, times):
    assert context.told == told, context.told
    assert context.path.runs_of(text) == [name] * times, context.path.runs_of(text)


@given(
    "late statements: a link over which units with {left_ms:d} ms arrive, the first without delay"
)
def step_link(context, left_ms):
    link = SimpleNamespace(send_framed=None)
    context.served = _ServedLink(ForwardingServer(None), None, link, "origin")
    context.unit = dataclasses.replace(make_unit(1, "g"), deadline_ms=left_ms)
    _arrive_after(context, 0)


def _arrive_after(context, delay_ms: int) -> WorkUnit:
    """Return what a link makes of a unit whose sender's clock is 5 s ahead."""
    sent_ms = int(time.monotonic() * MS_PER_S) + CLOCK_DIFFERENCE_MS - delay_ms
    return context.served._with_time_left(dataclasses.replace(context.unit, sent_ms=sent_ms))


@when("late statements: a unit arrives that has been on its way for {delay_ms:d} ms longer")
def step_arrives(context, delay_ms):
    context.arrived = _arrive_after(context, delay_ms)


@then("late statements: it has {left_ms:d} ms left")
def step_left(context, left_ms):
    assert abs(context.arrived.deadline_ms - left_ms) <= CLOCK_STEP_MS, context.arrived


@then(
    "late statements: messages sent at {sent} that arrive at {arrived} have delays of {delays} ms"
)
def step_delays(context, sent, arrived, delays):
    delay = MessageDelay()
    moments = zip(_numbers(sent), _numbers(arrived), strict=True)
    found = [round(delay.delay_s(*moment) * MS_PER_S) for moment in moments]
    assert found == _numbers(delays), found


def _numbers(text: str) -> list[int]:
    return [int(word) for word in text.split(", ")]

"""Steps for members that restart under their identities."""

from __future__ import annotations

import re

from behave import given, then, when

from features.support.announced_world import GROUP, AnnouncedWorld
from features.support.incarnations_world import (
    FIRST_START_MS,
    IncarnationsWorld,
    incarnation_of,
)
from limedyke.core.control.events import AuthorityOutcome
from limedyke.messages.control import MemberHealth

REACHABLE = MemberHealth.REACHABLE


def _roles(text: str) -> dict[str, str]:
    return dict(member.split(":") for member in text.split())


@given('incarnation: members "{members}" that report their start time')
def step_all_tell(context, members):
    roles = _roles(members)
    context.world = IncarnationsWorld(roles, set(roles))


@given('incarnation: members "{members}" that do not report their start time')
def step_none_tells(context, members):
    context.world = IncarnationsWorld(_roles(members), set())


@given('incarnation: members "{members}", of which {telling} report their start time')
def step_some_tell(context, members, telling):
    names = set() if telling == "nobody" else set(telling.split())
    context.world = IncarnationsWorld(_roles(members), names)


@when("incarnation: the events are: {events}")
def step_events(context, events):
    for event in events.split("; "):
        _happen(context.world, event)


def _happen(world: IncarnationsWorld, event: str) -> None:
    """Perform an event, after the delay that it starts with, if any."""
    later = re.fullmatch(r"([\d.]+) s later (.*)", event)
    if later is not None:
        world.now += float(later[1])
        event = later[2]
    name = event.split(" ")[0]
    of = re.match(r"\w of (\d+) ", event)
    incarnation = int(of[1]) if of is not None else None
    if event == "another leads":
        world.lead()
    elif event == "the log is read from a snapshot":
        world.read_snapshot()
    elif "restarts" in event:
        world.start_again(name, elsewhere="elsewhere" in event)
    elif "takes the address of" in event:
        world.take_address(name, event[-1])
    elif event.endswith("withdraws"):
        world.withdraw(name, incarnation)
    elif event.endswith("drains"):
        world.drain(name)
    else:
        world.announce(name, int(event.rpartition(" ")[2]), incarnation)


@then('incarnation: the log records "{recorded}"')
def step_recorded(context, recorded):
    assert context.world.recorded_text() == recorded, context.world.recorded_text()


@given(
    "incarnation: a group with primary a, replicas b and c, seen at 800, 500 and 400 "
    "by proxies p q r"
)
def step_group(context):
    roles = {"a": "primary", "b": "replica", "c": "replica"}
    world = context.group = AnnouncedWorld(roles, FIRST_START_MS)
    world.run(1.0)
    assert world.primary == "a", world.primary
    for name, position in (("a", 800), ("b", 500), ("c", 400)):
        world.report("p q r", name, REACHABLE, position)


@given("incarnation: a group with primary a alone, seen by proxies p q r")
def step_alone(context):
    world = context.group = AnnouncedWorld({"a": "primary"}, FIRST_START_MS)
    world.run(1.0)
    world.report("p q r", "a", REACHABLE, 800)


@when("incarnation: in the group, {events}")
def step_group_events(context, events):
    for event in events.split("; "):
        _happen_in_group(context.group, event)


def _happen_in_group(world: AnnouncedWorld, event: str) -> None:
    again = re.fullmatch(r"(\w) restarts as (\w+)", event)
    seen = re.fullmatch(r"([\w ]+?) sees? (\w)( of before)? at (\d+)", event)
    leads = re.fullmatch(r"([\w ]+?) sees? that (\w) (leads|does not lead)", event)
    lost = re.fullmatch(r"([\w ]+?) can't reach (\w)", event)
    passes = re.fullmatch(r"(\d+) ms pass", event)
    if again is not None:
        world.start_again(again[1], again[2])
    elif seen is not None:
        started = FIRST_START_MS if seen[3] else None
        world.report(seen[1], seen[2], REACHABLE, int(seen[4]), started_at_ms=started)
    elif leads is not None:
        world.report(leads[1], leads[2], REACHABLE, 800, leads=leads[3] == "leads")
    elif lost is not None:
        world.report(lost[1], lost[2], MemberHealth.UNREACHABLE)
    elif passes is not None:
        world.run(int(passes[1]) / 1_000)
    elif event == "the authority answers":
        world.answer(AuthorityOutcome.PROMOTED)
    elif event == "a announces primary":
        world.announce("a", "primary")
    else:
        assert event == "nothing happens", event


@when("incarnation: {milliseconds:d} ms pass in the group")
def step_pass(context, milliseconds):
    context.group.run(milliseconds / 1_000)


@then("incarnation: promotion is not requested")
def step_not_asked(context):
    assert not context.group.calls, context.group.calls


@then("incarnation: promotion is requested of {name:w}")
def step_asked_of(context, name):
    assert context.group.calls, "no promotion was requested"
    assert context.group.calls[-1].member == name, context.group.calls


@then("incarnation: the recorded primary is a, of its current incarnation")
def step_present(context):
    world = context.group
    recorded = world.test.state.primaries[GROUP]
    assert recorded.primary == "a", recorded
    present = world.members["a"].started_at_ms
    assert recorded.started_at_ms == present, incarnation_of(recorded.started_at_ms)

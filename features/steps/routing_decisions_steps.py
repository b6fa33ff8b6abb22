"""Steps for routing as a pure function."""

from __future__ import annotations

import re

from behave import given, then, when

from limedyke.core.group_view import GroupView
from limedyke.core.replica_lag import PrimaryTimeline, ReplicaLag
from limedyke.core.routing import RoutingRequest, choose_member
from limedyke.messages.control import GroupPrimary, MemberHealth
from limedyke.messages.declaration import Group, Member
from limedyke.messages.work import Access, LogPosition

NOW = 10.0
REPLICA_WAIT_MS = 20
MS_PER_S = 1_000.0
REACHED_S_AGO = 0.010
SLOTS = 4


@given("routing: members a in z1 primary at 100, b in z2 at 100, c in z3 at 100, term 2")
def step_members(context):
    members = tuple(Member(name, f"127.0.0.1:{i}", f"z{i}") for i, name in enumerate("abc", 1))
    group = Group("g", members, 40, SLOTS, (), "admin")
    context.group = group
    context.view = GroupView(group, GroupPrimary("g", 2, "a"))
    for name in "abc":
        seen_at = NOW - REACHED_S_AGO if name == "a" else NOW
        context.view.observed(name, LogPosition(2, 100), name != "a", seen_at)
        context.view.members[name].in_flight_limit = SLOTS


def _fall_behind(state, lag_s, seen_s_ago):
    """Record an answer of a replica that lacks a position of that age."""
    asked_at = NOW - seen_s_ago
    timeline = PrimaryTimeline()
    timeline.reached(91, asked_at - lag_s)
    state.lag.observe(timeline, 90, asked_at)
    state.place = LogPosition(state.place.term, 90)


def _apply(context, change):
    view = context.view
    if change == "no primary is recorded":
        view.declare(context.group, GroupPrimary("g", 3, ""))
        return
    name, change = change.split(" ", 1)
    state = view.members[name]
    if match := re.fullmatch(r"has (\d+) of \d+ slots taken", change):
        state.outstanding = int(match[1])
    elif match := re.fullmatch(r"is (\d+) ms away", change):
        state.answered_in(float(match[1]) / MS_PER_S)
    elif change == "is unreachable":
        state.health = MemberHealth.UNREACHABLE
    elif change == "is leaving":
        state.leaving = True
    elif change == "was never asked":
        view.restarted(name)
    elif match := re.fullmatch(r"is of term (\d+)", change):
        state.place = LogPosition(int(match[1]), state.place.position)
    elif match := re.fullmatch(r"is (\d+) ms behind(?: since (\d+) s)?", change):
        _fall_behind(state, float(match[1]) / MS_PER_S, float(match[2] or 0))
    else:
        raise AssertionError(change)


@given("routing: a view in which {changes}")
def step_changes(context, changes):
    if changes != "nothing differs":
        for change in changes.split("; "):
            _apply(context, change)


@when("routing: a {access} that needs term {term:d} position {position:d} is routed from {zone}")
def step_route(context, access, term, position, zone):
    request = RoutingRequest(Access(access), LogPosition(term, position), zone, REPLICA_WAIT_MS)
    context.decision = choose_member(context.view, request, NOW)


@then("routing: it goes to {member} because {reason}")
def step_decision(context, member, reason):
    expected = "" if member == "nobody" else member
    assert (context.decision.member, context.decision.reason) == (expected, reason), (
        context.decision
    )


@given("routing: the primary was confirmed at {samples}")
def step_confirmed(context, samples):
    for sample in samples.split(", "):
        if sample == "then term 3":
            context.view.declare(context.group, GroupPrimary("g", 3, "b"))
            continue
        asked_at, position = sample.split(" with ")
        context.view.primary_confirmed(2, int(position), float(asked_at))


@when("routing: the place not older than {since:g} is asked for")
def step_place(context, since):
    context.place = context.view.place_not_older(since)


@then("routing: it is {place}")
def step_place_is(context, place):
    expected = None
    if place != "none":
        expected = LogPosition(*map(int, place.split("/")))
    assert context.place == expected, context.place


@given("routing: the primary reached position 10 at 1.0 s, 20 at 2.0 s and 30 at 3.0 s")
def step_timeline(context):
    context.timeline = PrimaryTimeline()
    context.lag = ReplicaLag()
    for second in (1, 2, 3):
        context.timeline.reached(second * 10, float(second))


@when("routing: the replica answers {answers}")
def step_answers(context, answers):
    if answers == "nothing":
        return
    for answer in answers.split("; "):
        position, asked_at = re.fullmatch(r"(\d+) at ([\d.]+) s", answer).groups()
        context.lag.observe(context.timeline, int(position), float(asked_at))


@then("routing: positions are missing there up to an age of {age:g} s at {now:g} s")
def step_missing_age(context, age, now):
    found = context.lag.missing_age_s(now)
    assert abs(found - age) < 1e-9, found

"""Steps that replay reads on lagging replicas."""

from __future__ import annotations

from behave import given, then, when

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.primary_positions import PrimaryPositions
from limedyke.core.statements.replica_lag import ReplicaLag
from limedyke.core.statements.routing import soonest_replica
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import LogPosition

MS_PER_S = 1_000.0
NOW = 100.0
COMMIT_S = 0.02
ANSWER_S = 0.014
TOLERANCE_MS = 1.0
ROUNDED_MS = 20.0
"""Tolerance: positions are one commit apart, and a lag includes the shortest pause."""


def _at(moment):
    """Return the primary's position at a moment; it commits every 20 ms."""
    return LogPosition(1, int(moment / COMMIT_S + 1e-6))


@given("lag: a replica that has been behind for {behind:d} ms")
def step_behind_for(context, behind):
    context.lag = ReplicaLag()
    if behind:
        since = NOW - behind / MS_PER_S
        context.lag.lacked(_at(since), since, since)


@when('lag: {count:d} reads of a position {age:d} ms old are answered "behind" at once')
def step_answered_behind(context, count, age):
    held_since = NOW - age / MS_PER_S
    for _ in range(count):
        context.lag.lacked(_at(held_since), held_since, NOW)


@then("lag: it is asked again in {again:d} ms")
def step_asked_again(context, again):
    wanted = LogPosition(1, 10**9)
    found = context.lag.ready_in_s(wanted, NOW - 10.0, NOW) * MS_PER_S
    assert abs(found - again) < TOLERANCE_MS, found


@given("lag: a replica that now reports a lag of {late:d} ms, and lacked a commit {ago:d} ms ago")
def step_reported_lag(context, late, ago):
    context.lag = ReplicaLag()
    reported_until = NOW - late / MS_PER_S
    lacked = LogPosition(1, _at(reported_until).position + 1)
    context.lag.lacked(lacked, None, NOW - ago / MS_PER_S)
    context.lag.told(_at(reported_until), reported_until, reported_until, NOW)


@then("lag: a position {age:d} ms old is expected there in {ready:d} ms")
def step_expected_in(context, age, ready):
    held_since = NOW - age / MS_PER_S
    found = context.lag.ready_in_s(_at(held_since), held_since, NOW) * MS_PER_S
    assert abs(found - ready) <= ROUNDED_MS, found


@then("lag: a position {age:d} ms old is expected there now")
def step_expected_now(context, age):
    step_expected_in(context, age, 0)


@when("lag: it reports the primary's own position repeatedly")
def step_caught_up(context):
    for _ in range(20):
        context.lag.told(_at(NOW), NOW, None, NOW)


@when("lag: it is asked again {later:d} ms later, by a read that may take {time:d} ms")
def step_asked(context, later, time):
    context.now = NOW + later / MS_PER_S
    assert context.lag.ready_in_s(_at(NOW), NOW - 1.0, context.now) < TOLERANCE_MS / MS_PER_S
    context.lag.asked(context.now + time / MS_PER_S)


@then("lag: other reads avoid it for {time:d} ms")
def step_avoided(context, time):
    found = context.lag.ready_in_s(_at(NOW), NOW - 1.0, context.now) * MS_PER_S
    assert abs(found - time) < TOLERANCE_MS, found


@given("lag: replica b reaches the position in {b:d} ms and c in {c:d} ms, answers take 14 ms")
def step_replicas(context, b, c):
    context.observed_members = []
    for name, ready in (("b", b), ("c", c)):
        record = AnnouncedMember(name, "g", f"{name}:1", "z", "v1", 4, MemberState.READY, False)
        observed = ObservedMember(record)
        observed.answered(NOW, None)
        observed.served(ANSWER_S, NOW)
        observed.lag.lacked(_at(NOW), NOW, NOW)
        observed.lag.asked(NOW + ready / MS_PER_S)
        context.observed_members.append(observed)


@when("lag: the read would cost {instead:d} ms at the primary")
def step_instead(context, instead):
    context.soonest = soonest_replica(
        context.observed_members, "a", _at(NOW), "z", NOW, NOW - 1.0, instead / MS_PER_S
    )


@then("lag: it goes to the primary")
def step_goes_to_primary(context):
    assert context.soonest is None, context.soonest


@then("lag: it waits {wait:d} ms for {name:w}")
def step_waits(context, wait, name):
    member, wait_s = context.soonest
    assert member.record.identity == name, name
    assert abs(wait_s * MS_PER_S - wait) < TOLERANCE_MS, wait_s


@given("lag: a replica that is {late:d} ms late from {begin:d} ms to {end:d} ms")
def step_late_from(context, late, begin, end):
    context.late = (late / MS_PER_S, begin / MS_PER_S, end / MS_PER_S)


@when(
    "lag: {rate:d} reads a second require the primary's position {age:d} ms before, for {time:d} s"
)
def step_play(context, rate, age, time):
    late_s, begin, end = context.late
    lag, positions = ReplicaLag(), PrimaryPositions()
    context.refused_count, context.read_at = 0, []
    known = LogPosition()
    for step in range(int(time / COMMIT_S)):
        now = step * COMMIT_S
        positions.add(NOW + now, _at(NOW + now))
        if step % max(1, int(1 / COMMIT_S / rate)):
            continue
        required = positions.not_older_than(NOW + now - age / MS_PER_S)
        held_since = positions.held_since(required)
        if known < required and lag.ready_in_s(required, held_since, NOW + now) > 0.0:
            continue
        own = _at(NOW + now - (late_s if begin <= now < end else 0.0))
        known = own
        lag.told(own, positions.held_since(own), positions.passed_at(own), NOW + now)
        if own < required:
            lag.lacked(required, held_since, NOW + now)
            context.refused_count += 1
        else:
            context.read_at.append(now)


@then("lag: at most {count:d} of them are refused by the replica")
def step_refused(context, count):
    assert context.refused_count <= count, context.refused_count


@then("lag: the replica serves reads again within {time:d} ms after it caught up")
def step_read_again(context, time):
    end = context.late[2]
    first = min(at for at in context.read_at if at >= end)
    assert first <= end + time / MS_PER_S, first

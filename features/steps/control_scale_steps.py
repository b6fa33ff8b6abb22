"""Steps for the cost of a leader's evaluations with many groups."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from random import Random

from behave import given, then, when

from features.support.announced_world import a_member
from features.support.control_builders import StateUnderTest
from limedyke.core.control.events import (
    HeartbeatReceived,
    Propose,
    ProxyConnected,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import ProxyHeartbeat, ProxyHello, ProxyState
from limedyke.messages.control_entries import DeclareVersion, RecordMembers
from limedyke.messages.databases import MemberState
from limedyke.messages.declaration import Declaration, Group, PromotionMode, TenantAccess

EVALUATION_INTERVAL_S = 0.05
HOMES = 3


class _CountedMembers(dict):
    """Members by identity; counts the records that are read."""

    read = 0

    def get(self, identity, default=None):
        """Count one record."""
        self.read += 1
        return super().get(identity, default)

    def values(self) -> Iterator:
        """Count all records that are iterated over."""
        for value in super().values():
            self.read += 1
            yield value


class _ManyGroups:
    """A leader of many groups whose proposals are applied immediately."""

    def __init__(self, groups: int, proxies: int) -> None:
        self.now = 100.0
        self.test = StateUnderTest()
        access = TenantAccess("shared", "g", "", "", 30)
        declared = tuple(
            Group(f"g{number}", (), 30, 1, (access,), "", PromotionMode.AUTHORITY, announced=True)
            for number in range(groups)
        )
        self.test.apply(DeclareVersion(1, b"{}", Declaration(groups=declared)))
        self.members = [
            replace(
                a_member(role[0], role),
                identity=f"g{number}-{place}",
                group=f"g{number}",
                address=f"127.{place}.0.{number + 1}:1",
            )
            for number in range(groups)
            for place, role in enumerate(("primary", "replica", "replica"))
        ]
        self.test.apply(RecordMembers(tuple(self.members)))
        self.counted = self.test.state.announced = _CountedMembers(self.test.state.announced)
        timing = ControlTiming(lease_s=30.0)
        self.leader = LeaderDecisions(self.test.state, timing, HOMES, Random(1), self.now)
        for number in range(proxies):
            hello = ProxyHello(f"p{number}", 1, f"127.9.0.{number + 1}:1", "z", 0, 0)
            self.post(ProxyConnected(hello))
            beat = ProxyHeartbeat(1, 0, 0, ProxyState.SERVING, 0)
            self.post(HeartbeatReceived(hello.name, beat, True))
        for member in self.members:
            self.announce(member, 1)

    def announce(self, member, number: int) -> None:
        entry = self.leader.announcements.announced(member, number, self.now)
        if entry is not None:
            self._apply(entry)
        self.post()

    def post(self, *events: object) -> None:
        for event in events:
            self.leader.handle(event, self.now)
        while commands := self.leader.take_commands():
            for command in commands:
                if isinstance(command, Propose):
                    self._apply(command.entry)

    def _apply(self, entry: object) -> None:
        update = self.test.apply(entry).update
        if update is not None:
            self.leader.handle(UpdateApplied(update), self.now)


@given(
    "control scale: a leader with {groups:d} groups of 3 announced members and {proxies:d} proxies"
)
def step_many(context, groups, proxies):
    context.groups = groups
    context.world = _ManyGroups(groups, proxies)


@when("control scale: 1 s passes, with an evaluation every 50 ms")
def step_pass(context):
    context.world.counted.read = 0
    context.evaluations = 20
    for _ in range(context.evaluations):
        context.world.now += EVALUATION_INTERVAL_S
        context.world.post(TimePassed())


@then("control scale: each evaluation read at most {most:d} member records per group")
def step_read(context, most):
    each = context.world.counted.read / context.evaluations / context.groups
    assert each <= most, each


@when("control scale: one member of each group announces that it drains")
def step_drain(context):
    context.world.counted.read = 0
    for member in context.world.members[1::3]:
        context.world.announce(replace(member, state=MemberState.DRAINING), 2)


@then("control scale: each change read at most {most:d} member records")
def step_read_changes(context, most):
    each = context.world.counted.read / context.groups
    assert each <= most, each

"""Steps for the membership of proxies."""

from __future__ import annotations

import random

from behave import given, step, then, when

from features.support.control_builders import StateUnderTest, a_declaration, a_group
from limedyke.controller.platform_list import PlatformListError, leaving_machines
from limedyke.core.control.events import (
    HeartbeatReceived,
    PlatformListed,
    Propose,
    ProxyConnected,
    ProxyDisconnected,
    ProxyLeft,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import ProxyHeartbeat, ProxyHello, ProxyState

STEP_S = 0.25
HOMES = 3


class MembershipUnderTest:
    """A leader whose proposals are applied immediately."""

    def __init__(self, lease_s: float, groups: int = 1) -> None:
        self.test = StateUnderTest()
        declared = [a_group("g"), *(a_group(f"g{number}") for number in range(1, groups))]
        self.test.bring_into_force(a_declaration(*declared))
        self.now = 0.0
        timing = ControlTiming(lease_s=lease_s)
        generator = random.Random(1)
        self.leader = LeaderDecisions(self.test.state, timing, HOMES, generator, self.now)
        self.entries = 0
        self.sequence = 0

    def post(self, *events: object) -> None:
        """Handle events, and apply the resulting proposals."""
        for event in events:
            self.leader.handle(event, self.now)
        while True:
            proposed = [c for c in self.leader.take_commands() if isinstance(c, Propose)]
            if not proposed:
                return
            for command in proposed:
                self.entries += 1
                update = self.test.apply(command.entry).update
                if update is not None:
                    self.leader.handle(UpdateApplied(update), self.now)

    def connect(self, name: str, incarnation: int = 1, folder_id: str = "disk") -> None:
        """Connect a proxy, which sends its first heartbeat."""
        hello = ProxyHello(name, incarnation, "127.9.9.9:1", "z1", 0, 0, folder_id)
        self.post(ProxyConnected(hello))
        self.post(self.heartbeat(name, first=True))

    def heartbeat(self, name: str, first: bool = False) -> HeartbeatReceived:
        """Return a heartbeat."""
        self.sequence += 1
        beat = ProxyHeartbeat(self.sequence, 0, 0, ProxyState.SERVING, 0)
        return HeartbeatReceived(name, beat, first)

    def wait(self, seconds: float, is_alive: bool) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + STEP_S)
            if is_alive:
                self.post(self.heartbeat("p"))
            self.post(TimePassed())


@given("membership: a serving proxy with leases of {lease:g} s")
def _(context, lease):
    context.membership = MembershipUnderTest(lease)
    context.membership.connect("p")


@when("membership: the platform lists it as {listed}")
def _(context, listed):
    leaving = frozenset({"p"}) if listed == "leaving" else frozenset()
    context.membership.post(PlatformListed(leaving))


@step("membership: it {does} for {seconds:g} s")
def _(context, does, seconds):
    membership = context.membership
    match does:
        case "loses its link":
            membership.post(ProxyDisconnected("p"))
        case "drains":
            membership.post(ProxyLeft("p", done=False))
        case "has drained":
            membership.post(ProxyLeft("p", done=True))
    membership.wait(seconds, is_alive=does == "stays alive")


@when("membership: it reconnects {how}")
def _(context, how):
    match how:
        case "as the same process":
            context.membership.connect("p")
        case "as a later process":
            context.membership.connect("p", incarnation=2)
        case "from another machine":
            context.membership.connect("p", incarnation=2, folder_id="other disk")


@then("membership: it is {state}")
def _(context, state):
    record = context.membership.test.state.proxies.get("p")
    assert (record.state.value if record else "forgotten") == state, record


@when("membership: {count:d} proxies connect within one decision, with {groups:d} groups declared")
def _(context, count, groups):
    context.membership = membership = MembershipUnderTest(30.0, groups)
    hellos = [ProxyHello(f"p{i}", 1, "", "z1", 0, 0, "disk") for i in range(count)]
    membership.post(*[ProxyConnected(hello) for hello in hellos])
    context.count = count


@then(
    "membership: within {seconds:g} s all are recorded, by entries of at most {most:d}, "
    "{apart:g} s apart"
)
def _(context, seconds, most, apart):
    membership = context.membership
    assert 0 < len(membership.test.state.proxies) <= most
    while len(membership.test.state.proxies) < context.count:
        before = len(membership.test.state.proxies)
        membership.now += apart / 2
        membership.post(TimePassed())
        assert len(membership.test.state.proxies) == before, "not rate-limited"
        membership.now += apart / 2 + 0.001
        membership.post(TimePassed())
        assert before < len(membership.test.state.proxies) <= before + most
    assert membership.now <= seconds, membership.now


@when("membership: {count:d} proxies connect and then {silent:d} others are silent")
def _(context, count, silent):
    context.membership = membership = MembershipUnderTest(30.0)
    for number in range(silent):
        membership.connect(f"s{number}", folder_id=f"disk of s{number}")
        membership.wait(0.5, is_alive=False)
    membership.now += 10.0
    hellos = [ProxyHello(f"p{i}", 1, "", "z1", 0, 0, "disk") for i in range(count)]
    for hello in hellos:
        membership.leader.handle(ProxyConnected(hello), membership.now)
    membership.leader.handle(TimePassed(), membership.now)
    context.silent = silent


@then("membership: the next entry names the silent ones")
def _(context):
    proposed = [c for c in context.membership.leader.take_commands() if isinstance(c, Propose)]
    states = [record.state for record in proposed[0].entry.proxies[: context.silent]]
    assert states == [ProxyState.SUSPECTED] * context.silent, states


@then("membership: the list {body} names {leaving} as leaving")
def _(context, body, leaving):
    expected = frozenset() if leaving == "nobody" else frozenset(leaving.split())
    assert leaving_machines(body.encode()) == expected


@then("membership: the list {body} is refused")
def _(context, body):
    try:
        leaving = leaving_machines(body.encode())
    except PlatformListError:
        return
    raise AssertionError(leaving)

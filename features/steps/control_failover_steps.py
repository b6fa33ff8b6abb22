"""Steps for the failover of primaries."""

from __future__ import annotations

import random
import time
from collections import Counter
from unittest import mock

from behave import given, step, then, when

from features.support.control_builders import StateUnderTest, a_declaration, a_group, a_proxy
from limedyke.core.control.events import (
    HeartbeatReceived,
    MemberReported,
    PromotionAnswered,
    Propose,
    ProxyConnected,
    ProxyDisconnected,
    SendToProxy,
    TimePassed,
    UpdateApplied,
    WritesPausedReported,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.primaries.group_reports import GroupReports
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import (
    MemberHealth,
    MemberReport,
    PromoteOrder,
    ProxyHeartbeat,
    ProxyHello,
    ProxyState,
)
from limedyke.messages.control_entries import (
    BeginSwitchover,
    ConfirmPlan,
    PrimaryChange,
    RecordPrimaries,
    RecordProxies,
)
from limedyke.messages.declaration import PromotionMode

STEP_S = 0.025
LONG_SILENCE_S = 2.6


class FailoverUnderTest:
    """A leader with proxies; its proposals are applied at once."""

    def __init__(self, groups: list, proxies: list[str], primary: str, term: int) -> None:
        self.test = StateUnderTest()
        self.now = 100.0
        self.orders: list[tuple[str, PromoteOrder]] = []
        self.ordered_at: list[float] = []
        self.answer = None
        self.longest_event_s = 0.0
        self.silent: set[str] = set()
        self.log_delay_s = 0.0
        self.proposals_to_lose = 0
        self._proposed: list[tuple[float, object]] = []
        self.proxies = proxies
        self.test.bring_into_force(a_declaration(*groups))
        records = tuple(a_proxy(name, f"z{i % 3}") for i, name in enumerate(proxies))
        self.test.apply(RecordProxies(records))
        if primary:
            changes = tuple(PrimaryChange(group.name, 0, term, primary) for group in groups)
            self.test.apply(RecordPrimaries(changes))
        self.lead()

    def lead(self) -> None:
        """Become the leader; all proxies connect."""
        generator = random.Random(7)
        timing = ControlTiming(suspicion_s=1e9)
        self.decisions = LeaderDecisions(self.test.state, timing, 3, generator, self.now)
        for name in self.proxies:
            self.post(ProxyConnected(self._hello_of(name)))
            self.heartbeat(name, first=True)

    def _hello_of(self, name: str) -> ProxyHello:
        """Return a proxy's hello, with the values recorded for it."""
        record = self.test.state.proxies[name]
        return ProxyHello(
            name, record.incarnation, record.address, record.zone, 0, 0, record.folder_id
        )

    def heartbeat(self, name: str, first: bool = False) -> None:
        """Deliver a heartbeat of a proxy."""
        beat = ProxyHeartbeat(1, 0, 0, ProxyState.SERVING, 0)
        self.post(HeartbeatReceived(name, beat, first))

    def post(self, event: object) -> None:
        """Handle an event and execute the resulting commands."""
        started = time.process_time()
        self.decisions.handle(event, self.now)
        commands = self.decisions.take_commands()
        self.longest_event_s = max(self.longest_event_s, time.process_time() - started)
        for command in commands:
            if isinstance(command, Propose):
                self.propose(command.entry)
            elif isinstance(command, SendToProxy) and isinstance(command.message, PromoteOrder):
                self._order(command.proxy, command.message)

    def _order(self, proxy: str, order: PromoteOrder) -> None:
        self.orders.append((proxy, order))
        self.ordered_at.append(self.now)
        if self.answer:
            self.answer(proxy, order)

    def propose(self, entry: object) -> None:
        """Apply an entry and notify the leader, immediately or after the log's delay."""
        if self.proposals_to_lose:
            self.proposals_to_lose -= 1
        elif self.log_delay_s:
            self._proposed.append((self.now + self.log_delay_s, entry))
        else:
            self._apply(entry)

    def _apply_due(self) -> None:
        while self._proposed and self._proposed[0][0] <= self.now:
            self._apply(self._proposed.pop(0)[1])

    def _apply(self, entry: object) -> None:
        applied = self.test.apply(entry)
        if applied.update is not None:
            self.post(UpdateApplied(applied.update))

    def report(
        self,
        proxy: str,
        member: str,
        health: MemberHealth = MemberHealth.REACHABLE,
        term: int = 0,
        primary: bool = False,
        group: str = "g",
        position: int = 0,
    ) -> None:
        """Deliver a proxy's report on a member."""
        report = MemberReport(group, member, health, term, position, primary)
        self.post(MemberReported(proxy, report))

    def wait(self, seconds: float) -> None:
        """Advance the clock; proxies that are not silent send heartbeats."""
        end = self.now + seconds
        beat_at = self.now
        while self.now < end:
            self.now += STEP_S
            if self.now >= beat_at:
                beat_at = self.now + 1.0
                for name in self.proxies:
                    if name not in self.silent:
                        self.heartbeat(name)
            self._apply_due()
            self.post(TimePassed())

    def primary(self, group: str = "g"):
        """Return the recorded primary of a group."""
        return self.test.state.primaries.get(group)


def _all_reachable(leader: FailoverUnderTest, primary: str, term: int) -> None:
    for proxy in leader.proxies:
        for member in ("m1", "m2", "m3"):
            leader.report(proxy, member, term=term, primary=member == primary)


@given('failover: group "g" with primary m1 under term {term:d}, watched by "{proxies}"')
def _(context, term, proxies):
    context.leader = FailoverUnderTest([a_group("g")], proxies.split(), "m1", term)
    _all_reachable(context.leader, "m1", term)


@given('failover: group "g" in {mode:w} mode with nothing recorded, watched by "{proxies}"')
def _(context, mode, proxies):
    group = a_group("g", promotion=PromotionMode(mode))
    context.leader = FailoverUnderTest([group], proxies.split(), "", 0)


@given("failover: the rule on blind proxies is {state:w}")
def _(context, state):
    if state == "off":
        patch = mock.patch.object(GroupReports, "sees_majority", lambda self, proxy: True)
        patch.start()
        context.add_cleanup(patch.stop)


@when('failover: "{names:Anything}" fall silent')
def _(context, names):
    context.leader.silent = set(names.split())
    if names:
        context.leader.wait(LONG_SILENCE_S)


@step('failover: "{names:Anything}" report {member:w} as {health}')
def _(context, names, member, health):
    leader = context.leader
    for name in names.split():
        if health == "a replica":
            leader.report(name, member, term=5)
        else:
            is_primary = health != "unreachable"
            leader.report(name, member, MemberHealth(health), 5, is_primary)


@step('failover: "{names}" reports {member:w} as the primary of term {term:d}')
def _(context, names, member, term):
    for name in names.split():
        context.leader.report(name, member, term=term, primary=True)


@when('failover: "{names:Anything}" reach no member but m1')
def _(context, names):
    for name in names.split():
        for member in ("m2", "m3"):
            context.leader.report(name, member, MemberHealth.UNREACHABLE)


@step("failover: {ms:d} ms pass")
def _(context, ms):
    context.leader.wait(ms / 1000)


@step("failover: {ms:d} ms pass without answer to orders")
def _(context, ms):
    context.leader.wait(ms / 1000)


@step("failover: {ms:d} ms pass and orders make {member:w} primary")
def _(context, ms, member):
    leader = context.leader
    leader.answer = lambda proxy, order: leader.post(
        PromotionAnswered(proxy, order.group, order.term, member)
    )
    leader.wait(ms / 1000)


def _report_primary_unreachable(leader: FailoverUnderTest, names: list[str]) -> None:
    primary = leader.primary()
    for name in names:
        leader.report(name, primary.primary, MemberHealth.UNREACHABLE, primary.term)


@when("failover: {count:d} failovers follow each other")
def _(context, count):
    leader = context.leader
    for _number in range(count):
        old = leader.primary()
        _report_primary_unreachable(leader, leader.proxies)
        while leader.primary().term == old.term:
            leader.wait(STEP_S)
        proxy, order = leader.orders[-1]
        follower = "m2" if old.primary == "m1" else "m1"
        leader.post(PromotionAnswered(proxy, "g", order.term, follower))
        for name in leader.proxies:
            for member in ("m1", "m2", "m3"):
                leader.report(name, member, term=order.term, primary=member == follower)


@when('failover: "{names}" stop reaching the primary')
def _(context, names):
    _report_primary_unreachable(context.leader, names.split())


@when("failover: the ordered proxy answers that {member:w} is the primary")
def _(context, member):
    proxy, order = context.leader.orders[-1]
    context.leader.post(PromotionAnswered(proxy, "g", order.term, member))


@when("failover: the first ordered proxy answers that {member:w} is the primary of term {term:d}")
def _(context, member, term):
    proxy, order = context.leader.orders[0]
    assert order.term == term
    context.leader.post(PromotionAnswered(proxy, "g", term, member))


@when("failover: the ordered proxy answers nothing")
def _(context):
    assert context.leader.orders


@when("failover: the ordered proxy answers that it fails")
def _(context):
    proxy, order = context.leader.orders[-1]
    context.leader.post(PromotionAnswered(proxy, "g", order.term, ""))


@when("failover: the log takes {ms:d} ms from now on")
def _(context, ms):
    context.leader.log_delay_s = ms / 1000


@when("failover: the next proposal is lost")
def _(context):
    context.leader.proposals_to_lose = 1


@when('failover: "{proxy:w}" still sees m1 far ahead of the others')
def _(context, proxy):
    context.leader.report(proxy, "m1", term=5, primary=True, position=1_000)


@then("failover: the order does not prefer m1")
def _(context):
    preferred = context.leader.orders[-1][1].preferred
    assert preferred not in ("", "m1"), preferred


@when("failover: the ordered proxy loses its link")
def _(context):
    proxy, _ = context.leader.orders[-1]
    context.leader.silent.add(proxy)
    context.leader.post(ProxyDisconnected(proxy))


@when("failover: another controller becomes the leader and all proxies report again, {seen}")
def _(context, seen):
    leader = context.leader
    leader.lead()
    for proxy in leader.proxies:
        leader.report(proxy, "m1", MemberHealth.UNREACHABLE)
        leader.report(proxy, "m2", term=6, primary=seen.startswith("m2"))
        leader.report(proxy, "m3", term=6)


@when("failover: a switchover to {member:w} is confirmed")
def _(context, member):
    term = context.leader.primary().term
    context.leader.propose(BeginSwitchover("r", "anna", "g", term, member))


@when("failover: m1 is declared leaving")
def _(context):
    leader = context.leader
    plan = leader.test.plan(a_declaration(a_group("g", leaving=("m1",))), "leave")
    leader.propose(ConfirmPlan("confirm leave", "anna", plan.plan_id, 1_010))


@when('failover: "{names:Anything}" say that writes have paused')
def _(context, names):
    for name in names.split():
        context.leader.post(WritesPausedReported(name, "g", 5))


@then("failover: home proxies are asked to pause writes under term {term:d}")
def _(context, term):
    primary = context.leader.primary()
    assert (primary.term, primary.primary, primary.switching_over) == (term, "m1", True), primary


@then("failover: the recorded term is {term:d}")
def _(context, term):
    primary = context.leader.primary()
    assert (primary.term if primary else 0) == term, primary


@then("failover: {member:w} is the primary under term {term:d}")
def _(context, member, term):
    primary = context.leader.primary()
    assert (primary.primary, primary.term) == (member, term), primary


@then('failover: group "g" has no primary')
def _(context):
    assert context.leader.primary().primary == "", context.leader.primary()


@then("failover: one proxy has an order for term {term:d}")
def _(context, term):
    orders = context.leader.orders
    assert [order.term for _, order in orders] == [term], orders


@then("failover: the order prefers {member:w}")
def _(context, member):
    assert context.leader.orders[-1][1].preferred == member, context.leader.orders


@then('failover: the first order went to one of "{names}"')
def _(context, names):
    assert context.leader.orders[0][0] in names.split(), context.leader.orders


@then("failover: the timeouts of the orders are {times} ms")
def _(context, times):
    expected = [int(time_ms) for time_ms in times.split()]
    found = [order.timeout_ms for _, order in context.leader.orders]
    assert found[: len(expected)] == expected, found


@then("failover: no order is given while an earlier one may still be running")
def _(context):
    leader = context.leader
    ends = [
        at + order.timeout_ms / 1000
        for at, (_, order) in zip(leader.ordered_at, leader.orders, strict=True)
    ]
    assert all(end < at for end, at in zip(ends, leader.ordered_at[1:], strict=False)), ends


@then("failover: the order is for a planned switchover")
def _(context):
    assert context.leader.orders[-1][1].planned, context.leader.orders


@then('failover: no order went to "{name:w}"')
def _(context, name):
    assert name not in [proxy for proxy, _ in context.leader.orders], context.leader.orders


@then("failover: the orders had increasing terms and no term was ordered twice")
def _(context):
    terms = [order.term for _, order in context.leader.orders]
    assert len(terms) >= 2 and terms == sorted(set(terms)), terms


@then("failover: the second order went to another proxy than the first")
def _(context):
    orders = context.leader.orders
    assert orders[0][0] != orders[1][0], orders


@given("failover: {count:d} groups with primary m1, watched by {proxies:d} proxies")
def _(context, count, proxies):
    groups = [a_group(f"g{i}") for i in range(count)]
    names = [f"p{i}" for i in range(proxies)]
    context.leader = FailoverUnderTest(groups, names, "m1", 5)


@when("failover: all home proxies report m1 as unreachable at once")
def _(context):
    leader = context.leader
    for group in leader.test.state.declared.groups:
        for proxy in leader.decisions.homes.homes(group):
            leader.report(proxy, "m1", MemberHealth.UNREACHABLE, group=group)
            for member in ("m2", "m3"):
                leader.report(proxy, member, group=group)
    leader.wait(0.2)


@when(
    "failover: the proxies of zone {zone:w} are lost, and the others report m1 of each third group"
)
def _(context, zone):
    leader = context.leader
    records = leader.test.state.proxies.values()
    lost = {record.name for record in records if record.zone == zone}
    groups = list(leader.test.state.declared.groups)
    homes = {group: leader.decisions.homes.homes(group) for group in groups}
    for group in groups:
        for proxy in homes[group]:
            for member in ("m1", "m2", "m3"):
                leader.report(proxy, member, term=5, primary=member == "m1", group=group)
    leader.silent |= lost
    for proxy in lost:
        leader.post(ProxyDisconnected(proxy))
    context.failed_groups = set(groups[::3])
    for group in context.failed_groups:
        for proxy in homes[group]:
            if proxy not in lost:
                leader.report(proxy, "m1", MemberHealth.UNREACHABLE, group=group)
    leader.wait(0.2)


@then("failover: each third group has a new primary, and no other group has")
def _(context):
    primaries = context.leader.test.state.primaries
    moved = {group for group, primary in primaries.items() if primary.primary != "m1"}
    assert moved == context.failed_groups, len(moved)
    assert {primaries[group].primary for group in moved} == {"m2"}


@then("failover: at most {total:d} promotions are under way, and at most {each:d} at one proxy")
def _(context, total, each):
    orders = context.leader.orders
    assert 0 < len(orders) <= total, len(orders)
    at_one = Counter(proxy for proxy, _ in orders)
    assert max(at_one.values()) <= each, at_one


@when("failover: every order is answered within {ms:d} ms")
def _(context, ms):
    leader = context.leader
    leader.waiting = list(leader.orders)
    leader.answer = lambda proxy, order: leader.waiting.append((proxy, order))
    leader.started_at = leader.now
    while leader.now < leader.started_at + 10:
        due, leader.waiting = leader.waiting, []
        leader.wait(ms / 1000)
        for proxy, order in due:
            leader.post(PromotionAnswered(proxy, order.group, order.term, "m2"))
        if not due and not leader.waiting:
            break


@then("failover: all groups have a new primary within {seconds:d} s")
def _(context, seconds):
    leader = context.leader
    primaries = Counter(primary.primary for primary in leader.test.state.primaries.values())
    assert list(primaries) == ["m2"], primaries
    assert leader.now - leader.started_at <= seconds, leader.now - leader.started_at


@then("failover: no event took the leader longer than {ms:d} ms")
def _(context, ms):
    assert context.leader.longest_event_s * 1000 <= ms, context.leader.longest_event_s

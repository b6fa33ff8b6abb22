"""Steps for connections that follow the demand of a group's home proxies."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import curio
from behave import given, step, then, when

from features.steps.statement_path_steps import begin, run
from features.support.control_builders import StateUnderTest, a_declaration, a_group, a_proxy
from features.support.demand_world import (
    DemandWorld,
    a_member,
    an_announced_group,
    breaks_without,
)
from features.support.statement_path import GROUP, StatementPath
from limedyke.cli.operation_commands import _with_cap
from limedyke.cli.text import text_of
from limedyke.core.control.events import (
    HeartbeatReceived,
    LeasesReturned,
    ProxyConnected,
    ProxyDisconnected,
    SendToProxy,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.lease_table import LeaseTable
from limedyke.core.control.leases.load_view import load_report
from limedyke.core.control.plan_rules import change_refusal_reason
from limedyke.core.control.timing import ControlTiming
from limedyke.core.member_caps import holds_common
from limedyke.core.statements.connection_demand import (
    LEAST_CHANGE,
    LEAST_CHANGE_SHARE,
    ConnectionUse,
    DemandReporter,
)
from limedyke.messages.control import (
    ConnectionDemand,
    ConnectionLease,
    LeaseUpdate,
    ProxyHeartbeat,
    ProxyHello,
    ProxyState,
    member_budget,
    member_of_budget,
)
from limedyke.messages.control_entries import (
    ConfirmPlan,
    DeclareVersion,
    RecordMembers,
    RecordProxies,
)
from limedyke.messages.databases import Consistency
from limedyke.messages.operator import LoadRequest

LEASE_S = 5.0
HEARTBEAT_S = 0.25
LIMIT = 56
STEPS_IN_A_HISTORY = 240
MEMBERS = ("m1", "m2", "m3")
HOMES = tuple(f"h{number}" for number in range(1, 10))


class _Homes:
    """A leader, and nine home proxies that return revoked connections immediately."""

    def __init__(self):
        self.now = 0.0
        self.test = StateUnderTest()
        declaration = a_declaration(an_announced_group("g", LIMIT, {"shared": LIMIT}))
        self.test.bring_into_force(declaration)
        self.test.apply(RecordMembers(tuple(a_member(name, "g") for name in MEMBERS)))
        proxies = tuple(a_proxy(name, folder_id=f"disk-{name}") for name in HOMES)
        self.test.apply(RecordProxies(proxies))
        self.alive = set(HOMES)
        self.silent = set()
        self.old = set()
        self.demands = {name: dict.fromkeys(MEMBERS, 0) for name in HOMES}
        self.unsent = {name: {} for name in HOMES}
        self.held = {name: Counter() for name in HOMES}
        self.leases_sent = 0
        self.most_leased = 0
        self.keeps_returns = False
        self.ends = {}
        self.sequence = itertools.count(1)
        self.lead()

    def lead(self):
        """Start a new leader, to which all running home proxies connect."""
        timing = ControlTiming(lease_s=LEASE_S, suspicion_s=1e9)
        self.leader = LeaderDecisions(self.test.state, timing, len(HOMES), None, self.now)
        self.leader.leases.set_homes("g", HOMES)
        for name in HOMES:
            if name in self.alive:
                self.connect(name)

    def connect(self, name):
        """Connect a home proxy, which reports all its leases and demands."""
        hello = ProxyHello(name, 1, "", "z1", 0, 0, f"disk-{name}")
        self.post(ProxyConnected(hello))
        held = tuple(ConnectionLease("g", key, count) for key, count in self.held[name].items())
        self.unsent[name] = dict(self.demands[name])
        self.beat(name, first=True, leases=held)

    def beat(self, name, first=False, leases=()):
        """Deliver a heartbeat."""
        demands = None
        if name not in self.old:
            changed = self.unsent[name].items()
            demands = tuple(ConnectionDemand("g", member, count) for member, count in changed)
        self.unsent[name] = {}
        number = next(self.sequence)
        beat = ProxyHeartbeat(number, 0, 0, ProxyState.SERVING, 0, leases, demands)
        self.post(HeartbeatReceived(name, beat, first))

    def post(self, event):
        """Handle an event, and execute the resulting commands."""
        self.leader.handle(event, self.now)
        for command in self.leader.take_commands():
            if isinstance(command, SendToProxy) and isinstance(command.message, LeaseUpdate):
                self.take(command.proxy, command.message.leases)

    def take(self, name, leases):
        """Apply leases at a home proxy, which returns the connections above them."""
        returned = []
        for lease in leases:
            self.leases_sent += 1
            if lease.connections < self.held[name][lease.tenant]:
                returned.append(lease)
            if not (self.keeps_returns and returned):
                self.held[name][lease.tenant] = lease.connections
        self.most_leased = max(self.most_leased, *(self.sum_at(member) for member in MEMBERS))
        if returned and not self.keeps_returns:
            self.post(LeasesReturned(name, tuple(returned)))

    def at(self, name, member):
        """Return how many connections a home proxy may hold to a member."""
        held = self.held[name]
        return held["shared"] + held[member_budget("shared", member)]

    def sum_at(self, member):
        """Return how many connections to a member may be open over all holders."""
        return sum(
            count
            for held in self.held.values()
            for key, count in held.items()
            if member_of_budget(key) in ("", member)
        )

    def apply_update(self, update):
        """Pass a state update to the leader."""
        self.post(UpdateApplied(update))
        self.leader.leases.set_homes("g", HOMES)

    def want(self, member, text):
        """Set the demand of all home proxies at a member; "-" leaves one unchanged."""
        for name, count in zip(HOMES, text.split(), strict=False):
            if count == "-" or name not in self.alive:
                continue
            if self.demands[name][member] != int(count):
                self.demands[name][member] = self.unsent[name][member] = int(count)

    def wait(self, seconds):
        """Advance the clock, with heartbeats."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += HEARTBEAT_S
            for name in [name for name, at in self.ends.items() if self.now >= at]:
                self.held[name].clear()
            for name in HOMES:
                if name in self.alive:
                    self.beat(name)
            self.post(TimePassed())


@given("lease demand: nine home proxies, members m1, m2 and m3 that accept 56 connections each")
def step_homes(context):
    context.homes = _Homes()
    context.homes.wait(1.0)


@given("lease demand: {name:w} is of an earlier version")
def step_old(context, name):
    context.homes.old.add(name)
    context.homes.lead()
    context.homes.wait(1.0)


@when('lease demand: the demand at {member:w} is "{text}"')
def step_demand(context, member, text):
    context.homes.want(member, text)


@step("lease demand: {seconds:g} s passes")
def step_wait(context, seconds):
    context.homes.wait(seconds)


@then("lease demand: h1, h2 and h3 may hold at least {count:d} connections to m1")
def step_three(context, count):
    got = [context.homes.at(name, "m1") for name in HOMES]
    assert min(got[:3]) >= count, got


@then("lease demand: each home proxy may hold at least {count:d} connections to each member")
def step_floor(context, count):
    got = [context.homes.at(name, member) for name in HOMES for member in MEMBERS]
    assert min(got) >= count, got


@then("lease demand: {name:w} may hold at least {count:d} connections to {member:w}")
def step_at_least(context, name, count, member):
    got = [context.homes.at(home, member) for home in HOMES]
    assert context.homes.at(name, member) >= count, got


@then("lease demand: {name:w} may hold {count:d} connections to {member:w}")
def step_exactly(context, name, count, member):
    assert context.homes.at(name, member) == count, context.homes.held[name]


@when("lease demand: for {seconds:d} s the demand at each member fluctuates by {width:d}")
def step_fluctuate(context, seconds, width):
    homes = context.homes
    homes.leases_sent = 0
    base = {name: dict(demands) for name, demands in homes.demands.items()}
    for beat in range(int(seconds / HEARTBEAT_S)):
        for index, name in enumerate(HOMES):
            for member in MEMBERS:
                fluctuation = (beat * 7 + index * 5) % (width + 1)
                homes.demands[name][member] = base[name][member] + fluctuation
                homes.unsent[name][member] = base[name][member] + fluctuation
        homes.wait(HEARTBEAT_S)


@then("lease demand: {count:d} leases were sent meanwhile")
def step_sent(context, count):
    assert context.homes.leases_sent == count, context.homes.leases_sent


@when(
    'lease demand: for {seconds:d} s the demand at {member:w} swings between "{first}" and '
    '"{second}" every {period:d} s'
)
def step_swing(context, seconds, member, first, second, period):
    homes = context.homes
    context.least, context.leases_sent_per_swing = [], []
    for swing in range(seconds // period):
        text = second if swing % 2 else first
        homes.leases_sent = 0
        homes.want(member, text)
        homes.wait(1.0)
        wanted = [name for name, count in zip(HOMES, text.split(), strict=True) if count == "9"]
        context.least.append(min(homes.at(name, member) for name in wanted))
        homes.wait(period - 1.0)
        context.leases_sent_per_swing.append(homes.leases_sent)


@then("lease demand: at no time were more than {count:d} connections to a member leased")
def step_never(context, count):
    assert context.homes.most_leased <= count, context.homes.most_leased


@then("lease demand: at most {count:d} leases were sent for each swing")
def step_sent_each(context, count):
    assert max(context.leases_sent_per_swing) <= count, context.leases_sent_per_swing


@then("lease demand: 1 s after each swing home proxies that want 9 may hold at least {count:d}")
def step_after_swing(context, count):
    assert min(context.least) >= count, context.least


@when("lease demand: h1 dies")
def step_dies(context):
    homes = context.homes
    homes.alive.discard("h1")
    homes.ends["h1"] = homes.now + LEASE_S
    homes.post(ProxyDisconnected("h1"))


@when("lease demand: the leader dies after revoking connections of h1")
def step_leader_dies(context):
    homes = context.homes
    homes.keeps_returns = True
    homes.want("m1", "2 2 2 30 2 2 2 2 2")
    homes.wait(HEARTBEAT_S)
    homes.keeps_returns = False
    homes.lead()


@when("lease demand: h4's report of its demand is lost with its link")
def step_lost(context):
    homes = context.homes
    homes.want("m1", "2 2 2 30 2 2 2 2 2")
    homes.unsent["h4"] = {}
    homes.post(ProxyDisconnected("h4"))
    homes.connect("h4")


@when("lease demand: h1 stays connected and reports no new demand")
def step_old_report(context):
    context.homes.silent.add("h1")


@then(
    "lease demand: {count:d} random histories of leaders and holders stay within the limit at "
    "each member"
)
def step_histories(context, count):
    granting = 0
    for seed in range(count):
        world = DemandWorld(seed)
        world.run(STEPS_IN_A_HISTORY)
        granting += world.granted_something
    assert granting > count // 2, granting


@then(
    "lease demand: without the safeguard that {safeguard} one of {count:d} random histories "
    "exceeds the limit"
)
def step_mutant(context, safeguard, count):
    assert breaks_without(safeguard, count, STEPS_IN_A_HISTORY)


@when(
    "lease demand: {tenants:d} tenants request {each:g} times a second each for {seconds:d} s, "
    "{under_way:d} under way at once"
)
def step_requests(context, tenants, each, seconds, under_way):
    context.use, context.reporter = ConnectionUse(), DemandReporter()
    context.sent = []
    context.at = 100.0
    interval_s = 1.0 / (tenants * each)
    next_beat_at = context.at
    for number in range(int(seconds / interval_s)):
        context.at += interval_s
        context.use.requested(f"t{number % tenants}", under_way, context.at)
        while next_beat_at <= context.at:
            next_beat_at += 1.0
            _report(context, context.at)
    _report(context, context.at)


def _report(context, now):
    wanted = ConnectionDemand("g", "m1", context.use.wanted(now))
    reported = context.reporter.changes_to_report([wanted], whole=not context.sent)
    if reported:
        context.sent.append(reported[0].connections)


@then(
    "lease demand: {count:d} connections are reported as wanted, in at most {messages:d} messages"
)
def step_wanted(context, count, messages):
    assert abs(context.sent[-1] - count) <= 1, context.sent
    assert len(context.sent) <= messages, context.sent


@then("lease demand: 4 s later at most 2 are reported as wanted")
def step_wanted_no_more(context):
    for _ in range(4):
        context.at += 1.0
        _report(context, context.at)
    assert context.sent[-1] <= 2, context.sent


class _Returned:
    """Records the leases that a home proxy returns."""

    def __init__(self):
        self.leases = {}

    async def return_leases(self, leases):
        """Record returned leases."""
        self.leases.update({lease.tenant: lease.connections for lease in leases})

    async def report_member(self, report):
        """Ignore reports on members."""


@when("lease demand: h1 has a lease of {count:d} connections, and of {more:d} more to {member:w}")
def step_lease_at(context, count, more, member):
    groups = context.path.homes["h1"].groups
    context.returned = groups.reporter = _Returned()
    leases = (
        ConnectionLease(GROUP, "shared", count),
        ConnectionLease(GROUP, member_budget("shared", member), more),
    )
    run(context, groups.leases_changed, leases, float("inf"))


@then("lease demand: h1 may open {a:d} connections to a and {b:d} to b")
def step_may_open(context, a, b):
    pools = context.path.homes["h1"].groups.groups[GROUP].pools
    assert (pools["a"].limit, pools["b"].limit) == (a, b)


@then("lease demand: it has returned all but {count:d} of a's")
def step_given_back(context, count):
    assert context.returned.leases[member_budget("shared", "a")] == count


@then("lease demand: the load of group {group:w} shows")
def step_load(context, group):
    homes = context.homes
    request = LoadRequest("r1", group)
    shown = text_of(load_report(request, homes.test.state, homes.leader.leases)).splitlines()
    missing = [row["line"] for row in context.table if row["line"] not in shown]
    assert not missing, (missing, shown)


@given("lease demand: a proxy with a lease of {count:d} connections, and {tenants:d} tenants")
def step_tenants(context, count, tenants):
    path = StatementPath(Consistency.SESSION)
    begin(context, path)
    context.names = [f"t{number}" for number in range(tenants)]
    for name in context.names:
        path.hold_key(name, f"key-{name}")
    run(context, path.start, count)


@when("lease demand: a client of each writes {count:d} times in turn, {pause:d} ms apart")
def step_in_turn(context, count, pause):
    async def write_all():
        clients = [(await context.path.connect("db", f"key-{name}"))[0] for name in context.names]
        for _ in range(count):
            for client in clients:
                assert await client.ask("WRITE x 1") == "done I"
                await curio.sleep(pause / 1_000)

    run(context, write_all)


@then("lease demand: {count:d} connections to members were opened in total")
def step_opened(context, count):
    opened = sum(member.opened for member in context.path.group.members.values())
    assert opened == count, opened


@when('lease demand: the plan "{text}" is confirmed')
def step_cap(context, text):
    homes = context.homes
    words = text.split()
    bound = int(words[2]) if words[0] == "at" else None
    declared = _with_cap(homes.test.state.declared.declaration(), "g/m1", bound)
    plan = homes.test.plan(declared, text)
    assert text in plan.changes[0].detail, plan.changes
    entry = ConfirmPlan(f"confirm {text}", "anna", plan.plan_id, 1_010)
    homes.apply_update(homes.test.apply(entry).update)


@when(
    "lease demand: a declaration without caps is applied, with {count:d} connections in place of 56"
)
def step_version(context, count):
    homes = context.homes
    declared = a_declaration(an_announced_group("g", count, {"shared": count}))
    homes.apply_update(homes.test.apply(DeclareVersion(1, b"", declared)).update)


@then(
    "lease demand: {count:d} connections to {member:w} may be open in total, and at least 1 by "
    "each home proxy"
)
def step_open(context, count, member):
    homes = context.homes
    group = homes.test.state.declared.groups["g"]
    is_common = holds_common(group, member)
    key = member_budget("shared", member)
    got = [is_common * held["shared"] + held[key] for held in homes.held.values()]
    assert sum(got) == count and min(got) >= 1, got


@then("lease demand: a plan to cap a declared member is refused with advice on what to do")
def step_refused(context):
    state = context.homes.test.state
    declared = a_declaration(a_group("g2", 40, {"t": 20}))
    capped = _with_cap(declared, "g2/m1", 4)
    change = state.declared.change_to(capped)
    assert "lower its connection_limit" in change_refusal_reason(change, state.declared, {})


@when(
    "lease demand: for {seconds:d} s the demand near each member varies from {low:d} to {high:d}, "
    "and that of others at m1 from {few:d} to {more:d}"
)
def step_varies(context, seconds, low, high, few, more):
    homes = context.homes
    homes.leases_sent = 0
    generator = random.Random(1)
    for _ in range(seconds):
        for index, name in enumerate(HOMES):
            for position, member in enumerate(MEMBERS):
                is_near = index % len(MEMBERS) == position
                others = generator.randint(few, more) if member == "m1" else 0
                wanted = generator.randint(low, high) if is_near else others
                change = abs(wanted - homes.demands[name][member])
                if change >= max(LEAST_CHANGE, LEAST_CHANGE_SHARE * homes.demands[name][member]):
                    homes.demands[name][member] = homes.unsent[name][member] = wanted
        homes.wait(1.0)


@then("lease demand: at most {count:d} leases were sent meanwhile")
def step_sent_at_most(context, count):
    assert context.homes.leases_sent <= count, context.homes.leases_sent


@given(
    "lease demand: the leases of a group whose members m1, m2, m3 are known, "
    "and h1 to h3 are its home proxies"
)
def step_undeclared(context):
    table = context.lease_table = LeaseTable(LEASE_S, 3, 0.0, set())
    for home in HOMES[:3]:
        table.report(home, (), 0.0, demands=())
    table.set_members("g", MEMBERS)
    table.set_homes("g", HOMES[:3])


@when("lease demand: the group is declared with {connections:d} connections to each member")
def step_declared(context, connections):
    context.lease_table.set_group(an_announced_group("g", connections, {"shared": connections}))


@then("lease demand: each of h1 to h3 is granted {connections:d} connections to each member")
def step_granted(context, connections):
    context.lease_table.take_changes()
    leases = context.lease_table.group("g")
    granted = {(h, m): leases.share_at(h, m).granted for h in HOMES[:3] for m in MEMBERS}
    assert set(granted.values()) == {connections}, granted

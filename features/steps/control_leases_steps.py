"""Steps for connection leases."""

from __future__ import annotations

from unittest import mock

from behave import given, step, then, when

from features.support.control_builders import StateUnderTest, a_declaration, a_group, a_proxy
from features.support.lease_mutants import finds_violation
from features.support.lease_world import LeaseWorld
from limedyke.core.control import lease_table
from limedyke.core.control.events import (
    HeartbeatReceived,
    LeasesReturned,
    ProxyConnected,
    ProxyDisconnected,
    ProxyLeft,
    SendToProxy,
    TimePassed,
    UpdateApplied,
)
from limedyke.core.control.group_leases import GroupLeases
from limedyke.core.control.leader import LeaderDecisions
from limedyke.core.control.lease_table import LeaseTable
from limedyke.core.control.membership import may_connect
from limedyke.core.control.timing import ControlTiming
from limedyke.core.home import budget_share
from limedyke.messages.control import (
    ConnectionLease,
    LeaseUpdate,
    ProxyHeartbeat,
    ProxyHello,
    ProxyState,
)
from limedyke.messages.control_entries import ConfirmPlan, RecordProxies

LEASE_S = 5.0
STEPS_IN_A_HISTORY = 240


class LeaderUnderTest:
    """A leader with proxies that accept every lease and return nothing on their own."""

    def __init__(self, state_under_test, now: float = 0.0) -> None:
        self.test = state_under_test
        self.now = now
        self.held: dict[tuple[str, str], int] = {}
        self.lead()

    def lead(self) -> None:
        """Become the leader."""
        timing = ControlTiming(lease_s=LEASE_S, suspicion_s=1e9)
        self.decisions = LeaderDecisions(self.test.state, timing, 3, None, self.now)

    def post(self, event: object) -> None:
        """Handle an event and deliver the resulting leases."""
        self.decisions.handle(event, self.now)
        for command in self.decisions.take_commands():
            if isinstance(command, SendToProxy) and isinstance(command.message, LeaseUpdate):
                for lease in command.message.leases:
                    self.held[(command.proxy, lease.tenant)] = lease.connections

    def heartbeat(self, proxy: str, first: bool = False, leases: tuple = ()) -> None:
        """Deliver a heartbeat of a proxy."""
        beat = ProxyHeartbeat(1, 0, 0, ProxyState.SERVING, 0, leases)
        self.post(HeartbeatReceived(proxy, beat, first))

    def connect(self, proxy: str, incarnation: int = 1, folder_id: str = "", held: int = 0) -> None:
        """Connect a proxy, which reports the connections that it holds for tenant t."""
        folder_id = folder_id or f"disk-{proxy}"
        self.post(ProxyConnected(ProxyHello(proxy, incarnation, "", "z1", 0, 0, folder_id)))
        leases = (ConnectionLease("g", "t", held),) if held else ()
        self.heartbeat(proxy, first=True, leases=leases)

    def set_homes(self, *names: str) -> None:
        """Replace the home proxies."""
        self.decisions.leases.set_homes("g", names)

    def wait(self, seconds: float, *alive: str) -> None:
        """Advance the clock; the named proxies send heartbeats."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.5)
            for proxy in alive:
                self.heartbeat(proxy)
            self.post(TimePassed())

    def of(self, proxy: str, tenant: str = "t") -> int:
        """Return the last lease sent to a proxy."""
        return self.held.get((proxy, tenant), 0)


@then("leases: {count:d} random histories of leaders and holders stay within budgets and limits")
def _(context, count):
    granting = 0
    for seed in range(count):
        world = LeaseWorld(seed)
        world.run(STEPS_IN_A_HISTORY)
        granting += world.granted_something
    assert granting == count, granting


@then('leases: without "{safeguard}" one of {count:d} random histories exceeds a limit')
def _(context, safeguard, count):
    assert finds_violation(safeguard, count, STEPS_IN_A_HISTORY)


def _has_expired_by_every_clock(lease_s: float, percent: float) -> bool:
    """Return whether the wait on the fastest leader's clock covers the slowest holder's lease."""
    drift = percent / 100
    longest_s = lease_s * (1 + drift) / (1 - drift)
    return lease_table.reissue_after_s(lease_s) > longest_s


@then(
    "leases: a lease of {lease:g} s has expired by every clock within {percent:g} % when reissued"
)
def _(context, lease, percent):
    assert _has_expired_by_every_clock(lease, percent)


@then(
    "leases: without a margin a lease of {lease:g} s has not expired by every clock within {n:g} %"
)
def _(context, lease, n):
    with mock.patch.multiple(lease_table, DRIFT_MARGIN_RATIO=0.0, DRIFT_MARGIN_S=0.0):
        assert not _has_expired_by_every_clock(lease, n)


@then(
    'leases: over incarnation {known:d} on disk "{disk:Anything}", '
    '{incarnation:d} on disk "{its_disk:Anything}" is {verdict}'
)
def _(context, known, disk, incarnation, its_disk, verdict):
    record = a_proxy("a", incarnation=known, folder_id=disk) if known else None
    hello = ProxyHello("a", incarnation, "127.9.9.9:1", "z1", 0, 0, its_disk)
    assert may_connect(record, hello) == (verdict == "admitted")


@given(
    'leases: a group of {limit:d} connections with a budget of {budget:d} for t, at home on "a b"'
)
def _(context, limit, budget):
    test = StateUnderTest()
    test.bring_into_force(a_declaration(a_group("g", limit, {"t": budget})))
    context.leader = LeaderUnderTest(test)
    update = test.apply(
        RecordProxies(tuple(a_proxy(name, folder_id=f"disk-{name}") for name in "abc"))
    ).update
    context.leader.post(UpdateApplied(update))
    context.leader.set_homes("a", "b")


@given("leases: a and b hold their shares")
def _(context):
    for proxy in "abc":
        context.leader.connect(proxy)
    assert (context.leader.of("a"), context.leader.of("b")) == (15, 15), context.leader.held


@when("leases: a is replaced as a home proxy by c")
def _(context):
    context.leader.set_homes("c", "b")
    context.leader.post(TimePassed())


@step("leases: {event} after {seconds:g} s")
def _(context, event, seconds):
    leader = context.leader
    alive = ["b", "c"]
    lease = ConnectionLease("g", "t", 0)
    probe = ConnectionLease("g", "", 0)
    match event:
        case "nothing happens" | "a keeps sending heartbeats":
            alive.append("a")
        case "a returns all":
            leader.post(LeasesReturned("a", (lease, probe)))
            alive.append("a")
        case "a returns down to 5":
            leader.post(LeasesReturned("a", (ConnectionLease("g", "t", 5),)))
            alive.append("a")
        case "a's link ends":
            leader.post(ProxyDisconnected("a"))
        case "an older process of a connects":
            leader.connect("a", incarnation=0)
        case "a's process is proven to have ended":
            leader.connect("a", incarnation=2)
        case "a reconnects with a new disk":
            leader.connect("a", incarnation=2, folder_id="new-disk")
        case "a leaves and reports that it is done":
            leader.post(ProxyLeft("a", done=True))
    leader.wait(seconds, *alive)


@then("leases: c holds {count:d} connections of t")
def _(context, count):
    assert context.leader.of("c") == count, context.leader.held


@given(
    "leases: a leader that adopts the leases of {count:d} groups, and has the last proxy's report"
)
def _(context, count):
    context.groups = count
    context.lease_table = LeaseTable(LEASE_S, 3, 0.0, {"a"})
    for number in range(count):
        context.lease_table.set_group(a_group(f"g{number}"))
        context.lease_table.set_homes(f"g{number}", ("a",))
    for _ in range(count):
        assert not context.lease_table.take_changes(), "granted before the last proxy reported"
    context.lease_table.report("a", (), 1.0)


@then("leases: it grants for at most {most:d} groups at once, and for all in {calls:d} calls")
def _(context, most, calls):
    granted: set[str] = set()
    for _ in range(calls):
        groups = {change.lease.group for change in context.lease_table.take_changes()}
        assert 0 < len(groups) <= most, len(groups)
        granted |= groups
    assert len(granted) == context.groups, len(granted)
    assert not context.lease_table.take_changes()


@when("leases: another controller becomes the leader")
def _(context):
    context.before = dict(context.leader.held)
    context.leader.held = {}
    context.leader.lead()
    context.leader.set_homes("a", "b")


@step("leases: {seconds:g} s pass in which {names} report")
def _(context, seconds, names):
    leader = context.leader
    reporting = [] if names == "none" else names.split()
    for proxy in reporting:
        held = context.before.get((proxy, "t"), 0)
        leader.held[(proxy, "t")] = held
        leader.connect(proxy, held=held)
    leader.wait(seconds, *reporting)


@then('leases: a, b and c hold "{counts}" connections of t')
def _(context, counts):
    held = [context.leader.of(proxy) for proxy in "abc"]
    assert held == [int(count) for count in counts.split()], held


@when("leases: the budget of t becomes {t:d} and that of u {u:d}")
def _(context, t, u):
    leader = context.leader
    declaration = a_declaration(a_group("g", 40, {"t": t, "u": u}))
    plan = leader.test.plan(declaration, "change")
    state = leader.test
    update = state.apply(ConfirmPlan("change it", "anna", plan.plan_id, 1_010)).update
    leader.post(UpdateApplied(update))
    leader.set_homes("a", "b")
    leader.post(TimePassed())


@then("leases: no more than {limit:d} connections are leased")
def _(context, limit):
    held = context.leader.decisions.leases.group("g").held()
    assert held <= limit, held


@when("leases: all return connections above their shares")
def _(context):
    leader = context.leader
    for proxy in "abc":
        kept = tuple(
            ConnectionLease("g", tenant, leader.of(proxy, tenant)) for tenant in ("t", "u", "")
        )
        leader.post(LeasesReturned(proxy, kept))


@then("leases: a and b hold {count:d} connections of u together")
def _(context, count):
    assert context.leader.of("a", "u") + context.leader.of("b", "u") == count, context.leader.held


@then(
    "leases: of a limit of {limit:d} with budgets of {t:d} for t and {u:d} for u, "
    '3 homes get "{shares}"'
)
def _(context, limit, t, u, shares):
    leases = GroupLeases("g")
    leases.set_limits(a_group("g", limit, {"t": t, "u": u}), 0)
    leases.homes = ("a", "b", "c")
    leases.grow({"a", "b", "c"})
    held = {(tenant, proxy): count for proxy, tenant, count in leases.holdings()}
    parts = []
    for tenant in "tu":
        parts += [tenant, *(str(held.get((tenant, proxy), 0)) for proxy in "abc")]
    assert " ".join(parts) == shares, parts


@then('leases: a budget of {budget:d} over {homes:d} home proxies gives "{shares}"')
def _(context, budget, homes, shares):
    names = tuple("abc"[:homes])
    got = [budget_share(budget, names, name) for name in names]
    assert got == [int(share) for share in shares.split()], got

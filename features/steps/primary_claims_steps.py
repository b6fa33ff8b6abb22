"""Steps on when a promoted member is recorded as the primary, on virtual time."""

from __future__ import annotations

from behave import given, step, then, when

from features.support.announced_world import GROUP, PROXIES, STEP_S
from features.support.claims_world import EARLIER_TERM, STARTED_AT_MS, ClaimsWorld
from features.support.synchronous_world import SynchronousWorld
from limedyke.core.control.events import AuthorityOutcome, PrimaryClaimed
from limedyke.core.control.primaries.promotion_calls import NEVER, PromotionCalls
from limedyke.messages.control import MemberHealth, PrimaryClaim

SETTLED_S = 1.0
CALL_LIMIT_S = 10.0
EARLIER_ROUND = 1
EFFECT_ENDS_AT = 5.0


@given("claims: a group whose primary a was replaced by b while it could not reach the controllers")
def step_replaced(context):
    world = context.world = ClaimsWorld()
    world.silent.add("a")
    world.cut("a")
    world.replace_by("b")
    world.heal("a")
    world.run(SETTLED_S)


@given("claims: a group whose member b cannot reach the controllers")
def step_unheard_member(context):
    context.world = ClaimsWorld()
    context.world.silent.add("b")


@given("claims: a group whose primary a crashes")
def step_crashed(context):
    context.world = ClaimsWorld()
    _crash_primary(context.world)


@given("claims: a group whose primary a crashes, before proxies of an earlier version")
def step_crashed_before_old_proxies(context):
    context.world = ClaimsWorld(reports_claims=False)
    _crash_primary(context.world)


def _crash_primary(world: ClaimsWorld) -> None:
    world.silent.add("a")
    world.true_roles["a"] = False
    world.cut("a")


@given("claims: only {proxy:w} reaches {member:w}")
def step_only_one_reaches(context, proxy, member):
    context.world.unreached[member] = set(PROXIES) - {proxy}


@given("claims: {member:w} has not announced that it leads")
def step_not_announced(context, member):
    context.world.announce(member, "replica")


@when("claims: another controller leads, and hears nobody")
def step_unheard_leader(context):
    world = context.world
    world.silent |= set(world.members)
    world.lead(heard=())


@given("claims: a group whose commits wait for a replica, and whose primary a crashes")
def step_synchronous(context):
    world = context.world = SynchronousWorld({"a": "primary", "b": "replica", "c": "replica"})
    world.run(SETTLED_S)
    world.commit()
    world.crash("a")
    world.report("p q r", "a", MemberHealth.UNREACHABLE)


@when("claims: a replica is called, and the call is answered")
def step_replica_called(context):
    world = context.world
    end = world.now + CALL_LIMIT_S
    while not world.calls and world.now < end:
        world.run(STEP_S)
    context.called = world.calls[-1].member
    context.other = "c" if context.called == "b" else "b"
    world.answer(AuthorityOutcome.PROMOTED)


@when("claims: what it announced as the primary arrives late")
def step_late_of_called(context):
    context.world.announce(context.called, "primary")


@when("claims: the called replica leads")
def step_called_leads(context):
    world = context.world
    world.lead_by_promotion(world.models[context.called])


@then("claims: the other replica is held")
def step_held(context):
    assert context.world.models[context.other].is_held


@then("claims: no replica is held")
def step_none_held(context):
    assert not any(model.is_held for model in context.world.models.values())


@then("claims: no primary is recorded")
def step_no_primary(context):
    assert not context.world.primary, (context.world.primary, context.world.decisions)


@then("claims: {member:w} is still the recorded primary")
def step_still_primary(context, member):
    assert context.world.primary == member, context.world.decisions


@then(
    "claims: {member:w} is recorded as the primary within {ms:d} ms, and stays so for {seconds:d} s"
)
def step_recorded(context, member, ms, seconds):
    world = context.world
    expected = context.called if member == "it" else member
    world.run(ms / 1_000)
    assert world.primary == expected, (world.primary, world.decisions)
    calls = len(world.calls)
    world.run(seconds)
    assert world.primary == expected, (world.primary, world.decisions)
    assert len(world.calls) == calls, world.calls[calls:]


@given("claims: no call was made")
def step_no_call(context):
    context.promotion_calls = PromotionCalls()


@when("claims, calls: {calls}")
def step_calls(context, calls):
    known = context.promotion_calls
    for call in calls.split(", "):
        match call.split(" "):
            case ["nothing"]:
                continue
            case ["another", "leader"]:
                known.sent_by_earlier_leader()
            case ["a", "primary", "is", "recorded"]:
                known.primary_recorded()
            case [fence, "accepted"]:
                known.accepted(int(fence), EFFECT_ENDS_AT)
            case [fence, "refused"]:
                known.refused(int(fence))
            case [member, fence]:
                known.sent(member, int(fence))
            case _:
                raise AssertionError(f"unknown call {call!r}")


@then("claims: calls for others than {member:w} end at {end:w}")
def step_calls_end(context, member, end):
    expected = NEVER if end == "never" else float(end)
    assert context.promotion_calls.others_end_at(member) == expected


@step("claims: {events}")
def step_events(context, events):
    for event in events.split(", and "):
        _happen(context, event)


def _happen(context, event: str) -> None:
    """Let one event happen."""
    world = context.world
    match event.split(" "):
        case ["no", "proxy", "reaches", name]:
            world.cut(name)
        case ["the", "proxies", "reach", name, "again"]:
            world.heal(name)
        case ["p", "is", "of", "the", "present", "version"]:
            world.reports_claims = True
            world.add_proxies(("p",))
        case [name, "is", "called"]:
            world.run_until_called(name)
        case ["the", "call", "is", "not", "answered"]:
            world.answer(AuthorityOutcome.UNKNOWN)
        case ["the", "call", "is", "answered"]:
            world.answer(AuthorityOutcome.PROMOTED)
        case ["the", "call", "is", "refused"]:
            world.answer(AuthorityOutcome.REFUSED)
        case ["another", "controller", "leads"]:
            world.lead(heard=[name for name in world.members if name not in world.silent])
            world.report_positions()
        case ["reports", "of", "claims", "travel", "for", seconds, "s"]:
            world.claims_travel_s = float(seconds)
        case [name, "leads"]:
            world.lead_truly(name)
        case [name, "cannot", "reach", "the", "controllers"]:
            world.silent.add(name)
        case ["a", "crashes"]:
            _crash_primary(world)
        case [name, "drains"]:
            world.announce(name, "draining replica")
        case [name, "withdraws"]:
            world.withdraw(name)
            world.members.pop(name)
        case [name, "announces", "that", "it", "leads"]:
            world.true_roles[name] = True
            world.announce(name, "primary")
        case [count, "ms", "pass"]:
            world.run(int(count) / 1_000)
        case _:
            _hear_of_a(world, event)


def _hear_of_a(world: ClaimsWorld, event: str) -> None:
    """Let something arrive that a said before it was called, or that is not true."""
    earlier = PrimaryClaim(GROUP, EARLIER_ROUND, "a", STARTED_AT_MS, world.claimed_term)
    round_id = world.round_ids.get("a", EARLIER_ROUND)
    match event:
        case "nothing is heard of a":
            return
        case "what a announced as the primary arrives late":
            world.announce_late("a", "primary")
        case "what a announced as a replica, then as the primary, arrives late":
            world.announce_late("a", "replica", "primary")
        case "a proxy tells what a said before the call":
            world.post(PrimaryClaimed("p", earlier))
        case "a proxy tells that a says it leads an earlier term":
            claim = PrimaryClaim(GROUP, round_id, "a", STARTED_AT_MS, EARLIER_TERM)
            world.post(PrimaryClaimed("p", claim))
        case "a proxy tells that a said in an earlier incarnation that it leads":
            claim = PrimaryClaim(GROUP, round_id, "a", STARTED_AT_MS - 1, world.claimed_term)
            world.post(PrimaryClaimed("p", claim))
        case _:
            raise AssertionError(f"unknown event {event!r}")

"""Steps on promotions in groups whose commits wait for replicas, on virtual time."""

from __future__ import annotations

from behave import given, step, then, when

from features.support.announced_world import GROUP, PROXIES
from features.support.synchronous_history import SynchronousHistory
from features.support.synchronous_world import FIRST_TERM, SynchronousWorld
from limedyke.core.control.events import AuthorityOutcome, PositionReported, ProxyConnected
from limedyke.messages.control import MemberHealth, ProxyHello

SETTLED_S = 1.0
NAMES = "abcdefgh"


def _start(context, replicas: int, required: int) -> None:
    roles = {name: "replica" for name in NAMES[: replicas + 1]}
    roles["a"] = "primary"
    context.world = SynchronousWorld(roles, required)
    context.world.run(SETTLED_S)


@given("positions: primary a, replicas b and c, commits wait for {required:d} replica")
@given("positions: primary a, replicas b and c, commits wait for {required:d} replicas")
def step_group(context, required):
    _start(context, 2, required)


@given("positions: a primary and {replicas:d} replicas, commits wait for {required:d} replicas")
def step_group_of(context, replicas, required):
    _start(context, replicas, required)


@given("positions: {name:w} receives nothing")
def step_deaf(context, name):
    context.world.models[name].is_deaf = True


@given("positions: {name:w} has an empty log, receives nothing and names term {term:d}")
def step_empty(context, name, term):
    model = context.world.models[name]
    model.is_deaf = True
    model.log = []
    model.empty_term = term


@given("positions: {count:d} commits are acknowledged")
def step_commits(context, count):
    for _ in range(count):
        context.world.commit()
    assert len(context.world.acknowledged) == count, context.world.acknowledged


@given("positions: the proxies reported {first:w} at {low:d} and {second:w} at {high:d} long ago")
def step_reports(context, first, low, second, high):
    for name, position in ((first, low), (second, high)):
        context.world.report("p q r", name, MemberHealth.REACHABLE, position, FIRST_TERM)


@given("positions: p q r are of the version before")
def step_old_proxies(context):
    world = context.world
    for name in PROXIES:
        world.post(ProxyConnected(ProxyHello(name, 1, f"127.1.0.1:{ord(name)}", "z", 0, 0)))
        world.beat(name, first=True)


def _do(context, event: str) -> None:
    """Let one event happen."""
    world = context.world
    words = event.split(" ")
    match words:
        case ["no", "proxy", "reaches", name]:
            _cut(world, PROXIES, name)
        case ["the", "proxies", "do", "not", "reach", name]:
            _cut(world, PROXIES, name)
        case ["p", "and", "q", "do", "not", "reach", name]:
            _cut(world, ("p", "q"), name)
        case ["another", "leader", "takes", "over", "twice"]:
            for _ in range(2):
                world.run(0.7)
                world.lead()
        case ["another", "leader", "takes", "over"]:
            world.lead()
        case ["a", "third", "replica", "joins", *_]:
            world.join("d")
        case ["nobody", "has", "received", *_]:
            return
        case [count, "ms", "pass"]:
            world.run(int(count) / 1_000)
        case [count, "replicas", "crash"]:
            for name in NAMES[1 : int(count) + 1]:
                _crash(world, name)
        case ["the", "primary", "crashes"] | ["a", "crashes"]:
            _crash(world, "a")
        case [name, "crashes"]:
            _crash(world, name)
        case [name, "drains"]:
            world.drain(name)
        case [name, "withdraws"]:
            world.leave(name)
        case [name, "comes", "back"]:
            world.come_back(name)
            world.report("p q r", name, MemberHealth.REACHABLE, 0, FIRST_TERM)
        case [name, "restarts", "empty"]:
            world.come_back_empty(name)
        case [name, "restarts", "empty", "as", "the", "primary"]:
            world.come_back_empty(name, leads=True)
        case [name, "receives", "again"]:
            world.listen(name)
        case _:
            raise AssertionError(f"unknown event {event!r}")


def _crash(world: SynchronousWorld, name: str) -> None:
    world.crash(name)
    world.report("p q r", name, MemberHealth.UNREACHABLE, 0, FIRST_TERM)


def _cut(world: SynchronousWorld, proxies: tuple[str, ...], name: str) -> None:
    world.models[name].unreached_by |= set(proxies)
    world.report(" ".join(proxies), name, MemberHealth.UNREACHABLE, 0, FIRST_TERM)


@when("positions: the proxies reach {name:w} again")
def step_reach(context, name):
    context.world.models[name].unreached_by.clear()


@when("positions: a commit is sent whose answer arrives {ms:d} ms after the next grant")
def step_commit_under_way(context, ms):
    world = context.world
    context.sent = world.commit(travel_s=1_000.0)
    apply = world.apply

    def apply_and_time(entry: object) -> None:
        had_primary = bool(world.primary)
        apply(entry)
        if had_primary and not world.primary:
            context.granted_at = world.now
            context.sent.answer_at = world.now + ms / 1_000

    world.apply = apply_and_time
    context.query_times = []
    deliver = world.deliver

    def deliver_and_time(proxy: str, message: object) -> None:
        before = len(world.queries)
        deliver(proxy, message)
        if len(world.queries) > before:
            context.query_times.append(world.now)

    world.deliver = deliver_and_time


@given("positions: members do not know how to stop receiving")
def step_knows_no_hold(context):
    context.world.knows_hold = False


@when("positions: a commit is sent by r")
def step_commit_by(context):
    context.world.commit("r")


@when("positions: r is cut off from the controllers")
def step_cut_off(context):
    context.world.unconfirming.add("r")


@when("positions: the authority answers unknown, and nobody reaches b and c")
def step_unknown(context):
    world = context.world
    context.first_reports = list(world.reports)
    for name in ("b", "c"):
        world.models[name].unreached_by |= set(PROXIES)
    world.answer(AuthorityOutcome.UNKNOWN)


@when("positions: the reports of the first round arrive again")
def step_reports_again(context):
    for proxy, report in context.first_reports:
        context.world.post(PositionReported(proxy, report))


@when("positions: the call is carried out")
def step_carry_out(context):
    context.world.carry_out_call()


@when("positions: the authority answers refused")
def step_refused(context):
    context.world.answer(AuthorityOutcome.REFUSED)


@when("positions: commits wait for {required:d} replica from now on")
@when("positions: commits wait for {required:d} replicas from now on")
def step_declare(context, required):
    context.world.required = required
    context.world.declare(required)


@when("positions event: {events}")
def step_events(context, events):
    context.calls_before = len(context.world.calls)
    for event in events.split(", and "):
        _do(context, event)


@then("positions: promotion is requested of {name:w}")
def step_requested_of(context, name):
    calls = context.world.calls
    assert calls and calls[-1].member == name, (calls, context.world.decisions)


@then("positions: a promotion is requested")
def step_requested(context):
    assert context.world.calls, context.world.decisions


@then("positions: promotion is not requested")
def step_not_requested(context):
    assert not context.world.calls, context.world.calls


@then("positions: promotions were requested {count:d} times")
def step_request_count(context, count):
    assert len(context.world.calls) == count, context.world.calls


@then("positions: promotion was requested of {name:w} alone, more than once")
def step_requested_alone(context, name):
    members = [call.member for call in context.world.calls]
    assert len(members) > 1 and set(members) == {name}, members


@step("positions: no acknowledged commit is lost by it")
def step_not_lost(context):
    if context.world.calls:
        context.world.carry_out_call()
    assert not context.world.lost, context.world.lost


@then("positions: no member was queried")
def step_not_queried(context):
    assert not context.world.queries, context.world.queries


@then("positions: members were queried no sooner than {ms:d} ms after the grant")
def step_query_time(context, ms):
    first = min(context.query_times)
    assert first - context.granted_at >= ms / 1_000, first - context.granted_at


@then("positions: that commit is {relayed}")
def step_relayed(context, relayed):
    is_relayed = context.sent.position in context.world.acknowledged
    assert is_relayed == (relayed == "relayed"), context.world.acknowledged


@then("positions: the log says that a promotion lacks {shortage}")
def step_shortage(context, shortage):
    assert context.world.decisions[-1] == f"no promotion without {shortage}", (
        context.world.decisions
    )
    assert context.world.leader.authority.awaiting_positions_count == 1


@then("positions: {name:w} is recorded as the primary, and no replica is held")
def step_recorded(context, name):
    world = context.world
    world.run(SETTLED_S)
    assert world.test.state.primaries[GROUP].primary == name, world.test.state.primaries
    assert not any(model.is_held for model in world.models.values())


@when("positions: the {kind} histories of seeds {first:d} to {last:d} are played")
def step_histories(context, kind, first, last):
    context.worlds = {
        seed: SynchronousHistory(seed, kind == "orderly").play() for seed in range(first, last + 1)
    }


@then("positions: no acknowledged commit was lost")
def step_none_lost(context):
    lost = {seed: world.lost for seed, world in context.worlds.items() if world.lost}
    assert not lost, lost
    assert sum(len(world.acknowledged) for world in context.worlds.values()) > len(context.worlds)


@then("positions: every group has a primary")
def step_all_have_primary(context):
    without = [seed for seed, world in context.worlds.items() if not world.primary]
    assert not without, without


@then("positions: members were promoted")
def step_promoted(context):
    assert sum(len(world.calls) for world in context.worlds.values()) > len(context.worlds)

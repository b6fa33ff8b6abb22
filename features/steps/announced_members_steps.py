"""Steps for members that announce themselves, and their promotion by an authority."""

from __future__ import annotations

from dataclasses import replace

from behave import given, step, then, when

from features.support.announced_world import (
    AnnouncedWorld,
    a_member,
    with_address_of,
)
from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.displaced_members import DisplacedMembers
from limedyke.core.control.events import AuthorityOutcome
from limedyke.messages.control import MemberHealth
from limedyke.messages.control_entries import RecordMembers

NOW = 50.0


@given('announced: members "{members}" of a group have announced themselves')
def step_tracker(context, members):
    roles = dict(member.split(":") for member in members.split())
    context.members = {name: a_member(name, role) for name, role in roles.items()}
    context.displaced = DisplacedMembers()
    context.tracker = AnnouncementTracker(context.members, context.displaced, NOW)
    for member in context.members.values():
        assert context.tracker.announced(member, 1, NOW) is None
    context.recorded = None


def apply_entry(context, entry: RecordMembers | None) -> None:
    """Apply an entry to the recorded members, as the log does."""
    context.recorded = entry
    if entry is None:
        return
    context.displaced.apply(entry, context.members)
    for name in entry.removed:
        context.members.pop(name, None)
    context.members.update((member.identity, member) for member in entry.members)


@when("announced: {name:w} announces {role}, number {number:d}, after {seconds:g} s")
def step_says(context, name, role, number, seconds):
    apply_entry(context, context.tracker.announced(a_member(name, role), number, NOW + seconds))


@when("announced: {name:w} drains, then announces {role}")
def step_drains_then(context, name, role):
    apply_entry(context, context.tracker.announced(a_member(name, "draining replica"), 2, NOW + 1))
    apply_entry(context, context.tracker.announced(a_member(name, role), 3, NOW + 2))


@when("announced: {name:w} announces {role} at the address of {other:w}")
def step_address(context, name, role, other):
    member = with_address_of(a_member(name, role), context.members[other])
    apply_entry(context, context.tracker.announced(member, 1, NOW + 1))


@when("announced: d takes the address of b, {later}")
def step_taken_then(context, later):
    address = context.members["b"]
    apply_entry(
        context,
        context.tracker.announced(with_address_of(a_member("d", "replica"), address), 1, 51),
    )
    if "a new leader, " in later:
        context.displaced = DisplacedMembers(context.displaced.recorded())
        context.tracker = AnnouncementTracker(context.members, context.displaced, 52.0)
    b = a_member("b", "primary")
    if "from elsewhere" in later:
        b = with_address_of(b, a_member("e", "replica"))
    number = int(later.rpartition("number ")[2])
    apply_entry(context, context.tracker.announced(b, number, 52.5))


@when("announced: {name:w} withdraws")
def step_withdraws(context, name):
    apply_entry(context, context.tracker.withdrawn(name, NOW + 1))


@when("announced: {name:w} withdraws, then announces {role}")
def step_withdraws_then(context, name, role):
    apply_entry(context, context.tracker.withdrawn(name, NOW + 1))
    apply_entry(context, context.tracker.announced(a_member(name, role), 9, NOW + 2))


@then('announced: the log records "{recorded}"')
def step_recorded(context, recorded):
    entry = context.recorded
    parts = []
    if entry is not None:
        for member in entry.members:
            word = "primary" if member.is_primary else "replica"
            parts.append(f"{member.identity} {word if member.state == 'ready' else 'draining'}")
        parts += [f"without {name}" for name in entry.removed]
    assert (", ".join(parts) or "-") == recorded, parts


@given("authority: primary a, replicas b and c, connected proxies p q r")
def step_world(context):
    context.world = AnnouncedWorld({"a": "primary", "b": "replica", "c": "replica"})
    context.world.run(1.0)
    assert context.world.primary == "a", context.world.primary


@given("authority: {count:d} more connected proxies")
def step_more_proxies(context, count):
    context.world.add_proxies(f"s{number}" for number in range(count))
    context.world.run(1.0)


@when("authority: all but {count:d} home proxies report {member:w} unreachable")
def step_homes_report(context, count, member):
    homes = context.world.home_proxies()
    context.world.report(" ".join(homes[count:]), member, MemberHealth.UNREACHABLE)


@when("authority: all proxies except home proxies report {member:w} unreachable")
def step_others_report(context, member):
    world = context.world
    others = [name for name in world.proxies if name not in world.home_proxies()]
    world.report(" ".join(others), member, MemberHealth.UNREACHABLE)


@step("authority: p q r see {member:w} in term {term:d} at {position:d}")
def step_seen_at(context, member, term, position):
    context.world.report("p q r", member, MemberHealth.REACHABLE, position, term)


@step("authority: nothing happens")
def step_nothing(context):
    pass


@step("authority: {proxies} report {members} unreachable")
@step("authority: {proxies} reports {members} unreachable")
def step_unreachable(context, proxies, members):
    for part in proxies.split(", "):
        if part.endswith("does not confirm"):
            context.world.unconfirming.add(part[0])
        elif part.endswith("is live"):
            others = [name for name in context.world.proxies if f" {name} " not in part]
            context.world.unconfirming.update(others)
        elif part.endswith("is ahead"):
            context.world.report("p q r", part[0], MemberHealth.REACHABLE, position=900)
        elif " announces " in part:
            context.world.announce(part[0], part.partition(" announces ")[2])
        else:
            names = members.replace(" and ", " ")
            context.world.report(part, names, MemberHealth.UNREACHABLE)


@step("authority: p q see {member:w} again")
def step_see_again(context, member):
    context.world.report("p q", member, MemberHealth.REACHABLE)


@step("authority: {name:w} announces {role}")
def step_world_says(context, name, role):
    context.world.announce(name, role)


@step("authority: {name:w} withdraws")
def step_world_withdraws(context, name):
    context.world.withdraw(name)


@step("authority: {name:w} is silent, {proxy:w} can't reach it")
def step_silent_unreached(context, name, proxy):
    context.world.silent.add(name)
    context.world.report(proxy, name, MemberHealth.UNREACHABLE)


@step("authority: {name:w} is silent, {proxy:w} reaches it")
def step_silent_reached(context, name, proxy):
    context.world.silent.add(name)
    context.world.report(proxy, name, MemberHealth.REACHABLE)


@step("authority: {milliseconds:d} ms pass")
def step_pass(context, milliseconds):
    context.world.run(milliseconds / 1_000)


@step("authority: the authority answers {outcome}")
def step_answers(context, outcome):
    context.world.answer(AuthorityOutcome(outcome))


@step("authority: another leader takes over")
def step_new_leader(context):
    context.world.lead()


@step("authority: another leader takes over, to which only {name:w} has connected")
def step_new_leader_found_by(context, name):
    others = [proxy for proxy in context.world.proxies if proxy != name]
    context.world.unconfirming.update(others)
    context.world.lead([name])


@given(
    "authority: home proxies are live for {silence:d} ms after a message, and the hold time with "
    "few live ones is {hold:d} ms"
)
def step_observer_times(context, silence, hold):
    world = context.world
    world.timing = replace(world.timing, live_s=silence / 1_000, few_observers_hold_s=hold / 1_000)
    world.lead()
    world.run(2.0)


@when(
    "authority: {homes:d} home proxy and {others:d} others are live, and it reports "
    "{member:w} unreachable"
)
def step_few_live(context, homes, others, member):
    world = context.world
    live_homes = world.home_proxies()[:homes]
    rest = [name for name in world.proxies if name not in world.home_proxies()]
    live = {*live_homes, *rest[:others]}
    world.unconfirming.update(name for name in world.proxies if name not in live)
    world.report(" ".join(live_homes), member, MemberHealth.UNREACHABLE)


@then("authority: promotion is not requested")
def step_not_asked(context):
    assert not context.world.calls, context.world.calls


@then("authority: promotion is requested of {name:w}")
def step_asked_of(context, name):
    assert context.world.calls, "no promotion was requested"
    assert context.world.calls[-1].member == name, context.world.calls


@then("authority: promotions were requested {count:d} times")
def step_asked_times(context, count):
    assert len(context.world.calls) == count, context.world.calls


@then("authority: no primary is recorded")
def step_no_primary(context):
    assert context.world.primary == "", context.world.primary


@then("authority: the recorded primary is {name:w}")
def step_primary(context, name):
    assert context.world.primary == name, context.world.primary


@then("authority: a second call has a higher fence")
def step_higher_fence(context):
    calls = context.world.calls
    assert len(calls) >= 2, calls
    assert calls[1].fence > calls[0].fence, calls

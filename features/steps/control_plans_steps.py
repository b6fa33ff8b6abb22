"""Steps for plans and the replicated control state."""

from __future__ import annotations

import dataclasses
import random

from behave import given, step, then, when
from behave.runner import Context
from fire.parser import DefaultParseValue
from hypothesis import given as with_values
from hypothesis import settings, strategies

from features.support.control_builders import StateUnderTest, a_declaration, a_group, a_proxy
from features.support.plan_world import PlanWorld, finds_violation
from limedyke.core.control.declaration_change import plan_id_of
from limedyke.core.control.state import ControlState
from limedyke.core.control.update_ring import UpdateRing
from limedyke.messages.codec import encode
from limedyke.messages.control_entries import (
    BeginSwitchover,
    DeclarationChange,
    GrantTerms,
    PrimaryChange,
    ProxyIncarnation,
    RecordAnswer,
    RecordLimits,
    RecordPrimaries,
    RecordProxies,
    RemoveProxies,
    TermGrant,
)
from limedyke.messages.operator import Confirmed, ControllerChanged
from limedyke.proxy.control.view import ControlViewBuilder, snapshot_of
from limedyke.result_codes import CODE_BY_NUMBER

START = 1_000
STEPS_IN_A_HISTORY = 120


def _groups(names: str) -> list:
    return [a_group(name) for name in names.split()]


def _name_of(answer: object) -> str:
    if isinstance(answer, Confirmed):
        return "Confirmed"
    return CODE_BY_NUMBER[answer.code].name


def _plan(context: Context, declaration: object, name: str, operator: str, now: int) -> None:
    answer = context.test.plan(declaration, f"plan {name}", operator, now)
    context.plans[name] = answer
    context.operators[name] = operator


def _confirm(context: Context, name: str, request: str, operator: str, now: int) -> None:
    plan_id = context.plans[name].plan_id if name in context.plans else "unknown"
    context.answer = context.test.confirm(plan_id, request, operator, now)


@given('plans: revision 1 with groups "{names}"')
def _(context, names):
    context.test = StateUnderTest()
    context.plans, context.operators, context.answers = {}, {}, {}
    context.test.bring_into_force(a_declaration(*_groups(names)))


@given('plans: the primary of "{group}" is "{member}"')
def _(context, group, member):
    change = PrimaryChange(group, 0, 1, member)
    context.test.apply(RecordPrimaries((change,)))


@step('plans: "{operator}" plans groups "{names}" as "{name}"')
def _(context, operator, names, name):
    _plan(context, a_declaration(*_groups(names)), name, operator, START)


@step('plans: "{operator}" plans groups "{names}" as "{name}" {seconds:d} s later')
def _(context, operator, names, name, seconds):
    _plan(context, a_declaration(*_groups(names)), name, operator, START + seconds)


@step('plans: "{operator}" plans no groups as "{name}"')
def _(context, operator, name):
    _plan(context, a_declaration(), name, operator, START)


@step('plans: "{operator}" plans "{group}" without member "{member}" as "{name}"')
def _(context, operator, group, member, name):
    whole = a_group(group)
    kept = tuple(m for m in whole.members if m.name != member)
    changed = dataclasses.replace(whole, members=kept)
    _plan(context, a_declaration(changed), name, operator, START)


@step('plans: "{operator}" plans "{group}" with "{member}" leaving as "{name}"')
def _(context, operator, group, member, name):
    changed = a_group(group, leaving=(member,))
    _plan(context, a_declaration(changed), name, operator, START)


@step('plans: "{operator}" plans "{group}" with {limit:d} connections as "{name}"')
def _(context, operator, group, limit, name):
    _plan(context, a_declaration(a_group(group, limit=limit)), name, operator, START)


@step('plans: "{operator}" plans "{group}" with a budget of {budget:d} as "{name}"')
def _(context, operator, group, budget, name):
    changed = a_group(group, budgets={"t": budget})
    _plan(context, a_declaration(changed), name, operator, START)


@step("plans: {name:w} is confirmed")
def _(context, name):
    _confirm(context, name, f"confirm {name}", context.operators[name], START + 10)
    context.answers[name] = context.answer


@when('plans: "{operator}" confirms {name:w}')
def _(context, operator, name):
    _confirm(context, name, f"confirm {name}", operator, START + 10)


@when("plans: {what} is confirmed {seconds:d} s later")
def _(context, what, seconds):
    operator = context.operators.get(what, "anna")
    _confirm(context, what, f"confirm {what}", operator, START + seconds)


@step("plans: {count:d} further changes come into force")
def _(context, count):
    for number in range(count):
        context.test.bring_into_force(a_declaration(*_groups(f"g1 h{number}")), number)


@step("plans: a controller restarts from its snapshot {restart:w}")
def _(context, restart):
    if restart == "yes":
        context.test.restart()


@when("plans: {name:w} is confirmed again with {request}")
def _(context, name, request):
    context.before = context.test.state.snapshot_for_proxies()
    operator = context.operators[name]
    request_id = f"confirm {name}" if request == "the same request" else "another"
    if request == "another operator":
        operator = "carl"
    _confirm(context, name, request_id, operator, START + 20)


@then("plans: the answer is the first one of {name:w}")
def _(context, name):
    first = dataclasses.replace(context.answers[name], request_id=context.answer.request_id)
    assert context.answer == first, (context.answer, first)


@then("plans: the state is unchanged")
def _(context):
    assert context.test.state.snapshot_for_proxies() == context.before


@then('plans: {name:w} is answered "{result}" at revision {revision:d}')
def _(context, name, result, revision):
    answer = context.answers[name]
    assert (_name_of(answer), answer.revision) == (result, revision), answer


@then('plans: the answer is "{result}"')
def _(context, result):
    assert _name_of(context.answer) == result, context.answer


@then('plans: revision {revision:d} with groups "{names}" is in force')
def _(context, revision, names):
    state = context.test.state
    assert state.revision == revision, state.revision
    assert sorted(state.declared.groups) == names.split(), state.declared.groups


@then('plans: the plan "{name}" shows "{text}"')
def _(context, name, text):
    lines = [f"{c.action} {c.item} {c.detail} {c.effect}" for c in context.plans[name].changes]
    assert any(text in line for line in lines), lines


@then("plans: the history has {count:d} entries")
def _(context, count):
    assert len(context.test.state.plans.history) == count


@then('plans: the newest history entry is revision {revision:d} by "{operator}" and says "{words}"')
def _(context, revision, operator, words):
    newest = context.test.state.plans.history[-1]
    assert (newest.revision, newest.operator) == (revision, operator), newest
    assert words in newest.summary, newest


@when('plans: "{operator}" confirms {operation}, and the request arrives twice')
def _(context, operator, operation):
    if operation == "a switchover of g1 to m2":
        entry = BeginSwitchover("s", operator, "g1", 1, "m2", START)
    else:
        answer = encode(ControllerChanged("s", "done"))
        entry = RecordAnswer("s", operator, answer, "controllers: remove c3", START)
    answers = [context.test.apply(entry).answer for _ in range(2)]
    assert answers[0] == answers[1], answers


@then("plans: the ids of {count:d} plans are parsed as text by the command line")
def _(context, count):
    change = DeclarationChange()
    ids = [plan_id_of(revision, change) for revision in range(count)]
    assert len(set(ids)) == count
    assert all(DefaultParseValue(plan_id) == plan_id for plan_id in ids)


@then("plans: {count:d} random histories of concurrent operators keep the rules")
def _(context, count):
    for seed in range(count):
        PlanWorld(seed).run(STEPS_IN_A_HISTORY)


@then('plans: without "{safeguard}" one of {count:d} random histories violates the rules')
def _(context, safeguard, count):
    assert finds_violation(safeguard, count, STEPS_IN_A_HISTORY)


def _random_entry(test: StateUnderTest, generator: random.Random) -> object:
    """Return an entry that may or may not be valid in the current state."""
    names = [f"g{i}" for i in range(4)]
    group = generator.choice(names)
    recorded = test.state.primaries.get(group)
    term = recorded.term if recorded else 0
    if generator.random() < 0.2:
        term = generator.randrange(4)
    proxy = a_proxy(f"p{generator.randrange(4)}", incarnation=generator.randrange(3))
    choices = [
        GrantTerms((TermGrant(group, term, term + 1),)),
        RecordPrimaries((PrimaryChange(group, term, term + generator.randrange(2), "m1"),)),
        BeginSwitchover(f"s{generator.randrange(5)}", "anna", group, term, "m2"),
        RecordProxies((proxy,)),
        RemoveProxies((ProxyIncarnation(proxy.name, proxy.incarnation),)),
        RecordLimits(generator.randrange(1, 4)),
    ]
    return generator.choice(choices)


def _random_step(test: StateUnderTest, generator: random.Random) -> None:
    """Apply a random entry, plan or confirmation."""
    kind = generator.randrange(4)
    chosen = sorted(generator.sample(range(4), generator.randrange(1, 4)))
    declaration = a_declaration(*(a_group(f"g{i}") for i in chosen))
    if kind == 3:
        test.bring_into_force(declaration)
    elif kind == 0:
        test.plan(declaration, f"p{generator.randrange(20)}", now=generator.randrange(1_000, 1_105))
    elif kind == 1:
        waiting = [plan.plan_id for plan in test.state.plans.plans()] or ["none"]
        request_id = f"c{generator.randrange(20)}"
        test.confirm(generator.choice(waiting), request_id, now=generator.randrange(1_000, 1_105))
    else:
        test.apply(_random_entry(test, generator))


@then("plans: any entries give equal states, also with a restart from a snapshot in between")
def _(context):
    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @with_values(strategies.integers(0, 2**32), strategies.integers(0, 40))
    def check(seed: int, restart_at: int) -> None:
        plain, restarted = StateUnderTest(), StateUnderTest()
        first, second = random.Random(seed), random.Random(seed)
        for number in range(40):
            _random_step(plain, first)
            if number == restart_at:
                restarted.restart()
            _random_step(restarted, second)
        assert plain.state.to_bytes() == restarted.state.to_bytes()
        reread = ControlState.from_bytes(plain.state.to_bytes())
        assert reread.to_bytes() == plain.state.to_bytes()

    check()


@then("plans: any changes give a proxy the same view in one update or in many")
def _(context):
    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @with_values(strategies.integers(0, 2**32), strategies.integers(0, 30))
    def check(seed: int, away_from: int) -> None:
        generator = random.Random(seed)
        test, ring = StateUnderTest(), UpdateRing()
        steady, away = ControlViewBuilder(), ControlViewBuilder()
        steady.apply_snapshot(test.state.snapshot_for_proxies())
        away.apply_snapshot(test.state.snapshot_for_proxies())
        original = test.apply

        def apply(entry: object) -> object:
            applied = original(entry)
            if applied.update is not None:
                ring.add(applied.update)
                assert steady.apply_update(applied.update) is not None
            return applied

        test.apply = apply
        for number in range(40):
            _random_step(test, generator)
            if number == away_from:
                away.apply_snapshot(snapshot_of(steady.view))
        merged = ring.since(away.view.control_index)
        if merged is not None:
            assert away.apply_update(merged) is not None
        whole = ControlViewBuilder()
        whole.apply_snapshot(test.state.snapshot_for_proxies())
        assert away.view == steady.view == whole.view

    check()

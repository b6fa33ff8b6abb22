"""Steps for promotions in a group of real members."""

from __future__ import annotations

from unittest import mock

import psycopg
from behave import given, then, when

from features.support.takeover_lab import ADMIN, SAFEGUARDS, TakeoverLab


@given("takeover: proxies p1 and p2 with three members and an acknowledged row")
def step_start(context):
    context.takeover = TakeoverLab.start()
    context.add_cleanup(context.takeover.close)


@given("takeover: member b was down while a row was written")
def step_down(context):
    takeover = context.takeover
    takeover.kill("b")
    takeover.add_row()
    context.restart_b = True


@given("takeover: the primary acknowledges without a majority")
def step_misbehaving(context):
    context.takeover.members.switch("a", "lose_acknowledged", "on")


@given('takeover: the safeguard "{name}" is {state}')
def step_safeguard(context, name, state):
    if state == "off":
        patch = mock.patch.object(*SAFEGUARDS[name])
        patch.start()
        context.add_cleanup(patch.stop)


def _restart_b_behind(context):
    """Restart the member that was down, now that the primary cannot bring it up to date."""
    if getattr(context, "restart_b", False):
        context.takeover.restart("b")


@when("takeover: the primary is killed")
def step_kill(context):
    context.takeover.kill("a")
    _restart_b_behind(context)


@when("takeover: the primary is frozen")
def step_freeze(context):
    context.takeover.freeze("a")
    _restart_b_behind(context)


@when("takeover: the primary resumes")
def step_thaw(context):
    context.takeover.thaw("a")


@when("takeover: member c is frozen")
def step_freeze_c(context):
    context.takeover.freeze("c")
    context.majority_answers = False


@when("takeover: member c answers")
def step_c_answers(context):
    assert context.takeover.members.admin("c", "SELECT 1") == [(1,)]


@when("takeover: all members resume")
def step_thaw_all(context):
    for name in context.takeover.living():
        context.takeover.thaw(name)


@when("takeover: p1 dies {when} under term {term:d}")
def step_promoter_dies(context, when, term):
    takeover = context.takeover
    if when == "between promises and promote":
        takeover.promise("p1", term)
    elif when == "before its answer":
        assert takeover.order_until_promoted("p1", term).primary


@when("takeover: {proxy:w} is ordered to promote under term {term:d}")
def step_order(context, proxy, term):
    if getattr(context, "majority_answers", True):
        context.result = context.takeover.order_until_promoted(proxy, term)
    else:
        context.result = context.takeover.order(proxy, term)
    if context.result.primary:
        context.takeover.record(term, context.result.primary)


@given("takeover: the primary holds a log record that no other member has")
def step_longer(context):
    takeover = context.takeover
    takeover.members.switch("a", "freeze_replication", "on")
    takeover.begin_write("p2")
    takeover.members.wait(takeover.primary_is_ahead)


@when("takeover: p1 is ordered to move the primary to b under term {term:d}")
def step_move(context, term):
    context.result = context.takeover.order("p1", term, "b", planned=True)
    if not context.result.primary:
        context.result = context.takeover.order("p1", term, "b", planned=True)


@then("takeover: p1 has promoted {member:w}")
def step_chosen(context, member):
    assert context.result.primary == member, context.result


@when("takeover: p1 is ordered to promote under term {low:d} and p2 under term {high:d} at once")
def step_two_orders(context, low, high):
    takeover = context.takeover
    takeover.begin_order("p1", low)
    takeover.begin_order("p2", high)
    takeover.result("p1")
    context.result = takeover.result("p2")
    takeover.record(high, context.result.primary)


@when("takeover: the chosen member is killed before it is promoted under term {term:d}")
def step_chosen_dies(context, term):
    takeover = context.takeover
    with takeover.before_promote(takeover.kill):
        context.result = takeover.order("p1", term)


@when("takeover: the killed member restarts")
def step_comes_back(context):
    context.takeover.restart(context.takeover.killed)


@when("takeover: it resumes between promises and promote of p1 under term {term:d}")
def step_returns(context, term):
    takeover = context.takeover
    with takeover.before_promote(lambda _: takeover.thaw("a")):
        context.result = takeover.order("p1", term)


@when("takeover: p2 sends it a write that it reads after it resumes")
def step_write_later(context):
    context.takeover.begin_write("p2")


@when("takeover: a write is under way at the primary while p2 learns of a higher term")
def step_write_meanwhile(context):
    context.takeover.write_while_replaced()


@when("takeover: if no member leads, p2 is ordered to promote from term {term:d} on")
def step_order_unless(context, term):
    context.takeover.ensure_leader(term)


@then("takeover: {proxy:w} has promoted a member, which holds every acknowledged row")
def step_promoted(context, proxy):
    assert context.result.primary, context.result
    takeover = context.takeover
    assert takeover.rows <= takeover.rows_at(context.result.primary)
    if takeover.lab.primary != context.result.primary:
        takeover.record(context.result.term, context.result.primary)


@then("takeover: nobody was promoted")
def step_nobody(context):
    assert context.result.primary == "", context.result
    assert context.result.reason


@then("takeover: a late promotion under term {term:d} is refused everywhere")
def step_late(context, term):
    takeover = context.takeover
    for name in takeover.living():
        try:
            takeover.members.admin(name, f"SELECT group_promote({term})", ADMIN)
        except psycopg.Error as error:
            assert error.sqlstate == "55000", error
        else:
            raise AssertionError(f"{name} was promoted under term {term}")


@then("takeover: writes continue under term {term:d}")
def step_goes_on(context, term):
    takeover = context.takeover
    assert takeover.lab.term == term
    for proxy in ("p1", "p2"):
        takeover.add_row(proxy)
    assert takeover.rows <= takeover.rows_at(takeover.lab.primary)


@then("takeover: a write that p2 still sends to the old primary is not acknowledged")
def step_old_primary(context):
    takeover = context.takeover
    new_term, new_primary = takeover.lab.term, takeover.lab.primary
    takeover.lab.proxies["p2"]._groups["g"].view.term = 1
    takeover.lab.proxies["p2"]._groups["g"].view.primary = "a"
    takeover.begin_write("p2")
    assert not takeover.is_acknowledged()
    takeover.record(new_term, new_primary)


@then("takeover: the write of p2 {outcome}")
def step_outcome(context, outcome):
    assert context.takeover.is_acknowledged() is (outcome == "is acknowledged")


@then("takeover: the acknowledged rows are {rows}")
def step_rows(context, rows):
    assert context.takeover.keeps_rows() is (rows == "all there")

"""Steps for terms in a group of stand-in databases: acknowledgement, promises and promotion.

Behave loads this file after ``lab_database_steps.py``, whose step texts are more specific.
"""

import json
import signal
import time

from behave import then, when

from features.support.database_group import (
    DEADLINE_SECONDS,
    NAMES,
    attempt,
    wait_until,
)
from limedyke_lab.database.sql.sql_text import POSITION_QUERY


@when('lab database: {name} runs "{statement}"')
def member_runs(context, name, statement):
    context.group.admin(name, statement)


@when('lab database: {name} starts "{statement}"')
def member_starts(context, name, statement):
    client = context.group.connect(name, "lab_admin", "lab")
    context.waiting = context.group.pool.submit(attempt, client, statement)


@then("lab database: the write is still waiting after {milliseconds:d} ms")
def still_waiting(context, milliseconds):
    time.sleep(milliseconds / 1000)
    assert not context.waiting.done(), context.waiting.result()


@then("lab database: the waiting write is acknowledged")
def waiting_acknowledged(context):
    assert context.waiting.result(DEADLINE_SECONDS) == []


@then("lab database: the waiting write ends with error {sqlstate}")
def waiting_fails(context, sqlstate):
    answer = context.waiting.result(DEADLINE_SECONDS)
    assert answer == sqlstate, answer


@then("lab database: {names} reach the position of {leader}")
@then("lab database: {names} reaches the position of {leader}")
def reach_position(context, names, leader):
    group = context.group
    expected = group.position(leader)
    for name in names.split(" and "):

        def reached(name=name):
            return group.answer(name, POSITION_QUERY)[0][2] == expected

        wait_until(reached)


@then("lab database: all members hold the same rows")
def same_rows(context):
    found = [context.group.answer(name, "SELECT * FROM item") for name in NAMES]
    assert found[0] and found.count(found[0]) == len(NAMES), found


@then('lab database: {name} answers "{statement}" with error {sqlstate}')
def member_fails(context, name, statement, sqlstate):
    answer = context.group.answer(name, statement)
    assert answer == sqlstate, answer


@then('lab database: {name} answers "{statement}" with [[{answer}]]')
def member_answers(context, name, statement, answer):
    found = context.group.answer(name, statement)
    assert found == json.loads(f"[[{answer}]]"), found


@then('lab database: a, b and c answer "{statement}" with {answer}')
def all_answer(context, statement, answer):
    for name in NAMES:

        def answered(name=name):
            return context.group.answer(name, statement) == json.loads(answer)

        wait_until(answered)


@when("lab database: {first} and {second} promise term {term:d}")
def members_promise(context, first, second, term):
    context.promises = {}
    for name in (first, second):
        answer = context.group.answer(name, f"SELECT group_promise({term}, 'test')")
        last_term, position = answer[0][0].split(",")
        high, low = position.split("/")
        context.promises[name] = (int(last_term), int(high, 16), int(low, 16))


@when('lab database: {name} promises term {term:d} to "{promoter}"')
def member_promises(context, name, term, promoter):
    context.group.admin(name, f"SELECT group_promise({term}, '{promoter}')")


@then('lab database: a promise of term {term:d} by {name} to "{promoter}" gives {answer}')
def asked_for_promise(context, name, term, promoter, answer):
    found = context.group.answer(name, f"SELECT group_promise({term}, '{promoter}')")
    assert (found == answer) if answer != "yes" else found[0][0].startswith("1,0/"), found


@when("lab database: {name} is promoted under term {term:d}")
def member_promoted(context, name, term):
    answer = context.group.answer(name, f"SELECT group_promote({term})")
    assert answer[0][0].startswith(f"{term},"), answer


@when("lab database: promotion under term {term:d} goes to the more advanced of b and c")
def most_advanced_promoted(context, term):
    member_promoted(context, max(context.promises, key=context.promises.get), term)


@then("lab database: every member shows term {term:d}")
def every_member_shows_term(context, term):
    for name in NAMES:

        def shown(name=name):
            return context.group.answer(name, "SELECT group_term()") == [[term]]

        wait_until(shown)


@when("lab database: {name} follows term {term:d}")
def follows_term(context, name, term):
    wait_until(lambda: context.group.answer(name, "SELECT group_term()") == [[term]])


@then("lab database: a is refused by its peers and steps down")
def primary_steps_down(context):
    wait_until(lambda: context.group.answer("a", "SELECT group_role()") == [["replica"]])


@when("lab database: all members are restarted by {name}")
def restart_all(context, name):
    group = context.group
    for member in NAMES:
        group.end(member, getattr(signal, name))
    for member in NAMES:
        group.start(member)
    for member in NAMES:
        group.reconnect(member)

"""Steps on the retry budget."""

from __future__ import annotations

from behave import given, then, when

from limedyke.core.statements.retry_budget import RetryBudget

LATE_S = 2.0


@given("retry budget: the budget of a group")
def step_budget(context):
    context.budget = RetryBudget()
    context.now = 100.0
    context.outcomes = []
    context.requests = []


@when(
    "retry budget: {rate:d} requests a second arrive for {seconds:d} s, of which {share:d} % "
    "want retries, each up to {retries:d}"
)
def step_requests(context, rate, seconds, share, retries):
    for number in range(rate * seconds):
        context.now += 1.0 / rate
        context.budget.first_try(context.now)
        context.requests.append(context.now)
        if number * 37 % 100 >= share:
            continue
        for _ in range(retries):
            context.outcomes.append((context.now, context.budget.may_retry(context.now)))


@when("retry budget: a third of {rate:d} requests a second want a retry for {seconds:g} s")
def step_third(context, rate, seconds):
    context.outcomes = []
    for number in range(int(rate * seconds)):
        context.now += 1.0 / rate
        context.budget.first_try(context.now)
        if number % 3 == 0:
            context.outcomes.append((context.now, context.budget.may_retry(context.now)))


@then("retry budget: all of these retries are made")
def step_all(context):
    assert all(is_made for _, is_made in context.outcomes), context.outcomes


def _late(context):
    return [is_made for at, is_made in context.outcomes if at > context.now - LATE_S]


@then(
    "retry budget: in the last 2 s at least {least:d} % and at most {most:d} % of the wanted "
    "retries are made"
)
def step_share(context, least, most):
    outcomes = _late(context)
    share = 100.0 * sum(outcomes) / len(outcomes)
    assert least <= share <= most, share


@then("retry budget: in the last 2 s at most {load:d} retries are made per 100 requests")
def step_load(context, load):
    requests = sum(at > context.now - LATE_S for at in context.requests)
    made = 100.0 * sum(_late(context)) / requests
    assert made <= load, made


@then("retry budget: {count:d} retries at once are made")
def step_at_once(context, count):
    made = [context.budget.may_retry(context.now) for _ in range(count)]
    assert all(made), made

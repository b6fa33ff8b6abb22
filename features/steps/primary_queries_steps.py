"""Steps on a proxy's questions to a member that is being promoted."""

from __future__ import annotations

import curio
from behave import then, when

from features.steps.primary_confirmation_steps import run
from features.support.statement_path import GROUP
from limedyke.messages.control import PrimaryClaim, PrimaryQuery

ROUND = 78


@when("primary queries: the controllers ask for {ms:d} ms whether b leads")
def step_query(context, ms):
    query = PrimaryQuery(GROUP, ROUND, context.path.fence, "b", ms)
    run(context, context.path.groups.query_primary, query)


@then("primary queries: no claim is reported")
def step_no_claim(context):
    assert not context.reporter.claims, context.reporter.claims


@then("primary queries: one claim of b with its term is reported within {ms:d} ms")
def step_claim(context, ms):
    run(context, curio.sleep, ms / 1_000)
    expected = PrimaryClaim(GROUP, ROUND, "b", 0, context.path.group.term)
    assert context.reporter.claims == [expected], context.reporter.claims


@then("primary queries: a is confirmed as the primary")
def step_confirmed(context):
    assert context.path.groups.groups[GROUP].roles.is_confirmed("a")

"""Steps on a proxy's log lines and metrics of statements."""

from __future__ import annotations

import re
import time

import curio
import logbook
from behave import given, then, when

from features.steps.statement_path_steps import step_write_at_once
from limedyke.proxy.statements.log_rate_limiter import LogRateLimiter
from limedyke.proxy.statements.statement_log import StatementLog

METRIC = "limedyke_statements_"
ASKED_S = 0.05
"""Seconds after which a statement has reached its member."""


@given("statement log: log lines are recorded")
def step_record(context):
    handler = logbook.TestHandler()
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    context.lines = handler


@given("statement log: log lines are recorded, at most {limit:d} per second")
def step_record_limited(context, limit):
    step_record(context)
    log: StatementLog = context.path.services.log
    context.began_at = time.monotonic()
    log._outcome_lines = LogRateLimiter(limit, context.began_at)
    log._try_lines = LogRateLimiter(limit // 2, context.began_at)


@when("statement log: {count:d} clients write at once")
def step_write(context, count):
    step_write_at_once(context, count)


def _lines(context, event: str) -> list[str]:
    messages = [record.message for record in context.lines.records]
    return [message for message in messages if message.startswith(f"event={event} ")]


def _lines_of_last(context, event: str) -> list[str]:
    wanted = f" request={context.client.request_id} "
    return [line for line in _lines(context, event) if wanted in line]


@then('statement log: "{event}" of the last request says "{fields}"')
def step_says(context, event, fields):
    lines = _lines_of_last(context, event)
    assert any(fields in line for line in lines), lines


@then("statement log: the last request is told to retry in {least:d} to {most:d} ms")
def step_retry_after(context, least, most):
    lines = _lines_of_last(context, "not-served")
    found = re.search(r"retry_after_ms=(\d+)", lines[-1])
    assert least <= int(found[1]) <= most, lines


@then('statement log: the last request has no line "not-served"')
def step_served(context):
    assert not _lines_of_last(context, "not-served"), _lines(context, "not-served")


@then('statement log: the last request has {count:d} lines "{event}"')
def step_lines_of_last(context, count, event):
    lines = _lines_of_last(context, event)
    assert len(lines) == count, lines


@then('statement log: {count:d} lines "{event}" were written, and at most {rate:d} more per second')
def step_lines(context, count, event, rate):
    lines = _lines(context, event)
    most = count + rate * (time.monotonic() - context.began_at)
    assert count <= len(lines) <= most, lines


@given("statement log: a rate limit of {rate:d} lines per second")
def step_rate_limit(context, rate):
    context.limiter = LogRateLimiter(rate, 0.0)


@then("statement log: of {asked:d} lines requested at {seconds:f} s {taken:d} are admitted")
def step_taken(context, asked, seconds, taken):
    assert sum(context.limiter.take(seconds) for _ in range(asked)) == taken


def _metric(context, name: str, labels: dict[str, str]) -> float:
    value = context.path.registry.get_sample_value(METRIC + name, labels)
    return value or 0.0


@then('statement log: metrics count {count:d} failed tries for "{reason}"')
def step_failed_tries(context, count, reason):
    counted = _metric(context, "failed_tries_total", {"reason": reason})
    assert counted == count, counted


@then(
    'statement log: metrics count at least {count:d} turned away for "{reason}" at priority '
    "{priority:d}"
)
def step_turned_away(context, count, reason, priority):
    labels = {"reason": reason, "priority": str(priority)}
    assert _metric(context, "turned_away_total", labels) >= count


@then("statement log: metrics count the omitted lines")
def step_left_out(context):
    written = len(_lines(context, "not-served")) + len(_lines(context, "try-failed"))
    answers = sum(
        sample.value
        for metric in context.path.registry.collect()
        for sample in metric.samples
        if sample.name == METRIC + "answers_total" and sample.labels["code"] != "done"
    )
    left_out = _metric(context, "log_lines_left_out_total", {})
    assert left_out >= answers - written > 0, (left_out, answers, written)


@when(
    'statement log: the client asks "{text}" of a primary that works for {pause_ms:d} ms, '
    "and resets its connection"
)
def step_reset(context, text, pause_ms):
    faults = context.path.group.members["a"].faults
    faults.answers_travel_s = pause_ms / 1_000
    context.kernel.run(_ask_and_reset, context.client, text)


async def _ask_and_reset(client, text: str) -> None:
    client.request_id = "reset1"
    await client.send(f"QUERY {client.request_id} {text}\r\n")
    await curio.sleep(ASKED_S)
    await client.close()


@then("statement log: metrics count {count:d} statements without an answer")
def step_unanswered(context, count):
    assert _metric(context, "unanswered_total", {}) == count

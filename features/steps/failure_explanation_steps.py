"""Steps that explain failed requests from the logs and metrics of real processes."""

from __future__ import annotations

import re
import urllib.request
from datetime import UTC, datetime

import curio
from behave import then, when

from features.steps.platform_processes_steps import run, step_ready
from features.support.line_platform.deployment import PROXIES
from limedyke.log_explanation import Explanation, LogLine, explain, parse_line

PROXY_STATUS_PORT = 9465
METRICS_TIMEOUT_S = 5.0


def _log_lines(context) -> list[tuple[str, str]]:
    """Return source and text of each line that any process wrote."""
    lines = []
    for path in sorted(context.folder.glob("*.log")):
        lines += [(path.stem, line) for line in path.read_text().splitlines()]
    return lines


def _explanation(context) -> Explanation:
    return explain(context.client.request_id, _log_lines(context))


def _holds(lines: tuple[LogLine, ...], words: str) -> bool:
    wanted = re.findall(r'"([^"]*)"', words)
    return any(all(word in line.text for word in wanted) for line in lines)


@when("explained: the primary hangs, and the authority is down")
def step_hangs(context):
    context.deployment.authority.is_down = True
    context.deployment.group.primary.faults.silent = True


@when('explained: the client sends "{statement}" and receives "{expected}"')
def step_asks(context, statement, expected):
    answer = run(context, context.client.ask, statement)
    assert answer == expected, answer


@when('explained: {seconds:d} s later the client sends "{statement}" and receives "{expected}"')
def step_asks_later(context, seconds, statement, expected):
    run(context, curio.sleep, seconds)
    step_asks(context, statement, expected)


@when(
    'explained: the first proxy is killed, the client sends "{statement}" and receives "{expected}"'
)
def step_killed(context, statement, expected):
    context.deployment.kill(PROXIES[0])
    context.asked_at = datetime.now(UTC).replace(tzinfo=None)
    step_asks(context, statement, expected)
    context.deployment.start_process(PROXIES[0], "run_proxy.py")


@when("platform: every proxy is ready again within {limit:d} s")
def step_ready_again(context, limit):
    step_ready(context, limit)


@then("explained: the logs say about it {words}")
def step_own(context, words):
    explanation = _explanation(context)
    assert _holds(explanation.request_lines, words), explanation.request_lines


@then("explained: the logs contain a retry delay of {least:d} to {most:d} ms for it")
def step_retry_delay(context, least, most):
    refused = [
        line for line in _explanation(context).request_lines if line.fields["event"] == "not-served"
    ]
    assert least <= int(refused[-1].fields["retry_after_ms"]) <= most, refused


@then("explained: decisions before it include {words}")
def step_decisions(context, words):
    explanation = _explanation(context)
    assert _holds(explanation.context, words), explanation.context


@then('explained: metrics of the first proxy count an answer with "{code}"')
def step_metrics(context, code):
    url = f"http://{PROXIES[0]}:{PROXY_STATUS_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=METRICS_TIMEOUT_S) as answer:
        text = answer.read().decode()
    pattern = rf'limedyke_statements_answers_total{{code="{code}",kind="write"}} [1-9]'
    assert re.search(pattern, text), [line for line in text.splitlines() if "answers_total" in line]


@then("explained: no log line contains it")
def step_no_line(context):
    assert not _explanation(context).request_lines, _explanation(context).request_lines


@then("explained: the first proxy's log shows a start after it was asked")
def step_started_after(context):
    lines = [parse_line(source, text) for source, text in _log_lines(context)]
    starts = [
        line.at
        for line in lines
        if line is not None and line.source == PROXIES[0] and line.fields["event"] == "started"
    ]
    assert starts and max(starts) > context.asked_at, (starts, context.asked_at)

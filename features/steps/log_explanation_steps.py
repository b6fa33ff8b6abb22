"""Steps for explaining a request from logs."""

from __future__ import annotations

import subprocess
import sys

from behave import given, then, when

from limedyke.log_explanation import as_text, explain


@given("explain: these logs")
def step_logs(context):
    context.lines = [(row["source"], row["line"]) for row in context.table]


@given('explain: the line "{line}"')
def step_line(context, line):
    context.lines = [("log", line)]


@when('explain: request "{request}" is explained')
def step_explain(context, request):
    context.explanation = explain(request, context.lines)


@then('explain: the request\'s lines come from "{sources}"')
def step_request_lines(context, sources):
    found = [line.source for line in context.explanation.request_lines]
    assert ", ".join(found) == sources, found


@then('explain: the decisions before are "{events}"')
def step_context(context, events):
    found = [line.fields["event"] for line in context.explanation.context]
    assert ", ".join(found) == events, found


@then("explain: {skipped:d} lines were skipped")
def step_skipped(context, skipped):
    assert context.explanation.malformed_count == skipped, context.explanation


@then("explain: it reports that no log line contains it")
def step_unknown(context):
    assert "No log line contains request 99ff." in as_text(context.explanation)


@then('explain: the command prints the line of request "{request}"')
def step_command(context, request):
    path = context.folder / "front.log"
    path.write_text("\n".join(line for _, line in context.lines) + "\n")
    command = [sys.executable, "-m", "limedyke.cli", "explain", request, str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert context.lines[0][1] in done.stdout, done.stdout

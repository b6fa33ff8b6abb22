"""Steps on the explanation of a request from logs."""

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


@then('explain: its own lines come from "{sources}"')
def step_own(context, sources):
    found = [line.source for line in context.explanation.own]
    assert ", ".join(found) == sources, found


@then('explain: the decisions before are "{events}"')
def step_context(context, events):
    found = [line.fields["event"] for line in context.explanation.context]
    assert ", ".join(found) == events, found


@then("explain: {damaged:d} lines were passed over")
def step_damaged(context, damaged):
    assert context.explanation.damaged == damaged, context.explanation


@then("explain: it says that no line carries it")
def step_unknown(context):
    assert "No line carries request 99ff." in as_text(context.explanation)


@then('explain: the command prints the line of request "{request}"')
def step_command(context, request):
    path = context.folder / "front.log"
    path.write_text("\n".join(line for _, line in context.lines) + "\n")
    command = [sys.executable, "-m", "limedyke.cli", "explain", request, str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert context.lines[0][1] in done.stdout, done.stdout

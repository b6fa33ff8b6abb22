"""Steps for the table of result codes and the form of events."""

from __future__ import annotations

import codecs
import re

from behave import then, when

from limedyke.event_log import format_event
from limedyke.result_codes import Failure, Outcome, ResultCode
from tools.result_code_table import PAGE, render_page


@then("codes: every number is unique and has four digits")
def step_unique(context):
    numbers = [code.value.number for code in ResultCode]
    assert len(set(numbers)) == len(numbers)
    assert all(1_000 <= number <= 9_999 for number in numbers)
    assert len(set(ResultCode.__members__)) == len(list(ResultCode)), "two names share one entry"


@then("codes: every SQLSTATE has five characters")
def step_sqlstate(context):
    assert all(re.fullmatch(r"[0-9A-Z]{5}", code.sqlstate) for code in ResultCode)


@then("codes: every code with SQLSTATE 40003 has the outcome unknown")
def step_unknown(context):
    for code in ResultCode:
        if code.sqlstate == "40003":
            assert code.outcome is Outcome.UNKNOWN, code
        assert code.label in str(Failure(code))


@then("codes: docs/RESULT_CODES.md matches the code table")
def step_page(context):
    assert PAGE.read_text() == render_page()


def _value(text: str) -> object:
    try:
        return float(text)
    except ValueError:
        return codecs.decode(text, "unicode_escape")


@when("codes: an event with the value {value} is formatted")
def step_event(context, value):
    context.line = format_event("tested", value=_value(value))


@then("codes: its line is event=tested value={written}")
def step_line(context, written):
    expected = "event=tested value=" + written.replace("\\\\", "\\")
    assert context.line == expected, context.line
    assert len(context.line.splitlines()) == 1

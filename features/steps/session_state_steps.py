"""Steps for session state: settings, prepared statements and state left on connections."""

from __future__ import annotations

import re
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from features.support.back_end_lab import BackEndLab, shared_members
from features.support.session_exchange import SessionExchange, new_context
from features.support.session_on_members import SessionOnMembers
from limedyke.core.sql import statement_classifier

DROPPED = {
    "nothing": (),
    "settings": ("settings",),
    "refusal": (),
    "refusal and cleaning": ("leaves_state",),
}
BUDGET = 1


@given("session: a session with the startup settings {settings}")
def given_session(context: Context, settings: str) -> None:
    startup = {} if settings == "none" else dict([settings.split("=", 1)])
    context.exchange = SessionExchange(context.folder, startup)


@when("session: the client sends {notation}")
def when_sends(context: Context, notation: str) -> None:
    context.exchange.send(notation)


@then("session: the last unit replays the settings {settings}")
def then_settings(context: Context, settings: str) -> None:
    given_settings = context.exchange.units[-1].settings
    found = ", ".join(f"{item.name}={item.value}" for item in given_settings) or "none"
    assert found == settings, found


@then("session: its connection must be reset: {cleaned}")
def then_must_reset(context: Context, cleaned: str) -> None:
    found = "yes" if context.exchange.units[-1].leaves_state else "no"
    assert found == cleaned, found


@given("session: two clients of a tenant that share one connection, {dropped} dropped")
def given_two_clients(context: Context, dropped: str) -> None:
    lab = BackEndLab(shared_members(), "127.94.1")
    context.add_cleanup(lab.close)
    lab.budget = BUDGET
    lab.add_proxy("p1", lease=BUDGET)
    if dropped.startswith("refusal"):
        off = mock.patch.object(statement_classifier, "_sets_for_transaction_only", bool)
        off.start()
        context.add_cleanup(off.stop)
    shared = new_context()
    first, second = (SessionOnMembers(lab, shared, DROPPED[dropped]) for _ in range(2))
    context.clients = {"first": first, "second": second}


@when("session: the {which} disconnects")
def when_disconnects(context: Context, which: str) -> None:
    context.clients[which].leave()


@when("session: the first sends {notation}")
def when_first_sends(context: Context, notation: str) -> None:
    _send(context, "first", notation)


@when("session: the second sends {notation}")
def when_second_sends(context: Context, notation: str) -> None:
    _send(context, "second", notation)


def _send(context: Context, which: str, notation: str) -> None:
    answer = context.clients[which].send(notation)
    assert "E:" not in answer, answer


@then("session: the {which}'s {probe} gives {value}")
def then_probe(context: Context, which: str, probe: str, value: str) -> None:
    answer = context.clients[which].send(f"Q {probe}")
    found = re.search(r"D:(\S+)", answer)
    assert found is not None, answer
    assert found[1] == value, answer


@then("session: the {which} binds {name} and gets the error {sqlstate}")
def then_bind_error(context: Context, which: str, name: str, sqlstate: str) -> None:
    answer = context.clients[which].send(f"B {name} / E / S")
    assert answer == f"E:{sqlstate} Z:I", answer


@then("session: the {which} binds {name} and gets {value:w}")
def then_bind(context: Context, which: str, name: str, value: str) -> None:
    answer = context.clients[which].send(f"B {name} / E / S")
    assert f"D:{value} " in answer, answer

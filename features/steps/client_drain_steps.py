"""Steps for the planned stop of a proxy, with psycopg and raw bytes."""

from __future__ import annotations

import re
import select
import signal
import threading
import time
from collections.abc import Callable

import curio
import psycopg
from behave import given, then, when
from behave.runner import Context

from features.support.client_side_process import make_services
from features.support.client_side_runner import ClientSide
from features.support.scripted_back_end import ScriptedBackEnd
from features.support.wire_client import (
    Refusal,
    WireClosedError,
    message,
    startup_packet,
)
from limedyke.proxy.clients.watch import ClientWatch
from limedyke.proxy.drain import drain_proxy

WORK_S = 10.0
LOST = "lost"
REFUSED = "LD3006"
DID_NOT_RUN = "Outcome: did not run."
BATCH = 40
CODE = re.compile(r"LD\d{4}")


def _own_proxy(context: Context, certificate: str = "", disabled_safeguard: str = "") -> ClientSide:
    context.side = ClientSide(certificate, disabled_safeguard=disabled_safeguard)
    context.add_cleanup(context.side.stop)
    return context.side


def _outcome(action: Callable[[], str]) -> str:
    """Return the result of an action, or ``REFUSED`` or ``LOST`` for its error."""
    try:
        return action()
    except psycopg.Error as error:
        return _outcome_of(error)


def _outcome_of(error: psycopg.Error) -> str:
    text = str(error)
    return REFUSED if REFUSED in text and DID_NOT_RUN in text else LOST


def _code_in(text: str) -> str:
    """Return the result code in an error's text, or ``LOST``."""
    found = CODE.search(text)
    return found[0] if found is not None else LOST


class Driver:
    """A psycopg connection in a given state; its open work runs in a thread."""

    def __init__(self, side: ClientSide, state: str) -> None:
        self._side = side
        self._name = f"p{time.monotonic_ns()}"
        options = {"sslmode": "require"} if state == "idle over TLS" else {}
        self.connection = side.psycopg(**options)
        self._result = "nothing"
        self.code = ""
        self._finish: Callable[[], str] | None = None
        self._thread: threading.Thread | None = None
        self._enter(state)

    def _enter(self, state: str) -> None:
        pause = f"pause({self._name})"
        match state:
            case "running a read":
                self._start(lambda: self._row(f"select {pause}"))
            case "running forever":
                self._name = "never"
                self._start(lambda: self._row("select pause(never)"))
            case "running a read forever":
                self._name = "never"
                self._start(lambda: self._row("select 'pause(never)'"))
            case "running a write forever":
                self._name = "never"
                self._start(lambda: self._tag("insert into a values (pause(never))"))
            case "running in a transaction forever":
                self._name = "never"
                self._tag("begin")
                self._start(lambda: self._tag("update a set b = pause(never)"))
            case "running a batch that commits forever":
                self._name = "never"
                self._tag("begin")
                self._start(lambda: self._tag("update a set b = pause(never); commit"))
            case "running a write":
                self._start(lambda: self._tag(f"insert into a values ({pause})"))
            case "running in a transaction":
                self._tag("begin")
                self._start(lambda: self._tag(f"update a set b = {pause}"))
                self._finish = lambda: self._tag("commit")
            case "in a transaction":
                self._tag("begin")
                self._finish = lambda: self._tag("commit")
            case "in a failed transaction":
                self._tag("begin")
                assert _outcome(lambda: self._row("select fail")) == LOST
                self._finish = lambda: self._tag("rollback")

    def _row(self, text: str) -> str:
        assert self.connection.execute(text).fetchone() == (text,)
        return "its row"

    def _tag(self, text: str) -> str:
        return self.connection.execute(text).statusmessage

    def _start(self, action: Callable[[], str]) -> None:
        def run() -> None:
            try:
                self._result = action()
            except psycopg.Error as error:
                self.code = _code_in(str(error))
                self._result = _outcome_of(error)

        self._thread = threading.Thread(target=run, daemon=True)
        self._thread.start()
        self._side.wait(lambda: any(self._name in str(item) for item in self._side.work))

    def end_work(self) -> str:
        """Let the open work end; return how it ended."""
        if self._name != "never":
            self._side.release(self._name)
        if self._thread is not None:
            self._thread.join(WORK_S + WORK_S)
        if self._finish is not None:
            self._result = _outcome(self._finish)
        return self._result

    def next_statement(self) -> str:
        """Return how one more statement ends, once the proxy has ended the session."""
        self._side.wait(self._is_ended)
        return _outcome(lambda: self._row("select 1"))

    def _is_ended(self) -> bool:
        """Return whether the proxy has ended the session, so that data waits to be read."""
        if self.connection.closed:
            return True
        return bool(select.select([self.connection.fileno()], [], [], 0)[0])


@given("client: a proxy of its own with a driver that is {state}")
def given_driver(context: Context, state: str) -> None:
    side = _own_proxy(context, "one" if "TLS" in state else "")
    context.driver = Driver(side, state)


@given('client: a proxy of its own, "{safeguard}" off, with a driver that is {state}')
def given_disabled_safeguard(context: Context, safeguard: str, state: str) -> None:
    side = _own_proxy(context, disabled_safeguard=safeguard)
    context.driver = Driver(side, state)


@given("client: a proxy of its own with {count:d} drivers that never pause")
def given_busy_drivers(context: Context, count: int) -> None:
    side = _own_proxy(context)
    context.busy = [BusyDriver(side) for _ in range(count)]
    side.wait(lambda: all(driver.answers > BATCH for driver in context.busy))


class BusyDriver:
    """A psycopg connection that sends one statement after the other until one fails."""

    def __init__(self, side: ClientSide) -> None:
        self.answers = 0
        self.end = ""
        self._connection = side.psycopg()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self.end:
            text = f"select {self.answers}"
            found = _outcome(lambda text=text: self._connection.execute(text).fetchone()[0])
            if found == text:
                self.answers += 1
            else:
                self.end = found


@given("client: a proxy of its own with a connection in the middle of its login")
def given_login(context: Context) -> None:
    side = _own_proxy(context)
    context.client = side.wire()
    context.add_cleanup(context.client.close)
    context.client.send(startup_packet({"user": "app", "database": "acme/main"}))
    assert context.client.receive()[0] == b"R"


@given("client: a proxy of its own with {count:d} idle connections")
def given_idle(context: Context, count: int) -> None:
    side = _own_proxy(context)
    context.clients = [side.logged_in() for _ in range(count)]


@when("client: the stop is requested")
def when_stop(context: Context) -> None:
    context.side.process.send_signal(signal.SIGTERM)
    context.side.wait(lambda: "drain-started" in context.side.log)


@when("client: the proxy is frozen, each sends a request, the stop is requested and it resumes")
def when_frozen(context: Context) -> None:
    process = context.side.process
    process.send_signal(signal.SIGSTOP)
    for client in context.clients:
        client.send(message(b"Q", b"select 1\0"))
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGCONT)


class RecordingParts:
    """Replaces the control client and the back ends, and records the calls to them."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def refuse_new_work(self) -> None:
        """Record the call."""
        self.calls.append("refuses new work")

    async def leave(self, done: bool) -> None:
        """Record the call."""
        self.calls.append("tells the controllers")

    async def drain(self) -> None:
        """Record the call."""
        self.calls.append("drains its back ends")


@when("client: a proxy without clients is drained")
def when_drained(context: Context) -> None:
    context.parts = RecordingParts()
    services = make_services(ScriptedBackEnd(context.folder), None, False)
    watch = ClientWatch(services)
    curio.run(drain_proxy, services, watch, context.parts, context.parts, 1.0)


@then("client: it {calls}, tells the controllers")
def then_calls(context: Context, calls: str) -> None:
    found = ", ".join(context.parts.calls)
    assert found == f"{calls}, tells the controllers", found


@then("client: the driver's work ends with {work}")
def then_work(context: Context, work: str) -> None:
    found = context.driver.end_work()
    expected = (REFUSED, LOST) if "lost connection" in work else (work,)
    assert found in expected, found


@then("client: the driver's work fails with {code}")
def then_code(context: Context, code: str) -> None:
    context.driver.end_work()
    assert context.driver.code == code, context.driver.code


@then("client: its next statement gets {code}")
def then_next(context: Context, code: str) -> None:
    found = context.driver.next_statement()
    assert found == code, found


@then("client: the proxy exits with {code:d}")
def then_exits(context: Context, code: int) -> None:
    found = context.side.process.wait(WORK_S + WORK_S)
    assert found == code, found


@then("client: each driver got complete answers, and then LD3006 that says it did not run")
def then_busy_ends(context: Context) -> None:
    for driver in context.busy:
        driver.thread.join(WORK_S)
    ends = {driver.end for driver in context.busy}
    assert ends == {REFUSED}, ends


@then("client: a new connection is refused or not accepted")
def then_not_let_in(context: Context) -> None:
    try:
        client = context.side.wire()
    except ConnectionRefusedError:
        return
    received = client.log_in({"user": "app", "database": "acme/main"}, "secret")
    assert Refusal.parse(received[-1][1]).label == REFUSED, received


@then("client: each of them gets its answer or LD3006, and none only a closed connection")
def then_each_answered(context: Context) -> None:
    found = {_first_answer(client) for client in context.clients}
    assert found <= {"answer", REFUSED}, found
    assert "answer" in found, found


def _first_answer(client) -> str:
    try:
        kind, body = client.receive()
    except WireClosedError:
        return LOST
    return Refusal.parse(body).label if kind == b"E" else "answer"


@then("client: the driver's work or its next statement is lost without an error code")
def then_lost(context: Context) -> None:
    work = context.driver.end_work()
    found = (work, context.driver.next_statement())
    assert LOST in found, found

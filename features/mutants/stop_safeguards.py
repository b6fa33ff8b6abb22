"""Mutants of the safeguards by which a stopping process leaves no statement or call unanswered."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest import mock

import curio

from features.mutants.mutant import Mutant
from features.support.http_test_clients import CALL, DROP_ALL, HttpTestClient
from features.support.statement_path import LineClient
from features.support.statement_stop import StoppingPath
from limedyke.core.statements import stop_schedule
from limedyke.core.statements.session import StatementSession
from limedyke.messages.databases import Consistency
from limedyke.proxy.statements.clients import client as client_module
from limedyke.proxy.statements.clients.client import StatementClient
from limedyke.transport import listener_filter
from limedyke.transport.acceptor import Acceptor
from limedyke.transport.http_server import HttpAnswer, HttpLimits, HttpServer
from limedyke.transport.link import listen

WHOLE_S = 1.5
"""Seconds between the signal and the end of the proxy."""
ANSWER_S = 0.25
LONG_S = 5.0
STATEMENT_TIMEOUT_MS = 4_000
ASKED_S = 0.05
CLIENTS = 4
SHORT_QUEUE = 1
"""Backlog of the listener; the kernel queues one connection more."""
CALL_BYTES = 1_024


async def _make_path(answer_s: float) -> StoppingPath:
    path = StoppingPath(Consistency.SESSION)
    path.statement_timeout_ms = STATEMENT_TIMEOUT_MS
    await path.start()
    first, _ = await path.connect()
    for text in ("WRITE w 0", "READ w"):
        await first.ask(text)
    for member in path.group.members.values():
        member.faults.answers_travel_s = answer_s
    return path


async def _end(path: StoppingPath) -> None:
    """End the proxy's process, which interrupts running statements."""
    await path.wait_for_end()
    for served in list(path.served):
        await served.task.cancel()


async def _ask_until_refused(client: LineClient) -> bool:
    """Send one statement after the other; tell whether one got no complete answer."""
    while True:
        words = await client.ask("READ w")
        if not client.last_answer or not client.last_answer[-1].startswith("READY"):
            return True
        if "done" not in words:
            return False


async def _late_statement_is_cut() -> bool:
    path = await _make_path(ANSWER_S)
    clients = [(await path.connect())[0] for _ in range(CLIENTS)]
    asking = [await curio.spawn(_ask_until_refused, client) for client in clients]
    await path.stop_proxy(WHOLE_S)
    await _end(path)
    cut = [await task.join() for task in asking]
    await path.stop()
    return any(cut)


async def _long_statement_is_cut() -> bool:
    path = await _make_path(LONG_S)
    client, _ = await path.connect()
    asking = await curio.spawn(client.ask, "READ w")
    await curio.sleep(ASKED_S)
    await path.stop_proxy(WHOLE_S)
    await _end(path)
    await asking.join()
    await path.stop()
    return not client.last_answer or not client.last_answer[-1].startswith("READY")


async def _crossing_statement_is_cut() -> bool:
    path = await _make_path(0.0)
    client, _ = await path.connect()
    await path.stop_proxy(WHOLE_S)
    await path.wait_until("idle_sessions_until")
    while not client.has_unsolicited_data():
        await curio.sleep(0.01)
    try:
        await client.ask("WRITE x 1")
        is_whole = bool(client.last_answer) and client.last_answer[-1].startswith("READY")
    except OSError:
        is_whole = False
    await path.stop()
    return not is_whole


async def _lost_transaction_is_a_surprise() -> bool:
    path = await _make_path(0.0)
    client, _ = await path.connect()
    for text in ("BEGIN", "WRITE x 1"):
        await client.ask(text)
    await path.stop_proxy(WHOLE_S)
    await path.wait_until("statements_until")
    await curio.sleep(2 * ASKED_S)
    told = await client.ask("WRITE x 2")
    await path.stop()
    return told.startswith("MALFORMED")


async def _queued_call_is_cut() -> bool:
    """Call while the server accepts nothing; tell whether a call stays unanswered at its end."""
    listener = listen("127.0.0.1:0").unwrap()
    host, port = listener.getsockname()
    server = HttpServer(_answer_call, HttpLimits(CALL_BYTES))
    serving = await curio.spawn(server.run, listener)
    await curio.sleep(ASKED_S)
    await server._acceptor._accepting.cancel()
    callers = [HttpTestClient() for _ in range(CLIENTS)]
    for caller in callers:
        caller.send_blocking(f"{host}:{port}", CALL)
    await server.drain()
    for caller in callers:
        caller.receive_available()
    await serving.cancel()
    return not all(caller.is_answered for caller in callers)


async def _unconfirmed_call_is_cut() -> bool:
    """Call on a connection whose final ACK the kernel has dropped because the queue was full."""
    listener = listen("127.0.0.1:0").unwrap()
    listener.listen(SHORT_QUEUE)
    host, port = listener.getsockname()
    server = HttpServer(_answer_call, HttpLimits(CALL_BYTES))
    last = HttpTestClient()
    last.start_connecting(f"{host}:{port}")
    queued = [HttpTestClient() for _ in range(SHORT_QUEUE + 1)]
    for caller in queued:
        caller.send_blocking(f"{host}:{port}", CALL)
    await last.stop_packet_loss()
    serving = await curio.spawn(server.run, listener)
    draining = await curio.spawn(server.drain)
    await queued[0].receive()
    last.send_rest_blocking(CALL)
    await draining.join()
    last.receive_available()
    await serving.cancel()
    return not last.is_answered


async def _answer_call(_: object) -> HttpAnswer:
    return HttpAnswer(200)


def _is_caught(patch: Callable[[], AbstractContextManager], violates: Callable[[], bool]) -> bool:
    if violates():
        raise AssertionError("the violation shows with the safeguard in place")
    with patch():
        return violates()


async def _close_at_once(sock: object, *_: object) -> None:
    """End a session by closing its connection."""
    await sock.close()


async def _let_it_run(_: StatementClient) -> None:
    """Do not interrupt a running statement."""


def _never_ends(began_at: float, whole_s: float) -> stop_schedule.StopSchedule:
    """Return a schedule that accepts statements until the process ends."""
    ends_at = began_at + whole_s
    idle_until = began_at + 0.4 * whole_s
    return stop_schedule.StopSchedule(ends_at, idle_until, ends_at, ends_at, ends_at)


@contextmanager
def _take_on_and_let_run() -> Iterator[None]:
    """Accept statements until the end, with their whole timeout, and never interrupt them."""
    whole_time = STATEMENT_TIMEOUT_MS / 1_000
    with (
        mock.patch.object(stop_schedule.StopSchedule, "of", _never_ends),
        mock.patch.object(StatementSession, "statement_time_s", lambda *_: whole_time),
        mock.patch.object(StatementClient, "interrupt_statement", _let_it_run),
    ):
        yield


MUTANTS = (
    Mutant(
        "drop the confirmations of handshakes with the requests for connections",
        "limedyke.transport.listener_filter.PROGRAM",
        "a call on a connection that is open for its caller is answered",
        lambda: _is_caught(
            lambda: mock.patch.object(listener_filter, "PROGRAM", DROP_ALL),
            lambda: curio.run(_unconfirmed_call_is_cut),
        ),
    ),
    Mutant(
        "close a listener with callers in its queue",
        "limedyke.transport.acceptor.Acceptor.close",
        "a call on a connection that is open for its caller is answered",
        lambda: _is_caught(
            lambda: mock.patch.object(Acceptor, "_accept_all", lambda *_: iter(())),
            lambda: curio.run(_queued_call_is_cut),
        ),
    ),
    Mutant(
        "take statements for as long as the process lives",
        "limedyke.core.statements.stop_schedule.StopSchedule",
        "a statement that is taken is answered whole",
        lambda: _is_caught(
            _take_on_and_let_run,
            lambda: curio.run(_late_statement_is_cut),
        ),
    ),
    Mutant(
        "end with statements under way",
        "limedyke.proxy.statements.clients.client.StatementClient.interrupt_statement",
        "a statement that is taken is answered whole",
        lambda: _is_caught(
            lambda: mock.patch.object(StatementClient, "interrupt_statement", _let_it_run),
            lambda: curio.run(_long_statement_is_cut),
        ),
    ),
    Mutant(
        "close a session without a word",
        "limedyke.proxy.statements.clients.session_end.end_session",
        "a statement that crosses the end of its session is answered",
        lambda: _is_caught(
            lambda: mock.patch.object(client_module, "end_session", _close_at_once),
            lambda: curio.run(_crossing_statement_is_cut),
        ),
    ),
    Mutant(
        "end a transaction that rests without telling",
        "limedyke.core.statements.session.StatementSession.lose_transaction",
        "a client is told of a transaction that was ended",
        lambda: _is_caught(
            lambda: mock.patch.object(
                StatementSession, "lose_transaction", lambda session, _: session.fail_transaction()
            ),
            lambda: curio.run(_lost_transaction_is_a_surprise),
        ),
    ),
)

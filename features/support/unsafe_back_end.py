"""Back-end connections with a safeguard disabled, to show that tests detect what it prevents."""

from __future__ import annotations

from contextlib import ExitStack
from unittest import mock

from limedyke.postgres import member_frames as frames
from limedyke.postgres.member_answer import AnswerReader
from limedyke.proxy import unit_write
from limedyke.proxy.members.connection import BackendConnection, ConnectionLostError
from limedyke.proxy.unit_context import UnitContext
from limedyke.proxy.unit_exchange import Exchange
from limedyke.proxy.unit_write import UnitWrite
from limedyke.result_codes import ResultCode


def _accept_any_frame(self, frame) -> None:
    """Accept anything up to the next ReadyForQuery as the answer to a position check."""
    if frame[0] != frames.READY:
        return
    if not self.checked_before:
        self._start_caller_stage()
        return
    self.done = True


def _start_caller_stage(self) -> None:
    self._stage = type(self._stage).CALLER


async def _feed(self, reader) -> None:
    """Pass frames to the reader until it is done; keep the rest for the next reader."""
    received = await self.receive()
    for index, frame in enumerate(received):
        reader.feed((frame,))
        if reader.done:
            self._put_back = received[index + 1 :]
            return


async def _exchange_without_break(self, connection, plan) -> Exchange:
    """Run a batch, and keep the connection in use if the caller disconnects."""
    exchange = Exchange(connection, self.unit, self.relay, plan)
    self.running.connection = connection
    try:
        await exchange.run()
    finally:
        self.running.connection = None
    return exchange


_execute = UnitWrite._execute


async def _execute_with_retry(self, connection, term):
    """Treat every lost connection as if nothing had been sent on it."""
    executed = await _execute(self, connection, term)
    if executed.failure is not None and executed.failure.code is ResultCode.OUTCOME_UNKNOWN:
        raise ConnectionLostError("sent again by the test", nothing_sent=True)
    return executed


_ANSWERS = (
    (AnswerReader, "_process_check_frame", _accept_any_frame),
    (AnswerReader, "_start_caller_stage", _start_caller_stage),
    (BackendConnection, "_feed", _feed),
    (BackendConnection, "check_idle", lambda self: not self.broken),
    (BackendConnection, "_reject_unexpected", lambda self, received: None),
)
_PATCHES = {
    "answers": _ANSWERS,
    "late answers": (*_ANSWERS, (UnitContext, "exchange", _exchange_without_break)),
    "the answer is lost": ((UnitWrite, "_execute", _execute_with_retry),),
    "term": ((unit_write, "acknowledges", lambda *_: True),),
}


def disable_safeguard(safeguard: str) -> ExitStack:
    """Disable a safeguard until the returned stack is closed."""
    stack = ExitStack()
    for owner, attribute, replacement in _PATCHES[safeguard]:
        stack.enter_context(mock.patch.object(owner, attribute, replacement, create=True))
    return stack

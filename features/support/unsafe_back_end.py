"""Back-end connections without their safeguards, to show what these prevent."""

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


def _careless_check(self, frame) -> None:
    """Take whatever comes up to the next ReadyForQuery for the answer to a position check."""
    if frame[0] != frames.READY:
        return
    if not self.checked_before:
        self._next_piece_is_callers()
        return
    self.done = True


def _callers_next(self) -> None:
    self._piece = type(self._piece).CALLER


async def _feed(self, reader) -> None:
    """Give the reader frames up to its end; whatever follows is left to the next reader."""
    received = await self.receive()
    for index, frame in enumerate(received):
        reader.feed((frame,))
        if reader.done:
            self._put_back = received[index + 1 :]
            return


async def _careless_exchange(self, connection, plan) -> Exchange:
    """Run a batch and leave the connection in use when the caller goes away."""
    exchange = Exchange(connection, self.unit, self.relay, plan)
    self.running.connection = connection
    try:
        await exchange.run()
    finally:
        self.running.connection = None
    return exchange


_execute = UnitWrite._execute


async def _send_again(self, connection, term):
    """Take every lost connection for one over which nothing was sent."""
    executed = await _execute(self, connection, term)
    if executed.failure is not None and executed.failure.code is ResultCode.OUTCOME_UNKNOWN:
        raise ConnectionLostError("sent again by the test", nothing_sent=True)
    return executed


_ANSWERS = (
    (AnswerReader, "_check_frame", _careless_check),
    (AnswerReader, "_next_piece_is_callers", _callers_next),
    (BackendConnection, "_feed", _feed),
    (BackendConnection, "check_idle", lambda self: not self.broken),
    (BackendConnection, "_reject_unexpected", lambda self, received: None),
)
_PATCHES = {
    "answers": _ANSWERS,
    "late answers": (*_ANSWERS, (UnitContext, "exchange", _careless_exchange)),
    "the answer is lost": ((UnitWrite, "_execute", _send_again),),
    "term": ((unit_write, "acknowledges", lambda *_: True),),
}


def take_away(safeguard: str) -> ExitStack:
    """Take a safeguard away until the returned stack is closed."""
    stack = ExitStack()
    for owner, attribute, replacement in _PATCHES[safeguard]:
        stack.enter_context(mock.patch.object(owner, attribute, replacement, create=True))
    return stack

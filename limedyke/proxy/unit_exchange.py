"""Runs one batch on one connection: sends it with its checks, holds the answer until it is sure."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from limedyke.messages.work import AnswerChunk, WorkUnit
from limedyke.postgres import member_frames as frames
from limedyke.postgres.member_answer import AnswerReader, AnswerViolationError
from limedyke.postgres.member_frames import PositionAnswer
from limedyke.proxy.executor import Relay
from limedyke.proxy.members.connection import BackendConnection, ConnectionLostError
from limedyke.result_codes import Failure, ResultCode

HOLD_BYTES = 64 * 1024

Accept = Callable[[PositionAnswer], bool]


@dataclass(frozen=True, slots=True)
class ExchangePlan:
    """How a batch is checked.

    :param accept_before: asks for the position ahead of the batch; the answer is relayed only
        when this accepts it
    :param check_after: asks for the position behind the batch
    :param is_write: CommandComplete is held back until the check behind was answered
    :param ahead: messages of the proxy itself sent ahead of the batch
    :param read_ahead: reads their answers
    """

    accept_before: Accept | None
    check_after: bool
    is_write: bool
    ahead: bytes = b""
    read_ahead: Callable[[BackendConnection], Awaitable[None]] | None = None


class Exchange:
    """One batch on one connection.

    After ``run``: ``failure`` is None when the answer came whole.  ``sent`` tells
    whether the member may have seen the batch, ``relayed`` whether the caller
    has got a part of the answer, ``refused_before`` whether the member was not
    far enough, so that nothing was relayed.
    """

    def __init__(
        self, connection: BackendConnection, unit: WorkUnit, relay: Relay, plan: ExchangePlan
    ) -> None:
        self.connection = connection
        self._unit = unit
        self._relay = relay
        self._plan = plan
        self._accepted = plan.accept_before is None
        self.reader = AnswerReader()
        self.failure: Failure | None = None
        self.sent = False
        self.relayed = False
        self.refused_before = False
        self.asked_at = 0.0

    async def run(self) -> None:
        """Send the batch and take the answer; the end of it is still held."""
        try:
            await self._send()
            if self._plan.read_ahead is not None:
                await self._plan.read_ahead(self.connection)
            while not self.reader.done:
                await self.connection.receive_into(self.reader)
                self._judge_before()
                if self.reader.pending_bytes > HOLD_BYTES:
                    await self._spill()
        except ConnectionLostError as error:
            self.sent = self.sent or not error.nothing_sent
            self.failure = Failure(ResultCode.OUTCOME_UNKNOWN, f"connection lost: {error}")
        except AnswerViolationError as error:
            self.failure = Failure(error.code, str(error))
        self._learn()

    async def _send(self) -> None:
        connection = self.connection
        plan = self._plan
        mark_before = connection.next_mark() if plan.accept_before is not None else None
        mark_after = connection.next_mark() if plan.check_after else None
        parses, parse_count = connection.state.prepare(self._unit.prepared)
        self.reader = AnswerReader(mark_before, mark_after, parse_count)
        pieces = [plan.ahead, parses, self._unit.data]
        if mark_before is not None:
            pieces.insert(0, frames.position_query(mark_before))
        if mark_after is not None:
            pieces.append(frames.position_query(mark_after))
        self.asked_at = time.monotonic()
        await connection.send(b"".join(pieces))
        self.sent = True

    def _judge_before(self) -> None:
        """Decide, once the check ahead of the batch is answered, whether to relay anything."""
        answer = self.reader.position_before
        accept = self._plan.accept_before
        if self._accepted or self.refused_before or answer is None or accept is None:
            return
        self._accepted = accept(answer)
        self.refused_before = not self._accepted

    async def _spill(self) -> None:
        """Relay what may go out before the answer is known to be whole."""
        if self.refused_before:
            self.reader.take()
        elif self._plan.is_write:
            await self._pass_on(self.reader.take_before_completion())
        else:
            await self._pass_on(self.reader.take())

    async def replace_answer(self, data: bytes) -> None:
        """Relay an answer of the proxy itself in place of the member's."""
        self.reader.take()
        await self._pass_on(data)

    async def finish(self) -> None:
        """Relay the held end of the answer."""
        await self._pass_on(self.reader.take())

    async def _pass_on(self, data: bytes) -> None:
        if not data:
            return
        self.relayed = True
        await self._relay(AnswerChunk(self._unit.stream, data))

    def _learn(self) -> None:
        reader = self.reader
        answer = reader.position_after or reader.position_before
        if answer is not None:
            self.connection.learn(answer)
        failed_to_prepare = bool(reader.sqlstate) and bool(self._unit.prepared)
        if reader.session_changed or failed_to_prepare or self._unit.leaves_state:
            self.connection.state.tainted = True

    @property
    def checked(self) -> bool:
        """Whether the member told its position in this exchange."""
        reader = self.reader
        return reader.position_after is not None or reader.position_before is not None

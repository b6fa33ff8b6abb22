"""Runs a batch on a connection: sends it with position checks and holds back the answer."""

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

MAXIMUM_HELD_BYTES = 64 * 1024

Accept = Callable[[PositionAnswer], bool]


@dataclass(frozen=True, slots=True)
class ExchangePlan:
    """Position checks and extra messages of a batch.

    :param accept_before: if given, the position is queried before the batch, and the answer to
        the batch is relayed only if this accepts the position
    :param check_after: whether the position is queried after the batch
    :param is_write: whether CommandComplete is held back until the check after the batch
    :param preamble: the proxy's own messages, sent before the batch
    :param read_preamble: reads the answers to ``preamble``
    """

    accept_before: Accept | None
    check_after: bool
    is_write: bool
    preamble: bytes = b""
    read_preamble: Callable[[BackendConnection], Awaitable[None]] | None = None


class Exchange:
    """One batch on one connection; the attributes hold the result of ``run``.

    :ivar failure: None if the answer is complete
    :ivar sent: whether the member may have received the batch
    :ivar relayed: whether the caller has received part of the answer
    :ivar refused_before: whether the position before the batch was not accepted; nothing was
        relayed then
    :ivar asked_at: monotonic time at which the batch was sent
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
        """Send the batch and read its answer, the end of which is held until ``finish``."""
        try:
            await self._send()
            if self._plan.read_preamble is not None:
                await self._plan.read_preamble(self.connection)
            while not self.reader.done:
                await self.connection.receive_into(self.reader)
                self._check_position_before()
                if self.reader.pending_bytes > MAXIMUM_HELD_BYTES:
                    await self._relay_early()
        except ConnectionLostError as error:
            self.sent = self.sent or not error.nothing_sent
            self.failure = Failure(ResultCode.OUTCOME_UNKNOWN, f"connection lost: {error}")
        except AnswerViolationError as error:
            self.failure = Failure(error.code, str(error))
        self._update_connection()

    async def _send(self) -> None:
        connection = self.connection
        plan = self._plan
        mark_before = connection.next_mark() if plan.accept_before is not None else None
        mark_after = connection.next_mark() if plan.check_after else None
        parses, parse_count = connection.state.prepare(self._unit.prepared)
        self.reader = AnswerReader(mark_before, mark_after, parse_count)
        pieces = [plan.preamble, parses, self._unit.data]
        if mark_before is not None:
            pieces.insert(0, frames.position_query(mark_before))
        if mark_after is not None:
            pieces.append(frames.position_query(mark_after))
        self.asked_at = time.monotonic()
        await connection.send(b"".join(pieces))
        self.sent = True

    def _check_position_before(self) -> None:
        """Decide whether to relay the answer, once the position before the batch is known."""
        answer = self.reader.position_before
        accept = self._plan.accept_before
        if self._accepted or self.refused_before or answer is None or accept is None:
            return
        self._accepted = accept(answer)
        self.refused_before = not self._accepted

    async def _relay_early(self) -> None:
        """Relay the part of the held answer that may be sent before the answer is complete."""
        if self.refused_before:
            self.reader.take()
        elif self._plan.is_write:
            await self._relay_data(self.reader.take_buffered_before_completion())
        else:
            await self._relay_data(self.reader.take())

    async def relay_replacement(self, data: bytes) -> None:
        """Relay an answer of the proxy instead of the member's answer."""
        self.reader.take()
        await self._relay_data(data)

    async def finish(self) -> None:
        """Relay the held end of the answer."""
        await self._relay_data(self.reader.take())

    async def _relay_data(self, data: bytes) -> None:
        if not data:
            return
        self.relayed = True
        await self._relay(AnswerChunk(self._unit.stream, data))

    def _update_connection(self) -> None:
        reader = self.reader
        answer = reader.position_after or reader.position_before
        if answer is not None:
            self.connection.record_position(answer)
        failed_to_prepare = bool(reader.sqlstate) and bool(self._unit.prepared)
        if reader.session_changed or failed_to_prepare or self._unit.leaves_state:
            self.connection.state.tainted = True

    @property
    def checked(self) -> bool:
        """Whether the member reported its position in this exchange."""
        reader = self.reader
        return reader.position_after is not None or reader.position_before is not None

"""Buffer for the responses to one batch of messages, which are sent together."""

from __future__ import annotations

from limedyke_lab.database.postgres import wire
from limedyke_lab.database.session import Session


class AnswerBuffer:
    """Buffers the responses of one session.

    :ivar another_follows: whether another complete batch has already been received
    """

    def __init__(self, session: Session) -> None:
        self.another_follows = False
        self._session = session
        self._messages: list[bytes] = []
        self._tail_index = -1

    def add(self, message: bytes) -> None:
        """Append a message."""
        self._messages.append(message)

    def complete(self, tag: str) -> None:
        """Append a CommandComplete; the tail of a batch starts at its last one."""
        self._tail_index = len(self._messages)
        self._messages.append(wire.command_complete(tag))

    async def send_ready(self) -> None:
        """Append changed settings and ReadyForQuery, then send the batch."""
        session = self._session
        for name, value in session.settings.take_reports():
            self.add(wire.parameter_status(name, value))
        transaction = session.transaction
        if not transaction.explicit:
            self.add(wire.READY_IDLE)
        elif transaction.failed:
            self.add(wire.READY_FAILED)
        else:
            self.add(wire.READY_TRANSACTION)
        await self.send()

    async def send(self) -> None:
        """Send the buffered messages."""
        messages, self._messages = self._messages, []
        tail_index, self._tail_index = self._tail_index, -1
        answer = b"".join(messages)
        tail_start = -1
        if tail_index >= 0:
            tail_start = len(b"".join(messages[:tail_index]))
        await self._session.answer_faults.send(answer, tail_start, self.another_follows)

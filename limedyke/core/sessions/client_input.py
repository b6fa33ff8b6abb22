"""What a client has sent and the session hasn't run yet: waiting messages, and an open batch."""

from __future__ import annotations

from collections import deque

from limedyke.postgres.client_framing import ClientMessage


class ClientInput:
    """The input of one session; most sessions are idle, so the containers are made at need.

    :ivar skip_to_sync: an error was answered, so that messages count again behind the next Sync
    """

    __slots__ = ("_batch", "_batch_bytes", "_waiting", "skip_to_sync")

    def __init__(self) -> None:
        self._waiting: deque[ClientMessage] | None = None
        self._batch: list[ClientMessage] | None = None
        self._batch_bytes = 0
        self.skip_to_sync = False

    @property
    def is_empty(self) -> bool:
        """Whether no message waits and no batch is open."""
        return not self._waiting and not self._batch

    @property
    def has_open_batch(self) -> bool:
        """Whether extended messages wait for their Sync or Flush."""
        return bool(self._batch)

    def add(self, messages: list[ClientMessage]) -> None:
        """Let messages wait behind those that came before."""
        if self._waiting is None:
            self._waiting = deque(messages)
        else:
            self._waiting.extend(messages)

    def next_message(self) -> ClientMessage | None:
        """Take the next waiting message; None when none waits."""
        if not self._waiting:
            self._waiting = None
            return None
        return self._waiting.popleft()

    def gather(self, message: ClientMessage) -> int:
        """Add an extended message to the open batch; return the batch's size in bytes."""
        if self.skip_to_sync:
            return self._batch_bytes
        if self._batch is None:
            self._batch = []
        self._batch.append(message)
        self._batch_bytes += len(message.raw)
        return self._batch_bytes

    def take_batch(self) -> list[ClientMessage]:
        """Take the messages of the open batch, which ends with this."""
        messages = self._batch or []
        self._batch = None
        self._batch_bytes = 0
        return messages

"""Client messages that the session hasn't run yet: the queue and the open batch."""

from __future__ import annotations

from collections import deque

from limedyke.postgres.client_framing import ClientMessage


class ClientInput:
    """The input of one session.

    Containers are created lazily, because most sessions are idle.

    :ivar skip_to_sync: after an error, messages are ignored until the next Sync
    """

    __slots__ = ("_batch", "_batch_bytes", "_waiting", "skip_to_sync")

    def __init__(self) -> None:
        self._waiting: deque[ClientMessage] | None = None
        self._batch: list[ClientMessage] | None = None
        self._batch_bytes = 0
        self.skip_to_sync = False

    @property
    def is_empty(self) -> bool:
        """Whether no message is queued and no batch is open."""
        return not self._waiting and not self._batch

    @property
    def has_open_batch(self) -> bool:
        """Whether extended-protocol messages wait for their Sync or Flush."""
        return bool(self._batch)

    def add(self, messages: list[ClientMessage]) -> None:
        """Append messages to the queue."""
        if self._waiting is None:
            self._waiting = deque(messages)
        else:
            self._waiting.extend(messages)

    def next_message(self) -> ClientMessage | None:
        """Remove and return the next queued message; None if the queue is empty."""
        if not self._waiting:
            self._waiting = None
            return None
        return self._waiting.popleft()

    def gather(self, message: ClientMessage) -> int:
        """Add an extended-protocol message to the open batch; return the batch size in bytes."""
        if self.skip_to_sync:
            return self._batch_bytes
        if self._batch is None:
            self._batch = []
        self._batch.append(message)
        self._batch_bytes += len(message.raw)
        return self._batch_bytes

    def take_batch(self) -> list[ClientMessage]:
        """Return the messages of the open batch and close it."""
        messages = self._batch or []
        self._batch = None
        self._batch_bytes = 0
        return messages

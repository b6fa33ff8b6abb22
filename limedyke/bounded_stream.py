"""A non-blocking text stream for logs: lines that don't fit the buffer are dropped and counted."""

from __future__ import annotations

import os
from collections import deque

MAXIMUM_BUFFERED_BYTES = 256 * 1024
DROPPED_LINE = "event=log-lines-dropped count={count}\n"


class BoundedStream:
    """Writes lines to a file descriptor and buffers what its reader does not accept yet.

    :param descriptor: the file descriptor; it is set to non-blocking mode
    :param maximum_bytes: size limit of the buffered lines; lines beyond it are dropped
    """

    def __init__(self, descriptor: int, maximum_bytes: int = MAXIMUM_BUFFERED_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._maximum_bytes = maximum_bytes
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._unreported_drops = 0
        self.dropped = 0
        """Number of lines dropped since the start."""

    def write(self, text: str) -> None:
        """Buffer and write text; drop it if the buffer is full."""
        data = text.encode()
        if self._queued_bytes + len(data) > self._maximum_bytes:
            self.dropped += 1
            self._unreported_drops += 1
        else:
            self._enqueue(data)
        self.flush()

    def flush(self) -> None:
        """Write as much buffered text as the descriptor accepts without blocking."""
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._drop_all()
                return
            self._queued_bytes -= written
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()
        self._report_dropped_lines()

    def _enqueue(self, data: bytes) -> None:
        self._queue.append(data)
        self._queued_bytes += len(data)

    def _report_dropped_lines(self) -> None:
        if not self._unreported_drops:
            return
        count, self._unreported_drops = self._unreported_drops, 0
        self._enqueue(DROPPED_LINE.format(count=count).encode())
        self.flush()

    def _drop_all(self) -> None:
        """Drop all buffered lines after a write error, as when the reader has closed its end."""
        self.dropped += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0

"""A text stream for logs that never blocks its writer: what doesn't fit is dropped and counted."""

from __future__ import annotations

import os
from collections import deque

MAXIMUM_WAITING_BYTES = 256 * 1024
DROPPED_LINE = "event=log-lines-dropped count={count}\n"


class BoundedStream:
    """Writes lines to a file descriptor, as far as its reader takes them.

    :param descriptor: it is made non-blocking
    :param maximum_bytes: lines that wait hold at most so much; further ones are dropped
    """

    def __init__(self, descriptor: int, maximum_bytes: int = MAXIMUM_WAITING_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._maximum_bytes = maximum_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped_unsaid = 0
        self.dropped = 0
        """Lines dropped since the start."""

    def write(self, text: str) -> None:
        """Take text for the reader; it is dropped when too much waits already."""
        data = text.encode()
        if self._waiting_bytes + len(data) > self._maximum_bytes:
            self.dropped += 1
            self._dropped_unsaid += 1
        else:
            self._put(data)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._drop_all()
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
        self._say_what_was_dropped()

    def _put(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _say_what_was_dropped(self) -> None:
        if not self._dropped_unsaid:
            return
        count, self._dropped_unsaid = self._dropped_unsaid, 0
        self._put(DROPPED_LINE.format(count=count).encode())
        self.flush()

    def _drop_all(self) -> None:
        """Give up what waits: the reader has gone."""
        self.dropped += len(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0

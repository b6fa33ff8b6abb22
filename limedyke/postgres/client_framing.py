"""Splits a client byte stream into PostgreSQL messages, which keep their original bytes.

The size of a message is checked from its header, before its body is buffered.
``pq_message_stream`` of py-postgresql is used only for the trusted side: it has
no size limit, and its C version raises SystemError on a length below four.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from limedyke.result_codes import Failure, ResultCode

HEADER_BYTES = 5
LENGTH_BYTES = 4
STARTUP_HEADER_BYTES = 8
MAXIMUM_STARTUP_BYTES = 10_000
_LENGTH_AT_1 = struct.Struct("!xI")
_LENGTH = struct.Struct("!I")


class ClientMessage(NamedTuple):
    """One message of a client.

    :param kind: the type byte, such as ``ord("Q")``
    :param raw: the complete message including type and length
    """

    kind: int
    raw: bytes

    @property
    def body(self) -> bytes:
        """The message without type and length."""
        return self.raw[HEADER_BYTES:]


class FramingError(Exception):
    """The stream can't be split any further; ``failure`` is the reason."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class ClientFramer:
    """Splits received bytes into typed messages; holds no buffer between complete messages.

    :param maximum_bytes: largest accepted message, including its header
    """

    __slots__ = ("_buffer", "maximum_bytes")

    def __init__(self, maximum_bytes: int) -> None:
        self.maximum_bytes = maximum_bytes
        self._buffer: bytearray | None = None

    def feed(self, data: bytes) -> list[ClientMessage]:
        """Add received bytes and return the messages that are now complete.

        :raises FramingError: on a length below four or above the limit
        """
        if self._buffer is not None:
            self._buffer += data
            if not self._is_first_whole(self._buffer):
                return []
            data = bytes(self._buffer)
            self._buffer = None
        messages: list[ClientMessage] = []
        offset = 0
        size = len(data)
        while size - offset >= HEADER_BYTES:
            end = offset + self._whole_length(data, offset)
            if end > size:
                break
            messages.append(ClientMessage(data[offset], data[offset:end]))
            offset = end
        if offset < size:
            self._buffer = bytearray(data[offset:])
        return messages

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete message is buffered."""
        return self._buffer is not None

    def _is_first_whole(self, buffer: bytearray) -> bool:
        if len(buffer) < HEADER_BYTES:
            return False
        return len(buffer) >= self._whole_length(buffer, 0)

    def _whole_length(self, data: bytes | bytearray, offset: int) -> int:
        (length,) = _LENGTH_AT_1.unpack_from(data, offset)
        if length < LENGTH_BYTES:
            detail = f"message length {length}"
            raise FramingError(Failure(ResultCode.PROTOCOL_VIOLATION, detail))
        if length + 1 > self.maximum_bytes:
            detail = f"{length + 1} bytes announced, {self.maximum_bytes} allowed"
            raise FramingError(Failure(ResultCode.MESSAGE_TOO_LARGE, detail))
        return length + 1


class StartupFramer:
    """Splits off the untyped packets at the beginning of a connection."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> tuple[bytes | None, bytes]:
        """Add received bytes.

        :returns: the packet without its length, or None if it is incomplete, and the bytes
            that follow it
        :raises FramingError: on an invalid length
        """
        self._buffer += data
        if len(self._buffer) < LENGTH_BYTES:
            return None, b""
        (length,) = _LENGTH.unpack_from(self._buffer)
        if not STARTUP_HEADER_BYTES <= length <= MAXIMUM_STARTUP_BYTES:
            detail = f"startup packet length {length}"
            raise FramingError(Failure(ResultCode.PROTOCOL_VIOLATION, detail))
        if len(self._buffer) < length:
            return None, b""
        packet = self._buffer[LENGTH_BYTES:length]
        rest = self._buffer[length:]
        self._buffer = b""
        return packet, rest

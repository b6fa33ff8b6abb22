"""Frames of the internal protocol: a four-byte length followed by the message bytes.

The two highest bits of the length tell how the message is compressed: individually, or as part of
the compressed stream of the link (``compression``).  Receivers get the decompressed message.
"""

from __future__ import annotations

import struct
import zlib

from limedyke.result_codes import Failure, ResultCode
from limedyke.transport.compression import DecompressionError, MessageDecompressor

_LENGTH = struct.Struct("!I")
_COMPRESSED_FLAG = 0x8000_0000
_STREAM_FLAG = 0x4000_0000
_FLAGS = _COMPRESSED_FLAG | _STREAM_FLAG
_COMPRESSION_LEVEL = 1
MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024


class FrameError(Exception):
    """A frame is invalid; ``failure`` holds the result code."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class FrameTooLargeError(FrameError):
    """A frame, or the message in it, is larger than ``MAXIMUM_FRAME_BYTES``."""

    def __init__(self, size: int) -> None:
        super().__init__(Failure(ResultCode.MESSAGE_TOO_LARGE, f"internal frame of {size} bytes"))


class FrameDamagedError(FrameError):
    """A compressed frame can't be decompressed, or has both compression flags set."""

    def __init__(self, reason: str) -> None:
        super().__init__(Failure(ResultCode.PROTOCOL_VIOLATION, f"compressed frame: {reason}"))


def frame(data: bytes) -> bytes:
    """Return an uncompressed frame with ``data``."""
    return _LENGTH.pack(len(data)) + data


def compressed_frame(data: bytes) -> bytes:
    """Return an individually compressed frame with ``data``, for large messages to many peers."""
    body = zlib.compress(data, _COMPRESSION_LEVEL)
    return _LENGTH.pack(len(body) | _COMPRESSED_FLAG) + body


def stream_frame(body: bytes) -> bytes:
    """Return the frame of a message compressed by the ``MessageCompressor`` of the link."""
    return _LENGTH.pack(len(body) | _STREAM_FLAG) + body


def _decompress(body: bytes) -> bytes:
    """Return the message of an individually compressed frame.

    :raises FrameError: if it is damaged or larger than ``MAXIMUM_FRAME_BYTES``
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAXIMUM_FRAME_BYTES)
    except zlib.error as error:
        raise FrameDamagedError(str(error)) from None
    if decompressor.unconsumed_tail:
        raise FrameTooLargeError(MAXIMUM_FRAME_BYTES + 1)
    if not decompressor.eof:
        raise FrameDamagedError("it is truncated")
    return data


class FrameReader:
    """Splits a byte stream into frames; sans-IO."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._stream: MessageDecompressor | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the messages of the frames that are now complete.

        :raises FrameError: if a length is above the limit, or a frame is damaged
        """
        self._buffer += data
        frames = []
        offset = 0
        while len(self._buffer) - offset >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, offset)
            size = length & ~_FLAGS
            if size > MAXIMUM_FRAME_BYTES:
                raise FrameTooLargeError(size)
            end = offset + _LENGTH.size + size
            if end > len(self._buffer):
                break
            body = bytes(self._buffer[offset + _LENGTH.size : end])
            frames.append(self._decode_body(body, length & _FLAGS))
            offset = end
        del self._buffer[:offset]
        return frames

    def _decode_body(self, body: bytes, flags: int) -> bytes:
        """Return the message in the body of a frame."""
        match flags:
            case 0:
                return body
            case _ if flags == _COMPRESSED_FLAG:
                return _decompress(body)
            case _ if flags == _STREAM_FLAG:
                return self._decompress_stream_frame(body)
        raise FrameDamagedError("both flags are set")

    def _decompress_stream_frame(self, body: bytes) -> bytes:
        if self._stream is None:
            self._stream = MessageDecompressor()
        try:
            return self._stream.decompress(body, MAXIMUM_FRAME_BYTES)
        except DecompressionError as error:
            raise FrameDamagedError(str(error)) from None

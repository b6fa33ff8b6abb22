"""Stream compression of the messages of one link, with the earlier messages as dictionary.

Most messages of a link differ little from earlier ones: heartbeats, log entries, statements for the
same databases.  Compressed individually they hardly shrink; with the earlier messages as context a
heartbeat of 270 bytes takes 12 and a forwarded statement of 340 bytes takes 36.  Traffic between
regions costs money, and small machines have little bandwidth.
"""

from __future__ import annotations

import zlib

LEVEL = 6
WINDOW_BITS = 12
"""A window of 4 KiB.  A window of 32 KiB saves 2 bytes per message but takes eight times the
memory, and a leader has a link to each proxy."""
MEMORY_LEVEL = 5
_RAW = -WINDOW_BITS
_END_OF_FLUSH = b"\x00\x00\xff\xff"
"""Trailer of each flushed deflate block; it is not sent."""


class DecompressionError(Exception):
    """A message of the stream is damaged or larger than allowed."""


class MessageCompressor:
    """Compresses the messages sent on a link, in send order."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(LEVEL, zlib.DEFLATED, _RAW, MEMORY_LEVEL)

    def compress(self, message: bytes) -> bytes:
        """Return the compressed message; the peer must receive messages in the same order."""
        data = self._stream.compress(message) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        return data.removesuffix(_END_OF_FLUSH)


class MessageDecompressor:
    """Decompresses the messages received on a link, in send order."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(_RAW)

    def decompress(self, data: bytes, limit_bytes: int) -> bytes:
        """Return the decompressed message.

        :raises DecompressionError: if it is damaged or larger than ``limit_bytes``
        """
        try:
            message = self._stream.decompress(data + _END_OF_FLUSH, limit_bytes)
        except zlib.error as error:
            raise DecompressionError(str(error)) from None
        if self._stream.unconsumed_tail or self._stream.eof:
            raise DecompressionError(f"it is larger than {limit_bytes} bytes, or ends the stream")
        return message

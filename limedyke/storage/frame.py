"""Checksummed frames: the unit of an atomic write.

A frame consists of a marker, the payload's length, a CRC-32C, a sequence number and the payload.
The checksum also covers a salt, the incarnation of the log, so that a frame of another log, or a
frame inside a payload, is not accepted as a frame of this log.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import google_crc32c

FRAME_MARKER = b"LDf1"
MAXIMUM_FRAME_BYTES = 256 * 1024 * 1024
_HEADER = struct.Struct(">4sIIQ")
_SEQUENCE = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame.

    :param offset: where it starts in its file
    :param end: where it ends in its file
    """

    sequence: int
    payload: bytes
    offset: int
    end: int


def _checksum(salt: bytes, sequence: int, payload: bytes) -> int:
    checksum = google_crc32c.extend(0, salt + _SEQUENCE.pack(sequence))
    return google_crc32c.extend(checksum, payload)


def encode_frame(salt: bytes, sequence: int, payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    checksum = _checksum(salt, sequence, payload)
    return _HEADER.pack(FRAME_MARKER, len(payload), checksum, sequence) + payload


def decode_frame(salt: bytes, content: bytes, offset: int) -> Frame | None:
    """Return the valid frame at ``offset``, or None."""
    start = offset + _HEADER.size
    if start > len(content):
        return None
    marker, length, checksum, sequence = _HEADER.unpack_from(content, offset)
    if marker != FRAME_MARKER or length > MAXIMUM_FRAME_BYTES:
        return None
    end = start + length
    if end > len(content):
        return None
    payload = content[start:end]
    if _checksum(salt, sequence, payload) != checksum:
        return None
    return Frame(sequence, payload, offset, end)


def find_later_frame(salt: bytes, content: bytes, offset: int, sequence: int) -> Frame | None:
    """Return a valid frame after the invalid one at ``offset``, or None.

    :param sequence: frames up to this sequence number are ignored
    """
    candidate = content.find(FRAME_MARKER, offset + 1)
    while candidate >= 0:
        frame = decode_frame(salt, content, candidate)
        if frame is not None and frame.sequence > sequence:
            return frame
        candidate = content.find(FRAME_MARKER, candidate + 1)
    return None

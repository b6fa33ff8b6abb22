"""Log positions in PostgreSQL's ``X/Y`` text form."""

from __future__ import annotations

_LOW_BITS = 32
_LOW_MASK = 0xFFFFFFFF


def format_position(position: int) -> str:
    """Return the ``X/Y`` form (hexadecimal high and low halves) of a byte position."""
    return f"{position >> _LOW_BITS:X}/{position & _LOW_MASK:X}"


def parse_position(text: str) -> int:
    """Return the byte position of its ``X/Y`` form; ValueError when malformed."""
    high, low = text.split("/")
    return (int(high, 16) << _LOW_BITS) | int(low, 16)

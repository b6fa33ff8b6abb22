"""The round-trip time of a TCP connection, as measured by the kernel."""

from __future__ import annotations

import struct

from curio import socket

ROUND_TRIP_OFFSET = 68
"""Offset of ``tcpi_rtt`` in ``struct tcp_info`` (linux/tcp.h), after 8 bytes and 15 integers."""
ROUND_TRIP = struct.Struct("=I")
MICROSECONDS_PER_S = 1_000_000


def round_trip_s(connection: socket.socket) -> float:
    """Return the smoothed round-trip time of a connection in seconds; 0 if it is unknown."""
    size = ROUND_TRIP_OFFSET + ROUND_TRIP.size
    try:
        known = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return 0.0
    if len(known) < size:
        return 0.0
    return ROUND_TRIP.unpack_from(known, ROUND_TRIP_OFFSET)[0] / MICROSECONDS_PER_S

"""The round trip of a connection, as the kernel measured it."""

from __future__ import annotations

import struct

from curio import socket

ROUND_TRIP_OFFSET = 68
"""Of ``tcpi_rtt`` in ``struct tcp_info``, from linux/tcp.h: 8 bytes and 15 numbers come before."""
ROUND_TRIP = struct.Struct("=I")
MICROSECONDS_PER_S = 1_000_000


def round_trip_s(connection: socket.socket) -> float:
    """Return the smoothed round trip of an open connection in seconds; 0 where it is not known."""
    size = ROUND_TRIP_OFFSET + ROUND_TRIP.size
    try:
        known = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return 0.0
    if len(known) < size:
        return 0.0
    return ROUND_TRIP.unpack_from(known, ROUND_TRIP_OFFSET)[0] / MICROSECONDS_PER_S

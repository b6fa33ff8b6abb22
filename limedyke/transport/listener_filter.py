"""A packet filter of the kernel that has a listener take no further requests for connections."""

from __future__ import annotations

import ctypes
import struct

from curio import socket

SO_ATTACH_FILTER = 26
"""Option of Linux that Python's ``socket`` does not name, from asm-generic/socket.h."""

FLAGS_OFFSET = 13
"""Of the byte of flags in a TCP header, where the filter's view of a packet begins."""
SYN, ACK = 0x02, 0x10

LOAD_BYTE, AND_WITH, JUMP_IF_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
"""Instructions of the classic packet filter, from linux/bpf_common.h."""
DROP, KEEP_ALL = 0, 0xFFFFFFFF
INSTRUCTION = struct.Struct("HBBI")
"""Operation, steps to jump when true, steps to jump when false, operand."""

PROGRAM = b"".join(
    INSTRUCTION.pack(*instruction)
    for instruction in (
        (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        (AND_WITH, 0, 0, SYN | ACK),
        (JUMP_IF_EQUAL, 0, 1, SYN),
        (RETURN, 0, 0, DROP),
        (RETURN, 0, 0, KEEP_ALL),
    )
)


def drop_syn_packets(listener: socket.socket) -> None:
    """Have the kernel drop requests for connections; handshakes under way go on.

    Whoever asked asks again after 1 s.

    :raises OSError: where the kernel has no such filter
    """
    program = ctypes.create_string_buffer(PROGRAM, len(PROGRAM))
    instructions = len(PROGRAM) // INSTRUCTION.size
    filters = struct.pack("HP", instructions, ctypes.addressof(program))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)

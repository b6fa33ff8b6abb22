"""A kernel packet filter that makes a listening socket ignore new connection attempts."""

from __future__ import annotations

import ctypes
import struct

from curio import socket

SO_ATTACH_FILTER = 26
"""Linux socket option that Python's ``socket`` doesn't define, from asm-generic/socket.h."""

FLAGS_OFFSET = 13
"""Offset of the flags in the TCP header, at which the packet starts for the filter."""
SYN, ACK = 0x02, 0x10

LOAD_BYTE, AND_WITH, JUMP_IF_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
"""Opcodes of classic BPF, from linux/bpf_common.h."""
DROP, KEEP_ALL = 0, 0xFFFFFFFF
INSTRUCTION = struct.Struct("HBBI")
"""Opcode, jump offset if true, jump offset if false, operand."""

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
    """Make the kernel drop SYN packets to a listener; pending handshakes still complete.

    Clients retransmit a dropped SYN after 1 s.

    :raises OSError: if the kernel doesn't support the filter
    """
    program = ctypes.create_string_buffer(PROGRAM, len(PROGRAM))
    instructions = len(PROGRAM) // INSTRUCTION.size
    filters = struct.pack("HP", instructions, ctypes.addressof(program))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)

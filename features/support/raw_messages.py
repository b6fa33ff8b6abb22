"""Raw PostgreSQL protocol messages, sent on the socket of a psycopg connection."""

import os
import socket
import struct


def message(kind, body):
    """Encode a message with its type byte and length."""
    return kind + struct.pack("!I", len(body) + 4) + body


def extended(statement, limit=0):
    """Encode Parse, Bind, Describe and Execute of the unnamed statement."""
    return (
        message(b"P", b"\0" + statement.encode() + b"\0\0\0")
        + message(b"B", b"\0\0\0\0\0\0\0\0")
        + message(b"D", b"P\0")
        + message(b"E", b"\0" + struct.pack("!I", limit))
    )


SYNC = message(b"S", b"")


def exchange(connection, data, until):
    """Send raw messages; return (kind, body) pairs received until ``until(messages)`` holds.

    Stops early when the connection closes or is silent for two seconds.
    """
    wire = socket.socket(fileno=os.dup(connection.pgconn.socket))
    wire.setblocking(True)
    wire.settimeout(2)
    buffer = b""
    messages = []
    with wire:
        wire.sendall(data)
        while not until(messages):
            try:
                piece = wire.recv(65536)
            except TimeoutError:
                break
            if not piece:
                break
            buffer += piece
            while len(buffer) >= 5 and len(buffer) > struct.unpack("!I", buffer[1:5])[0]:
                size = struct.unpack("!I", buffer[1:5])[0] + 1
                messages.append((buffer[:1], buffer[5:size]))
                buffer = buffer[size:]
    return messages


def count(messages, kind):
    """Return the number of messages of a kind."""
    return sum(1 for found, _ in messages if found == kind)

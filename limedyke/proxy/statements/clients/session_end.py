"""Ends a client's session without losing a statement that is on its way."""

from __future__ import annotations

from collections.abc import Sequence

import curio
from curio import socket

from limedyke.messages.statements import StatementAnswer
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.clients.client_codec import (
    ClientCodec,
    ClientEvent,
    MalformedStatement,
    StatementReceived,
)

RECEIVE_BYTES = 64 * 1024
LONGEST_END_S = 3.0
"""A client that goes on asking is refused for so long before its connection is closed."""
SILENCE_S = 0.5
"""What a client sent before it read the end arrives within so long: a round trip over two regions
takes 0.18 s, and a loaded machine pauses for 0.1 s."""


async def end_session(
    sock: socket.socket,
    codec: ClientCodec,
    reason: StatementAnswer,
    unserved: Sequence[ClientEvent],
    limit_s: float,
) -> None:
    """Tell a client that its session is over, and wait until it closes or asks nothing more.

    A statement that crosses this on its way is answered by it: it did not run.  Closing at once
    would reset the connection, with the statement and the answer before it.

    :param reason: a refusal, which says that a statement did not run
    :param unserved: what the client sent before and no answer was told of
    :param limit_s: how long this may take at most
    """
    try:
        async with curio.timeout_after(min(limit_s, LONGEST_END_S)):
            await sock.sendall(codec.session_over(reason))
            await _answer_what_crosses(sock, codec, reason, unserved)
        await sock.shutdown(socket.SHUT_WR)
    except (OSError, curio.TaskTimeout):
        return


async def _answer_what_crosses(
    sock: socket.socket,
    codec: ClientCodec,
    reason: StatementAnswer,
    unserved: Sequence[ClientEvent],
) -> None:
    """Answer statements until no more come; the end already told begins the first answer.

    A client whose statement was refused so may take it for that alone, and ask again after a rest:
    it is told once more before the connection closes.
    """
    events = unserved
    is_told = True
    while True:
        for event in events:
            if not isinstance(event, StatementReceived | MalformedStatement):
                return
            rest = codec.end_of_answer(TransactionStatus.IDLE)
            whole = codec.answer(reason, TransactionStatus.IDLE)
            await sock.sendall(rest if is_told else whole)
            is_told = False
        data = await _receive(sock)
        if data == b"" or (data is None and is_told):
            return
        if data is None:
            await sock.sendall(codec.session_over(reason))
            is_told = True
        events = codec.feed(data) if data is not None else ()


async def _receive(sock: socket.socket) -> bytes | None:
    """Return received bytes, empty at the end of the connection; None after a silence."""
    async with curio.ignore_after(SILENCE_S):
        return await sock.recv(RECEIVE_BYTES)
    return None

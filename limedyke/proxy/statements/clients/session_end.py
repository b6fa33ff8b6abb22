"""Ends a client's session without losing a statement that is in flight."""

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
MAXIMUM_END_S = 3.0
"""Seconds for which further statements are refused before the connection is closed."""
SILENCE_S = 0.5
"""Seconds within which anything arrives that the client sent before it read the end: a round trip
across two regions takes 0.18 s, and a loaded machine pauses for 0.1 s."""


async def end_session(
    sock: socket.socket,
    codec: ClientCodec,
    reason: StatementAnswer,
    unanswered_events: Sequence[ClientEvent],
    limit_s: float,
    silence_s: float = SILENCE_S,
) -> None:
    """Tell a client that its session is over, and wait until it closes or sends nothing more.

    A statement that was in flight at that moment is answered by this message: it did not run.
    Closing the connection at once would reset it, and lose that statement and the answer before it.

    :param reason: a refusal, which says that a statement did not run
    :param unanswered_events: events that were received but not answered
    :param limit_s: time limit in seconds
    :param silence_s: silence of the client, in seconds, after which the connection is closed
    """
    try:
        async with curio.timeout_after(min(limit_s, MAXIMUM_END_S)):
            await sock.sendall(codec.session_over(reason))
            await _refuse_late_statements(sock, codec, reason, unanswered_events, silence_s)
        await sock.shutdown(socket.SHUT_WR)
    except (OSError, curio.TaskTimeout):
        return


async def _refuse_late_statements(
    sock: socket.socket,
    codec: ClientCodec,
    reason: StatementAnswer,
    unanswered_events: Sequence[ClientEvent],
    silence_s: float,
) -> None:
    """Refuse statements until no more arrive.

    The ``session_over`` already sent is the start of the first answer. A client whose statement was
    refused may believe that only the statement failed and retry later, so ``session_over`` is sent
    once more before the connection closes.
    """
    events = unanswered_events
    is_announced = True
    while True:
        for event in events:
            if not isinstance(event, StatementReceived | MalformedStatement):
                return
            rest = codec.end_of_answer(TransactionStatus.IDLE)
            whole = codec.answer(reason, TransactionStatus.IDLE)
            await sock.sendall(rest if is_announced else whole)
            is_announced = False
        data = await _receive(sock, silence_s if is_announced else SILENCE_S)
        if data == b"" or (data is None and is_announced):
            return
        if data is None:
            await sock.sendall(codec.session_over(reason))
            is_announced = True
        events = codec.feed(data) if data is not None else ()


async def _receive(sock: socket.socket, silence_s: float) -> bytes | None:
    """Return received bytes, empty at the end of the connection; None after a silence."""
    async with curio.ignore_after(silence_s):
        return await sock.recv(RECEIVE_BYTES)
    return None

"""Digests and repeated answers of batches, for requests that run at most once."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from postgresql.protocol import element3
from postgresql.protocol.buffer import pq_message_stream

from limedyke.messages.work import PreparedStatement
from limedyke.postgres.client_messages import notice_response
from limedyke.postgres.member_frames import Frame

_BIND = b"B"
_CLOSE = b"C"
_DESCRIBE = b"D"
_EXECUTE = b"E"
_PARSE = b"P"
_QUERY = b"Q"

_PARSE_COMPLETE = element3.ParseCompleteMessage.bytes()
_BIND_COMPLETE = element3.BindCompleteMessage.bytes()
_CLOSE_COMPLETE = element3.CloseCompleteMessage.bytes()
_NO_DATA = element3.NoDataMessage.bytes()
_NO_PARAMETERS = element3.AttributeTypes(()).bytes()

DUPLICATE_SQLSTATE = "01000"
DUPLICATE_TEXT = "this request ran before; its first answer is repeated"


def split_batch(data: bytes) -> list[Frame]:
    """Return the messages of a batch."""
    stream = pq_message_stream()
    stream.write(data)
    return list(stream.read())


def batch_digest(data: bytes, prepared: Iterable[PreparedStatement]) -> str:
    """Return a digest of the texts and values that a batch executes, without statement names."""
    texts = {statement.name.encode(): statement.text.encode() for statement in prepared}
    digest = hashlib.sha256()
    for kind, body in split_batch(data):
        for part in _digest_parts(kind, body, texts):
            digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def _digest_parts(kind: bytes, body: bytes, texts: dict[bytes, bytes]) -> Iterable[bytes]:
    if kind == _QUERY:
        yield body.rstrip(b"\0").strip()
    elif kind == _PARSE:
        message = element3.Parse.parse(body)
        texts[message.name] = message.statement
    elif kind == _BIND:
        message = element3.Bind.parse(body)
        yield texts.get(message.statement, b"")
        for value in message.arguments:
            yield b"n" if value is None else b"v" + value
    elif kind == _EXECUTE:
        yield b"execute"


def repeated_answer(data: bytes, tag: str) -> bytes:
    """Return the answer to a repeated batch: a notice and the command tag of its first run."""
    notice = notice_response(DUPLICATE_SQLSTATE, DUPLICATE_TEXT, "NOTICE")
    completion = element3.Complete(tag.encode()).bytes()
    messages = []
    for kind, body in split_batch(data):
        if kind in (_QUERY, _EXECUTE):
            messages += [notice, completion]
        elif kind == _PARSE:
            messages.append(_PARSE_COMPLETE)
        elif kind == _BIND:
            messages.append(_BIND_COMPLETE)
        elif kind == _CLOSE:
            messages.append(_CLOSE_COMPLETE)
        elif kind == _DESCRIBE:
            messages.append(_NO_DATA if body[:1] == b"P" else _NO_PARAMETERS + _NO_DATA)
    return b"".join(messages)

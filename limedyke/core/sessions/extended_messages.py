"""Parses the contents of single extended-protocol messages."""

from __future__ import annotations

from collections.abc import Callable

from postgresql.protocol import element3

from limedyke.core.sessions.batch import BatchError, StatementNames, statement_name
from limedyke.core.sql.statement import StatementProfile
from limedyke.messages.work import PreparedStatement
from limedyke.postgres.client_framing import ClientMessage
from limedyke.postgres.client_messages import error_response

PARSE = ord("P")
BIND = ord("B")
INVALID_TEXT = "22021"


def may_open_transaction(
    message: ClientMessage,
    names: StatementNames,
    profile_of: Callable[[bytes], StatementProfile],
) -> bool:
    """Tell whether a message parses or binds a statement that may open a transaction.

    :raises ValueError: when the message is malformed
    """
    if message.kind == PARSE:
        _, text, _ = message.body.split(b"\0", 2)
        return profile_of(text).may_open_transaction
    if message.kind != BIND:
        return False
    _, name, _ = message.body.split(b"\0", 2)
    known = names.named.get(name) if name else names.unnamed
    return known is not None and known.profile.may_open_transaction


def split_target(body: bytes) -> tuple[bytes, bytes]:
    """Return the kind (S or P) and the name in a Describe or Close.

    :raises ValueError: when the message is malformed
    """
    kind = body[:1]
    if kind not in (b"S", b"P") or not body.endswith(b"\0"):
        raise ValueError("malformed Describe or Close")
    return kind, body[1:-1]


def prepared_statement(text: bytes, body: bytes) -> PreparedStatement:
    """Return the form in which a named statement is sent to the back end.

    :param body: body of the Parse message
    :raises BatchError: when the text is not UTF-8
    """
    parsed = element3.Parse.parse(body)
    types = tuple(parsed.argtypes)
    try:
        decoded = text.decode()
    except UnicodeDecodeError as error:
        message = "invalid byte sequence in a prepared statement"
        raise BatchError(error_response(INVALID_TEXT, message)) from error
    return PreparedStatement(statement_name(text, types), decoded, types)

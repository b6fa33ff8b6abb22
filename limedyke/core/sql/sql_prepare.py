"""Plans SQL PREPARE and EXECUTE: the session keeps the statement under a name of its own."""

from __future__ import annotations

from limedyke.core.sessions.batch import (
    DUPLICATE_STATEMENT,
    UNKNOWN_STATEMENT,
    BatchError,
    BatchPlan,
    ParsedStatement,
    StatementNames,
    check_refusal,
    check_statement_limits,
    statement_name,
    with_body,
)
from limedyke.core.sql.read_proof import has_unknown_call
from limedyke.core.sql.sql_lexer import lex
from limedyke.core.sql.statement import SessionChange, StatementProfile
from limedyke.core.units.answer_tracker import COMPLETES_EXECUTE, AnswerSlot, Registration
from limedyke.messages.work import Access, PreparedStatement
from limedyke.postgres.client_framing import ClientMessage
from limedyke.postgres.client_messages import SYNC, command_complete, error_response

TYPE_OIDS = {
    "bool": 16,
    "boolean": 16,
    "bytea": 17,
    "bigint": 20,
    "int8": 20,
    "smallint": 21,
    "int2": 21,
    "int": 23,
    "integer": 23,
    "int4": 23,
    "text": 25,
    "json": 114,
    "real": 700,
    "float4": 700,
    "float8": 701,
    "double precision": 701,
    "float": 701,
    "varchar": 1043,
    "character varying": 1043,
    "date": 1082,
    "time": 1083,
    "timestamp": 1114,
    "timestamptz": 1184,
    "numeric": 1700,
    "uuid": 2950,
    "jsonb": 3802,
    "unknown": 0,
}


def plan_prepare(
    change: SessionChange, profile: StatementProfile, names: StatementNames
) -> BatchPlan:
    """Plan PREPARE: the back end parses the statement, and the proxy answers the client.

    :param profile: profile of the prepared statement
    """
    check_refusal(profile)
    if profile.local or profile.changes:
        _refuse("PREPARE of a command that changes the session")
    name = change.name.encode()
    if name in names.named:
        message = f'prepared statement "{change.name}" already exists'
        raise BatchError(error_response(DUPLICATE_STATEMENT, message))
    check_statement_limits(names, 0, len(change.value))
    unknown = [name for name in change.types if name not in TYPE_OIDS]
    if unknown:
        _refuse(f"PREPARE with a parameter of type {unknown[0]}")
    types = tuple(TYPE_OIDS[name] for name in change.types)
    back_end_name = statement_name(change.value.encode(), types)
    prepared = PreparedStatement(back_end_name, change.value, types)
    known = ParsedStatement(profile, prepared)
    answer = command_complete("PREPARE")
    slot = AnswerSlot(frozenset(), own_answer=answer, registration=Registration(name, known))
    return BatchPlan(Access.READ, data=SYNC, slots=[slot], prepared=(prepared,))


def plan_execute(message: ClientMessage, change: SessionChange, names: StatementNames) -> BatchPlan:
    """Plan EXECUTE: the client's statement name is replaced by the name at the back end."""
    known = names.named.get(change.name.encode())
    if known is None or known.prepared is None:
        text = f'prepared statement "{change.name}" does not exist'
        raise BatchError(error_response(UNKNOWN_STATEMENT, text))
    text = message.body[:-1]
    name, *arguments = lex(text)[1:]
    calls_unknown = has_unknown_call(arguments)
    body = text[: name.start] + known.prepared.name.encode() + text[name.end :] + b"\0"
    profile = known.profile
    return BatchPlan(
        access=Access.WRITE if calls_unknown else profile.access,
        data=with_body(message.kind, body),
        slots=[AnswerSlot(COMPLETES_EXECUTE)],
        prepared=(known.prepared,),
        leaves_state=profile.leaves_state or calls_unknown,
        only_queries=profile.only_queries,
        hints=profile.hints,
    )


def _refuse(reason: str) -> None:
    check_refusal(StatementProfile(Access.WRITE, refusal=reason))

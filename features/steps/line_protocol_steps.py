"""Steps for the platform's line protocol."""

from __future__ import annotations

from behave import then, when

import features.support.platform_path  # noqa: F401
from limedyke.messages.statements import StatementAnswer
from limedyke.messages.work import TransactionStatus
from limedyke.proxy.statements.clients.client_codec import (
    MalformedStatement,
    SessionEnded,
    SessionRequested,
    StatementReceived,
)
from limedyke.result_codes import CODE_BY_NUMBER, Outcome
from line_protocol import LineClientCodec, LineMemberCodec

DID_NOT_RUN_WORDS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"}


def unescape(text: str) -> bytes:
    """Return the bytes of a text in a feature, with its escapes resolved."""
    return text.replace("\\r", "\r").replace("\\n", "\n").encode("latin-1")


def describe_event(event: object) -> str:
    """Describe a client's event in the notation of the feature."""
    match event:
        case SessionRequested():
            return f"session {event.database}"
        case StatementReceived():
            statement = event.statement
            return f"{statement.kind} {statement.request_id} {statement.text}".strip()
        case SessionEnded():
            return "end"
        case MalformedStatement():
            return "malformed"
    raise AssertionError(event)


def described(data: bytes, codec: LineClientCodec) -> str:
    """Feed bytes to a codec and describe all resulting events."""
    return ", ".join(describe_event(event) for event in codec.feed(data)) or "nothing"


@when('line protocol: a client sends "{sent}"')
def step_client_sends(context, sent):
    context.taken = described(unescape(sent), LineClientCodec())


@then('line protocol: the proxy reads "{taken}"')
def step_taken(context, taken):
    assert context.taken == taken, context.taken


@then('line protocol: "{sent}" gives the same events wherever it is split')
def step_cut_anywhere(context, sent):
    data = unescape(sent)
    whole = described(data, LineClientCodec())
    for cut in range(len(data) + 1):
        codec = LineClientCodec()
        parts = [described(data[:cut], codec), described(data[cut:], codec)]
        joined = ", ".join(part for part in parts if part != "nothing")
        assert joined == whole, (cut, joined)


@then("line protocol: a write of all bytes but CR and LF reaches a member unchanged")
def step_every_byte(context):
    data = bytes(value for value in range(256) if value not in b"\r\n")
    line = b"QUERY 1a WRITE x " + data + b"\r\n"
    (event,) = LineClientCodec().feed(line)
    assert LineMemberCodec().statement(event.statement, None) == line


@when("line protocol: a client sends a line of {size:d} bytes")
def step_long_line(context, size):
    prefix = b"QUERY 1a WRITE x "
    line = prefix + b"d" * (size - len(prefix)) + b"\r\n"
    context.events = LineClientCodec().feed(line)


@when("line protocol: a client sends {size:d} bytes without an end")
def step_endless_line(context, size):
    codec = LineClientCodec()
    context.events = []
    for _ in range(size // 100):
        context.events += codec.feed(b"x" * 100)
        if context.events:
            return


@then("line protocol: it is taken")
def step_is_taken(context):
    assert isinstance(context.events[0], StatementReceived), context.events


@then("line protocol: it is refused")
def step_is_refused(context):
    kinds = [type(event) for event in context.events]
    assert kinds == [MalformedStatement, SessionEnded], kinds


def word_of(number: int) -> str:
    """Return the error word that is sent to a client for a result code."""
    sent = LineClientCodec().answer(StatementAnswer(number), TransactionStatus.IDLE)
    return sent.split(b" ")[1].decode()


@then("line protocol: result code {number:d} is sent as {word}")
def step_sent_as(context, number, word):
    assert word_of(number) == word, word_of(number)


@then("line protocol: only codes with the outcome did-not-run map to words that mean so")
def step_did_not_run_words(context):
    for number, code in CODE_BY_NUMBER.items():
        if code.outcome is not Outcome.DID_NOT_RUN:
            assert word_of(number) not in DID_NOT_RUN_WORDS, code


@when('line protocol: a member answers "{sent}"')
def step_member_answers(context, sent):
    context.codec = LineMemberCodec()
    context.codec.feed(b"READY I -\r\n")
    (context.answer,) = context.codec.feed(unescape(sent))


@when('line protocol: a member answers the opening with "{sent}"')
def step_member_refuses(context, sent):
    context.codec = LineMemberCodec()
    (context.answer,) = context.codec.feed(unescape(sent))


@then('line protocol: the answer is "{expected}"')
def step_answer(context, expected):
    answer = context.answer
    position = answer.position
    text = f"{answer.kind} {answer.status} "
    text += "-" if position is None else f"{position.term}.{position.position}"
    if answer.rows:
        text += " rows " + " ".join(answer.rows)
    assert text == expected, text


@then(
    "line protocol: its status is a replica in term {term:d} that received {position}, "
    "{lag:d} ms behind"
)
def step_status(context, term, position, lag):
    status = context.codec.read_status(context.answer)
    seen = f"{status.position.term}.{status.position.position}"
    assert (status.is_primary, status.term, seen, status.lag_ms) == (False, term, position, lag)


@then('line protocol: a member\'s "{sent}" is an error')
def step_member_error(context, sent):
    codec = LineMemberCodec()
    try:
        codec.feed(unescape(sent))
    except ValueError:
        return
    raise AssertionError("the line was accepted")

"""Messages from the proxy to its clients, built with py-postgresql."""

from __future__ import annotations

import struct

from postgresql.protocol import element3

from limedyke.result_codes import Failure, Outcome

OUTCOME_WORDS = {
    Outcome.DID_NOT_RUN: "did not run",
    Outcome.RAN_AND_FAILED: "ran and failed",
    Outcome.UNKNOWN: "unknown",
}
PARSE_COMPLETE = element3.ParseCompleteMessage.bytes()
BIND_COMPLETE = element3.BindCompleteMessage.bytes()
CLOSE_COMPLETE = element3.CloseCompleteMessage.bytes()
NO_DATA = element3.NoDataMessage.bytes()
EMPTY_QUERY = element3.NullMessage.bytes()
SYNC = element3.SynchronizeMessage.bytes()
READY = {status: element3.Ready(status).bytes() for status in (b"I", b"T", b"E")}
TEXT_TYPE_OID = 25
NO_PARAMETERS = b"t" + struct.pack("!IH", 6, 0)
HEADER_BYTES = 5
_LENGTH = struct.Struct("!I")


def error_response(
    sqlstate: str, message: str, detail: str = "", hint: str = "", severity: str = "ERROR"
) -> bytes:
    """Return an ErrorResponse."""
    return _with_fields(b"E", severity, sqlstate, message, detail, hint)


def notice_response(sqlstate: str, message: str, severity: str = "WARNING") -> bytes:
    """Return a NoticeResponse."""
    return _with_fields(b"N", severity, sqlstate, message, "", "")


def _with_fields(
    kind: bytes, severity: str, sqlstate: str, message: str, detail: str, hint: str
) -> bytes:
    """Return a message with these fields; py-postgresql omits the terminating zero byte."""
    values = {"S": severity, "V": severity, "C": sqlstate, "M": message, "D": detail, "H": hint}
    fields = [key + value.replace("\0", " ") + "\0" for key, value in values.items() if value]
    body = "".join(fields).encode() + b"\0"
    return kind + _LENGTH.pack(len(body) + _LENGTH.size) + body


def failure_response(failure: Failure, severity: str = "ERROR") -> bytes:
    """Return the ErrorResponse of a result code, with detail, outcome and retry hint."""
    code = failure.code
    outcome = f"Outcome: {OUTCOME_WORDS[code.outcome]}."
    detail = f"{failure.detail} {outcome}".strip()
    hint = ""
    if failure.retry_after_ms:
        hint = f"Retry after {failure.retry_after_ms} ms."
    message = f"{code.label}: {code.value.meaning}"
    return error_response(code.sqlstate, message, detail, hint, severity)


def as_fatal(error: bytes) -> bytes:
    """Return an ErrorResponse of severity ERROR with its severity changed to FATAL."""
    body = error[HEADER_BYTES:].replace(b"SERROR\0VERROR\0", b"SFATAL\0VFATAL\0", 1)
    return error[:HEADER_BYTES] + body


def parameter_status(name: str, value: str) -> bytes:
    """Return a ParameterStatus."""
    return element3.ShowOption(name.encode(), value.encode()).bytes()


def command_complete(tag: str) -> bytes:
    """Return a CommandComplete."""
    return element3.Complete(tag.encode()).bytes()


def text_row_description(column: str) -> bytes:
    """Return the RowDescription of one text column."""
    attribute = (column.encode(), 0, 0, TEXT_TYPE_OID, -1, -1, 0)
    return element3.TupleDescriptor((attribute,)).bytes()


def text_row(value: str) -> bytes:
    """Return a DataRow with one text value."""
    return element3.Tuple((value.encode(),)).bytes()


def authentication(request: int, data: bytes = b"") -> bytes:
    """Return an Authentication message; ``request`` 0 is success, 10 to 12 are SASL."""
    return element3.Authentication(request, data).bytes()


def backend_key_data(process_id: int, secret: int) -> bytes:
    """Return the BackendKeyData, with which a client may cancel its requests."""
    return element3.KillInformation(process_id, secret).bytes()


def negotiate_protocol_version(newest_minor: int, unknown_options: tuple[str, ...]) -> bytes:
    """Return a NegotiateProtocolVersion, which py-postgresql doesn't implement."""
    options = b"".join(option.encode() + b"\0" for option in unknown_options)
    body = struct.pack("!II", newest_minor, len(unknown_options)) + options
    return b"v" + struct.pack("!I", len(body) + 4) + body

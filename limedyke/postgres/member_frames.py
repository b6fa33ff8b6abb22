"""Encodes the proxy's own messages to members and parses the answers.

``pq_message_stream`` of py-postgresql splits received bytes into
``(type, body)`` pairs, which are called frames here.
"""

from __future__ import annotations

import re
from struct import Struct

from postgresql.protocol import element3
from result import Err, Ok, Result

from limedyke.messages.work import LogPosition, PreparedStatement
from limedyke.result_codes import Failure, ResultCode

Frame = tuple[bytes, bytes]

AUTHENTICATION = b"R"
BACKEND_KEY = b"K"
COMMAND_COMPLETE = b"C"
COPY_BOTH = b"W"
COPY_IN = b"G"
COPY_OUT = b"H"
DATA_ROW = b"D"
ERROR = b"E"
NOTICE = b"N"
NOTIFICATION = b"A"
PARAMETER_STATUS = b"S"
PARSE_COMPLETE = b"1"
READY = b"Z"
ROW_DESCRIPTION = b"T"

_HEADER = Struct("!cL")
_LENGTH_BYTES = 4
_POSITION = re.compile(rb"^([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})$")
_HIGH_HALF_BITS = 32
_POSITION_COLUMNS = 4
_TRUE = b"t"

POSITION_SQL = (
    "SELECT group_term(), pg_is_in_recovery(), "
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END"
)
SYNC = element3.SynchronizeMessage.bytes()
TERMINATE = element3.DisconnectMessage.bytes()


def encode_frame(frame: Frame) -> bytes:
    """Return the original bytes of a received frame."""
    kind, body = frame
    return _HEADER.pack(kind, len(body) + _LENGTH_BYTES) + body


def query(sql: str) -> bytes:
    """Return a simple query message."""
    return element3.Query(sql.encode()).bytes()


def position_query(mark: int) -> bytes:
    """Return the position query with ``mark`` as a fourth column.

    The mark is unique on the connection and proves that an answer belongs to
    this query.
    """
    return query(f"{POSITION_SQL}, {mark}")


def parse_statement(statement: PreparedStatement) -> bytes:
    """Return the Parse message of a named statement."""
    return element3.Parse(
        statement.name.encode(), statement.text.encode(), statement.parameter_types
    ).bytes()


def close_statement(name: str) -> bytes:
    """Return the Close message of a named statement."""
    return element3.CloseStatement(name.encode()).bytes()


def quote_literal(text: str) -> str:
    """Return ``text`` as an SQL string literal."""
    return "'" + text.replace("'", "''") + "'"


def quote_identifier(name: str) -> str:
    """Return ``name``, which may be qualified with dots, as quoted SQL identifiers."""
    return ".".join('"' + part.replace('"', '""') + '"' for part in name.split("."))


def parse_position(text: bytes) -> int | None:
    """Return the byte position of an ``X/Y`` log position, or None if it is malformed."""
    match = _POSITION.match(text)
    if match is None:
        return None
    return (int(match.group(1), 16) << _HIGH_HALF_BITS) | int(match.group(2), 16)


def format_position(position: int) -> str:
    """Return a byte position in PostgreSQL's ``X/Y`` form."""
    return f"{position >> _HIGH_HALF_BITS:X}/{position & 0xFFFFFFFF:X}"


def row_values(body: bytes) -> tuple[bytes | None, ...]:
    """Return the column values of a DataRow body."""
    return element3.Tuple.parse(body)


def error_fields(body: bytes) -> dict[bytes, bytes]:
    """Return the fields of an ErrorResponse or NoticeResponse body by field type."""
    return dict(element3.Error.parse(body))


def error_sqlstate(body: bytes) -> str:
    """Return the SQLSTATE of an ErrorResponse body, or an empty string."""
    return error_fields(body).get(b"C", b"").decode(errors="replace")


def error_failure(body: bytes, code: ResultCode) -> Failure:
    """Return a Failure that carries a member's error message."""
    fields = error_fields(body)
    sqlstate = fields.get(b"C", b"").decode(errors="replace")
    message = fields.get(b"M", b"").decode(errors="replace")
    return Failure(code, f"member answered {sqlstate}: {message}")


class PositionAnswer:
    """The answer to a position query.

    :param place: term and position; 0 for a member that has no position
    :param is_replica: whether the member is in recovery, following a primary
    """

    __slots__ = ("is_replica", "place")

    def __init__(self, place: LogPosition, is_replica: bool) -> None:
        self.place = place
        self.is_replica = is_replica


def read_position_row(body: bytes, mark: int) -> Result[PositionAnswer, Failure]:
    """Parse the DataRow of a position query and check its mark."""
    values = row_values(body)
    if len(values) != _POSITION_COLUMNS or values[3] != str(mark).encode():
        return Err(Failure(ResultCode.PROTOCOL_VIOLATION, "answer to a different query"))
    position = parse_position(values[2] or b"0/0")
    term = values[0] or b"0"
    if position is None or not term.isdigit():
        return Err(Failure(ResultCode.PROTOCOL_VIOLATION, "malformed position answer"))
    return Ok(PositionAnswer(LogPosition(int(term), position), values[1] == _TRUE))

"""Splits a query text into statements, classifies and translates them, and caches the result.

Works on tokens only; SQLite does the parsing.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from itertools import takewhile

from limedyke_lab.database.sql.dialect import (
    DEFINITION_WORDS,
    first_name,
    locking_clause,
    translate,
    write_target,
)
from limedyke_lab.database.sql.tokens import Token, literal_value, split_statements

_CACHE_ENTRIES = 4096
_WRITE_WORDS = frozenset({"INSERT", "UPDATE", "DELETE", "REPLACE"})
_UNSUPPORTED_WORDS = frozenset(
    {
        "ATTACH", "DETACH", "PRAGMA", "VACUUM", "REINDEX", "ANALYZE", "COPY", "LISTEN", "NOTIFY",
        "UNLISTEN", "DECLARE", "FETCH", "MOVE", "CLOSE", "GRANT", "REVOKE", "LOCK", "DO", "CALL",
        "PREPARE", "EXECUTE", "CLUSTER", "COMMENT", "CHECKPOINT", "LOAD", "REFRESH", "MERGE",
    }
)  # fmt: skip

SPECIAL_FUNCTIONS = frozenset(
    {
        "group_promise",
        "group_promote",
        "lab_set",
        "lab_get",
        "lab_raise",
        "pg_sleep",
        "pg_advisory_lock",
        "pg_advisory_xact_lock",
        "pg_try_advisory_lock",
        "pg_try_advisory_xact_lock",
        "pg_advisory_unlock",
        "pg_advisory_unlock_all",
        "pg_cancel_backend",
        "pg_terminate_backend",
    }
)
"""Functions executed outside SQLite, only as ``SELECT function(arguments)``."""


class Kind(enum.Enum):
    """Kind of a statement."""

    READ = "read"
    LOCKING_READ = "locking read"
    WRITE = "write"
    POSITION = "position"
    CALL = "call"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    RELEASE = "release"
    ROLLBACK_TO = "rollback to"
    SET = "set"
    SHOW = "show"
    RESET = "reset"
    DISCARD = "discard"
    DEALLOCATE = "deallocate"
    UNSUPPORTED = "unsupported"


@dataclass(frozen=True, slots=True)
class Parameter:
    """A reference to parameter ``$number``."""

    number: int


@dataclass(frozen=True, slots=True)
class FunctionCall:
    """A call of a special function, with literal or parameter arguments."""

    name: str
    arguments: tuple[object, ...]
    column: str


@dataclass(frozen=True, slots=True, eq=False)
class Statement:
    """One statement ready to run.

    :param text: as the client sent it
    :param sql: in SQLite's dialect
    :param tag: first word(s) of the CommandComplete tag
    :param tokens: upper-case keys of its tokens without comments and spaces
    :param values: the tokens, for statements that are interpreted token by token
    :param parameter_count: highest ``$n``
    :param returning: whether a write returns rows
    :param temporary_table: name of the table a CREATE TEMP defines
    :param target: lower-case name of the table that a write targets
    """

    kind: Kind
    text: str
    sql: str
    tag: str
    tokens: tuple[str, ...]
    values: tuple[Token, ...]
    parameter_count: int
    returning: bool
    call: FunctionCall | None = None
    temporary_table: str = ""
    target: str = ""

    @property
    def answers_rows(self) -> bool:
        """Whether the statement returns rows."""
        if self.kind is Kind.WRITE:
            return self.returning
        return self.kind in _ROW_KINDS


_ROW_KINDS = frozenset({Kind.READ, Kind.LOCKING_READ, Kind.POSITION, Kind.CALL, Kind.SHOW})
_cache: dict[str, tuple[Statement, ...]] = {}


def parse_statements(text: str) -> tuple[Statement, ...]:
    """Return the statements of a query text, empty ones left out; cached."""
    found = _cache.get(text)
    if found is None:
        if len(_cache) >= _CACHE_ENTRIES:
            _cache.clear()
        found = _cache[text] = tuple(_parse(text))
    return found


def _parse(text: str) -> list[Statement]:
    statements = []
    for source, tokens in split_statements(text):
        if tokens:
            statements.append(_build(source, tokens))
    return statements


def _build(text: str, tokens: list[Token]) -> Statement:
    keys = tuple(token.key for token in tokens)
    kind, tag = _classify(keys)
    call = _function_call(tokens) if kind is Kind.READ else None
    if call is not None:
        kind = Kind.CALL
    elif kind is Kind.READ and _is_position_query(tokens):
        kind = Kind.POSITION
    numbers = [int(token.text[1:]) for token in tokens if token.kind == "parameter"]
    return Statement(
        kind=kind,
        text=text,
        sql=translate(tokens),
        tag=tag,
        tokens=keys,
        values=tuple(tokens),
        parameter_count=max(numbers, default=0),
        returning="RETURNING" in keys,
        call=call,
        temporary_table=_temporary_table(tokens),
        target=write_target(tokens) if kind is Kind.WRITE else "",
    )


_SIMPLE_KINDS = {
    "BEGIN": (Kind.BEGIN, "BEGIN"),
    "START": (Kind.BEGIN, "START TRANSACTION"),
    "COMMIT": (Kind.COMMIT, "COMMIT"),
    "END": (Kind.COMMIT, "COMMIT"),
    "ABORT": (Kind.ROLLBACK, "ROLLBACK"),
    "SAVEPOINT": (Kind.SAVEPOINT, "SAVEPOINT"),
    "RELEASE": (Kind.RELEASE, "RELEASE"),
    "SET": (Kind.SET, "SET"),
    "SHOW": (Kind.SHOW, "SHOW"),
    "RESET": (Kind.RESET, "RESET"),
    "DEALLOCATE": (Kind.DEALLOCATE, "DEALLOCATE"),
    "DISCARD": (Kind.DISCARD, "DISCARD ALL"),
    "VALUES": (Kind.READ, "SELECT"),
    "EXPLAIN": (Kind.READ, "EXPLAIN"),
    "TRUNCATE": (Kind.WRITE, "TRUNCATE TABLE"),
}


def _classify(keys: tuple[str, ...]) -> tuple[Kind, str]:
    """Return the kind and the command tag of a statement."""
    first = keys[0]
    if first in _SIMPLE_KINDS:
        return _SIMPLE_KINDS[first]
    if first == "ROLLBACK":
        return (Kind.ROLLBACK_TO if "TO" in keys else Kind.ROLLBACK), "ROLLBACK"
    if first in ("SELECT", "WITH", "("):
        return _classify_query(keys)
    if first in _WRITE_WORDS:
        return Kind.WRITE, "INSERT" if first == "REPLACE" else first
    if first in DEFINITION_WORDS:
        return Kind.WRITE, _definition_tag(keys)
    if first in _UNSUPPORTED_WORDS:
        return Kind.UNSUPPORTED, first
    return Kind.READ, first


def _classify_query(keys: tuple[str, ...]) -> tuple[Kind, str]:
    if keys[0] == "WITH":
        for key in keys:
            if key in _WRITE_WORDS:
                return Kind.WRITE, key
    if locking_clause(keys) is not None:
        return Kind.LOCKING_READ, "SELECT"
    return Kind.READ, "SELECT"


def _definition_tag(keys: tuple[str, ...]) -> str:
    words = [key for key in keys[1:6] if key not in ("TEMP", "TEMPORARY", "UNIQUE", "OR")]
    return f"{keys[0]} {words[0] if words else 'TABLE'}"


def _temporary_table(tokens: list[Token]) -> str:
    keys = [token.key for token in tokens]
    if keys[0] != "CREATE" or len(keys) < 4 or keys[1] not in ("TEMP", "TEMPORARY"):
        return ""
    return first_name(tokens[3:])


def _function_call(tokens: list[Token]) -> FunctionCall | None:
    """Recognise ``SELECT function(arguments) [AS name]`` of a special function."""
    if len(tokens) < 4 or tokens[0].key != "SELECT" or tokens[2].text != "(":
        return None
    name = tokens[1].text.lower()
    if name not in SPECIAL_FUNCTIONS:
        return None
    inside = tuple(takewhile(lambda token: token.text != ")", tokens[3:]))
    arguments = _arguments(inside)
    if arguments is None:
        return None
    after = 3 + len(inside) + 1
    rest = [token for token in tokens[after:] if token.kind != "cast"]
    if rest and rest[0].key != "AS":
        return None
    column = rest[1].text.strip('"') if len(rest) > 1 else name
    return FunctionCall(name, arguments, column)


def _arguments(tokens: tuple[Token, ...]) -> tuple[object, ...] | None:
    """Return the values between the parentheses of a call; None if one is not a plain value."""
    arguments: list[object] = []
    sign = 1
    for token in tokens:
        if token.text == "-":
            sign = -1
        elif token.kind == "parameter":
            arguments.append(Parameter(int(token.text[1:])))
        elif token.kind == "number":
            number = float(token.text)
            arguments.append(sign * (int(number) if number.is_integer() else number))
            sign = 1
        elif token.kind in ("string", "dollar"):
            arguments.append(literal_value(token))
        elif token.kind != "cast" and token.text != ",":
            return None
    return tuple(arguments)


POSITION_QUERY = (
    "SELECT group_term(), pg_is_in_recovery(), CASE WHEN pg_is_in_recovery() "
    "THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END"
)
"""The product's query for term and position, executed without SQLite."""

_POSITION_KEYS = [token.key for token in split_statements(POSITION_QUERY)[0][1]]


def _is_position_query(tokens: list[Token]) -> bool:
    """Recognise the position query, also with a number as a fourth column."""
    count = len(_POSITION_KEYS)
    rest = tokens[count:]
    is_marked = len(rest) == 2 and rest[0].text == "," and rest[1].kind == "number"
    return [token.key for token in tokens[:count]] == _POSITION_KEYS and (not rest or is_marked)

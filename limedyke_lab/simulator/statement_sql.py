"""Formatting and parsing of the simulator's statements as SQL text."""

from __future__ import annotations

import re
from functools import lru_cache

from limedyke_lab.simulator.statements import (
    Begin,
    Commit,
    Get,
    OnceQuery,
    OnceRow,
    OnceTag,
    PositionQuery,
    PromiseTerm,
    PromoteTerm,
    Put,
    Rollback,
    SessionCommand,
    Statement,
)

_STRING = re.compile(r"'((?:[^']|'')*)'")
_TRAILING_NUMBER = re.compile(r",\s*(\d+)\s*$")
_TERM = re.compile(r"\(\s*(\d+)")
_COMMENT = re.compile(r"/\*.*?\*/", re.DOTALL)
_SESSION_WORDS = ("SET", "RESET", "DISCARD", "SHOW")
PARSE_CACHE_SIZE = 256
ONCE_TABLE = "limedyke_once"


def put_sql(put: Put) -> str:
    """Return the SQL of a write."""
    values = f"('{put.request}', '{put.attempt}', '{put.tenant}', '{put.caller}', '{put.key}')"
    return (
        f"INSERT INTO kv (request, attempt, tenant, caller, key) VALUES {values} RETURNING attempt"
    )


def get_sql(get: Get) -> str:
    """Return the SQL of a read."""
    return (
        "SELECT attempt, value, holds, member FROM kv "
        f"WHERE request = '{get.request}' AND attempt = '{get.attempt}' "
        f"AND tenant = '{get.tenant}' AND caller = '{get.caller}' "
        f"AND key = '{get.key}' AND must_hold = '{get.must_hold}'"
    )


def parse_sql(text: str) -> list[Statement]:
    """Parse a query into its statements.

    :raises ValueError: on a statement that the simulator does not support
    """
    plain = _COMMENT.sub("", text)
    return [_parse(part.strip()) for part in _split(plain) if part.strip()]


def _split(text: str) -> list[str]:
    """Split at semicolons that are outside string literals."""
    if ";" not in text:
        return [text]
    parts = [""]
    for index, piece in enumerate(re.split(r"('(?:[^']|'')*')", text)):
        if index % 2:
            parts[-1] += piece
            continue
        first, *rest = piece.split(";")
        parts[-1] += first
        parts.extend(rest)
    return parts


def _strings(text: str) -> list[str]:
    return [found.replace("''", "'") for found in _STRING.findall(text)]


def _parse(text: str) -> Statement:
    if text.startswith("INSERT INTO kv"):
        request, attempt, tenant, caller, key = _strings(text)
        return Put(request, attempt, tenant, caller, key)
    if text.startswith("SELECT attempt"):
        request, attempt, tenant, caller, key, must_hold = _strings(text)
        return Get(request, attempt, tenant, caller, key, must_hold)
    if ONCE_TABLE in text:
        return _parse_once(text)
    return _parse_other(text)


@lru_cache(PARSE_CACHE_SIZE)
def _parse_other(text: str) -> Statement:
    upper = text.upper()
    if "GROUP_PROMISE" in upper:
        promoter = _strings(text)
        return PromiseTerm(int(_TERM.search(text)[1]), promoter[0] if promoter else "")
    if "GROUP_PROMOTE" in upper:
        return PromoteTerm(int(_TERM.search(text)[1]))
    if "GROUP_TERM()" in upper:
        mark = _TRAILING_NUMBER.search(text)
        return PositionQuery(mark[1] if mark else "")
    word = upper.split()[0]
    if word in ("BEGIN", "START"):
        return Begin()
    if word in ("COMMIT", "END"):
        return Commit()
    if word in ("ROLLBACK", "ABORT"):
        return Rollback()
    if "SET_CONFIG" in upper:
        return SessionCommand("SELECT 1")
    if word in _SESSION_WORDS:
        return SessionCommand(word + (" ALL" if word == "DISCARD" else ""))
    raise ValueError(text)


def _parse_once(text: str) -> Statement:
    strings = _strings(text)
    word = text.split(maxsplit=1)[0]
    if word == "CREATE":
        return SessionCommand("CREATE TABLE")
    if word == "INSERT":
        return OnceRow(strings[0], strings[1], "ON CONFLICT" in text)
    if word == "UPDATE":
        return OnceTag(strings[-1], strings[0] if len(strings) > 1 else None)
    return OnceQuery(strings[0])

"""Translation of PostgreSQL statements to SQLite's dialect, token by token."""

from __future__ import annotations

import re

from limedyke_lab.database.sql.tokens import Token, literal_value

_CAST_TYPES = {
    "int": "INTEGER",
    "int2": "INTEGER",
    "int4": "INTEGER",
    "int8": "INTEGER",
    "integer": "INTEGER",
    "smallint": "INTEGER",
    "bigint": "INTEGER",
    "oid": "INTEGER",
    "bool": "INTEGER",
    "boolean": "INTEGER",
    "float": "REAL",
    "float4": "REAL",
    "float8": "REAL",
    "real": "REAL",
    "double": "REAL",
    "numeric": "NUMERIC",
    "decimal": "NUMERIC",
    "bytea": "BLOB",
}
_SERIAL_TYPES = frozenset({"SERIAL", "BIGSERIAL", "SMALLSERIAL"})
_USER_WORDS = frozenset({"CURRENT_USER", "SESSION_USER"})
_DROPPED_SCHEMAS = frozenset({"PUBLIC", "PG_CATALOG"})
DEFINITION_WORDS = frozenset({"CREATE", "DROP", "ALTER"})


_WORD_BEFORE_TARGET = {
    "INSERT": "INTO",
    "REPLACE": "INTO",
    "DELETE": "FROM",
    "UPDATE": "UPDATE",
    "CREATE": "TABLE",
    "DROP": "TABLE",
    "ALTER": "TABLE",
    "TRUNCATE": "TRUNCATE",
}


def locking_clause(keys: tuple[str, ...]) -> int | None:
    """Return the token index of ``FOR UPDATE|SHARE|NO KEY UPDATE|KEY SHARE``, None without one."""
    for index in range(1, len(keys) - 1):
        if keys[index] == "FOR" and keys[index + 1] in ("UPDATE", "SHARE", "NO", "KEY"):
            return index
    return None


def write_target(tokens: list[Token]) -> str:
    """Return the lower-case name of the table that a write targets, empty when there is none."""
    keys = [token.key for token in tokens]
    for index, key in enumerate(keys):
        before_name = _WORD_BEFORE_TARGET.get(key)
        if before_name is not None and before_name in keys[index:]:
            return first_name(tokens[keys.index(before_name, index) + 1 :])
    return ""


def first_name(tokens: list[Token]) -> str:
    """Return the first token that can be a table's name, in lower case."""
    for token in tokens:
        if token.key not in ("IF", "NOT", "EXISTS", "ONLY", "OR", "TABLE", "PUBLIC", "."):
            return token.text.strip('"').lower()
    return ""


def translate(tokens: list[Token]) -> str:
    """Translate the tokens of one statement to SQLite's dialect."""
    if tokens[0].key in ("SELECT", "WITH"):
        tokens = tokens[: locking_clause(tuple(token.key for token in tokens))]
    if tokens[0].key == "TRUNCATE":
        return f'DELETE FROM "{write_target(tokens)}"'
    is_definition = tokens[0].key in DEFINITION_WORDS
    pieces: list[str] = []
    is_dropped_spaced = False
    for index, token in enumerate(tokens):
        if token.kind == "cast":
            _apply_cast(pieces, tokens[index - 1] if index else None, token)
        elif _is_dropped_schema(tokens, index):
            is_dropped_spaced = is_dropped_spaced or token.is_spaced
        else:
            space = " " if (token.is_spaced or is_dropped_spaced) and pieces else ""
            pieces.append(space + _translate_token(token, is_definition))
            is_dropped_spaced = False
    return "".join(pieces)


def _is_dropped_schema(tokens: list[Token], index: int) -> bool:
    token = tokens[index]
    if token.key in _DROPPED_SCHEMAS:
        return index + 1 < len(tokens) and tokens[index + 1].text == "."
    return token.text == "." and index > 0 and tokens[index - 1].key in _DROPPED_SCHEMAS


def _translate_token(token: Token, is_definition: bool) -> str:
    if token.kind == "parameter":
        return "?" + token.text[1:]
    if token.kind == "dollar":
        return "'" + literal_value(token).replace("'", "''") + "'"
    if token.kind == "string" and token.text[0] in "eE":
        return "'" + literal_value(token).replace("'", "''") + "'"
    if is_definition and token.key in _SERIAL_TYPES:
        return "INTEGER"
    if token.key in _USER_WORDS:
        return "current_user()"
    return token.text


def _bytes_literal(text: str) -> str:
    """Return the SQLite literal for a bytea literal in hexadecimal or plain form."""
    if text.startswith("\\x"):
        return f"X'{text[2:]}'"
    return f"X'{text.encode().hex()}'"


def _apply_cast(pieces: list[str], before: Token | None, cast: Token) -> None:
    """Translate ``literal::type`` to CAST; casts of other expressions are dropped."""
    if before is None or before.kind not in ("parameter", "string", "number"):
        return
    name = re.split(r"[\s(\[]", cast.text[2:].strip().lower())[0]
    if name == "bytea" and before.kind == "string":
        pieces[-1] = " " + _bytes_literal(literal_value(before))
        return
    if name in _CAST_TYPES:
        pieces[-1] = f" CAST({pieces[-1]} AS {_CAST_TYPES[name]})"

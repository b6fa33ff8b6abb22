"""Splits statement text into tokens with one regular expression, and folds literals.

Lexing is cheap enough for every statement; parsing the grammar is left to
sqlglot.  Text that can't be split (an unterminated string, nested comments)
raises ``LexicalError``, and callers treat the statement as unknown.  Text is
bytes in an encoding in which quotes and backslashes are never part of a
multi-byte character.
"""

from __future__ import annotations

import enum
import re
from typing import NamedTuple

_WORD_CHARACTER = rb"\w$\x80-\xff"
_NOT_IN_WORD = rb"(?<![" + _WORD_CHARACTER + rb"])"
_STRING = (
    rb"(?:" + _NOT_IN_WORD + rb"[eE]'(?:[^'\\]|\\.|'')*+'"
    rb"|" + _NOT_IN_WORD + rb"(?:[bBxXnN]|[uU]&)'(?:[^']|'')*+'"
    rb"|'(?:[^']|'')*+'"
    rb"|" + _NOT_IN_WORD + rb"\$(?P<tag>(?:[A-Za-z_\x80-\xff][\w\x80-\xff]*+)?)\$.*?\$(?P=tag)\$)"
)
_NUMBER = _NOT_IN_WORD + rb"(?:\d[\w.]*+(?:(?<=[eE])[+-]\d++)?)"
_COMMENT = rb"(?:--[^\n\r]*+|/\*(?:[^*/]|\*(?!/)|/(?!\*))*+\*/)"
_QUOTED_NAME = rb'"(?:[^"]|"")*+"'
_BROKEN = rb"['\"]|/\*"

# A word directly before a quote may be a string prefix, as in E'...' and U&'...'.
_PLAIN_WORD = rb"[A-Za-z_\x80-\xff][" + _WORD_CHARACTER + rb"]*+(?!&?')"
_PLAIN_SYMBOLS = rb"[\s,()=<>*+.;:%&|!\[\]{}?@#~^`]++"
_FOLD = re.compile(
    rb"(?P<plain>(?:" + _PLAIN_WORD + rb"|" + _PLAIN_SYMBOLS + rb")*+)(?:(?P<string>" + _STRING
    + rb")|(?P<number>" + _NUMBER + rb")|(?P<comment>" + _COMMENT + rb")|(?P<name>" + _QUOTED_NAME
    + rb")|(?P<broken>" + _BROKEN + rb")|(?P<other>.)|\Z)",
    re.DOTALL,
)  # fmt: skip
"""Matches a run of text without literals, followed by the token that ends it."""
_LEX = re.compile(
    rb"(?P<space>\s+|" + _COMMENT + rb")|(?P<string>" + _STRING + rb")|(?P<number>" + _NUMBER
    + rb")|(?P<word>[A-Za-z_\x80-\xff][" + _WORD_CHARACTER + rb"]*+)|(?P<name>" + _QUOTED_NAME
    + rb")|(?P<parameter>\$\d+)|(?P<broken>" + _BROKEN + rb")|(?P<symbol>::|:=|.)",
    re.DOTALL,
)  # fmt: skip
_LITERAL_LIST = re.compile(rb"(0|'')(?:\s*,\s*(?:0|''))+")
_ROW_LIST = re.compile(rb"(\((?:0|''|\$\d+)\))(?:\s*,\s*\((?:0|''|\$\d+)\))+")
_HINT = re.compile(rb"limedyke_(\w+)\s*=\s*'([^']*)'")
HINT_PREFIX = b"limedyke_"
FOLDED_STRING = b"''"
FOLDED_NUMBER = b"0"


class TokenKind(enum.Enum):
    """The kind of a token."""

    WORD = "word"
    NAME = "name"
    STRING = "string"
    NUMBER = "number"
    PARAMETER = "parameter"
    SYMBOL = "symbol"


_KIND_BY_GROUP = {kind.value: kind for kind in TokenKind}


class Token(NamedTuple):
    """One token.

    :param upper: the text in upper case for an unquoted word or symbol, otherwise empty
    :param start: offset of the token in the text
    """

    kind: TokenKind
    text: bytes
    upper: str
    start: int

    @property
    def end(self) -> int:
        """Offset of the first byte after the token."""
        return self.start + len(self.text)


class LexicalError(Exception):
    """The text can't be split into tokens."""


def lex(text: bytes) -> list[Token]:
    """Return the tokens of a text, without whitespace and comments.

    :raises LexicalError: on an unterminated literal or a nested comment
    """
    tokens = []
    for match in _LEX.finditer(text):
        group = match.lastgroup
        if group == "tag":
            group = "string"
        if group == "space":
            continue
        if group == "broken":
            raise LexicalError
        kind = _KIND_BY_GROUP[group]
        value = match.group()
        upper = ""
        if kind is TokenKind.WORD or kind is TokenKind.SYMBOL:
            upper = value.decode("utf-8", "replace").upper()
        tokens.append(Token(kind, value, upper, match.start()))
    return tokens


def _fold_match(found: re.Match[bytes]) -> bytes:
    match found.lastgroup:
        case "string" | "tag":
            return found["plain"] + FOLDED_STRING
        case "number":
            return found["plain"] + FOLDED_NUMBER
        case "comment":
            return found["plain"] + b" "
        case "broken":
            raise LexicalError
    return found.group()


def fold(text: bytes) -> bytes:
    """Return the shape of a text: literals replaced, comments and repeated list items removed.

    :raises LexicalError: on an unterminated literal or a nested comment
    """
    shape = _FOLD.sub(_fold_match, text)
    shape = _LITERAL_LIST.sub(rb"\1", shape)
    return _ROW_LIST.sub(rb"\1", shape)


def find_hints(text: bytes) -> list[tuple[str, str]]:
    """Return the ``limedyke_name='value'`` pairs in the comments of a text.

    :raises LexicalError: on an unterminated literal or a nested comment
    """
    hints = []
    for match in _FOLD.finditer(text):
        if match["broken"] is not None:
            raise LexicalError
        comment = match["comment"]
        if comment is None:
            continue
        for name, value in _HINT.findall(comment):
            hints.append((name.decode(), value.decode("utf-8", "replace")))
    return hints


def unquote_string(text: bytes) -> str:
    """Return the value of a plain, E'' or dollar-quoted string literal."""
    if text.startswith(b"$"):
        tag_end = text.index(b"$", 1) + 1
        return text[tag_end:-tag_end].decode("utf-8", "replace")
    escaped = text[:1] in (b"e", b"E")
    body = text[text.index(b"'") + 1 : -1].replace(b"''", b"'").decode("utf-8", "replace")
    if escaped:
        body = re.sub(r"\\(.)", r"\1", body)
    return body


def unquote_name(token: Token) -> str:
    """Return the identifier that a word or quoted name denotes."""
    if token.kind is TokenKind.NAME:
        return token.text[1:-1].replace(b'""', b'"').decode("utf-8", "replace")
    return token.text.decode("utf-8", "replace").lower()

"""Lexical tokens of PostgreSQL's SQL."""

from __future__ import annotations

import re
from dataclasses import dataclass

_TOKEN = re.compile(
    r"""
      (?P<string>[eE]?'(?:[^']|'')*')
    | (?P<dollar>\$(?P<label>[A-Za-z_]*)\$.*?\$(?P=label)\$)
    | (?P<quoted>"(?:[^"]|"")*")
    | (?P<comment>--[^\n]*|/\*.*?\*/)
    | (?P<parameter>\$\d+)
    | (?P<cast>::\s*[A-Za-z_]\w*(?:\s+precision|\s+varying)?
               (?:\(\s*\d+(?:\s*,\s*\d+)?\s*\))?(?:\[\])?)
    | (?P<word>[A-Za-z_]\w*)
    | (?P<number>\d+(?:\.\d+)?(?:[eE][+-]?\d+)?)
    | (?P<space>\s+)
    | (?P<semicolon>;)
    | (?P<other>.)
    """,
    re.VERBOSE | re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class Token:
    """One lexical token.

    :param key: the upper-case text of a word, else the text
    :param is_spaced: whether whitespace or a comment precedes it
    """

    kind: str
    text: str
    key: str
    is_spaced: bool


def split_statements(text: str) -> list[tuple[str, list[Token]]]:
    """Split the text at semicolons outside of strings and comments."""
    parts = []
    tokens: list[Token] = []
    start = 0
    is_spaced = False
    for match in _TOKEN.finditer(text):
        kind = match.lastgroup or "other"
        if kind == "semicolon":
            parts.append((text[start : match.start()].strip(), tokens))
            tokens, start = [], match.end()
        elif kind in ("comment", "space"):
            is_spaced = True
        else:
            value = match.group()
            key = value.upper() if kind == "word" else value
            tokens.append(Token(kind, value, key, is_spaced))
            is_spaced = False
    parts.append((text[start:].strip(), tokens))
    return parts


def literal_value(token: Token) -> str:
    """Return the value of a string token."""
    if token.kind == "dollar":
        return token.text.split("$", 2)[2].rsplit("$", 2)[0]
    text = token.text
    if text[0] in "eE":
        text = text[1:].replace("\\n", "\n").replace("\\t", "\t").replace("\\\\", "\\")
    return text[1:-1].replace("''", "'")

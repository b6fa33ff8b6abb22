"""Proves that a query is read-only, from its sqlglot parse tree and the functions it calls."""

from __future__ import annotations

import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError

from limedyke.core.sql.known_functions import (
    READ_ONLY_FUNCTIONS,
    WORDS_BEFORE_PARENTHESIS,
)
from limedyke.core.sql.sql_lexer import Token, TokenKind, unquote_name

DIALECT = "postgres"
MAXIMUM_SHAPE_BYTES = 16_384
TRUSTED_SCHEMA = "pg_catalog"
_QUERY_ROOTS = (exp.Select, exp.SetOperation, exp.Values, exp.Subquery, exp.Table)
_WRITING_NODES = (
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Merge,
    exp.Create,
    exp.Drop,
    exp.Alter,
    exp.Into,
    exp.Lock,
    exp.Command,
    exp.Copy,
    exp.Set,
    exp.TruncateTable,
)


def has_unknown_call(tokens: list[Token]) -> bool:
    """Tell whether any call may be of a function that isn't known to be read-only."""
    for index in range(len(tokens) - 1):
        if tokens[index + 1].upper != "(":
            continue
        if is_unknown_call(tokens, index):
            return True
    return False


def is_unknown_call(tokens: list[Token], index: int) -> bool:
    """Tell whether the token, which precedes ``(``, may name a function not known as read-only."""
    token = tokens[index]
    if token.kind not in (TokenKind.WORD, TokenKind.NAME):
        return False
    name = unquote_name(token)
    if index >= 2 and tokens[index - 1].upper == ".":
        if unquote_name(tokens[index - 2]) != TRUSTED_SCHEMA:
            return True
        return name not in READ_ONLY_FUNCTIONS
    if token.kind is TokenKind.WORD and name in WORDS_BEFORE_PARENTHESIS:
        return False
    return name not in READ_ONLY_FUNCTIONS


def reads_only(shape: bytes, tokens: list[Token]) -> bool:
    """Tell whether a single query is proved to write nothing.

    :param shape: text of the query with literals folded
    :param tokens: tokens of the query
    """
    if len(shape) > MAXIMUM_SHAPE_BYTES:
        return False
    try:
        tree = sqlglot.parse_one(shape.decode("utf-8", "replace"), dialect=DIALECT)
    except (SqlglotError, RecursionError):
        return False
    if not isinstance(tree, _QUERY_ROOTS):
        return False
    if tree.find(*_WRITING_NODES) is not None:
        return False
    if any(name.lower() not in READ_ONLY_FUNCTIONS for name in _called_names(tree)):
        return False
    return not _has_undeclared_call(tokens, _declared_names(tree))


def _called_names(tree: exp.Expression) -> list[str]:
    """Return the names of called functions that sqlglot doesn't know."""
    return [node.name for node in tree.find_all(exp.Anonymous, exp.AnonymousAggFunc)]


def _declared_names(tree: exp.Expression) -> set[str]:
    """Return the names of CTEs and aliases, which may precede a column list in parentheses."""
    return {alias.name.lower() for alias in tree.find_all(exp.TableAlias) if alias.name}


def _has_undeclared_call(tokens: list[Token], declared: set[str]) -> bool:
    for index in range(len(tokens) - 1):
        if tokens[index + 1].upper != "(":
            continue
        if not is_unknown_call(tokens, index):
            continue
        if unquote_name(tokens[index]) not in declared:
            return True
    return False

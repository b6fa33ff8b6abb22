"""Classifies statements: read or write, effects on the session, and rejected statements."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from limedyke.core.sql import statement_commands as commands
from limedyke.core.sql.known_functions import (
    NOTIFY_FUNCTIONS,
    SESSION_LOCK_FUNCTIONS,
    SET_CONFIG_FUNCTION,
)
from limedyke.core.sql.read_proof import has_unknown_call, reads_only
from limedyke.core.sql.sql_lexer import LexicalError, Token, TokenKind, fold, lex, unquote_name
from limedyke.core.sql.statement import (
    EMPTY_PROFILE,
    TRANSACTION_OPENERS,
    UNKNOWN_PROFILE,
    Effect,
    SessionChange,
    StatementProfile,
    leaves_transaction_open_after_commit,
)
from limedyke.messages.work import Access

MAXIMUM_CLASSIFIED_BYTES = 65_536
SEPARATOR = ";"
BODY_OPENERS = ("BEGIN", "CASE")
BODY_END = "END"
QUERY_WORDS = frozenset({"SELECT", "VALUES", "WITH", "TABLE", "("})
_WRITING_WORDS = """
    INSERT UPDATE DELETE MERGE CREATE ALTER DROP TRUNCATE GRANT REVOKE COMMENT VACUUM ANALYZE
    REINDEX CLUSTER CHECKPOINT LOCK REFRESH FETCH MOVE CLOSE IMPORT SECURITY REASSIGN
"""
WRITING_WORDS = frozenset(_WRITING_WORDS.split())
REFUSED_WORDS = {
    "COPY": "COPY",
    "LISTEN": "LISTEN: notifications aren't supported",
    "NOTIFY": "NOTIFY: notifications aren't supported",
    "LOAD": "LOAD",
}
TEMPORARY_WORDS = frozenset({"TEMP", "TEMPORARY"})
LARGE_WRITES = (b"INSERT", b"UPDATE", b"DELETE", b"MERGE")


def classify(text: bytes) -> StatementProfile:
    """Return the profile of a text, without the hints in its comments."""
    if len(text) > MAXIMUM_CLASSIFIED_BYTES:
        return _classify_large(text)
    try:
        tokens = lex(text)
    except LexicalError:
        return UNKNOWN_PROFILE
    statements = _split_statements(tokens)
    if not statements:
        return EMPTY_PROFILE
    profiles = [_classify_one(text, statement) for statement in statements]
    if len(profiles) == 1:
        return profiles[0]
    return _combine(profiles)


def _classify_large(text: bytes) -> StatementProfile:
    """Classify a large text by its first word: a single plain write, or unknown."""
    if text.lstrip()[:6].upper() in LARGE_WRITES and b";" not in text:
        return StatementProfile(Access.WRITE)
    return UNKNOWN_PROFILE


def _split_statements(tokens: list[Token]) -> list[list[Token]]:
    """Return the tokens of each statement; the body of a routine isn't split."""
    statements: list[list[Token]] = []
    statement: list[Token] = []
    depth = 0
    for index, token in enumerate(tokens):
        if depth or _starts_atomic_body(tokens, index):
            depth += (token.upper in BODY_OPENERS) - (token.upper == BODY_END)
        if token.upper != SEPARATOR or depth:
            statement.append(token)
        elif statement:
            statements.append(statement)
            statement = []
    if statement:
        statements.append(statement)
    return statements


def _starts_atomic_body(tokens: list[Token], index: int) -> bool:
    """Tell whether BEGIN ATOMIC starts at this token; its body contains statements."""
    return [token.upper for token in tokens[index : index + 2]] == ["BEGIN", "ATOMIC"]


def _combine(profiles: list[StatementProfile]) -> StatementProfile:
    """Return the profile of several statements run as one unit: the most restrictive of all."""
    refusal = next((profile.refusal for profile in profiles if profile.refusal), "")
    if not refusal and any(profile.local for profile in profiles):
        refusal = "a statement run by the proxy together with others"
    changes: list[tuple[int, SessionChange]] = []
    for index, profile in enumerate(profiles):
        changes.extend((index, item) for _, item in profile.changes)
    effects = {item.effect for _, item in changes}
    if not refusal and effects & {Effect.PREPARE, Effect.EXECUTE}:
        refusal = "PREPARE and EXECUTE together with other statements"
    if not refusal and leaves_transaction_open_after_commit([item.effect for _, item in changes]):
        refusal = commands.BEGIN_AFTER_COMMIT
    reads = all(profile.access is Access.READ for profile in profiles)
    return StatementProfile(
        Access.READ if reads else Access.WRITE,
        statements=sum(profile.statements for profile in profiles),
        changes=tuple(changes),
        leaves_state=any(profile.leaves_state for profile in profiles),
        may_open_transaction=any(item.effect in TRANSACTION_OPENERS for _, item in changes),
        may_commit=Effect.COMMIT in effects,
        only_queries=all(profile.only_queries for profile in profiles),
        refusal=refusal,
    )


def _classify_one(text: bytes, tokens: list[Token]) -> StatementProfile:
    words = [token.upper for token in tokens]
    word = words[0]
    called = {
        unquote_name(token)
        for token, after in pairwise(tokens)
        if after.upper == "(" and token.kind in (TokenKind.WORD, TokenKind.NAME)
    }
    if called & SESSION_LOCK_FUNCTIONS:
        return commands.refused("session advisory locks; use pg_advisory_xact_lock")
    if SET_CONFIG_FUNCTION in called and not _sets_for_transaction_only(tokens):
        return commands.refused("set_config for the session; use SET")
    if called & NOTIFY_FUNCTIONS:
        return commands.refused("pg_notify: notifications aren't supported")
    if word in REFUSED_WORDS:
        return commands.refused(REFUSED_WORDS[word])
    if word in QUERY_WORDS:
        return _classify_query(text, tokens, words)
    if word in WRITING_WORDS:
        return _classify_write(tokens, words)
    return _classify_command(text, tokens, words)


def _sets_for_transaction_only(tokens: list[Token]) -> bool:
    """Tell whether the last argument of each set_config call is ``true``, that is, is_local."""
    for index, token in enumerate(tokens[:-1]):
        is_call = tokens[index + 1].upper == "(" and token.kind in (TokenKind.WORD, TokenKind.NAME)
        if not is_call or unquote_name(token) != SET_CONFIG_FUNCTION:
            continue
        rest = [following.upper for following in tokens[index:]]
        end = rest.index(")") if ")" in rest else 0
        if rest[end - 2 : end] != [",", "TRUE"]:
            return False
    return True


def _classify_query(text: bytes, tokens: list[Token], words: list[str]) -> StatementProfile:
    if "INTO" in words and TEMPORARY_WORDS & set(words):
        return commands.refused("temporary tables")
    shape = fold(text[tokens[0].start : tokens[-1].end])
    if reads_only(shape, tokens):
        return StatementProfile(Access.READ, only_queries=True)
    is_query = not WRITING_WORDS & set(words) and "INTO" not in words
    leaves_state = has_unknown_call(tokens)
    return StatementProfile(Access.WRITE, leaves_state=leaves_state, only_queries=is_query)


def _classify_write(tokens: list[Token], words: list[str]) -> StatementProfile:
    if words[0] == "CREATE" and TEMPORARY_WORDS & set(words[1:5]):
        if "ON COMMIT DROP" not in " ".join(words):
            return commands.refused("temporary tables, other than ON COMMIT DROP")
        return StatementProfile(Access.WRITE)
    leaves_state = words[0] in (
        "INSERT",
        "UPDATE",
        "DELETE",
        "MERGE",
    ) and _has_unknown_call_after_table(tokens)
    return StatementProfile(Access.WRITE, leaves_state=leaves_state)


def _has_unknown_call_after_table(tokens: list[Token]) -> bool:
    """Like ``has_unknown_call``, but skips the table name in INSERT INTO table (...)."""
    start = 0
    for index, token in enumerate(tokens[:8]):
        if token.upper == "(":
            start = index
            break
    return has_unknown_call(tokens[start:])


def _classify_command(text: bytes, tokens: list[Token], words: list[str]) -> StatementProfile:
    match words[0]:
        case "BEGIN":
            return commands.begin(words)
        case "START" if words[1:2] == ["TRANSACTION"]:
            return commands.begin(words)
        case "COMMIT" | "END" | "ROLLBACK" | "ABORT":
            if "TO" in words[1:3]:
                return commands.savepoint(tokens, Effect.ROLLBACK_TO)
            return commands.end(words)
        case "SAVEPOINT":
            return commands.savepoint(tokens, Effect.SAVEPOINT)
        case "RELEASE":
            return commands.savepoint(tokens, Effect.RELEASE)
        case "SET":
            return commands.set_command(tokens)
        case "RESET":
            return commands.reset(tokens)
        case "SHOW":
            return commands.show(tokens)
        case "DISCARD":
            return commands.discard(words)
        case "DEALLOCATE":
            return commands.deallocate(tokens)
        case "UNLISTEN":
            return replace(commands.effect_profile(Effect.NOTHING), local=True, command="UNLISTEN")
        case "PREPARE":
            return _classify_prepare(text, tokens, words)
        case "EXECUTE" if len(tokens) > 1:
            return commands.effect_profile(Effect.EXECUTE, unquote_name(tokens[1]))
        case "DECLARE":
            if "WITH HOLD" in " ".join(words):
                return commands.refused("cursors WITH HOLD")
            return StatementProfile(Access.WRITE)
        case "EXPLAIN":
            return _classify_explain(text, tokens, words)
    return StatementProfile(Access.WRITE, leaves_state=True)


def _classify_prepare(text: bytes, tokens: list[Token], words: list[str]) -> StatementProfile:
    if words[1:2] == ["TRANSACTION"]:
        return commands.refused("two-phase commit")
    if "AS" not in words or words.index("AS") + 1 >= len(tokens):
        return StatementProfile(Access.WRITE, leaves_state=True)
    split = words.index("AS")
    statement = text[tokens[split + 1].start : tokens[-1].end].decode("utf-8", "replace")
    types = b" ".join(token.text for token in tokens[3 : split - 1]).decode("utf-8", "replace")
    names = tuple(part.strip().lower() for part in types.split(",") if part.strip())
    prepared = SessionChange(Effect.PREPARE, unquote_name(tokens[1]), statement, names)
    return StatementProfile(Access.READ, changes=((0, prepared),))


def _classify_explain(text: bytes, tokens: list[Token], words: list[str]) -> StatementProfile:
    """Classify EXPLAIN: it only reads, unless ANALYZE executes a statement that writes."""
    position = 1
    runs = False
    if words[1:2] == ["("]:
        position = words.index(")") + 1 if ")" in words else len(words)
        runs = "ANALYZE" in words[1:position]
    while position < len(words) and words[position] in ("ANALYZE", "VERBOSE"):
        runs = runs or words[position] == "ANALYZE"
        position += 1
    if position >= len(tokens):
        return StatementProfile(Access.WRITE)
    inner = _classify_one(text, tokens[position:])
    if inner.refusal or inner.local:
        return commands.refused(inner.refusal or "EXPLAIN of a statement run by the proxy")
    if inner.changes:
        return StatementProfile(Access.WRITE, leaves_state=True)
    return inner if runs else StatementProfile(Access.READ)

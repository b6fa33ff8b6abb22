"""Profiles of single commands: transaction control, settings and prepared statements.

Each function takes the tokens of one statement and returns its profile.
"""

from __future__ import annotations

from dataclasses import replace

from limedyke.core.sql.sql_lexer import Token, TokenKind, unquote_name, unquote_string
from limedyke.core.sql.statement import Effect, SessionChange, StatementProfile
from limedyke.messages.work import Access
from limedyke.postgres.client_startup import SESSION_PREFIX

LIST_SETTINGS = frozenset({"search_path", "temp_tablespaces"})
_ENCODINGS = frozenset({"utf8", "unicode", "sqlascii", "latin1", "default"})
BEGIN_AFTER_COMMIT = "a transaction begun in the batch that commits another"
READ_ONLY_MODE = "transaction_read_only"
PROTECTED_SETTINGS = {
    "session_authorization": "SET SESSION AUTHORIZATION",
    "standard_conforming_strings": "changing standard_conforming_strings",
}


def refused(reason: str) -> StatementProfile:
    """Return the profile of a statement that the proxy rejects."""
    return StatementProfile(Access.WRITE, refusal=reason)


def effect_profile(effect: Effect, name: str = "", value: str = "") -> StatementProfile:
    """Return the profile of a read-only statement with one effect on the session."""
    return StatementProfile(Access.READ, changes=((0, SessionChange(effect, name, value)),))


def begin(words: list[str]) -> StatementProfile:
    """Classify BEGIN and START TRANSACTION, with their modes."""
    modes = " ".join(words)
    effect = Effect.BEGIN
    if "READ WRITE" in modes or "SERIALIZABLE" in words:
        effect = Effect.BEGIN_READ_WRITE
    elif "READ ONLY" in modes:
        effect = Effect.BEGIN_READ_ONLY
    return replace(effect_profile(effect), may_open_transaction=True)


def end(words: list[str]) -> StatementProfile:
    """Classify COMMIT, END, ROLLBACK and ABORT, with AND CHAIN and ROLLBACK TO."""
    if "PREPARED" in words:
        return refused("two-phase commit")
    effect = Effect.COMMIT if words[0] in ("COMMIT", "END") else Effect.ROLLBACK
    if "TO" in words[1:3]:
        return effect_profile(Effect.ROLLBACK_TO, words[-1].lower())
    profile = replace(effect_profile(effect), may_commit=effect is Effect.COMMIT)
    if "CHAIN" in words and "NO" not in words:
        if effect is Effect.COMMIT:
            return refused(BEGIN_AFTER_COMMIT)
        chained = (0, SessionChange(Effect.BEGIN))
        return replace(profile, changes=(*profile.changes, chained), may_open_transaction=True)
    return profile


def set_command(tokens: list[Token]) -> StatementProfile:
    """Classify SET in all its forms."""
    words = [token.upper for token in tokens]
    rest = tokens[1:]
    local = len(words) > 1 and words[1] == "LOCAL"
    if len(words) > 1 and words[1] in ("LOCAL", "SESSION"):
        rest = tokens[2:]
    head = [token.upper for token in rest[:2]]
    if head[:1] in (["TRANSACTION"], ["CONSTRAINTS"]):
        name = READ_ONLY_MODE if "READ WRITE" in " ".join(words) else ""
        return effect_profile(Effect.SET_LOCAL, name)
    if head[:1] in (["AUTHORIZATION"], ["SESSION"]):
        return refused("SET SESSION AUTHORIZATION")
    if head[:1] == ["CHARACTERISTICS"]:
        return _session_characteristics(" ".join(words))
    if head == ["TIME", "ZONE"]:
        return _assign("timezone", rest[2:], local)
    if head[:1] == ["NAMES"]:
        return _assign("client_encoding", rest[1:], local)
    if head[:1] in (["ROLE"], ["SCHEMA"]):
        name = "role" if head[0] == "ROLE" else "search_path"
        return _assign(name, rest[1:], local)
    name, values = _split_assignment(rest)
    if not name or not values:
        return StatementProfile(Access.READ, leaves_state=True)
    return _assign(name, values, local)


def _split_assignment(tokens: list[Token]) -> tuple[str, list[Token]]:
    for index, token in enumerate(tokens):
        if token.upper in ("=", "TO"):
            return setting_name(tokens[:index]), tokens[index + 1 :]
    return "", []


def setting_name(tokens: list[Token]) -> str:
    """Return the lower-case name of a setting from its tokens."""
    return "".join(unquote_name(token) for token in tokens).lower()


def is_supported_encoding(name: str) -> bool:
    """Tell whether the proxy supports a client encoding.

    As in PostgreSQL, only letters and digits are compared, without regard to case: asyncpg sends
    ``'utf-8'`` including the quotes.
    """
    return "".join(filter(str.isalnum, name)).lower() in _ENCODINGS


def _assign(name: str, values: list[Token], local: bool) -> StatementProfile:
    if name in PROTECTED_SETTINGS:
        return refused(PROTECTED_SETTINGS[name])
    value = _setting_value(name, values)
    if name == "client_encoding" and not is_supported_encoding(value):
        return refused(f"client encoding {value}")
    is_default = len(values) == 1 and values[0].upper == "DEFAULT"
    if name.startswith(SESSION_PREFIX):
        effect = Effect.RESET if is_default else Effect.SET
        profile = effect_profile(effect, name, "" if is_default else value)
        return replace(profile, local=True, command="SET")
    if local or name == READ_ONLY_MODE:
        return effect_profile(Effect.SET_LOCAL, name, value)
    effect = Effect.RESET if is_default else Effect.SET
    profile = effect_profile(effect, name, "" if is_default else value)
    return replace(profile, leaves_state=True)


def _setting_value(name: str, tokens: list[Token]) -> str:
    """Return the value in the form that ``set_config`` expects."""
    parts: list[str] = []
    part = ""
    for token in tokens:
        if token.upper == ",":
            parts.append(part)
            part = ""
            continue
        if token.kind is TokenKind.STRING:
            part += _list_element(name, unquote_string(token.text))
        elif token.kind is TokenKind.NAME and name not in LIST_SETTINGS:
            part += unquote_name(token)
        else:
            part += token.text.decode("utf-8", "replace")
    parts.append(part)
    return ", ".join(parts)


def _list_element(name: str, value: str) -> str:
    if name not in LIST_SETTINGS:
        return value
    escaped = value.replace('"', '""')
    return f'"{escaped}"'


def _session_characteristics(words: str) -> StatementProfile:
    """Classify SET SESSION CHARACTERISTICS AS TRANSACTION as the settings it is equivalent to."""
    changes = []
    if "READ ONLY" in words:
        changes.append(SessionChange(Effect.SET, "default_transaction_read_only", "on"))
    if "READ WRITE" in words:
        changes.append(SessionChange(Effect.SET, "default_transaction_read_only", "off"))
    for level in ("SERIALIZABLE", "REPEATABLE READ", "READ COMMITTED", "READ UNCOMMITTED"):
        if f"ISOLATION LEVEL {level}" in words:
            isolation = SessionChange(Effect.SET, "default_transaction_isolation", level.lower())
            changes.append(isolation)
    indexed = tuple((0, item) for item in changes)
    return StatementProfile(Access.READ, changes=indexed, leaves_state=True)


def reset(tokens: list[Token]) -> StatementProfile:
    """Classify RESET name, RESET ALL, RESET TIME ZONE and RESET ROLE."""
    words = [token.upper for token in tokens]
    if words[1:] == ["ALL"]:
        return replace(effect_profile(Effect.RESET_ALL), leaves_state=True)
    if words[1:3] == ["SESSION", "AUTHORIZATION"]:
        return refused("RESET SESSION AUTHORIZATION")
    name = setting_name(tokens[1:])
    if words[1:3] == ["TIME", "ZONE"]:
        name = "timezone"
    profile = effect_profile(Effect.RESET, name)
    if name.startswith(SESSION_PREFIX):
        return replace(profile, local=True, command="RESET")
    return replace(profile, leaves_state=True)


def show(tokens: list[Token]) -> StatementProfile:
    """Classify SHOW name: the proxy answers its own settings, a member the others."""
    name = setting_name(tokens[1:])
    if not name.startswith(SESSION_PREFIX):
        return StatementProfile(Access.READ)
    profile = effect_profile(Effect.SHOW, name)
    return replace(profile, local=True, command="SHOW")


def discard(words: list[str]) -> StatementProfile:
    """Classify DISCARD: the proxy keeps the discarded state, so it answers the command itself."""
    effect = Effect.DISCARD_ALL if words[1:] == ["ALL"] else Effect.NOTHING
    return replace(effect_profile(effect), local=True, command=" ".join(words))


def deallocate(tokens: list[Token]) -> StatementProfile:
    """Classify DEALLOCATE [PREPARE] name | ALL."""
    rest = tokens[1:]
    if rest and rest[0].upper == "PREPARE" and len(rest) > 1:
        rest = rest[1:]
    if not rest:
        return StatementProfile(Access.WRITE)
    if rest[0].upper == "ALL":
        profile = effect_profile(Effect.DEALLOCATE_ALL)
        return replace(profile, local=True, command="DEALLOCATE ALL")
    profile = effect_profile(Effect.DEALLOCATE, unquote_name(rest[0]))
    return replace(profile, local=True, command="DEALLOCATE")


def savepoint(tokens: list[Token], effect: Effect) -> StatementProfile:
    """Classify SAVEPOINT, RELEASE and ROLLBACK TO; the last token is the savepoint's name."""
    return effect_profile(effect, unquote_name(tokens[-1]))

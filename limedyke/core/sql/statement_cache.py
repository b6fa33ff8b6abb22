"""Bounded cache of statement profiles, by text and by shape (the text with folded literals)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import Generic, TypeVar

from limedyke.core.sql.sql_lexer import HINT_PREFIX, LexicalError, find_hints, fold
from limedyke.core.sql.statement import NO_HINTS, RouteHint, StatementHints, StatementProfile
from limedyke.core.sql.statement_classifier import MAXIMUM_CLASSIFIED_BYTES, classify

DEFAULT_ENTRIES = 4_096
MAXIMUM_CACHED_TEXT_BYTES = 4_096

Key = TypeVar("Key")
Value = TypeVar("Value")


class LruCache(Generic[Key, Value]):
    """Cache of at most ``capacity`` entries that evicts the least recently used one."""

    def __init__(self, capacity: int) -> None:
        self._entries: OrderedDict[Key, Value] = OrderedDict()
        self._capacity = capacity

    def get(self, key: Key) -> Value | None:
        """Return the entry and mark it as recently used; None if there is none."""
        value = self._entries.get(key)
        if value is not None:
            self._entries.move_to_end(key)
        return value

    def put(self, key: Key, value: Value) -> None:
        """Add an entry; evict the least recently used one if the capacity is exceeded."""
        self._entries[key] = value
        self._entries.move_to_end(key)
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def __len__(self) -> int:
        return len(self._entries)


class StatementCache:
    """Profiles of the recently used statements.

    :param entries: maximum number of cached texts, and of cached shapes
    :ivar parsed: number of texts passed to the classifier
    """

    def __init__(self, entries: int = DEFAULT_ENTRIES) -> None:
        self._by_text: LruCache[bytes, StatementProfile] = LruCache(entries)
        self._by_shape: LruCache[bytes, StatementProfile] = LruCache(entries)
        self.parsed = 0

    @property
    def sizes(self) -> tuple[int, int]:
        """The numbers of cached texts and of cached shapes."""
        return len(self._by_text), len(self._by_shape)

    def get_profile(self, text: bytes) -> StatementProfile:
        """Return the profile of a text, with the hints in its comments."""
        profile = self._by_text.get(text)
        if profile is not None:
            return profile
        profile = self._by_shape_or_parse(text)
        if HINT_PREFIX in text:
            profile = replace(profile, hints=_read_hints(text))
        if len(text) <= MAXIMUM_CACHED_TEXT_BYTES:
            self._by_text.put(text, profile)
        return profile

    def _by_shape_or_parse(self, text: bytes) -> StatementProfile:
        shape = None
        if len(text) <= MAXIMUM_CLASSIFIED_BYTES:
            try:
                shape = fold(text)
            except LexicalError:
                shape = None
        if shape is not None:
            known = self._by_shape.get(shape)
            if known is not None:
                return known
        self.parsed += 1
        profile = classify(text)
        # The literals of statements that change the session matter; cache these by text only.
        if shape is not None and not profile.changes and len(shape) <= MAXIMUM_CACHED_TEXT_BYTES:
            self._by_shape.put(shape, profile)
        return profile


def _read_hints(text: bytes) -> StatementHints:
    try:
        pairs = dict(find_hints(text))
    except LexicalError:
        return NO_HINTS
    route = RouteHint.NONE
    if pairs.get("route") in (RouteHint.PRIMARY, RouteHint.REPLICA):
        route = RouteHint(pairs["route"])
    return StatementHints(
        once_key=pairs.get("once", ""),
        repeatable=pairs.get("repeatable", "yes").lower() not in ("no", "off", "false"),
        route=route,
    )

"""Source locations of items in operators' YAML, for error messages with file and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import yaml

from limedyke.settings.base import Model


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in a declaration file; ``line`` is 1-based, or 0 when no line is known."""

    file: str
    line: int
    key: str
    reason: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.key}: {self.reason}" if self.key else f"{place}: {self.reason}"


@dataclass(frozen=True, slots=True)
class LocatedItem:
    """A validated item with its source location."""

    item: Model
    file: str
    node: yaml.Node
    key: str

    def problem(self, reason: str, path: tuple = ()) -> Problem:
        """Return a problem located at a path inside this item."""
        line = line_at(self.node, path)
        return Problem(self.file, line, join_key(self.key, path), reason)


def join_key(key: str, path: Iterable) -> str:
    """Return the dotted key of a path inside an item, such as ``tenants.shop.users.0``."""
    return ".".join([key, *(str(part) for part in path)])


def line_at(node: yaml.Node, path: Iterable) -> int:
    """Return the 1-based line of the deepest node on the path that exists."""
    for part in path:
        inner = child(node, part)
        if inner is None:
            break
        node = inner
    return node.start_mark.line + 1


def child(node: yaml.Node, part: object) -> yaml.Node | None:
    """Return the node at a mapping's key or a sequence's index, or None if it does not exist."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return value
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int) and part < len(node.value):
        return node.value[part]
    return None

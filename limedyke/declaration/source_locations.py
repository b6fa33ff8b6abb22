"""Where an item stands in the operators' YAML, so that a problem names its file and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import yaml

from limedyke.settings.base import Model


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong in a file; ``line`` counts from 1, 0 when there is none."""

    file: str
    line: int
    key: str
    reason: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.key}: {self.reason}" if self.key else f"{place}: {self.reason}"


@dataclass(frozen=True, slots=True)
class LocatedItem:
    """A checked item and where it stands."""

    item: Model
    file: str
    node: yaml.Node
    key: str

    def problem(self, reason: str, path: tuple = ()) -> Problem:
        """Return a problem of this item at a path inside it."""
        line = line_at(self.node, path)
        return Problem(self.file, line, join_key(self.key, path), reason)


def join_key(key: str, path: Iterable) -> str:
    """Return the key of what a path reaches inside an item, such as ``tenants.shop.users.0``."""
    return ".".join([key, *(str(part) for part in path)])


def line_at(node: yaml.Node, path: Iterable) -> int:
    """Return the line of the deepest node that the path reaches."""
    for part in path:
        inner = child(node, part)
        if inner is None:
            break
        node = inner
    return node.start_mark.line + 1


def child(node: yaml.Node, part: object) -> yaml.Node | None:
    """Return the node under a mapping's key or at a sequence's position, if there is one."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return value
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int) and part < len(node.value):
        return node.value[part]
    return None

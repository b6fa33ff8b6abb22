"""Registry of internal message types, with a stable kind number for each class."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

MessageType = TypeVar("MessageType", bound=type)

CLASS_BY_KIND: dict[int, type] = {}
KIND_BY_CLASS: dict[type, int] = {}


def message(kind: int) -> Callable[[MessageType], MessageType]:
    """Register a frozen dataclass as an internal message.

    :param kind: stable number, never reused for another class
    :raises ValueError: if the number is taken by another class
    """

    def register(cls: MessageType) -> MessageType:
        taken_by = CLASS_BY_KIND.get(kind)
        if taken_by is not None and taken_by.__qualname__ != cls.__qualname__:
            raise ValueError(f"message kind {kind} is taken by {taken_by.__qualname__}")
        CLASS_BY_KIND[kind] = cls
        KIND_BY_CLASS[cls] = kind
        return cls

    return register

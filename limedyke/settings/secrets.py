"""Secrets of a process: passwords and keys by name."""

from __future__ import annotations


class Secrets:
    """Secret values by name; never logged."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def get(self, name: str) -> str | None:
        """Return the secret of that name, or None."""
        return self._values.get(name)

    def __repr__(self) -> str:
        return f"Secrets({len(self._values)} values)"

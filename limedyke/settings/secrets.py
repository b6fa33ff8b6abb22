"""Secrets of a process: passwords and keys by name."""

from __future__ import annotations


class Secrets:
    """Secret values by name; ``repr`` hides the values so that they can't reach a log."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def get(self, name: str) -> str | None:
        """Return the secret with this name, or None."""
        return self._values.get(name)

    def __repr__(self) -> str:
        return f"Secrets({len(self._values)} values)"

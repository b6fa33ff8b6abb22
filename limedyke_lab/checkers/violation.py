"""The result type of the checkers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from limedyke_lab.history import History


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule.

    :param checker: name of the checker that found it
    :param subject: request number, session or process concerned
    """

    checker: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.checker}: {self.subject}: {self.detail}"


Checker = Callable[[History], list[Violation]]

"""What applying one entry of the log gave."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.control import ControlUpdate


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """What applying one entry gave.

    :param answer: the answer to the operator's request in the entry, if it held one
    :param update: what changed for the proxies, if anything
    """

    answer: object | None = None
    update: ControlUpdate | None = None

"""The result of applying one log entry."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.control import ControlUpdate


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The result of applying one log entry to the control state.

    :param answer: the answer to the request in the entry, if it holds one
    :param update: the update to send to the proxies, if anything changed for them
    """

    answer: object | None = None
    update: ControlUpdate | None = None

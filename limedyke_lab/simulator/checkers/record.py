"""The input and output of the checkers: a run's history and final state, and violations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.members.member_log import Record


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule.

    :param checker: name of the rule
    :param time: true time in seconds at which it was observed
    :param subject: the request, proxy, member or plan concerned
    """

    checker: str
    time: float
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.checker} time={self.time:.3f} subject={self.subject} {self.detail}"


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A finished run.

    :param final_logs: records of each group's log at the end of the run, as held by a majority
    :param digests: digest of the declaration by revision, from the controllers' state
    :param connection_limits: number of member connections that may be leased, by group
    :param budgets: number of connections that may be leased, by group and tenant
    :param healed_at: true time after which no fault was injected
    """

    history: History
    final_logs: Mapping[str, tuple[Record, ...]]
    digests: Mapping[int, str] = field(default_factory=dict)
    connection_limits: Mapping[str, int] = field(default_factory=dict)
    budgets: Mapping[tuple[str, str], int] = field(default_factory=dict)
    healed_at: float = 0.0
    end: float = 0.0

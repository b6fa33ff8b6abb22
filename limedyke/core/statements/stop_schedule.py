"""What a proxy that was told to stop still takes, and by when it answers; sans-IO.

Times are seconds of a monotonic clock.  Each share counts from the signal, as a part of the time
that the process has until it is killed.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.statements import StatementKind

NEVER = float("inf")
TRANSACTIONS_SHARE = 0.4
"""Then the platform has taken the proxy out of service (2 s of 6), and what a transaction needs is
left to those begun before: none has to be ended half way."""
IDLE_SESSIONS_SHARE = 0.4
STATEMENTS_SHARE = 0.7
"""A statement taken last has 0.9 s of 6: more than 99 of 100 take (0.5 to 0.8 s on loaded days)."""
ANSWERS_SHARE = 0.85
END_SHARE = 0.92
"""The answers told last reach their clients, and the process ends, before it is killed: ending
takes 0.03 s, and a machine that is short of processor time pauses for 0.1 s."""
_BEGINS = frozenset({StatementKind.BEGIN, StatementKind.BEGIN_READ})


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Until when a stopping proxy does what.

    A statement is only taken while an answer can follow: a process that takes work for as long as
    it lives cuts what it took last (15 to 18 of 11,500 requests of a day on which proxies stop in
    overlapping series; none with the schedule, same seed).

    :param transactions_until: it lets transactions begin, and takes all work of other proxies
    :param idle_sessions_until: it keeps sessions that ask nothing
    :param statements_until: it takes statements and sessions, and keeps transactions open
    :param answers_until: it waits for members; then each statement is told what is known of it
    :param ends_at: it waits for clients to take their answers and close
    """

    transactions_until: float = NEVER
    idle_sessions_until: float = NEVER
    statements_until: float = NEVER
    answers_until: float = NEVER
    ends_at: float = NEVER

    @classmethod
    def of(cls, signalled_at: float, whole_s: float) -> StopSchedule:
        """Return the schedule of a stop.

        :param whole_s: seconds from the signal until the process is killed
        """
        return cls(
            signalled_at + TRANSACTIONS_SHARE * whole_s,
            signalled_at + IDLE_SESSIONS_SHARE * whole_s,
            signalled_at + STATEMENTS_SHARE * whole_s,
            signalled_at + ANSWERS_SHARE * whole_s,
            signalled_at + END_SHARE * whole_s,
        )

    def takes(self, kind: StatementKind, now: float) -> bool:
        """Tell whether a statement that begins an operation is taken now."""
        until = self.transactions_until if kind in _BEGINS else self.statements_until
        return now < until


@dataclass(slots=True)
class StopState:
    """Whether the process was told to stop; shared by all that takes work."""

    schedule: StopSchedule = StopSchedule()

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.schedule.ends_at < NEVER

    def begin(self, now: float, whole_s: float) -> StopSchedule:
        """Begin the stop; return its schedule."""
        self.schedule = StopSchedule.of(now, whole_s)
        return self.schedule

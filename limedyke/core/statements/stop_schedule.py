"""What a stopping proxy still accepts, and by when it answers; sans-IO.

Times are seconds of a monotonic clock.  Each share is a part of the time between the signal and the
moment at which the process is killed.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.statements import StatementKind

NEVER = float("inf")
TRANSACTIONS_SHARE = 0.4
"""By this time (2 s of 6) the platform has taken the proxy out of service. The rest is left to
transactions that have already begun, so that none is aborted midway."""
IDLE_SESSIONS_SHARE = 0.4
STATEMENTS_SHARE = 0.7
"""The last accepted statement has 0.9 s of 6, which is enough for more than 99 % (0.5 to 0.8 s on
loaded days)."""
ANSWERS_SHARE = 0.85
END_SHARE = 0.92
"""The rest is left for the last answers to reach their clients, and for the process to end before
it is killed. Ending takes 0.03 s, and a process short of processor time may pause for 0.1 s."""
_BEGINS = frozenset({StatementKind.BEGIN, StatementKind.BEGIN_READ})


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Time limits of a stopping proxy.

    A statement is accepted only while its answer can still be sent.  Accepting work until the
    process ends would cut off the last statements (15 to 18 of 11,500 requests on a day with
    overlapping rolling restarts; none with the schedule, same seed).

    :param transactions_until: accepts new transactions, and all work of other proxies
    :param idle_sessions_until: keeps idle sessions
    :param statements_until: accepts statements and sessions, and keeps transactions open
    :param answers_until: waits for members; afterwards statements get what is known of them
    :param ends_at: waits for clients to read their answers and close
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
        """Return whether a statement that begins an operation is accepted now."""
        until = self.transactions_until if kind in _BEGINS else self.statements_until
        return now < until


@dataclass(slots=True)
class StopState:
    """Whether the process was told to stop; shared by everything that accepts work."""

    schedule: StopSchedule = StopSchedule()

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.schedule.ends_at < NEVER

    def begin(self, now: float, whole_s: float) -> StopSchedule:
        """Begin the stop; return its schedule."""
        self.schedule = StopSchedule.of(now, whole_s)
        return self.schedule

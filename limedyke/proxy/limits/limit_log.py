"""Rate-limited log lines about operations that waited for a token or were refused."""

from __future__ import annotations

from limedyke.event_log import EventLog
from limedyke.proxy.statements.log_rate_limiter import LogRateLimiter

LINES_PER_SECOND = 20
MS_PER_S = 1_000
EVENTS = EventLog("limits")


class LimitLog:
    """Logs, by request id, why an operation waited or was refused.

    :param now: seconds of the monotonic clock
    """

    def __init__(self, now: float) -> None:
        self._budget = LogRateLimiter(LINES_PER_SECOND, now)

    def waited(self, request: str, tenant: str, priority: int, waited_s: float, now: float) -> None:
        """Log that an operation runs after waiting for its token."""
        if self._budget.take(now):
            waited_ms = int(waited_s * MS_PER_S)
            EVENTS.info(
                "token-waited-for",
                request=request,
                tenant=tenant,
                priority=priority,
                waited_ms=waited_ms,
            )

    def refused(
        self,
        request: str,
        tenant: str,
        priority: int,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Log that an operation was refused, and its retry delay."""
        if self._budget.take(now):
            EVENTS.info(
                "operation-refused",
                request=request,
                tenant=tenant,
                priority=priority,
                reason=reason,
                retry_after_ms=int(retry_after_s * MS_PER_S),
            )

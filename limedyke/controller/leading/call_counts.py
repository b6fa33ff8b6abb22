"""Counts the calls that the leader answers, by kind and outcome."""

from __future__ import annotations

from collections import Counter

from limedyke.controller.metrics import ControllerMetrics
from limedyke.event_log import EventLog
from limedyke.messages.calls import (
    AnnounceCall,
    AwaitMembershipCall,
    Call,
    CallAnswer,
    DeclareCall,
    ReadDeclarationCall,
    WithdrawCall,
)

LOG_INTERVAL_S = 5.0
"""Seconds between two log lines about the load of a busy leader."""
CALL_KINDS = {
    DeclareCall: "declare",
    ReadDeclarationCall: "read",
    AnnounceCall: "announce",
    WithdrawCall: "withdraw",
    AwaitMembershipCall: "await-membership",
}
EVENTS = EventLog("calls")


class CallCounts:
    """Counts calls for ``/metrics`` and for a periodic log line.

    :param now: seconds of the controller's clock
    """

    def __init__(self, metrics: ControllerMetrics, now: float) -> None:
        self._metrics = metrics
        self._recent_counts: Counter[str] = Counter()
        self._recent_seconds: Counter[str] = Counter()
        self._counted_since = now

    def answered(self, call: Call, answer: CallAnswer, began_at: float, now: float) -> None:
        """Count a call; a call forwarded to another controller is counted there.

        :param began_at: when the call arrived, by the same clock as ``now``
        """
        kind = CALL_KINDS[type(call)]
        outcome = f"LD{answer.code}" if answer.code else "ok"
        self._metrics.calls.labels(kind, outcome).inc()
        self._recent_counts[f"{kind}/{outcome}"] += 1
        self._recent_seconds[f"{kind}/{outcome}"] += now - began_at
        if now >= self._counted_since + LOG_INTERVAL_S:
            self._log_counts(now)

    def _log_counts(self, now: float) -> None:
        mean_ms = {
            name: 1_000 * self._recent_seconds[name] / n for name, n in self._recent_counts.items()
        }
        EVENTS.info(
            "calls-answered",
            in_s=round(now - self._counted_since, 1),
            counts=",".join(f"{name}:{n}" for name, n in sorted(self._recent_counts.items())),
            mean_ms=",".join(f"{name}:{ms:.0f}" for name, ms in sorted(mean_ms.items())),
        )
        self._recent_counts.clear()
        self._recent_seconds.clear()
        self._counted_since = now

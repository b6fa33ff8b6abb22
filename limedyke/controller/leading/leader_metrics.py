"""Counts the leader's events and commands for ``/metrics``."""

from __future__ import annotations

from limedyke.controller.metrics import ControllerMetrics
from limedyke.core.control.events import (
    AnswerHeartbeat,
    DisconnectProxy,
    LeaderCommand,
    LeaderEvent,
    MemberReported,
    PromotionAnswered,
    SendToProxy,
)
from limedyke.core.control.leader import LEASES_EXPIRED
from limedyke.messages.control import ControlUpdate, LeaseUpdate, PromoteOrder
from limedyke.metrics import PromotionOutcome

GRANTED = "granted"
TAKEN_BACK = "taken-back"


class LeaderMetrics:
    """Turns the events and commands of one leadership into counts.

    :param metrics: the metrics of the process
    """

    def __init__(self, metrics: ControllerMetrics) -> None:
        self._metrics = metrics
        self._lost_at: dict[str, float] = {}

    def heard(self, event: LeaderEvent) -> None:
        """Count an event that the leader received."""
        match event:
            case MemberReported():
                self._metrics.member_reports.labels(event.report.health.value).inc()
            case PromotionAnswered():
                done = PromotionOutcome.DONE if event.primary else PromotionOutcome.FAILED
                self._metrics.promotions.labels(done.value).inc()

    def decided(self, command: LeaderCommand) -> None:
        """Count a command that the leader's decisions issued."""
        match command:
            case AnswerHeartbeat():
                self._metrics.heartbeats.inc()
            case SendToProxy(message=PromoteOrder()):
                self._metrics.promotions.labels(PromotionOutcome.STARTED.value).inc()
            case SendToProxy(message=LeaseUpdate()):
                for lease in command.message.leases:
                    kind = GRANTED if lease.connections else TAKEN_BACK
                    self._metrics.lease_changes.labels(kind).inc()
            case DisconnectProxy(reason=reason) if reason == LEASES_EXPIRED:
                self._metrics.leases_expired.inc()

    def state_changed(self, update: ControlUpdate, now: float) -> None:
        """Measure how long a group has no recorded primary.

        :param now: seconds of the controller's clock
        """
        for primary in update.primaries:
            if not primary.primary:
                self._lost_at.setdefault(primary.group, now)
                continue
            lost_at = self._lost_at.pop(primary.group, None)
            if lost_at is not None:
                self._metrics.promotion_seconds.observe(now - lost_at)

"""Tells operators which controllers vote, and when fewer do than the losses to bear need."""

from __future__ import annotations

from collections.abc import Collection

import curio

from limedyke.controller.clock import boot_seconds
from limedyke.controller.metrics import ControllerMetrics
from limedyke.controller.replica import Replica
from limedyke.event_log import EventLog
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration

CHECK_INTERVAL_S = 0.1
EVENTS = EventLog("voters")


class VoterWatch:
    """Logs changes of the members and of the number of voters, and keeps the gauges.

    Times are seconds of the controller's clock.

    :param wanted: the target number of voters
    :param silence_limit_s: a voter silent for longer does not count as responding
    """

    def __init__(
        self, replica: Replica, wanted: int, silence_limit_s: float, metrics: ControllerMetrics
    ) -> None:
        self._replica = replica
        self._wanted = wanted
        self._silence_limit_s = silence_limit_s
        self._metrics = metrics
        self._known = MemberConfiguration()
        self._few_since: float | None = None

    async def run(self) -> None:
        """Check the voters periodically until cancelled."""
        while True:
            self.check(boot_seconds())
            await curio.sleep(CHECK_INTERVAL_S)

    def check(self, now: float) -> None:
        """Compare the voters with those of the last check."""
        if not self._replica.leads:
            self._known = MemberConfiguration()
            self._few_since = None
            self._set_gauges(0, 0, 0)
            return
        configuration = self._replica.agreement.configuration
        if configuration != self._known:
            self._known = configuration
            _log_members(configuration)
        self._check_voters(configuration, now)

    def _check_voters(self, configuration: MemberConfiguration, now: float) -> None:
        """Log the beginning and the end of a time with fewer responding voters than wanted."""
        silent = self._silent_voters(configuration, now)
        configured = len(configuration.voters)
        responding = configured - len(silent)
        self._set_gauges(configured, responding, self._wanted)
        if responding >= self._wanted:
            if self._few_since is not None:
                EVENTS.info("enough-voters", after_s=round(now - self._few_since, 1))
            self._few_since = None
        elif self._few_since is None:
            self._few_since = now
            EVENTS.warning(
                "too-few-voters", wanted=self._wanted, configured=configured, silent=_names(silent)
            )

    def _silent_voters(
        self, configuration: MemberConfiguration, now: float
    ) -> list[ControllerIdentity]:
        progress = self._replica.agreement.member_progress()
        return [
            voter
            for voter in configuration.voters
            if voter in progress and now - progress[voter].last_response_at > self._silence_limit_s
        ]

    def _set_gauges(self, configured: int, responding: int, wanted: int) -> None:
        self._metrics.voters.labels("configured").set(configured)
        self._metrics.voters.labels("responding").set(responding)
        self._metrics.voters.labels("wanted").set(wanted)


def _log_members(configuration: MemberConfiguration) -> None:
    EVENTS.info(
        "members",
        voters=_names(configuration.voters),
        learners=_names(configuration.learners),
        previous_voters=_names(configuration.previous_voters),
    )


def _names(identities: Collection[ControllerIdentity]) -> str:
    return ",".join(str(identity) for identity in identities) or "none"

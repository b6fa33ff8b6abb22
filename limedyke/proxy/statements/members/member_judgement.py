"""Logs when a member starts or stops failing or being throttled, and why."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.event_log import EventLog

EVENTS = EventLog("pools")
HELD_BACK_SHARE = 0.5
"""A member counts as held back while its concurrency limit is at most this share of the initial
limit."""


@dataclass(slots=True)
class MemberJudgement:
    """The status of one member that was last logged."""

    is_failing: bool = False
    is_held_back: bool = False

    def look(self, group: str, observed: ObservedMember, now: float) -> None:
        """Log each status that has changed since the last call."""
        quality, concurrency = observed.quality, observed.concurrency
        is_failing = quality.is_failing(now)
        if is_failing != self.is_failing:
            self.is_failing = is_failing
            EVENTS.warning(
                "member-fails" if is_failing else "member-trusted",
                group=group,
                member=observed.record.identity,
                failing_share=round(quality.failing_share(now), 2),
                last=quality.last_failure or "none",
                episodes=quality.episodes,
                recovery_ms=int(quality.recovery_s * 1_000),
            )
        is_held_back = concurrency.limit <= HELD_BACK_SHARE * concurrency.start
        if is_held_back != self.is_held_back:
            self.is_held_back = is_held_back
            EVENTS.info(
                "member-held-back" if is_held_back else "member-has-room",
                group=group,
                member=observed.record.identity,
                limit=concurrency.limit,
                under_way=observed.under_way(now),
                waiting=observed.waiting,
                slowness=round(concurrency.slowness, 1),
                last=concurrency.last_fall or "none",
                turned_away=concurrency.turned_away_count,
            )

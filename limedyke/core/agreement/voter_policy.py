"""Chooses the leader's next automatic membership change; sans-IO.

Controllers that are not members announce themselves, and the leader adds them as learners. A
caught-up learner is promoted to voter in three cases: it replaces the voter of its own name, whose
disk is lost; there are fewer voters than wanted; or it replaces a voter that has been silent too
long.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from limedyke.core.agreement.events import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration

STANDBYS_WANTED = 3
"""Learners kept in addition to the wanted voters, ready to replace a lost one."""
ANNOUNCEMENTS_MISSED = 3
FORGET_LEARNER_FACTOR = 4
"""A learner is removed after this multiple of the voters' silence limit."""


@dataclass(frozen=True, slots=True)
class WaitingController:
    """A controller that is not a member and has announced itself.

    :param announced_at: time of its last announcement, in seconds of the leader's clock
    :param interval_s: the announcement interval that it was asked to keep
    """

    identity: ControllerIdentity
    address: str
    announced_at: float
    interval_s: float = 0.0

    def is_present(self, now: float, least_age_s: float) -> bool:
        """Tell whether it has announced itself recently.

        :param least_age_s: the lower bound for the accepted age; it grows to three announcement
            intervals
        """
        return now - self.announced_at <= max(least_age_s, ANNOUNCEMENTS_MISSED * self.interval_s)


@dataclass(frozen=True, slots=True)
class VoterPolicy:
    """The wanted members.

    :param voters_wanted: the target number of voters
    :param silence_limit_s: a voter silent for longer is replaced when a learner is ready
    :param announcement_age_s: announcements older than this are ignored, unless their interval is
        long
    """

    voters_wanted: int
    silence_limit_s: float
    announcement_age_s: float = 3.0

    def next_change(
        self,
        configuration: MemberConfiguration,
        caught_up: Collection[ControllerIdentity],
        last_response_at: Mapping[ControllerIdentity, float],
        waiting: Collection[WaitingController],
        now: float,
    ) -> MembershipChange | None:
        """Return the next change, or None if none is needed.

        :param caught_up: learners that hold all committed entries
        :param last_response_at: when each other member last responded, or was heard before the
            leader began to lead
        :param waiting: the controllers that have announced themselves
        """
        for learner in configuration.learners:
            if learner in caught_up:
                change = self._promotion_of(learner, configuration, last_response_at, now)
                if change is not None:
                    return change
        return self._addition(configuration, waiting, now) or self._removal(
            configuration, last_response_at, now
        )

    def _promotion_of(
        self,
        learner: ControllerIdentity,
        configuration: MemberConfiguration,
        last_response_at: Mapping[ControllerIdentity, float],
        now: float,
    ) -> PromoteLearner | None:
        for voter in configuration.voters:
            if voter.name == learner.name:
                return PromoteLearner(learner, replaces=voter)
        if len(configuration.voters) < self.voters_wanted:
            return PromoteLearner(learner)
        silent = self._most_silent(configuration.voters, last_response_at)
        if silent is not None and now - last_response_at[silent] > self.silence_limit_s:
            return PromoteLearner(learner, replaces=silent)
        return None

    def _most_silent(
        self,
        members: Collection[ControllerIdentity],
        last_response_at: Mapping[ControllerIdentity, float],
    ) -> ControllerIdentity | None:
        others = [member for member in members if member in last_response_at]
        return min(others, key=lambda member: last_response_at[member], default=None)

    def _addition(
        self,
        configuration: MemberConfiguration,
        waiting: Collection[WaitingController],
        now: float,
    ) -> AddLearner | None:
        members = configuration.voters + configuration.learners
        names = {member.name for member in members}
        room = self.voters_wanted + STANDBYS_WANTED - len(members)
        for controller in sorted(waiting, key=lambda found: found.identity.name):
            if controller.identity in members:
                continue
            if not controller.is_present(now, self.announcement_age_s):
                continue
            if room > 0 or controller.identity.name in names:
                return AddLearner(controller.identity)
        return None

    def _removal(
        self,
        configuration: MemberConfiguration,
        last_response_at: Mapping[ControllerIdentity, float],
        now: float,
    ) -> RemoveMember | None:
        silent = self._most_silent(configuration.learners, last_response_at)
        limit_s = FORGET_LEARNER_FACTOR * self.silence_limit_s
        if silent is not None and now - last_response_at[silent] > limit_s:
            return RemoveMember(silent)
        return None

"""Which change of the members the leader should make next, without an operator; sans-IO.

Controllers that are no members announce themselves.  The leader makes them learners, and a
caught-up learner a voter: in place of the voter of its name (whose disk is lost), while there
are fewer voters than wanted, or in place of a voter that has been silent for long.
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
"""Learners kept beside the wanted voters, ready to replace one that is lost."""
ANNOUNCEMENTS_MISSED = 3
FORGET_LEARNER_FACTOR = 4
"""A learner silent for so many times the limit of voters is dropped."""


@dataclass(frozen=True, slots=True)
class WaitingController:
    """A controller that is no member and announced itself.

    :param announced_at: seconds of the leader's clock
    :param interval_s: after which it was asked to announce itself again
    """

    identity: ControllerIdentity
    address: str
    announced_at: float
    interval_s: float = 0.0

    def is_present(self, now: float, least_age_s: float) -> bool:
        """Tell whether it was heard within the last three announcements, or within an age."""
        return now - self.announced_at <= max(least_age_s, ANNOUNCEMENTS_MISSED * self.interval_s)


@dataclass(frozen=True, slots=True)
class VoterPolicy:
    """The wanted members.

    :param voters_wanted: how many voters there should be
    :param silence_limit_s: a voter silent for longer is replaced when a learner is ready
    :param announcement_age_s: an announcement older than this counts no more
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
        """Return the next change, or None when all is as wanted.

        :param caught_up: learners that hold all committed entries
        :param last_response_at: when each other member last answered the leader
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

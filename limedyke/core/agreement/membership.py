"""Rules for membership changes: one voter is added, removed or replaced at a time.

A replacement takes two entries (joint consensus). The first entry names the old and the new voters;
from then on elections and commits need majorities of both sets. Once it is committed, the leader
appends the second entry, which names only the new voters and ends the joint phase. The second entry
is needed because a controller that restarts does not know which entries of its log are committed:
it also needs a majority of the old voters as long as the first entry is the newest configuration in
its log.
"""

from __future__ import annotations

from dataclasses import replace

from result import Err, Ok, Result

from limedyke.core.agreement.events import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from limedyke.messages.agreement import ControllerIdentity, MemberConfiguration
from limedyke.result_codes import Failure, ResultCode

MAXIMUM_MEMBERS = 12
"""Limit on voters and learners together: seven voters and up to five learners to replace them."""


def _refuse(detail: str) -> Err[Failure]:
    return Err(Failure(ResultCode.MEMBERSHIP_CHANGE_REFUSED, detail))


def change_configuration(
    configuration: MemberConfiguration,
    change: MembershipChange,
    leader: ControllerIdentity,
    caught_up: frozenset[ControllerIdentity],
) -> Result[MemberConfiguration, Failure]:
    """Return the configuration after one change, or why it is refused.

    :param caught_up: the learners that hold all committed entries
    """
    match change:
        case AddLearner():
            return _add_learner(configuration, change)
        case PromoteLearner():
            return _promote_learner(configuration, change, leader, caught_up)
        case RemoveMember():
            return _remove_member(configuration, change, leader)


def without_previous_voters(configuration: MemberConfiguration) -> MemberConfiguration:
    """Return the configuration that ends the joint phase of a replacement."""
    return replace(configuration, previous_voters=())


def _add_learner(
    configuration: MemberConfiguration, change: AddLearner
) -> Result[MemberConfiguration, Failure]:
    identity = change.identity
    if identity in configuration.voters or identity in configuration.learners:
        return _refuse(f"{identity} is a member already")
    learners = tuple(other for other in configuration.learners if other.name != identity.name)
    if len(configuration.voters) + len(learners) >= MAXIMUM_MEMBERS:
        return _refuse(f"there are {MAXIMUM_MEMBERS} members already")
    return Ok(replace(configuration, learners=(*learners, identity), previous_voters=()))


def _promote_learner(
    configuration: MemberConfiguration,
    change: PromoteLearner,
    leader: ControllerIdentity,
    caught_up: frozenset[ControllerIdentity],
) -> Result[MemberConfiguration, Failure]:
    identity = change.identity
    if identity not in configuration.learners:
        return _refuse(f"{identity} is no learner")
    if identity not in caught_up:
        return _refuse(f"{identity} does not hold all committed entries yet")
    if change.replaces is not None and change.replaces not in configuration.voters:
        return _refuse(f"{change.replaces} is no voter")
    if change.replaces == leader:
        return _refuse(f"{leader} leads; transfer the leadership first")
    namesakes = [voter for voter in configuration.voters if voter.name == identity.name]
    if namesakes and change.replaces != namesakes[0]:
        return _refuse(f"{namesakes[0]} has the same name and must be replaced by the promotion")
    remaining = tuple(voter for voter in configuration.voters if voter != change.replaces)
    return Ok(
        replace(
            configuration,
            voters=(*remaining, identity),
            learners=tuple(other for other in configuration.learners if other != identity),
            previous_voters=configuration.voters if change.replaces is not None else (),
        )
    )


def _remove_member(
    configuration: MemberConfiguration, change: RemoveMember, leader: ControllerIdentity
) -> Result[MemberConfiguration, Failure]:
    identity = change.identity
    if identity == leader:
        return _refuse(f"{leader} leads; transfer the leadership first")
    if identity in configuration.learners:
        learners = tuple(other for other in configuration.learners if other != identity)
        return Ok(replace(configuration, learners=learners, previous_voters=()))
    if identity not in configuration.voters:
        return _refuse(f"{identity} is no member")
    return Ok(_without_voter(configuration, identity))


def _without_voter(
    configuration: MemberConfiguration, identity: ControllerIdentity
) -> MemberConfiguration:
    """Return the configuration without one voter."""
    voters = tuple(voter for voter in configuration.voters if voter != identity)
    return replace(configuration, voters=voters, previous_voters=())

"""Which member serves a read; sans-IO."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from limedyke.core.statements.member_belief import MemberBelief
from limedyke.messages.control import MemberHealth
from limedyke.messages.work import LogPosition

OTHER_ZONE_COST_S = 0.02
"""Bytes between zones cost money: a member elsewhere must be faster by so much."""
PAUSED_COST_S = 10.0


def order_for_read(
    members: Iterable[MemberBelief],
    primary: str,
    required: LogPosition | None,
    zone: str,
    excluded: Collection[str],
    now: float,
) -> list[MemberBelief]:
    """Return the members that may serve a read, the best first.

    Those that can't be reached are left out: the proxy probes them, and an answer brings them back.

    :param primary: identity of the recorded primary, or empty
    :param required: a position that a replica must have reached; None: only the primary will do
    :param zone: of this proxy
    :param excluded: members that were tried already
    """
    able = [
        member
        for member in members
        if member.is_ready and member.health is not MemberHealth.UNREACHABLE
        if member.record.identity not in excluded
        if member.record.identity == primary or _may_hold(member, required, now)
    ]
    return sorted(able, key=lambda member: cost_s(member, zone, now))


def _may_hold(member: MemberBelief, required: LogPosition | None, now: float) -> bool:
    if required is None:
        return False
    return member.position >= required or now >= member.behind_until


def cost_s(member: MemberBelief, zone: str, now: float) -> float:
    """Return what a statement is expected to cost at a member, in seconds.

    One that has been silent for some time, while answers are awaited, is expected to be silent for
    as long again: reads leave it well before its silence proves that it is lost.
    """
    crowd = (member.outstanding + member.waiting) / max(1, member.record.capacity)
    cost = member.expected_s(now) * (1.0 + crowd)
    if member.record.zone != zone:
        cost += OTHER_ZONE_COST_S
    if now < member.paused_until:
        cost += PAUSED_COST_S
    return cost

"""Which member serves a read; sans-IO.

Load answered: many home proxies choose among a few members that are unevenly quick, crowded or
broken. A read goes where it is expected to be served soonest: the time of an answer there, what
waits before it, a connection to be opened for its tenant, and what failures cost its caller.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.messages.control import MemberHealth
from limedyke.messages.work import LogPosition

OTHER_ZONE_COST_S = 0.02
"""Bytes between zones cost money: a member elsewhere must be faster by so much."""
PAUSED_COST_S = 10.0
FAILURE_COST_S = 0.5
"""What a failed answer costs where the caller's target latency is not known."""
ALIKE_SHARE = 0.25
"""Members that are expected to cost so much more than the best are still like it: proxies that all
took the very best of old views would crowd it."""
NO_WAITS: Mapping[str, float] = {}


def order_for_read(
    members: Iterable[ObservedMember],
    primary: str,
    required: LogPosition | None,
    zone: str,
    excluded: Collection[str],
    now: float,
    waits_s: Mapping[str, float] = NO_WAITS,
    failure_cost_s: float = FAILURE_COST_S,
    generator: random.Random | None = None,
    held_since: float | None = None,
) -> list[ObservedMember]:
    """Return the members that may serve a read, the best first.

    Those that can't be reached are left out: the proxy probes them, and an answer brings them back.

    :param primary: identity of the recorded primary, or empty
    :param required: a position that a replica must have reached; None: only the primary will do
    :param zone: of this proxy
    :param excluded: members that were tried already
    :param waits_s: how long the read would wait for a connection, by member; those that are
        left out here are judged by how many wait there
    :param failure_cost_s: what a failed answer costs the caller, such as its target latency
    :param generator: draws among members that are alike; None to take the best
    :param held_since: when the primary held the position; None when that is not known
    """
    able = [
        member
        for member in members
        if accepts_reads(member) and member.record.identity not in excluded
        if member.record.identity == primary or ready_in_s(member, required, held_since, now) == 0.0
    ]
    if len(able) < 2:
        return able
    costs = {
        member.record.identity: cost_s(
            member, zone, now, waits_s.get(member.record.identity), failure_cost_s
        )
        for member in able
    }
    ordered = sorted(able, key=lambda member: costs[member.record.identity])
    return ordered if generator is None else _spread(ordered, costs, zone, generator)


def soonest_replica(
    members: Iterable[ObservedMember],
    primary: str,
    required: LogPosition | None,
    zone: str,
    now: float,
    held_since: float | None,
    instead_s: float,
) -> tuple[ObservedMember, float] | None:
    """Return a replica that a read had better wait for, and how long it waits; None without one.

    :param held_since: when the primary held the position; None when that is not known
    :param instead_s: what the read is expected to cost at the best member that may serve it now
    """
    waits = [
        (wait_s + cost_s(member, zone, now), wait_s, index, member)
        for index, member in enumerate(members)
        if accepts_reads(member) and member.record.identity != primary
        if 0.0 < (wait_s := ready_in_s(member, required, held_since, now)) < math.inf
    ]
    if not waits:
        return None
    whole_s, wait_s, _, member = min(waits)
    return (member, wait_s) if whole_s < instead_s else None


def ready_in_s(
    member: ObservedMember, required: LogPosition | None, held_since: float | None, now: float
) -> float:
    """Return in what time a replica is expected to hold a position; 0 when it may hold it now."""
    if required is None:
        return math.inf
    if member.position >= required:
        return 0.0
    return member.lag.ready_in_s(required, held_since, now)


def accepts_reads(member: ObservedMember) -> bool:
    """Tell whether a member takes reads at all, as far as is known."""
    return member.is_ready and member.health is not MemberHealth.UNREACHABLE


def _spread(
    ordered: list[ObservedMember], costs: Mapping[str, float], zone: str, generator: random.Random
) -> list[ObservedMember]:
    """Put one drawn among those alike first: what is under way there soon tells them apart.

    One of another zone is never like one of the own.
    """
    best = ordered[0]
    limit_s = costs[best.record.identity] * (1.0 + ALIKE_SHARE)
    is_near = best.record.zone == zone
    alike = [
        member
        for member in ordered
        if costs[member.record.identity] <= limit_s and (member.record.zone == zone) == is_near
    ]
    chosen = generator.choice(alike)
    return [chosen, *(member for member in ordered if member is not chosen)]


def cost_s(
    member: ObservedMember,
    zone: str,
    now: float,
    wait_s: float | None = None,
    failure_cost_s: float = FAILURE_COST_S,
) -> float:
    """Return what a statement is expected to cost at a member, in seconds.

    One that has been silent for some time, while answers are awaited, is expected to be silent for
    as long again: reads leave it well before its silence proves that it is lost.

    :param wait_s: how long a connection is waited for there; None to go by how many wait
    """
    slot_s = member.usual_s(now) / max(1, member.record.capacity)
    cost = member.expected_s(now) + slot_s * member.crowd(now)
    cost += slot_s * member.waiting if wait_s is None else wait_s
    cost += member.quality.failing_share(now) * failure_cost_s
    if member.record.zone != zone:
        cost += OTHER_ZONE_COST_S
    if now < member.paused_until or now < member.busy_until:
        cost += PAUSED_COST_S
    return cost

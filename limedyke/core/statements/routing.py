"""Choice of the member that serves a read; sans-IO.

Many home proxies choose among few members, which may be unequally fast, overloaded or failing.  A
read goes to the member with the lowest expected cost: the time of an answer there, the requests
waiting before it, a connection to open for its tenant, and the cost of failures to its caller.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping

from limedyke.core.statements.observed_member import ObservedMember
from limedyke.messages.control import MemberHealth
from limedyke.messages.work import LogPosition

OTHER_ZONE_COST_S = 0.02
"""Traffic between zones costs money, so a member in another zone must be faster by this much."""
PAUSED_COST_S = 10.0
FAILURE_COST_S = 0.5
"""Cost of a failed answer if the caller's target latency is not known."""
EQUAL_COST_SHARE = 0.25
"""Members whose cost exceeds the lowest by at most this share count as equal. If all proxies chose
the single best member from outdated views, they would overload it."""
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

    Unreachable members are left out; the proxy probes them until they answer again.

    :param primary: identity of the recorded primary, or empty
    :param required: position that a replica must have reached; None if only the primary may serve
    :param zone: zone of this proxy
    :param excluded: members that were already tried
    :param waits_s: expected wait for a connection by member; for members not in it the number of
        waiting requests is used
    :param failure_cost_s: cost of a failed answer to the caller, such as its target latency
    :param generator: chooses among equal members; None for the best one
    :param held_since: when the primary reached the position; None if unknown
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
    """Return the replica that a read should wait for and the wait; None if there is none.

    :param held_since: when the primary reached the position; None if unknown
    :param instead_s: expected cost of the read at the best member that may serve it now
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
    """Return the expected time until a replica reaches a position; 0 if it may have done so."""
    if required is None:
        return math.inf
    if member.position >= required:
        return 0.0
    return member.lag.ready_in_s(required, held_since, now)


def accepts_reads(member: ObservedMember) -> bool:
    """Return whether a member is known to accept reads."""
    return member.is_ready and member.health is not MemberHealth.UNREACHABLE


def _spread(
    ordered: list[ObservedMember], costs: Mapping[str, float], zone: str, generator: random.Random
) -> list[ObservedMember]:
    """Put a random one of the equal members first; their loads soon make them differ.

    Members of another zone never equal those of the proxy's zone.
    """
    best = ordered[0]
    limit_s = costs[best.record.identity] * (1.0 + EQUAL_COST_SHARE)
    is_near = best.record.zone == zone
    equals = [
        member
        for member in ordered
        if costs[member.record.identity] <= limit_s and (member.record.zone == zone) == is_near
    ]
    chosen = generator.choice(equals)
    return [chosen, *(member for member in ordered if member is not chosen)]


def cost_s(
    member: ObservedMember,
    zone: str,
    now: float,
    wait_s: float | None = None,
    failure_cost_s: float = FAILURE_COST_S,
) -> float:
    """Return the expected cost of a statement at a member, in seconds.

    A member that has been silent for some time, while answers are awaited, is expected to stay
    silent for as long again.  Reads thus avoid it well before it counts as lost.

    :param wait_s: expected wait for a connection; None to use the number of waiting requests
    """
    slot_s = member.usual_s(now) / max(1, member.record.capacity)
    cost = member.expected_s(now) + slot_s * member.total_load(now)
    cost += slot_s * member.waiting if wait_s is None else wait_s
    cost += member.quality.failing_share(now) * failure_cost_s
    if member.record.zone != zone:
        cost += OTHER_ZONE_COST_S
    if now < member.paused_until or now < member.busy_until:
        cost += PAUSED_COST_S
    return cost

"""Choice of the member for a unit of work, as a pure function of known state; sans-IO."""

from __future__ import annotations

import enum
from collections.abc import Collection
from dataclasses import dataclass

from limedyke.core.group_view import GroupView, MemberState
from limedyke.messages.control import MemberHealth
from limedyke.messages.work import Access, LogPosition

MS_PER_S = 1_000.0
FIRST_TERM = 1
SAME_DELAY_S = 0.005


class RoutingReason(enum.StrEnum):
    """Why a member was chosen, or why none was."""

    WRITE = "write-to-primary"
    CAUGHT_UP_REPLICA = "caught-up-replica"
    REPLICA_AFTER_WAIT = "replica-after-wait"
    NO_REPLICA = "no-replica-to-primary"
    REPLICAS_BEHIND = "replicas-behind-to-primary"
    NO_PRIMARY = "no-primary"
    NO_MEMBER = "no-member"


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Properties of a unit that routing needs.

    :param required: position that a replica must have reached
    :param zone: zone of this proxy
    :param replica_wait_ms: how much later than the primary's a replica's answer may arrive
    """

    access: Access
    required: LogPosition
    zone: str
    replica_wait_ms: int


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The chosen member, or an empty name.

    :param wait_s: time to wait before asking the replica
    """

    member: str
    reason: RoutingReason
    wait_s: float = 0.0
    is_primary: bool = False


_NO_PRIMARY = RoutingDecision("", RoutingReason.NO_PRIMARY)


def choose_member(
    view: GroupView, request: RoutingRequest, now: float, excluded: Collection[str] = ()
) -> RoutingDecision:
    """Choose the member for a unit of work.

    :param now: seconds of the monotonic clock that the view uses
    :param excluded: members that already failed this unit
    """
    if request.access is Access.WRITE:
        return _primary(view, RoutingReason.WRITE, excluded)
    replicas = [
        state
        for state in view.members.values()
        if state.name != view.primary
        and state.is_replica is not False
        and not state.leaving
        and state.health is not MemberHealth.UNREACHABLE
        and state.name not in excluded
    ]
    if not replicas:
        return _primary(view, RoutingReason.NO_REPLICA, excluded)
    options = [
        option for state in replicas if (option := _option(view, state, request, now)) is not None
    ]
    if not options:
        return _primary(view, RoutingReason.REPLICAS_BEHIND, excluded)
    best = min(options, key=lambda option: _preference(option, request.zone))
    reason = RoutingReason.REPLICA_AFTER_WAIT if best.wait_s else RoutingReason.CAUGHT_UP_REPLICA
    return RoutingDecision(best.state.name, reason, best.wait_s)


@dataclass(frozen=True, slots=True)
class _Option:
    """A replica that may serve after a wait."""

    state: MemberState
    wait_s: float


def _option(
    view: GroupView, state: MemberState, request: RoutingRequest, now: float
) -> _Option | None:
    """Return a replica as an option, or None if its answer would arrive too late."""
    if not _may_satisfy(state, request.required):
        return None
    wait_s = view.wait_for_replica_s(state, request.required, now)
    allowed_s = request.replica_wait_ms / MS_PER_S
    primary = view.primary_state()
    if primary is not None:
        allowed_s += max(0.0, primary.round_trip_s - state.round_trip_s)
    return _Option(state, wait_s) if wait_s <= allowed_s else None


def _primary(view: GroupView, reason: RoutingReason, excluded: Collection[str]) -> RoutingDecision:
    state = view.primary_state()
    if state is None or state.name in excluded:
        return _NO_PRIMARY
    return RoutingDecision(state.name, reason, is_primary=True)


def _may_satisfy(state: MemberState, required: LogPosition) -> bool:
    """Tell whether the replica's term allows it to serve; the answer on its connection decides.

    A member that answered term 0 has no log verified by any primary, for example after a restart
    or the loss of its data.
    """
    if state.seen_at == 0.0:
        return True
    return state.place.term >= max(required.term, FIRST_TERM)


def _preference(option: _Option, zone: str) -> tuple[bool, int, bool, float, str]:
    """Return the sort key of replicas: unsaturated, fast, same zone, least loaded per slot."""
    state = option.state
    return (
        state.saturated or state.health is MemberHealth.SATURATED,
        int((option.wait_s + state.round_trip_s) / SAME_DELAY_S),
        state.zone != zone,
        (state.outstanding + state.waiting) / state.in_flight_limit,
        state.name,
    )

"""Builds the operator's report on the load of members, from the leader's lease table."""

from __future__ import annotations

from collections.abc import Iterable

from limedyke.core.control.group_leases import GroupLeases
from limedyke.core.control.lease_table import LeaseTable
from limedyke.core.control.state import ControlState
from limedyke.core.member_caps import cap_of
from limedyke.messages.operator import LoadReport, LoadRequest, MemberLoad, ProxyUse

BY_DEMAND = "half equally, half by demand"
DEMAND_NOT_REPORTED = "equally: no home proxy tells its demand"
EQUALLY = "equally: the members are declared"


def load_report(request: LoadRequest, state: ControlState, leases: LeaseTable) -> LoadReport:
    """Return the load of each member of the requested group, or of all groups."""
    members: list[MemberLoad] = []
    for name in sorted(state.declared.groups):
        known = leases.group(name)
        if request.group in ("", name) and known is not None:
            members += _members_of(name, known, state)
    return LoadReport(request.request_id, tuple(members))


def _members_of(group: str, leases: GroupLeases, state: ControlState) -> Iterable[MemberLoad]:
    recorded = state.primaries.get(group)
    primary = recorded.primary if recorded is not None else ""
    declared = state.declared.groups[group]
    states = {member.name: "declared" for member in declared.members}
    for member in state.announced.values():
        if member.group == group:
            states[member.identity] = member.state.value
    for name in sorted(states):
        uses = tuple(_use(proxy, name, leases) for proxy in sorted(leases.holders()))
        cap = cap_of(declared, name)
        demands = [leases.demand_of(use.proxy, name) for use in uses]
        yield MemberLoad(
            group=group,
            member=name,
            is_primary=name == primary,
            state=states[name],
            limit=leases.limit if cap is None else min(cap, leases.limit),
            held=sum(use.held for use in uses),
            division=_division(states[name], uses, cap),
            proxies=uses,
            turned_away=sum(demand.turned_away for demand in demands if demand is not None),
        )


def _use(proxy: str, member: str, leases: GroupLeases) -> ProxyUse:
    share = leases.share_at(proxy, member)
    demand = leases.demand_of(proxy, member)
    if demand is None:
        return ProxyUse(proxy, share.granted, share.holding)
    return ProxyUse(
        proxy,
        share.granted,
        share.holding,
        demand.connections,
        demand.under_way,
        demand.waiting,
    )


def _division(state: str, uses: tuple[ProxyUse, ...], cap: int | None) -> str:
    """Return a text that explains how a member's connections are divided."""
    if state == "declared":
        return EQUALLY
    if cap is not None:
        return f"by demand; an operator allows {cap} connections"
    return BY_DEMAND if any(use.wanted >= 0 for use in uses) else DEMAND_NOT_REPORTED

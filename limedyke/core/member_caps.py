"""Connections to a member that its group's leases allow, including operator caps.

Leader and proxies both compute this from the declared group.  A lease of connections to every
member does not apply at a member whose cap is lower than the sum of these leases; there only leases
for that member count.
"""

from __future__ import annotations

import math

from limedyke.messages.declaration import Group

COMMON_SHARE = 0.5
"""Share of a budget that is divided equally. Each home proxy has it at any member that it may need
suddenly, such as the next primary."""


def common_part(budget: int, group: Group) -> int:
    """Return the equally divided part of a tenant's budget, which applies at every member."""
    return math.ceil(budget * COMMON_SHARE) if group.announced else budget


def cap_of(group: Group, member: str) -> int | None:
    """Return the operator's cap on connections to a member; None if it is not capped."""
    caps = (cap.connections for cap in group.member_caps if cap.member == member)
    return next(caps, None) if group.announced else None


def holds_common(group: Group, member: str) -> bool:
    """Return whether leases of connections to every member apply at this one."""
    cap = cap_of(group, member)
    return cap is None or cap >= _all_common(group)


def divided_part(budget: int, group: Group, member: str) -> int:
    """Return the part of a tenant's budget that is divided by demand at a member."""
    cap = cap_of(group, member)
    common = common_part(budget, group)
    if cap is None or group.connection_limit == 0:
        return budget - common
    own = budget * min(cap, group.connection_limit) // group.connection_limit
    return max(0, own - common) if holds_common(group, member) else own


def _all_common(group: Group) -> int:
    return sum(common_part(access.connection_budget, group) for access in group.access)

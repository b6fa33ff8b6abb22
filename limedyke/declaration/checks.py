"""Checks across the items of a declaration: names, references, addresses and budgets."""

from __future__ import annotations

from collections.abc import Callable

from limedyke.declaration.models import GroupModel
from limedyke.declaration.source_locations import LocatedItem, Problem, line_at
from limedyke.settings.base import Model

PROBE_CONNECTIONS = 3


def check_together(items: dict[str, list[LocatedItem]]) -> list[Problem]:
    """Return what is wrong with items that are each right by themselves.

    :param items: the items of each section, all files together
    """
    problems = []
    for section in ("tenants", "groups", "proxies"):
        problems += _repeated(items[section], lambda item: item.name)
    problems += _repeated(items["token_keys"], lambda item: item.key_id)
    tenants = {located.item.name for located in items["tenants"]}
    addresses: dict[str, str] = {}
    for located in items["tenants"]:
        problems += _repeated_inside(located, "users", "name")
    for located in items["groups"]:
        problems += _check_group(located, tenants, addresses)
    return problems


def _repeated(found: list[LocatedItem], identity: Callable[[Model], object]) -> list[Problem]:
    first: dict[object, LocatedItem] = {}
    problems = []
    for located in found:
        known = first.setdefault(identity(located.item), located)
        if known is not located:
            place = f"{known.file}:{line_at(known.node, ())}"
            problems.append(located.problem(f"declared already at {place}"))
    return problems


def _repeated_inside(located: LocatedItem, field: str, attribute: str) -> list[Problem]:
    seen = set()
    problems = []
    for position, part in enumerate(getattr(located.item, field)):
        value = getattr(part, attribute)
        if value in seen:
            path = (field, position, attribute)
            problems.append(located.problem(f"{value} stands twice", path))
        seen.add(value)
    return problems


def _check_group(
    located: LocatedItem, tenants: set[str], addresses: dict[str, str]
) -> list[Problem]:
    """Return what is wrong with a group.

    :param tenants: the names of the declared tenants
    :param addresses: the owner of each address seen so far; this group's are added
    """
    problems = _repeated_inside(located, "members", "name")
    problems += _repeated_inside(located, "access", "tenant")
    problems += _check_addresses(located, addresses)
    problems += _check_tenants(located, tenants)
    problems += _check_budgets(located)
    members = located.item.members
    if members and all(member.leaving for member in members):
        problems.append(located.problem("all members are leaving", ("members",)))
    return problems


def _check_addresses(located: LocatedItem, addresses: dict[str, str]) -> list[Problem]:
    group: GroupModel = located.item
    problems = []
    for position, member in enumerate(group.members):
        name = f"{group.name}/{member.name}"
        owner = addresses.setdefault(member.address, name)
        if owner != name:
            path = ("members", position, "address")
            problems.append(located.problem(f"{member.address} belongs to {owner}", path))
    return problems


def _check_tenants(located: LocatedItem, tenants: set[str]) -> list[Problem]:
    problems = []
    for position, access in enumerate(located.item.access):
        if access.tenant not in tenants:
            path = ("access", position, "tenant")
            problems.append(located.problem(f"tenant {access.tenant} is not declared", path))
    return problems


def _check_budgets(located: LocatedItem) -> list[Problem]:
    group: GroupModel = located.item
    budgets = sum(access.connection_budget for access in group.access)
    if budgets + PROBE_CONNECTIONS <= group.connection_limit:
        return []
    reason = (
        f"the budgets ({budgets}) and {PROBE_CONNECTIONS} connections for probes "
        f"exceed {group.connection_limit}"
    )
    return [located.problem(reason, ("connection_limit",))]

"""Baselines without the product: clients that choose a member themselves."""

from __future__ import annotations

from collections.abc import Callable

from limedyke_lab.fleet.fleet import Fleet
from limedyke_lab.fleet.secrets import BACKEND_PASSWORDS
from limedyke_lab.load.settings import DirectRoute, DirectRoutes


def _routes(fleet: Fleet, readers: Callable[[str, str], tuple[str, ...]]) -> DirectRoutes:
    groups = {}
    for group in fleet.topology.geography.groups:
        primary = fleet.wait_for_primary(group).node.advertise
        groups[group] = DirectRoute(primary=primary, readers=readers(group, primary))
    users = {user.replace("_", "-"): user for user in BACKEND_PASSWORDS}
    return DirectRoutes(groups=groups, users=users, passwords=BACKEND_PASSWORDS)


def primary_only(fleet: Fleet) -> DirectRoutes:
    """Return routes that send all operations to the primary: no pooling, no replica reads."""
    return _routes(fleet, lambda _group, primary: (primary,))


def random_member(fleet: Fleet) -> DirectRoutes:
    """Return routes that read from any member, regardless of its lag."""
    return _routes(
        fleet,
        lambda group, _primary: tuple(
            member.node.advertise for member in fleet.topology.members_of(group)
        ),
    )


BASELINES: dict[str, Callable[[Fleet], DirectRoutes]] = {
    "primary-only": primary_only,
    "random-member": random_member,
}

"""Predefined profiles of the two example users, and sessions that measure failover gaps."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.geography import Geography
from limedyke_lab.load.settings import Mix, SessionProfile

READ_MOSTLY = Mix(read=95, write=3, mark=2)
EDITING = Mix(read=60, write=25, mark=5, transaction=10)
ALERTS = Mix(mark=60, write=40)
WATCH_THINK_MS = 10.0
WATCH_ROAM_PROBABILITY = 0.02
MINIMUM_COUNT = 2
READ_BACK_SHARE = 0.8
"""Share of an editing session's reads that read its own register."""


@dataclass(frozen=True, slots=True)
class SessionKind:
    """Sessions of one kind; ``count`` is at scale 1, other values are as in ``SessionProfile``."""

    name: str
    tenant: str
    user: str
    count: int
    mix: Mix
    think_ms: float
    own_read_share: float = 0.5
    extended: bool = False

    def profile(self, geography: Geography, scale: float) -> SessionProfile:
        """Return the profile of these sessions on all groups, with the count scaled."""
        return SessionProfile(
            name=self.name,
            tenant=self.tenant,
            user=self.user,
            password=client_password(self.user),
            groups=geography.groups,
            count=max(MINIMUM_COUNT, round(self.count * scale)),
            mix=self.mix,
            think_ms=self.think_ms,
            own_read_share=self.own_read_share,
            extended=self.extended,
        )


OSTMARK = (
    SessionKind("listener", "radio-apps", "listener", 24, READ_MOSTLY, 40),
    SessionKind("player", "radio-apps", "listener", 6, READ_MOSTLY, 40, extended=True),
    SessionKind("editor", "radio-editors", "editor", 6, EDITING, 60, READ_BACK_SHARE),
)
"""Listeners that mostly read, and editors that write and read back immediately."""
COLD_CHAIN = (
    SessionKind("logger", "loggers", "logger", 10, ALERTS, 60),
    SessionKind("dispatcher", "dispatch", "dispatcher", 8, EDITING, 60, READ_BACK_SHARE),
    SessionKind("viewer", "dashboards", "viewer", 18, READ_MOSTLY, 40, extended=True),
)
"""Loggers that push readings, a dispatch app, and dashboards."""


def scaled_profiles(
    kinds: tuple[SessionKind, ...], geography: Geography, scale: float = 1.0
) -> tuple[SessionProfile, ...]:
    """Return the profiles of a user's sessions.

    :param scale: factor for the count of each kind; at least two sessions of each remain
    """
    return tuple(kind.profile(geography, scale) for kind in kinds)


PROFILES: dict[str, Callable[..., tuple[SessionProfile, ...]]] = {
    "ostmark": partial(scaled_profiles, OSTMARK),
    "cold-chain": partial(scaled_profiles, COLD_CHAIN),
}
"""Function that returns the scaled profiles, by geography name."""
WATCHERS = {"ostmark": ("radio-editors", "editor"), "cold-chain": ("loggers", "logger")}
"""Tenant and user of the watch sessions, by geography name."""


def watch_profile(geography: Geography, group: str, count: int = 4) -> SessionProfile:
    """Return sessions that write continuously to one group, to measure failover gaps."""
    tenant, user = WATCHERS[geography.name]
    return SessionProfile(
        name=f"watch-{group}",
        tenant=tenant,
        user=user,
        password=client_password(user),
        groups=(group,),
        count=count,
        mix=ALERTS,
        think_ms=WATCH_THINK_MS,
        roam_probability=WATCH_ROAM_PROBABILITY,
    )

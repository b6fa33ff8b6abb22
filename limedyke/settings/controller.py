"""Settings of a controller."""

from __future__ import annotations

from pydantic import Field

from limedyke.settings.base import Address, CommonSettings, Model


class ControllerPeer(Model):
    """Another controller: its name and internal address."""

    name: str
    address: Address


class OperatorKey(Model):
    """An operator who may plan and confirm changes; ``secret`` is the name of the key's secret."""

    name: str
    secret: str


class ControllerSettings(CommonSettings):
    """Settings of ``limedyke controller``. Times are in milliseconds.

    ``voters_wanted`` is the number of voters that the leader maintains automatically; with 0,
    operators manage the voters.  A change is confirmed only while there are enough voters to bear
    the loss of ``lost_disks_tolerated`` disks at once.  ``keeps_unsynced_writes`` means that the
    machine's boot id changes with every loss of power: while it is unchanged, no unsynced write has
    been lost.
    """

    listen: Address
    advertise: Address
    peers: tuple[ControllerPeer, ...]
    join: bool = False
    voters_wanted: int = Field(default=0, ge=0)
    lost_disks_tolerated: int = Field(default=0, ge=0)
    voter_silence_limit_ms: int = Field(default=3_000, ge=100)
    keeps_unsynced_writes: bool = True
    operators: tuple[OperatorKey, ...] = ()
    tick_interval_ms: int = Field(default=20, ge=5)
    heartbeat_interval_ms: int = Field(default=100, ge=10)
    election_timeout_ms: int = Field(default=1_000, ge=100)
    connection_lease_ms: int = Field(default=30_000, ge=1_000)
    home_proxies_per_group: int = Field(default=3, ge=1)
    failure_report_hold_ms: int = Field(default=100, ge=0)
    observer_silence_ms: int = Field(default=2_500, ge=100)
    few_observers_hold_ms: int = Field(default=1_000, ge=0)
    promotion_timeout_ms: int = Field(default=1_500, ge=100)
    primary_lease_ms: int = Field(default=1_500, ge=0)
    authority_timeout_ms: int = Field(default=3_000, ge=100)
    member_silence_ms: int = Field(default=5_000, ge=100)
    plan_lifetime_s: int = Field(default=3_600, ge=1)
    platform_list_url: str = ""

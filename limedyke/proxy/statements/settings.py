"""Settings of the statement proxy."""

from __future__ import annotations

from pydantic import Field

from limedyke.settings.base import Address, Model


class StatementProxySettings(Model):
    """Settings of the diskless statement proxy. Times are in milliseconds.

    ``name`` is new at each start; ``controllers`` are those known at the start, and further ones
    are learned from them.
    """

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    zone: str
    region: str = ""
    source_ip: str = ""
    cluster_key: str = "cluster"
    log_level: str = "INFO"
    log_lines_per_second: int = Field(default=50, ge=2)
    client_listen: Address
    ready_listen: Address
    status_listen: Address
    link_listen: Address
    link_advertise: Address
    controllers: tuple[Address, ...] = Field(min_length=1)
    heartbeat_interval_ms: int = Field(default=400, ge=50)
    control_silence_limit_ms: int = Field(default=2_000, ge=200)
    control_retry_limit_ms: int = Field(default=250, ge=20)
    connect_timeout_ms: int = Field(default=600, ge=50)
    probe_interval_ms: int = Field(default=1_000, ge=50)
    probe_timeout_ms: int = Field(default=400, ge=50)
    maximum_clients: int = Field(default=3_000, ge=1)
    home_link_idle_ms: int = Field(default=300_000, ge=100)
    maximum_home_links: int = Field(default=256, ge=1)
    drain_deadline_ms: int = Field(default=6_000, ge=100)

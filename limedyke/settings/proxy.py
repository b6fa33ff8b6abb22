"""Settings of a proxy for PostgreSQL clients."""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from limedyke.settings.base import Address, CommonSettings, Model


class TlsSettings(Model):
    """TLS settings for client connections; the files are reloaded on SIGHUP."""

    certificate: Path
    private_key: Path
    required: bool = False


class ProxySettings(CommonSettings):
    """Settings of ``limedyke proxy``. Times are in milliseconds, sizes in bytes."""

    client_listen: Address
    link_listen: Address
    link_advertise: Address
    controllers: tuple[Address, ...] = Field(min_length=1)
    tls: TlsSettings | None = None
    heartbeat_interval_ms: int = Field(default=1_000, ge=50)
    control_silence_limit_ms: int = Field(default=3_000, ge=200)
    control_retry_limit_ms: int = Field(default=1_000, ge=20)
    startup_timeout_ms: int = Field(default=10_000, ge=100)
    maximum_message_bytes: int = Field(default=16 * 1024 * 1024, ge=1_024)
    maximum_clients: int = Field(default=12_000, ge=1)
    request_deadline_ms: int = Field(default=30_000, ge=100)
    failover_wait_ms: int = Field(default=6_000, ge=0)
    replica_wait_ms: int = Field(default=20, ge=0)
    idle_in_transaction_ms: int = Field(default=60_000, ge=100)
    probe_interval_ms: int = Field(default=500, ge=50)
    replica_probe_interval_ms: int = Field(default=1_000, ge=50)
    probe_timeout_ms: int = Field(default=600, ge=50)
    drain_deadline_ms: int = Field(default=30_000, ge=0)
    home_link_idle_ms: int = Field(default=300_000, ge=100)
    maximum_home_links: int = Field(default=1_024, ge=1)

"""The settings that the control client of a proxy uses."""

from __future__ import annotations

from typing import Protocol


class ControlClientSettings(Protocol):
    """Settings that every kind of proxy has; docs/SETTINGS.md describes them."""

    name: str
    zone: str
    region: str
    source_ip: str
    cluster_key: str
    link_advertise: str
    controllers: tuple[str, ...]
    heartbeat_interval_ms: int
    control_silence_limit_ms: int
    control_retry_limit_ms: int

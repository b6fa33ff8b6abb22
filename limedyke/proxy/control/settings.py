"""The settings of a proxy that concern its link to the controllers."""

from __future__ import annotations

from typing import Protocol


class ControlClientSettings(Protocol):
    """Settings of any kind of proxy; see docs/SETTINGS.md for their meaning."""

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

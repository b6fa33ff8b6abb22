"""Command-line options of one member."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``IP:PORT``."""
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"expected IP:PORT, got {text!r}")
        return cls(host, int(port))


@dataclass(frozen=True, slots=True)
class DatabaseOptions:
    """Settings of one member process; times in milliseconds.

    :param peers: the other members' advertised addresses by name
    """

    name: str
    listen: Address
    advertise: Address
    data: Path
    peers: dict[str, Address]
    initial_primary: bool = False
    connection_limit: int = 40
    slots: int = 5
    connect_delay_ms: float = 10.0
    execute_ms: float = 0.0
    lag_ms: float = 0.0
    password_file: str | None = None
    history: str | None = None
    seed: int = 0
    log_level: str = "INFO"


def parse_peers(text: str | dict | None) -> dict[str, Address]:
    """Parse ``name=IP:PORT,...``."""
    if not text:
        return {}
    parts = text if isinstance(text, (tuple, list)) else str(text).split(",")
    peers = {}
    for part in parts:
        name, _, address = str(part).strip().partition("=")
        peers[name] = Address.parse(address)
    return peers

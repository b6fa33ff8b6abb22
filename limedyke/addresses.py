"""Parses process addresses of the form ``ip:port`` with a numeric IP."""

from __future__ import annotations

import ipaddress

MAXIMUM_PORT = 65_535


def check_address(value: str) -> str:
    """Return ``value`` if it is ``ip:port`` with a numeric IP; raise ValueError otherwise."""
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("expected ip:port")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or int(port) > MAXIMUM_PORT:
        raise ValueError("the port must be a number up to 65535")
    return value


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of a checked ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)

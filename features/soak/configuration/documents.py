"""Configurations that can be told apart at every proxy, and invalid ones."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass

from features.support.line_platform.deployment import GROUP, MAX_STALENESS_MS

COMMON_DATABASE = "db1"
"""The database that every valid configuration has; without it a proxy is never ready."""
STATEMENT_TIMEOUT_MS = 1_000


class Flaw(enum.StrEnum):
    """What makes a configuration invalid."""

    NONE = "none"
    CUT_SHORT = "cut-short"
    UNKNOWN_SERVICE = "unknown-service"
    SAME_PLACE = "same-place"
    NO_TIMEOUT = "no-timeout"
    NO_SERVICES = "no-services"


@dataclass(frozen=True, slots=True)
class Content:
    """One configuration as an operator sends it.

    :param marker: name of the database that only this configuration declares
    :param body: the document, byte for byte
    """

    version: int
    marker: str
    body: bytes
    flaw: Flaw = Flaw.NONE

    @property
    def is_valid(self) -> bool:
        """Whether a controller may acknowledge it."""
        return self.flaw is Flaw.NONE

    def __str__(self) -> str:
        return f"{self.version}/{self.marker}"


def build_content(
    version: int, writer: str, flaw: Flaw = Flaw.NONE, extra_routes: int = 0
) -> Content:
    """Return a configuration.

    :param writer: distinguishes the contents that are sent under one version
    :param extra_routes: routes beyond the common one and the marker
    """
    marker = f"m{version}{writer}"
    names = [COMMON_DATABASE, marker, *(f"{marker}x{number}" for number in range(extra_routes))]
    routes = [_route(name) for name in names]
    services: list[dict] | None = [{"name": GROUP, "maxConnections": 20, "syncReplicas": 0}]
    match flaw:
        case Flaw.UNKNOWN_SERVICE:
            routes[1]["service"] = "nowhere"
        case Flaw.SAME_PLACE:
            routes.append(_route(marker) | {"name": f"r-{marker}-again"})
        case Flaw.NO_TIMEOUT:
            routes[1]["timeoutMs"] = 0
        case Flaw.NO_SERVICES:
            services = None
    document = {"version": version, "routes": routes, "services": services, "limits": {}}
    if services is None:
        del document["services"]
    body = json.dumps(document).encode()
    if flaw is Flaw.CUT_SHORT:
        body = body[: len(body) // 2]
    return Content(version, marker, body, flaw)


def _route(name: str) -> dict:
    return {
        "name": f"r-{name}",
        "hostname": name,
        "pathPrefix": "/",
        "routeType": "direct",
        "timeoutMs": STATEMENT_TIMEOUT_MS,
        "targetLatencyMs": 1_000,
        "priority": 1,
        "service": GROUP,
        "maxAttempts": 2,
        "maxStalenessMs": MAX_STALENESS_MS,
    }

"""Steps for the configurations that operators send."""

from __future__ import annotations

import json
from collections.abc import Callable

from behave import then

import features.support.platform_path  # noqa: F401
from documents import build_declaration, read_configuration
from limedyke.messages.codec import encode

Change = Callable[[dict], bytes | None]


def _document() -> dict:
    route = {
        "name": "r",
        "hostname": "h",
        "pathPrefix": "/",
        "routeType": "direct",
        "timeoutMs": 1_000,
        "targetLatencyMs": 800,
        "priority": 2,
        "service": "s",
        "maxAttempts": 2,
        "maxStalenessMs": 2_500,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [{"name": "s", "maxConnections": 50, "syncReplicas": 0}],
        "limits": {"txIdleMs": 3_000},
        "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1, "ratePerS": 20, "burst": 20}],
    }


def _route(**fields: object) -> Change:
    return lambda document: document["routes"][0].update(fields)


def _tenant(**fields: object) -> Change:
    return lambda document: document["tenants"][0].update(fields)


def _top(**fields: object) -> Change:
    return lambda document: document.update(fields)


def _without(*path: str) -> Change:
    def change(document: dict) -> None:
        holder = document["routes"][0] if path[0] == "route" else document
        del holder[path[-1]]

    return change


def _same_place(document: dict) -> None:
    document["routes"].append(document["routes"][0] | {"name": "again"})


def _same_service(document: dict) -> None:
    document["services"].append(document["services"][0])


CHANGES: dict[str, Change] = {
    "nothing unusual": lambda document: None,
    "a timeoutMs of 1000.0": _route(timeoutMs=1_000.0),
    "a field that nobody knows": _route(colour="red"),
    "no limits": _without("limits"),
    "a rate of 2.5 operations a second": _tenant(ratePerS=2.5),
    "its last byte cut off": lambda document: json.dumps(document).encode()[:-1],
    "a byte after its end": lambda document: json.dumps(document).encode() + b"x",
    "a timeoutMs of 0": _route(timeoutMs=0),
    "a timeoutMs of 0.5": _route(timeoutMs=0.5),
    "no timeoutMs": _without("route", "timeoutMs"),
    "an undeclared service": _route(service="x"),
    "two routes at one place": _same_place,
    "two services of one name": _same_service,
    "no routes": _without("routes"),
    "a timeoutMs of true": _route(timeoutMs=True),
    'a timeoutMs of "1000"': _route(timeoutMs="1000"),
    'a version of "7"': _top(version="7"),
    "a version of true": _top(version=True),
    "a version of 2^64": _top(version=2**64),
    "a priority of -2^70": _route(priority=-(2**70)),
    'syncReplicas of "1"': lambda document: document["services"][0].update(syncReplicas="1"),
    "a rate of 1e300 operations a second": _tenant(ratePerS=1e300),
}


@then("configuration documents: a configuration with {what} is {judgement}")
def step_judged(context, what, judgement):
    document = _document()
    body = CHANGES[what](document) or json.dumps(document).encode()
    read = read_configuration(body)
    assert ("taken" if read.is_ok() else "refused") == judgement, read
    if read.is_ok():
        encode(build_declaration(read.unwrap()))

"""The proxy's own session settings ``limedyke.*``, given by SET or in the startup packet."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from limedyke.core.sql.statement import RouteHint
from limedyke.postgres.client_startup import (
    SESSION_NAME_SETTING,
    SESSION_PREFIX,
    SESSION_TOKEN_SETTING,
)

MAX_STALENESS = SESSION_PREFIX + "max_staleness"
ONCE = SESSION_PREFIX + "once"
REPEATABLE = SESSION_PREFIX + "repeatable"
ROUTE = SESSION_PREFIX + "route"
BARRIER = SESSION_PREFIX + "barrier"
MONOTONIC_READS = SESSION_PREFIX + "monotonic_reads"
MAXIMUM_ONCE_KEY_LENGTH = 200
MAXIMUM_NAME_LENGTH = 200
UNDEFINED_OBJECT = "42704"
INVALID_PARAMETER_VALUE = "22023"
_TRUE = frozenset({"on", "true", "yes", "1"})
_FALSE = frozenset({"off", "false", "no", "0"})
_DURATION = re.compile(r"^(\d{1,9})\s*(ms|s|min)?$")
_MILLISECONDS = {None: 1, "ms": 1, "s": 1_000, "min": 60_000}


@dataclass(frozen=True, slots=True)
class OptionError:
    """A setting that the proxy rejects: SQLSTATE and reason."""

    sqlstate: str
    reason: str


@dataclass(frozen=True, slots=True)
class SessionOptions:
    """Values of the proxy's own settings, other than the token.

    :param name: the session's name in the client's system, or empty
    :param max_staleness_ms: maximum staleness of reads; 0 if the session sets no bound
    :param once_key: at-most-once key of the next request, or empty
    :param repeatable: whether a read may be retried on another member
    :param route: route of statements that have no hint of their own
    :param monotonic_reads: whether later reads must be at least as recent as this one
    """

    name: str = ""
    max_staleness_ms: int = 0
    once_key: str = ""
    repeatable: bool = True
    route: RouteHint = RouteHint.NONE
    monotonic_reads: bool = False


DEFAULT_OPTIONS = SessionOptions()


def set_option(
    options: SessionOptions, name: str, value: str
) -> Result[SessionOptions, OptionError]:
    """Return the options with one of them set; an empty value resets it to the default."""
    lowered = value.strip().lower()
    match name:
        case str() if name == SESSION_NAME_SETTING:
            return Ok(replace(options, name=value[:MAXIMUM_NAME_LENGTH]))
        case str() if name == MAX_STALENESS:
            return _set_staleness(options, lowered)
        case str() if name == ONCE:
            if len(value) > MAXIMUM_ONCE_KEY_LENGTH:
                return _invalid(name, f"longer than {MAXIMUM_ONCE_KEY_LENGTH} characters")
            return Ok(replace(options, once_key=value))
        case str() if name == ROUTE:
            return _set_route(options, lowered)
        case str() if name == REPEATABLE:
            return _set_flag(options, name, lowered, "repeatable", default=True)
        case str() if name == MONOTONIC_READS:
            return _set_flag(options, name, lowered, "monotonic_reads", default=False)
    reason = f'unrecognized configuration parameter "{name}"'
    return Err(OptionError(UNDEFINED_OBJECT, reason))


def show_option(options: SessionOptions, name: str) -> str | None:
    """Return the value of an option as SHOW gives it; None for an unknown name."""
    values = {
        SESSION_NAME_SETTING: options.name,
        MAX_STALENESS: f"{options.max_staleness_ms}ms",
        ONCE: options.once_key,
        REPEATABLE: "on" if options.repeatable else "off",
        ROUTE: options.route.value or "auto",
        MONOTONIC_READS: "on" if options.monotonic_reads else "off",
    }
    return values.get(name)


def parse_flag(value: str) -> bool | None:
    """Return the Boolean value of a flag, or None if it is neither true nor false."""
    if value in _TRUE:
        return True
    return False if value in _FALSE else None


def _set_staleness(options: SessionOptions, value: str) -> Result[SessionOptions, OptionError]:
    if not value:
        return Ok(replace(options, max_staleness_ms=0))
    match = _DURATION.match(value)
    if match is None:
        return _invalid(MAX_STALENESS, "expected a duration such as 500ms or 2s")
    return Ok(replace(options, max_staleness_ms=int(match[1]) * _MILLISECONDS[match[2]]))


def _set_route(options: SessionOptions, value: str) -> Result[SessionOptions, OptionError]:
    if value in ("", "auto"):
        return Ok(replace(options, route=RouteHint.NONE))
    if value not in (RouteHint.PRIMARY, RouteHint.REPLICA):
        return _invalid(ROUTE, "expected primary, replica or auto")
    return Ok(replace(options, route=RouteHint(value)))


def _set_flag(
    options: SessionOptions, name: str, value: str, field: str, default: bool
) -> Result[SessionOptions, OptionError]:
    flag = parse_flag(value) if value else default
    if flag is None:
        return _invalid(name, "expected on or off")
    return Ok(replace(options, **{field: flag}))


def _invalid(name: str, reason: str) -> Err[OptionError]:
    return Err(OptionError(INVALID_PARAMETER_VALUE, f'invalid value for "{name}": {reason}'))


__all__ = [
    "BARRIER",
    "DEFAULT_OPTIONS",
    "SESSION_TOKEN_SETTING",
    "OptionError",
    "SessionOptions",
    "parse_flag",
    "set_option",
    "show_option",
]

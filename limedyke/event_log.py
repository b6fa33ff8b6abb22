"""Event log: writes each event as one line of key=value pairs through logbook."""

from __future__ import annotations

import json
import re
import sys
from typing import Protocol

import logbook

_PLAIN_VALUE = re.compile(r"^[A-Za-z0-9_.:/+,@%-]+$")
_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "component={record.channel} {record.message}"
)


def _format_value(value: object) -> str:
    """Format a value; it is quoted as a JSON string if it contains special characters."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _PLAIN_VALUE.match(text):
        return text
    return json.dumps(text)


def format_event(event: str, **fields: object) -> str:
    """Return an event formatted as one line: ``event=NAME key=value ...``."""
    pairs = [f"event={event}"]
    pairs.extend(f"{key}={_format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


class TextOutput(Protocol):
    """A writable text stream."""

    def write(self, text: str) -> None:
        """Write or buffer text."""

    def flush(self) -> None:
        """Write buffered text."""


class EventLog:
    """Writes events of one component.

    :param component: short name such as ``proxy`` or ``agreement``
    """

    def __init__(self, component: str) -> None:
        self._logger = logbook.Logger(component)

    def info(self, event: str, **fields: object) -> None:
        """Write an event of normal operation."""
        self._logger.info(format_event(event, **fields))

    def warning(self, event: str, **fields: object) -> None:
        """Write an event that an operator may want to examine."""
        self._logger.warning(format_event(event, **fields))

    def error(self, event: str, **fields: object) -> None:
        """Write an event that needs an operator's attention."""
        self._logger.error(format_event(event, **fields))

    def debug(self, event: str, **fields: object) -> None:
        """Write an event for developers; hidden unless the level is DEBUG."""
        self._logger.debug(format_event(event, **fields))


def start_logging(level: str = "INFO", stream: TextOutput | None = None) -> None:
    """Write the events of this process to a stream.

    :param level: name of the lowest logbook level that is written
    :param stream: the output stream; None for standard error
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level, format_string=_FORMAT)
    handler.push_application()

"""Explains what happened to one request from the event logs of several processes."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

CONTEXT_BEFORE = timedelta(seconds=10)
"""How long before the request's last line decisions on its group are shown."""
MAXIMUM_CONTEXT_LINES = 40
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUIRED_FIELDS = ("time", "component", "event")
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%fZ"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event: its time, source, text and fields."""

    at: datetime
    source: str
    text: str
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines that explain a request.

    :param request_lines: lines with the request's id, in order of time
    :param context: decisions on its group shortly before
    :param malformed_count: number of lines that could not be parsed as events
    """

    request: str
    request_lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    malformed_count: int


def parse_line(source: str, text: str) -> LogLine | None:
    """Parse a log line; return None if it contains no event.

    :param source: the name of the file or process
    """
    start = text.find("time=")
    if start < 0:
        return None
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text[start:])}
    if any(key not in fields for key in _REQUIRED_FIELDS):
        return None
    try:
        at = datetime.strptime(fields["time"], _TIME_FORMAT)
    except ValueError:
        return None
    return LogLine(at, source, text[start:].strip(), fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def explain(request: str, lines: Iterable[tuple[str, str]]) -> Explanation:
    """Find the lines of a request, and their context, in the logs of several sources.

    :param lines: pairs of source and line
    """
    parsed: list[LogLine] = []
    malformed_count = 0
    for source, text in lines:
        line = parse_line(source, text)
        if line is not None:
            parsed.append(line)
        elif text.strip():
            malformed_count += 1
    parsed.sort(key=lambda line: line.at)
    request_lines = tuple(line for line in parsed if line.fields.get("request") == request)
    return Explanation(request, request_lines, _context_of(request_lines, parsed), malformed_count)


def _context_of(request_lines: tuple[LogLine, ...], lines: list[LogLine]) -> tuple[LogLine, ...]:
    """Return decisions on the request's group, and leader changes, shortly before its last line."""
    if not request_lines:
        return ()
    group = next((line.fields["group"] for line in request_lines if "group" in line.fields), "")
    end = request_lines[-1].at
    found = [
        line
        for line in lines
        if end - CONTEXT_BEFORE <= line.at <= end
        and "request" not in line.fields
        and (line.fields.get("group") == group or "group" not in line.fields)
    ]
    return tuple(found[-MAXIMUM_CONTEXT_LINES:])


def as_text(explanation: Explanation) -> str:
    """Format an explanation as text."""
    if not explanation.request_lines:
        text = [f"No log line contains request {explanation.request}."]
    else:
        text = [f"Request {explanation.request}:"]
        text += [f"  {line.source}: {line.text}" for line in explanation.request_lines]
        text.append("Decisions shortly before:")
        text += [f"  {line.source}: {line.text}" for line in explanation.context] or ["  none"]
    if explanation.malformed_count:
        text.append(f"Skipped {explanation.malformed_count} lines that are not events.")
    return "\n".join(text)

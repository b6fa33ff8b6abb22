"""What happened to one request, read from the event logs of several processes."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

CONTEXT_BEFORE = timedelta(seconds=10)
"""Decisions on the request's group are shown from so long before its last line."""
MAXIMUM_CONTEXT = 40
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_NEEDED = ("time", "component", "event")
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%fZ"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event: when it was written, where, and its fields."""

    at: datetime
    source: str
    text: str
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs hold of a request.

    :param own: lines that carry its id, in order of time
    :param context: decisions on its group shortly before
    :param damaged: lines that are no events
    """

    request: str
    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    damaged: int


def parse_line(source: str, text: str) -> LogLine | None:
    """Return the event in a line; None when it is none.

    :param source: the name of the file or process
    """
    start = text.find("time=")
    if start < 0:
        return None
    fields = {key: _plain(value) for key, value in _PAIR.findall(text[start:])}
    if any(key not in fields for key in _NEEDED):
        return None
    try:
        at = datetime.strptime(fields["time"], _TIME_FORMAT)
    except ValueError:
        return None
    return LogLine(at, source, text[start:].strip(), fields)


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def explain(request: str, lines: Iterable[tuple[str, str]]) -> Explanation:
    """Return what lines of several sources hold of a request.

    :param lines: pairs of source and line
    """
    parsed: list[LogLine] = []
    damaged = 0
    for source, text in lines:
        line = parse_line(source, text)
        if line is not None:
            parsed.append(line)
        elif text.strip():
            damaged += 1
    parsed.sort(key=lambda line: line.at)
    own = tuple(line for line in parsed if line.fields.get("request") == request)
    return Explanation(request, own, _context_of(own, parsed), damaged)


def _context_of(own: tuple[LogLine, ...], lines: list[LogLine]) -> tuple[LogLine, ...]:
    """Return decisions on the request's group, and changes of leader, shortly before its end."""
    if not own:
        return ()
    group = next((line.fields["group"] for line in own if "group" in line.fields), "")
    end = own[-1].at
    found = [
        line
        for line in lines
        if end - CONTEXT_BEFORE <= line.at <= end
        and "request" not in line.fields
        and (line.fields.get("group") == group or "group" not in line.fields)
    ]
    return tuple(found[-MAXIMUM_CONTEXT:])


def as_text(explanation: Explanation) -> str:
    """Return an explanation for people."""
    if not explanation.own:
        text = [f"No line carries request {explanation.request}."]
    else:
        text = [f"Request {explanation.request}:"]
        text += [f"  {line.source}: {line.text}" for line in explanation.own]
        text.append("Decisions shortly before:")
        text += [f"  {line.source}: {line.text}" for line in explanation.context] or ["  none"]
    if explanation.damaged:
        text.append(f"{explanation.damaged} lines are no events and were passed over.")
    return "\n".join(text)

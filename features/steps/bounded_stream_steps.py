"""Steps for the bounded log stream and the metrics page."""

from __future__ import annotations

import os
import re
import signal
import time
from pathlib import Path

from behave import given, then, when
from prometheus_client import generate_latest

from limedyke.bounded_stream import BoundedStream
from limedyke.metrics import new_registry
from limedyke.proxy.statements.statement_metrics import PREFIX, StatementMetrics

ROOT = Path(__file__).resolve().parents[2]


@given("bounded stream: a pipe that nobody reads")
def step_pipe(context):
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    context.reader, writer = os.pipe()
    context.stream = BoundedStream(writer)
    context.add_cleanup(os.close, writer)


@when("bounded stream: {count:d} lines of {size:d} bytes are written")
def step_write(context, count, size):
    began_at = time.monotonic()
    for number in range(count):
        context.stream.write(f"n={number} ".ljust(size - 1, "x") + "\n")
    context.took_s = time.monotonic() - began_at


@then("bounded stream: the writes took less than {limit:d} s, and lines were dropped")
def step_dropped(context, limit):
    assert context.took_s < limit, context.took_s
    assert context.stream.dropped > 0


def read_all(descriptor: int) -> bytes:
    """Read all available data from a pipe."""
    os.set_blocking(descriptor, False)
    parts = []
    while True:
        try:
            parts.append(os.read(descriptor, 65_536))
        except BlockingIOError:
            return b"".join(parts)


@when("bounded stream: the pipe is read and one more line is written")
def step_read(context):
    context.received = b""
    for _ in range(20):
        context.received += read_all(context.reader)
        context.stream.flush()
    context.stream.write("the last line\n")
    context.received += read_all(context.reader)


@then("bounded stream: the reader receives the number of dropped lines, and complete lines only")
def step_drop_counts(context):
    lines = context.received.decode().splitlines()
    reported = [
        int(m[1]) for line in lines if (m := re.match(r"event=log-lines-dropped count=(\d+)", line))
    ]
    assert sum(reported) == context.stream.dropped, (reported, context.stream.dropped)
    assert lines[-1] == "the last line", lines[-1]
    plain = [line for line in lines if line.startswith("n=")]
    assert all(len(line) == 99 for line in plain)


@when("bounded stream: the reader closes the pipe")
def step_reader_closes(context):
    os.close(context.reader)


@then("bounded stream: all lines were dropped")
def step_all_dropped(context):
    assert context.stream.dropped == 10, context.stream.dropped


@then("metrics: docs/METRICS.md lists each metric of statements, and no other")
def step_metrics(context):
    registry = new_registry()
    StatementMetrics(registry)
    shown = set(re.findall(rf"^# TYPE ({PREFIX}\w+) ", generate_latest(registry).decode(), re.M))
    shown = {name for name in shown if not name.endswith("_created")}
    listed = set(re.findall(rf"^\| `({PREFIX}\w+)`", (ROOT / "docs/METRICS.md").read_text(), re.M))
    assert shown == listed, shown ^ listed

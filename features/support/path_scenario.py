"""Runs a ``StatementPath`` with its watch for the length of a scenario."""

from __future__ import annotations

import curio

from features.support.recording_reporter import RecordingReporter
from features.support.statement_path import StatementPath


def run(context, function, *arguments):
    """Run a coroutine in the scenario's kernel."""
    return context.kernel.run(function, *arguments)


def begin(context, path: StatementPath, connections: int) -> None:
    """Start a path and its watch; they end with the scenario, whose reporter records."""
    context.kernel = curio.Kernel()
    context.path = path
    context.reporter = path.groups.reporter = RecordingReporter()

    def end() -> None:
        context.kernel.run(path.stop)
        context.kernel.run(shutdown=True)

    async def start() -> None:
        await path.start(connections)
        await curio.spawn(path.groups.watch, daemon=True)

    context.add_cleanup(end)
    run(context, start)

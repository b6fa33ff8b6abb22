"""Runs the operator's commands as subprocesses."""

from __future__ import annotations

import json
from pathlib import Path

from limedyke_lab.fleet.configuration import FleetFiles
from limedyke_lab.fleet.process import run_command

COMMAND_TIMEOUT_S = 20.0


class OperatorCommandError(Exception):
    """An operator command failed; the message contains its output."""


class Operator:
    """Runs ``limedyke plan``, ``confirm``, ``status`` and others against the controllers."""

    def __init__(self, python: str, files: FleetFiles) -> None:
        self._python = python
        self._settings = files.write_operator()

    def run(self, *arguments: str) -> dict:
        """Run one command and return its JSON output.

        :raises OperatorCommandError: when it exits with a code other than 0
        """
        command = [self._python, "-m", "limedyke.cli", *arguments]
        command += [f"--settings={self._settings}", "--output=json"]
        done = run_command(command, COMMAND_TIMEOUT_S)
        if done.returncode != 0:
            raise OperatorCommandError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
        return json.loads(done.stdout)

    def plan(self, declaration: Path) -> dict:
        """Plan a declaration without applying it."""
        return self.run("plan", str(declaration))

    def confirm(self, plan_id: str) -> dict:
        """Confirm a plan, which puts it into force."""
        return self.run("confirm", plan_id)

    def declare(self, declaration: Path) -> dict:
        """Plan and confirm a declaration; return the confirmation."""
        return self.confirm(self.plan(declaration)["plan_id"])

    def status(self) -> dict:
        """Return the system state as reported by the leader."""
        return self.run("status")

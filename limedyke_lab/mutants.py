"""Runs the mutation checks of ``features.mutants``."""

from __future__ import annotations

import subprocess
import sys

from limedyke_lab.fleet.process import REPOSITORY

MODULE = "features.mutants.run"


def run_mutants() -> int:
    """Run the mutation checks in a subprocess; return the exit code."""
    return subprocess.run([sys.executable, "-m", MODULE], cwd=REPOSITORY, check=False).returncode

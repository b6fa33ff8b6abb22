"""A process of a fleet: start, signals, log and termination."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
from collections.abc import Callable
from pathlib import Path

import limedyke

REPOSITORY = Path(limedyke.__file__).resolve().parents[1]
LOG_TAIL_BYTES = 4_000
KILL_WAIT_S = 10.0
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def _kill_when_parent_ends() -> None:
    """Ask the kernel to kill this process when its parent, the fleet runner, ends."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def environment() -> dict[str, str]:
    """Return the environment of started processes, with the repository importable."""
    paths = [str(REPOSITORY), os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in paths if path)}


class ManagedProcess:
    """A child process started by the fleet.

    :param command: the full command line
    :param log_file: file that standard output and error are appended to, also after restarts
    """

    def __init__(self, name: str, command: list[str], log_file: Path) -> None:
        self.name = name
        self.command = command
        self.log_file = log_file
        self._process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process ID, or 0 if it was never started."""
        return self._process.pid if self._process else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs or if it was never started."""
        return self._process.poll() if self._process else None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; no effect while it runs."""
        if self.running:
            return
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(),
                preexec_fn=_kill_when_parent_ends,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process is still running after the timeout."""
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process (SIGKILL), simulating a crash."""
        self.send_signal(signal.SIGKILL)
        self.wait(KILL_WAIT_S)

    def end(self, timeout_s: float) -> int | None:
        """Send SIGTERM, then SIGKILL after the timeout; return the exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        if self.wait(timeout_s) is None:
            self.kill()
        return self.exit_code

    def log_tail(self) -> str:
        """Return the end of the log, for error reports."""
        if not self.log_file.exists():
            return ""
        return self.log_file.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def failure(self) -> str:
        """Return why the process is not running; empty while it runs."""
        if self.running:
            return ""
        return f"{self.name} ended with code {self.exit_code}:\n{self.log_tail()}"


def run_command(command: list[str], timeout_s: float) -> subprocess.CompletedProcess:
    """Run a command to completion and return its output."""
    return subprocess.run(
        command, capture_output=True, text=True, timeout=timeout_s, env=environment(), check=False
    )


def end_all(processes: list[ManagedProcess], timeout_s: float) -> None:
    """Stop processes: send SIGTERM to all, wait for each, and kill those that remain."""
    for process in processes:
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
    for process in processes:
        if process.running and process.wait(timeout_s) is None:
            process.kill()


ProcessFactory = Callable[[str, list[str]], ManagedProcess]

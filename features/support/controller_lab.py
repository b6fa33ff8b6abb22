"""Real controllers, proxies and operators' commands as processes, for control-plane tests."""

from __future__ import annotations

import json
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import yaml

from limedyke_lab.fleet.process import ManagedProcess, end_all, environment

HOST = "127.0.0.1"
FIRST_PORT = 10_000
FIRST_OUTGOING_PORT = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
RANDOM = random.SystemRandom()
SECRETS = {"cluster": "cluster-key", "anna-key": "anna's key", "bert-key": "bert's key"}
START_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 30.0
END_TIMEOUT_S = 3.0
POLL_S = 0.05
LEASE_MS = 5_000


def free_address() -> str:
    """Return a loopback address whose port was free a moment ago.

    The port is below those that the kernel gives to outgoing connections, one of which would
    otherwise take it before a listener does.
    """
    while True:
        port = RANDOM.randrange(FIRST_PORT, FIRST_OUTGOING_PORT)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return f"{HOST}:{port}"


def wait_for(condition: Callable[[], object], what: str, timeout_s: float = START_TIMEOUT_S):
    """Return the condition's first true value; raise when it does not come true in time."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"not in {timeout_s} s: {what}")
        time.sleep(POLL_S)


class ControllerLab:
    """Three controllers on loopback ports, and the settings of two operators.

    :param folder: folder for data, settings and logs
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.addresses = {name: free_address() for name in ("c1", "c2", "c3")}
        self.processes: dict[str, ManagedProcess] = {}
        self.status_addresses: dict[str, str] = {}
        self.proxy_status = ""
        self.client_address = ""
        self.waiting_plan = ""
        self._write("secrets.yaml", SECRETS)
        for name in ("anna", "bert"):
            self.write_operator(name, f"{name}-key", list(self.addresses.values()))

    def start_controllers(self) -> None:
        """Start all controllers and wait until one leads."""
        for name in self.addresses:
            self.start_controller(name)
        self.wait_for_leader()

    def start_controller(self, name: str, **overrides: object) -> None:
        """Start or restart a controller; its data folder is kept."""
        peers = [{"name": n, "address": a} for n, a in self.addresses.items() if n != name]
        self.status_addresses[name] = free_address()
        settings = {
            **self._common(name),
            "status_listen": self.status_addresses[name],
            "listen": self.addresses[name],
            "advertise": self.addresses[name],
            "peers": peers,
            "operators": [
                {"name": "anna", "secret": "anna-key"},
                {"name": "bert", "secret": "bert-key"},
            ],
            "connection_lease_ms": LEASE_MS,
            **overrides,
        }
        self._start("controller", name, settings)

    def start_proxy(self, name: str) -> None:
        """Start a proxy."""
        self.proxy_status = free_address()
        self.client_address = free_address()
        link = free_address()
        settings = {
            **self._common(name),
            "status_listen": self.proxy_status,
            "client_listen": self.client_address,
            "link_listen": link,
            "link_advertise": link,
            "controllers": list(self.addresses.values()),
        }
        self._start("proxy", name, settings)

    def write_operator(self, file: str, secret: str, controllers: list[str], **others: object):
        """Write the settings of an operator's commands."""
        settings = {
            "operator": file.partition("-")[0],
            "secret": secret,
            "secrets_file": str(self.folder / "secrets.yaml"),
            "controllers": controllers,
            **others,
        }
        return self._write(f"operator-{file}.yaml", settings)

    def run(self, *arguments: str, operator: str = "anna") -> subprocess.CompletedProcess:
        """Run an operator's command and wait for its end."""
        return self.begin(*arguments, operator=operator).finish()

    def begin(self, *arguments: str, operator: str = "anna") -> RunningCommand:
        """Start an operator's command."""
        settings = f"--settings={self.folder}/operator-{operator}.yaml"
        return RunningCommand([sys.executable, "-m", "limedyke.cli", *arguments, settings])

    def json(self, *arguments: str, operator: str = "anna") -> dict:
        """Run an operator's command that must succeed; return its JSON answer."""
        done = self.run(*arguments, "--output=json", operator=operator)
        assert done.returncode == 0, (arguments, done.returncode, done.stdout, done.stderr)
        return json.loads(done.stdout)

    def status(self) -> dict:
        """Return the answer of ``limedyke status``."""
        return self.json("status")

    def leader(self) -> str:
        """Return the name of the leading controller."""
        return next(c["name"] for c in self.status()["controllers"] if c["role"] == "leader")

    def wait_for_leader(self) -> None:
        """Wait until a controller serves operators."""
        wait_for(lambda: self.run("status").returncode == 0, "a leading controller")

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].kill()

    def freeze(self, names: list[str]) -> None:
        """Suspend processes."""
        for name in names:
            self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, names: list[str]) -> None:
        """Resume suspended processes."""
        for name in names:
            self.processes[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """End all processes of this lab."""
        end_all(list(self.processes.values()), END_TIMEOUT_S)

    def _common(self, name: str) -> dict[str, object]:
        return {
            "name": name,
            "zone": "z1",
            "data_folder": str(self.folder / name),
            "secrets_file": str(self.folder / "secrets.yaml"),
            "status_listen": free_address(),
        }

    def _start(self, kind: str, name: str, settings: dict[str, object]) -> None:
        path = self._write(f"{name}.yaml", settings)
        command = [sys.executable, "-m", "limedyke.cli", kind, f"--settings={path}"]
        process = ManagedProcess(name, command, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()

    def _write(self, name: str, values: object) -> Path:
        path = self.folder / name
        path.write_text(yaml.safe_dump(values))
        return path


class RunningCommand:
    """An operator's command that is running."""

    def __init__(self, command: list[str]) -> None:
        self._process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=environment(),
        )

    def finish(self) -> subprocess.CompletedProcess:
        """Wait for the end and return the output."""
        out, err = self._process.communicate(timeout=COMMAND_TIMEOUT_S)
        return subprocess.CompletedProcess(self._process.args, self._process.returncode, out, err)

"""A cluster of three controller processes on loopback, without proxies or members."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import psutil
import yaml

from limedyke.addresses import split_address
from limedyke_lab.agreement_measurements.operator_client import MeasuringOperator
from limedyke_lab.fleet.addresses import (
    CONTROLLER_HOST,
    CONTROLLER_PORT,
    STATUS_PORT,
    AddressLock,
)
from limedyke_lab.fleet.conditions import http_get
from limedyke_lab.fleet.process import ManagedProcess, end_all, run_command
from limedyke_lab.fleet.secrets import (
    OPERATOR_KEY,
    OPERATOR_NAME,
    OPERATOR_SECRET_NAME,
    process_secrets,
)

NAMES = ("controller-1", "controller-2", "controller-3")
ZONE_NUMBER = 1
END_TIMEOUT_S = 5.0
COMMAND_TIMEOUT_S = 30.0
SECRET_FILE_MODE = 0o600
LEADER_READINESS = "ready: leader"


class CommandFailedError(Exception):
    """An operator command exited with a non-zero code; the message is its output."""


class ControllerTrio:
    """A context manager that starts three controllers and ends them on exit.

    :param folder: directory for the settings, logs and data folders
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = AddressLock()
        self._processes: dict[str, ManagedProcess] = {}
        self.addresses: dict[str, str] = {}

    def __enter__(self) -> ControllerTrio:
        """Write the settings and start all three controllers."""
        plan = self._lock.acquire()
        ips = {
            name: plan.real_ip(ZONE_NUMBER, CONTROLLER_HOST + number)
            for number, name in enumerate(NAMES)
        }
        self.addresses = {name: f"{ip}:{CONTROLLER_PORT}" for name, ip in ips.items()}
        self.folder.mkdir(parents=True, exist_ok=True)
        secrets = self.folder / "secrets.yaml"
        secrets.touch(mode=SECRET_FILE_MODE)
        secrets.write_text(yaml.safe_dump(process_secrets()))
        for name, ip in ips.items():
            self._define_process(name, ip)
        self._write_settings("operator", self._operator_settings())
        self.start_all()
        return self

    def __exit__(self, *_: object) -> None:
        """End the processes and release the addresses."""
        end_all(list(self._processes.values()), END_TIMEOUT_S)
        self._lock.release()

    def _define_process(self, name: str, ip: str) -> None:
        settings = self._write_settings(name, self._controller_settings(name, ip))
        command = [sys.executable, "-m", "limedyke.cli", "controller", f"--settings={settings}"]
        self._processes[name] = ManagedProcess(name, command, self.folder / f"{name}.log")

    def _write_settings(self, name: str, values: dict[str, object]) -> Path:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(values, sort_keys=False))
        return path

    def _controller_settings(self, name: str, ip: str) -> dict[str, object]:
        return {
            "name": name,
            "zone": "local",
            "data_folder": str(self.data(name)),
            "source_ip": ip,
            "secrets_file": str(self.folder / "secrets.yaml"),
            "status_listen": f"{ip}:{STATUS_PORT}",
            "listen": self.addresses[name],
            "advertise": self.addresses[name],
            "peers": [
                {"name": peer, "address": address}
                for peer, address in self.addresses.items()
                if peer != name
            ],
            "operators": [{"name": OPERATOR_NAME, "secret": OPERATOR_SECRET_NAME}],
        }

    def _operator_settings(self) -> dict[str, object]:
        return {
            "operator": OPERATOR_NAME,
            "secret": OPERATOR_SECRET_NAME,
            "secrets_file": str(self.folder / "secrets.yaml"),
            "controllers": list(self.addresses.values()),
        }

    def data(self, name: str) -> Path:
        """Return the data folder of a controller."""
        return self.folder / "data" / name

    def process(self, name: str) -> ManagedProcess:
        """Return the process of a controller."""
        return self._processes[name]

    def start_all(self) -> None:
        """Start all controllers that are not running."""
        for process in self._processes.values():
            process.start()

    def kill_all(self) -> None:
        """Kill all controllers at once."""
        for process in self._processes.values():
            process.kill()

    def lose_disk(self, name: str) -> None:
        """Kill a controller and remove its data folder."""
        self.process(name).kill()
        shutil.rmtree(self.data(name))

    def leads(self, name: str) -> bool:
        """Tell whether a controller leads according to its own readiness page."""
        host, _ = split_address(self.addresses[name])
        _, reason = http_get(f"{host}:{STATUS_PORT}", "/readyz")
        return reason.strip() == LEADER_READINESS

    def maximum_cpu_seconds(self) -> float:
        """Return the largest CPU time of the running processes, in seconds."""
        times = [
            psutil.Process(process.pid).cpu_times()
            for process in self._processes.values()
            if process.running
        ]
        return max(used.user + used.system for used in times)

    def operator(self, *names: str) -> MeasuringOperator:
        """Return a client of the named controllers (default: all) that keeps one link open."""
        addresses = tuple(self.addresses[name] for name in names or NAMES)
        return MeasuringOperator(addresses, OPERATOR_NAME, OPERATOR_KEY.encode())

    def command(self, *arguments: str) -> str:
        """Run an operator command and return its standard output.

        :raises CommandFailedError: if its exit code is not 0
        """
        settings = self.folder / "operator.yaml"
        command = [sys.executable, "-m", "limedyke.cli", *arguments, f"--settings={settings}"]
        done = run_command([*command, "--output=json"], COMMAND_TIMEOUT_S)
        if done.returncode != 0:
            raise CommandFailedError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done.stdout

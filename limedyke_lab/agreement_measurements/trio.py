"""Three controller processes on loopback, without relays, proxies or members."""

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
LEADING = "ready: leader"


class CommandFailedError(Exception):
    """A command of the operator ended with another code than 0; the text is its output."""


class ControllerTrio:
    """Use it as a context manager; it ends only the processes that it started.

    :param folder: receives the settings, logs and data folders
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = AddressLock()
        self._processes: dict[str, ManagedProcess] = {}
        self.addresses: dict[str, str] = {}

    def __enter__(self) -> ControllerTrio:
        """Lay out the files and start all three."""
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
            self._prepare(name, ip)
        self._write("operator", self._operator_settings())
        self.start_all()
        return self

    def __exit__(self, *_: object) -> None:
        """End the processes and free the addresses."""
        end_all(list(self._processes.values()), END_TIMEOUT_S)
        self._lock.release()

    def _prepare(self, name: str, ip: str) -> None:
        settings = self._write(name, self._controller_settings(name, ip))
        command = [sys.executable, "-m", "limedyke.cli", "controller", f"--settings={settings}"]
        self._processes[name] = ManagedProcess(name, command, self.folder / f"{name}.log")

    def _write(self, name: str, values: dict[str, object]) -> Path:
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
        """Start all that do not run."""
        for process in self._processes.values():
            process.start()

    def kill_all(self) -> None:
        """End all at once, as a power cut of the place."""
        for process in self._processes.values():
            process.kill()

    def lose_disk(self, name: str) -> None:
        """End a controller at once and remove its data folder."""
        self.process(name).kill()
        shutil.rmtree(self.data(name))

    def leads(self, name: str) -> bool:
        """Tell whether a controller leads, by its own status page."""
        host, _ = split_address(self.addresses[name])
        _, reason = http_get(f"{host}:{STATUS_PORT}", "/readyz")
        return reason.strip() == LEADING

    def most_processor_seconds(self) -> float:
        """Return the most processor time that one of the running processes has used."""
        times = [
            psutil.Process(process.pid).cpu_times()
            for process in self._processes.values()
            if process.running
        ]
        return max(used.user + used.system for used in times)

    def operator(self, *names: str) -> MeasuringOperator:
        """Return a client that asks the named controllers, or all, over one lasting link."""
        addresses = tuple(self.addresses[name] for name in names or NAMES)
        return MeasuringOperator(addresses, OPERATOR_NAME, OPERATOR_KEY.encode())

    def command(self, *arguments: str) -> str:
        """Run a command of the operator and return its standard output.

        :raises CommandFailedError: when it ends with another code than 0
        """
        settings = self.folder / "operator.yaml"
        command = [sys.executable, "-m", "limedyke.cli", *arguments, f"--settings={settings}"]
        done = run_command([*command, "--output=json"], COMMAND_TIMEOUT_S)
        if done.returncode != 0:
            raise CommandFailedError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done.stdout

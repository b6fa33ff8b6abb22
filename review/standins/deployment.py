"""The project's programs as processes of a small deployment on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

from standins import http
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("brno-kampus", "praha-holes", "ostrava-vit")
REGIONS = {"brno-kampus": "brno", "praha-holes": "praha", "ostrava-vit": "ostrava"}
CONTROLLER_ZONES = (0, 0, 1, 1, 2)
PROXY_ZONES = (0, 1, 2)
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackTimeoutMs": 5000,
    "catchUpS": 4,
    "drainTimeoutMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 12000,
    "recoveryS": 12,
    "fencingEnforced": True,
    "thawSlackMs": 300,
}
"""The bounds of ``sites/chlad-pool.toml``, as the page SYSTEM gives them."""
HEARTBEAT_MS = 1200
LOWEST_PORT, HIGHEST_PORT = 21_000, 30_000
"""Below the ports that outgoing connections take."""


class CaseCannotRunError(Exception):
    """The system or the machine did not reach the state that the case needs."""


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the system."""

    name: str
    ip: str
    zone: str
    role: str


class Deployment:
    """Controllers and proxies, each a process started with the command of the deploy file.

    :ivar network: first two parts of all addresses
    """

    def __init__(self, record: Record, proxies: int = len(PROXY_ZONES)) -> None:
        self._record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = _free_network()
        self._first_port = random.randrange(LOWEST_PORT, HIGHEST_PORT, 50)
        self.controllers = [
            Machine(f"core-{n + 1}", self.ip(zone, 10 + n), ZONES[zone], "controller")
            for n, zone in enumerate(CONTROLLER_ZONES)
        ]
        self.proxies = [
            Machine(
                f"front-{n + 1}",
                self.ip(n % len(ZONES), 30 + n),
                ZONES[n % len(ZONES)],
                "proxy",
            )
            for n in range(proxies)
        ]
        self.member_port = self._first_port + 5
        self.platform_address = f"{self.ip(9, 1)}:{self._first_port + 1}"
        self._processes: dict[str, subprocess.Popen] = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def ip(self, zone: int, host: int) -> str:
        """Return an address of a zone."""
        return f"{self.network}.{zone + 1}.{host}"

    def control_address(self, machine: Machine) -> str:
        """Return where a controller serves the operator and members."""
        return f"{machine.ip}:{self._first_port}"

    def front_address(self, machine: Machine) -> str:
        """Return where a proxy serves clients."""
        return f"{machine.ip}:{self._first_port + 2}"

    def ready_address(self, machine: Machine) -> str:
        """Return where a proxy answers the ready probe."""
        return f"{machine.ip}:{self._first_port + 3}"

    def controller_at(self, url: str) -> Machine | None:
        """Return the controller whose control address is in a URL."""
        address = url.removeprefix("http://")
        return next((m for m in self.controllers if self.control_address(m) == address), None)

    def start_all(self) -> None:
        """Start all processes with ``bootstrap``."""
        for machine in (*self.controllers, *self.proxies):
            self.start(machine, bootstrap=True)

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start a machine's process."""
        settings = self.folder / f"{machine.name}.json"
        settings.write_text(json.dumps(self._settings(machine, bootstrap)))
        command = self._roles[machine.role]["run"].split(" ")
        passed_on = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in passed_on if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LIMEDYKE_NODE_FILE"] = str(settings)
        with open(self.folder / f"{machine.name}.log", "ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._processes[machine.name] = process
        self._record.note(f"process {machine.name} started: {' '.join(command)}")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        self._record.say(f"process {machine.name} gets {number.name}")
        self._processes[machine.name].send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kill a machine's process, and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        self._processes[machine.name].wait()

    def is_running(self, machine: Machine) -> bool:
        """Tell whether a machine's process runs."""
        return self._processes[machine.name].poll() is None

    def stop_all(self) -> None:
        """Kill all processes that this deployment started, and remove its folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", flush=True)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_until_ready(self, limit_s: float = 30.0) -> None:
        """Wait until all proxies answer the ready probe with 200.

        :raises CaseCannotRunError: when they don't in time
        """
        end = self._record.now() + limit_s
        missing = set(self.proxies)
        while missing and self._record.now() < end:
            for machine in list(missing):
                answer = await http.call(self.ready_address(machine), "GET", "/ready")
                if answer.status == 200:
                    missing.discard(machine)
            await asyncio.sleep(0.2)
        if missing:
            raise CaseCannotRunError(f"not ready: {sorted(m.name for m in missing)}")
        self._record.say("all proxies are ready")

    async def configure(self, configuration: dict, limit_s: float = 30.0) -> None:
        """Send a configuration until a controller acknowledges it.

        :raises CaseCannotRunError: when none does in time
        """
        end = self._record.now() + limit_s
        while self._record.now() < end:
            for machine in self.controllers:
                address = self.control_address(machine)
                answer = await http.call(address, "PUT", "/config", configuration, 3.0)
                if answer.status == 200:
                    self._record.say(f"configuration {configuration['version']} acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CaseCannotRunError("no controller acknowledges the configuration")

    def _settings(self, machine: Machine, bootstrap: bool) -> dict:
        is_proxy = machine.role == "proxy"
        front = {"front": self.front_address(machine), "readiness": self.ready_address(machine)}
        control = {"control": self.control_address(machine)}
        seeds = [self.controllers[0], self.controllers[2], self.controllers[4]]
        folder = self.folder / f"data-{machine.name}"
        if not is_proxy:
            folder.mkdir(exist_ok=True)
        return {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": "front" if is_proxy else "core",
            "serves": ["front"] if is_proxy else ["control"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGIONS[machine.zone],
            "zones": REGIONS,
            "listen": front if is_proxy else control,
            "internalPortRange": [self._first_port + 10, self._first_port + 25],
            "seedNodes": [self.control_address(seed) for seed in seeds],
            "bootstrap": bootstrap,
            "inTolerance": not is_proxy,
            "limits": {
                "cpuShare": 0.537 if is_proxy else 0.86,
                "cpuCores": 2 if is_proxy else 3,
                "memoryMb": 300 if is_proxy else 296,
                "maxOpenFiles": 4300 if is_proxy else 4096,
                "linkMbps": 1000.0,
                "diskMb": 0 if is_proxy else 128,
            },
            "dataDir": None if is_proxy else str(folder),
            "discovery": "registration",
            "entry": "vip",
            "heartbeatIntervalMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloudApi": {
                "address": self.platform_address,
                "ratePerS": 50.0,
                "duties": ["promotion"],
                "dutyPerS": 50.0,
            },
        }


def _free_network() -> str:
    """Return the first two parts of loopback addresses on which nothing seems to listen."""
    for _ in range(20):
        network = f"127.{random.randrange(64, 250)}"
        try:
            for port in (9464, 9465):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1.10", port))
        except OSError:
            continue
        return network
    raise CaseCannotRunError("no free loopback addresses")

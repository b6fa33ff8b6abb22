"""A deployment on loopback: real controller and proxy processes, fakes for everything else."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio

from features.support.line_platform.authority import StandInAuthority
from features.support.line_platform.group import StandInGroup, StandInMember
from features.support.platform_path import PLATFORM_FOLDER
from limedyke.transport.http_client import HttpCall, call_http
from limedyke.transport.http_server import HttpLimits, HttpServer
from limedyke.transport.link import listen

NETWORK = os.environ.get("LIMEDYKE_TEST_NETWORK", "127.31")
"""First two parts of all addresses, so that two deployments can run on one machine."""
CONTROLLERS = tuple(f"{NETWORK}.{zone}.1" for zone in (1, 2, 3))
PROXIES = tuple(f"{NETWORK}.{zone}.2" for zone in (1, 2))
ZONES = {f"{NETWORK}.{zone}": f"z{zone}" for zone in (1, 2, 3)}
SEED_COUNT = 3
MAX_STALENESS_MS = 2_000
CONTROL_PORT, FRONT_PORT, READY_PORT, CLOUD_PORT = 28_782, 28_784, 28_785, 28_783
FIRST_INTERNAL_PORT = 28_440
CLOUD_ADDRESS = f"{NETWORK}.9.1:{CLOUD_PORT}"
HEARTBEAT_S = 0.3
CALL_TIMEOUT_S = 3.0
GROUP = "g1"
USUAL_PRIORITY = 1


class Deployment:
    """Controllers, two or more proxies, and one group of members.

    :param folder: holds data, node files and logs
    :param proxies: IP addresses of the proxies' machines
    :param synchronous_replicas: replicas that must have received a commit before it is answered
    :param controllers: IP addresses of the controllers' machines; the first three are seeds
    :param tolerated_losses: controllers that may be lost at once, as the node files state
    :ivar seeds: the controllers listed in node files
    :ivar priorities: priority by database, where it differs from ``USUAL_PRIORITY``
    :ivar route_type: which members the clients' reads may use
    :ivar authority: promotes members
    """

    def __init__(
        self,
        folder: Path,
        proxies: tuple[str, ...] = PROXIES,
        synchronous_replicas: int = 0,
        controllers: tuple[str, ...] = CONTROLLERS,
        tolerated_losses: int = 1,
    ) -> None:
        self._folder = folder
        self.proxies = proxies
        self.controllers = controllers
        self.tolerated_losses = tolerated_losses
        self.seeds = controllers[:SEED_COUNT]
        self._processes: dict[str, subprocess.Popen] = {}
        self._extra_controllers: set[str] = set()
        self.tenants: list[dict] | None = None
        self.priorities: dict[str, int] = {}
        self.group = StandInGroup(GROUP, ("a", "b", "c"), synchronous_replicas=synchronous_replicas)
        self.authority = StandInAuthority(self.group, self._announce)
        self.route_type = "direct"
        self.version = 0
        self.statement_timeout_ms = 1_000
        self._born_ms = int(time.time() * 1_000)

    async def start(self) -> None:
        """Start the fakes and all processes."""
        await self.group.start()
        listener = listen(CLOUD_ADDRESS).unwrap()
        server = HttpServer(self.authority.answer, HttpLimits(64 * 1024))
        await curio.spawn(server.run, listener, daemon=True)
        for ip in self.controllers:
            await self.start_machine(ip, "run_controller.py")
        for ip in self.proxies:
            await self.start_machine(ip, "run_proxy.py")
        await curio.spawn(self._send_heartbeats, daemon=True)

    async def start_machine(self, ip: str, program: str) -> None:
        """Start the first process of a machine."""
        self.start_process(ip, program, bootstrap=True)

    def start_controller(self, ip: str) -> None:
        """Start a controller that is not a seed."""
        self._extra_controllers.add(ip)
        self.start_process(ip, "run_controller.py", bootstrap=True)

    def start_process(
        self, ip: str, program: str, bootstrap: bool = False, written: str | None = None
    ) -> None:
        """Start one process with its own node file.

        :param written: content of the node file at the start; None for the complete file
        """
        path = self.write_node_file(ip, bootstrap)
        if written is not None:
            path.write_text(written)
        environment = {**os.environ, "LIMEDYKE_NODE_FILE": str(path)}
        platform_folder = self.platform_folder(ip)
        with open(self._folder / f"{ip}.log", "ab") as log:
            self._processes[ip] = subprocess.Popen(
                [sys.executable, str(platform_folder / program)],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=platform_folder.parent,
            )

    def platform_folder(self, ip: str) -> Path:
        """Return the folder of the programs that a machine runs."""
        return PLATFORM_FOLDER

    def write_node_file(self, ip: str, bootstrap: bool = False) -> Path:
        """Write the current node file of a machine; return its path."""
        path = self._folder / f"{ip}.json"
        path.write_text(json.dumps(self._node_file(ip, bootstrap)))
        return path

    def _node_file(self, ip: str, bootstrap: bool) -> dict:
        is_controller = ip in self.controllers or ip in self._extra_controllers
        front = {"front": f"{ip}:{FRONT_PORT}", "readiness": f"{ip}:{READY_PORT}"}
        return {
            "nodeName": ip,
            "ip": ip,
            "zone": ZONES[ip.rpartition(".")[0]],
            "listen": {"control": f"{ip}:{CONTROL_PORT}"} if is_controller else front,
            "internalPortRange": [FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 15],
            "seedNodes": [f"{seed}:{CONTROL_PORT}" for seed in self.seeds],
            "bootstrap": bootstrap,
            "dataDir": str(self.data_folder(ip)) if is_controller else None,
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1_000),
            "faultTolerance": {"machines": self.tolerated_losses},
            "cloudApi": {"address": CLOUD_ADDRESS},
        }

    def process(self, ip: str) -> subprocess.Popen:
        """Return the most recently started process of a machine."""
        return self._processes[ip]

    def started_machines(self) -> tuple[str, ...]:
        """Return the machines of controllers and proxies that have been started."""
        return tuple(ip for ip in (*self.controllers, *self.proxies) if ip in self._processes)

    def kill(self, ip: str) -> None:
        """Kill a machine's process and wait for its end."""
        self._processes[ip].kill()
        self._processes[ip].wait()

    def log(self, ip: str) -> str:
        """Return what the processes of a machine have logged so far."""
        return (self._folder / f"{ip}.log").read_text()

    def data_folder(self, ip: str) -> Path:
        """Return the data folder of a controller."""
        return self._folder / ip

    async def stop(self) -> None:
        """Kill all processes and stop the members."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        await self.group.stop()

    async def wait_until(self, condition, seconds: float, what: str) -> None:
        """Poll a coroutine function until it returns True.

        :raises AssertionError: when it does not return True in time
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await curio.sleep(0.05)
        raise AssertionError(f"not in {seconds} s: {what}; logs in {self._folder}")

    async def is_ready(self, ip: str) -> bool:
        """Return True if a proxy's readiness endpoint reports ready."""
        call = HttpCall("GET", "/ready", b"")
        return await call_http(f"{ip}:{READY_PORT}", call, CALL_TIMEOUT_S) == 200

    async def declare(self, databases: tuple[str, ...], ip: str = CONTROLLERS[0]) -> int | None:
        """Send the next version of the configuration; return the HTTP status."""
        self.version += 1
        return await self.send_configuration(self.version, databases, ip)

    async def send_configuration(
        self, version: int, databases: tuple[str, ...], ip: str = CONTROLLERS[0]
    ) -> int | None:
        """Send a configuration with the given version; return the HTTP status."""
        routes = [
            {
                "name": f"r-{name}",
                "hostname": name,
                "pathPrefix": "/",
                "routeType": self.route_type,
                "timeoutMs": self.statement_timeout_ms,
                "targetLatencyMs": 1_000,
                "priority": self.priorities.get(name, USUAL_PRIORITY),
                "service": GROUP,
                "maxAttempts": 2,
                "maxStalenessMs": MAX_STALENESS_MS,
            }
            for name in databases
        ]
        replicas = self.group.synchronous_replicas
        services = [{"name": GROUP, "maxConnections": 20, "syncReplicas": replicas}]
        body = {"version": version, "routes": routes, "services": services, "limits": {}}
        if self.tenants is not None:
            body["tenants"] = self.tenants
        call = HttpCall("PUT", "/config", json.dumps(body).encode())
        return await call_http(f"{ip}:{CONTROL_PORT}", call, CALL_TIMEOUT_S)

    async def read_status(self, ip: str) -> int | None:
        """Read the configuration from a controller; return the HTTP status."""
        call = HttpCall("GET", "/config", b"")
        return await call_http(f"{ip}:{CONTROL_PORT}", call, CALL_TIMEOUT_S)

    async def _send_heartbeats(self) -> None:
        while True:
            for member in self.group.members.values():
                if not member.task.terminated:
                    await self._announce(member)
            await curio.sleep(HEARTBEAT_S)

    def address_of(self, member: StandInMember) -> str:
        """Return the address that a member announces."""
        return member.address

    async def _announce(self, member: StandInMember) -> None:
        """Announce a member, now or once its announcements have travelled."""
        body = json.dumps(self.announcement(member)).encode()
        if not member.announces_itself:
            return
        if not member.announcements_travel_s:
            await self.deliver_announcement(member, body)
            return
        await curio.spawn(self._deliver_late, member, body, daemon=True)

    def announcement(self, member: StandInMember) -> dict:
        """Return what a member says of itself now."""
        return {
            "service": GROUP,
            "address": self.address_of(member),
            "zone": "z1",
            "version": "v1",
            "capacity": 3,
            "state": member.announced_state,
            "warmupLeftMs": 0,
            "dbRole": "primary" if member.is_primary else "replica",
            "callSeq": int(time.monotonic() * 1_000),
            "born": self._born_ms + member.incarnation,
        }

    async def _deliver_late(self, member: StandInMember, body: bytes) -> None:
        await curio.sleep(member.announcements_travel_s)
        await self.deliver_announcement(member, body)

    async def deliver_announcement(self, member: StandInMember, body: bytes) -> None:
        """Send an announcement to the controllers in order until one acknowledges it."""
        call = HttpCall("PUT", f"/instances/{member.identity}", body)
        for ip in self.controllers:
            if await call_http(f"{ip}:{CONTROL_PORT}", call, 1.0) == 200:
                return

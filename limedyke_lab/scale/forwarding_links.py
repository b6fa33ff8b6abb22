"""What idle forwarding links cost a proxy: memory, file descriptors and processor time.

One real proxy process; its peers are hollow ones of this process.
"""

from __future__ import annotations

import enum
import json
import statistics
import sys
from collections.abc import Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import curio
import psutil
from result import Err

from limedyke.messages.handshake import PeerRole
from limedyke.messages.work import AnswerEnd, LinkProbe, LogPosition, TransactionStatus, WorkUnit
from limedyke.settings.proxy import ProxySettings
from limedyke.transport.link import Link, LinkIdentity, dial, listen, serve_links
from limedyke_lab.fleet.addresses import AddressLock, AddressPlan
from limedyke_lab.fleet.process import ManagedProcess
from limedyke_lab.scale.hosts import ScaleTimeoutError
from limedyke_lab.scale.measurements import Recorder
from limedyke_lab.scale.report import render_table
from limedyke_lab.scale.scale_fleet import poll_until
from limedyke_lab.scale.sizes import LETTER_SIZE, ScaleSize, proxy_name, zone_name
from limedyke_lab.scale.usage import Usage, cpu_percent, read_usage

COUNTS = (0, 100, 400, LETTER_SIZE.nodes - 1)
PROXY_MODULE = "limedyke_lab.scale.linked_proxy"
PROXY_NAME = "linked-proxy"
CLUSTER_SECRET = "cluster"
CLUSTER_KEY = "links"
START_TIMEOUT_S = 30.0
SETTLE_S = 2.0
KIB_PER_MIB = 1_024


class Direction(enum.StrEnum):
    """Who opened the links that a proxy holds."""

    DIALLED = "dialled"
    ACCEPTED = "accepted"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class LinkCost:
    """What a proxy took with a number of idle links in each direction named.

    :param memory_mib: resident memory
    :param descriptors: open file descriptors
    :param cpu_percent: share of one core
    """

    links: int
    memory_mib: float
    descriptors: int
    cpu_percent: float


@dataclass(frozen=True, slots=True)
class Line:
    """cost = constant + slope * links.

    :param residual: largest difference between a measurement and the line
    """

    constant: float
    slope: float
    residual: float


def fit_line(links: Sequence[int], costs: Sequence[float]) -> Line:
    """Fit a cost measured at several numbers of links, by least squares."""
    slope, constant = statistics.linear_regression(links, costs)
    pairs = zip(links, costs, strict=True)
    residual = max(abs(constant + slope * count - cost) for count, cost in pairs)
    return Line(constant, slope, residual)


class HollowPeers:
    """Proxies that answer each unit at once, and that open links to the measured proxy."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._dialled: list[Link] = []
        self.answered = 0
        self.address = ""

    async def start(self) -> None:
        """Take links at an address of their own."""
        listener = listen(f"{self._ip}:0").ok_value
        self.address = f"{self._ip}:{listener.getsockname()[1]}"
        identity = LinkIdentity(PeerRole.PROXY, proxy_name(0), CLUSTER_KEY.encode())
        await curio.spawn(serve_links, listener, identity, _key_of, self._serve, daemon=True)

    async def _serve(self, link: Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, LinkProbe):
                await link.send(LinkProbe(message.sequence, True))
            elif isinstance(message, WorkUnit):
                self.answered += 1
                await link.send(
                    AnswerEnd(message.stream, TransactionStatus.IDLE, LogPosition(), "", False)
                )

    async def open_links(self, address: str, count: int) -> None:
        """Open links to a proxy, each under a name of its own; they stay open."""
        for number in range(1, count + 1):
            identity = LinkIdentity(PeerRole.PROXY, proxy_name(number), CLUSTER_KEY.encode())
            dialled = await dial(address, identity, _key_of, self._ip, START_TIMEOUT_S)
            if isinstance(dialled, Err):
                raise ScaleTimeoutError(f"link {number}: {dialled.err_value}")
            self._dialled.append(dialled.ok_value)

    async def close(self) -> None:
        """Close the links opened from here."""
        while self._dialled:
            await self._dialled.pop().close()


def _key_of(_role: PeerRole, _name: str) -> bytes:
    return CLUSTER_KEY.encode()


class LinkMeasurement:
    """Measures one proxy process after the other.

    :param seconds: how long processor time is counted
    """

    def __init__(self, folder: Path, addresses: AddressPlan, seconds: float) -> None:
        self._folder = folder
        self._ip = addresses.real_ip(0, 10)
        self._peers = HollowPeers(addresses.real_ip(0, 11))
        self._seconds = seconds
        self._link_address = f"{self._ip}:7100"

    async def start(self) -> None:
        """Start the hollow peers."""
        self._folder.mkdir(parents=True, exist_ok=True)
        await self._peers.start()

    async def measure(self, links: int, direction: Direction) -> LinkCost:
        """Start a proxy, bring its links about, and read what it takes while they are idle."""
        dialled = 0 if direction is Direction.ACCEPTED else links
        accepted = 0 if direction is Direction.DIALLED else links
        self._peers.answered = 0
        with self._proxy(dialled) as process:
            await poll_until("the proxy takes links", self._takes_links, START_TIMEOUT_S)
            await self._peers.open_links(self._link_address, accepted)
            await poll_until("all links", lambda: self._has_dialled(dialled), START_TIMEOUT_S)
            await curio.sleep(min(SETTLE_S, self._seconds))
            before = read_usage(process.pid)
            await curio.sleep(self._seconds)
            after = read_usage(process.pid)
            cost = _cost(links, process.pid, before, after)
            if not process.running:
                raise ScaleTimeoutError(process.failure())
        await self._peers.close()
        return cost

    async def _takes_links(self) -> bool:
        identity = LinkIdentity(PeerRole.PROXY, proxy_name(0), CLUSTER_KEY.encode())
        dialled = await dial(self._link_address, identity, _key_of)
        if isinstance(dialled, Err):
            return False
        await dialled.ok_value.close()
        return True

    async def _has_dialled(self, count: int) -> bool:
        return self._peers.answered >= count

    @contextmanager
    def _proxy(self, dialled: int):
        path = self._folder / "settings.json"
        path.write_text(json.dumps(self._values(dialled)))
        command = [sys.executable, "-m", PROXY_MODULE, str(path)]
        process = ManagedProcess(PROXY_NAME, command, self._folder / "proxy.log")
        process.start()
        try:
            yield process
        finally:
            process.kill()

    def _values(self, dialled: int) -> dict:
        settings = ProxySettings(
            name=PROXY_NAME,
            zone=zone_name(1),
            data_folder=self._folder / "data",
            source_ip=self._ip,
            secrets_file=self._folder / "no-secrets.yaml",
            cluster_key=CLUSTER_SECRET,
            status_listen=f"{self._ip}:7001",
            client_listen=f"{self._ip}:6432",
            link_listen=self._link_address,
            link_advertise=self._link_address,
            controllers=(f"{self._ip}:1",),
            log_level="ERROR",
        )
        return {
            "proxy": settings.model_dump(mode="json"),
            "secrets": {CLUSTER_SECRET: CLUSTER_KEY},
            "home_address": self._peers.address,
            "homes": [proxy_name(number) for number in range(1, dialled + 1)],
        }


def _cost(links: int, pid: int, before: Usage, after: Usage) -> LinkCost:
    descriptors = psutil.Process(pid).num_fds()
    return LinkCost(links, after.memory_mib, descriptors, cpu_percent(before, after))


def _record(recorder: Recorder, direction: Direction, cost: LinkCost) -> None:
    # The first number of the size is the number of links here.
    size = ScaleSize(cost.links, 1)
    scenario = f"idle links {direction}"
    recorder.add(size, scenario, "proxy", "memory", cost.memory_mib, "MiB")
    recorder.add(size, scenario, "proxy", "descriptors", cost.descriptors, "")
    recorder.add(size, scenario, "proxy", "cpu", cost.cpu_percent, "%")


def _render_lines(direction: Direction, costs: Sequence[LinkCost]) -> str:
    links = [cost.links for cost in costs]
    memory = fit_line(links, [cost.memory_mib for cost in costs])
    descriptors = fit_line(links, [cost.descriptors for cost in costs])
    cpu = fit_line(links, [cost.cpu_percent for cost in costs])
    return (
        f"links {direction}: "
        f"memory={memory.slope * KIB_PER_MIB:.2f} KiB a link (residual {memory.residual:.2f} MiB) "
        f"descriptors={descriptors.slope:.3f} a link (residual {descriptors.residual:.1f}) "
        f"cpu={cpu.slope * 100:.3f} % of a core per 100 links (residual {cpu.residual:.2f} %)"
    )


async def measure_links(
    counts: Sequence[int], folder: Path, seconds: float, recorder: Recorder
) -> dict[Direction, list[LinkCost]]:
    """Measure each number of links in each direction; values are recorded as they come.

    :raises ScaleTimeoutError: when links can't be brought about
    """
    lock = AddressLock()
    measurement = LinkMeasurement(folder, lock.acquire(), seconds)
    costs: dict[Direction, list[LinkCost]] = {direction: [] for direction in Direction}
    try:
        await measurement.start()
        for direction in Direction:
            for count in counts:
                cost = await measurement.measure(count, direction)
                costs[direction].append(cost)
                _record(recorder, direction, cost)
    finally:
        lock.release()
    return costs


def run_links(out: str, seconds: float, run_root: str) -> int:
    """Measure what idle links to and from other proxies cost a proxy.

    :param out: JSON lines file that receives each measured value
    :param seconds: how long processor time is counted at each step
    :param run_root: folder that holds the run folder
    """
    recorder = Recorder(Path(out))
    folder = Path(run_root) / "links"
    costs = curio.run(measure_links, COUNTS, folder, float(seconds), recorder)
    print(render_table(recorder.measurements))
    for direction, measured in costs.items():
        print(_render_lines(direction, measured))
    print(f"links: values={len(recorder.measurements)} out={out}")
    return 0

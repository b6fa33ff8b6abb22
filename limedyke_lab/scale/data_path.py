"""What clients and statements cost a proxy: the slopes of the data path.

Run on a fleet of real processes without network delays; the clients connect past the relays.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import psycopg

from limedyke.addresses import split_address
from limedyke.core.home import home_proxies
from limedyke.messages.control import ProxyRecord, ProxyState
from limedyke_lab.fleet.fleet import Fleet, FleetOptions
from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.fleet.topology import Node
from limedyke_lab.load import statements
from limedyke_lab.load.profiles import WATCHERS
from limedyke_lab.load.runner import create_tables
from limedyke_lab.scale.measurements import Recorder
from limedyke_lab.scale.report import render_table
from limedyke_lab.scale.sizes import ScaleSize
from limedyke_lab.scale.usage import MIB, Usage, cpu_percent, read_usage

GEOGRAPHY = "ostmark"
PROXIES = 4
HOME_PROXIES = 3
CLIENT_STEPS = (0, 1_000, 2_000, 4_000)
LOGIN_THREADS = 8
SETTLE_S = 3.0
LOAD_THREADS = 8
LETTER_RATE = 365
"""Statements a second on one node at the size aimed for: 310,000 over 850 nodes."""
FULL_SPEED = 0
READ = "SELECT number FROM registers WHERE owner = %(owner)s"
WORDS = {LETTER_RATE: f"at {LETTER_RATE}/s", FULL_SPEED: "as fast as it goes"}


@dataclass(frozen=True, slots=True)
class Load:
    """One load: its statement, the proxy that the clients enter, and the rate wanted.

    :param rate: statements a second over all threads; ``FULL_SPEED`` for no pause
    """

    name: str
    statement: str
    entry: Node
    rate: int


class DataPath:
    """Measures on a running fleet.

    :param seconds: how long each load lasts
    """

    def __init__(self, fleet: Fleet, recorder: Recorder, seconds: float) -> None:
        self._fleet = fleet
        self._recorder = recorder
        self._seconds = seconds
        self._tenant, self._user = WATCHERS[GEOGRAPHY]
        self._group = fleet.topology.geography.groups[0]
        homes = self._homes()
        nodes = fleet.topology.proxies
        self.home = next(node for node in nodes if node.name in homes)
        self.stranger = next(node for node in nodes if node.name not in homes)

    def _homes(self) -> tuple[str, ...]:
        records = [
            ProxyRecord(node.name, 1, node.listen, node.zone.name, ProxyState.SERVING)
            for node in self._fleet.topology.proxies
        ]
        return home_proxies(self._group, records, HOME_PROXIES)

    def _add(self, clients: int, scenario: str, role: str, measure: str, value: float, unit: str):
        # The first number of the size is the number of clients here.
        self._recorder.add(ScaleSize(clients, 1), scenario, role, measure, value, unit)

    def _connect(self, node: Node) -> psycopg.Connection:
        host, port = split_address(node.listen)
        return psycopg.connect(
            host=host,
            port=port,
            dbname=f"{self._tenant}/{self._group}",
            user=self._user,
            password=client_password(self._user),
            autocommit=True,
            connect_timeout=30,
        )

    def _usage(self, node: Node) -> Usage:
        return read_usage(self._fleet.process(node.name).pid)

    def idle_clients(self) -> None:
        """Connect more and more clients to one proxy, and read its memory and processor time."""
        empty = self._usage(self.home).memory_mib
        with ExitStack() as stack, ThreadPoolExecutor(LOGIN_THREADS) as threads:
            held = 0
            for wanted in CLIENT_STEPS:
                before = self._usage(self.home)
                nodes = [self.home] * (wanted - held)
                for connection in threads.map(self._connect, nodes):
                    stack.callback(connection.close)
                after = self._usage(self.home)
                if wanted > held:
                    login_ms = 1000 * (after.cpu_s - before.cpu_s) / (wanted - held)
                    self._add(wanted, "idle clients", "proxy", "cpu per login", login_ms, "ms")
                held = wanted
                self._settle(wanted, empty)

    def _settle(self, clients: int, empty_mib: float) -> None:
        time.sleep(SETTLE_S)
        before = self._usage(self.home)
        time.sleep(self._seconds)
        after = self._usage(self.home)
        self._add(clients, "idle clients", "proxy", "memory", after.memory_mib, "MiB")
        self._add(clients, "idle clients", "proxy", "cpu", cpu_percent(before, after), "%")
        if clients:
            each = (after.memory_mib - empty_mib) * MIB / 1024 / clients
            self._add(clients, "idle clients", "proxy", "memory per client", each, "KiB")

    def statements(self) -> None:
        """Run reads and writes at a home proxy, and through one that has to forward them."""
        idle = self._idle_shares()
        with self._connect(self.home) as connection:
            parameters = {"number": 1, "owner": "data-path"}
            connection.execute(statements.WRITE_REGISTER, parameters)
        for rate in WORDS:
            for entry, word in ((self.home, "at home"), (self.stranger, "forwarded")):
                self._run(Load(f"read {word}", READ, entry, rate), idle)
                self._run(Load(f"write {word}", statements.WRITE_REGISTER, entry, rate), idle)

    def _idle_shares(self) -> dict[str, float]:
        """Return the processor seconds a second that each proxy spends without statements."""
        nodes = self._fleet.topology.proxies
        before = {node.name: self._usage(node) for node in nodes}
        time.sleep(self._seconds)
        return {
            node.name: cpu_percent(before[node.name], self._usage(node)) / 100 for node in nodes
        }

    def _run(self, load: Load, idle: dict[str, float]) -> None:
        nodes = self._fleet.topology.proxies
        with self._clients(load) as counts:
            time.sleep(1.0)
            before = {node.name: self._usage(node) for node in nodes}
            done_before = sum(counts)
            time.sleep(self._seconds)
            done = sum(counts) - done_before
            after = {node.name: self._usage(node) for node in nodes}
        spent = {
            name: after[name].cpu_s - before[name].cpu_s - idle[name] * self._seconds
            for name in after
        }
        entry = spent.pop(load.entry.name)
        scenario = f"{load.name}, {WORDS[load.rate]}"
        rate = done / self._seconds
        self._add(LOAD_THREADS, scenario, "all", "statements", rate, "1/s")
        entry_ms = 1000 * entry / max(done, 1)
        home_ms = 1000 * sum(spent.values()) / max(done, 1)
        self._add(LOAD_THREADS, scenario, "entry proxy", "cpu per statement", entry_ms, "ms")
        self._add(LOAD_THREADS, scenario, "other proxies", "cpu per statement", home_ms, "ms")

    @contextmanager
    def _clients(self, load: Load) -> Iterator[list[int]]:
        """Run the load in threads; yields how many statements each has done."""
        counts = [0] * LOAD_THREADS
        ended = threading.Event()
        threads = [
            threading.Thread(target=self._run_client, args=(load, counts, number, ended))
            for number in range(LOAD_THREADS)
        ]
        for thread in threads:
            thread.start()
        try:
            yield counts
        finally:
            ended.set()
            for thread in threads:
                thread.join()

    def _run_client(
        self, load: Load, counts: list[int], place: int, ended: threading.Event
    ) -> None:
        interval_s = LOAD_THREADS / load.rate if load.rate else 0.0
        next_at = time.monotonic()
        with self._connect(load.entry) as connection:
            while not ended.is_set():
                number = counts[place] + 1
                connection.execute(load.statement, {"number": number, "owner": f"owner-{place}"})
                counts[place] = number
                next_at = max(next_at + interval_s, time.monotonic() - interval_s)
                ended.wait(max(0.0, next_at - time.monotonic()))


def run_data_path(out: str = "run/data-path.jsonl", seconds: float = 5.0, run_root: str = "run"):
    """Measure what idle clients and statements cost a proxy.

    :param out: JSON lines file that receives each measured value
    :param seconds: how long each load lasts
    :param run_root: folder that holds the run folder
    """
    recorder = Recorder(Path(out))
    options = FleetOptions(
        geography=GEOGRAPHY,
        name="data-path",
        delays=False,
        proxies=PROXIES,
        run_root=Path(run_root),
    )
    with Fleet(options) as fleet:
        create_tables(fleet)
        data_path = DataPath(fleet, recorder, float(seconds))
        data_path.idle_clients()
        data_path.statements()
    print(render_table(recorder.measurements))
    print(f"data-path: values={len(recorder.measurements)} out={out}")
    return 0

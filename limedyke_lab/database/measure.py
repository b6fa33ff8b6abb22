"""Measures one member: ``python -m limedyke_lab.database.measure``.

Starts a member on loopback and drives it from this process over raw sockets, so that the client
uses little CPU compared with the member.
"""

from __future__ import annotations

import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import fire
import psutil
import psycopg

HOST = "127.11.3.1"
START_TIMEOUT_S = 20.0
END_TIMEOUT_S = 5.0
POLL_S = 0.05
CONNECTION_TRIES = 40
ROWS = 1000
KEYS_IN_TURN = 97
READY = b"Z\x00\x00\x00\x05I"
RECEIVE_BYTES = 65536
MILLISECONDS = 1000.0
PERCENTILES = 100
TABLE = "CREATE TABLE item (id INTEGER PRIMARY KEY, text TEXT NOT NULL)"
FILL = (
    f"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i<{ROWS}) "
    "INSERT INTO item SELECT i, 'text of item ' || i FROM n"
)


@dataclass(frozen=True, slots=True)
class Measured:
    """Statements per second, latency in milliseconds, and the member's share of one processor."""

    statements_per_s: float
    p50_ms: float
    p99_ms: float
    processor_share: float


@dataclass(slots=True)
class _Client:
    """One raw connection with at most one statement in flight.

    :param received: the last bytes of the response received so far
    """

    sock: socket.socket
    sent_at: float = 0.0
    received: bytes = b""


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class MeasuredMember:
    """Context manager that runs a member process with a filled table."""

    def __init__(self, slots: int, connection_limit: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="limedyke-member-")
        path = Path(self._folder.name)
        self._port = _free_port()
        passwords = path / "passwords.yaml"
        passwords.write_text("lab_admin: lab\napp: secret\n")
        self._command = [sys.executable, "-m", "limedyke_lab.database", "--name=a"]
        self._command += [f"--listen={HOST}:{self._port}", f"--data={path / 'a'}"]
        self._command += [f"--password_file={passwords}", "--initial_primary"]
        self._command += [f"--slots={slots}", f"--connection_limit={connection_limit}"]
        self._command += ["--log_level=WARNING"]

    def __enter__(self) -> MeasuredMember:
        """Start the member and fill its table."""
        self._process = subprocess.Popen(self._command)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self._is_filled():
            if time.monotonic() > deadline:
                raise TimeoutError("the member did not start in time")
            time.sleep(POLL_S)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the member."""
        self._process.terminate()
        self._process.wait(END_TIMEOUT_S)
        self._folder.cleanup()

    def _is_filled(self) -> bool:
        try:
            with self.connect() as connection:
                connection.execute(TABLE)
                connection.execute(FILL)
        except psycopg.OperationalError:
            return False
        return True

    def connect(self) -> psycopg.Connection:
        """Return a logged-in connection."""
        return psycopg.connect(
            host=HOST,
            port=self._port,
            user="app",
            password="secret",
            dbname="lab",
            autocommit=True,
        )

    def processor_seconds(self) -> float:
        """Return the CPU time in seconds that the member has used."""
        times = psutil.Process(self._process.pid).cpu_times()
        return times.user + times.system


def _query(sql: str) -> bytes:
    body = sql.encode() + b"\x00"
    return b"Q" + (len(body) + 4).to_bytes(4, "big") + body


def drive(member: MeasuredMember, statements: list[str], clients: int, seconds: float) -> Measured:
    """Keep one statement in flight on each connection for the given time."""
    messages = [_query(statement) for statement in statements]
    connections = [member.connect() for _ in range(clients)]
    selector = selectors.DefaultSelector()
    for connection in connections:
        sock = socket.socket(fileno=socket.dup(connection.fileno()))
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ, _Client(sock))
    processor_before = member.processor_seconds()
    began = time.perf_counter()
    durations = _exchange(selector, messages, began + seconds)
    elapsed = time.perf_counter() - began
    processor = member.processor_seconds() - processor_before
    for key in list(selector.get_map().values()):
        key.data.sock.close()
    for connection in connections:
        connection.close()
    quantiles = statistics.quantiles(durations, n=PERCENTILES)
    return Measured(
        statements_per_s=len(durations) / elapsed,
        p50_ms=quantiles[49] * MILLISECONDS,
        p99_ms=quantiles[98] * MILLISECONDS,
        processor_share=processor / elapsed,
    )


def _exchange(
    selector: selectors.BaseSelector, messages: list[bytes], deadline: float
) -> list[float]:
    """Send the statements in rotation; return the latency of each in seconds."""
    durations: list[float] = []
    sent = 0
    under_way = 0
    for key in selector.get_map().values():
        _send(key.data, messages[sent % len(messages)])
        sent += 1
        under_way += 1
    while under_way:
        for key, _ in selector.select():
            client = key.data
            client.received = (client.received + client.sock.recv(RECEIVE_BYTES))[-len(READY) :]
            if client.received != READY:
                continue
            now = time.perf_counter()
            durations.append(now - client.sent_at)
            under_way -= 1
            if now < deadline:
                _send(client, messages[sent % len(messages)])
                sent += 1
                under_way += 1
    return durations


def _send(client: _Client, message: bytes) -> None:
    client.received = b""
    client.sent_at = time.perf_counter()
    client.sock.sendall(message)


def connection_time_ms(member: MeasuredMember) -> float:
    """Return the median time to open a connection, login included."""
    durations = []
    for _ in range(CONNECTION_TRIES):
        began = time.perf_counter()
        connection = member.connect()
        durations.append(time.perf_counter() - began)
        connection.close()
    return statistics.median(durations) * MILLISECONDS


def _print(name: str, clients: int, measured: Measured) -> None:
    print(
        f"{name}: clients={clients} statements_per_s={measured.statements_per_s:.0f} "
        f"p50_ms={measured.p50_ms:.2f} p99_ms={measured.p99_ms:.2f} "
        f"processor_share={measured.processor_share:.2f}",
        flush=True,
    )


def measure(seconds: float = 3.0, clients: tuple[int, ...] = (1, 5, 16)) -> None:
    """Measure reads, writes and connections, and print one line per result.

    :param seconds: how long each load lasts
    :param clients: numbers of connections to measure with, each with one statement in flight
    """
    same = ["SELECT id, text FROM item WHERE id = 7"]
    changing = [f"SELECT id, text FROM item WHERE id = {key}" for key in range(1, KEYS_IN_TURN)]
    writes = [f"UPDATE item SET text = 'new' WHERE id = {key}" for key in range(1, KEYS_IN_TURN)]
    with MeasuredMember(slots=max(clients), connection_limit=max(clients) + 2) as member:
        print(f"connect: p50_ms={connection_time_ms(member):.1f}", flush=True)
        for count in clients:
            _print("select of one text", count, drive(member, same, count, seconds))
            _print("select of many texts", count, drive(member, changing, count, seconds))
            _print("update", count, drive(member, writes, count, seconds))


if __name__ == "__main__":
    fire.Fire(measure)

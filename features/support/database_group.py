"""Groups of stand-in database members, run as processes with psycopg as client."""

from __future__ import annotations

import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from pathlib import Path

import psycopg

from limedyke_lab.database.sql.sql_text import POSITION_QUERY

NAMES = ("a", "b", "c")
DEADLINE_SECONDS = 15
POLL_SECONDS = 0.01
PASSWORDS = "lab_admin: lab\napp: secret\nlimedyke_admin: promoter\n"
TABLE = "CREATE TABLE IF NOT EXISTS item (id INTEGER PRIMARY KEY, text TEXT NOT NULL)"


def wait_until(condition: Callable[[], object]) -> None:
    """Poll until a condition holds; connection errors are ignored."""
    deadline = time.monotonic() + DEADLINE_SECONDS
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except psycopg.OperationalError:
            pass
        time.sleep(POLL_SECONDS)
    raise AssertionError("condition not met in time")


def free_port(host: str) -> int:
    """Return a free TCP port."""
    with closing(socket.socket()) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Group:
    """A group of member processes in a temporary folder."""

    def __init__(self, names, options=()):
        self.folder = tempfile.TemporaryDirectory(prefix="lab-database-")
        self.path = Path(self.folder.name)
        self.names = names
        self.options = list(options)
        self.hosts = {name: f"127.11.2.{index + 1}" for index, name in enumerate(names)}
        self.ports = {name: free_port(host) for name, host in self.hosts.items()}
        self.processes = {}
        self.pool = ThreadPoolExecutor(16)
        (self.path / "passwords.yaml").write_text(PASSWORDS)
        for name in names:
            self.start(name)
        self.admin_connections = {name: self.connect(name, "lab_admin", "lab") for name in names}
        wait_until(lambda: self.admin(names[0], "SELECT group_role()") == [["primary"]])
        self.admin(names[0], TABLE)
        for name in names[1:]:
            wait_until(lambda name=name: self.position(name) == self.position(names[0]))

    def start(self, name):
        """Start a member's process."""
        address = f"{self.hosts[name]}:{self.ports[name]}"
        peers = [f"{n}={self.hosts[n]}:{self.ports[n]}" for n in self.names if n != name]
        command = [sys.executable, "-m", "limedyke_lab.database", "--name", name]
        command += ["--listen", address, "--data", str(self.path / name)]
        command += ["--history", str(self.path / f"{name}.history"), "--connect_delay_ms", "0"]
        command += ["--password_file", str(self.path / "passwords.yaml"), *self.options]
        command += ["--peers", ",".join(peers)] if peers else []
        command += ["--initial_primary"] if name == self.names[0] else []
        with open(self.path / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, stderr=log)

    def connect(self, name, user="app", password="secret", attempts=True, **options):
        """Open a connection, by default retrying until it succeeds."""
        target = {"host": self.hosts[name], "port": self.ports[name], "dbname": "lab"}
        found = []

        def try_connect():
            connection = psycopg.connect(
                user=user, password=password, autocommit=True, **target, **options
            )
            found.append(connection)
            return True

        if attempts:
            wait_until(try_connect)
        else:
            try_connect()
        return found[0]

    def admin(self, name, statement):
        """Run a statement on the administrator's open connection."""
        return rows(self.admin_connections[name].execute(statement))

    def reconnect(self, name):
        """Reconnect the administrator, because a rebuild or restart ends sessions."""
        self.admin_connections[name].close()
        self.admin_connections[name] = self.connect(name, "lab_admin", "lab")

    def position(self, name):
        """Return a member's position."""
        return self.admin(name, POSITION_QUERY)[0][2]

    def answer(self, name, statement):
        """Run a statement on a new connection; return its rows or the SQLSTATE of its error."""
        with closing(self.connect(name, "lab_admin", "lab")) as connection:
            return attempt(connection, statement)

    def end(self, name, number):
        """Send a signal and return the exit code."""
        self.processes[name].send_signal(number)
        return self.processes[name].wait(DEADLINE_SECONDS)

    def lose_folder(self, name):
        """Kill a member, remove its data folder and start it again."""
        self.end(name, signal.SIGKILL)
        shutil.rmtree(self.path / name)
        self.start(name)
        self.reconnect(name)

    def close(self):
        """Kill running members and remove the folder."""
        for name, process in self.processes.items():
            if process.poll() is None:
                self.end(name, signal.SIGKILL)
        self.pool.shutdown()
        self.folder.cleanup()


def rows(cursor: psycopg.Cursor) -> list[list[object]]:
    """Return the rows of the cursor's last result."""
    while cursor.nextset():
        pass
    return [list(row) for row in cursor.fetchall()] if cursor.description else []


def attempt(connection: psycopg.Connection, statement: str) -> list[list[object]] | str:
    """Return the rows of a statement, or the SQLSTATE of its error."""
    try:
        return rows(connection.execute(statement))
    except psycopg.Error as error:
        return error.sqlstate or "none"

"""Test environment of the back-end side: real member processes, and BackEnds on one kernel."""

from __future__ import annotations

import atexit
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio
import psycopg
from postgresql.protocol import element3

from limedyke.messages.control import ConnectionLease, GroupPrimary, ProxyRecord, ProxyState
from limedyke.messages.declaration import Group, Member, Priority, TenantAccess
from limedyke.messages.handshake import PeerRole
from limedyke.messages.work import Access, LogPosition, WorkUnit
from limedyke.proxy.back_ends import BackEnds
from limedyke.proxy.control.view import ControlView
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link, LinkIdentity, listen, serve_links

PASSWORDS = {"lab_admin": "lab", "limedyke_admin": "admin", "app": "one", "app2": "two"}
SECRETS = Secrets({"cluster": "key", "one": "one", "two": "two", "admin": "admin"})
WAIT_S = 10.0


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class MemberGroup:
    """Three processes of the stand-in database, as members of one group.

    ``stop`` and ``signal`` act on these processes only.
    """

    def __init__(self, host_net: str = "127.92.0", **options: object) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="limedyke-members-"))
        lines = [f"{user}: {password}\n" for user, password in PASSWORDS.items()]
        (self.folder / "passwords.yaml").write_text("".join(lines))
        self.names = ("a", "b", "c")
        hosts = {name: f"{host_net}.{number}" for number, name in enumerate(self.names, 1)}
        self.addresses = {name: f"{host}:{free_port(host)}" for name, host in hosts.items()}
        self.processes: dict[str, subprocess.Popen] = {}
        self._options = options
        for name in self.names:
            self.start(name)
        self.wait(lambda: self.admin("a", "SELECT group_role()") == [("primary",)])
        self.admin("a", "CREATE TABLE note (id INTEGER PRIMARY KEY, text TEXT NOT NULL)")
        for name in ("b", "c"):
            self.wait(lambda name=name: self.admin(name, "SELECT count(*) FROM note"))

    def start(self, name: str) -> None:
        """Start a member."""
        peers = ",".join(f"{n}={a}" for n, a in self.addresses.items() if n != name)
        command = [sys.executable, "-m", "limedyke_lab.database", "--name", name]
        command += ["--listen", self.addresses[name], "--peers", peers, "--log_level", "ERROR"]
        command += ["--data", str(self.folder / name)]
        command += ["--password_file", str(self.folder / "passwords.yaml")]
        command += ["--history", str(self.history_path(name))]
        command += [f"--{option}={value}" for option, value in self._options.items()]
        if name == "a":
            command.append("--initial_primary")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, stderr=log)

    def history_path(self, name: str) -> Path:
        """Return the file in which a member records the statements that it executed."""
        return self.folder / f"{name}.jsonl"

    def admin(self, name: str, sql: str, user: str = "lab_admin") -> list[tuple]:
        """Run a statement directly at a member, not through a proxy."""
        host, _, port = self.addresses[name].rpartition(":")
        with psycopg.connect(
            host=host,
            port=int(port),
            user=user,
            password=PASSWORDS[user],
            dbname="app",
            sslmode="disable",
            autocommit=True,
        ) as connection:
            cursor = connection.execute(sql)
            return cursor.fetchall() if cursor.description else []

    def switch(self, name: str, switch: str, value: object) -> None:
        """Set a failure switch of a member."""
        self.admin(name, f"SELECT lab_set('{switch}', '{value}')")

    def wait(self, condition) -> None:
        """Poll a condition until it holds; database errors count as false."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except psycopg.Error:
                pass
            time.sleep(0.01)
        raise AssertionError("condition not reached in time")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal one member's process."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Stop all members and remove their folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


_shared: dict[str, MemberGroup] = {}


def shared_members() -> MemberGroup:
    """Return the group shared by scenarios that restore its roles and switches."""
    if "group" not in _shared:
        _shared["group"] = MemberGroup(connect_delay_ms=0)
        atexit.register(_shared["group"].stop)
    return _shared["group"]


class RecordingControl:
    """Records the reports of the back-end side to the controllers."""

    def __init__(self) -> None:
        self.reports: list = []
        self.results: list = []
        self.returned: list = []
        self.paused: list = []

    async def report_member(self, report) -> None:
        """Keep a report."""
        self.reports.append(report)

    async def promotion_done(self, result) -> None:
        """Keep a promotion result."""
        self.results.append(result)

    async def return_leases(self, leases) -> None:
        """Keep returned leases."""
        self.returned.extend(leases)

    async def report_writes_paused(self, group, term) -> None:
        """Keep the report of a pause."""
        self.paused.append((group, term))


class Answer:
    """The answer to a unit: its end and its bytes."""

    def __init__(self, end, data: bytes) -> None:
        self.end = end
        self.data = data

    @property
    def text(self) -> str:
        """Printable form of the answer's bytes."""
        return self.data.decode("latin-1")


class BackEndLab:
    """The BackEnds of one or more proxies in this process, connected to a group of members."""

    def __init__(self, members: MemberGroup, host_net: str = "127.92.1") -> None:
        self.members = members
        self.kernel = curio.Kernel()
        self.proxies: dict[str, BackEnds] = {}
        self.controls: dict[str, RecordingControl] = {}
        self.settings: dict[str, ProxySettings] = {}
        self.servers: dict[str, curio.Task] = {}
        self._sockets: dict[str, curio.io.Socket] = {}
        self.served_links: dict[str, list[Link]] = {}
        self.term = 1
        self.primary = "a"
        self.leaving: set[str] = set()
        self.switching_over = False
        self.homes: tuple[str, ...] = ()
        self.budget = 10
        self.slots = 5
        self._index = 0
        self._net = host_net
        self._folder = Path(tempfile.mkdtemp(prefix="limedyke-proxies-"))
        self._stream = 0

    def run(self, coroutine, *arguments):
        """Run a coroutine on the lab's kernel, where background tasks also run until it ends."""
        return self.kernel.run(coroutine, *arguments)

    def add_proxy(self, name: str, zone: str = "z1", lease: int = 10, **settings) -> BackEnds:
        """Start the back-end side of a proxy; a lease makes it a home proxy."""
        host = f"{self._net}.{len(self.proxies) + 1}"
        address = f"{host}:{free_port(host)}"
        self.settings[name] = ProxySettings(
            name=name,
            zone=zone,
            data_folder=self._folder,
            secrets_file=self._folder / "secrets",
            status_listen="127.0.0.1:0",
            client_listen="127.0.0.1:0",
            link_listen=address,
            link_advertise=address,
            controllers=("127.0.0.1:1",),
            **settings,
        )
        self.controls[name] = RecordingControl()
        self.proxies[name] = BackEnds(self.settings[name], SECRETS, self.controls[name])
        if lease:
            self.homes = (*self.homes, name)
        self.run(self._start, name, lease)
        return self.proxies[name]

    async def _start(self, name: str, lease: int) -> None:
        proxy = self.proxies[name]
        await proxy.start()
        sock = listen(self.settings[name].link_listen).ok_value
        identity = LinkIdentity(PeerRole.PROXY, name, b"key")
        links = self.served_links[name] = []

        async def serve(link: Link) -> None:
            links.append(link)
            await proxy.serve_link(link)

        self._sockets[name] = sock
        self.servers[name] = await curio.spawn(
            serve_links, sock, identity, lambda role, peer: b"key", serve, daemon=True
        )
        await self._announce()
        if lease:
            await self._lease(name, lease, lease)

    def kill(self, name: str) -> None:
        """Stop a proxy as if its process was killed: all its sockets close at once."""
        self.run(self._kill, name)

    async def _kill(self, name: str) -> None:
        await self.servers[name].cancel()
        await self._sockets[name].close()
        for link in self.served_links[name]:
            link._socket._socket.shutdown(socket.SHUT_RDWR)
        await self.proxies[name].close()

    def lease(self, name: str, one: int, two: int, lasts_s: float = 600.0) -> None:
        """Grant a proxy leases for the two tenants."""
        self.run(self._lease, name, one, two, lasts_s)

    async def _lease(self, name: str, one: int, two: int, lasts_s: float = 600.0) -> None:
        leases = (ConnectionLease("g", "one", one), ConnectionLease("g", "two", two))
        held = tuple(lease for lease in leases if lease.connections)
        await self.proxies[name].leases_changed(held, time.monotonic() + lasts_s)

    def announce(self) -> None:
        """Apply the current view at all proxies."""
        self.run(self._announce)

    async def _announce(self) -> None:
        self._index += 1
        view = self.view()
        for proxy in self.proxies.values():
            await proxy.control_changed(view)

    def view(self) -> ControlView:
        """Return the current view."""
        members = tuple(
            Member(name, address, f"z{number}", name in self.leaving)
            for number, (name, address) in enumerate(self.members.addresses.items(), 1)
        )
        access = (
            TenantAccess("one", "app", "app", "one", self.budget),
            TenantAccess("two", "app", "app2", "two", self.budget),
        )
        group = Group("g", members, 40, self.slots, access, "admin")
        records = {
            name: ProxyRecord(name, 1, s.link_advertise, s.zone, ProxyState.SERVING)
            for name, s in self.settings.items()
        }
        primary = GroupPrimary("g", self.term, self.primary, self.switching_over)
        return ControlView(
            self._index,
            1,
            groups={"g": group},
            primaries={"g": primary},
            proxies=records,
            homes={"g": self.homes},
        )

    def unit(self, sql: str, access: Access = Access.WRITE, **changes) -> WorkUnit:
        """Return a unit with a simple query."""
        self._stream += 1
        values = {
            "stream": self._stream,
            "tenant": "one",
            "group": "g",
            "access": access,
            "priority": Priority.INTERACTIVE,
            "transaction": 0,
            "required": LogPosition(),
            "barrier": False,
            "repeatable": access is Access.READ,
            "once_key": "",
            "staleness_ms": 0,
            "deadline_ms": 8_000,
            "prepared": (),
            "settings": (),
            "data": element3.Query(sql.encode()).bytes(),
        }
        return WorkUnit(**(values | changes))

    async def answer(self, proxy: str, unit: WorkUnit) -> Answer:
        """Run a unit at a proxy and collect its answer."""
        chunks = []

        async def relay(chunk) -> None:
            chunks.append(chunk.data)

        end = await self.proxies[proxy].run(unit, relay)
        return Answer(end, b"".join(chunks))

    def ask(self, sql: str, access: Access = Access.WRITE, proxy: str = "p1", **changes) -> Answer:
        """Run one query at a proxy."""
        return self.run(self.answer, proxy, self.unit(sql, access, **changes))

    def wait(self, condition) -> None:
        """Run the background tasks until a condition holds."""
        self.run(self._wait, condition)

    async def _wait(self, condition) -> None:
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError("condition not reached in time")
            await curio.sleep(0.005)

    def close(self) -> None:
        """Stop all tasks of the lab."""
        self.run(self._close_proxies)
        self.kernel.run(shutdown=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def _close_proxies(self) -> None:
        """Stop everything that spawns tasks; a kernel cannot shut down while tasks are spawned."""
        for server in self.servers.values():
            await server.cancel()
        for proxy in self.proxies.values():
            await proxy.close()


def make_lab(context, members: MemberGroup) -> None:
    """Create a lab with proxy p1 for a group; it is closed at the end of the scenario."""
    context.lab = BackEndLab(members)
    context.add_cleanup(context.lab.close)
    context.lab.add_proxy("p1")
    control = context.lab.controls["p1"]
    context.lab.wait(lambda: len({r.member for r in control.reports}) == len(members.names))

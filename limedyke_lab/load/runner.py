"""Load against a fleet: starts worker processes and collects the full history."""

from __future__ import annotations

import sys
import time
from itertools import count
from pathlib import Path
from signal import Signals

import psycopg

from limedyke.addresses import split_address
from limedyke_lab.checkers.revisions import REVISION
from limedyke_lab.fleet.conditions import wait_until
from limedyke_lab.fleet.fleet import Fleet
from limedyke_lab.fleet.process import ManagedProcess
from limedyke_lab.fleet.revisions import RevisionWatch
from limedyke_lab.fleet.secrets import client_password
from limedyke_lab.history import Event, GroupRows, History, HistoryWriter, read_records
from limedyke_lab.load import statements
from limedyke_lab.load.profiles import WATCHERS
from limedyke_lab.load.settings import DirectRoutes, LoadSettings, SessionProfile

NUMBERS_PER_WORKER = 1_000_000
MAXIMUM_WORKERS = 10
END_MARGIN_S = 30.0
CREATE_TIMEOUT_S = 20.0
EVENTS_FILE = "events.jsonl"
REVISIONS_FILE = "revisions.jsonl"
MEMBER_FLUSH_S = 1.2
"""Members write their history once a second."""


_run_numbers = count(1)


class LoadError(Exception):
    """A worker failed or did not exit in time."""


class LoadRun:
    """One load against a running fleet.

    :param name: names the settings and history files in the run folder
    :param workers: processes; each runs its share of every profile's sessions
    :param direct: routes that bypass the product, for baselines
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        profiles: tuple[SessionProfile, ...],
        seconds: float,
        workers: int = 2,
        seed: int = 1,
        direct: DirectRoutes | None = None,
    ) -> None:
        self._fleet = fleet
        self._folder = fleet.options.folder / "load" / name
        self._folder.mkdir(parents=True, exist_ok=True)
        for old in self._folder.glob("*.jsonl"):
            old.unlink()
        self._number = next(_run_numbers)
        self._profiles = profiles
        self._seconds = seconds
        self._workers = workers
        self._seed = seed
        self._direct = direct
        self._processes: list[ManagedProcess] = []
        self._events = HistoryWriter(self._folder / EVENTS_FILE)
        self._revisions = HistoryWriter(self._folder / REVISIONS_FILE)
        watched = fleet.topology.proxies if fleet.options.product else ()
        self._watch = RevisionWatch(watched, self._note_revision)

    def start(self) -> None:
        """Start the workers."""
        for index in range(self._workers):
            settings_file = self._folder / f"worker-{index}.json"
            self._settings(index).save(settings_file)
            command = [sys.executable, "-m", "limedyke_lab.cli", "load"]
            command.append(f"--settings={settings_file}")
            command.append(f"--record={self._folder / f'worker-{index}.jsonl'}")
            process = ManagedProcess(f"load-{index}", command, self._folder / f"load-{index}.log")
            self._processes.append(process)
            process.start()
        self.note("load-start")
        self._watch.start()

    def _note_revision(self, proxy: str, revision: int) -> None:
        """Record an observed revision; runs in the watch's thread and writes to a separate file."""
        self._revisions.add(Event(time.monotonic_ns(), REVISION, proxy, revision))

    def _settings(self, index: int) -> LoadSettings:
        profiles = []
        for profile in self._profiles:
            share = profile.count // self._workers + (index < profile.count % self._workers)
            if share:
                profiles.append(profile.model_copy(update={"count": share}))
        return LoadSettings(
            seed=self._seed + index,
            seconds=self._seconds,
            proxies={node.name: node.advertise for node in self._fleet.topology.proxies},
            profiles=tuple(profiles),
            first_number=(self._number * MAXIMUM_WORKERS + index) * NUMBERS_PER_WORKER,
            direct=self._direct,
        )

    def note(self, name: str, target: str = "", value: int = 0, detail: str = "") -> None:
        """Record an event of the experiment."""
        self._events.add(Event(time.monotonic_ns(), name, target, value, detail))

    def wait(self) -> None:
        """Wait until the load has ended.

        :raises LoadError: when a worker failed
        """
        self._wait_until(time.monotonic() + self._seconds + END_MARGIN_S)

    def finish(self) -> None:
        """Stop the load; each session completes its current operation.

        :raises LoadError: when a worker failed
        """
        for process in self._processes:
            process.send_signal(Signals.SIGTERM)
        self._wait_until(time.monotonic() + END_MARGIN_S)

    def _wait_until(self, deadline: float) -> None:
        for process in self._processes:
            code = process.wait(max(0.1, deadline - time.monotonic()))
            if code != 0:
                self.stop()
                raise LoadError(f"{process.name} ended with {code}: {process.log_tail()}")

    def run(self) -> History:
        """Run the load to its end and return the full history."""
        try:
            self.start()
            self.wait()
        finally:
            self.stop()
        return self.collect()

    def stop(self) -> None:
        """Stop the revision watch and kill workers that are still running."""
        self._watch.stop()
        for process in self._processes:
            process.kill()

    def collect(self) -> History:
        """Read the rows from the primaries and return the full history."""
        for group in self._fleet.topology.geography.groups:
            self._events.add(read_rows(self._fleet, group))
        self._events.close()
        self._revisions.close()
        time.sleep(MEMBER_FLUSH_S)
        members = sorted((self._fleet.options.folder / "history").glob("*.jsonl"))
        return read_records([*sorted(self._folder.glob("*.jsonl")), *members])

    @property
    def folder(self) -> Path:
        """Folder of the clients' history."""
        return self._folder


def create_tables(fleet: Fleet) -> None:
    """Create the lab's tables in each group, as a tenant through the first proxy.

    Without the product, the tables are created directly on the primaries.
    """
    geography = fleet.topology.geography
    if not fleet.options.product:
        for group in geography.groups:
            for statement in statements.TABLES:
                fleet.members.query(fleet.wait_for_primary(group), statement)
        return
    tenant, user = WATCHERS[geography.name]
    host, port = split_address(fleet.topology.proxies[0].advertise)
    for group in geography.groups:
        wait_until(
            lambda group=group: _try_create_tables(host, port, f"{tenant}/{group}", user),
            f"the tables of {group} exist",
            CREATE_TIMEOUT_S,
        )


def _try_create_tables(host: str, port: int, dbname: str, user: str) -> bool:
    """Create missing tables; return whether every statement succeeded."""
    try:
        with psycopg.connect(
            host=host,
            port=port,
            dbname=dbname,
            user=user,
            password=client_password(user),
            autocommit=True,
        ) as connection:
            for statement in statements.TABLES:
                connection.execute(statement)
    except psycopg.Error:
        return False
    return True


def read_rows(fleet: Fleet, group: str) -> GroupRows:
    """Read the rows directly from the primary of a group."""
    primary = fleet.wait_for_primary(group)
    return GroupRows(
        group=group,
        registers=dict(fleet.members.query(primary, statements.ALL_REGISTERS)),
        marks=dict(fleet.members.query(primary, statements.ALL_MARKS)),
        ledger=dict(fleet.members.query(primary, statements.ALL_LEDGER)),
    )

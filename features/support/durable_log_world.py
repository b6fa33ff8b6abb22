"""A durable log on a simulated disk, and a model of its allowed content after a crash."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from unittest import mock

from result import Result

from limedyke.core.agreement.records import HardState, Snapshot, StoredState
from limedyke.messages.agreement import ControllerIdentity, EntryKind, LogEntry
from limedyke.result_codes import Failure
from limedyke.storage.crash_safe_file import CrashSafeFile
from limedyke.storage.durable_log import DurableLog, segment_name
from limedyke.storage.open_log import open_durable_log
from limedyke_lab.simulated_disk import SimulatedDisk, SimulatedFile, SimulatedPowerLoss

FOLDER = Path("/data")
IDENTITY = ControllerIdentity("a", "a1")
SEGMENT_BYTES = 400
OPERATIONS = 24
POWER_LOSSES_AT_REOPEN = 2


def open_log(disk: SimulatedDisk, segment_bytes: int = SEGMENT_BYTES) -> Result:
    """Open the log of the simulated disk."""
    return open_durable_log(FOLDER, IDENTITY, disk, segment_bytes=segment_bytes)


def entry(index: int, term: int = 1, payload: bytes = b"x" * 20) -> LogEntry:
    """Return a proposal entry."""
    return LogEntry(index, term, int(EntryKind.PROPOSAL), payload)


@dataclass(frozen=True)
class Operation:
    """A write, and the state after it if it completes."""

    run: Callable[[DurableLog], Result[None, Failure]]
    after: StoredState


def last_index(state: StoredState) -> int:
    """Return the index of the last entry of a state."""
    return state.snapshot.index + len(state.entries)


def draw_operation(rng: random.Random, state: StoredState) -> Operation:
    """Choose a random write that is allowed in a state."""
    draws = (_append, _append, _append, _vote, _truncate, _save_snapshot, _install_snapshot)
    return rng.choice(draws)(rng, state)


def _append(rng: random.Random, state: StoredState) -> Operation:
    first = last_index(state) + 1
    term = max(1, state.hard_state.term)
    payload = bytes(rng.randint(0, 60))
    added = tuple(entry(first + number, term, payload) for number in range(rng.randint(1, 3)))
    after = replace(state, entries=state.entries + added)
    return Operation(lambda log: log.append(added), after)


def _vote(rng: random.Random, state: StoredState) -> Operation:
    vote = rng.choice((None, IDENTITY))
    hard_state = HardState(state.hard_state.term + 1, vote)
    after = replace(state, hard_state=hard_state)
    return Operation(lambda log: log.save_hard_state(hard_state), after)


def _truncate(rng: random.Random, state: StoredState) -> Operation:
    kept = rng.randint(0, len(state.entries))
    index = state.snapshot.index + kept
    after = replace(state, entries=state.entries[:kept])
    return Operation(lambda log: log.truncate_after(index), after)


def _save_snapshot(rng: random.Random, state: StoredState) -> Operation:
    if not state.entries:
        return _append(rng, state)
    position = rng.randrange(len(state.entries))
    covered = state.entries[position]
    snapshot = Snapshot(covered.index, covered.term, data=bytes(rng.randint(0, 80)))
    after = StoredState(state.hard_state, snapshot, state.entries[position + 1 :])
    return Operation(lambda log: log.save_snapshot(snapshot), after)


def _install_snapshot(rng: random.Random, state: StoredState) -> Operation:
    """Install a snapshot that conflicts with the log: its term is higher than that of any entry."""
    index = state.snapshot.index + rng.randint(1, len(state.entries) + 3)
    term = state.hard_state.term + 1
    snapshot = Snapshot(index, term, data=bytes(rng.randint(0, 80)))
    hard_state = HardState(term)
    after = StoredState(hard_state, snapshot, ())

    def run(log: DurableLog) -> Result[None, Failure]:
        return log.install_snapshot(snapshot, keep_entries=False)

    return Operation(run, replace(after, hard_state=state.hard_state))


class CrashRun:
    """One sequence of writes that ends in a power loss at a given disk operation.

    :param seed: decides the writes, and which unsynced data survives
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"durable log {seed}")
        self._disk = SimulatedDisk(self._rng)
        self._allowed = [StoredState()]

    def run(self, power_loss_at: int) -> tuple[bool, str]:
        """Return whether power was lost before all writes ended, and the problem found, if any."""
        self._disk.lose_power_after(power_loss_at)
        try:
            self._write_all()
            was_lost = False
        except SimulatedPowerLoss:
            was_lost = True
        self._disk.crash()
        return was_lost, self._reopen()

    def _write_all(self) -> None:
        log = open_log(self._disk).unwrap()
        state = log.take_stored_state()
        for _ in range(OPERATIONS):
            operation = draw_operation(self._rng, state)
            self._allowed = [state, operation.after]
            operation.run(log).unwrap()
            state = operation.after
            self._allowed = [state]

    def _reopen(self) -> str:
        """Reopen the log, losing power again meanwhile, and compare its content with the model."""
        for _ in range(POWER_LOSSES_AT_REOPEN):
            self._disk.lose_power_after(self._rng.randint(0, 8))
            try:
                opened = open_log(self._disk)
            except SimulatedPowerLoss:
                self._disk.crash()
                continue
            problem = self._compare(opened)
            if problem:
                return problem
            self._disk.crash()
        self._disk.lose_power_after(None)
        return self._compare(open_log(self._disk))

    def _compare(self, opened: Result) -> str:
        if opened.is_err():
            return f"refused: {opened.unwrap_err()}"
        found = opened.unwrap().take_stored_state()
        if found not in self._allowed:
            return f"found {found}, allowed {self._allowed}"
        self._allowed = [found]
        return ""


def crash_at_every_step(seeds: range) -> tuple[int, str]:
    """Crash each sequence at every disk operation; return their number and the first problem."""
    crashes = 0
    for seed in seeds:
        was_lost = True
        position = 0
        while was_lost:
            was_lost, problem = CrashRun(seed).run(position)
            if problem:
                return crashes, f"seed {seed}, operation {position}: {problem}"
            crashes += 1
            position += 1
    return crashes, ""


def _remove_before_manifest(log: DurableLog) -> None:
    while len(log._segments) > 1 and log._segments[0].last_index <= log._snapshot.index:
        removed = log._segments.pop(0)
        log._file_system.remove(log._folder / segment_name(removed.number))
        log._file_system.sync_folder(log._folder)
    log._write_manifest()


def _open_without_rewriting(log: DurableLog, content: bytes) -> None:
    disk = log._file_system
    path = log._folder / segment_name(log._segments[-1].number)
    log._active = SimulatedFile(disk, disk._names[path])
    log._active_bytes = len(content)


def _keep_going_after_failure(log: DurableLog, action: Callable[[], None]) -> object:
    log._failure = None
    return _GUARD(log, action)


def _never(self: object) -> bool:
    return False


def _ignore(self: object, value: object) -> None:
    """Keep the patched value."""


_GUARD = DurableLog._guard
_NO_SYNC = property(_never, _ignore)

MUTANTS: dict[str, tuple[tuple[type, str, object], ...]] = {
    "sync of the segment": ((DurableLog, "_sync", _NO_SYNC),),
    "sync of replaced files": ((CrashSafeFile, "_sync", _NO_SYNC),),
    "manifest before removal": ((DurableLog, "_compact", _remove_before_manifest),),
    "finish of a cut-short install": (
        (DurableLog, "discard_entries_behind_snapshot", lambda self: None),
    ),
    "rewrite of the newest segment at open": (
        (DurableLog, "rewrite_active_segment", _open_without_rewriting),
    ),
    "refusal after a failed write": ((DurableLog, "_guard", _keep_going_after_failure),),
}


@contextmanager
def patched_without(safeguard: str) -> Iterator[None]:
    """Run with one safeguard of the log patched out; "none" patches nothing."""
    with ExitStack() as stack:
        for owner, attribute, replacement in MUTANTS.get(safeguard, ()):
            stack.enter_context(mock.patch.object(owner, attribute, replacement, create=True))
        yield

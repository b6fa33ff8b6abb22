"""Replaces the real clock, sockets, randomness and file syncs by simulated ones.

While an environment is installed, the product's curio code runs unchanged in one
operating-system process: ``time.monotonic`` is the clock of the current simulated process,
``curio.socket.socket`` creates simulated sockets, random bytes come from the seed, and syncing
a file takes virtual time only.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import os
import random
import select
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, Protocol
from unittest import mock

import curio
import curio.kernel
import curio.sched
import curio.socket
import curio.task

from limedyke_lab.simulated_disk import SimulatedPowerLoss
from limedyke_lab.simulator.machine.ordered_set import OrderedSet

UNIX_EPOCH_S = 1_700_000_000.0
"""Unix time at the start of a run."""
THREAD_WORK_S = 0.001
"""Virtual seconds that work in a thread takes, such as a sync."""
_PBKDF2 = hashlib.pbkdf2_hmac
_PRODUCT = "limedyke."


class RunningProcess(Protocol):
    """The interface of a simulated process that the environment needs."""

    name: str

    def clock(self) -> float:
        """Return its monotonic clock."""

    def wall_clock(self) -> float:
        """Return its wall clock, in seconds since the start of the run."""

    def make_socket(self) -> object:
        """Return a new simulated socket."""

    def make_poll(self) -> object:
        """Return a poll object over its sockets."""

    def add_signal_handler(self, number: int, handler: Callable) -> None:
        """Register a signal handler."""

    def lose_power(self) -> None:
        """Stop the process at once, as a power loss does."""


class Environment:
    """State of the replaced functions in one run.

    :ivar current: the simulated process that is running
    """

    def __init__(self, seed: int) -> None:
        self.current: RunningProcess | None = None
        self.crashes: list[tuple[str, str]] = []
        self._rng = random.Random(f"{seed}/environment")
        self._salted_passwords: dict[tuple, bytes] = {}

    def monotonic(self) -> float:
        """Replace ``time.monotonic``."""
        return self.current.clock() if self.current is not None else 0.0

    def unix_time(self) -> float:
        """Replace ``time.time``."""
        return UNIX_EPOCH_S + (self.current.wall_clock() if self.current is not None else 0.0)

    def random_bytes(self, count: int) -> bytes:
        """Replace ``os.urandom``."""
        return self._rng.randbytes(count)

    def handle_signal(self, number: int, handler: Callable) -> None:
        """Replace ``signal.signal``."""
        self.current.add_signal_handler(number, handler)

    def make_socket(self, *arguments: Any, **options: Any) -> curio.io.Socket:
        """Replace ``curio.socket.socket``."""
        return curio.io.Socket(self.current.make_socket())

    async def run_in_thread(self, function: Callable, *arguments: Any, **options: Any) -> Any:
        """Replace ``curio.run_in_thread``."""
        await curio.sleep(THREAD_WORK_S)
        try:
            return function(*arguments)
        except SimulatedPowerLoss:
            self.current.lose_power()
            return await curio.Event().wait()

    def salted_password(
        self, name: str, password: bytes, salt: bytes, iterations: int, length: int | None = None
    ) -> bytes:
        """Replace ``hashlib.pbkdf2_hmac`` and cache its results, since a run has many logins."""
        key = (name, bytes(password), bytes(salt), iterations, length)
        if key not in self._salted_passwords:
            self._salted_passwords[key] = _PBKDF2(*key)
        return self._salted_passwords[key]

    def boot_time(self, clock: int) -> float:
        """Replace ``time.clock_gettime``."""
        return self.monotonic()

    @contextlib.contextmanager
    def installed(self) -> Iterator[Environment]:
        """Replace the real functions for the duration of a run."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(_logged_to("curio.kernel", _CrashHandler(self)))
            # A process that was frozen misses its timeouts; curio's warnings about it are noise.
            stack.enter_context(_logged_to("curio.time", logging.NullHandler()))
            for target, name, value in self._replacements():
                original = getattr(target, name, None)
                stack.enter_context(mock.patch.object(target, name, value, create=True))
                for module, alias in _imported_as(original):
                    stack.enter_context(mock.patch.object(module, alias, value))
            for module in _modules_with_ordered_sets():
                stack.enter_context(mock.patch.object(module, "set", OrderedSet, create=True))
            random.seed(0)
            yield self

    def _replacements(self) -> list[tuple[object, str, object]]:
        rng = self._rng

        class SeededRandom(random.Random):
            """``random.Random`` that takes its seed from the run when none is given."""

            def __init__(self, seed: Any = None) -> None:
                super().__init__(rng.getrandbits(64) if seed is None else seed)

        def nothing(descriptor: int) -> None:
            """Replace a sync."""

        return [
            (time, "monotonic", self.monotonic),
            (time, "monotonic_ns", lambda: int(self.monotonic() * 1e9)),
            (time, "perf_counter", self.monotonic),
            (time, "clock_gettime", self.boot_time),
            (time, "time", self.unix_time),
            (time, "time_ns", lambda: int(self.unix_time() * 1e9)),
            (os, "urandom", self.random_bytes),
            (random, "_urandom", self.random_bytes),
            (random, "Random", SeededRandom),
            (os, "fsync", nothing),
            (os, "fdatasync", nothing),
            (curio, "run_in_thread", self.run_in_thread),
            (signal, "signal", self.handle_signal),
            (curio.socket, "socket", self.make_socket),
            (curio.kernel, "socket", _NoLoopback),
            (select, "poll", lambda: self.current.make_poll()),
            (hashlib, "pbkdf2_hmac", self.salted_password),
        ]


def _modules_with_ordered_sets() -> list[object]:
    """Return the modules in which ``set`` must keep insertion order during a run."""
    product = [module for name, module in sys.modules.items() if name.startswith(_PRODUCT)]
    return [curio.sched, curio.sync, curio.task, *product]


def _imported_as(original: object) -> list[tuple[object, str]]:
    """Return the names under which the product's modules imported a function or class."""
    return [
        (module, alias)
        for name, module in sorted(sys.modules.items())
        if name.startswith(_PRODUCT)
        for alias, value in sorted(vars(module).items())
        if value is original
    ]


@contextlib.contextmanager
def _logged_to(name: str, handler: logging.Handler) -> Iterator[None]:
    """Send the messages of a logger to one handler only."""
    logger = logging.getLogger(name)
    logger.addHandler(handler)
    propagate, logger.propagate = logger.propagate, False
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.propagate = propagate


class _LoopbackEnd:
    """One end of the socket pair by which threads would wake a curio kernel."""

    def setblocking(self, flag: bool) -> None:
        """Nothing to do."""

    def fileno(self) -> int:
        """Return a descriptor that never becomes ready."""
        return 1

    def send(self, data: bytes) -> int:
        """Drop the wake-up; there are no threads."""
        return len(data)

    def close(self) -> None:
        """Nothing to release."""


class _NoLoopback:
    """Replaces the ``socket`` module in curio's kernel."""

    SHUT_RDWR = socket.SHUT_RDWR

    @staticmethod
    def socketpair() -> tuple[_LoopbackEnd, _LoopbackEnd]:
        """Return two ends that carry nothing."""
        return _LoopbackEnd(), _LoopbackEnd()


class _CrashHandler(logging.Handler):
    """Collects the errors of tasks that ended with an unexpected exception."""

    def __init__(self, environment: Environment) -> None:
        super().__init__(logging.ERROR)
        self._environment = environment

    def emit(self, record: logging.LogRecord) -> None:
        """Store the process name and the traceback."""
        current = self._environment.current
        text = self.format(record)
        self._environment.crashes.append((current.name if current else "", text))

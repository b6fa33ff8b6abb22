"""Virtual time, one event queue, and tasks of simulated processes.

All times are in seconds of true (virtual) time unless a name says local, which means by the
drifting clock of a process.  Nothing reads a real clock; the same seed gives the same events.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass, field
from typing import Any


class Timeout(Exception):  # noqa: N818 - the standard name of the field
    """A wait took longer than its limit."""


class Future:
    """A value that is set later; awaiting it suspends the task until then."""

    __slots__ = ("_callbacks", "done", "error", "value")

    def __init__(self) -> None:
        self.done = False
        self.value: Any = None
        self.error: Exception | None = None
        self._callbacks: list[Callable[[], None]] = []

    def set(self, value: Any = None) -> None:
        """Set the value; later calls have no effect."""
        if not self.done:
            self.done = True
            self.value = value
            self._wake()

    def fail(self, error: Exception) -> None:
        """Raise ``error`` in the waiting tasks; later calls have no effect."""
        if not self.done:
            self.done = True
            self.error = error
            self._wake()

    def when_done(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once the future is done."""
        if self.done:
            callback()
        else:
            self._callbacks.append(callback)

    def _wake(self) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def __await__(self) -> Generator[Future, None, Any]:
        if not self.done:
            yield self
        if self.error is not None:
            raise self.error
        return self.value


class Kernel:
    """The event queue and the clock of one run.

    :param seed: determines every random choice of the run
    """

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.events = 0
        self.rng = random.Random(f"{seed}/kernel")
        self._sequence = 0
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._ready: deque[tuple[Callable[..., None], tuple]] = deque()

    def call_soon(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Run a callback at the current time, after those already queued."""
        self._ready.append((callback, arguments))

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run a callback after ``delay`` seconds of true time."""
        self._sequence += 1
        due = self.now + max(delay, 0.0)
        heapq.heappush(self._queue, (due, self._sequence, callback, arguments))

    def run_until(self, end: float) -> None:
        """Run all events up to the time ``end``."""
        queue = self._queue
        ready = self._ready
        while True:
            while ready:
                callback, arguments = ready.popleft()
                self.events += 1
                callback(*arguments)
            if not queue or queue[0][0] > end:
                break
            self.now, _, callback, arguments = heapq.heappop(queue)
            self.events += 1
            callback(*arguments)
        self.now = end


@dataclass(eq=False, slots=True)
class Task:
    """A coroutine that runs in one life of a process."""

    process: Process
    life: int
    coroutine: Coroutine
    waiting_for: Future | None = None
    ended: Future = field(default_factory=Future)

    def step(self) -> None:
        """Run until the next wait; deferred while the process is frozen, dropped after a crash."""
        process = self.process
        if process.life != self.life:
            return
        if process.frozen:
            process.backlog.append((self.step, ()))
            return
        try:
            future = self.coroutine.send(None)
        except StopIteration as stop:
            self.ended.set(stop.value)
            return
        self.waiting_for = future
        future.when_done(self._resume)

    def _resume(self) -> None:
        self.process.kernel.call_soon(self.step)


class Process:
    """A simulated process with its own clock and tasks, which can crash and start again.

    :param zone: determines its network delays
    :param clock_rate: local seconds per true second
    :ivar life: changes at each start and crash; callbacks of an earlier life are dropped
    :ivar keepalive_s: seconds until it detects that a peer died silently; None for never
    """

    def __init__(
        self, kernel: Kernel, name: str, zone: str, clock_rate: float = 1.0, offset: float = 0.0
    ) -> None:
        self.kernel = kernel
        self.name = name
        self.zone = zone
        self.clock_rate = clock_rate
        self._clock_offset = offset
        self.life = 0
        self.running = False
        self.frozen = False
        self.keepalive_s: float | None = None
        self.backlog: deque[tuple[Callable[..., None], tuple]] = deque()
        self._tasks: list[Task] = []
        self._on_crash: list[Callable[[], None]] = []
        self.start: Callable[[], None] = lambda: None

    def clock(self) -> float:
        """Return the monotonic clock of this process, in local seconds."""
        return self._clock_offset + self.kernel.now * self.clock_rate

    def wall_clock(self) -> float:
        """Return the wall clock, in seconds since the start of the run; it drifts too."""
        return self.kernel.now * self.clock_rate

    def true_time(self, local: float) -> float:
        """Return the true time at which this process's clock shows ``local``."""
        return (local - self._clock_offset) / self.clock_rate

    def boot(self) -> None:
        """Start the process unless it is running."""
        if self.running:
            return
        self.life += 1
        self.running = True
        self.frozen = False
        self.start()

    def crash(self) -> None:
        """Stop the process at once and drop its tasks, timers and undelivered messages."""
        if not self.running:
            return
        self.running = False
        self.frozen = False
        self.life += 1
        self.backlog.clear()
        callbacks, self._on_crash = self._on_crash, []
        for callback in callbacks:
            callback()

    def when_crashed(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` at the next crash."""
        self._on_crash.append(callback)

    def freeze(self) -> None:
        """Freeze the process; events are queued until it resumes."""
        if self.running:
            self.frozen = True

    def thaw(self) -> None:
        """Resume the process and run the queued events."""
        if not self.frozen:
            return
        self.frozen = False
        backlog, self.backlog = self.backlog, deque()
        for callback, arguments in backlog:
            self.kernel.call_soon(self._run_in_life, self.life, callback, arguments)

    def _run_in_life(self, life: int, callback: Callable[..., None], arguments: tuple) -> None:
        if self.life != life:
            return
        if self.frozen:
            self.backlog.append((callback, arguments))
            return
        callback(*arguments)

    def deliver(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Run a callback in this life, now or when the frozen process resumes."""
        self._run_in_life(self.life, callback, arguments)

    def after(self, local_seconds: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run a callback after a time by this process's clock, unless it crashes before."""
        delay = local_seconds / self.clock_rate
        self.kernel.call_later(delay, self._run_in_life, self.life, callback, arguments)

    def spawn(self, coroutine: Coroutine) -> Task:
        """Start a task in this life."""
        task = Task(self, self.life, coroutine)
        self.kernel.call_soon(task.step)
        return task

    def sleep(self, local_seconds: float) -> Future:
        """Return a future that is done after a time by this process's clock."""
        future = Future()
        self.after(local_seconds, future.set)
        return future

    async def wait(self, future: Future, local_seconds: float) -> Any:
        """Await a future for at most a time by this process's clock.

        :raises Timeout: if the time runs out first; the future is then marked as failed
        """
        either = Future()
        future.when_done(either.set)
        if not either.done:
            self.after(local_seconds, either.set)
        await either
        if not future.done:
            future.fail(Timeout())
        if future.error is not None:
            raise future.error
        return future.value


class Queue:
    """An unbounded queue between tasks; closing it fails the waiting tasks."""

    __slots__ = ("_getters", "_items", "closed")

    def __init__(self) -> None:
        self._items: deque = deque()
        self._getters: deque[Future] = deque()
        self.closed: Exception | None = None

    def put(self, item: Any) -> None:
        """Add an item."""
        while self._getters:
            getter = self._getters.popleft()
            if not getter.done:
                getter.set(item)
                return
        self._items.append(item)

    def take_all(self) -> list:
        """Remove and return all items."""
        items = list(self._items)
        self._items.clear()
        return items

    def get(self) -> Future:
        """Return a future of the next item."""
        future = Future()
        if self._items:
            future.set(self._items.popleft())
        elif self.closed is not None:
            future.fail(self.closed)
        else:
            self._getters.append(future)
        return future

    def end(self, error: Exception) -> None:
        """Close the queue: once it is empty, ``get`` fails with ``error``."""
        self.closed = error
        while self._getters:
            self._getters.popleft().fail(error)

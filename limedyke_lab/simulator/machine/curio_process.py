"""A simulated process whose program is the product's own curio code.

Each life has a curio kernel of its own, driven one cycle at a time whenever a socket of it
becomes ready or one of its timers is due by its own clock.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Coroutine
from typing import Any

import curio
from curio import meta

from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.machine.kernel import Process
from limedyke_lab.simulator.machine.network import Network
from limedyke_lab.simulator.machine.virtual_socket import (
    VirtualPoll,
    VirtualSelector,
    VirtualSocket,
)

MAXIMUM_CYCLES = 20_000
"""Cycles at one moment after which a process counts as spinning."""
SHORTEST_TIMER_S = 1e-6

Program = Callable[[], Coroutine[Any, Any, Any]]


class SpinningError(Exception):
    """A process runs on and on without waiting."""


class CurioProcess:
    """Runs a program on a simulated process.

    :param program: makes the main coroutine of each life
    :param on_exit: called with the exception, or None, when the main coroutine ends
    """

    graveyard: list[curio.Kernel] = []  # noqa: RUF012 - shared on purpose
    """Kernels of ended lives; their coroutines must not be run on by their finalizers."""

    def __init__(
        self,
        process: Process,
        network: Network,
        environment: Environment,
        program: Program,
        on_exit: Callable[[BaseException | None], None] = lambda error: None,
    ) -> None:
        self.process = process
        self.network = network
        self._environment = environment
        self._program = program
        self._on_exit = on_exit
        self._wake_pending = False
        self._timer_due = float("inf")
        self._signal_handlers: dict[int, Callable] = {}
        self.on_power_loss: Callable[[], None] = lambda: None
        process.start = self._start

    @classmethod
    def bury(cls) -> None:
        """Let go of the kernels of a finished run."""
        for kernel in cls.graveyard:
            kernel._shutdown_funcs = None
        cls.graveyard.clear()

    @property
    def name(self) -> str:
        """Name of the process."""
        return self.process.name

    def clock(self) -> float:
        """Return the monotonic clock of the process."""
        return self.process.clock()

    def wall_clock(self) -> float:
        """Return the calendar clock of the process, in seconds since the beginning of the run."""
        return self.process.wall_clock()

    def make_socket(self) -> VirtualSocket:
        """Return a new socket of the present life."""
        return VirtualSocket(self._selector, self.network, self.process)

    def make_poll(self) -> VirtualPoll:
        """Return a new poll object over the sockets of the present life."""
        return VirtualPoll(self._selector)

    def add_signal_handler(self, number: int, handler: Callable) -> None:
        """Keep what is called at a signal."""
        self._signal_handlers[number] = handler

    def terminate(self) -> None:
        """Ask the process to stop, as SIGTERM does."""
        handler = self._signal_handlers.get(signal.SIGTERM)
        if handler is not None:
            self.call(handler, signal.SIGTERM, None)

    def lose_power(self) -> None:
        """End the present life in the middle of a disk operation."""
        self.process.kernel.call_soon(self._on_power_loss, self.process.life)

    def _on_power_loss(self, life: int) -> None:
        if life == self.process.life:
            self.on_power_loss()

    def _start(self) -> None:
        self._signal_handlers: dict[int, Callable] = {}
        life = self.process.life
        self._wake_pending = False
        self._timer_due = float("inf")
        self._selector = VirtualSelector(self._wake)
        self._kernel = curio.Kernel(selector=self._selector)
        self.graveyard.append(self._kernel)
        self._environment.current = self
        self._kernel.run(self._launch, life)
        self._bind_queues()
        self._step()

    def _bind_queues(self) -> None:
        runner = self._kernel._runner
        names = runner.__code__.co_freevars
        cells = dict(zip(names, runner.__closure__, strict=True))
        self._runner = runner
        self._ready = cells["ready"].cell_contents
        self._timers = cells["sleepq"].cell_contents

    async def _launch(self, life: int) -> None:
        await curio.spawn(self._main, life, daemon=True)

    async def _main(self, life: int) -> None:
        try:
            await self._program()
        except curio.CancelledError:
            raise
        except (Exception, SystemExit) as error:
            self._ended(life, error)
            return
        self._ended(life, None)

    def _ended(self, life: int, error: BaseException | None) -> None:
        if self.process.life == life:
            self.process.kernel.call_soon(self._exit, life, error)

    def _exit(self, life: int, error: BaseException | None) -> None:
        if self.process.life == life:
            self._on_exit(error)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a plain function of the program, as a signal handler would be."""
        self._environment.current = self
        result = function(*arguments)
        self._wake()
        return result

    def spawn(self, coroutine_function: Callable, *arguments: Any) -> None:
        """Start a task in the present life."""

        async def launch() -> None:
            await curio.spawn(coroutine_function, *arguments, daemon=True)

        self._environment.current = self
        self._kernel.run(launch)
        self._wake()

    def _wake(self) -> None:
        if not self._wake_pending:
            self._wake_pending = True
            self.process.kernel.call_soon(self._wake_in_life, self.process.life)

    def _wake_in_life(self, life: int) -> None:
        if life == self.process.life:
            self.process.deliver(self._step)

    def _step(self) -> None:
        """Run all tasks that are ready, then wait for the next timer."""
        self._wake_pending = False
        self._environment.current = self
        runner, ready, selector = self._runner, self._ready, self._selector
        # As curio.meta.running() does, without its cost.
        meta._locals.running = True
        meta._locals.kernel = self._kernel
        cycles = 0
        while True:
            runner(None)
            if not ready and not selector.has_changes:
                break
            cycles += 1
            if cycles > MAXIMUM_CYCLES:
                raise SpinningError(self.name)
        meta._locals.running = False
        meta._locals.kernel = None
        self._arm_timer()

    def _arm_timer(self) -> None:
        delay = self._timers.next_deadline(self.process.clock())
        if delay is None:
            return
        delay = max(delay / self.process.clock_rate, SHORTEST_TIMER_S)
        due = self.process.kernel.now + delay
        if due < self._timer_due - SHORTEST_TIMER_S:
            self._timer_due = due
            self.process.kernel.call_later(delay, self._timer, self.process.life, due)

    def _timer(self, life: int, due: float) -> None:
        if life != self.process.life:
            return
        if due == self._timer_due:
            self._timer_due = float("inf")
        self._wake()

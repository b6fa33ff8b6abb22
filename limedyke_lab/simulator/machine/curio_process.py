"""A simulated process that runs the product's unmodified curio code.

Each life (the time between a start and the next crash or exit) has its own curio kernel.  The
kernel is run cycle by cycle when one of its sockets becomes ready or one of its timers is due
by the clock of the process.
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
"""Kernel cycles at one virtual time after which a process counts as spinning."""
SHORTEST_TIMER_S = 1e-6

Program = Callable[[], Coroutine[Any, Any, Any]]


class SpinningError(Exception):
    """A process keeps running without ever waiting."""


class CurioProcess:
    """Runs a program on a simulated process.

    :param program: creates the main coroutine of each life
    :param on_exit: called with the exception, or None, when the main coroutine ends
    """

    ended_kernels: list[curio.Kernel] = []  # noqa: RUF012 - shared on purpose
    """Kernels of all lives, kept so that no finaliser resumes their coroutines during the run."""

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
        self._run_pending = False
        self._timer_due = float("inf")
        self._signal_handlers: dict[int, Callable] = {}
        self.on_power_loss: Callable[[], None] = lambda: None
        process.start = self._start

    @classmethod
    def discard_kernels(cls) -> None:
        """Release the kernels of a finished run without running their shutdown functions."""
        for kernel in cls.ended_kernels:
            kernel._shutdown_funcs = None
        cls.ended_kernels.clear()

    @property
    def name(self) -> str:
        """Name of the process."""
        return self.process.name

    def clock(self) -> float:
        """Return the monotonic clock of the process."""
        return self.process.clock()

    def wall_clock(self) -> float:
        """Return the wall clock of the process, in seconds since the start of the run."""
        return self.process.wall_clock()

    def make_socket(self) -> VirtualSocket:
        """Return a new socket of the current life."""
        return VirtualSocket(self._selector, self.network, self.process)

    def make_poll(self) -> VirtualPoll:
        """Return a new poll object over the sockets of the current life."""
        return VirtualPoll(self._selector)

    def add_signal_handler(self, number: int, handler: Callable) -> None:
        """Register a signal handler."""
        self._signal_handlers[number] = handler

    def terminate(self) -> None:
        """Ask the process to stop, as SIGTERM does."""
        handler = self._signal_handlers.get(signal.SIGTERM)
        if handler is not None:
            self.call(handler, signal.SIGTERM, None)

    def lose_power(self) -> None:
        """End the current life in the middle of a disk operation."""
        self.process.kernel.call_soon(self._on_power_loss, self.process.life)

    def _on_power_loss(self, life: int) -> None:
        if life == self.process.life:
            self.on_power_loss()

    def _start(self) -> None:
        self._signal_handlers: dict[int, Callable] = {}
        life = self.process.life
        self._run_pending = False
        self._timer_due = float("inf")
        self._selector = VirtualSelector(self._schedule_run)
        self._kernel = curio.Kernel(selector=self._selector)
        self.ended_kernels.append(self._kernel)
        self._environment.current = self
        self._kernel.run(self._launch, life)
        self._bind_kernel_internals()
        self._run_ready_tasks()

    def _bind_kernel_internals(self) -> None:
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
            self._on_main_ended(life, error)
            return
        self._on_main_ended(life, None)

    def _on_main_ended(self, life: int, error: BaseException | None) -> None:
        if self.process.life == life:
            self.process.kernel.call_soon(self._notify_exit, life, error)

    def _notify_exit(self, life: int, error: BaseException | None) -> None:
        if self.process.life == life:
            self._on_exit(error)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a synchronous function in the context of the process, as for a signal handler."""
        self._environment.current = self
        result = function(*arguments)
        self._schedule_run()
        return result

    def spawn(self, coroutine_function: Callable, *arguments: Any) -> None:
        """Start a task in the current life."""

        async def launch() -> None:
            await curio.spawn(coroutine_function, *arguments, daemon=True)

        self._environment.current = self
        self._kernel.run(launch)
        self._schedule_run()

    def _schedule_run(self) -> None:
        if not self._run_pending:
            self._run_pending = True
            self.process.kernel.call_soon(self._run_if_same_life, self.process.life)

    def _run_if_same_life(self, life: int) -> None:
        if life == self.process.life:
            self.process.deliver(self._run_ready_tasks)

    def _run_ready_tasks(self) -> None:
        """Run all ready tasks, then schedule the next timer."""
        self._run_pending = False
        self._environment.current = self
        runner, ready, selector = self._runner, self._ready, self._selector
        # Inlined curio.meta.running(), which is too slow here.
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
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        delay = self._timers.next_deadline(self.process.clock())
        if delay is None:
            return
        delay = max(delay / self.process.clock_rate, SHORTEST_TIMER_S)
        due = self.process.kernel.now + delay
        if due < self._timer_due - SHORTEST_TIMER_S:
            self._timer_due = due
            self.process.kernel.call_later(delay, self._on_timer, self.process.life, due)

    def _on_timer(self, life: int, due: float) -> None:
        if life != self.process.life:
            return
        if due == self._timer_due:
            self._timer_due = float("inf")
        self._schedule_run()

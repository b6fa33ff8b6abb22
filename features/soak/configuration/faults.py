"""Brings about the faults of a plan."""

from __future__ import annotations

import signal
import time
from collections.abc import Sequence

import curio

from features.soak.configuration.deployment import TOLERATED_LOSSES, ConfigurationDeployment
from features.soak.configuration.operators import Operators
from features.soak.configuration.plan import LOSSES, Fault, FaultKind

CATCH_UP_S = 4.0
"""Seconds for which a controller counts as lost after it has come back."""
MAX_PAUSE_S = 5.0
SUCCESSOR_AFTER_S = 1.0
EMPTY_AFTER_S = 1.0
CONFIRMATION_WAIT_S = 3.0


class ConfigurationFaults:
    """Injects faults; one that would lose more controllers than are borne is left out.

    :ivar injected: the faults that were brought about
    """

    def __init__(self, deployment: ConfigurationDeployment, operators: Operators) -> None:
        self._deployment = deployment
        self._operators = operators
        self._lost: set[str] = set()
        self._confirming = curio.Queue()
        self._awaits_confirmation = False
        operators.on_acknowledged = self._on_acknowledged
        self.injected: list[Fault] = []

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Inject the faults; return when all have ended and all controllers have caught up."""
        started_at = time.monotonic()
        async with curio.TaskGroup() as tasks:
            for fault in faults:
                await curio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
                await tasks.spawn(self._inject, fault)

    async def _on_acknowledged(self, ip: str) -> None:
        if self._awaits_confirmation:
            self._awaits_confirmation = False
            await self._confirming.put(ip)

    async def _inject(self, fault: Fault) -> None:
        deployment = self._deployment
        controllers = [ip for ip in deployment.running_controllers() if ip not in self._lost]
        if fault.kind in LOSSES:
            if controllers and len(self._lost) < TOLERATED_LOSSES:
                self.injected.append(fault)
                await self._lose(fault, controllers[fault.target % len(controllers)])
            return
        self.injected.append(fault)
        proxies = [ip for ip in deployment.proxies if deployment.process_number(ip)]
        match fault.kind:
            case FaultKind.KILL_CONTROLLERS:
                for ip in deployment.running_controllers():
                    deployment.signal(ip, signal.SIGKILL)
            case FaultKind.KILL_PROXIES:
                for ip in proxies:
                    deployment.signal(ip, signal.SIGKILL)
            case FaultKind.HANG_UP:
                for ip in deployment.started_machines():
                    deployment.signal(ip, signal.SIGHUP)
            case FaultKind.KILL_PROXY:
                deployment.signal(proxies[fault.target % len(proxies)], signal.SIGKILL)
            case FaultKind.STOP_PROXY:
                deployment.signal(proxies[fault.target % len(proxies)], signal.SIGTERM)
            case FaultKind.ROLL_CONTROLLERS:
                await self._roll(deployment.running_controllers(), fault.for_s)
            case FaultKind.ROLL_PROXIES:
                await self._roll(proxies, fault.for_s)
            case FaultKind.PAUSE_PROXY:
                await deployment.pause(proxies[fault.target % len(proxies)], fault.for_s)

    async def _roll(self, machines: Sequence[str], for_s: float) -> None:
        """Tell processes to stop, spread over a time; each is started again when it has ended."""
        for ip in machines:
            self._deployment.signal(ip, signal.SIGTERM)
            await curio.sleep(for_s / len(machines))

    async def _lose(self, fault: Fault, ip: str) -> None:
        """Lose one controller, until it or its successor has had time to catch up."""
        deployment = self._deployment
        self._lost.add(ip)
        match fault.kind:
            case FaultKind.KILL_CONTROLLER:
                deployment.signal(ip, signal.SIGKILL)
            case FaultKind.KILL_CONFIRMING:
                await self._kill_confirming(ip)
            case FaultKind.STOP_CONTROLLER:
                deployment.signal(ip, signal.SIGTERM)
            case FaultKind.PAUSE_CONTROLLER:
                await deployment.pause(ip, min(fault.for_s, MAX_PAUSE_S))
            case FaultKind.DARK_CONTROLLER:
                await deployment.switch_off(ip, fault.for_s)
            case FaultKind.WIPE_CONTROLLER:
                await deployment.switch_off(ip, EMPTY_AFTER_S, keeps_disk=False)
            case FaultKind.REPLACE_CONTROLLER:
                await deployment.replace_controller(ip, SUCCESSOR_AFTER_S)
        await curio.sleep(CATCH_UP_S)
        self._lost.discard(ip)

    async def _kill_confirming(self, reserved: str) -> None:
        """Kill the controller that confirms the next change, if it is not lost already."""
        self._awaits_confirmation = True
        async with curio.ignore_after(CONFIRMATION_WAIT_S):
            ip = await self._confirming.get()
            if ip == reserved or ip not in self._lost:
                self._deployment.signal(ip, signal.SIGKILL)

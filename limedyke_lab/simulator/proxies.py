"""Simulated proxies: the product's proxy on the simulated network."""

from __future__ import annotations

import shutil
from collections.abc import Callable

from limedyke.proxy.server import Proxy
from limedyke.settings.proxy import ProxySettings
from limedyke.settings.secrets import Secrets
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.curio_process import CurioProcess
from limedyke_lab.simulator.machine.environment import Environment
from limedyke_lab.simulator.machine.kernel import Process
from limedyke_lab.simulator.machine.network import Network


class SimulatedProxy:
    """A proxy process with its data folder.

    :param on_exit: called when the process has exited on its own
    """

    def __init__(
        self,
        process: Process,
        network: Network,
        environment: Environment,
        history: History,
        settings: ProxySettings,
        secrets: Secrets,
        on_exit: Callable[[SimulatedProxy], None],
    ) -> None:
        self.process = process
        self.name = process.name
        self.draining = False
        self._history = history
        self._settings = settings
        self._secrets = secrets
        self._on_exit = on_exit
        self.proxy: Proxy | None = None
        self.runtime = CurioProcess(process, network, environment, self._program, self._exited)

    async def _program(self) -> None:
        self.draining = False
        self._settings.data_folder.mkdir(parents=True, exist_ok=True)
        self._history.add("proxy-started", proxy=self.name)
        self.proxy = Proxy(self._settings, self._secrets)
        status = await self.proxy.run()
        if status:
            raise SystemExit(status)

    def _exited(self, error: BaseException | None) -> None:
        if error is not None:
            self._history.add("process-failed", process=self.name, detail=repr(error))
        self._history.add("proxy-exited", proxy=self.name, draining=self.draining)
        self._on_exit(self)

    def drain(self) -> None:
        """Ask the process to drain and exit."""
        self.draining = True
        self._history.add("drain-asked", proxy=self.name)
        self.runtime.terminate()

    def crashed(self) -> None:
        """Release the crashed proxy's objects; the data folder stays."""
        proxy, self.proxy = self.proxy, None
        if proxy is not None:
            proxy._control._state_receiver._store.close()

    def lose_disk(self) -> None:
        """Empty the data folder."""
        shutil.rmtree(self._settings.data_folder, ignore_errors=True)
        self._history.add("disk-lost", process=self.name)

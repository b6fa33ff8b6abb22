"""A process that holds many hollow proxies and obeys the runner of a scale run.

Commands and answers are JSON lines on a TCP connection that the host opens.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from random import Random

import curio

from limedyke.addresses import split_address
from limedyke.messages.control import MemberReport, PromoteOrder
from limedyke_lab.scale.hollow_proxy import HollowProxy, HollowSettings
from limedyke_lab.scale.home_duty import HomeDuty
from limedyke_lab.scale.sizes import (
    LOST_ZONE_NUMBER,
    proxy_name,
    zone_name,
    zone_of_proxy,
)
from limedyke_lab.scale.witness import Witness

START_SPREAD_S = 0.002
"""Time between the starts of two hollow proxies of a host."""


class HollowHost:
    """Runs hollow proxies; each method named ``do_...`` is a command of the runner.

    :param values: the settings that the runner wrote
    """

    def __init__(self, values: dict) -> None:
        settings = HollowSettings(
            controllers=tuple(values["controllers"]),
            cluster_key=values["cluster_key"].encode(),
            source_ip=values["source_ip"],
            heartbeat_interval_s=values["heartbeat_interval_s"],
            silence_limit_s=values["silence_limit_s"],
        )
        self._generator = Random(values["seed"])
        self._proxies = {
            proxy_name(number): HollowProxy(
                proxy_name(number),
                zone_of_proxy(number),
                settings,
                self,
                Random(values["seed"] * 10_000 + number),
            )
            for number in values["numbers"]
        }
        self._all = list(self._proxies.values())
        lost_zone = zone_name(LOST_ZONE_NUMBER)
        self._witness_proxy = next(proxy for proxy in self._all if proxy.zone != lost_zone)
        self._witness = Witness(set(values["real_groups"]))
        self._duty = HomeDuty(self._proxies, self._witness, self._generator)
        self._tasks: dict[str, curio.Task] = {}
        self._silent: set[str] = set()

    def control_received(self, proxy: HollowProxy, data: bytes) -> None:
        """Decode what the witness received, for all."""
        if proxy is self._witness_proxy:
            self._witness.take(data)

    def connected(self, proxy: HollowProxy) -> list[MemberReport]:
        """Return the reports of a proxy that has just connected."""
        return self._duty.reports_of(proxy.name)

    def new_primary(self, order: PromoteOrder) -> str:
        """Return a member that can be promoted."""
        return self._witness.survivor(order.group)

    @property
    def _alive(self) -> list[HollowProxy]:
        return [proxy for proxy in self._all if proxy.name not in self._silent]

    async def start(self) -> None:
        """Start the proxies, one after the other."""
        await curio.spawn(self._duty.run, daemon=True)
        for proxy in self._all:
            self._tasks[proxy.name] = await curio.spawn(proxy.run, daemon=True)
            await curio.sleep(START_SPREAD_S)

    async def do_state(self) -> dict:
        """Return how many proxies hear a live quorum, and the least index and revision held."""
        alive = self._alive
        return {
            "proxies": len(alive),
            "stamped": sum(1 for proxy in alive if proxy.first_stamp_at),
            "control_index": min(proxy.control_index for proxy in alive),
            "revision": min(proxy.revision for proxy in alive),
            "primaries": self._primaries_known(),
            "leased_connections": sum(proxy.leased_connections for proxy in alive),
            "reconnects": sum(proxy.reconnects for proxy in alive),
        }

    def _primaries_known(self) -> int:
        view = self._witness.view
        if view is None:
            return 0
        return sum(1 for primary in view.primaries.values() if primary.primary)

    async def do_counters(self) -> dict:
        """Return the traffic of all proxies so far, and the most of one proxy."""
        counters = [proxy.counters for proxy in self._all]
        return {
            "messages_in": sum(c.messages_in for c in counters),
            "messages_out": sum(c.messages_out for c in counters),
            "bytes_in": sum(c.bytes_in for c in counters),
            "bytes_out": sum(c.bytes_out for c in counters),
        }

    async def do_clear(self) -> dict:
        """Forget the arrivals noted so far."""
        for proxy in self._all:
            proxy.arrivals.clear()
        self._witness.recorded.clear()
        return {}

    async def do_await_stamps(self) -> dict:
        """Note anew when each proxy hears a live quorum."""
        for proxy in self._all:
            proxy.await_stamp()
        return {}

    async def do_stamp_times(self) -> dict:
        """Return when each proxy first heard a live quorum; 0 for not yet."""
        return {"times": [proxy.first_stamp_at for proxy in self._alive]}

    async def do_revision_times(self, revisions: list[int]) -> dict:
        """Return by revision when each proxy held it; None for not yet."""
        return {
            str(revision): [proxy.arrivals.time_of_revision(revision) for proxy in self._alive]
            for revision in revisions
        }

    async def do_primaries(self) -> dict:
        """Return for each new primary when the last proxy of this host held it."""
        found = {}
        for recorded in self._witness.recorded:
            times = [p.arrivals.time_of_index(recorded.control_index) for p in self._alive]
            last = None if None in times else max(times)
            found[recorded.group] = {"term": recorded.term, "last": last}
        return {"groups": found}

    async def do_lose_zone(self, zone: str, detection_s: list[float]) -> dict:
        """Silence the proxies of a zone, and let the others see its members gone."""
        self._fall_silent({proxy.name for proxy in self._all if proxy.zone == zone})
        await self._duty.lose_zone(zone, tuple(detection_s))
        return {}

    async def do_lose_primary(self, group: str, detection_s: list[float]) -> dict:
        """Let the home proxies of a group see its primary gone."""
        await self._duty.lose_primary(group, tuple(detection_s))
        return {}

    async def do_fail_machines(self, names: list[str]) -> dict:
        """Let the machines of the named proxies lose their power."""
        self._fall_silent(self._proxies.keys() & set(names))
        return {}

    def _fall_silent(self, names: set[str]) -> None:
        self._silent |= names
        for name in names:
            self._proxies[name].fall_silent()

    async def do_restore(self) -> dict:
        """Start the silent proxies again, and bring all members back."""
        self._witness.lose_zone("")
        self._witness.restore_members()
        names, self._silent = self._silent, set()
        await self._restart(names, lost_disk=False)
        return {}

    async def do_restart_some(self, names: list[str], lost_disk: bool) -> dict:
        """Restart the named proxies at once."""
        await self._restart(self._proxies.keys() & set(names), lost_disk)
        return {}

    async def _restart(self, names: set[str], lost_disk: bool) -> None:
        for name in names:
            await self._tasks[name].cancel(blocking=False)
        for name in names:
            await self._tasks[name].wait()
            self._proxies[name].restarted(lost_disk)
        for name in names:
            self._tasks[name] = await curio.spawn(self._proxies[name].run, daemon=True)

    async def do_restart(self, lost_disk: bool) -> dict:
        """Restart all proxies at once."""
        await self._restart(set(self._proxies), lost_disk)
        return {}


async def _obey(host: HollowHost, address: str, number: int) -> None:
    """Carry out commands until the runner closes the connection."""
    sock = await curio.open_connection(*split_address(address))
    stream = sock.as_stream()
    await stream.write(json.dumps({"host": number}).encode() + b"\n")
    await curio.spawn(host.start, daemon=True)
    async for line in stream:
        request = json.loads(line)
        command = getattr(host, f"do_{request['command']}")
        answer = await command(**request["arguments"])
        await stream.write(json.dumps(answer).encode() + b"\n")


def main(settings_file: str) -> None:
    """Run a host with the settings that the runner wrote."""
    values = json.loads(Path(settings_file).read_text())
    host = HollowHost(values)
    curio.run(_obey, host, values["runner"], values["number"])


if __name__ == "__main__":
    main(sys.argv[1])

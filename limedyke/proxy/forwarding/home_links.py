"""Links to home proxies: the choice of a home proxy, and dialling links on demand."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

import curio
from result import Err, Result

from limedyke.core.backoff import Backoff
from limedyke.core.home_choice import LEAST_GAIN_S, HomeCandidate, ReportedLoads, choose_home
from limedyke.event_log import EventLog
from limedyke.messages.control import ProxyRecord, ProxyState
from limedyke.messages.handshake import PeerRole
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.forwarding.link import HomeLink, surplus_links
from limedyke.result_codes import Failure, ResultCode
from limedyke.settings.secrets import Secrets
from limedyke.transport.link import Link, LinkIdentity, dial
from limedyke.transport.traffic import NO_METER, Place, TrafficMeter

MS_PER_S = 1_000.0
DIAL_TIMEOUT_S = 0.5
DIAL_BACKOFF_BASE_S = 0.1
DIAL_BACKOFF_LIMIT_S = 2.0
DIAL_ROUND_TRIPS = 3
"""Round trips of a dial: TCP connect, greeting, and authentication of both sides."""
DIALS_AT_ONCE = 2
"""Parallel dials for one unit. More home proxies are dialled only when these fail, to keep the
total number of links small."""

_log = EventLog("forwarding")


@dataclass(frozen=True, slots=True)
class UnitRequirements:
    """What a unit needs from a home proxy, used to estimate its wait there.

    :param priority: 0 is the most urgent
    :param writes: the unit needs the primary
    """

    priority: int = 0
    writes: bool = False


NO_REQUIREMENTS = UnitRequirements()


class HomeLinkSettings(Protocol):
    """The proxy settings that links to home proxies use."""

    name: str
    zone: str
    region: str
    source_ip: str
    cluster_key: str
    home_link_idle_ms: int
    maximum_home_links: int


class HomeLinks:
    """The links of one proxy to home proxies, by name, shared by all units.

    :param meter: counts the bytes exchanged with them
    :ivar loads: the waits that home proxies reported
    :ivar is_any_silent: some home proxy was silent at the last choice; others may have failed too
    """

    def __init__(
        self, settings: HomeLinkSettings, secrets: Secrets, meter: TrafficMeter = NO_METER
    ) -> None:
        key = (secrets.get(settings.cluster_key) or "").encode()
        self._settings = settings
        place = Place(settings.zone, settings.region)
        self._identity = LinkIdentity(PeerRole.PROXY, settings.name, key, place, meter)
        self._view: ControlView | None = None
        self._candidates: dict[str, tuple[ProxyRecord, ...]] = {}
        self._ordered: dict[tuple[str, str], tuple[ProxyRecord, ...]] = {}
        self._tenant_homes: dict[tuple[str, str], str] = {}
        self._links: dict[str, HomeLink] = {}
        self._dialing: dict[str, curio.Event] = {}
        self._backoffs: dict[str, Backoff] = {}
        self.is_any_silent = False
        self.loads = ReportedLoads()
        self._generator = random.Random()

    def control_changed(self, view: ControlView) -> None:
        """Apply a new control view."""
        self._view = view
        self._candidates.clear()
        self._ordered.clear()
        self._tenant_homes.clear()

    def get(self, home: str) -> HomeLink | None:
        """Return the open or closing link to a home proxy, or None."""
        return self._links.get(home)

    def links(self) -> list[HomeLink]:
        """Return all links."""
        return list(self._links.values())

    def is_home(self, group: str) -> bool:
        """Tell whether this proxy itself is a home proxy of a group."""
        return self._view is not None and self._view.is_home(group, self._settings.name)

    def has_home(self, group: str) -> bool:
        """Tell whether another home proxy of a group is known."""
        return bool(self._candidates_of(group))

    async def choose(
        self,
        group: str,
        tried: set[str],
        tenant: str = "",
        need: UnitRequirements = NO_REQUIREMENTS,
    ) -> HomeLink | None:
        """Return a link to a home proxy not tried yet, the nearest first, or None.

        :param tenant: the unit's tenant; empty for any. All proxies of a region prefer the same
            home proxy for a tenant, so that few connections serve many tenants
        :param need: the unit's requirements; while its expected wait at the preferred home proxy is
            long, a share of the units goes elsewhere

        An open link is preferred to a nearer home proxy without one, which may be frozen and is
        dialled in the background. A link that is silent, draining or crowded is returned only when
        there is no other.
        """
        ordered = self._ordered_for(group, tenant)
        records = [record for record in ordered if record.name not in tried]
        silent_zones = self._silent_zones()
        self.is_any_silent = bool(silent_zones)
        silent_zones.discard(self._settings.zone)
        if silent_zones:
            records.sort(key=lambda record: record.zone in silent_zones)
        dialling = 0
        last_resort = None
        for record in records:
            link = self._open_link(record.name)
            if link is not None and link.takes_work and not link.is_crowded:
                return self._balance(link, records, group, need)
            last_resort = last_resort or link
            if link is None and dialling < DIALS_AT_ONCE:
                await self._start_dial(record)
                dialling += record.name in self._dialing
        for record in records:
            event = self._dialing.get(record.name)
            if event is not None:
                await event.wait()
            link = self._open_link(record.name)
            if link is not None and link.takes_work and not link.is_crowded:
                return link
        return last_resort

    async def tenant_home_link(
        self, group: str, tenant: str, need: UnitRequirements
    ) -> HomeLink | None:
        """Return a link to the home proxy that is assigned to a tenant in this region.

        Used by proxies that are home proxies themselves. Returns None when the tenant is assigned
        to this proxy, or the assigned one is unreachable or crowded; the unit then runs here.
        """
        name = self._tenant_home_name(group, tenant)
        if not name:
            return None
        link = self._open_link(name)
        if link is None:
            await self._start_dial(self._view.proxies[name])
            return None
        silent_zones = self._silent_zones()
        self.is_any_silent = bool(silent_zones)
        if link.zone in silent_zones:
            return None
        wait_s = self.loads.wait_s(name, group, need.priority, need.writes, time.monotonic())
        is_free = link.takes_work and not link.is_crowded and wait_s <= LEAST_GAIN_S
        return link if is_free else None

    def _tenant_home_name(self, group: str, tenant: str) -> str:
        """Return the home proxy assigned to a tenant in this region; empty for this proxy."""
        known = self._tenant_homes.get((group, tenant))
        if known is not None or self._view is None:
            return known or ""
        own = self._view.proxies.get(self._settings.name)
        region = self._settings.region
        near = [home for home in self._candidates_of(group) if home.region == region]
        if own is not None:
            near.append(own)
        first = min(near, key=lambda home: _tenant_weight(tenant, home), default=own)
        is_elsewhere = first is not None and own is not None and first is not own
        name = self._tenant_homes[group, tenant] = first.name if is_elsewhere else ""
        return name

    def _balance(
        self, usual: HomeLink, records: list[ProxyRecord], group: str, need: UnitRequirements
    ) -> HomeLink:
        """Return the preferred link, or another one while the reported wait there is long."""
        now = time.monotonic()
        wait_s = self.loads.wait_s(usual.home, group, need.priority, need.writes, now)
        if wait_s <= LEAST_GAIN_S:
            return usual
        links = {usual.home: usual}
        for record in records:
            link = self._open_link(record.name)
            if link is not None and link.takes_work and not link.is_crowded:
                links[record.name] = link
        candidates = [
            HomeCandidate(
                name,
                link.travel_s,
                self.loads.wait_s(name, group, need.priority, need.writes, now),
            )
            for name, link in links.items()
        ]
        return links[choose_home(candidates, self._generator).name]

    def _silent_zones(self) -> set[str]:
        """Return the zones with a silent home proxy.

        A network partition or power failure often affects a whole zone, so its other home proxies
        are tried last. Otherwise each of them would have to fail a unit before it is avoided.
        """
        return {link.zone for link in self._links.values() if link.is_silent}

    def _open_link(self, home: str) -> HomeLink | None:
        link = self._links.get(home)
        return link if link is not None and not link.closed else None

    def _candidates_of(self, group: str) -> tuple[ProxyRecord, ...]:
        """Return the other serving home proxies of a group, the nearest first.

        Home proxies at the same distance are ordered by a hash that includes this proxy's name, to
        spread the load.
        """
        found = self._candidates.get(group)
        if found is not None:
            return found
        view = self._view
        if view is None:
            return ()
        records = [view.proxies.get(name) for name in view.home_proxies(group)]
        homes = [
            record
            for record in records
            if record is not None
            and record.name != self._settings.name
            and record.state is ProxyState.SERVING
        ]
        found = self._candidates[group] = tuple(sorted(homes, key=self._distance))
        return found

    def _ordered_for(self, group: str, tenant: str) -> tuple[ProxyRecord, ...]:
        """Return the other home proxies of a group in order of preference for a tenant."""
        candidates = self._candidates_of(group)
        if not tenant:
            return candidates
        ordered = self._ordered.get((group, tenant))
        if ordered is None:
            region = self._settings.region
            ordered = tuple(
                sorted(
                    candidates,
                    key=lambda home: (home.region != region, _tenant_weight(tenant, home)),
                )
            )
            self._ordered[group, tenant] = ordered
        return ordered

    def _distance(self, record: ProxyRecord) -> tuple[bool, bool, bytes]:
        settings = self._settings
        pair = f"{settings.name} {record.name}".encode()
        return (
            record.zone != settings.zone,
            record.region != settings.region,
            blake2b(pair, digest_size=8).digest(),
        )

    async def _start_dial(self, record: ProxyRecord) -> None:
        """Dial in a separate task, so that cancelling one caller doesn't affect others."""
        backoff = self._backoffs.setdefault(
            record.name, Backoff(DIAL_BACKOFF_BASE_S, DIAL_BACKOFF_LIMIT_S)
        )
        if record.name in self._dialing or not backoff.ready(time.monotonic()):
            return
        event = curio.Event()
        self._dialing[record.name] = event
        await curio.spawn(self._dial_in_task, record, backoff, event, daemon=True)

    async def _dial_in_task(
        self, record: ProxyRecord, backoff: Backoff, event: curio.Event
    ) -> None:
        began_at = time.monotonic()
        try:
            dialed = await self._dial(record)
            if isinstance(dialed, Err):
                backoff.failed(time.monotonic(), random.random())
                _log.warning("dial-failed", home=record.name, detail=dialed.err_value.detail)
                return
            backoff.succeeded()
            await self._make_room()
            idle_limit_s = self._settings.home_link_idle_ms / MS_PER_S
            travel_s = (time.monotonic() - began_at) / DIAL_ROUND_TRIPS
            link = HomeLink(record.name, dialed.ok_value, idle_limit_s, travel_s, record.zone)
            self._links[record.name] = link
            await curio.spawn(self._serve, link, daemon=True)
        finally:
            del self._dialing[record.name]
            await event.set()

    async def _make_room(self) -> None:
        """Close the least recently used idle links, so that one more link keeps to the limit."""
        for link in surplus_links(self._links.values(), self._settings.maximum_home_links - 1):
            await link.close_if_idle()

    async def _dial(self, record: ProxyRecord) -> Result[Link, Failure]:
        """Connect and authenticate, with one timeout for both."""
        try:
            async with curio.timeout_after(DIAL_TIMEOUT_S):
                return await dial(
                    record.address, self._identity, self._key_of, self._settings.source_ip
                )
        except curio.TaskTimeout:
            return Err(Failure(ResultCode.NO_MEMBER, f"{record.address}: no answer"))

    async def _serve(self, link: HomeLink) -> None:
        await link.run()
        if self._links.get(link.home) is link:
            del self._links[link.home]
        _log.info("link-closed", home=link.home)

    def _key_of(self, role: PeerRole, name: str) -> bytes | None:
        """Return the cluster key for proxies; other roles are not accepted on these links."""
        del name
        return self._identity.key if role is PeerRole.PROXY else None


def _tenant_weight(tenant: str, home: ProxyRecord) -> bytes:
    """Return the sort key of a home proxy for a tenant, the same on all proxies."""
    return blake2b(f"{tenant} {home.name}".encode(), digest_size=8).digest()

"""The leader's decisions on proxy membership: serving, suspected, draining or gone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from itertools import islice

from limedyke.core.control.lease_table import reissue_after_s
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import ProxyHeartbeat, ProxyHello, ProxyRecord, ProxyState
from limedyke.messages.control_entries import ProxyIncarnation, RecordProxies, RemoveProxies

MAXIMUM_BATCH = 64
"""Maximum number of proxies in one entry.  Each proxy that joins or leaves makes every controller
visit all groups, and a controller that is busy for too long misses its heartbeats."""
_SERVING = (ProxyState.SERVING,)


def may_connect(known: ProxyRecord | None, hello: ProxyHello) -> bool:
    """Return whether a process may take over a proxy name now.

    Another process of that name may still hold leases.  It may be replaced once it is proven to
    have ended; otherwise only after its record was removed from the log, which happens after its
    leases have expired.

    :param known: the recorded proxy of that name, if any
    """
    return known is None or is_same_process(known, hello) or has_ended(known, hello)


def is_same_process(known: ProxyRecord, hello: ProxyHello) -> bool:
    """Return whether a hello comes from the recorded process itself."""
    return (known.folder_id, known.incarnation) == (hello.folder_id, hello.incarnation)


def has_ended(known: ProxyRecord, hello: ProxyHello) -> bool:
    """Return whether the recorded process has ended: a later one holds its folder's lock."""
    is_same_folder = bool(known.folder_id) and known.folder_id == hello.folder_id
    return is_same_folder and known.incarnation < hello.incarnation


@dataclass(slots=True)
class ProxySession:
    """The leader's knowledge of a proxy that is not kept in the log.

    :param heard_at: when its last message arrived; the leader's start time if none has
    :param record: the record that the log should hold; None before the proxy's hello
    :param reports_positions: see ``ProxyHello``
    :param reports_claims: see ``ProxyHello``
    """

    heard_at: float
    record: ProxyRecord | None = None
    connected: bool = False
    revision: int = 0
    control_index: int = 0
    clients: int = 0
    reports_positions: bool = False
    reports_claims: bool = False


class ProxyMembership:
    """Decides on membership by the proxies' own messages.

    The platform's list of leaving proxies only shortens the suspicion timeout.

    :param proxies: the replicated records by name, read only
    :param now: when this controller became the leader
    """

    def __init__(
        self, proxies: Mapping[str, ProxyRecord], timing: ControlTiming, now: float
    ) -> None:
        self._proxies = proxies
        self._timing = timing
        self._removal_silence_s = reissue_after_s(timing.lease_s)
        self._sessions: dict[str, ProxySession] = {
            name: ProxySession(heard_at=now) for name in proxies
        }
        self._pending_records: dict[str, ProxyRecord] = {}
        self._pending_removals: dict[str, int] = {}
        self._listed_as_leaving: frozenset[str] = frozenset()

    def session(self, proxy: str) -> ProxySession | None:
        """Return the session of a proxy, if any."""
        return self._sessions.get(proxy)

    def is_live(self, proxy: str, now: float) -> bool:
        """Return whether a proxy is connected and has sent a message recently."""
        session = self._sessions.get(proxy)
        if session is None or not session.connected:
            return False
        return now - session.heard_at < self._timing.live_s

    def connected(self, hello: ProxyHello, now: float) -> None:
        """Process a proxy's hello, and schedule its record for the log."""
        record = ProxyRecord(
            hello.name,
            hello.incarnation,
            hello.address,
            hello.zone,
            ProxyState.SERVING,
            hello.folder_id,
            hello.region,
        )
        self._sessions[hello.name] = ProxySession(
            heard_at=now,
            record=record,
            connected=True,
            revision=hello.revision,
            control_index=hello.control_index,
            reports_positions=hello.reports_positions,
            reports_claims=hello.reports_claims,
        )
        self._pending_removals.pop(hello.name, None)
        self._schedule_record(record)

    def disconnected(self, proxy: str) -> None:
        """Record that a proxy's link closed."""
        session = self._sessions.get(proxy)
        if session is not None:
            session.connected = False

    def heartbeat(self, proxy: str, heartbeat: ProxyHeartbeat, now: float) -> None:
        """Process a proxy's heartbeat."""
        session = self._sessions.get(proxy)
        if session is None or session.record is None:
            return
        session.heard_at = now
        session.revision = heartbeat.revision
        session.control_index = heartbeat.control_index
        session.clients = heartbeat.clients
        if heartbeat.state is not ProxyState.GONE:
            self._schedule_record(replace(session.record, state=heartbeat.state))

    def left(self, proxy: str, done: bool) -> None:
        """Record that a proxy drains, or has finished draining."""
        session = self._sessions.get(proxy)
        if done:
            self._schedule_removal(proxy)
        elif session is not None and session.record is not None:
            self._schedule_record(replace(session.record, state=ProxyState.DRAINING))

    def ended(self, proxy: str) -> None:
        """Record that a proxy's process has ended."""
        session = self._sessions.get(proxy)
        if session is not None:
            session.connected = False
            session.heard_at = float("-inf")
        self._schedule_removal(proxy)

    def set_listed_as_leaving(self, leaving: frozenset[str]) -> None:
        """Set the proxies that the platform lists as leaving; the list alone changes nothing."""
        self._listed_as_leaving = leaving

    def check_silence(self, now: float, lease_holders: Mapping[str, float]) -> None:
        """Suspect and remove silent proxies.

        :param lease_holders: proxies with unexpired leases; they are never removed
        """
        for name, record in self._proxies.items():
            session = self._sessions.get(name)
            if session is None:
                session = self._sessions[name] = ProxySession(heard_at=now)
            silence_s = now - session.heard_at
            if silence_s > self._removal_silence_s and name not in lease_holders:
                self._schedule_removal(name)
            elif silence_s > self._suspicion_timeout_s(name) and record.state is ProxyState.SERVING:
                self._schedule_record(replace(record, state=ProxyState.SUSPECTED))

    def take_entries(self) -> list[RecordProxies | RemoveProxies]:
        """Return the pending changes, at most one log entry of each kind; the rest follow later.

        Proxies that no longer serve go first.
        """
        entries: list[RecordProxies | RemoveProxies] = []
        wanted = sorted(self._pending_records.values(), key=lambda record: record.state in _SERVING)
        if wanted:
            entries.append(RecordProxies(tuple(wanted[:MAXIMUM_BATCH])))
        for record in wanted[:MAXIMUM_BATCH]:
            del self._pending_records[record.name]
        ended = list(islice(self._pending_removals.items(), MAXIMUM_BATCH))
        if ended:
            incarnations = tuple(ProxyIncarnation(name, number) for name, number in ended)
            entries.append(RemoveProxies(incarnations))
        for name, _ in ended:
            del self._pending_removals[name]
        return entries

    def forget(self, proxy: str) -> None:
        """Drop the session of a proxy that was removed from the log, unless it is connected."""
        session = self._sessions.get(proxy)
        if session is not None and not session.connected:
            del self._sessions[proxy]

    def _suspicion_timeout_s(self, proxy: str) -> float:
        is_listed = proxy in self._listed_as_leaving
        return self._timing.hinted_suspicion_s if is_listed else self._timing.suspicion_s

    def _schedule_record(self, record: ProxyRecord) -> None:
        if self._proxies.get(record.name) == record:
            self._pending_records.pop(record.name, None)
        else:
            self._pending_records[record.name] = record

    def _schedule_removal(self, proxy: str) -> None:
        record = self._proxies.get(proxy)
        if record is not None:
            self._pending_records.pop(proxy, None)
            self._pending_removals[proxy] = record.incarnation

"""Membership of proxies as the leader decides it: joined, suspected, leaving, gone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from itertools import islice

from limedyke.core.control.lease_table import reissue_after_s
from limedyke.core.control.timing import ControlTiming
from limedyke.messages.control import ProxyHeartbeat, ProxyHello, ProxyRecord, ProxyState
from limedyke.messages.control_entries import ProxyIncarnation, RecordProxies, RemoveProxies

MAXIMUM_BATCH = 64
"""Proxies in one entry.  Each that joins or leaves makes every controller look at all groups,
and no controller may be busy for as long as its heartbeats must not fail to come."""
_SERVING = (ProxyState.SERVING,)


def may_connect(known: ProxyRecord | None, hello: ProxyHello) -> bool:
    """Tell whether a process may take a name over now.

    Another process of that name may still hold leases.  It may be replaced when it is proven
    to have ended; otherwise only when its record has left the log, which is after its leases
    have run out.

    :param known: what the log holds of the name
    """
    return known is None or is_same_process(known, hello) or has_ended(known, hello)


def is_same_process(known: ProxyRecord, hello: ProxyHello) -> bool:
    """Tell whether a hello comes from the recorded process itself."""
    return (known.folder_id, known.incarnation) == (hello.folder_id, hello.incarnation)


def has_ended(known: ProxyRecord, hello: ProxyHello) -> bool:
    """Tell whether the recorded process has ended: a later one holds the lock on its folder."""
    is_same_folder = bool(known.folder_id) and known.folder_id == hello.folder_id
    return is_same_folder and known.incarnation < hello.incarnation


@dataclass(slots=True)
class ProxySession:
    """What the leader knows of a proxy that it does not keep in the log.

    :param heard_at: when its last message arrived; the leader's start when there was none
    :param record: what the log should hold of it; None before its hello
    """

    heard_at: float
    record: ProxyRecord | None = None
    connected: bool = False
    revision: int = 0
    control_index: int = 0
    clients: int = 0


class ProxyMembership:
    """Judges proxies by their own messages; the platform's list only shortens the patience.

    :param proxies: the replicated records by name, read only
    :param now: when this controller began to lead
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
        self._wanted: dict[str, ProxyRecord] = {}
        self._ended: dict[str, int] = {}
        self._hinted: frozenset[str] = frozenset()

    def session(self, proxy: str) -> ProxySession | None:
        """Return what is known of a proxy."""
        return self._sessions.get(proxy)

    def is_live(self, proxy: str, now: float) -> bool:
        """Tell whether a proxy is connected and was heard lately."""
        session = self._sessions.get(proxy)
        if session is None or not session.connected:
            return False
        return now - session.heard_at < self._timing.live_s

    def connected(self, hello: ProxyHello, now: float) -> None:
        """Take a proxy's hello; its record follows through the log."""
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
        )
        self._ended.pop(hello.name, None)
        self._want(record)

    def disconnected(self, proxy: str) -> None:
        """Note that a proxy's link ended."""
        session = self._sessions.get(proxy)
        if session is not None:
            session.connected = False

    def heartbeat(self, proxy: str, heartbeat: ProxyHeartbeat, now: float) -> None:
        """Take a proxy's heartbeat."""
        session = self._sessions.get(proxy)
        if session is None or session.record is None:
            return
        session.heard_at = now
        session.revision = heartbeat.revision
        session.control_index = heartbeat.control_index
        session.clients = heartbeat.clients
        if heartbeat.state is not ProxyState.GONE:
            self._want(replace(session.record, state=heartbeat.state))

    def left(self, proxy: str, done: bool) -> None:
        """Note that a proxy drains, or has ended."""
        session = self._sessions.get(proxy)
        if done:
            self._end(proxy)
        elif session is not None and session.record is not None:
            self._want(replace(session.record, state=ProxyState.DRAINING))

    def ended(self, proxy: str) -> None:
        """Note that a proxy's process is known to have ended."""
        session = self._sessions.get(proxy)
        if session is not None:
            session.connected = False
            session.heard_at = float("-inf")
        self._end(proxy)

    def hint(self, leaving: frozenset[str]) -> None:
        """Take the platform's list: it may be old, so it alone changes nothing."""
        self._hinted = leaving

    def judge(self, now: float, lease_holders: Mapping[str, float]) -> None:
        """Suspect and remove silent proxies.

        :param lease_holders: proxies whose leases have not run out; they are never removed
        """
        for name, record in self._proxies.items():
            session = self._sessions.get(name)
            if session is None:
                session = self._sessions[name] = ProxySession(heard_at=now)
            silence_s = now - session.heard_at
            if silence_s > self._removal_silence_s and name not in lease_holders:
                self._end(name)
            elif silence_s > self._suspicion_timeout_s(name) and record.state is ProxyState.SERVING:
                self._want(replace(record, state=ProxyState.SUSPECTED))

    def take_entries(self) -> list[RecordProxies | RemoveProxies]:
        """Return what has to go into the log, one entry of each sort; the rest comes later.

        Those that serve no longer go first.
        """
        entries: list[RecordProxies | RemoveProxies] = []
        wanted = sorted(self._wanted.values(), key=lambda record: record.state in _SERVING)
        if wanted:
            entries.append(RecordProxies(tuple(wanted[:MAXIMUM_BATCH])))
        for record in wanted[:MAXIMUM_BATCH]:
            del self._wanted[record.name]
        ended = list(islice(self._ended.items(), MAXIMUM_BATCH))
        if ended:
            incarnations = tuple(ProxyIncarnation(name, number) for name, number in ended)
            entries.append(RemoveProxies(incarnations))
        for name, _ in ended:
            del self._ended[name]
        return entries

    def forget(self, proxy: str) -> None:
        """Drop what is known of a proxy that the log holds no more, unless it is connected."""
        session = self._sessions.get(proxy)
        if session is not None and not session.connected:
            del self._sessions[proxy]

    def _suspicion_timeout_s(self, proxy: str) -> float:
        hinted = proxy in self._hinted
        return self._timing.hinted_suspicion_s if hinted else self._timing.suspicion_s

    def _want(self, record: ProxyRecord) -> None:
        if self._proxies.get(record.name) == record:
            self._wanted.pop(record.name, None)
        else:
            self._wanted[record.name] = record

    def _end(self, proxy: str) -> None:
        record = self._proxies.get(proxy)
        if record is not None:
            self._wanted.pop(proxy, None)
            self._ended[proxy] = record.incarnation

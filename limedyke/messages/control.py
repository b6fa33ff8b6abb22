"""Messages between proxies and controllers.  Kinds 20-59.

A proxy dials a controller and sends ``ProxyHello``.  A controller without the leader lease answers
``NotLeader``.  The leader answers with ``ControlSnapshot`` or ``ControlUpdate`` messages that bring
the proxy up to date, then sends one ``QuorumStamp`` per heartbeat.  The proxy sends one
``ProxyHeartbeat`` per interval, and a ``MemberReport`` on each change.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.databases import AnnouncedMember, Database, SessionLimits
from limedyke.messages.declaration import Declaration, Group, ProxyIntent, Tenant, TokenKey
from limedyke.messages.registry import message
from limedyke.messages.work import FIRST_POSITION, LogPosition


class MemberHealth(enum.StrEnum):
    """The health of a member as observed by a proxy."""

    REACHABLE = "reachable"
    SATURATED = "saturated"
    UNREACHABLE = "unreachable"


class ProxyState(enum.StrEnum):
    """Membership state of a proxy; a ``SUSPECTED`` proxy is silent and has no home duty."""

    SERVING = "serving"
    SUSPECTED = "suspected"
    DRAINING = "draining"
    GONE = "gone"


@message(58)
@dataclass(frozen=True, slots=True)
class Departure:
    """A member that left, or restarted without its log, and may alone hold acknowledged commits.

    :param identity: of the member; empty for commits that were acknowledged while the group waited
        for fewer replicas
    :param index: index of the log entry that recorded the departure
    :param started_at_ms: start time of the incarnation that left; 0 if it did not report it
    """

    identity: str
    index: int
    started_at_ms: int = 0


@message(20)
@dataclass(frozen=True, slots=True)
class GroupPrimary:
    """The primary of a group as recorded by the controllers.

    :param term: term of the group's log; increases with each promotion
    :param primary: member name; empty during a promotion
    :param switching_over: a planned switchover follows: hold new writes, let open ones finish,
        then send ``WritesPaused``
    :param fence: index of the log entry that granted the term; 0 if no promotion has begun.
        It increases over all terms, groups and leaders
    :param started_at_ms: start time of the incarnation that leads, or led last, if reported; a
        later incarnation has lost its log
    :param replaced: the primary before this term was granted; empty once one is recorded
    :param floor: log position that every later primary must hold, as an earlier one was promoted
        with it; known only where commits wait for replicas
    :param departures: those after which the remaining members have not been proven to hold what
        the departed one may have held; only where commits wait for replicas
    """

    group: str
    term: int
    primary: str
    switching_over: bool = False
    fence: int = 0
    started_at_ms: int = 0
    replaced: str = ""
    floor: LogPosition = FIRST_POSITION
    departures: tuple[Departure, ...] = ()


@message(21)
@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A proxy known to the controllers; it accepts forwarded requests at ``address`` (``ip:port``).

    :param folder_id: see ``ProxyHello``
    :param region: empty if unknown; all zones are then treated as equally distant
    """

    name: str
    incarnation: int
    address: str
    zone: str
    state: ProxyState
    folder_id: str = ""
    region: str = ""


@message(22)
@dataclass(frozen=True, slots=True)
class ProxyHello:
    """First message of a proxy.

    :param incarnation: increases at each start of the proxy
    :param control_index: index of the last control update synced to disk; 0 for none
    :param folder_id: id of the data folder, which only one process at a time can lock: an earlier
        incarnation on the same folder has ended and holds no leases.  Without a folder, the id is
        derived from the process's listening address, which is equally exclusive
    :param reports_positions: whether it answers ``PositionQuery``; earlier versions close the link
    :param reports_claims: whether it answers ``PrimaryQuery``; earlier versions close the link
    """

    name: str
    incarnation: int
    address: str
    zone: str
    control_index: int
    revision: int
    folder_id: str = ""
    region: str = ""
    reports_positions: bool = False
    reports_claims: bool = False


@message(23)
@dataclass(frozen=True, slots=True)
class NotLeader:
    """The controller does not hold the leader lease; ``leader`` is ``ip:port`` or empty."""

    leader: str


@message(24)
@dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """The complete state a proxy needs, at ``control_index`` of the controllers' log.

    :param controllers: addresses of the controllers; empty if the log holds none
    """

    control_index: int
    revision: int
    declaration: Declaration
    primaries: tuple[GroupPrimary, ...]
    proxies: tuple[ProxyRecord, ...]
    home_proxies_per_group: int = 3
    announced: tuple[AnnouncedMember, ...] = ()
    controllers: tuple[str, ...] = ()


@message(25)
@dataclass(frozen=True, slots=True)
class ControlUpdate:
    """A change from ``base_index`` to ``control_index``.

    Removals are applied first, then each item replaces the one of the same name.  Removing a group
    removes its primary too.  Equal indexes mean that there is no change.
    """

    base_index: int
    control_index: int
    revision: int
    tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()
    groups: tuple[Group, ...] = ()
    removed_groups: tuple[str, ...] = ()
    token_keys: tuple[TokenKey, ...] | None = None
    primaries: tuple[GroupPrimary, ...] = ()
    proxies: tuple[ProxyRecord, ...] = ()
    removed_proxies: tuple[str, ...] = ()
    proxy_intents: tuple[ProxyIntent, ...] | None = None
    home_proxies_per_group: int | None = None
    databases: tuple[Database, ...] = ()
    removed_databases: tuple[str, ...] = ()
    session_limits: SessionLimits | None = None
    announced: tuple[AnnouncedMember, ...] = ()
    removed_announced: tuple[str, ...] = ()
    controllers: tuple[str, ...] | None = None


@message(26)
@dataclass(frozen=True, slots=True)
class ConnectionLease:
    """Connections a proxy may hold to each member of a group for a tenant.

    An empty tenant stands for the proxy's share for probes.  A lease expires ``lease_duration_ms``
    after the proxy sent the heartbeat that the last ``QuorumStamp`` answers.
    """

    group: str
    tenant: str
    connections: int


MEMBER_SEPARATOR = "@"
"""Separates tenant and member in leases for a single member. Tenant names never contain it."""


def member_budget(tenant: str, member: str) -> str:
    """Return the ``tenant`` field of leases of connections to a single member."""
    return f"{tenant}{MEMBER_SEPARATOR}{member}"


def member_of_budget(tenant: str) -> str:
    """Return the member that a lease is limited to; empty if it applies to every member."""
    return tenant.partition(MEMBER_SEPARATOR)[2]


@message(38)
@dataclass(frozen=True, slots=True)
class ConnectionDemand:
    """A home proxy's demand for connections to a member.

    :param connections: recent maximum of connections in use plus requests waiting; if connections
        serve a single tenant each, at least the number of tenants with recent requests
    :param under_way: connections currently in use
    :param waiting: requests currently waiting for a connection
    :param turned_away: connections refused by the member since the proxy started
    """

    group: str
    member: str
    connections: int
    under_way: int = 0
    waiting: int = 0
    turned_away: int = 0


@message(27)
@dataclass(frozen=True, slots=True)
class ProxyHeartbeat:
    """Sent each interval; its answer renews the leases and proves a live quorum.

    :param sequence: increases by one; echoed in ``QuorumStamp``
    :param control_index: last update synced to disk and in force
    :param leases: sent only after (re)connecting, so that a new leader can adopt them
    :param demands: demands that changed considerably, or all after (re)connecting; None if the
        proxy does not report demand
    """

    sequence: int
    control_index: int
    revision: int
    state: ProxyState
    clients: int
    leases: tuple[ConnectionLease, ...] = ()
    demands: tuple[ConnectionDemand, ...] | None = None


@message(28)
@dataclass(frozen=True, slots=True)
class QuorumStamp:
    """Answer to a heartbeat, sent only under the leader lease.

    :param controller_term: term of the controllers' consensus
    :param stamp: advances only when a quorum of controllers confirms the leader
    :param lease_duration_ms: counted by the proxy from the send time of heartbeat ``sequence``
    :param primary_lease_ms: counted likewise; until then no promotion begins without notice to the
        proxy, so the recorded primaries are the only ones; 0 gives no such guarantee
    """

    sequence: int
    controller_term: int
    stamp: int
    control_index: int
    lease_duration_ms: int
    primary_lease_ms: int = 0


@message(29)
@dataclass(frozen=True, slots=True)
class LeaseUpdate:
    """The changed leases of this proxy; others stay. ``connections`` 0 revokes a lease."""

    leases: tuple[ConnectionLease, ...]


@message(30)
@dataclass(frozen=True, slots=True)
class LeaseReturned:
    """The proxy no longer holds more than these connections of its leases."""

    leases: tuple[ConnectionLease, ...]


@message(31)
@dataclass(frozen=True, slots=True)
class MemberReport:
    """A home proxy's observation of a member; sent on change and after reconnecting.

    :param term: last term that the member exposed; 0 if unknown
    :param position: log position in bytes; 0 if unknown
    :param is_primary: whether the observer considers it the primary
    :param started_at_ms: start time of the observed incarnation; 0 if members do not report it
    """

    group: str
    member: str
    health: MemberHealth
    term: int
    position: int
    is_primary: bool
    started_at_ms: int = 0


@message(39)
@dataclass(frozen=True, slots=True)
class PositionQuery:
    """Asks a home proxy for the log positions of members before one of them is promoted.

    :param round_id: identifies the round of queries; unique over all leaders
    :param fence: see ``GroupPrimary``; a proxy that knows another one ignores the query
    :param members: identities of the members to query
    :param hold: replicas are to stop receiving before they state their position; otherwise those
        that stopped are to receive again first
    :param timeout_ms: how long to repeat the query at a member that does not answer
    """

    group: str
    round_id: int
    fence: int
    members: tuple[str, ...]
    hold: bool
    timeout_ms: int


@message(40)
@dataclass(frozen=True, slots=True)
class PositionReport:
    """The log position of one member, in answer to ``PositionQuery``.

    :param round_id: of the query
    :param started_at_ms: start time of the queried incarnation; 0 if members do not report it
    :param position: the last position that the member has received, applied or not
    """

    group: str
    round_id: int
    member: str
    started_at_ms: int
    position: LogPosition


@message(41)
@dataclass(frozen=True, slots=True)
class PrimaryQuery:
    """Asks a home proxy to find out whether a member that is being promoted leads.

    The proxy repeats the question at the member until it says that it is the primary, or the time
    is over.  Nothing is held or released at the member.

    :param round_id: identifies the question; unique over all leaders
    :param fence: see ``GroupPrimary``; a proxy that knows another one ignores the query
    :param timeout_ms: how long to repeat the question
    """

    group: str
    round_id: int
    fence: int
    member: str
    timeout_ms: int


@message(42)
@dataclass(frozen=True, slots=True)
class PrimaryClaim:
    """A member's own statement that it is the primary, in answer to ``PrimaryQuery``.

    The member was asked after the query had arrived, so the statement is from after the query was
    sent.

    :param round_id: of the query
    :param started_at_ms: start time of the queried incarnation; 0 if members do not report it
    :param term: term of the log that the member leads
    """

    group: str
    round_id: int
    member: str
    started_at_ms: int
    term: int


@message(32)
@dataclass(frozen=True, slots=True)
class PromoteOrder:
    """Orders a home proxy to promote a member of the group under ``term``.

    The executor first gets a majority of members to promise the term, then promotes the most
    advanced of them.

    :param preferred: member to prefer among equally advanced ones; empty for any
    :param planned: the current primary works, and the preferred member is to replace it. It is
        chosen if it holds all acknowledged commits, even if the old primary's log is longer
    :param timeout_ms: timeout of the order; 0 for the executor's default
    """

    group: str
    term: int
    preferred: str
    planned: bool = False
    timeout_ms: int = 0


@message(33)
@dataclass(frozen=True, slots=True)
class PromoteResult:
    """Answer to ``PromoteOrder``; on failure ``primary`` is empty and ``reason`` is set."""

    group: str
    term: int
    primary: str
    reason: str


@message(34)
@dataclass(frozen=True, slots=True)
class ProxyLeaving:
    """The proxy drains: it accepts no new sessions, and holds no leases once ``done``."""

    done: bool


@message(35)
@dataclass(frozen=True, slots=True)
class WritesPaused:
    """A home proxy has no write in flight for the group under ``term`` and starts none."""

    group: str
    term: int


@message(36)
@dataclass(frozen=True, slots=True)
class ProxyRefused:
    """Refuses a proxy's connection, with a result code, the reason and a retry delay."""

    code: int
    detail: str
    retry_after_ms: int


@message(37)
@dataclass(frozen=True, slots=True)
class ControlTarget:
    """Sent before an outdated snapshot; updates up to ``control_index`` follow the snapshot.

    A proxy that lost its disk may have applied a newer state than the snapshot before, so it must
    not apply any state older than ``control_index``.
    """

    control_index: int

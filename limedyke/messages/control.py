"""Messages between proxies and controllers.  Kinds 20-59.

A proxy dials a controller and sends ``ProxyHello``.  A controller without the
leader lease answers ``NotLeader``.  The leader answers ``ControlSnapshot`` or
``ControlUpdate`` messages that bring the proxy from its revision to the
present, then one ``QuorumStamp`` per heartbeat interval.  The proxy sends one
``ProxyHeartbeat`` per interval and ``MemberReport`` only on change.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.databases import AnnouncedMember, Database, SessionLimits
from limedyke.messages.declaration import Declaration, Group, ProxyIntent, Tenant, TokenKey
from limedyke.messages.registry import message


class MemberHealth(enum.StrEnum):
    """What an observer sees of a member."""

    REACHABLE = "reachable"
    SATURATED = "saturated"
    UNREACHABLE = "unreachable"


class ProxyState(enum.StrEnum):
    """Membership state of a proxy; ``SUSPECTED`` is silent and holds no home duty meanwhile."""

    SERVING = "serving"
    SUSPECTED = "suspected"
    DRAINING = "draining"
    GONE = "gone"


@message(20)
@dataclass(frozen=True, slots=True)
class GroupPrimary:
    """The primary of a group as the controllers recorded it.

    :param term: term of the group's log; grows with each promotion
    :param primary: member name, or empty while a promotion is under way
    :param switching_over: a planned switchover follows: hold new writes, let open ones finish,
        then send ``WritesPaused``
    :param fence: index of the log entry that granted the term; 0 when no promotion was begun.
        It rises over all terms, groups and leaders
    :param started_at_ms: of the incarnation that leads, where members tell it: a later one holds
        nothing of its log
    """

    group: str
    term: int
    primary: str
    switching_over: bool = False
    fence: int = 0
    started_at_ms: int = 0


@message(21)
@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A proxy known to the controllers; ``address`` takes forwarded requests (``ip:port``).

    :param folder_id: see ``ProxyHello``
    :param region: empty when not known: zones are then all equally far
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

    :param incarnation: grows at each start of the proxy
    :param control_index: index of the last control update it has synced; 0 for none
    :param folder_id: of the data folder, which one process at a time can lock: an earlier
        incarnation on the same folder has ended and holds nothing any more.  Without a folder
        it is made from the address at which the process listens, to the same effect
    """

    name: str
    incarnation: int
    address: str
    zone: str
    control_index: int
    revision: int
    folder_id: str = ""
    region: str = ""


@message(23)
@dataclass(frozen=True, slots=True)
class NotLeader:
    """The controller does not hold the leader lease; ``leader`` is ``ip:port`` or empty."""

    leader: str


@message(24)
@dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """The whole state a proxy needs, at ``control_index`` of the controllers' log.

    :param controllers: addresses of the controllers; empty when the log holds none
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

    Removals go first, then whole items replace those of one name.  With a removed group
    its primary goes too.  Equal indexes say that there is nothing new.
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

    An empty tenant is the proxy's share for probes.  The lease ends
    ``duration_ms`` after the proxy sent the heartbeat that it answers.
    """

    group: str
    tenant: str
    connections: int


MEMBER_SEPARATOR = "@"
"""In the tenant of a lease: the connections are to one member only. No tenant's name holds it."""


def member_budget(tenant: str, member: str) -> str:
    """Return what stands for a tenant in leases of connections to one member alone."""
    return f"{tenant}{MEMBER_SEPARATOR}{member}"


def member_of_budget(tenant: str) -> str:
    """Return the member whose connections a lease is for; empty when it is for each member."""
    return tenant.partition(MEMBER_SEPARATOR)[2]


@message(38)
@dataclass(frozen=True, slots=True)
class ConnectionDemand:
    """How many connections a home proxy has use for at a member.

    :param connections: the most lately in use and waited for at once, or, where a connection serves
        one tenant, as many as tenants had requests lately, if that is more
    :param under_way: connections in use at this moment
    :param waiting: requests that wait for one at this moment
    :param turned_away: connections that the member did not take, since the proxy started
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

    :param sequence: grows by one; echoed in ``QuorumStamp``
    :param control_index: last update synced and in force
    :param leases: sent only after (re)connecting, to let a new leader take them over
    :param demands: those that changed much, all after (re)connecting; None where none is told
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

    :param controller_term: term of the controllers' agreement
    :param stamp: advances only with the assent of a quorum of controllers
    :param lease_duration_ms: counted by the proxy from the send time of heartbeat ``sequence``
    :param primary_lease_ms: counted alike: for so long no promotion begins that the proxy was
        not told of, so the recorded primaries are the only ones; 0 promises nothing
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
    """Leases that changed for this proxy; the others stay. ``connections`` 0 takes one back."""

    leases: tuple[ConnectionLease, ...]


@message(30)
@dataclass(frozen=True, slots=True)
class LeaseReturned:
    """The proxy no longer holds more than these connections of its leases."""

    leases: tuple[ConnectionLease, ...]


@message(31)
@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a home proxy sees of a member; sent on change and after reconnecting.

    :param term: term the member exposed last; 0 unknown
    :param position: log position in bytes; 0 unknown
    :param is_primary: it leads, as far as the observer knows
    :param started_at_ms: of the incarnation that was seen; 0 where members do not tell it
    """

    group: str
    member: str
    health: MemberHealth
    term: int
    position: int
    is_primary: bool
    started_at_ms: int = 0


@message(32)
@dataclass(frozen=True, slots=True)
class PromoteOrder:
    """The leader asks a home proxy to promote a member of the group under ``term``.

    The executor first gets a majority of members to promise the term, then
    promotes the most advanced of those that promised.

    :param preferred: member to choose among the equally advanced; empty for any
    :param planned: the preferred member follows a primary that works: it is chosen whenever
        it holds all that was acknowledged, also when the old primary's log is longer
    :param timeout_ms: how long the order may take; 0 for the executor's usual time
    """

    group: str
    term: int
    preferred: str
    planned: bool = False
    timeout_ms: int = 0


@message(33)
@dataclass(frozen=True, slots=True)
class PromoteResult:
    """Answer to ``PromoteOrder``; ``primary`` is empty when it failed, for ``reason``."""

    group: str
    term: int
    primary: str
    reason: str


@message(34)
@dataclass(frozen=True, slots=True)
class ProxyLeaving:
    """The proxy drains: it takes no new session and holds no leases once ``done``."""

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
    """The proxy may not connect now: a numbered code, why, and when to try again."""

    code: int
    detail: str
    retry_after_ms: int


@message(37)
@dataclass(frozen=True, slots=True)
class ControlTarget:
    """Sent before a snapshot that is not the newest: updates up to ``control_index`` follow it.

    The proxy may have had a newer state in force than that snapshot, before it lost its disk, so
    it puts nothing in force that is older than this.
    """

    control_index: int

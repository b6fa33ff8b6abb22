"""Declared configuration as typed values: tenants, groups and timing.

These types are stored in the controllers' log and sent to proxies.  The YAML that operators write
is validated and converted in ``limedyke.declaration.file``.  Kinds 1-9.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.databases import NO_SESSION_LIMITS, Database, SessionLimits
from limedyke.messages.registry import message


class Priority(enum.IntEnum):
    """Priority of waiting requests for connections; lower values go first."""

    ALERT = 0
    INTERACTIVE = 1
    BATCH = 2


class PromotionMode(enum.StrEnum):
    """Who promotes a new primary after a failure.

    ``AUTHORITY``: the leading controller calls an external authority with a fencing number.
    """

    CONTROLLERS = "controllers"
    EXTERNAL = "external"
    AUTHORITY = "authority"


@message(1)
@dataclass(frozen=True, slots=True)
class User:
    """A login of a tenant.

    :param verifier: ``SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>``, base64 parts
    """

    name: str
    verifier: str


@message(2)
@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: its logins and its limits at the proxies.

    :param max_staleness_ms: maximum age of data that a read may see; with 0, a read must only see
        the session's own writes
    :param client_limit: client connections per proxy
    :param access_keys: digests of the keys that identify its clients where there are no logins;
        unique across tenants
    :param operations_per_minute: rate limit over all proxies; 0 for no limit
    :param operation_burst: burst size of the rate limit
    :param operation_urgent_percent: part of the burst reserved for operations of priority 0
    :param operation_wait_ms: how long an operation may wait for a token if no target latency is
        declared; 0 to refuse it at once
    """

    name: str
    users: tuple[User, ...]
    max_staleness_ms: int = 0
    client_limit: int = 10_000
    priority: Priority = Priority.INTERACTIVE
    access_keys: tuple[bytes, ...] = ()
    operations_per_minute: int = 0
    operation_burst: int = 0
    operation_urgent_percent: int = 0
    operation_wait_ms: int = 0


@message(3)
@dataclass(frozen=True, slots=True)
class Member:
    """A member of a group; ``address`` is ``ip:port``; ``leaving`` declares that it drains."""

    name: str
    address: str
    zone: str
    leaving: bool = False


@message(4)
@dataclass(frozen=True, slots=True)
class TenantAccess:
    """A tenant's access to a group.

    :param connection_budget: back-end connections per member, over all proxies
    :param weight: share of the slots when tenants compete
    :param backend_user: login at the members; its password is the secret of that name
    """

    tenant: str
    database: str
    backend_user: str
    secret: str
    connection_budget: int
    weight: int = 1


@message(9)
@dataclass(frozen=True, slots=True)
class MemberCap:
    """An operator's limit on the connections to one member, over all proxies."""

    member: str
    connections: int


@message(5)
@dataclass(frozen=True, slots=True)
class Group:
    """A database group: its members and limits.

    :param connection_limit: connections each member accepts from all proxies together
    :param slots: maximum number of concurrent statements at a member
    :param admin_secret: secret of the ``limedyke_admin`` login used for probes and promotion
    :param announced: members announce themselves instead of being declared
    :param synchronous_replicas: replicas that must hold a commit before it is acknowledged
    :param member_caps: operators' connection limits for announced members. A declaration that is
        applied by version contains none and leaves them unchanged
    """

    name: str
    members: tuple[Member, ...]
    connection_limit: int
    slots: int
    access: tuple[TenantAccess, ...]
    admin_secret: str
    promotion: PromotionMode = PromotionMode.CONTROLLERS
    announced: bool = False
    synchronous_replicas: int = 0
    member_caps: tuple[MemberCap, ...] = ()


@message(6)
@dataclass(frozen=True, slots=True)
class TokenKey:
    """A signing key for session tokens: the newest key signs, all listed keys verify.

    :param secret: name of the secret that holds the key bytes
    """

    key_id: int
    secret: str


@message(7)
@dataclass(frozen=True, slots=True)
class ProxyIntent:
    """The declared state of a proxy; ``draining`` asks it to leave service."""

    name: str
    draining: bool = False


@message(8)
@dataclass(frozen=True, slots=True)
class Declaration:
    """The complete declared configuration at one revision."""

    tenants: tuple[Tenant, ...] = ()
    groups: tuple[Group, ...] = ()
    token_keys: tuple[TokenKey, ...] = ()
    proxies: tuple[ProxyIntent, ...] = ()
    databases: tuple[Database, ...] = ()
    session_limits: SessionLimits = NO_SESSION_LIMITS

"""Messages between the operator's command-line tool and a controller.  Kinds 60-89.

Every request carries a ``request_id``. A request that is repeated with the same id, to any
controller, gets the first answer again.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.control import GroupPrimary, ProxyRecord
from limedyke.messages.declaration import Declaration
from limedyke.messages.registry import message


@message(60)
@dataclass(frozen=True, slots=True)
class PlanRequest:
    """Ask what would change if ``declaration`` were applied.

    :param base_revision: revision that the operator started from; -1 for the current one
    """

    request_id: str
    declaration: Declaration
    base_revision: int = -1


@message(61)
@dataclass(frozen=True, slots=True)
class PlannedChange:
    """One line of a plan; ``action`` is add, change or remove."""

    action: str
    item: str
    detail: str
    effect: str


@message(62)
@dataclass(frozen=True, slots=True)
class Plan:
    """The answer to a plan request; nothing takes effect until it is confirmed."""

    request_id: str
    plan_id: str
    base_revision: int
    changes: tuple[PlannedChange, ...]
    expires_in_s: int


@message(63)
@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Apply a recorded plan."""

    request_id: str
    plan_id: str


@message(64)
@dataclass(frozen=True, slots=True)
class Confirmed:
    """The plan is committed as ``revision``, at ``control_index`` of the controllers' log."""

    request_id: str
    plan_id: str
    revision: int
    control_index: int


@message(65)
@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal with a result code; for conflicts, ``revision`` is the confirmed one."""

    request_id: str
    code: int
    detail: str
    revision: int = 0
    retry_after_ms: int = 0
    leader: str = ""


@message(66)
@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask for the state of the system."""

    request_id: str


@message(67)
@dataclass(frozen=True, slots=True)
class ProxyStatus:
    """A proxy as seen by the leader; ``lag`` is the number of revisions it is behind."""

    proxy: ProxyRecord
    connected: bool
    revision: int
    lag: int
    clients: int
    silent_ms: int


@message(68)
@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """A controller as seen by the leader; ``role`` is leader, voter or learner."""

    name: str
    address: str
    role: str
    matched_index: int
    silent_ms: int


@message(69)
@dataclass(frozen=True, slots=True)
class Status:
    """The state of the system, read under the leader lease."""

    request_id: str
    revision: int
    control_index: int
    controller_term: int
    controllers: tuple[ControllerStatus, ...]
    proxies: tuple[ProxyStatus, ...]
    primaries: tuple[GroupPrimary, ...]


@message(70)
@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Ask for the newest ``limit`` entries of the history."""

    request_id: str
    limit: int = 50


@message(71)
@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One confirmed change; ``confirmed_at`` is Unix time in seconds by the leader's clock.

    :param plan_id: empty for an operation that creates no revision, such as a switchover
    """

    revision: int
    plan_id: str
    operator: str
    confirmed_at: int
    summary: str


@message(72)
@dataclass(frozen=True, slots=True)
class History:
    """The answer to ``HistoryRequest``."""

    request_id: str
    entries: tuple[HistoryEntry, ...]


@message(73)
@dataclass(frozen=True, slots=True)
class DeclarationRequest:
    """Ask for the declaration in force."""

    request_id: str


@message(74)
@dataclass(frozen=True, slots=True)
class DeclarationInForce:
    """The declaration in force at ``revision``."""

    request_id: str
    revision: int
    declaration: Declaration


@message(75)
@dataclass(frozen=True, slots=True)
class ControllerChangeRequest:
    """Change the set of controllers; ``action`` is add, promote, remove or replace."""

    request_id: str
    action: str
    name: str
    address: str
    confirmed: bool


@message(76)
@dataclass(frozen=True, slots=True)
class ControllerChanged:
    """The answer to ``ControllerChangeRequest``; ``state`` describes the progress."""

    request_id: str
    state: str


@message(77)
@dataclass(frozen=True, slots=True)
class SwitchoverRequest:
    """Ask for a planned change of primary; it takes effect only when ``confirmed``."""

    request_id: str
    group: str
    member: str
    confirmed: bool


@message(78)
@dataclass(frozen=True, slots=True)
class SwitchoverAnswer:
    """The answer to ``SwitchoverRequest``; ``state`` describes the plan or the outcome."""

    request_id: str
    state: str


@message(79)
@dataclass(frozen=True, slots=True)
class LoadRequest:
    """Ask for the load of the members of a group.

    :param group: empty for all groups
    """

    request_id: str
    group: str = ""


@message(80)
@dataclass(frozen=True, slots=True)
class ProxyUse:
    """One proxy's use of a member; the last three fields are as last reported by the proxy.

    :param leased: connections to the member granted to the proxy
    :param held: maximum that it may hold; exceeds ``leased`` until it returns revoked connections
    :param wanted: its demand for connections; -1 if it does not report demand
    :param under_way: connections in use
    :param waiting: requests that wait for a connection
    """

    proxy: str
    leased: int
    held: int
    wanted: int = -1
    under_way: int = 0
    waiting: int = 0


@message(81)
@dataclass(frozen=True, slots=True)
class MemberLoad:
    """The load of one member, as known to the leader.

    :param state: ready or draining as announced by the member, or declared
    :param limit: connections that it accepts from all proxies together
    :param held: maximum number of connections that may be open
    :param division: explains how its connections are divided
    :param turned_away: connections that it refused, over all proxies since each started
    """

    group: str
    member: str
    is_primary: bool
    state: str
    limit: int
    held: int
    division: str
    proxies: tuple[ProxyUse, ...]
    turned_away: int = 0


@message(82)
@dataclass(frozen=True, slots=True)
class LoadReport:
    """The answer to ``LoadRequest``, read under the leader lease."""

    request_id: str
    members: tuple[MemberLoad, ...]

"""Events that the leader's decisions consume, and commands that they produce."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.control import (
    ConnectionLease,
    ControlUpdate,
    MemberReport,
    PositionReport,
    PrimaryClaim,
    ProxyHeartbeat,
    ProxyHello,
)
from limedyke.messages.control_entries import ControlEntry
from limedyke.messages.limits import OperationsRequest


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy sent its hello on a new link, which replaces an earlier link of the same name."""

    hello: ProxyHello


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """The link to a proxy closed."""

    proxy: str


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat arrived; ``first`` marks the first one on a link."""

    proxy: str
    heartbeat: ProxyHeartbeat
    first: bool


@dataclass(frozen=True, slots=True)
class LeasesReturned:
    """A proxy returned leased connections."""

    proxy: str
    leases: tuple[ConnectionLease, ...]


@dataclass(frozen=True, slots=True)
class MemberReported:
    """A proxy reported what it sees of a member."""

    proxy: str
    report: MemberReport


@dataclass(frozen=True, slots=True)
class OperationsRequested:
    """A proxy requested operations for rate-limited tenants."""

    proxy: str
    request: OperationsRequest


@dataclass(frozen=True, slots=True)
class PromotionAnswered:
    """A proxy answered a promotion order; ``primary`` is empty when it failed."""

    proxy: str
    group: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class WritesPausedReported:
    """A home proxy has no write of the group in flight."""

    proxy: str
    group: str
    term: int


@dataclass(frozen=True, slots=True)
class PositionReported:
    """A home proxy stated the log position of a member."""

    proxy: str
    report: PositionReport


@dataclass(frozen=True, slots=True)
class PrimaryClaimed:
    """A member told a home proxy that it leads."""

    proxy: str
    claim: PrimaryClaim


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """A proxy drains; ``done`` once it holds no leases."""

    proxy: str
    done: bool


@dataclass(frozen=True, slots=True)
class UpdateApplied:
    """An applied entry changed something for the proxies.

    :param changed_homes: the groups whose home proxies changed, if the caller maintains the
        directory of home proxies; None if the leader's decisions maintain it
    """

    update: ControlUpdate
    changed_homes: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class PlatformListed:
    """The platform lists these proxies as leaving; a hint that may be out of date."""

    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Timer tick, sent several times a second."""


class AuthorityOutcome(enum.StrEnum):
    """The outcome of a call to the promotion authority."""

    PROMOTED = "promoted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AuthorityAnswered:
    """A call to the promotion authority was answered or timed out."""

    group: str
    fence: int
    outcome: AuthorityOutcome


LeaderEvent = (
    ProxyConnected
    | ProxyDisconnected
    | HeartbeatReceived
    | LeasesReturned
    | MemberReported
    | OperationsRequested
    | PromotionAnswered
    | WritesPausedReported
    | PositionReported
    | PrimaryClaimed
    | ProxyLeft
    | UpdateApplied
    | PlatformListed
    | TimePassed
    | AuthorityAnswered
)


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a log entry."""

    entry: ControlEntry


@dataclass(frozen=True, slots=True)
class SendToProxy:
    """Send a message to a connected proxy; it is lost if the link breaks."""

    proxy: str
    message: object


@dataclass(frozen=True, slots=True)
class AnswerHeartbeat:
    """Answer a heartbeat with the quorum stamp, if the leader lease still holds."""

    proxy: str
    sequence: int


@dataclass(frozen=True, slots=True)
class DisconnectProxy:
    """Close a proxy's link, so that the proxy reconnects and reports its state."""

    proxy: str
    reason: str


@dataclass(frozen=True, slots=True)
class RequestPromotion:
    """Ask the promotion authority to make a member the primary of its group.

    :param fence: fencing number; the authority must reject later calls with a lower one
    """

    group: str
    member: str
    fence: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write the reason for a decision to the event log."""

    group: str
    text: str


LeaderCommand = (
    Propose | SendToProxy | AnswerHeartbeat | DisconnectProxy | RequestPromotion | LogDecision
)

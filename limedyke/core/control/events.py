"""Events and commands of the leader's decisions."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedyke.messages.control import (
    ConnectionLease,
    ControlUpdate,
    MemberReport,
    ProxyHeartbeat,
    ProxyHello,
)
from limedyke.messages.control_entries import ControlEntry
from limedyke.messages.limits import OperationsRequest


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy said hello on a new link; an older link of the same name counts no more."""

    hello: ProxyHello


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """The link of a proxy ended."""

    proxy: str


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat arrived; ``first`` is True for the first one of a link."""

    proxy: str
    heartbeat: ProxyHeartbeat
    first: bool


@dataclass(frozen=True, slots=True)
class LeasesReturned:
    """A proxy gave back connections."""

    proxy: str
    leases: tuple[ConnectionLease, ...]


@dataclass(frozen=True, slots=True)
class MemberReported:
    """A proxy reported what it sees of a member."""

    proxy: str
    report: MemberReport


@dataclass(frozen=True, slots=True)
class OperationsRequested:
    """A proxy asks for operations of tenants with a limit."""

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
class ProxyLeft:
    """A proxy drains; ``done`` when it holds nothing any more."""

    proxy: str
    done: bool


@dataclass(frozen=True, slots=True)
class UpdateApplied:
    """An entry that changed something for the proxies was applied.

    :param changed_homes: the groups whose home proxies changed, when the caller keeps the
        directory of home proxies; None leaves that to the leader's decisions
    """

    update: ControlUpdate
    changed_homes: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class PlatformListed:
    """The platform's list names these proxies as leaving; a hint that may be old."""

    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """To be sent several times a second."""


class AuthorityOutcome(enum.StrEnum):
    """What is known of a call to the promotion authority."""

    PROMOTED = "promoted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AuthorityAnswered:
    """The promotion authority answered a call, or did not in time."""

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
    | ProxyLeft
    | UpdateApplied
    | PlatformListed
    | TimePassed
    | AuthorityAnswered
)


@dataclass(frozen=True, slots=True)
class Propose:
    """Put an entry into the log."""

    entry: ControlEntry


@dataclass(frozen=True, slots=True)
class SendToProxy:
    """Send a message to a connected proxy; it may be lost with the link."""

    proxy: str
    message: object


@dataclass(frozen=True, slots=True)
class AnswerHeartbeat:
    """Answer a heartbeat with the quorum stamp, if the leader lease still holds."""

    proxy: str
    sequence: int


@dataclass(frozen=True, slots=True)
class DisconnectProxy:
    """Close a proxy's link, so that it reports anew."""

    proxy: str
    reason: str


@dataclass(frozen=True, slots=True)
class RequestPromotion:
    """Have the promotion authority make a member the primary of its group.

    :param fence: no call under a lower number may be carried out afterwards
    """

    group: str
    member: str
    fence: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write to the event log why something is done."""

    group: str
    text: str


LeaderCommand = (
    Propose | SendToProxy | AnswerHeartbeat | DisconnectProxy | RequestPromotion | LogDecision
)

"""What goes into and comes out of the sans-IO client side: events and commands."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke.messages.work import AbandonWork, AnswerChunk, AnswerEnd, WorkUnit
from limedyke.postgres.client_framing import ClientMessage
from limedyke.result_codes import Failure


@dataclass(frozen=True, slots=True)
class Moment:
    """The time of an event: monotonic seconds, and Unix time in whole seconds."""

    now: float
    unix_s: int


@dataclass(frozen=True, slots=True)
class ClientMessages:
    """Whole messages that the client sent."""

    messages: list[ClientMessage]
    moment: Moment


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """Part of the answer to the unit under way."""

    chunk: AnswerChunk


@dataclass(frozen=True, slots=True)
class UnitEnded:
    """The unit under way has ended."""

    end: AnswerEnd
    moment: Moment


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passes."""

    moment: Moment


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The session is to end as soon as nothing of it is under way, for this reason.

    To be repeated until it ends.
    """

    failure: Failure
    moment: Moment


@dataclass(frozen=True, slots=True)
class SendToClient:
    """Send bytes to the client."""

    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class RunUnit:
    """Run a unit; its answer comes back as ``AnswerReceived`` and ``UnitEnded``."""

    unit: WorkUnit


@dataclass(frozen=True, slots=True)
class AbandonUnit:
    """Roll a transaction back or stop a unit; nothing comes back."""

    work: AbandonWork


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Close the client's connection once what was sent before has gone out."""

    reason: str


@dataclass(frozen=True, slots=True)
class StartTls:
    """Begin TLS on the connection now."""


@dataclass(frozen=True, slots=True)
class CancelRunningUnit:
    """Cancel what the connection with this key data is running."""

    process_id: int
    secret: int


@dataclass(frozen=True, slots=True)
class LoginSucceeded:
    """The client proved who it is.

    :param settings: session settings by lower-case name, from the startup packet
    """

    tenant: str
    group: str
    user: str
    settings: dict[str, str]


Event = ClientMessages | AnswerReceived | UnitEnded | Tick | LeaveRequested
SessionCommand = SendToClient | RunUnit | AbandonUnit | CloseClient
LoginCommand = SendToClient | StartTls | CancelRunningUnit | LoginSucceeded | CloseClient

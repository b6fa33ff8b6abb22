"""Events that go into the sans-IO client side, and commands that come out of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke.messages.work import AbandonWork, AnswerChunk, AnswerEnd, WorkUnit
from limedyke.postgres.client_framing import ClientMessage
from limedyke.result_codes import Failure


@dataclass(frozen=True, slots=True)
class Moment:
    """The time of an event: monotonic time in seconds, and Unix time in whole seconds."""

    now: float
    unix_s: int


@dataclass(frozen=True, slots=True)
class ClientMessages:
    """Complete messages that the client sent."""

    messages: list[ClientMessage]
    moment: Moment


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """Part of the answer to the running unit."""

    chunk: AnswerChunk


@dataclass(frozen=True, slots=True)
class UnitEnded:
    """The running unit has ended."""

    end: AnswerEnd
    moment: Moment


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event for time limits."""

    moment: Moment


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Ask the session to end as soon as it is idle; ``failure`` is the reason for the client.

    The event must be repeated until the session ends.
    """

    failure: Failure
    moment: Moment


@dataclass(frozen=True, slots=True)
class SendToClient:
    """Send bytes to the client."""

    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class RunUnit:
    """Run a unit; the answer comes back as ``AnswerReceived`` and ``UnitEnded`` events."""

    unit: WorkUnit


@dataclass(frozen=True, slots=True)
class AbandonUnit:
    """Roll back a transaction or stop a unit; no event comes back."""

    work: AbandonWork


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Close the client's connection after all pending data has been sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class StartTls:
    """Start the TLS handshake on the connection."""


@dataclass(frozen=True, slots=True)
class CancelRunningUnit:
    """Cancel the unit that the connection with this cancel key is running."""

    process_id: int
    secret: int


@dataclass(frozen=True, slots=True)
class LoginSucceeded:
    """The client is authenticated.

    :param settings: session settings by lower-case name, from the startup packet
    """

    tenant: str
    group: str
    user: str
    settings: dict[str, str]


Event = ClientMessages | AnswerReceived | UnitEnded | Tick | LeaveRequested
SessionCommand = SendToClient | RunUnit | AbandonUnit | CloseClient
LoginCommand = SendToClient | StartTls | CancelRunningUnit | LoginSucceeded | CloseClient

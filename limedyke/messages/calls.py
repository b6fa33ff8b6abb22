"""API calls that any controller accepts and the leader executes.  Kinds 220-229."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.agreement import ControllerIdentity, PeerAddress
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Declaration
from limedyke.messages.registry import message


@message(220)
@dataclass(frozen=True, slots=True)
class DeclareCall:
    """Apply a complete declaration under a version number.

    :param document: the declaration as the operator sent it
    """

    version: int
    document: bytes
    declaration: Declaration


@message(221)
@dataclass(frozen=True, slots=True)
class ReadDeclarationCall:
    """Read the newest declaration, byte for byte as it was sent."""


@message(222)
@dataclass(frozen=True, slots=True)
class AnnounceCall:
    """A member's announcement of its address, state and role.

    :param sequence: increases with each announcement of one incarnation of the member
    """

    member: AnnouncedMember
    sequence: int


@message(223)
@dataclass(frozen=True, slots=True)
class WithdrawCall:
    """A member's withdrawal, as it shuts down.

    :param started_at_ms: start time of the withdrawing incarnation; 0 if not reported
    """

    identity: str
    started_at_ms: int = 0


@message(227)
@dataclass(frozen=True, slots=True)
class AwaitMembershipCall:
    """A controller that no leader contacts asks for the leader; any controller answers.

    :param identity: identity of the controller, with the incarnation of its data folder
    :param address: where the other controllers reach it (``ip:port``)
    :param finds_itself_member: whether it is a voter or learner by its own log
    """

    identity: ControllerIdentity
    address: str
    finds_itself_member: bool = False


Call = DeclareCall | ReadDeclarationCall | AnnounceCall | WithdrawCall | AwaitMembershipCall


@message(224)
@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a call.

    :param code: number of a result code; 0 on success
    :param version: version of the declaration in force, for calls on declarations
    :param document: the declaration, for ``ReadDeclarationCall``
    :param leader: internal address of the leader, as far as the responder knows (``ip:port``)
    :param members: the members of the cluster, for ``AwaitMembershipCall``
    :param retry_after_ms: delay before the next call, for ``AwaitMembershipCall`` and refusals; 0
        if unknown
    """

    code: int = 0
    detail: str = ""
    version: int = 0
    document: bytes = b""
    leader: str = ""
    members: tuple[PeerAddress, ...] = ()
    retry_after_ms: int = 0


@message(225)
@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A call forwarded to the leader; ``number`` is unique on the link."""

    number: int
    call: DeclareCall | ReadDeclarationCall | AnnounceCall | WithdrawCall | AwaitMembershipCall


@message(226)
@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """The leader's answer to a forwarded call."""

    number: int
    answer: CallAnswer

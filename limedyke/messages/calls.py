"""Calls from outside that any controller takes and the leader carries out.  Kinds 220-229."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.agreement import ControllerIdentity, PeerAddress
from limedyke.messages.databases import AnnouncedMember
from limedyke.messages.declaration import Declaration
from limedyke.messages.registry import message


@message(220)
@dataclass(frozen=True, slots=True)
class DeclareCall:
    """Bring a whole declaration into force under a version.

    :param document: the declaration as the operator sent it
    """

    version: int
    document: bytes
    declaration: Declaration


@message(221)
@dataclass(frozen=True, slots=True)
class ReadDeclarationCall:
    """Read the newest declaration as it was sent."""


@message(222)
@dataclass(frozen=True, slots=True)
class AnnounceCall:
    """A member tells what it is.

    :param sequence: rises with each announcement of one incarnation of the member
    """

    member: AnnouncedMember
    sequence: int


@message(223)
@dataclass(frozen=True, slots=True)
class WithdrawCall:
    """A member tells that it ends.

    :param started_at_ms: of the incarnation that ends; 0 when it does not tell
    """

    identity: str
    started_at_ms: int = 0


@message(227)
@dataclass(frozen=True, slots=True)
class AwaitMembershipCall:
    """A controller that is no member waits to be added; any controller answers it.

    :param identity: of the controller, with the incarnation of its data folder
    :param address: where the other controllers reach it (``ip:port``)
    """

    identity: ControllerIdentity
    address: str


Call = DeclareCall | ReadDeclarationCall | AnnounceCall | WithdrawCall | AwaitMembershipCall


@message(224)
@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a call.

    :param code: number of a result code, 0 when the call was carried out
    :param version: of the declaration in force, for calls on it
    :param document: for ``ReadDeclarationCall``
    :param leader: internal address of the leader, as the answering controller knows it
        (``ip:port``)
    :param members: for ``AwaitMembershipCall``: the members of the cluster
    :param retry_after_ms: for ``AwaitMembershipCall``: when to call again
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
    """A call on its way to the leader; ``number`` is unique on its link."""

    number: int
    call: DeclareCall | ReadDeclarationCall | AnnounceCall | WithdrawCall | AwaitMembershipCall


@message(226)
@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """The leader's answer to a forwarded call."""

    number: int
    answer: CallAnswer

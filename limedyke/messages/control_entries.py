"""Entries of the controllers' replicated log that change the control state.  Kinds 150-189.

Each entry is applied on every controller with the same outcome: whatever
depends on a clock or on the leader's knowledge is written into the entry.
Times are Unix seconds by the leader's clock.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from result import Err, Ok, Result

from limedyke.messages.codec import decode, encode
from limedyke.messages.control import GroupPrimary, ProxyRecord
from limedyke.messages.databases import AnnouncedMember, Database, SessionLimits
from limedyke.messages.declaration import Declaration, Group, ProxyIntent, Tenant, TokenKey
from limedyke.messages.operator import HistoryEntry, PlannedChange
from limedyke.messages.registry import message
from limedyke.result_codes import Failure, ResultCode

COMPRESS_ABOVE_BYTES = 1_024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"
_MAXIMUM_ENTRY_BYTES = 64 * 1024 * 1024


@message(150)
@dataclass(frozen=True, slots=True)
class DeclarationChange:
    """The difference between two declarations; whole items replace those of one name."""

    tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()
    groups: tuple[Group, ...] = ()
    removed_groups: tuple[str, ...] = ()
    token_keys: tuple[TokenKey, ...] | None = None
    proxies: tuple[ProxyIntent, ...] | None = None
    databases: tuple[Database, ...] = ()
    removed_databases: tuple[str, ...] = ()
    session_limits: SessionLimits | None = None


@message(151)
@dataclass(frozen=True, slots=True)
class RecordPlan:
    """Keep a plan until it is confirmed or expires.

    :param changes: the lines shown to the operator
    """

    request_id: str
    operator: str
    plan_id: str
    base_revision: int
    change: DeclarationChange
    changes: tuple[PlannedChange, ...]
    recorded_at: int
    expires_at: int


@message(152)
@dataclass(frozen=True, slots=True)
class ConfirmPlan:
    """Bring a plan into force when its base revision is still the one in force."""

    request_id: str
    operator: str
    plan_id: str
    confirmed_at: int


@message(153)
@dataclass(frozen=True, slots=True)
class TermGrant:
    """A higher term for one group, valid only while ``expected_term`` is the recorded one."""

    group: str
    expected_term: int
    term: int


@message(154)
@dataclass(frozen=True, slots=True)
class GrantTerms:
    """Raise the terms of groups whose primary is to be replaced; they have none meanwhile."""

    grants: tuple[TermGrant, ...]


@message(155)
@dataclass(frozen=True, slots=True)
class PrimaryChange:
    """A new primary for one group, valid only while ``expected_term`` is the recorded one.

    :param started_at_ms: see ``GroupPrimary``
    """

    group: str
    expected_term: int
    term: int
    primary: str
    started_at_ms: int = 0


@message(156)
@dataclass(frozen=True, slots=True)
class RecordPrimaries:
    """Record the primaries that promotions, or the groups themselves, made."""

    changes: tuple[PrimaryChange, ...]


@message(157)
@dataclass(frozen=True, slots=True)
class BeginSwitchover:
    """Announce a planned change of primary, so that writes pause before the term rises.

    :param request_id: the operator's request; empty when the leader acts on a declaration
    :param target: member that is to become the primary
    :param confirmed_at: 0 when the leader acts on a declaration
    """

    request_id: str
    operator: str
    group: str
    expected_term: int
    target: str
    confirmed_at: int = 0


@message(158)
@dataclass(frozen=True, slots=True)
class RecordProxies:
    """Add or change proxies; a lower incarnation than the recorded one changes nothing."""

    proxies: tuple[ProxyRecord, ...]


@message(159)
@dataclass(frozen=True, slots=True)
class ProxyIncarnation:
    """One life of a proxy."""

    name: str
    incarnation: int


@message(160)
@dataclass(frozen=True, slots=True)
class RemoveProxies:
    """Forget proxies whose leases have run out; a newer incarnation stays."""

    proxies: tuple[ProxyIncarnation, ...]


@message(161)
@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Settings that proxies and controllers must read alike."""

    home_proxies_per_group: int


@message(162)
@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """Keep the first answer to an operator's request, an encoded message.

    :param operation: what was done, for the history; empty for nothing
    """

    request_id: str
    operator: str
    answer: bytes
    operation: str = ""
    confirmed_at: int = 0


@message(163)
@dataclass(frozen=True, slots=True)
class ControllerAddress:
    """Where a controller is reached by the other controllers and by proxies."""

    name: str
    address: str


@message(164)
@dataclass(frozen=True, slots=True)
class RecordControllers:
    """Record or change the addresses of controllers, and forget those that have left."""

    controllers: tuple[ControllerAddress, ...]
    removed: tuple[str, ...] = ()


@message(165)
@dataclass(frozen=True, slots=True)
class DeclareVersion:
    """Bring a whole declaration into force, if its version is above the one in force.

    :param document: the declaration as the operator sent it, kept byte for byte
    """

    version: int
    document: bytes
    declaration: Declaration


@message(169)
@dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation of a member that has said that it ends; it and earlier ones are over."""

    identity: str
    started_at_ms: int


@message(166)
@dataclass(frozen=True, slots=True)
class RecordMembers:
    """Record what members announced, and forget members that are gone.

    :param ended: incarnations of which nothing is to be believed any more
    """

    members: tuple[AnnouncedMember, ...]
    removed: tuple[str, ...] = ()
    ended: tuple[EndedIncarnation, ...] = ()


ControlEntry = (
    RecordPlan
    | ConfirmPlan
    | GrantTerms
    | RecordPrimaries
    | BeginSwitchover
    | RecordProxies
    | RemoveProxies
    | RecordLimits
    | RecordAnswer
    | RecordControllers
    | DeclareVersion
    | RecordMembers
)


@message(167)
@dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """What applying ``DeclareVersion`` gave: the version now in force."""

    version: int


@message(168)
@dataclass(frozen=True, slots=True)
class MembersRecorded:
    """The members of an entry are recorded."""


@message(170)
@dataclass(frozen=True, slots=True)
class PlanRecord:
    """A plan that waits for its confirmation."""

    plan_id: str
    operator: str
    base_revision: int
    change: DeclarationChange
    changes: tuple[PlannedChange, ...]
    recorded_at: int
    expires_at: int


@message(171)
@dataclass(frozen=True, slots=True)
class PlanOutcome:
    """How a confirmed or superseded plan ended: at a revision, or by a conflict with one."""

    plan_id: str
    revision: int
    control_index: int
    conflict: bool


@message(172)
@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The first answer to a request; for a plan request only the plan's id is kept."""

    operator: str
    request_id: str
    plan_id: str
    answer: bytes


@message(173)
@dataclass(frozen=True, slots=True)
class SwitchoverTarget:
    """The member that an announced switchover is to make the primary."""

    group: str
    member: str


@message(175)
@dataclass(frozen=True, slots=True)
class DisplacedMember:
    """A member whose address has passed to another one.

    :param started_at_ms: of the incarnation that had it; 0 when it was not told
    """

    identity: str
    address: str
    started_at_ms: int = 0


@message(174)
@dataclass(frozen=True, slots=True)
class ControlStateSnapshot:
    """The whole control state at one index of the log."""

    applied_index: int
    control_index: int
    revision: int
    time: int
    declaration: Declaration
    primaries: tuple[GroupPrimary, ...]
    proxies: tuple[ProxyRecord, ...]
    home_proxies_per_group: int
    switchover_targets: tuple[SwitchoverTarget, ...]
    plans: tuple[PlanRecord, ...]
    outcomes: tuple[PlanOutcome, ...]
    answers: tuple[RecordedAnswer, ...]
    history: tuple[HistoryEntry, ...]
    controllers: tuple[ControllerAddress, ...] = ()
    version: int = 0
    document: bytes = b""
    announced: tuple[AnnouncedMember, ...] = ()
    displaced: tuple[DisplacedMember, ...] = ()
    ended: tuple[EndedIncarnation, ...] = ()


def pack_entry(entry: object) -> bytes:
    """Return the stored form of an entry or snapshot, compressed when it is large."""
    data = encode(entry)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, level=1)


def recorded_addresses(data: bytes) -> tuple[ControllerAddress, ...]:
    """Return the addresses of controllers that an entry records, nothing for other entries.

    Large entries, which are compressed, are none of these and are not unpacked.
    """
    if data[:1] != _PLAIN:
        return ()
    unpacked = unpack_entry(data)
    entry = unpacked.ok_value if isinstance(unpacked, Ok) else None
    return entry.controllers if isinstance(entry, RecordControllers) else ()


def unpack_entry(data: bytes) -> Result[object, Failure]:
    """Return the entry or snapshot from its stored form."""
    body = data[1:]
    if data[:1] == _COMPRESSED:
        try:
            body = zlib.decompressobj().decompress(body, _MAXIMUM_ENTRY_BYTES)
        except zlib.error as error:
            return Err(Failure(ResultCode.LOG_CORRUPT, f"log entry: {error}"))
    decoded = decode(body)
    return (
        decoded
        if isinstance(decoded, Ok)
        else Err(Failure(ResultCode.LOG_CORRUPT, f"log entry: {decoded.err_value.detail}"))
    )

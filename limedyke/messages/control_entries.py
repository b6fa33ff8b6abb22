"""Entries of the controllers' replicated log that change the control state.  Kinds 150-189.

Applying an entry has the same outcome on every controller: any value that depends on a clock or on
the leader's memory is part of the entry.  Times are Unix seconds by the leader's clock.
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
from limedyke.messages.work import FIRST_POSITION, LogPosition
from limedyke.result_codes import Failure, ResultCode

COMPRESS_ABOVE_BYTES = 1_024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"
_MAXIMUM_ENTRY_BYTES = 64 * 1024 * 1024


@message(150)
@dataclass(frozen=True, slots=True)
class DeclarationChange:
    """The difference between two declarations; each item replaces the one of the same name."""

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
    """Record a plan until it is confirmed or expires.

    :param changes: the descriptions shown to the operator
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
    """Apply a plan if its base revision is still the one in force."""

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
    """Raise the terms of groups to replace their primaries; they have none meanwhile."""

    grants: tuple[TermGrant, ...]


@message(155)
@dataclass(frozen=True, slots=True)
class PrimaryChange:
    """A new primary for one group, valid only while ``expected_term`` is the recorded one.

    :param started_at_ms: see ``GroupPrimary``
    :param position: log position with which it was promoted; the first one if that is not known
    """

    group: str
    expected_term: int
    term: int
    primary: str
    started_at_ms: int = 0
    position: LogPosition = FIRST_POSITION


@message(156)
@dataclass(frozen=True, slots=True)
class RecordPrimaries:
    """Record the primaries that were promoted by the controllers or exposed by the groups."""

    changes: tuple[PrimaryChange, ...]


@message(157)
@dataclass(frozen=True, slots=True)
class BeginSwitchover:
    """Announce a planned change of primary, so that writes pause before the term rises.

    :param request_id: the operator's request; empty if the leader acts on a declaration
    :param target: the member to become the primary
    :param confirmed_at: 0 if the leader acts on a declaration
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
    """Add or update proxies; an incarnation lower than the recorded one is ignored."""

    proxies: tuple[ProxyRecord, ...]


@message(159)
@dataclass(frozen=True, slots=True)
class ProxyIncarnation:
    """An incarnation of a proxy."""

    name: str
    incarnation: int


@message(160)
@dataclass(frozen=True, slots=True)
class RemoveProxies:
    """Remove proxies whose leases have expired; newer incarnations are kept."""

    proxies: tuple[ProxyIncarnation, ...]


@message(161)
@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Settings that must be the same on all proxies and controllers."""

    home_proxies_per_group: int


@message(162)
@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """Record the first answer to an operator's request.

    :param answer: the encoded message
    :param operation: description of the operation for the history; empty for none
    """

    request_id: str
    operator: str
    answer: bytes
    operation: str = ""
    confirmed_at: int = 0


@message(163)
@dataclass(frozen=True, slots=True)
class ControllerAddress:
    """The address at which other controllers and proxies reach a controller."""

    name: str
    address: str


@message(164)
@dataclass(frozen=True, slots=True)
class RecordControllers:
    """Record the addresses of controllers, and remove those that have left."""

    controllers: tuple[ControllerAddress, ...]
    removed: tuple[str, ...] = ()


@message(165)
@dataclass(frozen=True, slots=True)
class DeclareVersion:
    """Apply a complete declaration, if its version is higher than the one in force.

    :param document: the declaration as the operator sent it, kept byte for byte
    """

    version: int
    document: bytes
    declaration: Declaration


@message(169)
@dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation of a member that has withdrawn; earlier ones have ended too."""

    identity: str
    started_at_ms: int


@message(166)
@dataclass(frozen=True, slots=True)
class RecordMembers:
    """Record announced members, and remove others.

    :param ended: incarnations whose later announcements must be ignored
    """

    members: tuple[AnnouncedMember, ...]
    removed: tuple[str, ...] = ()
    ended: tuple[EndedIncarnation, ...] = ()


@message(176)
@dataclass(frozen=True, slots=True)
class ProveDepartures:
    """Forget a group's departures: the remaining members hold all that the departed ones held.

    :param up_to_index: index of the last departure that the proof covers
    """

    group: str
    up_to_index: int


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
    | ProveDepartures
)


@message(167)
@dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """The result of ``DeclareVersion``: the version now in force."""

    version: int


@message(168)
@dataclass(frozen=True, slots=True)
class MembersRecorded:
    """The result of ``RecordMembers``."""


@message(170)
@dataclass(frozen=True, slots=True)
class PlanRecord:
    """A plan that awaits its confirmation."""

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
    """The outcome of a plan: the revision that it created, or the one it conflicts with."""

    plan_id: str
    revision: int
    control_index: int
    conflict: bool


@message(172)
@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The first answer to a request; for a plan request, only the plan's id."""

    operator: str
    request_id: str
    plan_id: str
    answer: bytes


@message(173)
@dataclass(frozen=True, slots=True)
class SwitchoverTarget:
    """The member that a planned switchover is to make the primary."""

    group: str
    member: str


@message(175)
@dataclass(frozen=True, slots=True)
class DisplacedMember:
    """A member whose address now belongs to another member.

    :param started_at_ms: start time of the incarnation that had the address; 0 if not reported
    """

    identity: str
    address: str
    started_at_ms: int = 0


@message(174)
@dataclass(frozen=True, slots=True)
class ControlStateSnapshot:
    """The complete control state at one index of the log."""

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
    """Encode an entry or snapshot for storage, compressed if it is large."""
    data = encode(entry)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, level=1)


def recorded_addresses(data: bytes) -> tuple[ControllerAddress, ...]:
    """Return the controller addresses that an entry records; empty for other entries.

    Entries that record addresses are too small to be compressed, so compressed entries are skipped.
    """
    if data[:1] != _PLAIN:
        return ()
    unpacked = unpack_entry(data)
    entry = unpacked.ok_value if isinstance(unpacked, Ok) else None
    return entry.controllers if isinstance(entry, RecordControllers) else ()


def unpack_entry(data: bytes) -> Result[object, Failure]:
    """Decode an entry or snapshot from its stored form."""
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

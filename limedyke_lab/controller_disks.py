"""Tells from the controllers' disks which losses a confirmed declaration survives."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations

from limedyke.core.agreement.records import StoredState, decode_configuration
from limedyke.core.agreement.state import majority_of
from limedyke.core.control.state import ControlState
from limedyke.messages.agreement import ControllerIdentity, EntryKind, MemberConfiguration
from limedyke.messages.control_entries import DeclareVersion, unpack_entry


@dataclass(frozen=True, slots=True)
class ControllerDisk:
    """What the disk of one controller holds.

    :param configuration: the newest configuration of the members in its log, committed or not
    :param version: the highest version of a declaration in its log, committed or not
    """

    identity: ControllerIdentity
    last_term: int
    last_index: int
    configuration: MemberConfiguration
    version: int

    @property
    def voter_sets(self) -> tuple[tuple[ControllerIdentity, ...], ...]:
        """The voter sets that must each elect it, as a restart forgets what is committed.

        Empty if it is no voter.
        """
        configuration = self.configuration
        if self.identity not in configuration.voters:
            return ()
        return tuple(filter(None, (configuration.voters, configuration.previous_voters)))


def newest_disk(disks: Collection[ControllerDisk | None]) -> ControllerDisk:
    """Return the disk with the longest log."""
    return max(filter(None, disks), key=lambda disk: (disk.last_term, disk.last_index))


def summarize_disk(identity: ControllerIdentity, stored: StoredState) -> ControllerDisk:
    """Return what a disk holds from the state that a controller finds on it."""
    configuration = stored.snapshot.configuration
    version = ControlState.from_bytes(stored.snapshot.data).version
    last_index, last_term = stored.snapshot.index, stored.snapshot.term
    for entry in stored.entries:
        last_index, last_term = entry.index, entry.term
        if entry.kind == EntryKind.CONFIGURATION:
            configuration = decode_configuration(entry.payload)
        elif entry.kind == EntryKind.PROPOSAL:
            unpacked = unpack_entry(entry.payload).unwrap()
            if isinstance(unpacked, DeclareVersion):
                version = max(version, unpacked.version)
    return ControllerDisk(identity, last_term, last_index, configuration, version)


def fatal_losses(
    disks: Mapping[str, ControllerDisk | None],
    losses: int,
    version: int,
    counted: Collection[str] = (),
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield the sets of lost disks that a confirmed version does not survive, and why.

    :param disks: the disks by machine, as all processes have ended
    :param losses: number of disks lost at once
    :param version: the highest version that was confirmed
    :param counted: machines that count as lost already; their disks are among the lost ones
    """
    others = sorted(ip for ip in disks if ip not in counted)
    for further in combinations(others, max(0, losses - len(counted))):
        lost = (*counted, *further)
        left = [disk for ip, disk in disks.items() if ip not in lost and disk is not None]
        reason = _why_lost(left, version)
        if reason:
            yield lost, reason


def _why_lost(left: Collection[ControllerDisk], version: int) -> str:
    electable = [disk for disk in left if _may_be_elected(disk, left)]
    if not electable:
        return f"none of {len(left)} controllers can be elected"
    oldest = min(disk.version for disk in electable)
    if oldest < version:
        return f"a controller that holds version {oldest} can be elected"
    return ""


def _may_be_elected(candidate: ControllerDisk, left: Collection[ControllerDisk]) -> bool:
    """Tell whether majorities of the candidate's voter sets are left and would vote for it."""
    granting = {disk.identity for disk in left if _would_vote(disk, candidate)}
    sets = candidate.voter_sets
    return bool(sets) and all(
        sum(voter in granting for voter in voters) >= majority_of(voters) for voters in sets
    )


def _would_vote(voter: ControllerDisk, candidate: ControllerDisk) -> bool:
    """Tell whether a voter grants its vote; an unknown candidate needs a longer log."""
    configuration = voter.configuration
    is_known = candidate.identity in configuration.voters + configuration.learners
    positions = [(disk.last_term, disk.last_index) for disk in (candidate, voter)]
    return positions[0] >= positions[1] if is_known else positions[0] > positions[1]

"""Replication on a follower or learner."""

from __future__ import annotations

from limedyke.core.agreement.commands import InstallSnapshot, RestoreState
from limedyke.core.agreement.records import Snapshot
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    ControllerIdentity,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    LogEntry,
)


class Follower:
    """Receives entries and snapshots from the leader of the current term."""

    def __init__(self, state: AgreementState) -> None:
        self._state = state
        self._incoming: InstallSnapshotRequest | None = None
        self._incoming_data = bytearray()
        self._installing: tuple[int, Snapshot] | None = None

    def on_append_entries(self, sender: ControllerIdentity, request: AppendEntriesRequest) -> None:
        """Append entries that match the log; reject others with a hint where the logs conflict."""
        if self._installing is not None:
            return
        if not self._matches(request.previous_index, request.previous_term):
            self._reject(sender, request)
            return
        self._append_new(request.entries)
        match_index = request.previous_index + len(request.entries)
        self._state.advance_commit(min(request.commit_index, match_index))
        self._accept(sender, request, match_index)

    def _matches(self, index: int, term: int) -> bool:
        log = self._state.log
        return index < log.base_index or log.holds(index, term)

    def _append_new(self, entries: tuple[LogEntry, ...]) -> None:
        state = self._state
        for position, entry in enumerate(entries):
            if entry.index <= state.log.base_index:
                continue
            if entry.index > state.log.last_index:
                state.append(entries[position:])
                return
            if state.log.term_at(entry.index) != entry.term:
                state.truncate_after(entry.index - 1)
                state.append(entries[position:])
                return

    def _accept(
        self, sender: ControllerIdentity, request: AppendEntriesRequest, match_index: int
    ) -> None:
        response = AppendEntriesResponse(
            term=self._state.term,
            accepted=True,
            previous_index=request.previous_index,
            match_index=match_index,
            conflict_index=0,
            conflict_term=0,
            round_number=request.round_number,
        )
        self._state.send_after_sync(sender, response)

    def _reject(self, sender: ControllerIdentity, request: AppendEntriesRequest) -> None:
        log = self._state.log
        conflict_index = log.last_index + 1
        conflict_term = 0
        if request.previous_index <= log.last_index:
            conflict_term = log.term_at(request.previous_index)
            conflict_index = log.first_index_of_term(request.previous_index)
        response = AppendEntriesResponse(
            term=self._state.term,
            accepted=False,
            previous_index=request.previous_index,
            match_index=0,
            conflict_index=conflict_index,
            conflict_term=conflict_term,
            round_number=request.round_number,
        )
        self._state.send_after_sync(sender, response)

    def on_install_snapshot(
        self, sender: ControllerIdentity, request: InstallSnapshotRequest
    ) -> None:
        """Collect the chunks of a snapshot and install it when it is complete."""
        if self._installing is not None:
            return
        if request.snapshot_index <= self._state.commit_index:
            self._incoming = None
            self._answer_snapshot(sender, request, request.total_bytes, installed=True)
            return
        if self._is_new_snapshot(request):
            self._incoming = request
            self._incoming_data = bytearray()
        if request.offset == len(self._incoming_data):
            self._incoming_data += request.data
        if len(self._incoming_data) < request.total_bytes:
            self._answer_snapshot(sender, request, len(self._incoming_data), installed=False)
            return
        self._install(request)
        self._answer_snapshot(sender, request, request.total_bytes, installed=True)

    def _is_new_snapshot(self, request: InstallSnapshotRequest) -> bool:
        known = self._incoming
        return known is None or (
            known.term,
            known.snapshot_index,
            known.snapshot_term,
            known.total_bytes,
        ) != (
            request.term,
            request.snapshot_index,
            request.snapshot_term,
            request.total_bytes,
        )

    def _install(self, request: InstallSnapshotRequest) -> None:
        state = self._state
        snapshot = Snapshot(
            index=request.snapshot_index,
            term=request.snapshot_term,
            configuration=request.configuration,
            data=bytes(self._incoming_data),
        )
        self._incoming = None
        self._incoming_data = bytearray()
        write_number = state.next_write_number()
        keep_entries = state.log.holds(snapshot.index, snapshot.term)
        state.emit(InstallSnapshot(write_number, snapshot, keep_entries))
        self._installing = (write_number, snapshot)

    def finish_install(self) -> None:
        """Adopt the received snapshot as the state once it is synced."""
        state = self._state
        if self._installing is None or not state.is_synced(self._installing[0]):
            return
        _, snapshot = self._installing
        self._installing = None
        state.log.install(snapshot)
        state.forget_unsynced_entries()
        state.synced_index = state.log.last_index
        state.commit_index = snapshot.index
        state.applied_index = snapshot.index
        state.emit(RestoreState(snapshot))
        state.report_role()

    def _answer_snapshot(
        self,
        sender: ControllerIdentity,
        request: InstallSnapshotRequest,
        next_offset: int,
        installed: bool,
    ) -> None:
        response = InstallSnapshotResponse(
            term=self._state.term,
            snapshot_index=request.snapshot_index,
            next_offset=next_offset,
            installed=installed,
            round_number=request.round_number,
        )
        self._state.send_after_sync(sender, response)

"""Replication on the leader: batches, back-off and snapshots."""

from __future__ import annotations

from limedyke.core.agreement.progress import Progress
from limedyke.core.agreement.state import AgreementState
from limedyke.messages.agreement import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    ControllerIdentity,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
)


class Replication:
    """Sends entries, heartbeats and snapshots to all other members."""

    def __init__(self, state: AgreementState) -> None:
        self._state = state
        self.progress: dict[ControllerIdentity, Progress] = {}
        self.round_number = 0

    def start(self) -> None:
        """Reset the progress of all members at the start of a leadership."""
        self.progress = {}
        self.round_number = 0
        self.refresh_members()

    def refresh_members(self) -> None:
        """Track exactly the members of the newest configuration."""
        members = self._state.other_members()
        self.progress = {
            member: self.progress.get(member) or self._new_progress() for member in members
        }

    def _new_progress(self) -> Progress:
        return Progress(next_index=self._state.log.last_index + 1, last_response_at=self._state.now)

    def heartbeat(self, round_number: int) -> None:
        """Send every member a message that requires a response."""
        self.round_number = round_number
        for member, progress in self.progress.items():
            self._send_heartbeat(member, progress)

    def _send_heartbeat(self, member: ControllerIdentity, progress: Progress) -> None:
        if self._needs_snapshot(progress):
            self._send_snapshot_chunk(member, progress)
        elif progress.probing:
            self._send_entries(member, progress)
        else:
            self._send_append(member, progress.next_index, with_entries=False)

    def replicate(self) -> None:
        """Send new entries to the members that are not being probed."""
        for member, progress in self.progress.items():
            self._pipeline(member, progress)

    def _pipeline(self, member: ControllerIdentity, progress: Progress) -> None:
        if progress.probing or self._needs_snapshot(progress):
            return
        while progress.next_index <= self._state.log.last_index:
            if progress.in_flight >= self._state.timing.maximum_in_flight:
                return
            progress.next_index = self._send_entries(member, progress) + 1
            progress.in_flight += 1

    def _send_entries(self, member: ControllerIdentity, progress: Progress) -> int:
        return self._send_append(member, progress.next_index, with_entries=True)

    def _send_append(self, member: ControllerIdentity, first: int, with_entries: bool) -> int:
        """Send entries from ``first`` on; return the last index sent."""
        state = self._state
        entries = ()
        if with_entries:
            timing = state.timing
            entries = state.log.batch_from(
                first, timing.maximum_batch_entries, timing.maximum_batch_bytes
            )
        request = AppendEntriesRequest(
            term=state.term,
            previous_index=first - 1,
            previous_term=state.log.term_at(first - 1),
            entries=entries,
            commit_index=state.commit_index,
            round_number=self.round_number,
            quorum_stamp=state.quorum_stamp,
        )
        state.send(member, request)
        return first - 1 + len(entries)

    def on_append_response(
        self, sender: ControllerIdentity, response: AppendEntriesResponse
    ) -> None:
        """Advance a member's progress, or move it back to where the logs may agree."""
        progress = self.progress[sender]
        self._record_response(progress, response.round_number)
        if response.accepted:
            self._record_match(progress, response.match_index)
        elif response.previous_index == progress.next_index - 1 or not progress.probing:
            self._back_off(sender, progress, response)
        self._pipeline(sender, progress)

    def _record_response(self, progress: Progress, round_number: int) -> None:
        progress.acknowledged_round = max(progress.acknowledged_round, round_number)
        progress.last_response_at = self._state.now
        progress.has_responded = True

    def _record_match(self, progress: Progress, match_index: int) -> None:
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.in_flight = max(0, progress.in_flight - 1)
        progress.probing = False
        progress.snapshot_index = 0

    def _back_off(
        self, member: ControllerIdentity, progress: Progress, response: AppendEntriesResponse
    ) -> None:
        if response.previous_index <= progress.match_index:
            return
        progress.next_index = max(self._agreeing_index(response), progress.match_index) + 1
        progress.probing = True
        progress.in_flight = 0
        self._send_heartbeat(member, progress)

    def _agreeing_index(self, response: AppendEntriesResponse) -> int:
        """Return the last index at which the member's log may agree with the leader's."""
        log = self._state.log
        hint = min(response.conflict_index, response.previous_index) - 1
        if response.conflict_term == 0:
            return min(hint, log.last_index)
        own_last = log.last_index_of_term(response.conflict_term)
        if own_last is None:
            return hint
        return max(hint, min(own_last, response.previous_index - 1))

    def _needs_snapshot(self, progress: Progress) -> bool:
        return progress.next_index - 1 < self._state.log.base_index

    def _send_snapshot_chunk(self, member: ControllerIdentity, progress: Progress) -> None:
        """Send the next chunk, or an empty one while the previous may still be in flight."""
        state = self._state
        snapshot = state.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
            progress.snapshot_sent_at = float("-inf")
        data = b""
        if state.now >= progress.snapshot_sent_at + state.timing.snapshot_retry_s:
            end = progress.snapshot_offset + state.timing.snapshot_chunk_bytes
            data = snapshot.data[progress.snapshot_offset : end]
            progress.snapshot_sent_at = state.now
        request = InstallSnapshotRequest(
            term=state.term,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=progress.snapshot_offset,
            total_bytes=len(snapshot.data),
            data=data,
            round_number=self.round_number,
            quorum_stamp=state.quorum_stamp,
        )
        state.send(member, request)

    def on_snapshot_response(
        self, sender: ControllerIdentity, response: InstallSnapshotResponse
    ) -> None:
        """Send the next chunk, or continue with entries once the snapshot is installed."""
        progress = self.progress[sender]
        self._record_response(progress, response.round_number)
        if response.installed:
            self._record_match(progress, response.snapshot_index)
            progress.next_index = max(response.snapshot_index, progress.match_index) + 1
            progress.in_flight = 0
            self._pipeline(sender, progress)
            return
        is_current = response.snapshot_index == progress.snapshot_index
        if is_current and response.next_offset != progress.snapshot_offset:
            progress.snapshot_offset = response.next_offset
            progress.snapshot_sent_at = float("-inf")
            self._send_snapshot_chunk(sender, progress)

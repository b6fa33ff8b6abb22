"""Decodes the control state from a log snapshot."""

from __future__ import annotations

from result import Err

from limedyke.messages.control_entries import ControlStateSnapshot, unpack_entry


def unpack_snapshot(data: bytes) -> ControlStateSnapshot:
    """Return the control state in a log snapshot.

    :raises ValueError: if the bytes do not hold a control state
    """
    unpacked = unpack_entry(data)
    if isinstance(unpacked, Err):
        raise ValueError(str(unpacked.err_value))
    snapshot = unpacked.ok_value
    if not isinstance(snapshot, ControlStateSnapshot):
        raise ValueError("the log's snapshot holds no control state")
    return snapshot

"""Time of a voter's last contact with a leader, stored without a sync for the next process.

A voter that answered a leader grants no vote for one election timeout. A process that does not know
when its predecessor last answered has to wait that long from its own start; the stored time saves
most of this wait after a crash of the process alone. The time is used only while the system that
kept the unsynced write is still running: after a power loss, or on another machine, it is ignored.
"""

from __future__ import annotations

import struct
from pathlib import Path

from limedyke.messages.agreement import ControllerIdentity
from limedyke.storage.file_system import FileSystem
from limedyke.storage.frame import decode_frame, encode_frame

LEADER_CONTACT_NAME = "leader-contact"
_TIME = struct.Struct(">d")


class LeaderContact:
    """The stored contact time of one folder.

    :param identity: the controller and the incarnation of the folder
    """

    def __init__(self, folder: Path, file_system: FileSystem, identity: ControllerIdentity) -> None:
        self._path = folder / LEADER_CONTACT_NAME
        self._file_system = file_system
        session = file_system.life()
        self._is_kept = bool(session)
        self._salt = f"{identity}/{session}".encode()

    def read(self) -> float | None:
        """Return the time of the last leader contact, or None if unknown."""
        try:
            content = self._file_system.read(self._path)
        except OSError:
            return None
        if content is None or not self._is_kept:
            return None
        frame = decode_frame(self._salt, content, 0)
        return None if frame is None else _TIME.unpack(frame.payload)[0]

    def save(self, contact_at: float) -> None:
        """Store the contact time; call this before the leader is answered.

        :param contact_at: seconds of the clock that counts from system start
        :raises OSError: if the file cannot be written; the older time then stays stored
        """
        if not self._is_kept:
            return
        data = encode_frame(self._salt, 0, _TIME.pack(contact_at))
        self._file_system.overwrite(self._path, data)

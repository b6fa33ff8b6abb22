"""When a voter last heard a leader: noted without a sync, for the next process of the folder.

A voter that answered a leader gives no vote for one election timeout.  A process that does not
know when its predecessor last answered has to wait that long from its own start.  The note
spares most of this wait after a crash of the process alone.  It counts only while the system
goes on that kept the unsynced write: after a power loss, or on another machine, it is ignored.
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
    """The note of one folder.

    :param identity: the controller and the incarnation of the folder
    """

    def __init__(self, folder: Path, file_system: FileSystem, identity: ControllerIdentity) -> None:
        self._path = folder / LEADER_CONTACT_NAME
        self._file_system = file_system
        life = file_system.life()
        self._is_kept = bool(life)
        self._salt = f"{identity}/{life}".encode()

    def read(self) -> float | None:
        """Return when a leader was last heard, or None when that is not known."""
        try:
            content = self._file_system.read(self._path)
        except OSError:
            return None
        if content is None or not self._is_kept:
            return None
        frame = decode_frame(self._salt, content, 0)
        return None if frame is None else _TIME.unpack(frame.payload)[0]

    def save(self, heard_at: float) -> None:
        """Note the time; it must be noted before the leader is answered.

        :param heard_at: seconds of the clock that counts since the system started
        :raises OSError: when the file cannot be written; the older note still stands then
        """
        if not self._is_kept:
            return
        data = encode_frame(self._salt, 0, _TIME.pack(heard_at))
        self._file_system.overwrite(self._path, data)

"""A small file that is replaced atomically: after a crash it holds the old or the new content."""

from __future__ import annotations

from pathlib import Path

from result import Err, Ok, Result

from limedyke.result_codes import Failure, ResultCode
from limedyke.storage.file_system import FileSystem
from limedyke.storage.frame import decode_frame, encode_frame

_SALT = b"limedyke-file"


class CrashSafeFile:
    """One checksummed file.

    :param sync: False only where losing the file is harmless
    """

    def __init__(self, path: Path, file_system: FileSystem, sync: bool = True) -> None:
        self._path = path
        self._temporary = path.with_name(path.name + ".new")
        self._file_system = file_system
        self._sync = sync

    def read(self) -> Result[bytes | None, Failure]:
        """Return the content, None if there is no file, or LOG_CORRUPT."""
        try:
            content = self._file_system.read(self._path)
        except OSError as error:
            return Err(Failure(ResultCode.LOG_CORRUPT, f"file {self._path}: {error.strerror}"))
        if content is None:
            return Ok(None)
        frame = decode_frame(_SALT, content, 0)
        if frame is None or frame.end != len(content):
            detail = f"file {self._path} offset 0: the checksum does not match"
            return Err(Failure(ResultCode.LOG_CORRUPT, detail))
        return Ok(frame.payload)

    def write(self, data: bytes) -> Result[None, Failure]:
        """Replace the content; on return the new content is durable."""
        try:
            self._write(data)
        except OSError as error:
            return Err(Failure(ResultCode.DISK_FULL, f"file {self._path}: {error.strerror}"))
        return Ok(None)

    def _write(self, data: bytes) -> None:
        file = self._file_system.create(self._temporary)
        try:
            file.write(encode_frame(_SALT, 0, data))
            if self._sync:
                file.sync()
        finally:
            file.close()
        self._file_system.rename(self._temporary, self._path)
        if self._sync:
            self._file_system.sync_folder(self._path.parent)

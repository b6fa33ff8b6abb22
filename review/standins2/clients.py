"""Client sessions on the front address of a proxy."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass

from review.standins2.record import Record

READY_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to a statement.

    :param error: the word of the error; empty on success
    """

    rows: tuple[str, ...]
    signature: str
    error: str
    state: str


class ClientSession:
    """One session of a client.

    :param name: of the client, for the record
    """

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str, database: str) -> str:
        """Open the session; return the reason why not, or an empty text."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(ip, int(port))
                self._writer.write(f"START {database} client\r\n".encode())
                line = (await self._reader.readline()).decode("latin-1").strip()
        except (OSError, TimeoutError) as error:
            self.close()
            return f"unreached {error!r}"
        if line.startswith("READY"):
            return ""
        self.close()
        return line or "closed"

    @property
    def is_open(self) -> bool:
        """Whether the session is open, as far as the connection shows."""
        if self._writer is None or self._reader.exception() is not None:
            return False
        return not self._reader.at_eof()

    def close(self) -> None:
        """End the session."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def ask(self, text: str, timeout_s: float, request_id: str = "") -> Answer | None:
        """Send a statement; return None if no whole answer comes."""
        request_id = request_id or secrets.token_hex(8)
        self._record.write("sends", client=self._name, request=request_id, text=_one_word(text))
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                answer = await self._answer()
        except (OSError, TimeoutError, ValueError) as error:
            self._record.write("unanswered", request=request_id, reason=type(error).__name__)
            self.close()
            return None
        self._record.write(
            "answered", request=request_id, error=answer.error or "none", state=answer.state
        )
        return answer

    async def _answer(self) -> Answer:
        rows, signature, error = [], "", ""
        while True:
            line = (await self._reader.readline()).decode("latin-1")
            if not line:
                raise ValueError("closed")
            word, _, rest = line.rstrip("\r\n").partition(" ")
            match word:
                case "DATAROW":
                    rows.append(rest)
                case "COMPLETE":
                    signature = rest
                case "ERROR":
                    error = rest.partition(" ")[0]
                case "READY":
                    return Answer(tuple(rows), signature, error, rest.partition(" ")[0])


def _one_word(text: str) -> str:
    return text.replace(" ", "_")[:40]

"""Runs a sans-IO session against the scripted back end, with messages in a short notation.

Messages are separated by ``/``: ``Q text``, ``P name: text``, ``B name``,
``DS name``, ``DP``, ``E``, ``CS name``, ``S``, ``H``, ``X``, ``F``.  Answers are
written as type letters, some with details: ``C:SELECT 1``, ``E:42601``,
``S:limedyke.session``, ``Z:I``.
"""

from __future__ import annotations

import itertools
import re
from pathlib import Path

import curio
from postgresql.protocol import element3
from postgresql.protocol.buffer import pq_message_stream

from features.support.scripted_back_end import ScriptedBackEnd
from limedyke.core.sessions.client_exchange import (
    AbandonUnit,
    AnswerReceived,
    ClientMessages,
    CloseClient,
    Event,
    LoginSucceeded,
    Moment,
    RunUnit,
    SendToClient,
    UnitEnded,
)
from limedyke.core.sessions.session import Session
from limedyke.core.sessions.session_context import SessionContext
from limedyke.core.sessions.session_opening import CancelKey, open_session
from limedyke.core.sessions.session_token import TokenAuthority
from limedyke.core.sql.statement_cache import StatementCache
from limedyke.messages.declaration import Tenant
from limedyke.messages.work import AbandonWork, AnswerChunk, WorkUnit
from limedyke.postgres.client_framing import ClientFramer, ClientMessage

START = Moment(1_000.0, 1_700_000_000)
KEYS = {1: b"first key", 2: b"second key"}
MAXIMUM_BATCH_BYTES = 64 * 1024
MAXIMUM_STALENESS_MS = 5_000
IDLE_IN_TRANSACTION_S = 60.0


def message(notation: str) -> bytes:
    """Return the encoded client message of a notation."""
    kind, _, rest = notation.strip().partition(" ")
    name, _, text = rest.partition(": ")
    encoded = rest.encode()
    match kind:
        case "Q":
            return element3.Query(encoded).bytes()
        case "P":
            return element3.Parse(name.rstrip(":").encode(), text.encode(), ()).bytes()
        case "B":
            return element3.Bind(b"", encoded, (), (), ()).bytes()
        case "DS":
            return element3.DescribeStatement(encoded).bytes()
        case "DP":
            return element3.DescribePortal(encoded).bytes()
        case "E":
            return element3.Execute(encoded).bytes()
        case "CS":
            return element3.CloseStatement(encoded).bytes()
        case "S":
            return element3.SynchronizeMessage.bytes()
        case "H":
            return element3.FlushMessage.bytes()
        case "X":
            return element3.DisconnectMessage.bytes()
    return kind.encode() + b"\0\0\0\4"


def messages(notation: str) -> list[ClientMessage]:
    """Return the messages of a notation."""
    data = b"".join(message(part) for part in notation.split(" / "))
    return ClientFramer(MAXIMUM_BATCH_BYTES).feed(data)


def render(data: bytes) -> str:
    """Return the notation of an answer."""
    stream = pq_message_stream()
    stream.write(data)
    return " ".join(_render_one(kind.decode(), body) for kind, body in stream.read())


def _render_one(kind: str, body: bytes) -> str:
    match kind:
        case "C":
            return f"C:{body[:-1].decode()}"
        case "E" | "N":
            return f"{kind}:{re.search(rb'C(.{5})', body.split(b'M', 1)[0])[1].decode()}"
        case "S":
            name, _, _ = body.partition(b"\0")
            return f"S:{name.decode()}"
        case "Z":
            return f"Z:{body.decode()}"
        case "D":
            return f"D:{body[6:].decode()}"
    return kind


def new_context(keys: dict[int, bytes] | None = None) -> SessionContext:
    """Return a new session context."""
    numbers = itertools.count(1)
    tenant = Tenant("acme", (), max_staleness_ms=MAXIMUM_STALENESS_MS)
    return SessionContext(
        StatementCache(),
        TokenAuthority(KEYS if keys is None else keys),
        lambda: next(numbers),
        lambda name: tenant,
        idle_in_transaction_s=IDLE_IN_TRANSACTION_S,
        maximum_batch_bytes=MAXIMUM_BATCH_BYTES,
    )


class SessionExchange:
    """A session with its back end.

    :ivar units: units in execution order
    :ivar abandoned: abandoned work
    :ivar answer: all bytes sent to the client since the last ``send``
    :ivar refusal: the ErrorResponse if the session wasn't opened
    """

    def __init__(
        self,
        folder: Path,
        settings: dict[str, str] | None = None,
        context: SessionContext | None = None,
        user: str = "app",
    ) -> None:
        self.units: list[WorkUnit] = []
        self.abandoned: list[AbandonWork] = []
        self.answer = b""
        self.closed = False
        self.moment = START
        self.context = context or new_context()
        self.back_end = ScriptedBackEnd(folder, self._record)
        login = LoginSucceeded("acme", "main", user, settings or {})
        opened = open_session(self.context, login, CancelKey(1, 2), START)
        self.refusal = opened.err() or b""
        self.session: Session | None = None
        if opened.is_ok():
            self.session = opened.ok_value.session
            self.answer = opened.ok_value.greeting

    def send(self, notation: str) -> str:
        """Send messages, execute the resulting commands, and return the answer in notation."""
        return self.handle(ClientMessages(messages(notation), self.moment))

    def handle(self, event: Event) -> str:
        """Pass an event to the session, execute its commands, and return the answer in notation."""
        self.answer = b""
        curio.run(self._handle, event)
        return render(self.answer)

    @property
    def token(self) -> str:
        """The last token in the answer, or empty."""
        found = re.findall(rb"limedyke\.session\0([^\0]+)\0", self.answer)
        return found[-1].decode() if found else ""

    async def _handle(self, event: Event) -> None:
        commands = self.session.handle(event)
        for command in commands:
            match command:
                case SendToClient(data):
                    self.answer += data
                case RunUnit(unit):
                    end = await self.back_end.run(unit, self._relay)
                    await self._handle(UnitEnded(end, self.moment))
                case AbandonUnit(work):
                    await self.back_end.abandon(work)
                case CloseClient():
                    self.closed = True

    async def _relay(self, chunk: AnswerChunk) -> None:
        await self._handle(AnswerReceived(chunk))

    def _record(self, item: WorkUnit | AbandonWork) -> None:
        if isinstance(item, WorkUnit):
            self.units.append(item)
        else:
            self.abandoned.append(item)

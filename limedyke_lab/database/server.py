"""Listening socket, connection start-up, and start and stop of the process."""

from __future__ import annotations

import secrets
import socket as socket_module
from contextlib import suppress

import curio
from postgresql.protocol import element3
from postgresql.protocol.buffer import pq_message_stream
from scramp import ScramException

from limedyke.event_log import EventLog, start_logging
from limedyke_lab.database.errors import ConnectionCutError, SqlError
from limedyke_lab.database.member import Member
from limedyke_lab.database.options import DatabaseOptions
from limedyke_lab.database.postgres import wire
from limedyke_lab.database.postgres.authentication import ADMIN_USER, MECHANISM, Credentials
from limedyke_lab.database.postgres.protocol import ProtocolLoop
from limedyke_lab.database.replication.promotion import start_initial_primary
from limedyke_lab.database.replication.replication import REPLICATION_CODE, Replication
from limedyke_lab.database.session import Session
from limedyke_lab.database.stop_signal import StopSignal

_BACKLOG = 1024
_RECEIVE_BYTES = 4096
_MAXIMUM_STARTUP_BYTES = 10_000
_STARTUP_TIMEOUT_SECONDS = 30.0
_HISTORY_FLUSH_SECONDS = 1.0
_MILLISECONDS = 1000.0
_SSL_CODE = b"\x04\xd2\x16\x2f"
_GSS_CODE = b"\x04\xd2\x16\x30"
_CANCEL_CODE = b"\x04\xd2\x16\x2e"
_PROTOCOL_3 = b"\x00\x03"

_events = EventLog("database")


class DatabaseServer:
    """Serves one member."""

    def __init__(self, options: DatabaseOptions) -> None:
        self.options = options
        self.member = Member(options)
        self.replication = Replication(self.member)
        self._credentials = Credentials.load(options.password_file)
        self._keys: dict[int, int] = {}
        self._next_number = 1
        self._user_connections = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then close cleanly."""
        listen = self.options.listen
        sock = curio.network.tcp_server_socket(listen.host, listen.port, backlog=_BACKLOG)
        stop = StopSignal()
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(curio.network.run_server, sock, self._serve)
            await tasks.spawn(self._flush_history)
            await tasks.spawn(self.replication.run)
            await tasks.spawn(self._start)
            await tasks.spawn(stop.wait)
        await self._shut_down()
        if tasks.exception is not None:
            raise tasks.exception

    async def _start(self) -> None:
        if self.options.initial_primary:
            await start_initial_primary(self.member)
        _events.info(
            "database.ready",
            member=self.member.name,
            listen=f"{self.options.listen.host}:{self.options.listen.port}",
            role=self.member.group_role(),
            promised=self.member.promised_term,
            log_end=self.member.log.end,
        )
        await curio.Event().wait()

    async def _flush_history(self) -> None:
        while True:
            await curio.sleep(_HISTORY_FLUSH_SECONDS)
            self.member.history.flush()

    async def _shut_down(self) -> None:
        await self.member.close()
        _events.info("database.stopped", member=self.member.name)

    async def set_switch(self, name: str, value: str) -> None:
        """Set a switch and apply it."""
        member = self.member
        member.switches.set(name, value)
        member.slots.limit = member.switches.slots
        await member.slots.admit()
        await self.replication.switches_changed(name)
        _events.info("switch.set", member=member.name, name=name, value=value)

    # ----- connections -----

    async def _serve(self, sock, _address) -> None:
        try:
            async with sock:
                await self._serve_socket(sock)
        except (ConnectionError, ConnectionCutError, OSError, EOFError):
            pass
        except curio.TaskTimeout:
            pass

    async def _serve_socket(self, sock) -> None:
        sock.setsockopt(socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1)
        body = await curio.timeout_after(_STARTUP_TIMEOUT_SECONDS, _read_startup, sock)
        while body[:4] in (_SSL_CODE, _GSS_CODE):
            await sock.sendall(b"N")
            body = await curio.timeout_after(_STARTUP_TIMEOUT_SECONDS, _read_startup, sock)
        if body[:4] == REPLICATION_CODE:
            await self.replication.serve_primary(sock)
        elif body[:4] == _CANCEL_CODE:
            await self._cancel(element3.CancelRequest.parse(body))
        else:
            await self._serve_client(sock, body)

    async def _cancel(self, request: element3.CancelRequest) -> None:
        if self._keys.get(request.pid) == request.key:
            await self.member.sessions[request.pid].cancel()

    async def _serve_client(self, sock, body: bytes) -> None:
        startup = _parse_startup(body)
        if startup is None:
            error = SqlError("0A000", "unsupported frontend protocol", fatal=True)
            await sock.sendall(wire.error_response(error))
            return
        user = startup.get("user", "")
        counted = user != ADMIN_USER
        if counted and self.member.switches.refuse_connections == "on":
            return
        self._user_connections += counted
        try:
            await self._serve_user(sock, user, startup)
        except SqlError as error:
            with suppress(OSError):
                await sock.sendall(wire.error_response(error))
        finally:
            self._user_connections -= counted

    def _require_admission(self, user: str) -> None:
        switches = self.member.switches
        if user == ADMIN_USER:
            return
        if switches.refuse_connections == "error":
            message = "the database system is not accepting connections"
            raise SqlError("57P03", message, fatal=True)
        if self._user_connections > switches.connection_limit:
            raise SqlError("53300", "sorry, too many clients already", fatal=True)

    async def _serve_user(self, sock, user: str, startup: dict[str, str]) -> None:
        self._require_admission(user)
        if user != ADMIN_USER:
            await curio.sleep(self.member.switches.connect_delay_ms / _MILLISECONDS)
        stream = pq_message_stream()
        authenticate = self._authenticate(sock, stream, user)
        final = await curio.timeout_after(_STARTUP_TIMEOUT_SECONDS, authenticate)
        number = self._next_number
        self._next_number += 1
        session = Session(self, sock, number, user, startup)
        self.member.sessions[number] = session
        self._keys[number] = secrets.randbits(31)
        try:
            await sock.sendall(final + self._greeting(session))
            await ProtocolLoop(session).run(stream.getvalue())
        finally:
            del self.member.sessions[number]
            del self._keys[number]
            await session.close()

    def _greeting(self, session: Session) -> bytes:
        parts = [wire.AUTHENTICATION_OK]
        parts += [wire.parameter_status(*item) for item in session.settings.all_reports()]
        key = self._keys[session.number]
        parts.append(element3.KillInformation(session.number, key).bytes())
        parts.append(wire.READY_IDLE)
        return b"".join(parts)

    async def _authenticate(self, sock, stream: pq_message_stream, user: str) -> bytes:
        """Run SCRAM-SHA-256; returns the final authentication message, not yet sent."""
        server = self._credentials.scram_server(user)
        offer = element3.Authentication(10, MECHANISM.encode() + b"\x00\x00")
        await sock.sendall(offer.bytes())
        try:
            first = _split_initial(await _read_password(sock, stream))
            server.set_client_first(first)
            challenge = server.get_server_first().encode()
            await sock.sendall(element3.Authentication(11, challenge).bytes())
            server.set_client_final((await _read_password(sock, stream)).decode())
        except (ScramException, ValueError) as error:
            message = f'password authentication failed for user "{user}"'
            raise SqlError("28P01", message, fatal=True) from error
        return element3.Authentication(12, server.get_server_final().encode()).bytes()

    def wake_idle_session(self, session: Session) -> None:
        """Shut down the read side of the socket so that an idle session wakes up and ends."""
        with suppress(OSError):
            session.sock._socket.shutdown(socket_module.SHUT_RD)


async def _read_exactly(sock, count: int) -> bytes:
    data = b""
    while len(data) < count:
        piece = await sock.recv(count - len(data))
        if not piece:
            raise EOFError
        data += piece
    return data


async def _read_startup(sock) -> bytes:
    """Return the body of a startup packet, without its length."""
    length = int.from_bytes(await _read_exactly(sock, 4), "big")
    if not 8 <= length <= _MAXIMUM_STARTUP_BYTES:
        raise ConnectionCutError
    return await _read_exactly(sock, length - 4)


def _parse_startup(body: bytes) -> dict[str, str] | None:
    if body[:2] != _PROTOCOL_3:
        return None
    pairs = element3.Startup.parse(element3.Startup.packed_version + body[4:])
    return {name.decode(): value.decode() for name, value in pairs.items()}


async def _read_password(sock, stream: pq_message_stream) -> bytes:
    while True:
        message = stream.next_message()
        if message is not None:
            break
        data = await sock.recv(_RECEIVE_BYTES)
        if not data:
            raise EOFError
        stream.write(data)
    if message[0] != b"p":
        raise SqlError("08P01", "expected a SASL response", fatal=True)
    return message[1]


def _split_initial(body: bytes) -> str:
    """Return the client-first message of a SASLInitialResponse."""
    mechanism, _, rest = body.partition(b"\x00")
    if mechanism.decode() != MECHANISM:
        raise SqlError("28000", "unsupported SASL mechanism", fatal=True)
    return rest[4:].decode()


def serve(options: DatabaseOptions) -> None:
    """Run a member in this process until SIGTERM or SIGINT."""
    start_logging(options.log_level)
    curio.run(DatabaseServer(options).run)

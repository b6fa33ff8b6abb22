"""The PostgreSQL server of a simulated member: logins, connection limit, query slots."""

from __future__ import annotations

from collections import deque

from postgresql.protocol import element3

from limedyke.postgres.client_framing import ClientFramer, ClientMessage, StartupFramer
from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.postgres.authentication import PROMOTER_USER, Credentials
from limedyke_lab.database.postgres.wire import AUTHENTICATION_OK, READY_IDLE, error_response
from limedyke_lab.simulator.machine.kernel import Future
from limedyke_lab.simulator.machine.network import Address, Endpoint, StreamClosed
from limedyke_lab.simulator.members.member import Member
from limedyke_lab.simulator.members.member_session import MemberSession
from limedyke_lab.simulator.statements import TOO_MANY_CONNECTIONS

CONNECT_S = 0.010
EXECUTE_S = 0.001
MAXIMUM_MESSAGE_BYTES = 1 << 20
MECHANISM = b"SCRAM-SHA-256"
STARTUP_VERSION = (3).to_bytes(2, "big") + (0).to_bytes(2, "big")
SASL = 10
SASL_CONTINUE = 11
SASL_FINAL = 12


class Slots:
    """Limits how many queries execute at once; waiting queries run in order of arrival."""

    def __init__(self, limit: int) -> None:
        self._free = limit
        self._waiting: deque[Future] = deque()

    def acquire(self) -> Future:
        """Return a future that is done when a slot has been acquired."""
        future = Future()
        if self._free > 0:
            self._free -= 1
            future.set()
        else:
            self._waiting.append(future)
        return future

    def release(self) -> None:
        """Release a slot."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._free += 1


class OnceLocks:
    """Row locks of once-keys: inserts wait for an uncommitted row with the same key."""

    def __init__(self) -> None:
        self._holders: dict[str, object] = {}
        self._waiting: dict[str, deque[tuple[object, Future]]] = {}

    async def acquire(self, key: str, session: object) -> None:
        """Acquire the lock of a key."""
        holder = self._holders.get(key)
        if holder is None or holder is session:
            self._holders[key] = session
            return
        future = Future()
        self._waiting.setdefault(key, deque()).append((session, future))
        await future

    def release(self, session: object) -> None:
        """Release all locks of a session."""
        for key in [key for key, holder in self._holders.items() if holder is session]:
            waiting = self._waiting.get(key)
            if waiting:
                self._holders[key], future = waiting.popleft()
                future.set()
            else:
                del self._holders[key]


class MemberServer:
    """Accepts connections for a member and enforces its limits.

    :param passwords: passwords by user name
    """

    def __init__(
        self,
        member: Member,
        address: Address,
        passwords: dict[str, str],
        connection_limit: int,
        slots: int,
    ) -> None:
        self.member = member
        self.credentials = Credentials(passwords)
        self.execute_s = EXECUTE_S
        self.repeat_answers = 0
        self.drop_answers = 0
        self.most_connections = 0
        self._address = address
        self._connection_limit = connection_limit
        self._slots = slots
        member.on_start = self._start

    def _start(self) -> None:
        self.slots = Slots(self._slots)
        self.open_connections = 0
        member = self.member
        member.once_locks = OnceLocks()
        member.network.listen(member.process, self._address, self._accept)

    def _accept(self, endpoint: Endpoint) -> None:
        self.member.process.spawn(ServerConnection(self, endpoint).serve())

    def try_add_connection(self) -> bool:
        """Count a connection of an ordinary user; return False if the limit is reached."""
        if self.open_connections >= self._connection_limit:
            return False
        self.open_connections += 1
        self.most_connections = max(self.most_connections, self.open_connections)
        return True


class ServerConnection:
    """One accepted stream: startup, login and queries."""

    def __init__(self, server: MemberServer, endpoint: Endpoint) -> None:
        self._server = server
        self._endpoint = endpoint
        self._messages: deque[ClientMessage] = deque()
        self._framer = ClientFramer(MAXIMUM_MESSAGE_BYTES)

    async def serve(self) -> None:
        """Authenticate the proxy and serve its queries until the stream ends."""
        try:
            user = await self._log_in()
            if user is None:
                self._endpoint.close()
                return
        except StreamClosed:
            return
        is_ordinary_user = user != PROMOTER_USER
        if is_ordinary_user and not self._server.try_add_connection():
            self._refuse(SqlError(TOO_MANY_CONNECTIONS, "too many connections", fatal=True))
            return
        await self._serve_queries(is_ordinary_user)
        if is_ordinary_user:
            self._server.open_connections -= 1

    async def _serve_queries(self, is_ordinary_user: bool) -> None:
        session = MemberSession(self._server, self._endpoint, is_ordinary_user)
        self._server.member.sessions.append(session)
        self._endpoint.send(READY_IDLE)
        try:
            while True:
                message = await self._receive()
                if message.kind == ord("X"):
                    break
                if message.kind == ord("Q"):
                    await session.run_query(message.body.rstrip(b"\0").decode())
        except StreamClosed:
            pass
        session.roll_back()
        self._server.member.sessions.remove(session)

    async def _receive(self) -> ClientMessage:
        while not self._messages:
            self._messages.extend(self._framer.feed(await self._endpoint.receive()))
        return self._messages.popleft()

    async def _log_in(self) -> str | None:
        """Authenticate and return the user name; None for an unsupported startup packet."""
        startup = StartupFramer()
        packet: bytes | None = None
        while packet is None:
            packet, rest = startup.feed(await self._endpoint.receive())
        if packet[:4] != STARTUP_VERSION:
            return None
        self._messages.extend(self._framer.feed(rest) if rest else ())
        parts = packet[4:].split(b"\0")
        user = dict(zip(parts[::2], parts[1::2], strict=False))[b"user"].decode()
        await self._server.member.process.sleep(CONNECT_S)
        self._send_authentication(SASL, MECHANISM + b"\0\0")
        scram = self._server.credentials.scram_server(user)
        body = await self._receive_authentication()
        mechanism_end = body.index(b"\0") + 1
        scram.set_client_first(body[mechanism_end + 4 :].decode())
        self._send_authentication(SASL_CONTINUE, scram.get_server_first().encode())
        scram.set_client_final((await self._receive_authentication()).decode())
        self._send_authentication(SASL_FINAL, scram.get_server_final().encode())
        self._endpoint.send(AUTHENTICATION_OK)
        return user

    async def _receive_authentication(self) -> bytes:
        message = await self._receive()
        if message.kind != ord("p"):
            raise StreamClosed(by_peer=True)
        return message.body

    def _send_authentication(self, request: int, data: bytes) -> None:
        self._endpoint.send(element3.Authentication(request, data).bytes())

    def _refuse(self, error: SqlError) -> None:
        self._endpoint.send(error_response(error))
        self._endpoint.close()

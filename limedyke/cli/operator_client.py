"""Client for operator requests: finds the leader and retries with the same request id."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass, replace
from pathlib import Path

import curio
from pydantic import Field
from result import Err, Ok, Result

from limedyke.messages.handshake import PeerRole
from limedyke.messages.operator import Refused
from limedyke.result_codes import CODE_BY_NUMBER, Failure, ResultCode
from limedyke.settings.base import Address, Model
from limedyke.settings.files import load_secrets, load_settings
from limedyke.transport.link import Link, LinkClosedError, LinkIdentity, dial

DIAL_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.1
RETRIED_CODES = frozenset(
    {ResultCode.NOT_LEADER, ResultCode.CONTROL_OUTCOME_UNKNOWN, ResultCode.QUEUE_TIMEOUT}
)


class OperatorSettings(Model):
    """Settings of the operator commands, read from a YAML file.

    ``secret`` names the operator's key in ``secrets_file``; ``deadline_s`` limits the total time
    of all attempts.
    """

    operator: str
    secret: str
    secrets_file: Path
    controllers: tuple[Address, ...] = Field(min_length=1)
    source_ip: str = ""
    deadline_s: float = Field(default=15.0, gt=0)


@dataclass(frozen=True, slots=True)
class OperatorIdentity:
    """The operator's name and key, as known to the controllers."""

    name: str
    key: bytes


def load_operator(path: Path) -> Result[tuple[OperatorSettings, OperatorIdentity], Failure]:
    """Read the operator's settings and key."""
    loaded = load_settings(OperatorSettings, path)
    if isinstance(loaded, Err):
        return loaded
    settings = loaded.ok_value
    secrets = load_secrets(settings.secrets_file)
    if isinstance(secrets, Err):
        return secrets
    key = secrets.ok_value.get(settings.secret)
    if not key:
        detail = f"{path}: secret: {settings.secret} is not in {settings.secrets_file}"
        return Err(Failure(ResultCode.SETTINGS_INVALID, detail))
    return Ok((settings, OperatorIdentity(settings.operator, key.encode())))


def new_request_id() -> str:
    """Return an id for a new request."""
    return uuid.uuid4().hex


class OperatorClient:
    """Resends one request until a leader answers or the deadline passes."""

    def __init__(self, settings: OperatorSettings, identity: OperatorIdentity) -> None:
        self._settings = settings
        self._identity = LinkIdentity(PeerRole.OPERATOR, identity.name, identity.key)
        self._may_have_arrived = False

    async def ask(self, request: object) -> Result[object, Failure]:
        """Send a request and return the answer or a failure.

        :returns: CONTROL_OUTCOME_UNKNOWN when the request was sent and never answered,
            NOT_LEADER when no controller accepted it
        """
        deadline = time.monotonic() + self._settings.deadline_s
        addresses = list(self._settings.controllers)
        last: Failure | None = None
        attempt = 0
        redirected = ""
        while time.monotonic() < deadline:
            address = redirected or addresses[attempt % len(addresses)]
            attempt += 0 if redirected else 1
            redirected = ""
            answer = await self._ask_one(address, request, deadline)
            if isinstance(answer, Err):
                last = answer.err_value
                if last.code is ResultCode.OPERATOR_REFUSED:
                    return answer
            elif self._is_final(answer.ok_value):
                return answer
            else:
                last = failure_of(answer.ok_value)
                redirected = answer.ok_value.leader
            if not redirected:
                await curio.sleep(RETRY_PAUSE_S)
        return Err(self._final_failure(last))

    def _final_failure(self, last: Failure | None) -> Failure:
        detail = str(last) if last else ""
        if self._may_have_arrived:
            return Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, detail)
        return Failure(ResultCode.NOT_LEADER, f"No controller accepted the request. {detail}")

    @staticmethod
    def _is_final(answer: object) -> bool:
        if not isinstance(answer, Refused):
            return True
        return CODE_BY_NUMBER.get(answer.code) not in RETRIED_CODES

    async def _ask_one(
        self, address: str, request: object, deadline: float
    ) -> Result[object, Failure]:
        dialled = await dial(
            address, self._identity, self._key, self._settings.source_ip, DIAL_TIMEOUT_S
        )
        if isinstance(dialled, Err):
            return dialled
        link = dialled.ok_value
        try:
            limit_s = min(ANSWER_TIMEOUT_S, max(0.1, deadline - time.monotonic()))
            async with curio.timeout_after(limit_s):
                return Ok(await self._exchange(link, request))
        except (LinkClosedError, curio.TaskTimeout) as error:
            return Err(Failure(ResultCode.CONTROL_OUTCOME_UNKNOWN, f"{address}: {error}"))
        finally:
            await link.close()

    async def _exchange(self, link: Link, request: object) -> object:
        may_have_arrived_before = self._may_have_arrived
        self._may_have_arrived = True
        await link.send(request)
        answer = await link.receive()
        if isinstance(answer, Refused) and answer.code == _NOT_LEADER_NUMBER:
            self._may_have_arrived = may_have_arrived_before
        return answer

    def _key(self, role: PeerRole, name: str) -> bytes | None:
        return self._identity.key if role is PeerRole.CONTROLLER else None


_NOT_LEADER_NUMBER = ResultCode.NOT_LEADER.value.number


def failure_of(answer: Refused) -> Failure:
    """Convert a controller's refusal to a failure."""
    code = CODE_BY_NUMBER.get(answer.code, ResultCode.INTERNAL_ERROR)
    failure = Failure(code, answer.detail)
    return replace(failure, retry_after_ms=answer.retry_after_ms or None)

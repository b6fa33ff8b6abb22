"""Opens the session of an authenticated client."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

from limedyke.core.sessions.batch import BatchError
from limedyke.core.sessions.client_exchange import LoginSucceeded, Moment
from limedyke.core.sessions.local_commands import LocalCommands
from limedyke.core.sessions.session import Session
from limedyke.core.sessions.session_context import SessionContext, greeting, replayed_settings
from limedyke.core.sessions.session_settings import SessionSettings
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.sessions.session_token import TokenOwner
from limedyke.core.sql.statement_commands import PROTECTED_SETTINGS, is_supported_encoding
from limedyke.messages.work import TransactionStatus
from limedyke.postgres.client_messages import (
    READY,
    as_fatal,
    backend_key_data,
    failure_response,
)
from limedyke.postgres.client_startup import (
    SESSION_NAME_SETTING,
    SESSION_PREFIX,
    SESSION_TOKEN_SETTING,
)
from limedyke.result_codes import Failure, ResultCode


@dataclass(frozen=True, slots=True)
class CancelKey:
    """The key that a client must present to cancel; sent as BackendKeyData."""

    process_id: int
    secret: int = field(repr=False)


@dataclass(frozen=True, slots=True)
class OpenedSession:
    """A new session and the first messages to send to the client."""

    session: Session
    greeting: bytes


def open_session(
    context: SessionContext, login: LoginSucceeded, key: CancelKey, moment: Moment
) -> Result[OpenedSession, bytes]:
    """Open a session, or return the ErrorResponse that rejects its startup settings."""
    own, others = _split_settings(login.settings)
    encoding = others.get("client_encoding", "utf8")
    if not is_supported_encoding(encoding):
        failure = Failure(ResultCode.FEATURE_NOT_SUPPORTED, f"client encoding {encoding}")
        return Err(failure_response(failure, "FATAL"))
    protected = [name for name in others if name in PROTECTED_SETTINGS]
    if protected:
        detail = f"Not supported: {PROTECTED_SETTINGS[protected[0]]}."
        return Err(failure_response(Failure(ResultCode.FEATURE_NOT_SUPPORTED, detail), "FATAL"))
    owner = TokenOwner(login.tenant, login.group, login.user)
    state = SessionState(owner, SessionSettings(replayed_settings(others)))
    state.last_active = moment.now
    local = LocalCommands(context, state, moment)
    try:
        failure = _apply_own_settings(local, own)
    except BatchError as error:
        return Err(as_fatal(error.answer))
    if failure is not None:
        return Err(failure_response(failure, "FATAL"))
    if own.get(SESSION_NAME_SETTING) and not own.get(SESSION_TOKEN_SETTING):
        state.position.barrier = True
    parts = [
        greeting(login.user, others),
        local.token_status(),
        backend_key_data(key.process_id, key.secret),
        READY[TransactionStatus.IDLE.value.encode()],
    ]
    return Ok(OpenedSession(Session(context, state), b"".join(parts)))


def _split_settings(settings: dict[str, str]) -> tuple[dict[str, str], dict[str, str]]:
    """Return the proxy's own settings and the others."""
    own = {name: value for name, value in settings.items() if name.startswith(SESSION_PREFIX)}
    others = {name: value for name, value in settings.items() if name not in own}
    return own, others


def _apply_own_settings(local: LocalCommands, settings: dict[str, str]) -> Failure | None:
    for name, value in settings.items():
        failure = local.apply_setting(name, value)
        if failure is not None:
            return failure
    return None

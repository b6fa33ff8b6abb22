"""Commands that the proxy executes itself: its own settings, DEALLOCATE, DISCARD."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from result import Err

from limedyke.core.sessions.batch import CONFIGURATION_LIMIT, UNKNOWN_STATEMENT, BatchError
from limedyke.core.sessions.client_exchange import Moment
from limedyke.core.sessions.session_context import REPORTED_SETTINGS, SessionContext
from limedyke.core.sessions.session_options import (
    BARRIER,
    DEFAULT_OPTIONS,
    INVALID_PARAMETER_VALUE,
    SESSION_NAME_SETTING,
    SESSION_TOKEN_SETTING,
    UNDEFINED_OBJECT,
    parse_flag,
    set_option,
    show_option,
)
from limedyke.core.sessions.session_state import SessionState
from limedyke.core.sql.statement import Effect, SessionChange, StatementProfile
from limedyke.core.sql.statement_commands import READ_ONLY_MODE
from limedyke.postgres.client_messages import (
    error_response,
    failure_response,
    notice_response,
    parameter_status,
)
from limedyke.result_codes import Failure, ResultCode

FAILED_TRANSACTION = "25P02"
ACTIVE_TRANSACTION = "25001"
NO_ACTIVE_TRANSACTION = "25P01"
MAXIMUM_SETTINGS_BYTES = 65_536
TRANSACTION_ENDS = (Effect.COMMIT, Effect.ROLLBACK)


class LocalCommands:
    """Executes the local commands of one batch.

    :ivar notices: NoticeResponse messages to send before the answer
    :ivar statuses: ParameterStatus messages to send before ReadyForQuery
    """

    __slots__ = ("_context", "_moment", "_state", "notices", "statuses")

    def __init__(self, context: SessionContext, state: SessionState, moment: Moment) -> None:
        self._context = context
        self._state = state
        self._moment = moment
        self.notices = b""
        self.statuses = b""

    def admit(
        self, profile: StatementProfile, opens: Callable[[], bool] | None = None
    ) -> StatementProfile:
        """Return the profile that applies in the current transaction state.

        The proxy itself answers COMMIT and ROLLBACK when the transaction is lost or none is
        open.  In a lost transaction it rejects every other statement.

        :param opens: tells whether the batch itself opens a transaction, which a COMMIT or
            ROLLBACK in the batch may then end
        """
        state = self._state
        if profile.changes:
            self._check_size(profile)
        if state.is_in_transaction and not state.transaction_lost:
            self._check_read_only(profile)
            return profile
        effects = [change.effect for _, change in profile.changes]
        ends = profile.statements == 1 and len(effects) == 1 and effects[0] in TRANSACTION_ENDS
        if ends and not state.transaction_lost and opens is not None and opens():
            return profile
        if ends:
            command = "ROLLBACK" if state.transaction_lost else effects[0].name
            changes = ((0, SessionChange(Effect.ROLLBACK)),)
            return replace(profile, changes=changes, local=True, command=command)
        if not state.transaction_lost:
            return profile
        message = "current transaction is aborted, commands ignored until end of transaction block"
        raise BatchError(error_response(FAILED_TRANSACTION, message))

    def _check_size(self, profile: StatementProfile) -> None:
        """Reject settings that would make the session too large to store and to replay."""
        added = sum(
            len(change.name) + len(change.value)
            for _, change in profile.changes
            if change.effect is Effect.SET
        )
        if added and added + self._state.settings.size > MAXIMUM_SETTINGS_BYTES:
            message = f"settings of the session above {MAXIMUM_SETTINGS_BYTES} bytes"
            raise BatchError(error_response(CONFIGURATION_LIMIT, message))

    def _check_read_only(self, profile: StatementProfile) -> None:
        """Reject making a transaction writable after it was routed as read-only."""
        if not self._state.read_only:
            return
        if any(change.name == READ_ONLY_MODE for _, change in profile.changes):
            detail = "Not supported: making a read-only transaction writable."
            failure = Failure(ResultCode.FEATURE_NOT_SUPPORTED, detail)
            raise BatchError(failure_response(failure))

    def run(self, change: SessionChange) -> str:
        """Execute a command and return the value to show.

        :raises BatchError: when the command fails
        """
        match change.effect:
            case Effect.SET | Effect.RESET:
                self._set(change.name, change.value)
            case Effect.SHOW:
                return self._show(change.name)
            case Effect.DISCARD_ALL:
                self._discard_all()
            case Effect.DEALLOCATE:
                self._deallocate(change.name)
            case Effect.DEALLOCATE_ALL:
                self._state.names.named.clear()
            case Effect.ROLLBACK:
                self._end_transaction()
        return ""

    def apply_setting(self, name: str, value: str) -> Failure | None:
        """Apply one of the proxy's own settings; return the failure if a token is rejected.

        :raises BatchError: for any other invalid value
        """
        if name == SESSION_TOKEN_SETTING:
            return self._apply_token(value)
        if name == BARRIER:
            self._set_barrier(value)
            return None
        result = set_option(self._state.options, name, value)
        if isinstance(result, Err):
            error = result.err_value
            raise BatchError(error_response(error.sqlstate, error.reason))
        self._state.options = result.ok_value
        return None

    def token_status(self) -> bytes:
        """Return the ParameterStatus with the session token; empty if no key is declared."""
        token = self._token()
        return parameter_status(SESSION_TOKEN_SETTING, token) if token else b""

    def _end_transaction(self) -> None:
        if not self._state.is_in_transaction:
            message = "there is no transaction in progress"
            self.notices += notice_response(NO_ACTIVE_TRANSACTION, message)
        self._state.end_transaction()

    def _set(self, name: str, value: str) -> None:
        failure = self.apply_setting(name, value)
        if failure is not None:
            raise BatchError(failure_response(failure))
        if name == SESSION_NAME_SETTING and value:
            self._state.position.barrier = True
        if name in (SESSION_TOKEN_SETTING, SESSION_NAME_SETTING, BARRIER):
            self.statuses += self.token_status()

    def _apply_token(self, token: str) -> Failure | None:
        if not token:
            return None
        state = self._state
        claim = self._context.authority.check(token, state.owner, self._moment.unix_s)
        if isinstance(claim, Err):
            return claim.err_value
        state.position.merge_claim(claim.ok_value)
        return None

    def _set_barrier(self, value: str) -> None:
        flag = parse_flag(value.strip().lower())
        if flag is None:
            reason = f'invalid value for "{BARRIER}": expected on or off'
            raise BatchError(error_response(INVALID_PARAMETER_VALUE, reason))
        if flag:
            self._state.position.barrier = True

    def _show(self, name: str) -> str:
        if name == SESSION_TOKEN_SETTING:
            return self._token()
        if name == BARRIER:
            return "on" if self._state.position.barrier else "off"
        value = show_option(self._state.options, name)
        if value is None:
            reason = f'unrecognized configuration parameter "{name}"'
            raise BatchError(error_response(UNDEFINED_OBJECT, reason))
        return value

    def _token(self) -> str:
        state = self._state
        claim = state.position.claim()
        return self._context.authority.issue(state.owner, claim, self._moment.unix_s)

    def _discard_all(self) -> None:
        state = self._state
        if state.is_in_transaction:
            message = "DISCARD ALL cannot run inside a transaction block"
            raise BatchError(error_response(ACTIVE_TRANSACTION, message))
        before = {name: state.settings.get(name) for name in REPORTED_SETTINGS}
        state.settings.apply(SessionChange(Effect.DISCARD_ALL))
        state.settings.commit()
        state.names.named.clear()
        state.names.unnamed = None
        state.options = replace(DEFAULT_OPTIONS, name=state.options.name)
        for name, (shown, default) in REPORTED_SETTINGS.items():
            value = state.settings.get(name)
            if value != before[name]:
                self.statuses += parameter_status(shown, default if value is None else value)

    def _deallocate(self, name: str) -> None:
        if self._state.names.named.pop(name.encode(), None) is None:
            message = f'prepared statement "{name}" does not exist'
            raise BatchError(error_response(UNKNOWN_STATEMENT, message))

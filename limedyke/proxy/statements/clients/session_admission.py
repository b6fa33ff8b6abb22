"""Decides who may open a session, and for which tenant it runs."""

from __future__ import annotations

from typing import Protocol

from result import Err, Ok, Result

from limedyke.core.access_keys import access_key_digest
from limedyke.core.statements.session import StatementSession, refusal
from limedyke.messages.statements import StatementAnswer
from limedyke.proxy.control.view import ControlView
from limedyke.proxy.statements.clients.client_codec import SessionRequested
from limedyke.proxy.statements.groups import StatementGroups
from limedyke.result_codes import ResultCode

FIRST_VIEW_TIMEOUT_S = 1.5
"""Seconds a client waits for the proxy's first control view. Until then the proxy can't know
whether a database exists."""
CONFIRM_LIMIT_S = 0.5
"""Timeout, in seconds, for asking the controllers whether an unknown key or database is newer than
the view: a round trip across two regions takes 0.18 s, and a loaded machine pauses for 0.1 s."""
UNCONFIRMED_RETRY_AFTER_MS = 500


class ViewConfirmation(Protocol):
    """The part of the control client that is used here."""

    async def confirm_view(self, limit_s: float) -> bool:
        """Wait until the view includes everything in the leader's state at the time of the call."""


class SessionAdmission:
    """Admits sessions according to the current control view.

    :param groups: hold the view and the access keys
    :param control: asks the controllers about keys and databases missing from the view
    """

    def __init__(self, groups: StatementGroups, control: ViewConfirmation) -> None:
        self._groups = groups
        self._control = control

    async def open(self, request: SessionRequested) -> Result[StatementSession, StatementAnswer]:
        """Return a new session, or the refusal."""
        view = await self._groups.wait_for_view(FIRST_VIEW_TIMEOUT_S)
        if view is None:
            detail = "no control view has been received yet"
            return Err(refusal(ResultCode.NO_MEMBER, detail, UNCONFIRMED_RETRY_AFTER_MS))
        key = access_key_digest(request.access_key)
        opened = self._open(view, request.database, key)
        if isinstance(opened, Ok):
            return opened
        if not await self._control.confirm_view(CONFIRM_LIMIT_S):
            detail = "the controllers can't be asked about an unknown database or key"
            return Err(refusal(ResultCode.NO_MEMBER, detail, UNCONFIRMED_RETRY_AFTER_MS))
        return self._open(self._groups.view, request.database, key)

    def renew(self, session: StatementSession) -> StatementAnswer | None:
        """Update a session to the newest declaration between two operations.

        :returns: the refusal if the session can't continue, else None
        """
        renewed = self._open(self._groups.view, session.database.name, session.access_key)
        if isinstance(renewed, Err):
            return renewed.err_value
        session.database = renewed.ok_value.database
        session.tenant = renewed.ok_value.tenant
        return None

    def _open(
        self, view: ControlView, name: str, key: bytes
    ) -> Result[StatementSession, StatementAnswer]:
        database = view.databases.get(name)
        if database is None:
            return Err(refusal(ResultCode.UNKNOWN_DATABASE, name))
        if database.is_public:
            return Ok(StatementSession(database, access_key=key))
        tenant = self._groups.access_keys.tenant_of(key)
        if tenant is None:
            return Err(refusal(ResultCode.ACCESS_KEY_UNKNOWN))
        return Ok(StatementSession(database, tenant=tenant, access_key=key))

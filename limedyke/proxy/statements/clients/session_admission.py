"""Who may open a session, and on whose behalf it runs from one operation to the next."""

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

FIRST_VIEW_WAIT_S = 1.5
"""A client that comes before the proxy knows any database waits so long; to say that there is no
such database would be untrue."""
CONFIRM_LIMIT_S = 0.5
"""So long the controllers are asked whether an unknown key or database is newer than the view: a
round trip over two regions takes 0.18 s, and a loaded machine pauses for 0.1 s."""
UNCONFIRMED_RETRY_MS = 500


class ViewConfirmation(Protocol):
    """The control client, as far as it is needed here."""

    async def confirm_view(self, limit_s: float) -> bool:
        """Wait until all that the leader's state held at this moment is in force."""


class SessionAdmission:
    """Admits sessions by the view in force.

    :param groups: hold the view and the access keys
    :param control: asks the controllers about what the view does not hold
    """

    def __init__(self, groups: StatementGroups, control: ViewConfirmation) -> None:
        self._groups = groups
        self._control = control

    async def open(self, request: SessionRequested) -> Result[StatementSession, StatementAnswer]:
        """Return a new session, or why none is opened."""
        view = await self._groups.wait_for_view(FIRST_VIEW_WAIT_S)
        if view is None:
            detail = "no controller has told the state yet"
            return Err(refusal(ResultCode.NO_MEMBER, detail, UNCONFIRMED_RETRY_MS))
        key = access_key_digest(request.access_key)
        opened = self._open(view, request.database, key)
        if isinstance(opened, Ok):
            return opened
        if not await self._control.confirm_view(CONFIRM_LIMIT_S):
            detail = "the controllers can't be asked about an unknown database or key"
            return Err(refusal(ResultCode.NO_MEMBER, detail, UNCONFIRMED_RETRY_MS))
        return self._open(self._groups.view, request.database, key)

    def renew(self, session: StatementSession) -> StatementAnswer | None:
        """Take the newest declaration into a session between two operations.

        :returns: why it can't go on, if so
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

"""Logins and access rights of the applied declaration."""

from __future__ import annotations

from limedyke.messages.declaration import Tenant
from limedyke.postgres.client_authentication import Verifier, parse_verifier
from limedyke.proxy.control.view import ControlView


class LoginDirectory:
    """Logins and access rights, rebuilt when a newer view is applied."""

    def __init__(self) -> None:
        self._verifiers: dict[tuple[str, str], str] = {}
        self._access: frozenset[tuple[str, str]] = frozenset()
        self._tenants: dict[str, Tenant] = {}

    def update(self, view: ControlView) -> bool:
        """Apply a view; return whether it revokes any login or access right."""
        verifiers = {
            (tenant.name, user.name): user.verifier
            for tenant in view.tenants.values()
            for user in tenant.users
        }
        access = frozenset(
            (entry.tenant, group.name) for group in view.groups.values() for entry in group.access
        )
        revoked = bool(self._access - access) or bool(self._verifiers.keys() - verifiers.keys())
        self._verifiers = verifiers
        self._access = access
        self._tenants = dict(view.tenants)
        return revoked

    def find_tenant(self, name: str) -> Tenant | None:
        """Return a declared tenant."""
        return self._tenants.get(name)

    def is_allowed(self, tenant: str, group: str, user: str) -> bool:
        """Return whether a user is declared and its tenant may use the group."""
        return (tenant, user) in self._verifiers and (tenant, group) in self._access

    def find_verifier(self, tenant: str, group: str, user: str) -> Verifier | None:
        """Return the SCRAM verifier of a login; None if tenant, group or user is not declared."""
        if not self.is_allowed(tenant, group, user):
            return None
        return parse_verifier(self._verifiers[(tenant, user)])

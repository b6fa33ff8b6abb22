"""SCRAM-SHA-256 authentication of clients, using scramp."""

from __future__ import annotations

from pathlib import Path

import yaml
from scramp import ScramMechanism

MECHANISM = "SCRAM-SHA-256"
ADMIN_USER = "lab_admin"
"""Superuser: exempt from the connection limit and slots, and allowed to set switches."""

PROMOTER_USER = "limedyke_admin"
"""User allowed to call group_promise and group_promote, besides the superuser."""

_mechanism = ScramMechanism(MECHANISM)


class Credentials:
    """Users and the SCRAM keys derived from their passwords."""

    def __init__(self, passwords: dict[str, str]) -> None:
        self._keys = {
            user: _mechanism.make_auth_info(str(password)) for user, password in passwords.items()
        }

    @classmethod
    def load(cls, path: str | None) -> Credentials:
        """Read a YAML map of user to password; without a file: lab_admin with password 'lab'."""
        if path is None:
            return cls({ADMIN_USER: "lab"})
        return cls(yaml.safe_load(Path(path).read_text()) or {})

    def scram_server(self, user: str):
        """Return a scramp server for the user named in the startup packet.

        libpq sends an empty user name inside SCRAM, so that name is not used.
        """

        def keys(_name: str):
            return self._keys[user]

        return _mechanism.make_server(keys)

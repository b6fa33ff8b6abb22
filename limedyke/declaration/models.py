"""Pydantic models of the items in operators' YAML; each item is validated on its own."""

from __future__ import annotations

import base64
import binascii
import ipaddress
from typing import Annotated

from pydantic import AfterValidator, Field, field_validator

from limedyke.messages.declaration import Priority, PromotionMode
from limedyke.settings.base import Address, Model

MAXIMUM_MEMBERS = 7
MINIMUM_SCRAM_ITERATIONS = 4_096
SCRAM_KEY_BYTES = 32
LARGEST_NUMBER = 2**31 - 1
LONGEST_OPERATION_WAIT_MS = 1_500
"""Longest time that an operation may wait for a rate-limit token; the limiter does not promise
tokens further ahead."""

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Count = Annotated[int, Field(ge=1, le=LARGEST_NUMBER)]


def check_verifier(value: str) -> str:
    """Return ``value`` if it is a SCRAM-SHA-256 verifier in PostgreSQL's format.

    :raises ValueError: when it is malformed or has too few iterations
    """
    form = "expected SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>"
    try:
        mechanism, salted, keys = value.split("$")
        iterations, salt = salted.split(":")
        stored_key, server_key = keys.split(":")
        parts = (salt, stored_key, server_key)
        decoded = [base64.b64decode(part, validate=True) for part in parts]
        count = int(iterations)
    except (ValueError, binascii.Error):
        raise ValueError(form) from None
    if mechanism != "SCRAM-SHA-256" or not decoded[0]:
        raise ValueError(form)
    if any(len(key) != SCRAM_KEY_BYTES for key in decoded[1:]):
        raise ValueError(form)
    if count < MINIMUM_SCRAM_ITERATIONS:
        raise ValueError(f"at least {MINIMUM_SCRAM_ITERATIONS} iterations are needed")
    return value


def check_member_address(value: str) -> str:
    """Return ``value`` if its port is not 0 and its IP address is that of a single host.

    :raises ValueError: otherwise
    """
    host, _, port = value.rpartition(":")
    if int(port) == 0:
        raise ValueError("the port must not be 0")
    ip = ipaddress.ip_address(host.strip("[]"))
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError("the address must name one host")
    return value


class UserModel(Model):
    """A login; the password is given only as a SCRAM verifier (see ``limedyke verifier``)."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_][A-Za-z0-9_.@-]{0,62}$")]
    verifier: Annotated[str, AfterValidator(check_verifier)]


class TenantModel(Model):
    """A tenant."""

    name: Name
    users: tuple[UserModel, ...] = Field(min_length=1)
    max_staleness_ms: int = Field(default=0, ge=0, le=LARGEST_NUMBER)
    client_limit: Count = 10_000
    priority: str = "interactive"
    operations_per_minute: int = Field(default=0, ge=0, le=LARGEST_NUMBER)
    operation_burst: int = Field(default=0, ge=0, le=LARGEST_NUMBER)
    operation_urgent_percent: int = Field(default=0, ge=0, le=100)
    operation_wait_ms: int = Field(default=0, ge=0, le=LONGEST_OPERATION_WAIT_MS)

    @field_validator("priority")
    @classmethod
    def _known_priority(cls, value: str) -> str:
        names = [priority.name.lower() for priority in Priority]
        if value not in names:
            raise ValueError(f"expected one of {', '.join(names)}")
        return value


class MemberModel(Model):
    """A member of a group: one PostgreSQL server."""

    name: Name
    address: Annotated[Address, AfterValidator(check_member_address)]
    zone: Annotated[str, Field(min_length=1, max_length=63)]
    leaving: bool = False


class AccessModel(Model):
    """A tenant's access to a group: database, backend user and connection budget."""

    tenant: Name
    database: Annotated[str, Field(min_length=1, max_length=63)]
    backend_user: Annotated[str, Field(min_length=1, max_length=63)]
    secret: Annotated[str, Field(min_length=1)]
    connection_budget: Count
    weight: Annotated[int, Field(ge=1, le=1_000)] = 1


class GroupModel(Model):
    """A database group."""

    name: Name
    members: tuple[MemberModel, ...] = Field(min_length=1, max_length=MAXIMUM_MEMBERS)
    connection_limit: Count
    slots: Count
    access: tuple[AccessModel, ...] = ()
    admin_secret: Annotated[str, Field(min_length=1)]
    promotion: PromotionMode = PromotionMode.CONTROLLERS


class TokenKeyModel(Model):
    """A session-token signing key; the newest key signs new tokens."""

    key_id: Annotated[int, Field(ge=1, le=LARGEST_NUMBER)]
    secret: Annotated[str, Field(min_length=1)]


class ProxyModel(Model):
    """The declared state of a proxy."""

    name: Name
    draining: bool = False

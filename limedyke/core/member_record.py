"""Validation of the record of an announced member; sans-IO.

Records come from members themselves and may have been written by a version with fewer checks.
"""

from __future__ import annotations

import re
from functools import lru_cache

from limedyke.addresses import check_address, split_address
from limedyke.messages.databases import AnnouncedMember, MemberState

NAME = re.compile(r"[^\s\x00-\x1f\x7f]{1,200}")
"""Identities and groups are fields of the members' protocol, where a blank or a line end would
start another field; the length is far above any in use."""


@lru_cache(maxsize=16_384)
def is_name(text: str) -> bool:
    """Return whether a text can be an identity or the name of a group."""
    return NAME.fullmatch(text) is not None


@lru_cache(maxsize=16_384)
def is_member_address(text: str) -> bool:
    """Return whether a text is an address to connect to: a numeric IP and a port."""
    try:
        _, port = split_address(check_address(text))
    except ValueError:
        return False
    return port > 0


def invalid_field(member: AnnouncedMember) -> str:
    """Return the name of the first invalid field of a record; empty if the record is usable."""
    if not is_name(member.identity):
        return "identity"
    if not is_name(member.group):
        return "group"
    if not is_member_address(member.address):
        return "address"
    if member.state is MemberState.UNKNOWN:
        return "state"
    return ""

"""Whether the record of an announced member can be used; sans-IO.

Records come from members themselves, and may have been written by a version that checked less.
"""

from __future__ import annotations

import re
from functools import lru_cache

from limedyke.addresses import check_address, split_address
from limedyke.messages.databases import AnnouncedMember, MemberState

NAME = re.compile(r"[^\s\x00-\x1f\x7f]{1,200}")
"""Identities and groups are fields of the protocol that members speak, where a blank or the end of
a line would begin another field; the length is far above any that was seen."""


@lru_cache(maxsize=16_384)
def is_name(text: str) -> bool:
    """Tell whether a text can be an identity or the name of a group."""
    return NAME.fullmatch(text) is not None


@lru_cache(maxsize=16_384)
def is_member_address(text: str) -> bool:
    """Tell whether a text is an address that can be connected to: a numeric IP and a port."""
    try:
        _, port = split_address(check_address(text))
    except ValueError:
        return False
    return port > 0


def invalid_field(member: AnnouncedMember) -> str:
    """Return why a record names no member to use; empty when it does."""
    if not is_name(member.identity):
        return "identity"
    if not is_name(member.group):
        return "group"
    if not is_member_address(member.address):
        return "address"
    if member.state is MemberState.UNKNOWN:
        return "state"
    return ""

"""Steps that disable a safeguard of the session tokens, and attack what it protects."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from unittest import mock

from behave import when
from behave.runner import Context

from features.support.session_exchange import KEYS, START
from features.support.session_roaming import FOREIGN, OWNER, open_elsewhere
from limedyke.core.sessions import session_opening
from limedyke.core.sessions.session_position import SessionPosition
from limedyke.core.sessions.session_token import TokenAuthority, TokenClaim, TokenOwner
from limedyke.messages.work import LogPosition


def _accept_any_mac(authority: TokenAuthority, key_id: int, fields: bytes) -> bytes:
    return b"\0" * 32


def _ignore_unknown_write(position: SessionPosition) -> bool:
    return False


def _overwrite_required(position: SessionPosition, claim: TokenClaim) -> None:
    position.required = claim.position


def _binds_nothing(state: object, running: object, end: object) -> bool:
    """Treat a batch with a rollback as if it wrote nothing."""
    return False


SAFEGUARDS: dict[str, Callable[[], AbstractContextManager]] = {
    "signature": lambda: mock.patch.object(TokenAuthority, "_mac", _accept_any_mac),
    "owner": lambda: mock.patch.object(TokenOwner, "digest", lambda owner: b"x" * 16),
    "never back": lambda: mock.patch.object(SessionPosition, "merge_claim", _overwrite_required),
    "barrier by name": lambda: mock.patch.object(session_opening, "SESSION_NAME_SETTING", "off"),
    "barrier on loss": lambda: mock.patch.object(
        SessionPosition, "record_unknown_write", _ignore_unknown_write
    ),
    "write behind rollback": lambda: mock.patch(
        "limedyke.core.units.unit_answer.binds_position", _binds_nothing
    ),
}


@when('session: the safeguard "{safeguard}" is off')
def when_safeguard_off(context: Context, safeguard: str) -> None:
    patch = SAFEGUARDS[safeguard]()
    patch.start()
    context.add_cleanup(patch.stop)
    # The token of the Background was issued before the safeguard was disabled.
    context.token = TokenAuthority(KEYS).issue(OWNER, TokenClaim(context.written), START.unix_s)


@when("session: it is exposed to {attack}")
def when_attacked(context: Context, attack: str) -> None:
    low = TokenClaim(LogPosition(3, 1))
    match attack:
        case "a token with a lower position":
            forged = TokenAuthority({2: b"made up"}).issue(OWNER, low, START.unix_s)
            open_elsewhere(context, {"limedyke.session": forged})
        case "a token of another tenant":
            other = FOREIGN["another tenant's"]
            foreign = TokenAuthority(KEYS).issue(other, low, START.unix_s)
            open_elsewhere(context, {"limedyke.session": foreign})
        case "an older token by SET":
            older = TokenAuthority(KEYS).issue(OWNER, low, START.unix_s)
            context.here.send(f"Q set limedyke.session = '{older}'")
            context.there = context.here
        case "a name without a token":
            open_elsewhere(context, {"limedyke.session_name": "s17"})
        case "a lost write":
            context.here.send("Q delete refuse(3001)")
            context.written = LogPosition(context.written.term, context.written.position + 1)
            context.there = context.here
        case "a write behind a rollback":
            context.here.send("Q begin")
            context.here.send("Q rollback; insert into b values (1)")
            context.written = context.here.back_end.position
            context.there = context.here

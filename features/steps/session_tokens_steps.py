"""Steps for session tokens: roaming, forgery, key rotation and the required position."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features.support.session_exchange import KEYS, START, SessionExchange
from features.support.session_roaming import FOREIGN, OWNER, open_elsewhere
from features.support.wire_client import Refusal
from limedyke.core.sessions.session_token import (
    TOKEN_LIFETIME_S,
    TokenAuthority,
    TokenClaim,
)
from limedyke.messages.work import LogPosition, WorkUnit

BYTES = KEYS | {3: b"third key"}
HEADER_BYTES = 5


def _authority(key_ids: str) -> TokenAuthority:
    keys = {}
    for word in key_ids.split(" "):
        key_id = int(word[0])
        keys[key_id] = b"other bytes" if word.endswith("bad") else BYTES[key_id]
    return TokenAuthority(keys)


def _next_read(exchange: SessionExchange) -> WorkUnit:
    exchange.send("Q select 1")
    return exchange.units[-1]


def _reaches(unit: WorkUnit, written: LogPosition) -> bool:
    return unit.barrier or unit.required.satisfies(written)


@given("session: a session at one proxy that has written")
def given_written(context: Context) -> None:
    context.here = SessionExchange(context.folder)
    context.here.send("Q insert into a values (1)")
    context.token = context.here.token
    context.written = context.here.session.state.position.required
    assert context.token
    assert context.written != LogPosition()
    context.there = context.here


@given("session: the token is kept")
def given_kept(context: Context) -> None:
    context.kept = context.token


@when("session: it sends {notation}")
def when_sends(context: Context, notation: str) -> None:
    context.here.send(notation)
    context.token = context.here.token
    context.written = max(context.written, context.here.session.state.position.required)


@when("session: it roams to another proxy by {way}")
def when_roams(context: Context, way: str) -> None:
    _roam(context, context.token, way)


def _roam(context: Context, token: str, way: str) -> None:
    if way == "startup option":
        open_elsewhere(context, {"limedyke.session": token})
        return
    open_elsewhere(context, {})
    context.there.send(f"Q set limedyke.session = '{token}'")


@when("session: it takes the kept token by SET")
def when_takes_kept(context: Context) -> None:
    context.there = context.here
    answer = context.here.send(f"Q set limedyke.session = '{context.kept}'")
    assert answer.startswith("C:SET"), answer


@when("session: a session named {name} connects without a token")
def when_named(context: Context, name: str) -> None:
    open_elsewhere(context, {"limedyke.session_name": name})


@when("session: a session connects with the setting {setting}")
def when_with_setting(context: Context, setting: str) -> None:
    open_elsewhere(context, dict([setting.split("=")]))


@when("session: it has read once")
def when_read_once(context: Context) -> None:
    _next_read(context.there)


@when("session: it roams with a token that is {fault} by {way}")
def when_faulty(context: Context, fault: str, way: str) -> None:
    context.refusals = set()
    for token in _faulty_tokens(context.token, fault):
        _roam(context, token, way)
        context.refusals.add(_refusal_of(context.there))


def _faulty_tokens(token: str, fault: str) -> list[str]:
    claim = TokenClaim(LogPosition(3, 101))
    now = START.unix_s
    authority = TokenAuthority(KEYS)
    if fault in FOREIGN:
        return [authority.issue(FOREIGN[fault], claim, now)]
    match fault:
        case "changed in any one bit":
            return [_with_other_character(token, index) for index in range(len(token))]
        case "cut short":
            return [token[:-1], token[:-4], token[:40]]
        case "one character longer":
            return [token + "A", token + "="]
        case "no token at all":
            return ["hello", "A" * len(token)]
        case "not in ASCII":
            return ["ü" * len(token)]
        case "signed with another key":
            return [TokenAuthority({2: b"a key made up"}).issue(OWNER, claim, now)]
        case "from the future":
            return [authority.issue(OWNER, claim, now + 3_600)]
        case "older than a day":
            return [authority.issue(OWNER, claim, now - TOKEN_LIFETIME_S - 1)]
        case "signed with a withdrawn key":
            return [TokenAuthority(BYTES).issue(OWNER, claim, now)]
    raise AssertionError(fault)


def _with_other_character(token: str, index: int) -> str:
    other = "A" if token[index] != "A" else "B"
    return token[:index] + other + token[index + 1 :]


def _refusal_of(exchange: SessionExchange) -> tuple[str, str] | None:
    """Return SQLSTATE and code of the rejecting ErrorResponse, or None."""
    data = exchange.refusal or exchange.answer
    if data[:1] != b"E":
        return None
    refusal = Refusal.parse(data[HEADER_BYTES:])
    return refusal.sqlstate, refusal.label


@then("session: it is refused with {sqlstate} and {code}")
def then_refused(context: Context, sqlstate: str, code: str) -> None:
    # A changed bit may also yield an unused key id or an expired time, hence the other code.
    found = context.refusals
    allowed = {(sqlstate, code)}
    if code == "LD2001" and len(found) > 1:
        allowed.add((sqlstate, "LD2003"))
    assert None not in found, found
    assert (sqlstate, code) in found, found
    assert found <= allowed, found


@when("session: a token made with the keys {made} is checked by a proxy with the keys {there}")
def when_rotated(context: Context, made: str, there: str) -> None:
    token = _authority(made).issue(OWNER, TokenClaim(context.written), START.unix_s)
    context.checked = _authority(there).check(token, OWNER, START.unix_s)


@then("session: it is {outcome:w}")
def then_outcome(context: Context, outcome: str) -> None:
    found = "accepted" if context.checked.is_ok() else "refused"
    assert found == outcome, context.checked


@then("session: a proxy with the keys {key_ids} signs with key {key_id:d}")
def then_signs_with(context: Context, key_ids: str, key_id: int) -> None:
    token = _authority(key_ids).issue(OWNER, TokenClaim(context.written), START.unix_s)
    only_that_key = TokenAuthority({key_id: BYTES[key_id]})
    assert only_that_key.check(token, OWNER, START.unix_s).is_ok()


@when("session: it roams to a proxy without keys")
def when_without_keys(context: Context) -> None:
    open_elsewhere(context, {}, {})
    assert b"limedyke.session" not in context.there.answer
    open_elsewhere(context, {"limedyke.session": context.token}, {})
    context.refusals = {_refusal_of(context.there)}


@then("session: its next read must see its write")
def then_must_reach(context: Context) -> None:
    unit = _next_read(context.there)
    assert _reaches(unit, context.written), unit


@then("session: its next read need not see its write")
def then_need_not_reach(context: Context) -> None:
    unit = _next_read(context.there)
    assert not _reaches(unit, context.written), unit


@then("session: its next read has a barrier")
def then_barrier(context: Context) -> None:
    assert _next_read(context.there).barrier


@then("session: its next read has no barrier")
def then_no_barrier(context: Context) -> None:
    unit = _next_read(context.there)
    assert not unit.barrier
    assert unit.required == context.there.back_end.position, unit


@then("session: it is refused, or its next read must see its write")
def then_harmless(context: Context) -> None:
    if _refusal_of(context.there) is None:
        then_must_reach(context)


@when("session: a new session sends {notation}")
def when_new_sends(context: Context, notation: str) -> None:
    context.there = SessionExchange(context.folder)
    context.there.send(notation)


@then("session: its required position {moves}")
def then_moves(context: Context, moves: str) -> None:
    position = context.there.session.state.position
    found = "stays" if position.required == LogPosition() else "moves"
    if position.barrier:
        found = "barrier"
    assert found == moves, position.required

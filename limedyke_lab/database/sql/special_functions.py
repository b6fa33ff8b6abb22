"""Functions that wait or change the member, called as ``SELECT function(arguments)``."""

from __future__ import annotations

from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.postgres import wire
from limedyke_lab.database.postgres.authentication import ADMIN_USER, PROMOTER_USER
from limedyke_lab.database.replication import promotion
from limedyke_lab.database.sql.sql_text import FunctionCall, Parameter
from limedyke_lab.database.waits import FairLock, Outcome, Waiter

_Value = tuple[object, int]
_VOID: _Value = ("", wire.OID_TEXT)


async def call_special(session, call: FunctionCall, parameters: tuple) -> _Value:
    """Call a special function; returns its value and type OID."""
    arguments = [
        parameters[item.number - 1] if isinstance(item, Parameter) else item
        for item in call.arguments
    ]
    try:
        return await _FUNCTIONS[call.name](session, *arguments)
    except TypeError as error:
        raise SqlError("42883", f"function {call.name} does not take these arguments") from error


def _integer(value: object) -> int:
    try:
        return int(value)
    except (TypeError, ValueError) as error:
        raise SqlError("22P02", f"invalid integer: {value!r}") from error


def _require(session, *users: str) -> None:
    if session.user not in users:
        raise SqlError("42501", "permission denied for this function")


async def _group_promise(session, term, promoter="") -> _Value:
    _require(session, ADMIN_USER, PROMOTER_USER)
    answer = promotion.promise(session.member, _integer(term), str(promoter))
    await session.member.notify_leadership_ended()
    return answer, wire.OID_TEXT


async def _group_promote(session, term) -> _Value:
    _require(session, ADMIN_USER, PROMOTER_USER)
    return await promotion.promote(session.member, _integer(term), session), wire.OID_TEXT


async def _lab_set(session, name, value) -> _Value:
    _require(session, ADMIN_USER)
    await session.server.set_switch(str(name), str(value))
    return str(value), wire.OID_TEXT


async def _lab_get(session, name) -> _Value:
    _require(session, ADMIN_USER)
    return session.member.switches.get(str(name)), wire.OID_TEXT


async def _lab_raise(_session, sqlstate, message="raised on request") -> _Value:
    raise SqlError(str(sqlstate), str(message))


async def _pg_sleep(session, seconds) -> _Value:
    await session.hold_slot(float(seconds))
    if session.member.history.enabled:
        session.write_history("read", f"SELECT pg_sleep({seconds})")
    return _VOID


def _lock_key(values: tuple[object, ...]) -> tuple[int, ...]:
    return tuple(_integer(value) for value in values)


async def _acquire(session, key: tuple[int, ...], of_transaction: bool, wait: bool) -> bool:
    """Take an advisory lock; its holder may take it again.

    :param of_transaction: whether to release it at the end of the transaction, not of the session
    :param wait: whether to wait while another session holds it
    :returns: whether the lock was taken
    """
    locks = session.member.advisory_locks
    lock = locks.setdefault(key, FairLock())
    if lock.owner is not session:
        if wait:
            await lock.acquire(session)
        elif not lock.try_acquire(session):
            return False
    if of_transaction and not session.transaction.explicit:
        await session.release_unheld_advisory_lock(key)
    else:
        session.advisory.append((key, of_transaction))
    return True


async def _advisory_lock(session, *key) -> _Value:
    await _acquire(session, _lock_key(key), of_transaction=False, wait=True)
    return _VOID


async def _advisory_xact_lock(session, *key) -> _Value:
    await _acquire(session, _lock_key(key), of_transaction=True, wait=True)
    return _VOID


async def _try_advisory_lock(session, *key) -> _Value:
    taken = await _acquire(session, _lock_key(key), of_transaction=False, wait=False)
    return taken, wire.OID_BOOL


async def _try_advisory_xact_lock(session, *key) -> _Value:
    taken = await _acquire(session, _lock_key(key), of_transaction=True, wait=False)
    return taken, wire.OID_BOOL


async def _advisory_unlock(session, *key) -> _Value:
    entry = (_lock_key(key), False)
    if entry not in session.advisory:
        return False, wire.OID_BOOL
    session.advisory.remove(entry)
    await session.release_unheld_advisory_lock(entry[0])
    return True, wire.OID_BOOL


async def _advisory_unlock_all(session) -> _Value:
    await session.release_advisory_locks(of_transaction=False)
    return _VOID


async def _cancel_backend(session, pid) -> _Value:
    target = session.member.sessions.get(_integer(pid))
    if target is None:
        return False, wire.OID_BOOL
    await target.cancel()
    return True, wire.OID_BOOL


async def _terminate_backend(session, pid) -> _Value:
    target = session.member.sessions.get(_integer(pid))
    if target is None:
        return False, wire.OID_BOOL
    message = "terminating connection due to administrator command"
    await target.terminate(SqlError("57P01", message, fatal=True))
    return True, wire.OID_BOOL


async def sleep(session, seconds: float) -> None:
    """Sleep; a cancel request or the end of the session interrupts it."""
    if seconds > 0:
        await session.wait(Waiter(), seconds)


_FUNCTIONS = {
    "group_promise": _group_promise,
    "group_promote": _group_promote,
    "lab_set": _lab_set,
    "lab_get": _lab_get,
    "lab_raise": _lab_raise,
    "pg_sleep": _pg_sleep,
    "pg_advisory_lock": _advisory_lock,
    "pg_advisory_xact_lock": _advisory_xact_lock,
    "pg_try_advisory_lock": _try_advisory_lock,
    "pg_try_advisory_xact_lock": _try_advisory_xact_lock,
    "pg_advisory_unlock": _advisory_unlock,
    "pg_advisory_unlock_all": _advisory_unlock_all,
    "pg_cancel_backend": _cancel_backend,
    "pg_terminate_backend": _terminate_backend,
}

__all__ = ["Outcome", "call_special", "sleep"]

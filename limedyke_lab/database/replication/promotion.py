"""Term promises and promotion, requested by a promoter through SQL."""

from __future__ import annotations

from limedyke.event_log import EventLog
from limedyke_lab.database.errors import SqlError
from limedyke_lab.database.member import Member, Role
from limedyke_lab.database.replication.positions import format_position
from limedyke_lab.database.replication.promise import Promise

INITIAL_TERM = 1

_events = EventLog("database")


def promise(member: Member, term: int, promoter: str) -> str:
    """Promise a term; returns ``last term,end of log``.

    The caller must call ``Member.notify_leadership_ended`` afterwards.
    """
    current = member.promise_file.current
    repeated = term == current.term and promoter == current.promoter and promoter != ""
    if member.switches.removed:
        raise SqlError("55000", "this member was removed from its group")
    if not repeated:
        if term <= current.term:
            detail = f"promised term {current.term}"
            raise SqlError("55000", f"term {term} is not above the promised term", detail)
        member.promise_file.store(Promise(term, promoter))
        member.stop_leading()
        member.role = Role.PROMISED
        _events.info("term.promised", member=member.name, term=term, promoter=promoter or "-")
    return f"{member.log.last_term},{format_position(member.log.end)}"


async def promote(member: Member, term: int, session) -> str:
    """Become primary in a promised term; returns once a majority stores its first record."""
    current = member.promise_file.current
    if current.term != term:
        detail = f"promised term {current.term}"
        raise SqlError("55000", f"term {term} was not promised here", detail)
    if member.role is Role.PROMISED and not current.primary:
        await member.lead(term, current.promoter)
    if member.role is Role.PROMOTING:
        await session.wait(member.open_waiter())
    if member.role is not Role.PRIMARY or member.promised_term != term:
        raise SqlError("55000", f"this member is not the primary of term {term}")
    return f"{member.log.last_term},{format_position(member.log.end)}"


async def start_initial_primary(member: Member) -> None:
    """Lead term 1 on a data folder that was empty at start."""
    if member.is_new and member.promised_term == 0:
        await member.lead(INITIAL_TERM, "initial")

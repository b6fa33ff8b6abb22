"""Mutants of the safeguards by which a member is read as the primary only while it leads."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from unittest import mock

import curio

from features.mutants.mutant import Mutant, is_caught
from features.support.announced_world import GROUP, STEP_S
from features.support.claims_world import EARLIER_TERM, STARTED_AT_MS, ClaimsWorld
from features.support.statement_path import StatementPath
from limedyke.core.control.announcements import AnnouncementTracker
from limedyke.core.control.events import AuthorityOutcome, PrimaryClaimed
from limedyke.core.control.primaries.authority_group_state import AuthorityGroupState, MemberReports
from limedyke.core.control.primaries.claim_round import ClaimQueries
from limedyke.core.control.primaries.promotion_calls import PromotionCalls
from limedyke.core.statements.member_roles import MemberRoles
from limedyke.messages.control import PrimaryClaim
from limedyke.messages.databases import Consistency
from limedyke.proxy.statements import hedged_read
from limedyke.proxy.statements.group import StatementGroup

SETTLED_S, SHORT_S = 1.0, 0.4
LAG_S = 1.5
CONNECTIONS = 4
EARLIER_ROUND = 1
BEFORE_S, AFTER_S = 10.0, 11.0


def _world_with_replaced_primary() -> ClaimsWorld:
    """Return a group whose former primary a is called again, and does not lead yet."""
    world = ClaimsWorld()
    world.silent.add("a")
    world.cut("a")
    world.replace_by("b")
    world.heal("a")
    world.run(SETTLED_S)
    world.cut("b")
    world.run_until_called("a")
    world.run(STEP_S)
    return world


def _records_by_log() -> bool:
    """Tell whether a member is recorded for what the log holds of an earlier time."""
    world = _world_with_replaced_primary()
    world.answer(AuthorityOutcome.PROMOTED)
    world.run(SHORT_S)
    return bool(world.primary)


def _records_by_late_announcement() -> bool:
    """Tell whether a member is recorded for an announcement that arrives after its call."""
    world = _world_with_replaced_primary()
    world.answer(AuthorityOutcome.PROMOTED)
    world.run(STEP_S)
    world.announce_late("a", "replica", "primary")
    world.run(SHORT_S)
    return bool(world.primary)


def _records_by_claim(round_id: int | None, term: int) -> bool:
    """Tell whether a member is recorded for a claim of a round (None: the present one) and term."""
    world = _world_with_replaced_primary()
    asked = world.round_ids["a"] if round_id is None else round_id
    claim = PrimaryClaim(GROUP, asked, "a", STARTED_AT_MS, term)
    world.post(PrimaryClaimed("p", claim))
    return bool(world.primary)


def _records_during_other_call(has_other_leader: bool = False) -> bool:
    """Tell whether a member is recorded while a call for another one may be carried out."""
    world = ClaimsWorld()
    world.silent.add("a")
    world.cut("a")
    world.run_until_called("b")
    world.answer(AuthorityOutcome.UNKNOWN)
    if has_other_leader:
        world.lead(heard=("b", "c"))
        world.report_positions()
    world.cut("b")
    world.run_until_called("c")
    world.lead_truly("c")
    world.run(SHORT_S)
    return bool(world.primary)


def _replaces_by_log() -> bool:
    """Tell whether a new leader replaces a primary for what earlier leaders were told."""
    world = ClaimsWorld()
    world.silent.add("a")
    world.cut("a")
    world.replace_by("b")
    world.heal("a")
    world.announce("b", "replica")
    world.silent |= set(world.members)
    world.lead(heard=())
    world.run(SHORT_S)
    return not world.primary


def _on_path(reads_wrongly: Callable[[StatementPath], Awaitable[bool]]) -> bool:
    """Run a history with a proxy's parts before stand-in members."""

    async def play() -> bool:
        path = StatementPath(Consistency.PRIMARY)
        path.group.lag_s = LAG_S
        await path.start(CONNECTIONS)
        try:
            return await reads_wrongly(path)
        finally:
            await path.stop()

    return curio.run(play)


async def _write_elsewhere(path: StatementPath, value: str) -> None:
    group = path.group
    await group.commit(group.primary, f"other-{value}", (("x", value),))


async def _reads_before_lead(path: StatementPath) -> bool:
    """Read after b is recorded, while a still leads."""
    client, _ = await path.connect()
    await client.ask("WRITE x 1")
    path.primary, path.term, path.fence = "b", path.term + 1, path.fence + 1
    await path.tell_view()
    await _write_elsewhere(path, "2")
    return "b" in await _readers(path, client)


async def _reads_after_denial(path: StatementPath) -> bool:
    """Read after a has refused a write, as c leads in its place."""
    client, _ = await path.connect()
    await client.ask("WRITE x 1")
    path.group.members["c"].faults.deaf = True
    path.group.promote("c")
    await client.ask("WRITE y 1")
    await _write_elsewhere(path, "2")
    return "a" in await _readers(path, client)


async def _delivers_outdated(path: StatementPath) -> bool:
    """Read after a commit was acknowledged and rolled back without the proxy's knowledge."""
    client, _ = await path.connect()
    await client.ask("WRITE x 1")
    path.group.members["c"].faults.deaf = True
    await client.ask("WRITE x 2")
    path.group.promote("c")
    await client.ask("READ x")
    return path.runs_of("READ x")[-1] == "a"


async def _readers(path: StatementPath, client: object) -> set[str]:
    """Return the members at which reads without a position ran."""
    for _ in range(CONNECTIONS):
        await client.ask("READ x")
    return set(path.runs_of("READ x"))


async def _writes_after_two_grants(path: StatementPath) -> bool:
    """Write after two grants, as the replaced primary still leads."""
    client, _ = await path.connect()
    await client.ask("WRITE x 1")
    path.primary = ""
    for _ in range(2):
        path.term, path.fence = path.term + 1, path.fence + 1
        await path.tell_view()
    await client.ask("WRITE x 2")
    await curio.sleep(SHORT_S)
    await client.ask("WRITE x 3")
    return bool(path.runs_of("WRITE x 2") or path.runs_of("WRITE x 3"))


def _believes_early_answer() -> bool:
    """Tell whether an answer to a question from before the record confirms it."""
    roles = MemberRoles()
    roles.primary_recorded("a", BEFORE_S)
    roles.claimed("a", BEFORE_S - 1.0)
    return roles.is_confirmed("a")


def _believes_answer_before_denial() -> bool:
    """Tell whether an answer to a question from before a denial takes that back."""
    roles = MemberRoles()
    roles.primary_recorded("a", BEFORE_S)
    roles.denied("a", AFTER_S, AFTER_S + 2.0)
    roles.claimed("a", AFTER_S + 1.0)
    return roles.is_confirmed("a")


def _claim_always(self: MemberRoles, member: str, asked_at: float) -> bool:
    del asked_at
    self._denying.discard(member)
    self._is_confirmed = member == self._primary
    return True


def _await_any_claim(self: AuthorityGroupState, claim: PrimaryClaim) -> bool:
    return claim.member == self.target


def _replaced_by_last_record(self: StatementGroup, granted: object) -> str:
    del granted
    return self.primary


def _mutant(name: str, safeguard: str, violates: Callable[[], bool], *patches: object) -> Mutant:
    return Mutant(name, safeguard, "a history of its own", lambda: is_caught(violates, *patches))


_BY_ANNOUNCEMENT = mock.patch.object(ClaimQueries, "only_earlier_versions", lambda *_: True)
_AT_ANY_TIME = mock.patch.object(AnnouncementTracker, "announced_since", lambda *_: True)

MUTANTS = (
    _mutant(
        "a member is recorded for what it announced before its call",
        "ClaimQueries",
        _records_by_log,
        _BY_ANNOUNCEMENT,
        _AT_ANY_TIME,
    ),
    _mutant(
        "a member is recorded for an announcement that arrives after its call",
        "ClaimQueries",
        _records_by_late_announcement,
        _BY_ANNOUNCEMENT,
    ),
    _mutant(
        "a claim of an earlier round counts",
        "AuthorityGroupState.awaits_claim",
        lambda: _records_by_claim(EARLIER_ROUND, term=9),
        mock.patch.object(AuthorityGroupState, "awaits_claim", _await_any_claim),
    ),
    _mutant(
        "a claim to lead an earlier term counts",
        "MemberReports.newest_term",
        lambda: _records_by_claim(None, EARLIER_TERM),
        mock.patch.object(MemberReports, "newest_term", lambda _: 0),
    ),
    _mutant(
        "a member is recorded while a call for another one may be carried out",
        "PromotionCalls.others_end_at",
        _records_during_other_call,
        mock.patch.object(PromotionCalls, "others_end_at", lambda *_: 0.0),
    ),
    _mutant(
        "a new leader does not count the calls of earlier ones",
        "PromotionCalls.sent_by_earlier_leader",
        lambda: _records_during_other_call(has_other_leader=True),
        mock.patch.object(PromotionCalls, "sent_by_earlier_leader", lambda _: None),
    ),
    _mutant(
        "a new leader follows what earlier ones were told",
        "AnnouncementTracker.announced_since",
        _replaces_by_log,
        _AT_ANY_TIME,
    ),
    _mutant(
        "a proxy trusts the record",
        "MemberRoles.is_confirmed",
        lambda: _on_path(_reads_before_lead),
        mock.patch.object(MemberRoles, "is_confirmed", lambda self, m: m == self._primary),
    ),
    _mutant(
        "a proxy ignores that a member refused a write as a replica",
        "MemberRoles.denied",
        lambda: _on_path(_reads_after_denial),
        mock.patch.object(MemberRoles, "denied", lambda *_: None),
    ),
    _mutant(
        "an answer to a question from before the record counts",
        "MemberRoles.claimed",
        _believes_early_answer,
        mock.patch.object(MemberRoles, "claimed", _claim_always),
    ),
    _mutant(
        "an answer to a question from before a denial counts",
        "MemberRoles.claimed",
        _believes_answer_before_denial,
        mock.patch.object(MemberRoles, "claimed", _claim_always),
    ),
    _mutant(
        "a read that lacks an acknowledged commit is delivered",
        "HedgedRead",
        lambda: _on_path(_delivers_outdated),
        mock.patch.object(hedged_read, "_is_outdated", lambda *_: False),
    ),
    _mutant(
        "a second grant forgets who was replaced",
        "StatementGroup.replaced_primary",
        lambda: _on_path(_writes_after_two_grants),
        mock.patch.object(StatementGroup, "_replaced_by", _replaced_by_last_record),
    ),
)

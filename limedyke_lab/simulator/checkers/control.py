"""Rules about control: revisions in force, connection leases, and racing operators."""

from __future__ import annotations

from collections import defaultdict

from limedyke.result_codes import ResultCode
from limedyke_lab.simulator.checkers.record import RunRecord, Violation

IN_FORCE_WITHIN_S = 5.0
"""Seconds on a healthy network within which every proxy applies the newest revision."""
CLOCK_TOLERANCE_S = 1e-6
EXPIRY_TOLERANCE_S = 0.05
"""Seconds after the end of its lease within which a proxy must notice the end."""
REVISION_CONFLICT = ResultCode.REVISION_CONFLICT.value.number


def check_revision_monotonic(record: RunRecord) -> list[Violation]:
    """A proxy never returns to an older revision or control index, not even after a restart."""
    newest: dict[str, tuple[int, int]] = {}
    violations = []
    for event in record.history.of("in-force"):
        current = (event.control_index, event.revision)
        before = newest.get(event.proxy, (0, 0))
        if current[0] < before[0] or current[1] < before[1]:
            detail = f"index,revision={current} after {before}"
            violations.append(Violation("revision-monotonic", event.time, event.proxy, detail))
        newest[event.proxy] = max(before, current)
    return violations


def check_revision_content(record: RunRecord) -> list[Violation]:
    """The declaration in force at a revision is the one the operators confirmed under it."""
    violations = []
    for event in record.history.of("revision-applied"):
        expected = record.digests.get(event.revision)
        if expected != event.digest:
            detail = f"revision={event.revision} digest={event.digest} elsewhere={expected}"
            violations.append(Violation("revision-content", event.time, event.controller, detail))
    for event in record.history.of("in-force"):
        expected = record.digests.get(event.revision)
        if event.revision and expected != event.digest:
            detail = f"revision={event.revision} digest={event.digest} confirmed={expected}"
            violations.append(Violation("revision-content", event.time, event.proxy, detail))
    return violations


def check_in_force_everywhere(record: RunRecord) -> list[Violation]:
    """Every live proxy applies the newest confirmed revision soon after the network heals."""
    newest = max(record.digests, default=0)
    in_force: dict[str, tuple[int, float]] = {}
    for event in record.history.of("in-force"):
        known = in_force.get(event.proxy, (0, 0.0))
        if event.revision > known[0]:
            in_force[event.proxy] = (event.revision, event.time)
    accepted_at = 0.0
    for event in record.history.of("confirm-answer"):
        if event.revision == newest:
            accepted_at = accepted_at or event.time
    deadline = max(record.healed_at, accepted_at) + IN_FORCE_WITHIN_S
    violations = []
    for event in record.history.of("proxy-at-end"):
        revision, since = in_force.get(event.proxy, (0, 0.0))
        if revision < newest and record.end >= deadline:
            detail = f"revision={revision} newest={newest}"
            violations.append(Violation("in-force", record.end, event.proxy, detail))
        elif since > deadline:
            detail = f"revision={revision} only at {since:.3f}, deadline {deadline:.3f}"
            violations.append(Violation("in-force", since, event.proxy, detail))
    return violations


def check_lease_sums(record: RunRecord) -> list[Violation]:
    """The sum of all valid leases never exceeds the group's limit or a tenant's budget.

    A lease counts until its holder returns it or it expires by the holder's own clock;
    the events give that expiry in true time.
    """
    held: dict[tuple[str, str, str], tuple[int, float]] = {}
    violations = []
    for event in record.history.of("lease", "proxy-crashed"):
        if event.kind == "proxy-crashed":
            for key in [key for key in held if key[0] == event.proxy]:
                del held[key]
            continue
        held = {
            key: entry for key, entry in held.items() if entry[1] > event.time + CLOCK_TOLERANCE_S
        }
        valid = event.holdings if event.expires > event.time else ()
        for group, tenant, connections in valid:
            held[event.proxy, group, tenant] = (connections, event.expires)
        known = {(group, tenant) for group, tenant, _ in valid}
        for key in [key for key in held if key[0] == event.proxy and key[1:] not in known]:
            del held[key]
        violations.extend(_lease_violations(record, event, held))
    return violations


def _lease_violations(record: RunRecord, event, held: dict) -> list[Violation]:
    by_group: dict[str, int] = defaultdict(int)
    by_tenant: dict[tuple[str, str], int] = defaultdict(int)
    for (_, group, tenant), (connections, _) in held.items():
        by_group[group] += connections
        by_tenant[group, tenant] += connections
    violations = []
    for group, total in sorted(by_group.items()):
        limit = record.connection_limits.get(group)
        if limit is not None and total > limit:
            detail = f"group={group} leased={total} limit={limit}"
            violations.append(Violation("lease-sum", event.time, event.proxy, detail))
    for (group, tenant), total in sorted(by_tenant.items()):
        budget = record.budgets.get((group, tenant))
        if budget is not None and total > budget:
            detail = f"group={group} tenant={tenant} leased={total} budget={budget}"
            violations.append(Violation("lease-sum", event.time, event.proxy, detail))
    return violations


def check_leases_outlived(record: RunRecord) -> list[Violation]:
    """A running proxy holds no lease beyond its expiry by its own clock.

    A frozen proxy notices expired leases when it resumes; its tolerance starts then.
    """
    held: dict[str, tuple[tuple, float]] = {}
    frozen: set[str] = set()
    thawed_at: dict[str, float] = {}
    violations = []
    for event in record.history.of("lease", "proxy-crashed", "freeze", "thaw"):
        proxy = event.proxy if event.kind in ("lease", "proxy-crashed") else event.process
        holdings, expires = held.get(proxy, ((), 0.0))
        overdue = event.time > expires + EXPIRY_TOLERANCE_S
        if holdings and overdue and proxy not in frozen:
            detail = f"held until {event.time:.3f}, allowed until {expires:.3f}"
            violations.append(Violation("lease-outlived", event.time, proxy, detail))
        match event.kind:
            case "lease":
                held[proxy] = (event.holdings, max(event.expires, thawed_at.get(proxy, 0.0)))
            case "proxy-crashed":
                held.pop(proxy, None)
                frozen.discard(proxy)
            case "freeze":
                frozen.add(proxy)
            case "thaw":
                thawed_at[proxy] = event.time
                held[proxy] = (holdings, max(expires, event.time))
                frozen.discard(proxy)
    return violations


def check_one_winner(record: RunRecord) -> list[Violation]:
    """At most one plan per base revision is confirmed, and no confirmed plan is lost."""
    winners: dict[int, tuple[str, int]] = {}
    revisions: dict[int, str] = {}
    violations = []
    for event in record.history.of("confirm-answer"):
        if event.revision == 0:
            continue
        winner = winners.setdefault(event.base_revision, (event.plan, event.revision))
        if winner != (event.plan, event.revision):
            detail = f"base={event.base_revision} plan={event.plan} winner={winner}"
            violations.append(Violation("one-winner", event.time, event.operator, detail))
        first_plan = revisions.setdefault(event.revision, event.plan)
        if first_plan != event.plan:
            detail = f"revision={event.revision} plans={first_plan},{event.plan}"
            violations.append(Violation("one-winner", event.time, event.operator, detail))
        if record.digests.get(event.revision) != event.digest:
            detail = f"revision={event.revision} confirmed {event.digest} but lost"
            violations.append(Violation("one-winner", event.time, event.operator, detail))
    return violations


def check_first_answer(record: RunRecord) -> list[Violation]:
    """A resent request gets the same answer as the first time."""
    first: dict[str, str] = {}
    violations = []
    for event in record.history.of("confirm-answer"):
        answer = first.setdefault(event.request, event.answer)
        if answer != event.answer:
            detail = f"request={event.request} first={answer} again={event.answer}"
            violations.append(Violation("first-answer", event.time, event.operator, detail))
    return violations


def check_conflict_has_winner(record: RunRecord) -> list[Violation]:
    """A plan is refused for a conflict only if its base revision has been superseded."""
    newest = 0
    violations = []
    for event in record.history.of("revision-applied", "confirm-answer"):
        if event.kind == "revision-applied":
            newest = max(newest, event.revision)
        elif event.refused == REVISION_CONFLICT and newest <= event.base_revision:
            detail = f"plan={event.plan} base={event.base_revision} newest={newest}"
            violations.append(Violation("conflict-has-winner", event.time, event.operator, detail))
    return violations


def check_only_confirmed(record: RunRecord) -> list[Violation]:
    """Only declarations that an operator asked to confirm take effect."""
    asked: set[str] = set()
    violations = []
    for event in record.history.of("confirm-asked", "revision-applied"):
        if event.kind == "confirm-asked":
            asked.add(event.digest)
        elif event.digest not in asked:
            detail = f"revision={event.revision} digest={event.digest} was never confirmed"
            violations.append(Violation("only-confirmed", event.time, event.controller, detail))
    return violations


def check_one_leader(record: RunRecord) -> list[Violation]:
    """Each term has at most one leading controller."""
    leaders: dict[int, str] = {}
    violations = []
    for event in record.history.of("controller-leads"):
        leader = leaders.setdefault(event.term, event.controller)
        if leader != event.controller:
            detail = f"term={event.term} leader={leader}"
            violations.append(Violation("one-leader", event.time, event.controller, detail))
    return violations


def check_one_primary(record: RunRecord) -> list[Violation]:
    """At most one member of a group opens for writes in each term."""
    primaries: dict[tuple[str, int], str] = {}
    violations = []
    for event in record.history.of("primary"):
        primary = primaries.setdefault((event.group, event.term), event.member)
        if primary != event.member:
            detail = f"group={event.group} term={event.term} primary={primary}"
            violations.append(Violation("one-primary", event.time, event.member, detail))
    return violations


CONTROL_CHECKERS = {
    "revision-monotonic": check_revision_monotonic,
    "revision-content": check_revision_content,
    "in-force": check_in_force_everywhere,
    "lease-sum": check_lease_sums,
    "lease-outlived": check_leases_outlived,
    "one-winner": check_one_winner,
    "first-answer": check_first_answer,
    "conflict-has-winner": check_conflict_has_winner,
    "only-confirmed": check_only_confirmed,
    "one-leader": check_one_leader,
    "one-primary": check_one_primary,
}

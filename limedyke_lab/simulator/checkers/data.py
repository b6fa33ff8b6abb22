"""Rules about data: read-your-writes, durability, transactions, answers and once-keys."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from limedyke.result_codes import Outcome, ResultCode
from limedyke_lab.simulator.checkers.record import RunRecord, Violation
from limedyke_lab.simulator.history import HistoryEvent
from limedyke_lab.simulator.statements import Put

DONE = "done"


def _done_answers(record: RunRecord) -> Iterator[HistoryEvent]:
    return (event for event in record.history.of("answer") if event.outcome == DONE)


def _first_sends(record: RunRecord) -> dict[str, HistoryEvent]:
    """Return the first attempt of each request."""
    sent: dict[str, HistoryEvent] = {}
    for event in record.history.of("request"):
        sent.setdefault(event.request, event)
    return sent


def _groups_by_committed_request(record: RunRecord) -> dict[str, list[str]]:
    """Return the groups whose final logs hold each request's write, once per occurrence."""
    held: dict[str, list[str]] = defaultdict(list)
    for group, records in record.final_logs.items():
        for entry in records:
            for write in entry.writes:
                if isinstance(write, Put):
                    held[write.request].append(group)
    return held


def check_read_your_writes(record: RunRecord) -> list[Violation]:
    """A read reflects the session's own acknowledged writes of the key."""
    return [
        Violation(
            "read-your-writes",
            event.time,
            event.request,
            f"session={event.session} member={event.member} lacks={event.must_hold}",
        )
        for event in _done_answers(record)
        if event.operation == "read" and not event.holds_own_write
    ]


def check_acknowledged_writes(record: RunRecord) -> list[Violation]:
    """Every acknowledged write is in the group's final log."""
    held = _groups_by_committed_request(record)
    return [
        Violation("acknowledged-writes", event.time, write, f"group={event.group} lost")
        for event in _done_answers(record)
        for write in event.writes
        if event.group not in held.get(write, ())
    ]


def check_replaced_primary(record: RunRecord) -> list[Violation]:
    """A proxy relays no acknowledgement from a term older than the newest it knows."""
    known: dict[tuple[str, str], int] = {}
    violations = []
    for event in record.history.of("in-force", "acknowledged", "proxy-started"):
        if event.kind == "proxy-started":
            continue
        if event.kind == "in-force":
            for group, term in event.terms:
                known[event.proxy, group] = term
            continue
        term = known.get((event.proxy, event.group), 0)
        if 0 < event.term < term:
            detail = f"proxy={event.proxy} term={event.term} known={term}"
            violations.append(Violation("replaced-primary", event.time, event.member, detail))
    return violations


def check_commits_after_replacement(record: RunRecord) -> list[Violation]:
    """No write is acknowledged that a primary began to commit after a newer one opened."""
    opened: dict[str, int] = {}
    late: dict[str, str] = {}
    for event in record.history.of("primary", "committed"):
        newest = opened.get(event.group, 0)
        if event.kind == "primary":
            opened[event.group] = max(newest, event.term)
            continue
        for request in event.requests:
            if event.term < newest:
                late[request] = f"member={event.member} term={event.term} newest={newest}"
            else:
                late.pop(request, None)
    return [
        Violation("commit-after-replacement", event.time, write, late[write])
        for event in _done_answers(record)
        for write in event.writes
        if write in late
    ]


def check_transactions(record: RunRecord) -> list[Violation]:
    """A committed record holds exactly the writes of one transaction of one caller."""
    sent = _first_sends(record)
    expected: dict[str, set[str]] = defaultdict(set)
    for event in record.history.of("answer"):
        if event.operation == "put-in-transaction" and event.outcome == DONE:
            expected[event.transaction].add(event.request)
    violations = []
    for group, records in record.final_logs.items():
        for entry in records:
            violations.extend(_check_record(group, entry, sent, expected))
    return violations


def _check_record(group: str, entry, sent: dict, expected: dict) -> list[Violation]:
    puts = [write for write in entry.writes if isinstance(write, Put)]
    if not puts:
        return []
    requests = [put.request for put in puts]
    transactions = sorted({sent[r].transaction for r in requests if r in sent})
    callers = sorted({(put.tenant, put.caller) for put in puts})
    first = puts[0].request
    if len(callers) > 1 or len(transactions) != 1:
        detail = f"group={group} callers={callers} transactions={transactions}"
        return [Violation("transactions", 0.0, first, detail)]
    missing = sorted(expected.get(transactions[0], set()) - set(requests))
    if missing:
        detail = f"group={group} transaction={transactions[0]} missing={missing}"
        return [Violation("transactions", 0.0, first, detail)]
    return []


def check_answers(record: RunRecord) -> list[Violation]:
    """Each request gets one answer, holding exactly its own results."""
    violations = []
    seen: Counter[tuple[str, int]] = Counter()
    for event in record.history.of("answer"):
        seen[event.request, event.attempt] += 1
        if seen[event.request, event.attempt] > 1:
            violations.append(Violation("answers", event.time, event.request, "answered twice"))
        if event.outcome == DONE and tuple(event.results) != tuple(event.expected):
            detail = f"results={event.results} expected={event.expected}"
            violations.append(Violation("answers", event.time, event.request, detail))
    for event in record.history.of("stray-answer"):
        detail = f"proxy={event.proxy} sent an answer without a request"
        violations.append(Violation("answers", event.time, event.session, detail))
    return violations


def check_did_not_run(record: RunRecord) -> list[Violation]:
    """A request refused with "did not run" was never executed, nor its transaction committed.

    For a lost transaction only a commit is a violation.  A request with a once-key that was
    sent several times must not have run if every answer says that it did not.
    """
    held = _groups_by_committed_request(record)
    executed: dict[str, str] = {}
    for event in record.history.of("executed"):
        executed.setdefault(event.attempt, event.member)
    violations = []
    refused_always: dict[str, HistoryEvent] = {}
    for event in record.history.of("answer"):
        if event.operation == "once":
            _record_once_outcome(event, refused_always)
        elif event.outcome == Outcome.DID_NOT_RUN.value:
            violations.extend(_check_refusal(event, held, executed))
    for event in refused_always.values():
        if event is not None and event.request in held:
            detail = f"code={event.code} committed"
            violations.append(Violation("did-not-run", event.time, event.request, detail))
    return violations


def _record_once_outcome(event: HistoryEvent, refused_always: dict) -> None:
    refused = event.outcome == Outcome.DID_NOT_RUN.value
    known = refused_always.get(event.request, event)
    refused_always[event.request] = event if refused and known is not None else None


def _check_refusal(event: HistoryEvent, held: dict, executed: dict) -> list[Violation]:
    committed_writes = [write for write in event.bound if write in held]
    executed_by = executed.get(f"{event.request}#{event.attempt}")
    only_commit_counts = event.in_transaction or event.code == ResultCode.TRANSACTION_LOST.label
    if executed_by is not None and not only_commit_counts:
        detail = f"code={event.code} executed_by={executed_by}"
        return [Violation("did-not-run", event.time, event.request, detail)]
    if committed_writes:
        detail = f"code={event.code} committed={committed_writes}"
        return [Violation("did-not-run", event.time, event.request, detail)]
    return []


def check_once(record: RunRecord) -> list[Violation]:
    """Each write is in the final logs at most once, with or without a once-key."""
    return [
        Violation("once", record.end, request, f"committed {len(groups)} times")
        for request, groups in sorted(_groups_by_committed_request(record).items())
        if len(groups) > 1
    ]


DATA_CHECKERS = {
    "read-your-writes": check_read_your_writes,
    "acknowledged-writes": check_acknowledged_writes,
    "replaced-primary": check_replaced_primary,
    "commit-after-replacement": check_commits_after_replacement,
    "transactions": check_transactions,
    "answers": check_answers,
    "did-not-run": check_did_not_run,
    "once": check_once,
}

"""Rules about service: leaving members, draining proxies, and recovery after the faults."""

from __future__ import annotations

from limedyke.result_codes import ResultCode
from limedyke_lab.simulator.checkers.record import RunRecord, Violation

NO_NEW_WORK_AFTER_S = 2.0
"""Seconds after learning that a member leaves until a proxy sends it no new work."""
CALM_NO_NEW_WORK_AFTER_S = 3.0
"""The same limit without faults, from the confirmation on; includes a leaving primary."""
ARRIVAL_MARGIN_S = 0.1
"""A request sent at least this many seconds before a drain had arrived when it began."""
TRANSACTION_ENDED_CODES = (ResultCode.TRANSACTION_LOST.label, ResultCode.OUTCOME_UNKNOWN.label)
EARLIEST_CUT_S = 7.5
"""Seconds of a drain in which no clock drift allows it to cut open transactions."""


def check_leaving_member(record: RunRecord) -> list[Violation]:
    """A leaving member gets no new work a few seconds after its leaving is in force.

    A leaving primary keeps serving until a switchover has replaced it.
    """
    leaving_since: dict[tuple[str, str], float] = {}
    primaries: dict[tuple[str, str], float] = {}
    violations = []
    for event in record.history.of("in-force", "work-sent", "proxy-crashed"):
        if event.kind == "proxy-crashed":
            for key in [key for key in leaving_since if key[0] == event.proxy]:
                del leaving_since[key]
            continue
        if event.kind == "in-force":
            _update_in_force(event, leaving_since, primaries)
            continue
        since = leaving_since.get((event.proxy, event.member))
        served_until = primaries.get((event.proxy, event.member), 0.0)
        if since is None or event.in_transaction:
            continue
        if event.time > max(since, served_until) + NO_NEW_WORK_AFTER_S:
            detail = f"member={event.member} leaving since {since:.3f}"
            violations.append(Violation("leaving-member", event.time, event.proxy, detail))
    return violations


def _update_in_force(event, leaving_since: dict, primaries: dict) -> None:
    leaving = {(event.proxy, member) for member in event.leaving}
    for key in [key for key in leaving_since if key[0] == event.proxy and key not in leaving]:
        del leaving_since[key]
    for key in sorted(leaving):
        leaving_since.setdefault(key, event.time)
    current = {(event.proxy, member) for member in event.primary_members}
    for key in [key for key in primaries if key[0] == event.proxy]:
        if key not in current and primaries[key] == float("inf"):
            primaries[key] = event.time
    for key in sorted(current):
        primaries[key] = float("inf")


def check_leaving_in_calm(record: RunRecord) -> list[Violation]:
    """Without faults, a leaving member gets no new work 3 s after the confirmation.

    The rule ends if an operator has since declared the member staying.
    """
    since: dict[str, float] = {}
    violations = []
    for event in record.history.of("calm-leave", "work-sent"):
        if event.kind == "calm-leave":
            if not _declared_staying_later(record, event.member, event.revision):
                since[event.member] = event.time
            continue
        started = since.get(event.member)
        if started is None or event.in_transaction:
            continue
        if event.time > started + CALM_NO_NEW_WORK_AFTER_S:
            detail = f"member={event.member} leave confirmed at {started:.3f}"
            violations.append(Violation("leaving-in-calm", event.time, event.proxy, detail))
    return violations


def _declared_staying_later(record: RunRecord, member: str, revision: int) -> bool:
    """Tell whether a revision later than ``revision`` declares the member staying."""
    return any(
        event.revision > revision and member not in event.leaving
        for event in record.history.of("in-force")
    )


def check_drain(record: RunRecord) -> list[Violation]:
    """A draining proxy closes no client connection with a request in flight."""
    violations = [
        Violation("drain", event.time, event.request, f"cut by draining proxy={event.proxy}")
        for event in record.history.of("request-cut")
        if event.by_proxy
    ]
    return violations + _refused_in_flight(record)


def _refused_in_flight(record: RunRecord) -> list[Violation]:
    """Find requests and transactions that a drain refused although they were in flight.

    A transaction lost earlier for another reason no longer counts as in flight.
    """
    drains: dict[str, float] = {}
    sent: dict[tuple[str, int], float] = {}
    lost: set[str] = set()
    violations = []
    for event in record.history.of("drain-asked", "proxy-started", "request", "answer"):
        if event.kind == "drain-asked":
            drains[event.proxy] = event.time
        elif event.kind == "proxy-started":
            drains.pop(event.proxy, None)
        elif event.kind == "request":
            sent[event.request, event.attempt] = event.time
        elif event.code in TRANSACTION_ENDED_CODES:
            lost.add(event.transaction)
        elif event.code == ResultCode.DRAINING.label and event.proxy in drains:
            drain_started = drains[event.proxy]
            arrived = sent[event.request, event.attempt] + ARRIVAL_MARGIN_S
            in_transaction = event.in_transaction and event.transaction not in lost
            in_flight = arrived < drain_started or in_transaction
            if in_flight and event.time < drain_started + EARLIEST_CUT_S:
                detail = f"refused by proxy={event.proxy}, which drains since {drain_started:.3f}"
                violations.append(Violation("drain", event.time, event.request, detail))
    return violations


def check_operators_served(record: RunRecord) -> list[Violation]:
    """After the faults, an operator's change is confirmed."""
    calm = [event.time for event in record.history.of("calm")]
    if not calm or any(record.history.of("calm-leave", "calm-operator")):
        return []
    detail = "no change was confirmed after the failures"
    return [Violation("operators-served", calm[0], "operator", detail)]


def check_callers_served(record: RunRecord) -> list[Violation]:
    """After the faults, requests of each session succeed again."""
    calm = next((event.time for event in record.history.of("calm")), None)
    if calm is None:
        return []
    sessions = {event.session for event in record.history.of("request")}
    served = {
        event.session
        for event in record.history.of("answer")
        if event.outcome == "done" and event.time >= calm
    }
    detail = "no request was done after the failures"
    return [
        Violation("callers-served", calm, session, detail) for session in sorted(sessions - served)
    ]


SERVICE_CHECKERS = {
    "leaving-member": check_leaving_member,
    "leaving-in-calm": check_leaving_in_calm,
    "drain": check_drain,
    "operators-served": check_operators_served,
    "callers-served": check_callers_served,
}

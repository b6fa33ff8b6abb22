"""Hand-written histories for the simulator's checkers: a valid one, and ones with one damage."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from limedyke.result_codes import Outcome, ResultCode
from limedyke_lab.simulator.checkers import RunRecord
from limedyke_lab.simulator.history import History
from limedyke_lab.simulator.machine.kernel import Kernel
from limedyke_lab.simulator.members.member_log import Record
from limedyke_lab.simulator.statements import Put

GROUP = "group"
EVENT_INTERVAL_S = 1.0


class HistoryBuilder:
    """Builds a history event by event, and the final logs."""

    def __init__(self) -> None:
        self.kernel = Kernel(1)
        self.history = History(self.kernel)
        self.logs: list[Record] = []
        self.digests: dict[int, str] = {}
        self.healed_at = 0.0

    def add(self, kind: str, **fields: Any) -> None:
        """Add an event, one second after the previous one."""
        self.kernel.now += EVENT_INTERVAL_S
        self.history.add(kind, **fields)

    def log(self, *requests: str, callers: tuple[str, ...] = ("caller",)) -> None:
        """Append a record with writes to the group's final log."""
        puts = [
            Put(name, f"{name}#1", "tenant", callers[number % len(callers)], "key")
            for number, name in enumerate(requests)
        ]
        self.logs.append(Record(1, "member", tuple(puts)))

    def request(self, name: str, operation: str, **fields: Any) -> None:
        """Add a request."""
        self.add(
            "request",
            request=name,
            attempt=1,
            session="caller",
            tenant="tenant",
            group=GROUP,
            operation=operation,
            transaction=fields.get("transaction", name),
            proxy="proxy-1",
        )

    def answer(self, name: str, operation: str, **changes: Any) -> None:
        """Add the answer to a request; by default it is done, with the request's own results."""
        fields = {
            "request": name,
            "attempt": 1,
            "session": "caller",
            "group": GROUP,
            "operation": operation,
            "transaction": name,
            "in_transaction": False,
            "outcome": "done",
            "code": "",
            "proxy": "proxy-1",
            "member": "member",
            "must_hold": "",
            "holds_own_write": True,
            "expected": (f"{name}#1",),
            "results": (f"{name}#1",),
            "writes": (name,) if operation == "write" else (),
            "bound": (name,) if operation == "write" else (),
        }
        self.add("answer", **fields | changes)

    def write(self, name: str, **changes: Any) -> None:
        """Add a write and its answer, and append the write to the log."""
        self.request(name, "write")
        self.log(name)
        self.answer(name, "write", **changes)

    def in_force(self, index: int, revision: int, **changes: Any) -> None:
        """Add the event that a proxy applied a control view."""
        fields = {
            "proxy": "proxy-1",
            "control_index": index,
            "revision": revision,
            "digest": f"content-{revision}",
            "terms": ((GROUP, 1),),
            "primary_members": ("member",),
            "leaving": (),
        }
        self.add("in-force", **fields | changes)

    def revise(self, revision: int, confirmed: bool = True) -> None:
        """Add a revision that a controller applied, by default after an operator confirmed it."""
        digest = f"content-{revision}"
        self.digests.setdefault(revision, digest)
        if confirmed:
            self.add("confirm-asked", operator="operator", plan=f"plan-{revision}", digest=digest)
        self.add(
            "revision-applied",
            controller="controller-1",
            revision=revision,
            index=revision * 10,
            digest=digest,
        )

    def confirmed(self, revision: int, **changes: Any) -> None:
        """Add the answer to a confirmation."""
        fields = {
            "operator": "operator",
            "request": f"request-{revision}",
            "plan": f"plan-{revision}",
            "base_revision": revision - 1,
            "revision": 0 if changes.get("refused") else revision,
            "refused": 0,
            "digest": f"content-{revision}",
            "answer": "Confirmed",
        }
        self.add("confirm-answer", **fields | changes)

    def record(self) -> RunRecord:
        """Return the finished record for the checkers."""
        return RunRecord(
            history=self.history,
            final_logs={GROUP: tuple(self.logs)},
            digests=self.digests,
            connection_limits={GROUP: 10},
            budgets={(GROUP, "tenant"): 8},
            healed_at=self.healed_at,
            end=self.kernel.now + 100.0,
        )


def _add_valid_history(builder: HistoryBuilder) -> None:
    builder.add("proxy-started", proxy="proxy-1")
    builder.add("controller-leads", controller="controller-1", term=1)
    builder.add("primary", member="member", group=GROUP, term=1)
    builder.revise(1)
    builder.in_force(10, 1)
    builder.confirmed(1)
    builder.confirmed(1)
    builder.add("lease", proxy="proxy-1", holdings=((GROUP, "tenant", 8),), expires=1e9)
    builder.write("caller.1")
    builder.request("caller.2", "read")
    builder.answer("caller.2", "read", must_hold="caller.1")
    builder.add("proxy-at-end", proxy="proxy-1")


def _stale_read(builder: HistoryBuilder) -> None:
    builder.request("caller.3", "read")
    builder.answer("caller.3", "read", must_hold="caller.1", holds_own_write=False)


def _lost_write(builder: HistoryBuilder) -> None:
    builder.request("caller.3", "write")
    builder.answer("caller.3", "write")


def _old_acknowledgement(builder: HistoryBuilder) -> None:
    builder.in_force(11, 1, terms=((GROUP, 2),))
    builder.add("acknowledged", proxy="proxy-1", group=GROUP, member="member", term=1)


def _late_commit(builder: HistoryBuilder) -> None:
    builder.add("primary", member="member-2", group=GROUP, term=2)
    builder.add(
        "committed", member="member", group=GROUP, term=1, position=9, requests=("caller.3",)
    )
    builder.write("caller.3")


def _mixed_record(builder: HistoryBuilder) -> None:
    builder.request("caller.3", "write")
    builder.request("caller.4", "write")
    builder.log("caller.3", "caller.4", callers=("caller", "other"))


def _half_record(builder: HistoryBuilder) -> None:
    for name in ("caller.3", "caller.4"):
        builder.request(name, "put-in-transaction", transaction="caller.3")
        builder.answer(name, "put-in-transaction", transaction="caller.3", in_transaction=True)
    builder.log("caller.3")


def _foreign_answer(builder: HistoryBuilder) -> None:
    builder.request("caller.3", "read")
    builder.answer("caller.3", "read", results=("caller.9#1",))


def _stray_answer(builder: HistoryBuilder) -> None:
    builder.add("stray-answer", session="caller", proxy="proxy-1")


def _refused_but_ran(builder: HistoryBuilder) -> None:
    builder.request("caller.3", "read")
    builder.add("executed", member="member", attempt="caller.3#1")
    builder.answer("caller.3", "read", outcome=Outcome.DID_NOT_RUN.value, code="LD3003")


def _committed_twice(builder: HistoryBuilder) -> None:
    builder.write("caller.3")
    builder.log("caller.3")


def _older_revision(builder: HistoryBuilder) -> None:
    builder.in_force(20, 1)
    builder.in_force(19, 1)


def _other_content(builder: HistoryBuilder) -> None:
    builder.in_force(20, 1, digest="other")


def _revision_not_applied(builder: HistoryBuilder) -> None:
    builder.revise(2)
    builder.confirmed(2)


def _above_limit(builder: HistoryBuilder) -> None:
    holdings = ((GROUP, "tenant", 3),)
    builder.add("lease", proxy="proxy-2", holdings=holdings, expires=1e9)


def _lease_too_long(builder: HistoryBuilder) -> None:
    builder.add("lease", proxy="proxy-1", holdings=((GROUP, "tenant", 1),), expires=0.0)
    builder.add("lease", proxy="proxy-1", holdings=(), expires=0.0)


def _two_winners(builder: HistoryBuilder) -> None:
    builder.confirmed(1, plan="plan-other", request="request-other")


def _two_answers(builder: HistoryBuilder) -> None:
    builder.confirmed(1, answer="Refused")


def _no_winner(builder: HistoryBuilder) -> None:
    conflict = ResultCode.REVISION_CONFLICT.value.number
    builder.confirmed(2, answer="Refused", refused=conflict)


def _unconfirmed(builder: HistoryBuilder) -> None:
    builder.revise(2, confirmed=False)
    builder.in_force(20, 2)
    builder.healed_at = builder.kernel.now


def _two_leaders(builder: HistoryBuilder) -> None:
    builder.add("controller-leads", controller="controller-2", term=1)


def _two_primaries(builder: HistoryBuilder) -> None:
    builder.add("primary", member="member-2", group=GROUP, term=1)


def _work_for_leaving(builder: HistoryBuilder) -> None:
    builder.in_force(11, 1, leaving=("member-2",))
    for _ in range(4):
        builder.add("work-sent", proxy="proxy-1", member="member-2", in_transaction=False)


def _cut_by_drain(builder: HistoryBuilder) -> None:
    builder.add("request-cut", request="caller.3", proxy="proxy-1", by_proxy=True)


def _refused_by_drain(builder: HistoryBuilder) -> None:
    builder.request("caller.3", "read")
    builder.add("drain-asked", proxy="proxy-1")
    label = ResultCode.DRAINING.label
    builder.answer("caller.3", "read", outcome=Outcome.DID_NOT_RUN.value, code=label)


DAMAGES: dict[str, Callable[[HistoryBuilder], None]] = {
    "nothing wrong": lambda builder: None,
    "a read without the session's own write": _stale_read,
    "an acknowledged write that is in no log": _lost_write,
    "an acknowledgement under a term known as old": _old_acknowledgement,
    "a commit begun under an old term": _late_commit,
    "a record of two callers": _mixed_record,
    "a record that lacks a write": _half_record,
    "an answer to another request": _foreign_answer,
    "an answer without a request": _stray_answer,
    "a refused request that ran": _refused_but_ran,
    "a write that is in the log twice": _committed_twice,
    "a proxy that went back": _older_revision,
    "another content under the same number": _other_content,
    "a proxy that stayed behind": _revision_not_applied,
    "leases above the limit": _above_limit,
    "a lease held too long": _lease_too_long,
    "two plans confirmed from one revision": _two_winners,
    "two answers to one confirmation": _two_answers,
    "a conflict without a winner": _no_winner,
    "a change that nobody confirmed": _unconfirmed,
    "two leaders of a term": _two_leaders,
    "two primaries of a term": _two_primaries,
    "work sent to a leaving member": _work_for_leaving,
    "a request cut by a drain": _cut_by_drain,
    "a request in flight refused by a drain": _refused_by_drain,
}


def history_with(damage: str) -> RunRecord:
    """Return a run whose history is valid except for one damage."""
    builder = HistoryBuilder()
    _add_valid_history(builder)
    DAMAGES[damage](builder)
    return builder.record()

"""Hand-made histories for the simulator's checkers: one sound, the others damaged in one way."""

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
SECOND = 1.0


class Story:
    """A history that is told event by event, and the logs at its end."""

    def __init__(self) -> None:
        self.kernel = Kernel(1)
        self.history = History(self.kernel)
        self.logs: list[Record] = []
        self.digests: dict[int, str] = {}
        self.healed_at = 0.0

    def add(self, kind: str, **fields: Any) -> None:
        """Tell an event, a second after the one before."""
        self.kernel.now += SECOND
        self.history.add(kind, **fields)

    def log(self, *requests: str, callers: tuple[str, ...] = ("caller",)) -> None:
        """Put a record with writes into the group's final log."""
        puts = [
            Put(name, f"{name}#1", "tenant", callers[number % len(callers)], "key")
            for number, name in enumerate(requests)
        ]
        self.logs.append(Record(1, "member", tuple(puts)))

    def ask(self, name: str, operation: str, **fields: Any) -> None:
        """Tell a request."""
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
        """Tell the answer to a request; done, with its own results, unless said otherwise."""
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
        """Tell a write and its answer, and keep it in the log."""
        self.ask(name, "write")
        self.log(name)
        self.answer(name, "write", **changes)

    def in_force(self, index: int, revision: int, **changes: Any) -> None:
        """Tell that a proxy took a view into force."""
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
        """Tell that a controller applied a revision, asked for unless said otherwise."""
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
        """Tell the answer to a confirmation."""
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
        """Return what the checkers read."""
        return RunRecord(
            history=self.history,
            final_logs={GROUP: tuple(self.logs)},
            digests=self.digests,
            connection_limits={GROUP: 10},
            budgets={(GROUP, "tenant"): 8},
            healed_at=self.healed_at,
            end=self.kernel.now + 100.0,
        )


def _sound(story: Story) -> None:
    story.add("proxy-started", proxy="proxy-1")
    story.add("controller-leads", controller="controller-1", term=1)
    story.add("primary", member="member", group=GROUP, term=1)
    story.revise(1)
    story.in_force(10, 1)
    story.confirmed(1)
    story.confirmed(1)
    story.add("lease", proxy="proxy-1", holdings=((GROUP, "tenant", 8),), expires=1e9)
    story.write("caller.1")
    story.ask("caller.2", "read")
    story.answer("caller.2", "read", must_hold="caller.1")
    story.add("proxy-at-end", proxy="proxy-1")


def _stale_read(story: Story) -> None:
    story.ask("caller.3", "read")
    story.answer("caller.3", "read", must_hold="caller.1", holds_own_write=False)


def _lost_write(story: Story) -> None:
    story.ask("caller.3", "write")
    story.answer("caller.3", "write")


def _old_acknowledgement(story: Story) -> None:
    story.in_force(11, 1, terms=((GROUP, 2),))
    story.add("acknowledged", proxy="proxy-1", group=GROUP, member="member", term=1)


def _late_commit(story: Story) -> None:
    story.add("primary", member="member-2", group=GROUP, term=2)
    story.add("committed", member="member", group=GROUP, term=1, position=9, requests=("caller.3",))
    story.write("caller.3")


def _mixed_record(story: Story) -> None:
    story.ask("caller.3", "write")
    story.ask("caller.4", "write")
    story.log("caller.3", "caller.4", callers=("caller", "other"))


def _half_record(story: Story) -> None:
    for name in ("caller.3", "caller.4"):
        story.ask(name, "put-in-transaction", transaction="caller.3")
        story.answer(name, "put-in-transaction", transaction="caller.3", in_transaction=True)
    story.log("caller.3")


def _foreign_answer(story: Story) -> None:
    story.ask("caller.3", "read")
    story.answer("caller.3", "read", results=("caller.9#1",))


def _stray_answer(story: Story) -> None:
    story.add("stray-answer", session="caller", proxy="proxy-1")


def _refused_but_ran(story: Story) -> None:
    story.ask("caller.3", "read")
    story.add("executed", member="member", attempt="caller.3#1")
    story.answer("caller.3", "read", outcome=Outcome.DID_NOT_RUN.value, code="LD3003")


def _committed_twice(story: Story) -> None:
    story.write("caller.3")
    story.log("caller.3")


def _went_back(story: Story) -> None:
    story.in_force(20, 1)
    story.in_force(19, 1)


def _other_content(story: Story) -> None:
    story.in_force(20, 1, digest="other")


def _stayed_behind(story: Story) -> None:
    story.revise(2)
    story.confirmed(2)


def _above_limit(story: Story) -> None:
    holdings = ((GROUP, "tenant", 3),)
    story.add("lease", proxy="proxy-2", holdings=holdings, expires=1e9)


def _lease_too_long(story: Story) -> None:
    story.add("lease", proxy="proxy-1", holdings=((GROUP, "tenant", 1),), expires=0.0)
    story.add("lease", proxy="proxy-1", holdings=(), expires=0.0)


def _two_winners(story: Story) -> None:
    story.confirmed(1, plan="plan-other", request="request-other")


def _two_answers(story: Story) -> None:
    story.confirmed(1, answer="Refused")


def _no_winner(story: Story) -> None:
    conflict = ResultCode.REVISION_CONFLICT.value.number
    story.confirmed(2, answer="Refused", refused=conflict)


def _unconfirmed(story: Story) -> None:
    story.revise(2, confirmed=False)
    story.in_force(20, 2)
    story.healed_at = story.kernel.now


def _two_leaders(story: Story) -> None:
    story.add("controller-leads", controller="controller-2", term=1)


def _two_primaries(story: Story) -> None:
    story.add("primary", member="member-2", group=GROUP, term=1)


def _work_for_leaving(story: Story) -> None:
    story.in_force(11, 1, leaving=("member-2",))
    for _ in range(4):
        story.add("work-sent", proxy="proxy-1", member="member-2", in_transaction=False)


def _cut_by_drain(story: Story) -> None:
    story.add("request-cut", request="caller.3", proxy="proxy-1", by_proxy=True)


def _refused_by_drain(story: Story) -> None:
    story.ask("caller.3", "read")
    story.add("drain-asked", proxy="proxy-1")
    label = ResultCode.DRAINING.label
    story.answer("caller.3", "read", outcome=Outcome.DID_NOT_RUN.value, code=label)


DAMAGES: dict[str, Callable[[Story], None]] = {
    "nothing wrong": lambda story: None,
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
    "a proxy that went back": _went_back,
    "another content under the same number": _other_content,
    "a proxy that stayed behind": _stayed_behind,
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
    """Return a run whose history is sound but for one damage."""
    story = Story()
    _sound(story)
    DAMAGES[damage](story)
    return story.record()

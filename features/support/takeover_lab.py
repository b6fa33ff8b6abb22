"""Test environment for promotions: two proxies, separate members, and failures between steps."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest import mock

import curio
import psycopg

from features.support.back_end_lab import Answer, BackEndLab, MemberGroup
from limedyke.core.promotion import Promotion
from limedyke.messages.control import PromoteOrder, PromoteResult
from limedyke.proxy import unit_write
from limedyke.proxy.members.promotion_executor import PromotionExecutor

ADMIN = "limedyke_admin"
ROWS_SETTLE_S = 20.0
MAXIMUM_ORDERS = 8
POLL_S = 0.05
LEADS_WITHIN_S = 1.5
WRITE_REACHES_SOCKET_S = 0.05
COMMAND_COMPLETE = b"INSERT 0 1\0"


def _least_advanced(promotion: Promotion) -> str:
    promised = promotion._counting()
    if len(promised) < promotion.majority:
        return ""
    return min(promised, key=lambda p: (p.log_end.term, p.log_end.position)).member


SAFEGUARDS = {
    "term at the acknowledgement": (unit_write, "acknowledges", lambda *_: True),
    "most advanced promise": (Promotion, "choose", _least_advanced),
    "majority of promises": (Promotion, "majority", property(lambda _: 1)),
}


@dataclass
class TakeoverLab:
    """Two home proxies of a group, and the rows that were acknowledged.

    :ivar rows: ids of the acknowledged rows
    :ivar write: task of a write under way
    :ivar killed: name of the member that was killed last
    """

    members: MemberGroup
    lab: BackEndLab
    rows: set[int] = field(default_factory=set)
    write: curio.Task | None = None
    killed: str = ""

    @classmethod
    def start(cls) -> TakeoverLab:
        """Start members and proxies, and write a first row."""
        members = MemberGroup("127.92.4", connect_delay_ms=0)
        lab = BackEndLab(members, "127.92.5")
        takeover = cls(members, lab)
        try:
            for name in ("p1", "p2"):
                lab.add_proxy(name)
            for name in ("p1", "p2"):
                control = lab.controls[name]
                lab.wait(lambda c=control: len({r.member for r in c.reports}) == 3)
            takeover.add_row()
        except BaseException:
            takeover.close()
            raise
        return takeover

    def close(self) -> None:
        """Stop members and proxies."""
        self.members.stop()
        self.lab.close()

    def add_row(self, proxy: str = "p1") -> None:
        """Write a row, which must be acknowledged."""
        number = len(self.rows) + 1
        answer = self.lab.ask(f"INSERT INTO note VALUES ({number}, 'x')", proxy=proxy)
        assert answer.end.code == 0, answer.end
        self.rows.add(number)

    # Failures of members

    def kill(self, name: str) -> None:
        """Crash a member."""
        self.members.signal(name, signal.SIGKILL)
        self.members.processes[name].wait()
        self.killed = name

    def freeze(self, name: str) -> None:
        """Suspend a member with SIGSTOP."""
        self.members.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen member."""
        self.members.signal(name, signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Start a killed member again, and wait until it answers."""
        self.members.start(name)
        self.members.wait(lambda: self.members.admin(name, "SELECT 1"))

    # Promotions

    def order(
        self, proxy: str, term: int, preferred: str = "", planned: bool = False
    ) -> PromoteResult:
        """Order a promotion and wait for its result."""
        self.begin_order(proxy, term, preferred, planned)
        return self.result(proxy)

    def order_until_promoted(self, proxy: str, term: int) -> PromoteResult:
        """Repeat an order until a member was promoted; orders can time out on a slow machine."""
        for _ in range(MAXIMUM_ORDERS):
            result = self.order(proxy, term)
            if result.primary:
                break
        return result

    def begin_order(
        self, proxy: str, term: int, preferred: str = "", planned: bool = False
    ) -> None:
        """Order a promotion."""
        order = PromoteOrder("g", term, preferred, planned)
        self.lab.run(self.lab.proxies[proxy].promote, order)

    def result(self, proxy: str) -> PromoteResult:
        """Wait for a proxy's result and return it."""
        results = self.lab.controls[proxy].results
        self.lab.wait(lambda: results)
        return results.pop(0)

    def promise(self, promoter: str, term: int) -> None:
        """Make all living members promise a term to a promoter."""
        for name in self.living():
            self.members.admin(name, f"SELECT group_promise({term}, '{promoter}')", ADMIN)

    def living(self) -> list[str]:
        """Return the members that were not killed."""
        processes = self.members.processes
        return [name for name in self.members.names if processes[name].poll() is None]

    def before_promote(self, act) -> mock._patch:
        """Return a patch that runs ``act(member)`` between the promises and the promotion."""
        promote = PromotionExecutor._promote

        async def delayed(executor, order, member, left_s):
            act(member)
            return await promote(executor, order, member, left_s)

        return mock.patch.object(PromotionExecutor, "_promote", delayed)

    def record(self, term: int, primary: str) -> None:
        """Announce a new primary to the proxies."""
        self.lab.term, self.lab.primary = term, primary
        self.lab.announce()

    # Writes at a primary that may be replaced

    def begin_write(self, proxy: str) -> None:
        """Send a write, and wait until it has reached the member's socket."""
        unit = self.lab.unit("INSERT INTO note VALUES (900, 'x')", deadline_ms=3_000)

        async def begin() -> curio.Task:
            task = await curio.spawn(self.lab.answer, proxy, unit)
            await curio.sleep(WRITE_REACHES_SOCKET_S)
            return task

        self.write = self.lab.run(begin)

    def write_while_replaced(self) -> None:
        """Have a write in flight at the primary while p2 learns of the next primary."""
        self.freeze("a")
        self.begin_write("p2")
        self.record(2, "b")
        self.thaw("a")

    def is_acknowledged(self) -> bool:
        """Wait for the answer to the write in flight; return whether it was acknowledged."""
        answer: Answer = self.lab.run(self.write.join)
        return answer.end.code == 0 and COMMAND_COMPLETE in answer.data

    def primary_is_ahead(self) -> bool:
        """Return whether the primary's log is longer than that of the other members."""
        own = self.members.admin("a", "SELECT pg_current_wal_lsn()")
        other = self.members.admin("b", "SELECT pg_last_wal_replay_lsn()")
        return own != other

    # State of the members

    def rows_at(self, name: str) -> set[int]:
        """Return the ids of the rows a member holds."""
        return {row[0] for row in self.members.admin(name, "SELECT id FROM note")}

    def has_leader(self, term: int) -> bool:
        """Return whether a member leads under this or a higher term within ``LEADS_WITHIN_S``."""
        return _becomes_true(lambda: bool(self._open_primary(term)), LEADS_WITHIN_S)

    def ensure_leader(self, first_term: int) -> None:
        """Order promotions under increasing terms until a member leads."""
        for term in range(first_term, first_term + MAXIMUM_ORDERS):
            if self.has_leader(first_term - 1) or self.order("p2", term).primary:
                return
        raise AssertionError("no member comes to lead")

    def keeps_rows(self) -> bool:
        """Wait until the members agree; return whether they hold all acknowledged rows."""
        assert _becomes_true(self._settled, ROWS_SETTLE_S), "the members do not agree"
        return self.rows <= self.rows_at(self._open_primary())

    def _settled(self) -> bool:
        primary = self._open_primary()
        if not primary:
            return False
        return all(self.rows_at(name) == self.rows_at(primary) for name in self.living())

    def _open_primary(self, least_term: int = 0) -> str:
        found = ""
        for name in self.living():
            try:
                is_primary = self.members.admin(name, "SELECT group_role()") == [("primary",)]
                if is_primary and self._term_of(name) >= least_term:
                    found = name
            except psycopg.Error:
                continue
        return found

    def _term_of(self, name: str) -> int:
        return int(self.members.admin(name, "SELECT group_term()")[0][0])


def _becomes_true(condition: Callable[[], bool], within_s: float) -> bool:
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(POLL_S)
    return True

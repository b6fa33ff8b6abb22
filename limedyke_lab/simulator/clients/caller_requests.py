"""What simulated callers are and send, and what they make of the answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke_lab.simulator.clients.postgres_client import QueryAnswer
from limedyke_lab.simulator.machine.network import Address


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """Who a caller is and what it may do.

    :param proxies: addresses of the proxies
    :param think_s: mean pause between two requests
    :param once_keys: whether it sends writes with a once-key, and again until they are done
    """

    tenant: str
    group: str
    user: str
    password: str
    proxies: tuple[tuple[str, Address], ...]
    think_s: float
    once_keys: bool


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    :param transaction: name of the transaction it belongs to; its own name outside of one
    :param expected: results of its whole answer
    :param writes: requests that are acknowledged when it is done
    :param bound: requests that must not survive when it is refused as "did not run"
    """

    name: str
    operation: str
    text: str
    transaction: str
    expected: tuple[str, ...]
    writes: tuple[str, ...] = ()
    bound: tuple[str, ...] = ()
    key: str = ""
    must_hold: str = ""
    in_transaction: bool = False
    attempt: int = 1


@dataclass(slots=True)
class OpenTransaction:
    """A transaction that a caller has open."""

    name: str
    puts: list[tuple[str, str]] = field(default_factory=list)


def read_results(request: Request, answer: QueryAnswer) -> tuple[tuple, bool, str]:
    """Return the results of an answer, whether a read held the own write, and the member."""
    if request.operation in ("begin", "commit", "rollback"):
        return tuple(answer.tags), True, ""
    results = tuple(row[0] for row in answer.rows)
    if request.operation == "once" and answer.repeated and answer.tags == ["INSERT 0 1"]:
        return request.expected, True, ""
    if request.operation == "read" and answer.rows:
        _, _, holds, member = answer.rows[0]
        return results, holds == "1", member
    return results, True, ""

"""The configuration and requests of simulated callers, and the parsing of their answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedyke_lab.simulator.clients.postgres_client import QueryAnswer
from limedyke_lab.simulator.machine.network import Address


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """The identity and behaviour of a caller.

    :param proxies: names and addresses of the proxies
    :param think_s: mean seconds between two requests
    :param once_keys: whether some writes carry a once-key and are resent until they succeed
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

    :param transaction: name of its transaction; the request's own name outside of one
    :param expected: results of the complete answer
    :param writes: names of the writes that a successful answer acknowledges
    :param bound: names of the writes that must not be committed if the answer is "did not run"
    :param must_hold: the session's last acknowledged write of the key, which a read must reflect
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
    """A caller's open transaction.

    :param puts: key and request name of each write
    """

    name: str
    puts: list[tuple[str, str]] = field(default_factory=list)


def read_results(request: Request, answer: QueryAnswer) -> tuple[tuple, bool, str]:
    """Return an answer's results, whether a read reflects the own write, and the member."""
    if request.operation in ("begin", "commit", "rollback"):
        return tuple(answer.tags), True, ""
    results = tuple(row[0] for row in answer.rows)
    if request.operation == "once" and answer.repeated and answer.tags == ["INSERT 0 1"]:
        return request.expected, True, ""
    if request.operation == "read" and answer.rows:
        _, _, holds, member = answer.rows[0]
        return results, holds == "1", member
    return results, True, ""

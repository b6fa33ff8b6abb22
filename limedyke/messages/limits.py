"""Tenants' limits of operations: what proxies ask the leading controller for.  Kinds 230-239."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.registry import message


@message(234)
@dataclass(frozen=True, slots=True)
class OperationsOfPriority:
    """Those of a demand's operations that are equally urgent.

    :param priority: 0 goes first
    :param wait_ms: for how long they may wait for a token
    """

    priority: int
    operations: int
    wait_ms: int = 0


@message(230)
@dataclass(frozen=True, slots=True)
class OperationDemand:
    """What a proxy wants to run for a tenant.

    :param operations: that wait to run now
    :param ahead: that are likely to come soon; granted only while there is plenty
    :param by_priority: the operations, the most urgent first; empty when not told
    """

    tenant: str
    operations: int
    ahead: int = 0
    by_priority: tuple[OperationsOfPriority, ...] = ()


@message(236)
@dataclass(frozen=True, slots=True)
class OperationReport:
    """What a proxy ran for a tenant, told to a leader that has not heard it before.

    :param granted: operations granted to it, or run without a leader, in each slot of time of
        ``core/limits/use_window.py``; the present slot first
    :param alone_per_minute: what it may run while it can't ask, as the leader before said
    :param alone_of_per_minute: what all proxies together may run then, as that one said
    """

    tenant: str
    granted: tuple[int, ...]
    alone_per_minute: int
    alone_of_per_minute: int


@message(231)
@dataclass(frozen=True, slots=True)
class OperationsRequest:
    """Asks for operations of several tenants at once.

    :param number: grows by one with each message of a proxy
    :param reports: with the first message on a link
    :param running_ms: for how long the process has been running, told likewise; 0 when not told
    """

    number: int
    demands: tuple[OperationDemand, ...]
    reports: tuple[OperationReport, ...] = ()
    running_ms: int = 0


@message(235)
@dataclass(frozen=True, slots=True)
class RetryTime:
    """When refused operations of a priority may be asked for again.

    :param after_ms: the first of them
    :param step_ms: each further one so much later: tokens come one by one
    """

    priority: int
    after_ms: int
    step_ms: int


@message(232)
@dataclass(frozen=True, slots=True)
class OperationGrant:
    """What a proxy may run for a tenant.

    :param operations: no more than was asked for, ahead included
    :param retry_after_ms: when the rest may be granted; 0 when all was
    :param alone_per_minute: the proxy's share of the limit, which it may run while it can't ask
    :param waits_ms: of further operations, each may run so long after this answer; ascending
    :param returns: for those refused whose priority was told
    :param alone_of_per_minute: what all proxies together may run while they can't ask; 0 when not
        told
    :param alone_tenths: what the proxy may run at once then, before its share comes, in tenths of
        an operation
    """

    tenant: str
    operations: int
    retry_after_ms: int = 0
    alone_per_minute: int = 0
    waits_ms: tuple[int, ...] = ()
    returns: tuple[RetryTime, ...] = ()
    alone_of_per_minute: int = 0
    alone_tenths: int = 0


@message(233)
@dataclass(frozen=True, slots=True)
class OperationsGranted:
    """The answer to ``OperationsRequest`` of this number."""

    number: int
    grants: tuple[OperationGrant, ...]

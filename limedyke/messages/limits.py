"""Rate limits on tenants' operations: proxies' requests to the leader.  Kinds 230-239."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.registry import message


@message(234)
@dataclass(frozen=True, slots=True)
class OperationsOfPriority:
    """The operations of one priority in a demand.

    :param priority: 0 is the most urgent
    :param wait_ms: how long they may wait for a token
    """

    priority: int
    operations: int
    wait_ms: int = 0


@message(230)
@dataclass(frozen=True, slots=True)
class OperationDemand:
    """A proxy's demand for operations of a tenant.

    :param operations: operations that wait to run now
    :param ahead: operations expected soon; granted only while tokens are plentiful
    :param by_priority: the operations by priority, the most urgent first; empty if not reported
    """

    tenant: str
    operations: int
    ahead: int = 0
    by_priority: tuple[OperationsOfPriority, ...] = ()


@message(236)
@dataclass(frozen=True, slots=True)
class OperationReport:
    """A proxy's recent operations for a tenant, reported to a new leader.

    :param granted: operations granted to the proxy, or run without a leader, in each time slot of
        ``core/limits/use_window.py``; the current slot first
    :param alone_per_minute: rate allowed to the proxy while it cannot reach a leader, as set by the
        previous leader
    :param alone_of_per_minute: the same rate for all proxies together
    """

    tenant: str
    granted: tuple[int, ...]
    alone_per_minute: int
    alone_of_per_minute: int


@message(231)
@dataclass(frozen=True, slots=True)
class OperationsRequest:
    """Requests operations for several tenants.

    :param number: increases by one with each message of a proxy
    :param reports: sent with the first message on a link
    :param running_ms: process uptime, sent with the first message on a link; otherwise 0
    """

    number: int
    demands: tuple[OperationDemand, ...]
    reports: tuple[OperationReport, ...] = ()
    running_ms: int = 0


@message(235)
@dataclass(frozen=True, slots=True)
class RetryTime:
    """When refused operations of a priority may be requested again.

    :param after_ms: delay of the first operation
    :param step_ms: additional delay of each further one, as tokens arrive one by one
    """

    priority: int
    after_ms: int
    step_ms: int


@message(232)
@dataclass(frozen=True, slots=True)
class OperationGrant:
    """Operations granted to a proxy for a tenant.

    :param operations: number granted, at most the requested ones including those ahead
    :param retry_after_ms: when the rest may be granted; 0 if all were granted
    :param alone_per_minute: the proxy's share of the limit, allowed while it cannot reach a leader
    :param waits_ms: delays after this answer at which further operations may run; ascending
    :param returns: retry times of refused operations whose priority was reported
    :param alone_of_per_minute: rate allowed to all proxies together without a leader; 0 if not
        reported
    :param alone_tenths: operations that the proxy may run immediately when it loses its leader,
        in tenths of an operation
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
    """The answer to the ``OperationsRequest`` with this number."""

    number: int
    grants: tuple[OperationGrant, ...]

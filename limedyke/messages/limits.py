"""Tenants' limits of operations: what proxies ask the leading controller for.  Kinds 230-239."""

from __future__ import annotations

from dataclasses import dataclass

from limedyke.messages.registry import message


@message(230)
@dataclass(frozen=True, slots=True)
class OperationDemand:
    """What a proxy wants to run for a tenant.

    :param operations: that wait to run now
    :param ahead: that are likely to come soon; granted only while there is plenty
    """

    tenant: str
    operations: int
    ahead: int = 0


@message(231)
@dataclass(frozen=True, slots=True)
class OperationsWanted:
    """Asks for operations of several tenants at once.

    :param number: grows by one with each message of a proxy
    """

    number: int
    demands: tuple[OperationDemand, ...]


@message(232)
@dataclass(frozen=True, slots=True)
class OperationGrant:
    """What a proxy may run for a tenant.

    :param operations: no more than was asked for, ahead included
    :param retry_after_ms: when the rest may be granted; 0 when all was
    :param alone_per_minute: the proxy's share of the limit, which it may run while it can't ask
    """

    tenant: str
    operations: int
    retry_after_ms: int = 0
    alone_per_minute: int = 0


@message(233)
@dataclass(frozen=True, slots=True)
class OperationsGranted:
    """The answer to ``OperationsWanted`` of this number."""

    number: int
    grants: tuple[OperationGrant, ...]

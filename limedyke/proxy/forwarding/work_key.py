"""Names of units and transactions under way in a proxy, whoever sent them."""

from __future__ import annotations

from dataclasses import dataclass

LOCAL_ORIGIN = ""


@dataclass(frozen=True, slots=True)
class WorkKey:
    """Names a unit or a transaction.

    :param origin: the link it came over, or ``LOCAL_ORIGIN``
    :param number: stream of the unit, or number of the transaction
    """

    origin: str
    number: int

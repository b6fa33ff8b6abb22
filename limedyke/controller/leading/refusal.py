"""Converts failures to the refusals that operators receive."""

from __future__ import annotations

from limedyke.messages.operator import Refused
from limedyke.result_codes import Failure


def refused(request_id: str, failure: Failure, leader: str = "", revision: int = 0) -> Refused:
    """Return a failure as the answer to a request.

    :param leader: address of the controller to ask instead, if known
    :param revision: the revision in force, if it is the reason
    """
    return Refused(
        request_id=request_id,
        code=failure.code.value.number,
        detail=failure.detail,
        revision=revision,
        retry_after_ms=failure.retry_after_ms or 0,
        leader=leader,
    )

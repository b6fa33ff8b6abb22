"""A proxy process with one safeguard disabled, for the fleets of the mutants.

Run ``python -m features.support.careless_proxy proxy --settings=F``; the environment variable
``LIMEDYKE_CARELESS`` names the misbehaviour, a key of ``MISBEHAVIOURS``.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from result import Ok

from limedyke.cli.main import main
from limedyke.messages.work import LogPosition
from limedyke.proxy import drain, local_executor, unit_write
from limedyke.proxy.members.connection import ConnectionLostError
from limedyke.proxy.unit_read import UnitRead
from limedyke.proxy.unit_write import UnitWrite
from limedyke.result_codes import Failure, ResultCode

MODULE = "features.support.careless_proxy"
VARIABLE = "LIMEDYKE_CARELESS"


def _ignore_tokens() -> None:
    async def find_required(read: UnitRead) -> Ok:
        return Ok(LogPosition())

    UnitRead._find_required = find_required


def _ignore_once_keys() -> None:
    local_executor.UnitOnceWrite = UnitWrite


def _retry_writes() -> None:
    async def execute(write, connection, term) -> object:
        exchange = await write._context.exchange(connection, write._plan())
        if exchange.failure is not None:
            raise ConnectionLostError(exchange.failure.detail, nothing_sent=True)
        failure, position = await write._settle(exchange, term)
        return unit_write.Executed(exchange, failure, position, exchange.reader.status)

    UnitWrite._execute = execute


def _report_unknown_as_not_run() -> None:
    def failure_of(write, exchange, failure) -> Failure:
        return Failure(ResultCode.NO_PRIMARY, failure.detail)

    UnitWrite._failure_of = failure_of


def _abort_when_draining() -> None:
    async def abort(services, watch, failure, deadline) -> int:
        await watch.end_all(failure)
        return 0

    drain._wait_for_clients = abort


MISBEHAVIOURS: dict[str, Callable[[], None]] = {
    "ignores tokens": _ignore_tokens,
    "ignores once-keys": _ignore_once_keys,
    "sends writes again": _retry_writes,
    "calls unknown did not run": _report_unknown_as_not_run,
    "cuts when draining": _abort_when_draining,
}


if __name__ == "__main__":
    MISBEHAVIOURS[os.environ[VARIABLE]]()
    main()

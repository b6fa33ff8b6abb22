"""Steps with psycopg, asyncpg and SQLAlchemy, and a scripted back end."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable

import asyncpg
import psycopg
import sqlalchemy
from behave import then
from behave.runner import Context

from features.support.client_side_runner import DATABASE, PASSWORD, ClientSide, shared_client_side

REPEATS = 20
TOKEN = b"limedyke.session"


def _value(connection: psycopg.Connection, text: str = "select 1", *options: object) -> str:
    return connection.execute(text, *options).fetchone()[0]


def _sqlstate(action: Callable[[], object]) -> str:
    try:
        action()
    except psycopg.Error as error:
        return error.sqlstate or type(error).__name__
    return "no error"


def _status(connection: psycopg.Connection) -> str:
    return connection.info.transaction_status.name


def plain(side: ClientSide, connection: psycopg.Connection) -> str:
    """Run a simple query."""
    return _value(connection)


def parameters(side: ClientSide, connection: psycopg.Connection) -> str:
    """Run an extended query."""
    return _value(connection, "select %s", (1,))


def prepared(side: ClientSide, connection: psycopg.Connection) -> str:
    """Run a statement often enough for the driver to prepare it."""
    values = {
        connection.execute("select %s", (number,), prepare=True).fetchone()[0]
        for number in range(REPEATS)
    }
    return f"{', '.join(values)} x {REPEATS}"


def deallocated(side: ClientSide, connection: psycopg.Connection) -> str:
    """Prepare a statement, deallocate it at the proxy, and prepare again."""
    first = connection.execute("select %s", (1,), prepare=True).fetchone()[0]
    connection.execute("DEALLOCATE ALL")
    return f"{first}, {connection.execute('select %s', (2,), prepare=True).fetchone()[0]}"


def pipelined(side: ClientSide, connection: psycopg.Connection) -> str:
    """Send three statements before reading an answer."""
    with connection.pipeline():
        cursors = [connection.execute("select %s", (number,)) for number in range(3)]
        return ", ".join(cursor.fetchone()[0] for cursor in cursors)


def pipeline_error(side: ClientSide, connection: psycopg.Connection) -> str:
    """Let the first statement of a pipeline fail."""
    outcomes = []
    with connection.pipeline() as pipeline:
        failing = connection.cursor()
        later = connection.cursor()
        failing.execute("select %s fail", (1,))
        later.execute("select %s", (2,))
        outcomes.append(_sqlstate(pipeline.sync))
        try:
            later.fetchone()
        except (psycopg.errors.PipelineAborted, psycopg.ProgrammingError):
            outcomes.append("aborted")
    return ", ".join([*outcomes, _value(connection)])


def pipelined_transaction(side: ClientSide, connection: psycopg.Connection) -> str:
    """Run a transaction within a pipeline."""
    connection.autocommit = False
    with connection.pipeline() as pipeline:
        cursor = connection.execute("insert into a values (%s)", (1,))
        pipeline.sync()
        tag = cursor.statusmessage
        inside = _status(connection)
        connection.commit()
    return f"{tag}, {inside}, {_status(connection)}"


def transactions(side: ClientSide, connection: psycopg.Connection) -> str:
    """Commit one transaction and roll another back."""
    with connection.transaction():
        connection.execute("insert into a values (1)")
    first = _status(connection)
    with connection.transaction(force_rollback=True):
        connection.execute("insert into a values (1)")
    return f"{first}, {_status(connection)}"


def transaction_error(side: ClientSide, connection: psycopg.Connection) -> str:
    """Fail inside a transaction and go on in it."""
    connection.execute("begin")
    connection_error = _sqlstate(lambda: connection.execute("select fail"))
    assert connection_error == "22012", connection_error
    inside = _status(connection)
    again = _sqlstate(lambda: connection.execute("select 1"))
    connection.execute("rollback")
    return f"{inside}, {again}, {_status(connection)}"


def savepoints(side: ClientSide, connection: psycopg.Connection) -> str:
    """Nest transactions."""
    with connection.transaction(), connection.transaction():
        value = _value(connection)
    return f"{value}, {_status(connection)}"


def _copy(connection: psycopg.Connection, text: str) -> str:
    def run() -> None:
        with connection.cursor().copy(text) as copy:
            copy.read()

    return _sqlstate(run)


def copy_to(side: ClientSide, connection: psycopg.Connection) -> str:
    """Ask for COPY TO STDOUT."""
    return f"{_copy(connection, 'copy a to stdout')}, {_value(connection)}"


def copy_from(side: ClientSide, connection: psycopg.Connection) -> str:
    """Ask for COPY FROM STDIN."""
    return f"{_copy(connection, 'copy a from stdin')}, {_value(connection)}"


def copy_inside(side: ClientSide, connection: psycopg.Connection) -> str:
    """Ask for COPY in a transaction, which fails with it."""
    connection.execute("begin")
    code = _copy(connection, "copy a from stdin")
    inside = _status(connection)
    connection.execute("rollback")
    return f"{code}, {inside}, {_status(connection)}"


def listen(side: ClientSide, connection: psycopg.Connection) -> str:
    """Ask for notifications."""
    code = _sqlstate(lambda: connection.execute("listen channel"))
    return f"{code}, {_value(connection)}"


def many(side: ClientSide, connection: psycopg.Connection) -> str:
    """Run a statement for several parameters."""
    cursor = connection.cursor()
    cursor.executemany("insert into a values (%s)", [(1,), (2,), (3,)])
    return str(cursor.rowcount)


def cancelling(side: ClientSide, connection: psycopg.Connection) -> str:
    """Cancel a running statement from another thread."""
    name = f"never{time.monotonic_ns()}"

    def cancel() -> None:
        side.wait(lambda: any(name in str(item) for item in side.work))
        connection.cancel()

    thread = threading.Thread(target=cancel)
    thread.start()
    code = _sqlstate(lambda: connection.execute(f"select pause({name})"))
    thread.join()
    return f"{code}, {_value(connection)}"


def token(side: ClientSide, connection: psycopg.Connection) -> str:
    """Read the session token before and after a write."""
    before = connection.pgconn.parameter_status(TOKEN)
    connection.execute("insert into a values (1)")
    after = connection.pgconn.parameter_status(TOKEN)
    return "changed" if before and after and before != after else "the same"


def with_asyncpg(side: ClientSide, connection: psycopg.Connection) -> str:
    """Connect with asyncpg, which names its encoding ``'utf-8'``, and run a statement."""

    async def run() -> str:
        host, port = side.address
        other = await asyncpg.connect(
            host=host, port=port, user="app", password=PASSWORD, database=DATABASE, ssl=False
        )
        try:
            status = await other.execute("select 1")
        finally:
            await other.close()
        return f"utf-8 taken, {status.lower()}"

    return asyncio.run(run())


def with_sqlalchemy(side: ClientSide, connection: psycopg.Connection) -> str:
    """Run a statement through an engine, whose dialect asks for the version first.

    The other queries of the dialect are left out, because the scripted back end answers every
    query with its own text.
    """
    host, port = side.address
    url = sqlalchemy.URL.create("postgresql+psycopg", "app", PASSWORD, host, port, DATABASE)
    engine = sqlalchemy.create_engine(url, connect_args={"sslmode": "disable"})
    asked: list[str] = []

    def version(other: sqlalchemy.Connection) -> tuple[int, int]:
        asked.append(other.exec_driver_sql("select pg_catalog.version()").scalar())
        return (16, 0)

    engine.dialect.initialize = version
    with engine.connect() as other:
        value = other.exec_driver_sql("select 1").scalar()
    engine.dispose()
    assert asked == ["select pg_catalog.version()"], asked
    return str(value)


CASES = {
    "a session of asyncpg": with_asyncpg,
    "an engine of SQLAlchemy": with_sqlalchemy,
    "plain statements": plain,
    "statements with parameters": parameters,
    "prepared statements, used often": prepared,
    "prepared statements, then DEALLOCATE": deallocated,
    "pipelined statements": pipelined,
    "an error in a pipeline": pipeline_error,
    "a pipelined transaction": pipelined_transaction,
    "transactions by context": transactions,
    "an error in a transaction": transaction_error,
    "savepoints": savepoints,
    "COPY to": copy_to,
    "COPY from": copy_from,
    "COPY in a transaction": copy_inside,
    "LISTEN": listen,
    "many rows of a statement by executemany": many,
    "cancelling": cancelling,
    "the token after a write": token,
}


@then("client: the driver's {case} give {result}")
def then_driver_gives(context: Context, case: str, result: str) -> None:
    side = shared_client_side()
    with side.psycopg() as connection:
        found = CASES[case](side, connection)
    assert found == result, found

"""Steps for the stand-in database's protocol: execution modes, portals and batches."""

import struct

import psycopg
from behave import then, when

from features.support.database_group import (
    attempt,
)
from features.support.raw_messages import SYNC, count, exchange, extended, message


@when("lab database: 100 rows are written and read back in mode {mode}")
def write_and_read(context, mode):
    client = context.client
    client.execute("CREATE TABLE sample (id int8, r float8, t text, b bytea)")
    context.written = [(i, i / 4, f"ü{i}", bytes([i])) for i in range(100)]
    insert = "INSERT INTO sample VALUES (%s, %s, %s, %s)"
    select = "SELECT * FROM sample ORDER BY id"
    if mode == "pipeline":
        with client.pipeline():
            for row in context.written:
                client.execute(insert, row)
            context.read = client.execute(select).fetchall()
        return
    if mode == "prepared":
        client.prepare_threshold = 0
    for row in context.written:
        if mode == "simple":
            with psycopg.ClientCursor(client) as cursor:
                cursor.execute(insert, row)
        else:
            client.execute(insert, row)
    context.read = client.execute(select, binary=mode == "binary").fetchall()


@then("lab database: the rows read are the rows written")
def rows_same(context):
    assert context.read == context.written, context.read[:3]


@when("lab database: {total:d} rows are fetched by a portal of {limit:d} rows")
def fetch_by_portal(context, total, limit):
    select = f"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i<{total}) "
    data = extended(select + "SELECT i FROM n", limit)
    data += message(b"E", b"\0" + struct.pack("!I", limit)) * 2 + SYNC
    context.messages = exchange(context.client, data, lambda got: count(got, b"Z") > 0)


@then("lab database: the portal was suspended {times:d} times and returned {total:d} rows")
def portal_suspended(context, times, total):
    assert count(context.messages, b"s") == times, context.messages
    assert count(context.messages, b"D") == total, context.messages


@when("lab database: a opens a write of row 1 by {ending}")
def open_write(context, ending):
    statement = "INSERT INTO item VALUES (1, 'open')"
    if ending == "COMMIT":
        context.client.execute("BEGIN")
        context.client.execute(statement)
        context.end_write = lambda: attempt(context.client, "COMMIT")
        return
    data = extended(statement) + message(b"H", b"")
    got = exchange(context.client, data, lambda messages: count(messages, b"C") > 0)
    assert count(got, b"C") == 1, got

    def synchronise():
        messages = exchange(context.client, SYNC, lambda found: count(found, b"Z") > 0)
        errors = [body for kind, body in messages if kind == b"E"]
        return errors[0].split(b"\0C")[1][:5].decode() if errors else messages

    context.end_write = synchronise


@then("lab database: ending the write gives error {sqlstate}")
def ending_fails(context, sqlstate):
    answer = context.end_write()
    assert answer == sqlstate, answer


@when(
    "lab database: a batch of an insert of row 70 and a batch of SELECT 'second' are sent together"
)
def two_batches(context):
    data = extended("INSERT INTO item VALUES (70, 'first')") + SYNC
    data += extended("SELECT 'second'") + SYNC
    messages = exchange(context.client, data, lambda got: count(got, b"C") > 2)
    context.answer_tags = [body.split(b" ")[0].decode() for kind, body in messages if kind == b"C"]


@then("lab database: the command tags received are {tags}")
def command_tags_received(context, tags):
    assert (",".join(context.answer_tags) or "-") == tags, context.answer_tags


@then("lab database: row {number:d} was written")
def row_written(context, number):
    found = context.group.answer("a", f"SELECT count(*) FROM item WHERE id = {number}")
    assert found == [[1]], found

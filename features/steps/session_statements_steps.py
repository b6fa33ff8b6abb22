"""Steps for the classification of statements: given statements and generated ones."""

from __future__ import annotations

from unittest import mock

from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from features.support.session_exchange import SessionExchange
from limedyke.core.sql import read_proof
from limedyke.core.sql.statement import StatementProfile
from limedyke.core.sql.statement_cache import StatementCache
from limedyke.core.sql.statement_classifier import classify
from limedyke.messages.work import Access

WRITES = (
    "INSERT INTO a VALUES (1)",
    "UPDATE a SET b = 'x'",
    "DELETE FROM a WHERE b = 2",
    "WITH w AS (DELETE FROM a RETURNING b) SELECT * FROM w",
    "WITH w AS (SELECT 1) INSERT INTO a SELECT * FROM w",
    "SELECT * FROM a FOR UPDATE",
    "SELECT * INTO b FROM a",
    "SELECT do_write(1)",
    "SELECT abs(do_write(1))",
    "SELECT s.now()",
    "SELECT * FROM a WHERE b IN (SELECT do_write('x'))",
    "SELECT nextval('s')",
    "EXPLAIN ANALYZE DELETE FROM a",
    "EXPLAIN (ANALYZE true) UPDATE a SET b = 1",
    "DO $x$BEGIN DELETE FROM a; END$x$",
    "CALL p(1)",
    "TRUNCATE a",
    "CREATE TABLE b AS SELECT 1",
)
READS = ("SELECT 1", "SELECT 'x', 2", "VALUES (1)", "SELECT now()", "TABLE a", "EXPLAIN SELECT 1")
_FILLERS = (" ", "\n", "\t", "/**/", "/* ; */", "/* ' */", '/* " */', "--\n", "-- '\n", "-- $$\n")
_LITERALS = (
    "'x'", "''", "'it''s'", "'--'", "'/*'", "';'", "E'\\''", "e'\\\\'", "$$;$$", "$a$'$a$",
    "$a$ $b$ ; $b$ $a$", "U&'\\0041'", "B'01'", "'\\'", "1", "1e-5", "0x1F", "$1",
    '"select"', '"a;b"', '"""x"',
)  # fmt: skip
fillers = st.lists(st.sampled_from(_FILLERS), max_size=3).map("".join)
literals = st.sampled_from(_LITERALS)
cases = st.sampled_from((str.upper, str.lower, str.swapcase))


@st.composite
def wrapped(draw: st.DrawFn, statements: tuple[str, ...]) -> str:
    """Draw a statement with comments between its words, surrounded by reads."""
    statement = draw(st.sampled_from(statements))
    words = statement.split(" ")
    if "$x$" not in statement:
        change = draw(cases)
        words = [word if "'" in word else change(word) for word in words]
    text = "".join(word + " " + draw(fillers) for word in words)
    before = [f"SELECT {draw(literals)}" for _ in range(draw(st.integers(0, 2)))]
    after = [f"SELECT {draw(literals)}, {draw(literals)}" for _ in range(draw(st.integers(0, 1)))]
    return draw(fillers) + ";".join([*before, text, *after]) + draw(st.sampled_from(("", ";")))


def generated(count: int):
    """Return the settings of a generated test, which has the same cases in each run."""
    return settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


def kind_of(profile: StatementProfile) -> str:
    """Return "refusal", "read" or "write" for a profile."""
    return "refusal" if profile.refusal else profile.access.value


@then('session: "{statement}" is a {kind}')
def then_kind(context: Context, statement: str, kind: str) -> None:
    found = kind_of(StatementCache().get_profile(statement.encode()))
    assert found == kind, found


@then('session: "{text}" under the hint {hint} is sent as a {access}')
def then_sent_as(context: Context, text: str, hint: str, access: str) -> None:
    exchange = SessionExchange(context.folder)
    comment = "" if hint == "none" else f" /* limedyke_route='{hint}' */"
    exchange.send(f"Q {text}{comment}")
    found = exchange.units[-1].access.value
    assert found == access, found


def check_never_read(count: int) -> None:
    """Raise AssertionError if a wrapped write is classified as a read."""

    @generated(count)
    @given(wrapped(WRITES))
    def check(text: str) -> None:
        profile = classify(text.encode())
        assert profile.refusal or profile.access is Access.WRITE, text

    check()


@then("session: {count:d} writes in generated wrappings are not classified as reads")
def then_never_read(context: Context, count: int) -> None:
    check_never_read(count)


@then("session: the check finds a write classified as a read once unknown functions are trusted")
def then_check_finds(context: Context) -> None:
    trusted = mock.Mock(return_value=[])
    with (
        mock.patch.object(read_proof, "_called_names", trusted),
        mock.patch.object(read_proof, "_has_undeclared_call", mock.Mock(return_value=False)),
    ):
        try:
            check_never_read(100)
        except AssertionError:
            return
    raise AssertionError("the check found no write classified as a read")


@then("session: for {count:d} generated pairs of texts the cache agrees with the classifier")
def then_cache_agrees(context: Context, count: int) -> None:
    @generated(count)
    @given(wrapped(READS), wrapped(WRITES + READS))
    def check(first: str, second: str) -> None:
        cache = StatementCache()
        for text in (first, second, first):
            found = cache.get_profile(text.encode())
            expected = classify(text.encode())
            assert (found.access, found.refusal) == (expected.access, expected.refusal), text

    check()


@when("session: {count:d} texts that differ only in literals are looked up")
def when_same_shape(context: Context, count: int) -> None:
    context.cache = StatementCache()
    for number in range(count):
        text = f"SELECT a FROM t WHERE b = {number} AND c IN ('x{number}', {number})"
        context.cache.get_profile(text.encode())


@when("session: {count:d} texts of different shapes are looked up")
def when_other_shapes(context: Context, count: int) -> None:
    for number in range(count):
        context.cache.get_profile(f"SET a.b{number} = 1".encode())


@then("session: {parsed:d} text was parsed and the cache holds at most {limit:d}")
def then_parsed(context: Context, parsed: int, limit: int) -> None:
    assert context.cache.parsed == parsed, context.cache.parsed
    then_bounded(context, limit)


@then("session: the cache holds at most {limit:d}")
def then_bounded(context: Context, limit: int) -> None:
    sizes = context.cache.sizes
    assert max(sizes) <= limit, sizes

"""Steps for the codec and the frames of the internal protocol."""

from __future__ import annotations

import importlib
import pkgutil
from dataclasses import asdict, dataclass

import ormsgpack
from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

import limedyke.messages
from limedyke.messages.codec import decode, encode
from limedyke.messages.handshake import PROTOCOL_VERSION, LinkHello, PeerRole
from limedyke.messages.registry import CLASS_BY_KIND, KIND_BY_CLASS, message
from limedyke.result_codes import ResultCode
from limedyke.transport.framing import (
    MAXIMUM_FRAME_BYTES,
    FrameReader,
    FrameTooLargeError,
    frame,
)

EXAMPLES_PER_KIND = 15
MAXIMUM_INTEGER = 2**63 - 1
UNKNOWN_KIND = 9_999

HELLO = LinkHello(PROTOCOL_VERSION, PeerRole.PROXY, "p1", b"n" * 16)
HELLO_KIND = KIND_BY_CLASS[LinkHello]


def _damaged(damage: str) -> bytes:
    fields = asdict(HELLO)
    forms = {
        "an empty message": b"",
        "a message cut in half": encode(HELLO)[:-9],
        "bytes that are not msgpack": b"\xc1\xc1\xc1",
        "an unknown kind": ormsgpack.packb((UNKNOWN_KIND, fields)),
        "a missing field": ormsgpack.packb((HELLO_KIND, {"version": 1})),
        "a field of another type": ormsgpack.packb((HELLO_KIND, {**fields, "version": "one"})),
        "a field that is not declared": ormsgpack.packb((HELLO_KIND, {**fields, "more": 1})),
        "a bare number": ormsgpack.packb(7),
    }
    return forms[damage]


@given("messages: examples of every registered kind")
def step_examples(context):
    for module in pkgutil.iter_modules(limedyke.messages.__path__):
        importlib.import_module(f"limedyke.messages.{module.name}")
    st.register_type_strategy(
        int, st.integers(min_value=-MAXIMUM_INTEGER, max_value=MAXIMUM_INTEGER)
    )
    context.classes = [CLASS_BY_KIND[kind] for kind in sorted(CLASS_BY_KIND)]
    assert len(context.classes) > 40, f"only {len(context.classes)} kinds are registered"


@when("messages: each is encoded and decoded")
def step_round_trips(context):
    context.differences = []

    def check(cls):
        @seed(1)
        @settings(
            max_examples=EXAMPLES_PER_KIND,
            deadline=None,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        @for_all(st.from_type(cls))
        def round_trip(example):
            decoded = decode(encode(example))
            if decoded.ok() != example:
                context.differences.append((example, decoded))

        round_trip()

    for cls in context.classes:
        check(cls)


@then("messages: each result equals what was encoded")
def step_no_differences(context):
    assert not context.differences, context.differences[0]


@when("messages: a second class registers kind 10")
def step_second_class(context):
    context.error = None
    try:

        @message(HELLO_KIND)
        @dataclass(frozen=True)
        class Other:
            """A class that takes a kind in use."""

    except ValueError as error:
        context.error = error


@then('messages: the registration is refused naming "{owner}"')
def step_registration_refused(context, owner):
    assert context.error is not None
    assert owner in str(context.error)


@when("messages: {damage} is decoded")
def step_decode_damaged(context, damage):
    context.answer = decode(_damaged(damage))


@then("messages: the answer is PROTOCOL_VIOLATION")
def step_violation(context):
    assert context.answer.is_err(), context.answer
    assert context.answer.err_value.code is ResultCode.PROTOCOL_VIOLATION


@then("messages: the answer is the message without that field")
def step_field_ignored(context):
    assert context.answer.ok() == HELLO, context.answer


@given("messages: frames of {sizes} bytes in one stream")
def step_frames(context, sizes):
    context.frames = [bytes([n % 251]) * int(size) for n, size in enumerate(sizes.split(","))]
    context.stream = b"".join(frame(data) for data in context.frames)


@when("messages: the stream is fed in pieces of {piece:d} bytes")
def step_feed(context, piece):
    reader = FrameReader()
    context.received = []
    for start in range(0, len(context.stream), piece):
        context.received += reader.feed(context.stream[start : start + piece])


@then("messages: the frames are read completely and in order")
def step_frames_equal(context):
    assert context.received == context.frames


@when("messages: a frame one byte above the limit is announced")
def step_too_large(context):
    context.error = None
    try:
        FrameReader().feed((MAXIMUM_FRAME_BYTES + 1).to_bytes(4, "big"))
    except FrameTooLargeError as error:
        context.error = error


@then("messages: the frame is refused as MESSAGE_TOO_LARGE")
def step_frame_refused(context):
    assert context.error.failure.code is ResultCode.MESSAGE_TOO_LARGE

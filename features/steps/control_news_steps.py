"""Steps for the control updates that the leader sends to proxies."""

from __future__ import annotations

import random

from behave import given, then, when

from features.support.control_builders import StateUnderTest, a_declaration, a_group, a_proxy
from limedyke.controller.leading.update_cache import UpdateCache
from limedyke.core.control.update_ring import UpdateRing
from limedyke.messages.codec import decode, encode
from limedyke.messages.control import ControlSnapshot
from limedyke.messages.control_entries import ConfirmPlan, RecordProxies
from limedyke.proxy.control.view import ControlViewBuilder
from limedyke.transport.framing import (
    MAXIMUM_FRAME_BYTES,
    FrameError,
    FrameReader,
    compressed_frame,
)

ALL_KEPT = 4_096
STEPS = 60
CONFIRMED_AT = 1_010
PIECES = (1, 7, 1_000)


class CacheUnderTest:
    """A state, its updates and the cache over them."""

    def __init__(self, kept: int) -> None:
        self.test = StateUnderTest()
        self.ring = UpdateRing(kept)
        self.cache = UpdateCache(self.test.state, self.ring)

    def change(self, number: int) -> None:
        """Record a new proxy."""
        update = self.test.apply(RecordProxies((a_proxy(f"p{number}"),))).update
        if update is not None:
            self.ring.add(update)


class Follower:
    """A proxy that follows the cache."""

    def __init__(self, cache: UpdateCache) -> None:
        self._cache = cache
        self.builder = ControlViewBuilder()
        self.snapshots = 0
        self.updates = 0

    @property
    def index(self) -> int:
        """The control index of its state."""
        return self.builder.view.control_index if self.builder.view else 0

    def follow(self) -> None:
        """Apply all new updates."""
        while (cached := self._cache.since(self.index)) is not None:
            (data,) = FrameReader().feed(cached.framed)
            message = decode(data).unwrap()
            assert message.control_index == cached.control_index > self.index
            if isinstance(message, ControlSnapshot):
                self.snapshots += 1
                self.builder.apply_snapshot(message)
            else:
                self.updates += 1
                assert self.builder.apply_update(message) is not None


@then(
    "news: in {histories:d} histories with {kept:d} updates kept, all views become the current one"
)
def _(context, histories, kept):
    for seed in range(histories):
        generator = random.Random(seed)
        under_test = CacheUnderTest(kept)
        followers = [Follower(under_test.cache) for _ in range(4)]
        for number in range(STEPS):
            under_test.change(number)
            generator.choice(followers).follow()
        whole = ControlViewBuilder().apply_snapshot(under_test.test.state.snapshot_for_proxies())
        for follower in followers:
            follower.follow()
            assert follower.builder.view == whole


def _declare_groups(context, groups: int, kept: int) -> None:
    context.under_test = CacheUnderTest(kept)
    declaration = a_declaration(*(a_group(f"g{number}") for number in range(groups)))
    context.under_test.test.bring_into_force(declaration)


@given("news: a state with nothing declared")
def _(context):
    context.under_test = CacheUnderTest(ALL_KEPT)


@when("news: a proxy without state connects")
def _(context):
    context.follower = Follower(context.under_test.cache)
    first = context.under_test.cache.since(0)
    assert first.control_index == 0
    (data,) = FrameReader().feed(first.framed)
    context.follower.builder.apply_snapshot(decode(data).unwrap())


@when("news: the first declaration comes into force")
def _(context):
    test = context.under_test.test
    plan = test.plan(a_declaration(a_group("g")), "first")
    entry = ConfirmPlan("confirm first", "anna", plan.plan_id, CONFIRMED_AT)
    context.under_test.ring.add(test.apply(entry).update)


@then("news: the proxy has it in force")
def _(context):
    context.follower.follow()
    assert list(context.follower.builder.view.groups) == ["g"]


@given("news: a state with {groups:d} groups, and {kept:d} updates kept")
def _(context, groups, kept):
    _declare_groups(context, groups, kept)


@given("news: a state with {groups:d} groups")
def _(context, groups):
    _declare_groups(context, groups, ALL_KEPT)


@when("news: {count:d} proxies without state connect, each after another change")
def _(context, count):
    under_test = context.under_test
    context.followers = []
    for number in range(count):
        under_test.change(number)
        follower = Follower(under_test.cache)
        follower.follow()
        context.followers.append(follower)
        assert follower.index == under_test.test.state.control_index


@then("news: {count:d} snapshot was encoded")
def _(context, count):
    assert context.under_test.cache.snapshots_encoded == count


@then("news: at least {fewest:d} and at most {most:d} snapshots were encoded")
def _(context, fewest, most):
    encoded = context.under_test.cache.snapshots_encoded
    assert fewest <= encoded <= most, encoded


@then("news: each took {snapshots:d} snapshot and at most {updates:d} updates")
def _(context, snapshots, updates):
    taken = {(follower.snapshots, follower.updates <= updates) for follower in context.followers}
    assert taken == {(snapshots, True)}, taken


@then("news: the snapshot's frame is less than a fifth of the message, and decodes to it")
def _(context):
    under_test = context.under_test
    context.message = encode(under_test.test.state.snapshot_for_proxies())
    context.framed = under_test.cache.since(0).framed
    assert len(context.framed) < len(context.message) / 5
    assert FrameReader().feed(context.framed) == [context.message]


@then("news: the same holds if the frame arrives in pieces")
def _(context):
    for size in PIECES:
        reader, read = FrameReader(), []
        for start in range(0, len(context.framed), size):
            read += reader.feed(context.framed[start : start + size])
        assert read == [context.message], size


@when("news: the snapshot's frame {damage}")
def _(context, damage):
    framed = bytearray(context.under_test.cache.since(0).framed)
    match damage:
        case "has a flipped byte":
            framed[len(framed) // 2] ^= 0xFF
        case "is truncated":
            size = (len(framed) - 4 - 10) | 0x8000_0000
            framed = bytearray(size.to_bytes(4, "big")) + framed[4:-10]
        case "exceeds the maximum frame size":
            framed = bytearray(compressed_frame(bytes(MAXIMUM_FRAME_BYTES + 1)))
    context.framed = bytes(framed)


@then("news: reading it fails with {code}")
def _(context, code):
    try:
        read = FrameReader().feed(context.framed)
    except FrameError as error:
        assert error.failure.code.name == code, error.failure
        return
    raise AssertionError(len(read))

"""Steps on the counting of bytes by purpose and distance."""

from __future__ import annotations

from collections import Counter

import curio
from behave import then, when

from features.steps.statement_path_steps import run
from features.support.statement_path import GROUP
from limedyke.messages.calls import ForwardedCall
from limedyke.messages.control import ProxyHeartbeat, ProxyState
from limedyke.messages.handshake import PeerRole
from limedyke.messages.registry import KIND_BY_CLASS
from limedyke.transport.link import LinkIdentity, dial, listen, serve_links
from limedyke.transport.traffic import Place, purpose_of_kind

KEY = b"key"
QUESTION_TIMEOUT_S = 1.0
CLASS_BY_NAME = {cls.__name__: cls for cls in KIND_BY_CLASS}
assert ForwardedCall in KIND_BY_CLASS


class CountingMeter:
    """Keeps what was counted."""

    def __init__(self) -> None:
        self.bytes: Counter = Counter()

    def count(self, purpose, distance, direction, size) -> None:
        """Add to what was counted."""
        self.bytes[(purpose.value, distance.value, direction.value)] += size


def place(text: str) -> Place:
    """Return the place written as zone and region; a dash stands for one that isn't known."""
    zone, region = (word.replace("-", "") for word in text.split())
    return Place(zone, region)


@then('traffic: from "{own}" to "{other}" it is "{distance}"')
def step_distance(context, own, other, distance):
    assert place(own).distance_to(place(other)) == distance


@then('traffic: "{name}" is counted as "{purpose}"')
def step_purpose(context, name, purpose):
    found = purpose_of_kind(KIND_BY_CLASS[CLASS_BY_NAME[name]])
    assert found == purpose, found


@when("traffic: a proxy in z1 of r1 sends {count:d} heartbeats to a controller in z2 of r2")
def step_send(context, count):
    context.meter = CountingMeter()
    own = LinkIdentity(PeerRole.PROXY, "p", KEY, Place("z1", "r1"), context.meter)
    peer = LinkIdentity(PeerRole.CONTROLLER, "c", KEY, Place("z2", "r2"))

    async def receive(link):
        while True:
            await link.receive()

    async def main():
        listener = listen("127.0.0.1:0").unwrap()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        server = await curio.spawn(serve_links, listener, peer, lambda *_: KEY, receive)
        link = (await dial(address, own, lambda *_: KEY)).unwrap()
        greeted = link.counters.bytes_out
        for number in range(count):
            await link.send(ProxyHeartbeat(number, 1, 1, ProxyState.SERVING, 0))
        context.sent = link.counters.bytes_out - greeted
        await link.close()
        await server.cancel()
        await listener.close()

    curio.run(main)


@then('traffic: it counted bytes out for "{purpose}" to "{distance}"')
def step_counted(context, purpose, distance):
    assert context.meter.bytes[(purpose, distance, "out")] > 0, context.meter.bytes


@then('traffic: it counted as many bytes out for "{purpose}" to "{distance}" as the link')
def step_counted_all(context, purpose, distance):
    assert context.meter.bytes[(purpose, distance, "out")] == context.sent, context.meter.bytes


@when("traffic: {name:w} is asked for its position")
def step_ask_position(context, name):
    groups = context.path.groups
    pool = groups.groups[GROUP].pools[name]
    queries = groups._runner.queries
    assert run(context, queries.ask_status, pool, QUESTION_TIMEOUT_S) is not None


@then('traffic: the metrics hold bytes of "{purpose}" out and in')
def step_metrics(context, purpose):
    for direction in ("out", "in"):
        labels = {"purpose": purpose, "distance": "unknown", "direction": direction}
        counted = context.path.registry.get_sample_value("limedyke_traffic_bytes_total", labels)
        assert counted, (purpose, direction)

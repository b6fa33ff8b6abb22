"""Steps that replay loads on one member with the decisions of all its home proxies."""

from __future__ import annotations

import heapq
import itertools
import random
import re
from collections import deque
from dataclasses import dataclass, field

from behave import given, then, when

from limedyke.core.statements.concurrency_limit import ConcurrencyLimit

MS_PER_S = 1_000.0
SLOTS = 4
QUEUE = 32
NETWORK_S = 0.001
SERVICE_S = 0.012
WAIT_TIMEOUT_S = 0.5
BUSY_S = 0.001
WORK = "read"
SHARE_MOVES_AT = 0.5
SEED = 3


@dataclass
class _FixedLimit:
    """The fixed limit of a lease, independent of observations."""

    limit: int

    def has_room(self, under_way):
        return under_way < self.limit

    def answered(self, kind, seconds, under_way, now):
        return

    def turned_away(self, seconds, now):
        return


@dataclass
class _Proxy:
    limit: object
    under_way: int = 0
    waiting: deque = field(default_factory=deque)


class _MemberLoad:
    """One member and its home proxies in simulated time."""

    def __init__(self, limits):
        self.now = 0.0
        self.service_s = SERVICE_S
        self.generator = None
        self.proxies = [_Proxy(limit) for limit in limits]
        self.arrived = self.shed = 0
        self.served = []
        self._busy = 0
        self._queue = deque()
        self._events = []
        self._numbers = itertools.count()
        for proxy in self.proxies:
            proxy.limit.connected(2 * NETWORK_S) if hasattr(proxy.limit, "connected") else None

    def run(self, rate, seconds, choose):
        """Simulate ``rate`` requests per second; ``choose`` selects the proxy of each."""
        began_at = self.now
        count = int(rate * seconds)
        for number in range(count):
            proxy = self.proxies[choose(number, number / count) % len(self.proxies)]
            self._at(began_at + number / rate, self._add_request, proxy)
        while self._events and self._events[0][0] < began_at + seconds:
            self.now, _, action, details = heapq.heappop(self._events)
            action(*details)
        self.now = began_at + seconds

    def _at(self, moment, action, *details):
        heapq.heappush(self._events, (moment, next(self._numbers), action, details))

    def _add_request(self, proxy):
        proxy.waiting.append(self.now)
        self._send(proxy)

    def _send(self, proxy):
        while proxy.waiting and proxy.limit.has_room(proxy.under_way):
            if proxy.waiting.popleft() + WAIT_TIMEOUT_S < self.now:
                continue
            proxy.under_way += 1
            self._at(self.now + NETWORK_S, self._arrive, proxy, self.now)

    def _arrive(self, proxy, sent_at):
        self.arrived += 1
        if self._busy < SLOTS:
            self._begin(proxy, sent_at)
        elif len(self._queue) < QUEUE:
            self._queue.append((proxy, sent_at))
        else:
            self.shed += 1
            self._at(self.now + BUSY_S + NETWORK_S, self._turned_away, proxy, sent_at)

    def _begin(self, proxy, sent_at):
        self._busy += 1
        service_s = self.service_s
        if self.generator is not None:
            service_s = self.generator.expovariate(1.0 / service_s)
        self._at(self.now + service_s, self._done, proxy, sent_at)

    def _done(self, proxy, sent_at):
        self._busy -= 1
        if self._queue:
            self._begin(*self._queue.popleft())
        self._at(self.now + NETWORK_S, self._answered, proxy, sent_at)

    def _answered(self, proxy, sent_at):
        self.served.append((self.now, self.now - sent_at))
        proxy.limit.answered(WORK, self.now - sent_at, proxy.under_way, self.now)
        proxy.under_way -= 1
        self._send(proxy)

    def _turned_away(self, proxy, sent_at):
        proxy.limit.turned_away(self.now - sent_at, self.now)
        proxy.under_way -= 1
        self._send(proxy)


def _evenly(number, share):
    return number


def _all_to_one(number, share):
    return 0


def _to_one_then_another(number, share):
    return 0 if share < SHARE_MOVES_AT else 1


SPREADS = {
    "evenly": _evenly,
    "all to one": _all_to_one,
    "to one, then another": _to_one_then_another,
}


@given("concurrency: {count:d} home proxies with leases of {lease:d}")
def step_leases(context, count, lease):
    context.load = _MemberLoad([_FixedLimit(lease) for _ in range(count)])


@given("concurrency: {count:d} home proxies with limits that adapt")
def step_limits(context, count):
    context.load = _MemberLoad([ConcurrencyLimit(SLOTS, count) for _ in range(count)])


@given("concurrency: the member's times vary, from next to nothing to several times 12 ms")
def step_times_vary(context):
    context.load.generator = random.Random(SEED)


@when("concurrency: {rate:d} requests a second arrive for {seconds:d} s, {spread}")
def step_requests(context, rate, seconds, spread):
    context.seconds = seconds
    context.load.run(rate, seconds, SPREADS[spread])


@when(
    "concurrency: the member takes {service:d} ms, and {rate:d} requests a second arrive for "
    "{seconds:d} s, {spread}"
)
def step_slow_requests(context, service, rate, seconds, spread):
    context.load.service_s = service / MS_PER_S
    step_requests(context, rate, seconds, spread)


@then("concurrency: the member refuses {bound} {percent:g} % of arrivals")
def step_shed(context, bound, percent):
    share = 100.0 * context.load.shed / context.load.arrived
    assert share >= percent if bound == "at least" else share <= percent, share


@then("concurrency: it serves at least {rate:d} requests a second")
def step_served(context, rate):
    assert len(context.load.served) / context.seconds >= rate, len(context.load.served)


@then("concurrency: in the last second it serves at least {count:d} requests")
def step_served_lately(context, count):
    served = [taken for at, taken in context.load.served if at > context.load.now - 1.0]
    assert len(served) >= count, len(served)


@then(
    "concurrency: in the last second the usual answer took at most {longest:d} ms, half of the "
    "time with a full queue"
)
def step_took(context, longest):
    times = sorted(taken for at, taken in context.load.served if at > context.load.now - 1.0)
    median_s = times[len(times) // 2]
    assert median_s <= longest / MS_PER_S, median_s


@given("concurrency: the limit of one of {count:d} home proxies")
def step_one_limit(context, count):
    context.now = 100.0
    context.limit = ConcurrencyLimit(SLOTS, count)


@given("concurrency: the round trip of the network takes {network:d} ms")
def step_network(context, network):
    context.limit.connected(network / MS_PER_S)


def _answer(context, seconds):
    context.now += seconds
    context.limit.answered(WORK, seconds, context.limit.limit, context.now)


@given("concurrency: answers take {times} ms")
@when("concurrency: answers take {times} ms")
def step_answers(context, times):
    for milliseconds in re.findall(r"\d+", times):
        _answer(context, int(milliseconds) / MS_PER_S)


@when("concurrency: {count:d} answers take {time:d} ms while the limit is fully used")
def step_many_answers(context, count, time):
    for _ in range(count):
        _answer(context, time / MS_PER_S)


@when("concurrency: the member turns {count:d} away{how}")
def step_turned_away(context, count, how):
    for _ in range(count):
        if how != " at once":
            context.now += SERVICE_S
        context.limit.turned_away(SERVICE_S / 2, context.now)


@when("concurrency: the member turns {count:d} away")
def step_turned_some_away(context, count):
    step_turned_away(context, count, "")


@when("concurrency: nothing comes for {silence:d} ms")
def step_nothing_comes(context, silence):
    context.now += silence / MS_PER_S
    context.limit.unanswered(silence / MS_PER_S, context.now)


@then("concurrency: the limit is {limit:d}")
def step_limit_is(context, limit):
    assert context.limit.limit == limit, context.limit


@then("concurrency: the limit is more than {limit:d}")
def step_limit_is_more(context, limit):
    assert context.limit.limit > limit, context.limit

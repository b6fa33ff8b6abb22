"""Steps that replay reads with the choices and limits of all home proxies."""

from __future__ import annotations

import heapq
import itertools
import random
import re
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

from behave import given, then, when
from prometheus_client import generate_latest

from limedyke.core.statements.answer_quality import AnswerQuality
from limedyke.core.statements.observed_member import ObservedMember
from limedyke.core.statements.primary_outage import OutageTimes
from limedyke.core.statements.routing import order_for_read
from limedyke.messages.databases import AnnouncedMember, MemberState
from limedyke.messages.work import LogPosition
from limedyke.metrics import new_registry
from limedyke.proxy.statements.group import StatementGroup
from limedyke.proxy.statements.members import member_judgement
from limedyke.proxy.statements.members.member_gauges import PREFIX, MemberGauges
from limedyke.proxy.statements.members.member_judgement import MemberJudgement

ROOT = Path(__file__).parents[2]
MS_PER_S = 1_000.0
SLOTS = 4
QUEUE = 32
NETWORK_S = 0.001
SERVICE_S = 0.012
PROXIES = 7
READ_TIMEOUT_S = 0.1
TARGET_S = 0.5
READ = "read"
NOWHERE = LogPosition()
PERIOD_S = 1.6
NOW = 100.0
SEED = 7


@dataclass
class _Member:
    """A member that may be slow, mute, failing or flapping."""

    service_s: float = SERVICE_S
    answered_share: float = 1.0
    failed_share: float = 0.0
    breaks: bool = False
    flaps: bool = False
    busy: int = 0
    queue: deque = field(default_factory=deque)

    def fails(self, now, generator):
        if self.flaps:
            return int(now / PERIOD_S) % 2 == 1
        return generator.random() < self.failed_share


@dataclass
class _Read:
    arrived_at: float
    sent_at: float = 0.0
    is_over: bool = False


class _ReadLoad:
    """Three members and seven home proxies in simulated time."""

    def __init__(self):
        self.now = 0.0
        self.members = {name: _Member() for name in "abc"}
        self.proxies = [
            {name: _observed(name, PROXIES) for name in self.members} for _ in range(PROXIES)
        ]
        self.waiting = [deque() for _ in self.proxies]
        self.sent, self.lost, self.served = [], [], []
        self.shed = 0
        self._generator = random.Random(SEED)
        self._events = []
        self._numbers = itertools.count()

    def run(self, rate, seconds):
        for number in range(int(rate * seconds)):
            self._at(number / rate, self._add_read, number % PROXIES)
        while self._events:
            self.now, _, action, details = heapq.heappop(self._events)
            action(*details)

    def _at(self, moment, action, *details):
        heapq.heappush(self._events, (moment, next(self._numbers), action, details))

    def _add_read(self, proxy):
        self.waiting[proxy].append(_Read(self.now))
        self._send(proxy)

    def _send(self, proxy):
        observed_members = self.proxies[proxy]
        while self.waiting[proxy]:
            order = order_for_read(
                observed_members.values(),
                "",
                NOWHERE,
                "z",
                (),
                self.now,
                {},
                TARGET_S,
                self._generator,
            )
            chosen = next((observed for observed in order if observed.has_room(self.now)), None)
            if chosen is None:
                return
            read = self.waiting[proxy].popleft()
            read.sent_at = self.now
            name = chosen.record.identity
            chosen.sent(self.now)
            self.sent.append((self.now, name))
            timeout_s = max(READ_TIMEOUT_S, chosen.answer.longest_s)
            self._at(self.now + timeout_s, self._time_out, proxy, chosen, read)
            self._at(self.now + NETWORK_S, self._arrive, proxy, chosen, read)

    def _arrive(self, proxy, observed, read):
        member = self.members[observed.record.identity]
        if member.fails(self.now, self._generator):
            self._at(self.now + NETWORK_S, self._failed, proxy, observed, read, member.breaks)
        elif member.busy < SLOTS:
            self._begin(member, proxy, observed, read)
        elif len(member.queue) < QUEUE:
            member.queue.append((proxy, observed, read))
        else:
            self.shed += 1
            self._at(self.now + NETWORK_S, self._failed, proxy, observed, read, False)

    def _begin(self, member, proxy, observed, read):
        member.busy += 1
        self._at(self.now + member.service_s, self._done, member, proxy, observed, read)

    def _done(self, member, proxy, observed, read):
        member.busy -= 1
        if member.queue:
            self._begin(member, *member.queue.popleft())
        if self._generator.random() < member.answered_share:
            self._at(self.now + NETWORK_S, self._answered, proxy, observed, read)

    def _answered(self, proxy, observed, read):
        if read.is_over:
            return
        self._end(observed, read)
        taken_s = self.now - read.sent_at
        observed.answered(self.now, None)
        observed.served(taken_s, self.now)
        under_way = observed.under_way(self.now) + 1
        observed.concurrency.answered(READ, taken_s, under_way, self.now)
        self.served.append(self.now - read.arrived_at)
        self._send(proxy)

    def _failed(self, proxy, observed, read, breaks):
        if read.is_over:
            return
        self._end(observed, read)
        if breaks:
            observed.broke(self.now)
        else:
            observed.answered(self.now, None)
            observed.quality.bad(self.now)
        self.lost.append(self.now)
        self._send(proxy)

    def _time_out(self, proxy, observed, read):
        if read.is_over:
            return
        is_answered = observed.contact_at >= read.sent_at
        self._end(observed, read, is_answered)
        observed.quality.bad(self.now)
        if is_answered:
            observed.answer_took_at_least(self.now - read.sent_at)
        self.lost.append(self.now)
        self._send(proxy)

    def _end(self, observed, read, is_answered=True):
        read.is_over = True
        observed.ended(is_answered, read.sent_at)


def _observed(name, proxies=1):
    record = AnnouncedMember(name, "g", f"{name}:1", "z", "v1", SLOTS, MemberState.READY, False)
    observed = ObservedMember(record)
    observed.concurrency.set_proxies(proxies)
    observed.connected(0.0, 2 * NETWORK_S + SERVICE_S)
    return observed


@given("choice: seven home proxies before members a, b and c")
def step_load(context):
    context.load = _ReadLoad()


@given("choice: nothing is wrong")
def step_healthy(context):
    return


@given("choice: c takes {service:d} ms")
def step_slow(context, service):
    context.load.members["c"].service_s = service / MS_PER_S


@given("choice: c answers two thirds of its reads")
def step_mute(context):
    context.load.members["c"].answered_share = 2 / 3


@given("choice: c fails half of its reads at once")
def step_fails(context):
    context.load.members["c"].failed_share = 0.5


@given("choice: c breaks half of its reads")
def step_breaks(context):
    context.load.members["c"].failed_share = 0.5
    context.load.members["c"].breaks = True


@given("choice: c fails all reads every other 1.6 s")
def step_flaps(context):
    context.load.members["c"].flaps = True


@when("choice: {rate:d} reads a second come for {seconds:d} s")
def step_reads(context, rate, seconds):
    context.rate, context.seconds = rate, seconds
    context.load.run(rate, seconds)


@then("choice: at most {percent:d} % of the reads are lost")
def step_lost(context, percent):
    lost = 100.0 * len(context.load.lost) / (context.rate * context.seconds)
    assert lost <= percent, lost


@then("choice: in the last second at most {percent:d} % went to c")
def step_share(context, percent):
    lately = [name for at, name in context.load.sent if at >= context.seconds - 1]
    share = 100.0 * lately.count("c") / len(lately)
    assert share <= percent, share


@then("choice: {percent:d} % of the reads were served within 100 ms")
def step_served(context, percent):
    in_time = sum(taken <= 0.1 for taken in context.load.served)
    share = 100.0 * in_time / (context.rate * context.seconds)
    assert share >= percent, share


@given("choice: the quality of a member")
def step_quality(context):
    context.quality = AnswerQuality()


@when("choice: {times:d} times it fails {count:d} reads and then gets none")
def step_fails_over(context, count, times):
    now = NOW
    context.halves = []
    for _ in range(times):
        for _ in range(count):
            context.quality.bad(now)
        before = context.quality.failing_share(now)
        step_s = 0.001
        passed = 0.0
        while context.quality.failing_share(now + passed) > before / 2:
            passed += step_s
        context.halves.append(round(passed * 10) * 100)
        now += 6 * passed


@then("choice: the failing share halves within {times} ms")
def step_halves(context, times):
    assert context.halves == [int(time) for time in times.split(", ")], context.halves


@given("choice: members a and b that answer in 14 ms, and connections that open in 16 ms")
def step_two(context):
    context.observed_members = {name: _observed(name) for name in "ab"}
    for observed in context.observed_members.values():
        _serve(observed, 0.014, 20, NOW - 10.0)
    context.waits_s = {"a": 0.0, "b": 0.0}


def _serve(observed, seconds, count, now):
    for _ in range(count):
        observed.answered(now, None)
        observed.served(seconds, now)


@given("choice: an idle connection of the tenant at {name:w} only")
def step_idle(context, name):
    context.waits_s = {other: 0.0 if other == name else 0.016 for other in "ab"}


@given("choice: an idle one at a only, and {count:d} statements there")
def step_idle_crowded(context, count):
    step_idle(context, "a")
    for _ in range(count):
        context.observed_members["a"].sent(NOW)


@given("choice: a told {ago:d} ms ago that {count:d} are under way there")
def step_told(context, ago, count):
    context.observed_members["a"].report_busy_slots(count, NOW - ago / MS_PER_S)


@given("choice: a turned work away, and answered another read")
def step_busy(context):
    context.observed_members["a"].is_busy(NOW)
    _serve(context.observed_members["a"], 0.014, 1, NOW)


@given("choice: a turned work away {ago:d} ms ago")
def step_busy_before(context, ago):
    context.observed_members["a"].is_busy(NOW - ago / MS_PER_S)


@given("choice: a took {time:d} ms for its answers up to {ago:d} ms ago")
def step_was_slow(context, time, ago):
    _serve(context.observed_members["a"], time / MS_PER_S, 10, NOW - ago / MS_PER_S)


@given("choice: a took {time:d} ms up to {ago:d} ms ago, and a read is at b")
def step_was_slow_long_ago(context, time, ago):
    step_was_slow(context, time, ago)
    context.observed_members["b"].sent(NOW)


def _chosen(context, generator=None):
    order = order_for_read(
        context.observed_members.values(),
        "",
        NOWHERE,
        "z",
        (),
        NOW,
        context.waits_s,
        TARGET_S,
        generator,
    )
    return order[0].record.identity


@then("choice: a read of the tenant goes to {name:w}")
def step_goes_to(context, name):
    assert _chosen(context) == name, {
        identity: re.sub(r"record=.*?pauses", "", str(observed))
        for identity, observed in context.observed_members.items()
    }


@then(
    "choice: of {count:d} proxies with equal views of both members at least {least:d} choose each"
)
def step_spread(context, count, least):
    generators = [random.Random(seed) for seed in range(count)]
    chosen = [_chosen(context, generator) for generator in generators]
    assert min(chosen.count("a"), chosen.count("b")) >= least, chosen


def _lines(context, looks):
    """Store event and cause of each log line about member a."""
    lines = []
    with mock.patch.object(member_judgement, "EVENTS") as events:
        for look in looks:
            look()
        for call in events.method_calls:
            lines.append(f"{call.args[0]} {call.kwargs['last']}")
    context.lines = lines


@when("choice: a fails {count:d} reads, and its state is logged every 100 ms for 10 s")
def step_judgement(context, count):
    observed, judgement = context.observed_members["a"], MemberJudgement()
    for _ in range(count):
        observed.quality.bad(NOW)
    _lines(
        context,
        [lambda at=NOW + step / 10: judgement.look("g", observed, at) for step in range(100)],
    )


@when(
    "choice: a refuses {count:d} reads one after the other for lack of room, and serves "
    "{served:d} afterwards"
)
def step_held_back(context, count, served):
    observed, judgement = context.observed_members["a"], MemberJudgement()

    def turn_away():
        for number in range(count):
            observed.concurrency.turned_away(0.005, NOW + number * 0.01)
        judgement.look("g", observed, NOW)

    def serve():
        for number in range(served):
            limit = observed.concurrency.limit
            observed.concurrency.answered(READ, 0.014, limit, NOW + 1.0 + number * 0.014)
        judgement.look("g", observed, NOW + 2.0)

    _lines(context, [turn_away, serve])


@then('choice: the log lines are "{first}", "{second}"')
def step_lines(context, first, second):
    assert context.lines == [first, second], context.lines


@then("choice: docs/METRICS.md lists each metric of members, and no other")
def step_member_metrics(context):
    group = StatementGroup("g", lambda observed: None, lambda: 0.0, OutageTimes())
    registry = new_registry()
    registry.register(MemberGauges(lambda: [group]))
    shown = set(re.findall(rf"^# TYPE ({PREFIX}\w+) ", generate_latest(registry).decode(), re.M))
    text = (ROOT / "docs/METRICS.md").read_text()
    listed = set(re.findall(rf"`({PREFIX}\w+)`", text))
    assert shown == listed, shown ^ listed

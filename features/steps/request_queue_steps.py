"""Steps for the queue of requests for one member."""

from __future__ import annotations

import random

from behave import given, then, when

from features.support.queue_replay import QueueReplay
from limedyke.core.queueing.queue_answer import Queued, QueueDrain
from limedyke.core.queueing.queued_request import QueuedRequest
from limedyke.core.queueing.recent_pace import RecentPace
from limedyke.core.queueing.request_queue import RequestQueue

MS = 1_000.0


@given(
    "queueing: a member with {slots:d} slots, {service:d} ms a request and {change:d} ms a "
    "change of tenant"
)
def step_member(context, slots, service, change):
    context.replay = QueueReplay(slots, service / MS, change / MS)
    context.limit = 0
    context.names = {}


def _add_arrivals(context, span_ms, count, priority, tenants, limit_ms, target_ms, from_ms=0.0):
    for number in range(count):
        at = (from_ms + span_ms * number / count) / MS
        tenant = tenants[number % len(tenants)]
        request = QueuedRequest(tenant, priority, at, at + target_ms / MS, at + limit_ms / MS)
        context.replay.arrivals.append(request)


@given(
    "queueing: within {span:d} ms {count:d} requests of priority {priority:d} of {tenants:d} "
    "tenants arrive, with a deadline of {limit:d} ms and a target of {target:d} ms"
)
def step_load(context, span, count, priority, tenants, limit, target):
    names = [f"t{number}" for number in range(tenants)]
    _add_arrivals(context, span, count, priority, names, limit, target)


@given(
    "queueing: within {span:d} ms {count:d} requests of priority {priority:d} of tenant "
    "{tenant:w} arrive, with a deadline of {limit:d} ms and a target of {target:d} ms"
)
def step_load_of(context, span, count, priority, tenant, limit, target):
    _add_arrivals(context, span, count, priority, [tenant], limit, target)


@given("queueing: at {at:d} ms {lost:d} of the slots are lost")
def step_lost(context, at, lost):
    context.replay.slots_at.append((at / MS, context.replay.slots - lost))


@given("queueing: at {at:d} ms {count:d} of priority 0 come")
def step_urgent(context, at, count):
    names = [f"t{number}" for number in range(10)]
    _add_arrivals(context, 0, count, 0, names, 400, 400, from_ms=at)


@given(
    "queueing: {count:d} requests of random priorities, tenants and times arrive within "
    "{span:d} ms, seed {seed:d}"
)
def step_random(context, count, span, seed):
    chance = random.Random(seed)
    for _ in range(count):
        at = chance.uniform(0.0, span / MS)
        priority = chance.randrange(3)
        target_at = at + chance.uniform(0.1, 2.0)
        deadline_at = at + chance.uniform(0.5, 4.0)
        tenant = f"t{chance.randrange(6)}"
        context.replay.arrivals.append(QueuedRequest(tenant, priority, at, target_at, deadline_at))


@when("queueing: the load is served")
def step_serve(context):
    context.replay.run()


@then("queueing: {share:d} % of the refusals were on arrival")
def step_refused_on_arrival(context, share):
    refused = context.replay.refused
    at_once = sum(not outcome.was_queued for outcome in refused)
    assert refused
    assert at_once >= share / 100 * len(refused), (at_once, len(refused))


@then(
    "queueing: {share:d} % of the refusals were within {limit:d} ms of that, or of the last "
    "arrival of a more urgent request"
)
def step_refused_quickly(context, share, limit):
    refused = context.replay.refused
    quick = sum(
        outcome.at - _last_more_urgent_arrival(context, outcome) <= limit / MS
        for outcome in refused
    )
    assert quick >= share / 100 * len(refused), (quick, len(refused))


def _last_more_urgent_arrival(context, outcome):
    own = outcome.request
    return max(
        other.arrived_at
        for other in context.replay.arrivals
        if other is own or (other.priority < own.priority and other.arrived_at <= outcome.at)
    )


def _of(outcomes, priority):
    return [outcome for outcome in outcomes if outcome.request.priority == priority]


@then("queueing: some of priority {some:d} were refused, and none of priority {none:d}")
def step_some(context, some, none):
    refused = context.replay.refused
    assert _of(refused, some)
    assert not _of(refused, none), len(_of(refused, none))


@then("queueing: none of priority {none:d} were refused")
def step_none(context, none):
    assert not _of(context.replay.refused, none), len(_of(context.replay.refused, none))


@then("queueing: requests of priority {priority:d} waited {limit:d} ms at most")
def step_waited(context, priority, limit):
    longest = max(outcome.waited_s for outcome in _of(context.replay.served, priority))
    assert longest <= limit / MS + 1e-9, longest


@then("queueing: some of priority {priority:d} were served, and waited {limit:d} ms at most")
def step_some_waited(context, priority, limit):
    assert _of(context.replay.served, priority)
    step_waited(context, priority, limit)


@then("queueing: at least {share:d} % of the admitted requests were served in time")
def step_admitted(context, share):
    replay = context.replay
    admitted = len(replay.served) + sum(outcome.was_queued for outcome in replay.refused)
    assert _in_time(replay) >= share / 100 * admitted, (_in_time(replay), admitted)


@then(
    "queueing: at least {share:d} % of the requests admitted and not refused later were served "
    "in time"
)
def step_not_refused(context, share):
    replay = context.replay
    assert _in_time(replay) >= share / 100 * len(replay.served), _in_time(replay)


def _in_time(replay):
    return sum(outcome.at <= outcome.request.deadline_at for outcome in replay.served)


@then("queueing: no slot was idle while a request waited")
def step_busy(context):
    assert not context.replay.was_idle_while_waiting


@then(
    "queueing: some of priority {priority:d} were refused at {at:d} ms, and none later than "
    "{latest:d} ms"
)
def step_at_event(context, priority, at, latest):
    times = [round(outcome.at * MS) for outcome in _of(context.replay.refused, priority)]
    assert any(at <= time <= latest for time in times), times
    assert max(times) <= latest, times


@given("queueing: {count:d} may wait")
def step_limit(context, count):
    context.limit = count


@when("queueing: these requests arrive: {arrivals}")
def step_arrive(context, arrivals):
    queue = context.replay.queue
    drain = QueueDrain(1, 1, waiting_limit=context.limit)
    for arrival in arrivals.split(", "):
        count, _, tenant, _, _, priority = arrival.split()
        for _ in range(int(count)):
            request = QueuedRequest(tenant, int(priority), 0.0)
            context.answer = queue.push(request, 0.0, drain)
            context.names.setdefault((tenant, int(priority)), []).append(request)


@then("queueing: the last of {tenant:w} with priority {priority:d} is displaced")
def step_displaced(context, tenant, priority):
    last = context.names[tenant, priority].pop()
    assert isinstance(context.answer, Queued), context.answer
    assert context.answer.displaced == (last,), context.answer
    assert not last.is_waiting


@then("queueing: it is refused as {reason}")
def step_refused(context, reason):
    assert context.answer.reason == reason, context.answer


@when("queueing: these requests wait: {requests}")
def step_wait(context, requests):
    for text in requests.split("; "):
        name, _, due = text.partition(", due in ")
        target_at = 0.0 if "late" in name else 10.0
        request = QueuedRequest("x", 1, 0.0, target_at, float(due.split()[0]) / MS)
        context.replay.queue.place(request, 0.0)
        context.names[request] = name[0]


def _order(context, now):
    return " ".join(context.names[request] for request in context.replay.queue.in_order(now))


@then("queueing: they are served in the order {order}")
def step_order(context, order):
    assert _order(context, 0.1) == order, _order(context, 0.1)


@then("queueing: {later:d} ms later in the order {order}")
def step_order_later(context, later, order):
    assert _order(context, later / MS) == order, _order(context, later / MS)


@then("queueing: requests of other tenants waited {limit:d} ms at most")
def step_others_waited(context, limit):
    others = [outcome for outcome in context.replay.served if outcome.request.tenant != "flood"]
    assert len(others) == sum(r.tenant != "flood" for r in context.replay.arrivals)
    longest = max(outcome.waited_s for outcome in others)
    assert longest <= limit / MS, longest


@then("queueing: no request was served before a waiting request that was more urgent after ageing")
def step_no_inversion(context):
    assert context.replay.served
    assert not context.replay.inversions, context.replay.inversions


@then("queueing: each request was served or refused once")
def step_once(context):
    replay = context.replay
    requests = [outcome.request for outcome in replay.served + replay.refused]
    assert len(requests) == len(replay.arrivals), (len(requests), len(replay.arrivals))
    assert set(requests) == set(replay.arrivals)


@given("queueing: the relative variation of the time between two dequeues is {share:g}")
def step_varies(context, share):
    context.variation = share


@when("queueing: 1 request waits, and another one arrives with a deadline of {limit:d} ms")
def step_another(context, limit):
    queue = context.replay.queue
    drain = QueueDrain(1, 1, variation=context.variation)
    queue.place(QueuedRequest("x", 1, 0.0, 0.5, 0.5), 0.0)
    context.answer = queue.push(QueuedRequest("x", 1, 0.0, limit / MS, limit / MS), 0.0, drain)


@then("queueing: it is let in")
def step_is_admitted(context):
    assert isinstance(context.answer, Queued), context.answer


@then(
    "queueing: of the requests with a deadline of {limit:d} ms at least {share:d} % were "
    "served within their target"
)
def step_within_target(context, limit, share):
    def has_limit(request):
        return abs(request.deadline_at - request.arrived_at - limit / MS) < 1e-6

    count = sum(has_limit(request) for request in context.replay.arrivals)
    in_time = [
        outcome
        for outcome in context.replay.served
        if has_limit(outcome.request) and outcome.at <= outcome.request.target_at
    ]
    assert len(in_time) >= share / 100 * count, (len(in_time), count)


@given(
    "queueing: one slot, {usual_ms:d} ms a request as learned, and {count:d} requests that wait "
    "with {left_ms:d} ms left"
)
def step_slower(context, usual_ms, count, left_ms):
    context.queue = RequestQueue(usual_ms / MS)
    context.pace = RecentPace()
    context.pace.start(0.0)
    for _ in range(count):
        request = QueuedRequest("one", 1, 0.0, deadline_at=left_ms / MS)
        context.queue.place(request, 0.0)


@when("queueing: each turn takes {real_ms:d} ms")
def step_turns(context, real_ms):
    context.refused_at_ms = []
    now = 0.0
    while context.queue:
        now += real_ms / MS
        request = context.queue.pop(now, lambda tenant: True)
        context.pace.turn(now)
        context.queue.finished(request, real_ms / MS)
        drain = QueueDrain(1.0, 1, least_gap_s=context.pace.gap_s)
        refused = context.queue.expire(now, drain)
        context.refused_at_ms += [round(now * MS)] * len(refused)


@then("queueing: {count:d} of them is refused, {when}")
def step_noticed(context, count, when):
    expected = [] if when == "never" else [int(when.split()[1])] * count
    assert context.refused_at_ms == expected, context.refused_at_ms

"""Steps for the request queue of a member and its admission limits."""

from __future__ import annotations

from behave import given, then, when

from features.support.back_end_load import complete_entries
from limedyke.core import admission
from limedyke.core.queueing.queued_request import QueuedRequest
from limedyke.core.queueing.request_queue import RequestQueue
from limedyke.messages.declaration import Priority

MS_PER_S = 1_000.0


@given("queue: tenants with weights {weights}")
def step_tenants(context, weights):
    context.queue = RequestQueue()
    context.names = {}
    for pair in weights.split(", "):
        tenant, weight = pair.split()
        context.queue.set_weight(tenant, int(weight))


@given("queue: a request of {tenant} has taken {seconds:g} seconds of a slot")
def step_used(context, tenant, seconds):
    request = QueuedRequest(tenant, Priority.INTERACTIVE, 0.0)
    context.queue.started(request)
    context.queue.finished(request, seconds)


@given("queue: these requests arrive: {arrivals}")
def step_arrivals(context, arrivals):
    for arrival in arrivals.split(", "):
        name, *rest = arrival.split()
        priority = Priority.INTERACTIVE
        for word in rest:
            priority = Priority.__members__.get(word.upper(), priority)
        arrived_at = float(rest[-1]) if "at" in rest else 0.0
        request = QueuedRequest(name[0], priority, arrived_at)
        context.names[id(request)] = name
        context.queue.place(request, arrived_at)


def _serve(context, now, eligible):
    order = []
    while (request := context.queue.pop(now, eligible)) is not None:
        order.append(context.names[id(request)])
        context.queue.finished(request, request.cost_s)
        context.names[order[-1]] = request
    context.order = " ".join(order)


@when("queue: requests are served one by one from second {now:g}")
def step_serve(context, now):
    _serve(context, now, lambda tenant: True)


@when("queue: requests are served while {tenant} has no connection")
def step_serve_without(context, tenant):
    _serve(context, 0.0, lambda other: other != tenant)


@then("queue: the order is {order}")
def step_order(context, order):
    assert context.order == order, context.order


@given(
    "queue: {waiting:d} requests wait, each takes {cost_ms:d} ms, on {slots:d} slots "
    "and {connections:d} connections"
)
def step_load(context, waiting, cost_ms, slots, connections):
    context.load = admission.QueueLoad(waiting, cost_ms / MS_PER_S, slots, connections)


@when("queue: another arrives, with {left_ms:d} ms to its deadline")
def step_admit(context, left_ms):
    context.refusal = admission.admit(context.load, left_ms / MS_PER_S)


@then("queue: it is {outcome}")
def step_outcome(context, outcome):
    refusal = context.refusal
    found = "admitted"
    if refusal is not None:
        found = f"refused, retry in {refusal.retry_after_ms} ms"
    assert found == outcome, found


@given("queue: requests of y, which take {cost_ms:d} ms each, and one of x wait")
def step_slow_and_quick(context, cost_ms):
    queue = context.queue
    for tenant in ("y",) * 20 + ("x",):
        queue.place(QueuedRequest(tenant, Priority.INTERACTIVE, 0.0), 0.0)
    context.served = []
    while (request := queue.pop(0.0, lambda tenant: True)) is not None:
        context.served.append(request.tenant)
        queue.finished(request, cost_ms / 1_000)


@then("queue: x is served after {least:d} or {most:d} of y")
def step_served_after(context, least, most):
    assert context.served.index("x") in (least, most), context.served


@then(
    "queue: {slots:d} slots, {mean_ms:g} ms in total and {round_trip_ms:g} ms on the "
    "network allow {limit:d} in flight"
)
def step_limit(context, slots, mean_ms, round_trip_ms, limit):
    found = admission.in_flight_limit(slots, mean_ms / 1_000, round_trip_ms / 1_000)
    assert found == limit, found


@then("pools: the history '{text}' has {count:d} entries")
def step_history(context, text, count):
    entries = complete_entries(text.replace("\\n", "\n"))
    assert len(entries) == count, entries

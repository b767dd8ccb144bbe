"""Admission to a queue at each VM: a request is released exactly once on every path."""

import time
import types

import gevent
import pytest
import result

import gateway_builders
import queue_fleet_builders
from mothworks import peers
from mothworks_gateway import (
    client_accounts,
    queue_client,
    queue_messages,
    request_progress,
)

#: Places of an endpoint with two slots; see test_queue_owner.
PLACES = 3
#: Time for which events are collected, and a margin, seconds.
SETTLE_S = 0.06


@pytest.fixture
def start_fleet():
    started = []

    def make(**fields):
        started.append(queue_fleet_builders.Fleet(**{"endpoints": 1, **fields}))
        return started[-1]

    yield make
    for fleet in started:
        fleet.stop()


@pytest.fixture
def fleet(start_fleet):
    return start_fleet()


def admit(vm, wait_s=5.0, progress=None, **fields):
    """Ask for a place at any endpoint that a VM knows."""
    now = time.monotonic()
    request = queue_fleet_builders.make_request("q-1", now, **fields)
    endpoints = list(vm.registry.by_id.values())
    return vm.client.admit(request, endpoints, progress, now + wait_s)


def fill(vm):
    """Return admissions that take all places of an endpoint."""
    return [admit(vm).ok_value for _ in range(PLACES)]


def held(vm):
    """Return how many places are in use by an owner's view."""
    gevent.sleep(SETTLE_S)
    return vm.served().granted_by_id.total()


def waiting_count(vm):
    return vm.served().waiting_count


# The caller is VM 0, which owns the queue itself, or another one.
@pytest.mark.parametrize("number", [0, 2])
@pytest.mark.parametrize(
    "end", ["ended", "was_full", "withdraw"], ids=["end", "full", "not sent"]
)
def test_a_place_is_released_once(fleet, number, end):
    vm = fleet.vms[number]
    admissions = fill(vm)
    assert held(fleet.vms[0]) == PLACES
    admissions[0].began(0.05)
    for _ in range(2):
        getattr(admissions[0], end)()
        admissions[0].ended()
    assert held(fleet.vms[0]) == PLACES - 1
    assert len(vm.client.admission_by_ticket) == PLACES - 1


def test_a_request_waits_for_a_place(fleet):
    first, second = fleet.vms[1:]
    admissions = fill(first)
    waiting = gevent.spawn(admit, second)
    gevent.sleep(SETTLE_S)
    assert not waiting.ready()
    admissions[0].ended()
    assert waiting.get(timeout=1.0).ok_value.endpoint.id == "i-0"
    assert held(fleet.vms[0]) == PLACES


# Row: a caller leaves while queued.
def test_a_caller_that_leaves_while_it_waits_is_withdrawn(fleet):
    vm = fleet.vms[2]
    fill(vm)
    waiting = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    assert waiting_count(fleet.vms[0]) == 1
    waiting.kill()
    gevent.sleep(SETTLE_S)
    assert waiting_count(fleet.vms[0]) == 0
    assert not vm.client.waiting_by_ticket


# Guards against a place that is granted to a caller that left during the call.
def test_a_caller_that_leaves_during_the_call_is_withdrawn(fleet):
    vm = fleet.vms[2]
    call = vm.peers.call

    def answer_late(name, message, timeout_s):
        reply = call(name, message, timeout_s)
        gevent.sleep(1.0)
        return reply

    vm.peers.call = answer_late
    asking = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    assert held(fleet.vms[0]) == 1
    asking.kill()
    assert held(fleet.vms[0]) == 0


def test_requests_are_sent_without_a_queue_if_there_is_no_owner(fleet):
    fleet.network.down.update({"vm-0", "vm-1"})
    assert admit(fleet.vms[2]) is None


# Guards against a late reply of a busy owner that sends all requests of a VM past the
# queue for a second.
def test_a_late_reply_of_a_live_owner_does_not_count_as_silence(fleet):
    vm = fleet.vms[2]
    assert admit(vm).is_ok()
    call = vm.peers.call
    failure = peers.PeerFailure("vm-0", "no reply in time", True, timed_out=True)
    vm.peers.call = lambda *_: result.Err(failure)
    assert admit(vm) is None
    vm.peers.call = call
    assert admit(vm).is_ok()
    assert vm.budgets.called.count("vm-0") == 1


@pytest.mark.parametrize(
    ("mode", "objectives", "active"),
    [
        ("auto", (0.4, 3.1), False),
        ("auto", (0.4, 3.2), True),
        ("on", (0.4,), True),
        ("off", (0.4, 6.0), False),
    ],
)
def test_the_queue_acts_only_where_it_should(start_fleet, mode, objectives, active):
    routes = [
        queue_fleet_builders.make_route(objective_s) for objective_s in objectives
    ]
    declaration = queue_fleet_builders.make_declaration(routes=routes)
    vm = start_fleet(declaration=declaration).vms[0]
    vm.client.mode = mode
    assert (admit(vm) is not None) == active


# Row: the owner is killed, while requests wait and run.
def test_a_new_owner_learns_what_waits_and_runs(fleet):
    vm, successor = fleet.vms[2], fleet.vms[1]
    admissions = fill(vm)
    waiting = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    fleet.network.down.add("vm-0")
    gevent.sleep(3 * queue_client.REPEAT_INTERVAL_S)
    assert held(successor) == PLACES
    assert waiting_count(successor) == 1
    admissions[0].ended()
    assert waiting.get(timeout=1.0).is_ok()


# Guards against a second place at a former owner, which queued the request before.
def test_a_request_is_withdrawn_at_a_former_owner(fleet):
    vm = fleet.vms[2]
    fill(vm)
    waiting = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    fleet.names.reverse()  # VM 2 owns the queue now.
    gevent.sleep(3 * queue_client.REPEAT_INTERVAL_S)
    assert waiting_count(fleet.vms[0]) == 0
    assert waiting_count(vm) == 1
    waiting.kill()


# Row: an endpoint leaves or unloads the model while requests wait.
def test_a_request_whose_endpoints_left_chooses_anew(fleet):
    owner, vm = fleet.vms[0], fleet.vms[2]
    fill(vm)
    progress = request_progress.RequestProgress()
    waiting = gevent.spawn(admit, vm, progress=progress)
    gevent.sleep(SETTLE_S)
    for item in (owner, vm):
        item.registry.by_id["i-0"].exclusion_reason = "leaves"
        item.registry.notify_changed()
    assert waiting.get(timeout=1.0).err_value.must_choose_anew


# Guards against requests that are refused because the owner's registry lags.
def test_an_endpoint_that_the_owner_lacks_is_used_without_the_queue(fleet):
    del fleet.vms[0].registry.by_id["i-0"]
    assert admit(fleet.vms[2]) is None


def test_a_request_is_granted_an_endpoint_that_loads_its_model(start_fleet):
    fleet = start_fleet(models=("m-a",))
    vm = fleet.vms[2]
    fill(vm)
    target = gateway_builders.caller_request.Target("s", "m-a")
    progress = request_progress.RequestProgress()
    waiting = gevent.spawn(admit, vm, progress=progress, target=target)
    gevent.sleep(queue_client.REPORT_AFTER_S + SETTLE_S)
    assert vm.reported_ids == ["q-1"]
    for item in fleet.vms:
        item.registry.by_id["i-9"] = gateway_builders.endpoint("i-9", "s", 2, ["m-a"])
        item.registry.notify_changed()
    assert waiting.get(timeout=1.0).ok_value.endpoint.id == "i-9"


def test_what_can_not_be_served_is_refused_at_once(fleet):
    vm = fleet.vms[2]
    fill(vm)
    waiting = [gevent.spawn(admit, vm, wait_s=0.3) for _ in range(100)]
    gevent.sleep(0.25)
    refused = [task.value.err_value for task in waiting if task.ready()]
    assert len(refused) >= 50
    assert min(item.retry_after_s for item in refused) >= 0.1
    gevent.killall(waiting)


def test_the_weight_of_an_account_is_its_cap_relative_to_the_mean():
    def account(name, per_s):
        cap = client_accounts.UsageCap(per_s, 1.0) if per_s else None
        return client_accounts.ClientAccount(name, frozenset(), cap=cap)

    accounts = [account("a", 30.0), account("b", 10.0), account("c", None)]
    by_name = {item.name: item for item in accounts}
    weights = client_accounts.Accounts(by_name).weight_by_name
    assert weights == {"a": 1.5, "b": 0.5}


# Guards against a request that is withdrawn after the same VM has queued it again.
def test_a_request_that_its_owner_forgot_is_queued_again(fleet):
    owner, vm = fleet.vms[0], fleet.vms[2]
    admissions = fill(vm)
    waiting = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    owner.owner._drop_vm(vm.name)
    gevent.sleep(2 * queue_client.REPEAT_INTERVAL_S)
    assert held(owner) == PLACES
    assert waiting_count(owner) == 1
    admissions[0].ended()
    assert waiting.get(timeout=1.0).is_ok()


# Guards against a grant that is lost because it arrives with the reply to the call.
def test_a_grant_that_arrives_during_the_call_is_used(fleet):
    owner, vm = fleet.vms[0], fleet.vms[2]
    admissions = fill(vm)
    call = vm.peers.call

    def answer_late(name, message, timeout_s):
        reply = call(name, message, timeout_s)
        admissions[0].ended()
        gevent.sleep(SETTLE_S)
        return reply

    vm.peers.call = answer_late
    asked_at = time.monotonic()
    assert admit(vm).is_ok()
    assert time.monotonic() - asked_at < queue_client.REPEAT_INTERVAL_S
    assert held(owner) == PLACES


# Guards against the refusal of a broken stream that could go on: by its arrival it has
# missed its objective, so that it followed all other requests.
def test_a_resumed_stream_precedes_new_requests(fleet):
    vm = fleet.vms[2]
    admissions = fill(vm)
    order = []

    def ask(name, age_s, wait_s, **options):
        now = time.monotonic()
        request = queue_fleet_builders.make_request(name, now - age_s)
        endpoints = list(vm.registry.by_id.values())
        admitted = vm.client.admit(request, endpoints, None, now + wait_s, **options)
        order.append((name, admitted.is_ok()))

    tasks = [gevent.spawn(ask, "new", 0.0, 5.0, urgency=2) for _ in range(6)]
    gevent.sleep(0.02)
    # As StreamRelay._resume() asks; without the patch, omit objective_at.
    objective_at = time.monotonic() + 0.9
    tasks.append(
        gevent.spawn(ask, "resumed", 5.0, 0.5, urgency=0, objective_at=objective_at)
    )
    gevent.sleep(0.02)
    for admission in admissions:
        admission.ended()
        gevent.sleep(0.03)
    gevent.killall(tasks)
    assert order[0] == ("resumed", True)


# Guards against a takeover that sends all requests that have waited for more than a
# second past the queue at once.
def test_a_request_that_waited_long_waits_for_the_next_owner(fleet):
    vm = fleet.vms[2]
    fill(vm)
    waiting = gevent.spawn(admit, vm, objective_s=6.0)
    gevent.sleep(queue_client.NO_OWNER_GRACE_S + 0.5)
    for other in fleet.vms:
        other.budgets.grants = False
    gevent.sleep(0.6)
    assert not waiting.ready()
    waiting.kill()


# Guards against a request that is sent after the time by which it may be sent.
def test_a_request_without_a_decision_is_refused(fleet):
    vm = fleet.vms[2]
    fill(vm)
    fleet.vms[0].owner._push = lambda *_: None
    assert admit(vm, wait_s=0.6).is_err()


# Guards against estimates of runs that failed attempts make too short or too long.
def test_a_failed_attempt_is_no_sample_of_a_run(fleet):
    vm, owner = fleet.vms[2], fleet.vms[0]
    admit(vm).ok_value.ended()
    assert held(owner) == 0
    assert owner.served().queue.estimates.run._samples == 0


# Guards against the owner's uptime as the duration of a run.
def test_the_end_of_a_request_that_waits_is_no_sample(fleet):
    owner, vm = fleet.vms[0], fleet.vms[2]
    fill(vm)
    waiting = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    (ticket,) = vm.client.waiting_by_ticket
    ended = int(queue_messages.EventKind.ENDED)
    owner.owner.apply_events("vm-2", ((ticket, "s", ended, "i-0", 0, 0.08),))
    assert owner.served().speeds.mean_run_s("", time.monotonic()) is None
    waiting.kill()


# Guards against a run that no owner counts: the late grant of a withdrawn request.
def test_a_late_grant_of_a_withdrawn_request_is_not_used(fleet):
    owner, vm = fleet.vms[0], fleet.vms[2]
    fill(vm)
    waiting = gevent.spawn(admit, vm)
    gevent.sleep(SETTLE_S)
    (former,) = vm.client.waiting_by_ticket
    # Two repetitions are lost, so that the request is withdrawn and asked for again.
    call = vm.peers.call
    vm.peers.call = lambda *_: result.Err("no reply in time")
    gevent.sleep(3 * queue_client.REPEAT_INTERVAL_S)
    vm.peers.call = call
    gevent.sleep(2 * queue_client.REPEAT_INTERVAL_S)
    assert not waiting.ready()
    late = queue_messages.QueueReply(True, former, "i-0")
    vm.client._on_pushed("vm-0", late)
    gevent.sleep(SETTLE_S)
    assert not waiting.ready()
    waiting.kill()
    assert held(owner) == PLACES
    assert owner.served().waiting_count == 0


# Guards against requests of all VMs that are sent past the queue while an endpoint
# wants no requests from the owner's VM.
def test_a_backoff_of_the_owner_does_not_concern_others(fleet):
    notices = types.SimpleNamespace(backoff=lambda endpoint: "1 s")
    fleet.vms[0].owner.notices = notices
    assert admit(fleet.vms[2]).is_ok()

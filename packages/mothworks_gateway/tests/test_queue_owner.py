"""The owner of a service's queue: what it grants, keeps and forgets."""

import time

import gevent
import pytest

import gateway_builders
import queue_fleet_builders
from mothworks_gateway import queue_messages, queue_owner

SERVICE = queue_fleet_builders.SERVICE
BEGAN, ENDED, FULL, WITHDRAWN, HOLDS = queue_messages.EventKind
#: Time for which the tests let an owner decide after a pause, seconds.
SETTLE_S = 0.05
#: Tickets of requests that get the places of an endpoint with two slots: the third is
#: for the round trip between a run and the next. The next ticket waits.
GRANTED = (1, 2, 3)
WAITS = 4


@pytest.fixture
def start_fleet():
    started = []

    def make(**fields):
        started.append(queue_fleet_builders.Fleet(**fields))
        return started[-1]

    yield make
    for fleet in started:
        fleet.stop()


@pytest.fixture
def fleet(start_fleet):
    return start_fleet(count=3, endpoints=1, slots=2)


def ask(vm, ticket, by="vm-9", **fields):
    """Ask a VM as the owner; returns its reply."""
    values = {
        "service": SERVICE,
        "endpoint_ids": ("i-0", "i-1"),
        "prompt_tokens": 0,
        "shared_tokens": 0,
        "memory_tokens": 0,
        "urgency": 0,
        "account": "",
        "weight": 1.0,
        "waited_s": 0.0,
        "objective_in_s": 0.4,
        "send_in_s": 5.0,
        "is_patient": False,
        **fields,
    }
    gevent.sleep(SETTLE_S)
    return vm.owner.request(by, queue_messages.QueueRequest(ticket, **values))


def report(vm, kind, ticket, by="vm-9", endpoint_id="i-0", tokens=0, seconds=0.05):
    row = (ticket, SERVICE, int(kind), endpoint_id, tokens, seconds)
    vm.owner.apply_events(by, (row,))


def granted_count(vm):
    served = vm.served()
    return sum(bool(entry.endpoint_id) for entry in served.entry_by_key.values())


def pushes(fleet, name="vm-9"):
    """Return a list that collects the replies pushed to a VM."""
    received = []
    for vm in fleet.vms:
        vm.owner._push = lambda to, reply: received.append((to, reply))
    return received


def test_a_place_is_granted_again_only_when_it_is_free(fleet):
    owner = fleet.vms[0]
    pushed = pushes(fleet)
    replies = [ask(owner, ticket) for ticket in (*GRANTED, WAITS)]
    assert [reply.endpoint_id for reply in replies] == [*["i-0"] * 3, ""]
    assert all(reply.is_owner and reply.retry_after_s is None for reply in replies)
    report(owner, ENDED, 1)
    gevent.sleep(SETTLE_S)
    assert [(vm, reply.ticket, reply.endpoint_id) for vm, reply in pushed] == [
        ("vm-9", WAITS, "i-0")
    ]


# Guards against a place that is granted twice because the first grant was lost.
def test_a_repeated_request_gets_the_same_place(fleet):
    owner = fleet.vms[0]
    pushed = pushes(fleet)
    assert [ask(owner, 1).endpoint_id for _ in range(3)] == ["i-0"] * 3
    assert granted_count(owner) == 1
    reply = owner.owner.repeat("vm-9", queue_messages.QueueRepeat({SERVICE: (1, 77)}))
    assert reply.unknown == (77,)
    assert pushed[-1][1].endpoint_id == "i-0"


@pytest.mark.parametrize("kind", [ENDED, WITHDRAWN, FULL])
def test_each_end_of_a_request_frees_its_place_once(fleet, kind):
    owner = fleet.vms[0]
    for ticket in GRANTED:
        ask(owner, ticket)
    report(owner, kind, 1)
    report(owner, kind, 1)
    assert granted_count(owner) == 2
    assert owner.served().granted_by_id["i-0"] == 2


# Guards against two VMs that grant the same places: one that does not reach the owner
# asks the next.
def test_only_the_first_responsive_vm_grants(fleet):
    first, second, third = fleet.vms
    assert not ask(second, 1).is_owner
    fleet.network.down.add("vm-0")
    assert ask(second, 1).is_owner
    assert not ask(third, 1).is_owner
    second.budgets.grants = False
    assert not ask(second, 2).is_owner


# Row: two owners after a partition.
def test_an_owner_of_a_part_of_the_fleet_grants_its_share(start_fleet):
    fleet = start_fleet(endpoints=1, slots=8)
    owner = fleet.vms[0]
    owner.budgets.part = 0.25
    granted = [bool(ask(owner, ticket).endpoint_id) for ticket in range(8)]
    assert sum(granted) == 2 + 1  # the overlap for the round trip


# Row: a new owner that knows nothing.
def test_a_new_owner_counts_the_runs_in_heartbeats(fleet):
    owner = fleet.vms[0]
    owner.running.running["i-0"] = 8
    assert not ask(owner, 1).endpoint_id
    owner.served().since -= queue_owner.TAKEOVER_S
    owner.owner._refresh(SERVICE, owner.served(), time.monotonic())
    gevent.sleep(SETTLE_S)
    assert ask(owner, 1).endpoint_id


def test_runs_of_a_former_owner_are_adopted(fleet):
    owner = fleet.vms[0]
    ask(owner, 9)
    report(owner, ENDED, 9)
    for ticket in range(3):
        report(owner, HOLDS, ticket, by="vm-8", seconds=-1.0)
    assert not ask(owner, 1).endpoint_id
    pushed = pushes(fleet)
    for ticket in range(3):
        report(owner, ENDED, ticket, by="vm-8")
    gevent.sleep(SETTLE_S)
    assert [reply.endpoint_id for _, reply in pushed] == ["i-0"]


# Row: a VM that holds grants is killed, or is frozen.
def test_requests_of_a_vm_that_is_gone_are_dropped(fleet):
    owner = fleet.vms[0]
    pushed = pushes(fleet)
    for ticket in (*GRANTED, WAITS):
        ask(owner, ticket)
    assert not ask(owner, 1, by="vm-8").endpoint_id
    for notify in owner.peers.on_disconnect:
        notify("vm-9")
    gevent.sleep(SETTLE_S)
    assert [(vm, reply.ticket) for vm, reply in pushed] == [("vm-8", 1)]


def test_what_is_no_longer_reported_expires(fleet):
    owner = fleet.vms[0]
    for ticket in (*GRANTED, WAITS):
        ask(owner, ticket)
    served = owner.served()
    now = time.monotonic()
    served.expire(now + queue_owner.WAITING_EXPIRY_S + 0.1)
    assert {key[1] for key in served.entry_by_key} == {*GRANTED}
    report(owner, HOLDS, 2)
    served.entry_by_key["vm-9", 2].seen_at = now + 1.0
    served.expire(now + queue_owner.GRANT_EXPIRY_S + 0.2)
    assert {key[1] for key in served.entry_by_key} == {2}


# Rows: an endpoint restarts, leaves while requests wait.
def test_requests_whose_endpoints_are_gone_must_choose_anew(fleet):
    owner = fleet.vms[0]
    pushed = pushes(fleet)
    for ticket in (*GRANTED, WAITS):
        ask(owner, ticket)
    del owner.registry.by_id["i-0"]
    owner.registry.by_id["i-0@2"] = gateway_builders.endpoint("i-0@2", SERVICE, 2)
    owner.registry.notify_changed()
    gevent.sleep(SETTLE_S)
    [(_, refused)] = pushed
    assert (refused.ticket, refused.retry_after_s) == (WAITS, 0.0)
    assert not owner.served().entry_by_key
    assert ask(owner, 5, endpoint_ids=("i-0@2",)).endpoint_id == "i-0@2"


# Row: an endpoint slower than thought.
def test_a_slow_endpoint_gets_less(start_fleet):
    fleet = start_fleet(endpoints=2, slots=4)
    owner = fleet.vms[0]
    pushes(fleet)
    seconds_by_id = {"i-0": 0.08, "i-1": 0.24}
    for ticket in range(24):
        endpoint_id = f"i-{ticket % 2}"
        assert ask(owner, ticket, endpoint_ids=(endpoint_id,)).endpoint_id
        report(owner, ENDED, ticket, seconds=seconds_by_id[endpoint_id])
    speeds = owner.served().speeds
    now = time.monotonic()
    assert speeds.speed("i-1", now) < 0.7 * speeds.speed("i-0", now)
    assert owner.published_services == [SERVICE]


def test_a_request_larger_than_the_memory_runs_alone(start_fleet):
    declaration = queue_fleet_builders.make_declaration(kv_tokens=1000)
    fleet = start_fleet(endpoints=1, slots=4, declaration=declaration)
    assert ask(fleet.vms[0], 1, memory_tokens=5000).endpoint_id == "i-0"
    assert not ask(fleet.vms[0], 2, memory_tokens=100).endpoint_id

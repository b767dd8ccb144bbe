"""Poison replication: VMs that missed reports learn which requests are blocked."""

import types

import gevent
import pytest

import fleet_builders
import gateway_builders
from mothworks_gateway import (
    broadcast,
    heartbeat,
    lease,
    lease_record,
    poison_replication,
    poison_requests,
)

VMS = ("vm-1", "vm-2")
SUCCESS = types.SimpleNamespace(status=200, is_framed=True)
REQUEST = gateway_builders.request()


def make_part(name, network):
    kernel = fleet_builders.make_kernel(name, VMS, network)
    kernel.parts[broadcast.Broadcast] = broadcast.Broadcast(kernel)
    kernel.parts[heartbeat.Heartbeats] = gateway_builders.Heartbeats()
    kernel.parts[lease.Lease] = types.SimpleNamespace(on_read=[], blocked_requests=None)
    poison = poison_requests.PoisonRequests(kernel)
    kernel.parts[poison_requests.PoisonRequests] = poison
    return poison_replication.PoisonReplication(kernel)


@pytest.fixture
def network():
    return fleet_builders.Network()


@pytest.fixture
def vms(network):
    return [make_part(name, network) for name in VMS]


def crash(part, count=poison_requests.CRASHES_TO_BLOCK):
    for number in range(count):
        endpoint = gateway_builders.endpoint(f"i-{number}")
        part.poison_requests.record_crash(REQUEST, endpoint)
    deliver()


def deliver():
    """Wait until all published messages have arrived."""
    gevent.sleep(3 * broadcast.BATCH_DELAY_S)


def exchange_heartbeats(sender, receiver):
    """Let a VM receive another one's heartbeats for as long as an exchange needs."""
    for _ in range(3):
        fields = sender._heartbeat_fields()
        receiver._heartbeat_fields()
        message = heartbeat.Heartbeat(1, 1, 0, **fields)
        receiver._on_heartbeat(sender.name, message)
        gevent.sleep(poison_replication.MIN_DIFFERENCE_S / 2 + 0.01)


def blocked(vms):
    return [part.poison_requests.is_blocked(REQUEST) for part in vms]


# Guards against VMs that never learn what they missed.
@pytest.mark.parametrize(("sender", "receiver"), [(0, 1), (1, 0)])
def test_blocked_requests_are_exchanged(vms, network, sender, receiver):
    network.down.add("vm-2")
    crash(vms[0])
    network.down.clear()
    assert blocked(vms) == [True, False]
    exchange_heartbeats(vms[sender], vms[receiver])
    assert blocked(vms) == [True, True]
    assert vms[0]._compute_digest() == vms[1]._compute_digest() != 0


# Guards against a request that stays blocked though a copy completed meanwhile.
def test_a_completion_that_a_vm_missed_clears_the_crashes(vms, network):
    network.down.add("vm-2")
    crash(vms[0])
    vms[1].poison_requests.record_completion(REQUEST, SUCCESS)
    deliver()
    network.down.clear()
    exchange_heartbeats(vms[0], vms[1])
    deliver()
    assert blocked(vms) == [False, False]


# Guards against messages between VMs that agree.
def test_nothing_is_sent_while_the_digests_are_equal(vms, network):
    crash(vms[0])
    sent = dict(network.sent_by_vm)
    exchange_heartbeats(vms[0], vms[1])
    assert network.sent_by_vm == sent


# Guards against blocks that are lost with all VMs, and against ones that never end
# since each VM takes them over anew.
@pytest.mark.parametrize(("left_s", "expected"), [(60, True), (0, False)])
def test_blocked_requests_are_read_from_the_lease(vms, left_s, expected):
    crash(vms[0])
    stored = tuple(
        lease_record.BlockedRequest(item.fingerprint, item.endpoints, left_s)
        for item in vms[0]._for_lease()
    )
    record = lease_record.Record("vm-1", 1, 1, "life", stored)
    started = make_part("vm-3", fleet_builders.Network())
    started._on_lease_read(lease_record.read_record(record.body()))
    assert started.poison_requests.is_blocked(REQUEST) == expected
    assert started._compute_digest() == (vms[0]._compute_digest() if expected else 0)


# Guards against a record of a former build, and of one that stores something else.
def test_records_without_blocked_requests_are_read():
    body = b'{"holder":"vm-1","fence":1,"renewals":2,"life":"x"}'
    assert lease_record.read_record(body).blocked == ()
    with pytest.raises(ValueError, match="not a lease record"):
        lease_record.read_record(body[:-1] + b',"blocked":[7]}')

"""Broadcast: messages reach all VMs, at a cost that grows slowly with their number.

The load is that of a lease holder with 59 endpoints that orders models at the rate at
which weights can be loaded: 40 messages per second to each of 194 other VMs.
"""

import collections

import pytest

import fleet_builders
from mothworks_gateway import broadcast, poison_requests

VMS = 195


class Fleet:
    """Some VMs, and the messages that each of them received."""

    def __init__(self, count):
        self.names = fleet_builders.vm_names(count)
        self.network = fleet_builders.Network()
        self.received_by_vm = collections.defaultdict(list)
        self.part_by_vm = {name: self.make_broadcast(name) for name in self.names}

    def make_broadcast(self, name):
        kernel = fleet_builders.make_kernel(name, self.names, self.network)
        part = broadcast.Broadcast(kernel)

        def receive(vm, report, _):
            self.received_by_vm[name].append((vm, report.fingerprint))

        part.peers.handle(poison_requests.CrashReport, receive)
        return part

    def publish(self, name, *texts):
        part = self.part_by_vm[name]
        for text in texts[:-1]:
            part.batch.append(
                broadcast.messages.pack(poison_requests.CrashReport(text, "i-1"))
            )
        part.publish_now(poison_requests.CrashReport(texts[-1], "i-1"))


@pytest.mark.parametrize("count", [1, 2, 17, 18, VMS])
def test_all_vms_receive_each_message_once_and_in_order(count):
    fleet = Fleet(count)
    fleet.publish("vm-0", "first", "second")
    expected = [("vm-0", "first"), ("vm-0", "second")]
    assert fleet.received_by_vm == dict.fromkeys(fleet.names[1:], expected)


def test_no_vm_sends_to_all_other_vms():
    # At 40 messages per second, sending each to 194 VMs took more processor time than a
    # VM has. The square root of 194 is about 14.
    fleet = Fleet(VMS)
    fleet.publish("vm-0", "text")
    assert sum(fleet.network.sent_by_vm.values()) == VMS - 1
    assert max(fleet.network.sent_by_vm.values()) <= 14


def test_groups_differ_by_sender():
    # If the same few VMs forwarded the messages of all senders, they would be
    # overloaded.
    fleet = Fleet(VMS)
    first_members = {
        group[0]
        for name in fleet.names[:20]
        for group in fleet.part_by_vm[name]._groups()
    }
    assert len(first_members) > 100


def test_a_failed_forwarder_does_not_lose_all_messages_of_its_group():
    # A VM was killed, and membership has not noticed yet. Its group misses messages
    # that it is chosen to forward, but must not miss all later ones.
    fleet = Fleet(VMS)
    part = fleet.part_by_vm["vm-0"]
    part.peers.is_connected = lambda vm: True
    fleet.network.down.add(part._groups()[0][0])
    for number in range(40):
        fleet.publish("vm-0", f"text {number}")
    live_vms = set(fleet.names[1:]) - fleet.network.down
    assert min(len(fleet.received_by_vm[name]) for name in live_vms) >= 30


def test_new_vms_receive_messages():
    fleet = Fleet(18)
    part = fleet.part_by_vm["vm-0"]
    fleet.publish("vm-0", "before")
    part.membership.region_peers().append(fleet_builders.make_member("vm-new"))
    fleet.part_by_vm["vm-new"] = fleet.make_broadcast("vm-new")
    for notify in part.membership.on_change:
        notify()
    fleet.publish("vm-0", "after")
    assert fleet.received_by_vm["vm-new"] == [("vm-0", "after")]


def test_a_busy_lease_holder_sends_a_bounded_number_of_batches(monkeypatch):
    # Sent one by one, 70 messages per second about the models on endpoints were most of
    # what 195 VMs received.
    clock = [0.0]
    scheduled_flushes = []
    fleet = Fleet(VMS)
    part = fleet.part_by_vm["vm-0"]
    part.tasks.spawn = lambda flush: scheduled_flushes.append(
        (clock[0] + broadcast.BATCH_DELAY_S, flush)
    )
    monkeypatch.setattr(broadcast.gevent, "sleep", lambda _: None)
    for number in range(70):
        clock[0] = number / 70
        while scheduled_flushes and scheduled_flushes[0][0] <= clock[0]:
            scheduled_flushes.pop(0)[1]()
        part.publish(poison_requests.CrashReport(str(number), "i-1"))
    while scheduled_flushes:
        scheduled_flushes.pop(0)[1]()
    assert len(fleet.received_by_vm["vm-77"]) == 70
    assert fleet.network.sent_by_vm["vm-0"] <= 25 * 14

"""Owners: all VMs compute the same one, and an unresponsive one costs one timeout."""

import result

import fleet_builders
import virtual_time
from mothworks import peers
from mothworks_gateway import owners


class Peers:
    """Fake connections to owners: all answer with one reply, or none does."""

    def __init__(self, reply=None, connected=True):
        self.reply = reply
        self.connected = connected
        self.called = []
        self.opened = []

    def is_connected(self, _):
        return self.connected

    def open(self, vm):
        self.opened.append(vm)

    def call(self, vm, *_):
        self.called.append(vm)
        if self.reply is None:
            return result.Err(peers.PeerFailure(vm, "no reply in time", True))
        return result.Ok(self.reply)


def make(name, names, connections=None):
    parts = {peers.Peers: connections or Peers()}
    kernel = fleet_builders.make_kernel(name, names, fleet_builders.Network(), parts)
    return owners.Owners(kernel)


def test_all_vms_compute_the_same_ranking_of_owners():
    names = fleet_builders.vm_names(60)
    ranked = {tuple(make(name, names).ranked("cap desk")) for name in names}
    assert len(ranked) == 1
    assert len(ranked.pop()) == 3


def test_every_vm_of_a_small_fleet_is_a_candidate():
    names = fleet_builders.vm_names(6)
    assert sorted(make("vm-0", names).candidates()) == names


def test_an_unresponsive_owner_is_not_called_for_a_while(monkeypatch):
    clock = virtual_time.Clock(monkeypatch, owners)
    connections = Peers()
    part = make("vm-0", fleet_builders.vm_names(6), connections)
    assert [part.call("vm-1", None, 0.04, "a test") for _ in range(3)] == [None] * 3
    assert connections.called == ["vm-1"]
    assert part.is_unresponsive("vm-1")
    clock.advance(owners.BACKOFF_S)
    connections.reply = "here"
    assert part.call("vm-1", None, 0.04, "a test") == "here"


def test_a_call_does_not_wait_for_a_connection_to_open():
    connections = Peers("here", connected=False)
    part = make("vm-0", fleet_builders.vm_names(6), connections)
    assert part.call("vm-1", None, 0.04, "a test") is None
    assert (connections.called, connections.opened) == ([], ["vm-1"])

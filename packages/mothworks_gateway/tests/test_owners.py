"""Owners: all VMs name the same one, and a silent one costs one short wait."""

import result

import fleet_builders
import virtual_time
from mothworks import peers
from mothworks_gateway import owners


class Peers:
    """Stands for connections to owners of which none answers, or all do."""

    def __init__(self, reply=None, linked=True):
        self.reply = reply
        self.is_linked = linked
        self.asked = []
        self.opened = []

    def linked(self, _):
        return self.is_linked

    def open(self, vm):
        self.opened.append(vm)

    def call(self, vm, *_):
        self.asked.append(vm)
        if self.reply is None:
            return result.Err(peers.PeerFailure(vm, "no reply in time", True))
        return result.Ok(self.reply)


def make(name, names, links=None):
    parts = {peers.Peers: links or Peers()}
    kernel = fleet_builders.kernel_of(name, names, fleet_builders.Wire(), parts)
    return owners.Owners(kernel)


def test_all_vms_name_the_same_owners_in_the_same_order():
    names = fleet_builders.names_of(60)
    ranked = {tuple(make(name, names).ranked("cap desk")) for name in names}
    assert len(ranked) == 1
    assert len(ranked.pop()) == 3


def test_where_vms_are_few_each_may_own():
    names = fleet_builders.names_of(6)
    assert sorted(make("vm-0", names).candidates()) == names


def test_a_silent_owner_is_left_alone_for_a_while(monkeypatch):
    clock = virtual_time.Clock(monkeypatch, owners)
    links = Peers()
    made = make("vm-0", fleet_builders.names_of(6), links)
    assert [made.ask("vm-1", None, 0.04, "a test") for _ in range(3)] == [None] * 3
    assert links.asked == ["vm-1"]
    assert made.is_silent("vm-1")
    clock.advance(owners.SILENT_S)
    links.reply = "here"
    assert made.ask("vm-1", None, 0.04, "a test") == "here"


def test_nobody_waits_for_a_connection_to_an_owner():
    links = Peers("here", linked=False)
    made = make("vm-0", fleet_builders.names_of(6), links)
    assert made.ask("vm-1", None, 0.04, "a test") is None
    assert (links.asked, links.opened) == ([], ["vm-1"])

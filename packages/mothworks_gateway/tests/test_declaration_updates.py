"""A new declaration reaches all VMs without a platform call from each of them.

The tests model 60 VMs, two of which follow the platform, while the operator declares a
few versions within a minute.
"""

import types

import pytest
import result

import fleet_builders
from mothworks_gateway import (
    adapters,
    broadcast,
    declaration_updates,
    declarations,
    feeding,
    lease,
)

VMS = 60


class Feeds:
    """A fake adapter whose documents are a version and filler text."""

    declaration_name = "main"
    declarations = None

    def declaration(self, document):
        version = int(document.partition(b" ")[0])
        made = types.SimpleNamespace(
            version=version, routes=(), document=document, accounts=None
        )
        return result.Ok(made)


class Fleet:
    """VMs whose messages arrive immediately; one of them holds the lease."""

    def __init__(self, holder):
        self.network = fleet_builders.Network()
        self.names = fleet_builders.vm_names(VMS)
        self.holder = holder
        self.declarations_by_vm = {name: self._make(name) for name in self.names}

    def _make(self, name):
        parts = {
            feeding.FeedFollowers: types.SimpleNamespace(feeds=Feeds()),
            lease.Lease: types.SimpleNamespace(held=lambda: name == self.holder),
        }
        kernel = fleet_builders.make_kernel(name, self.names, self.network, parts)
        kernel.parts[broadcast.Broadcast] = sender = broadcast.Broadcast(kernel)
        sender.publish = sender.publish_now
        node_declarations = declarations.Declarations(kernel)
        kernel.parts[declarations.Declarations] = node_declarations
        declaration_updates.DeclarationUpdates(kernel)
        return node_declarations

    def receive_from_platform(self, name, document):
        snapshot = adapters.Snapshot(1, {"main": document})
        self.declarations_by_vm[name]._apply_snapshot(snapshot)

    def versions(self):
        return {
            node_declarations.version
            for node_declarations in self.declarations_by_vm.values()
        }


def test_all_vms_receive_a_new_declaration():
    # Without publishing, each of the other 58 VMs made one billed call per version.
    fleet = Fleet("vm-3")
    fleet.receive_from_platform("vm-3", b"7 routes")
    assert fleet.versions() == {7}


def test_only_the_lease_holder_publishes():
    # Two VMs follow the platform. If both published, each document would be sent twice.
    fleet = Fleet("vm-3")
    fleet.receive_from_platform("vm-5", b"7 routes")
    assert fleet.declarations_by_vm["vm-4"].version == 0
    assert fleet.network.sent_by_vm == {}


def test_an_older_declaration_that_arrives_late_is_ignored():
    fleet = Fleet("vm-3")
    fleet.declarations_by_vm["vm-4"].apply_if_newer(b"9 routes", "test")
    fleet.receive_from_platform("vm-3", b"7 routes")
    assert fleet.declarations_by_vm["vm-4"].version == 9


def test_a_declaration_from_a_peer_is_not_published_again():
    fleet = Fleet("vm-3")
    fleet.declarations_by_vm["vm-3"].apply_if_newer(b"7 routes", "peer vm-5")
    assert fleet.network.sent_by_vm == {}


@pytest.mark.parametrize("excess_bytes", [0, 1])
def test_a_long_document_is_not_published(excess_bytes):
    # Sending 300 KB to each of 58 VMs would fill small VMs' links for seconds.
    document = b"7 " + b"x" * (
        declaration_updates.MAX_PUBLISHED_BYTES - 2 + excess_bytes
    )
    fleet = Fleet("vm-3")
    fleet.receive_from_platform("vm-3", document)
    assert fleet.versions() == ({7} if not excess_bytes else {7, 0})

"""A new declaration reaches all VMs with as few calls to the platform as tell it.

The pattern is 60 VMs, of which two follow the platform, while the operator declares a
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
    """Stands for an adapter: a document is a version and a filling."""

    declaration_name = "main"
    declarations = None

    def declaration(self, document):
        version = int(document.partition(b" ")[0])
        made = types.SimpleNamespace(
            version=version, routes=(), document=document, accounts=None
        )
        return result.Ok(made)


class Fleet:
    """VMs whose messages arrive at once; one of them holds the lease."""

    def __init__(self, holder):
        self.wire = fleet_builders.Wire()
        self.names = fleet_builders.names_of(VMS)
        self.holder = holder
        self.known_by_vm = {name: self._make(name) for name in self.names}

    def _make(self, name):
        parts = {
            feeding.Feeding: types.SimpleNamespace(feeds=Feeds()),
            lease.Lease: types.SimpleNamespace(held=lambda: name == self.holder),
        }
        kernel = fleet_builders.kernel_of(name, self.names, self.wire, parts)
        kernel.parts[broadcast.Broadcast] = sender = broadcast.Broadcast(kernel)
        sender.publish = sender.publish_now
        known = declarations.Declarations(kernel)
        kernel.parts[declarations.Declarations] = known
        declaration_updates.DeclarationUpdates(kernel)
        return known

    def platform_tells(self, name, document):
        listing = adapters.Listing(1, {"main": document})
        self.known_by_vm[name]._take_all(listing)

    def versions(self):
        return {known.version for known in self.known_by_vm.values()}


def test_all_vms_hear_a_new_declaration():
    # Each of 58 VMs read it from the platform: 58 priced calls for each version.
    fleet = Fleet("vm-3")
    fleet.platform_tells("vm-3", b"7 routes")
    assert fleet.versions() == {7}


def test_only_the_holder_tells():
    # Two VMs follow the platform; told by both, each document would go out twice.
    fleet = Fleet("vm-3")
    fleet.platform_tells("vm-5", b"7 routes")
    assert fleet.known_by_vm["vm-4"].version == 0
    assert fleet.wire.sent_by_vm == {}


def test_an_older_declaration_that_arrives_late_changes_nothing():
    fleet = Fleet("vm-3")
    fleet.known_by_vm["vm-4"].offer(b"9 routes", "test")
    fleet.platform_tells("vm-3", b"7 routes")
    assert fleet.known_by_vm["vm-4"].version == 9


def test_what_was_told_is_not_told_on():
    fleet = Fleet("vm-3")
    fleet.known_by_vm["vm-3"].offer(b"7 routes", "peer vm-5")
    assert fleet.wire.sent_by_vm == {}


@pytest.mark.parametrize("rest", [0, 1])
def test_a_long_document_is_left_to_the_platform(rest):
    # 300 KB to each of 58 VMs would keep the links of small VMs busy for seconds.
    document = b"7 " + b"x" * (declaration_updates.MOST_BYTES - 2 + rest)
    fleet = Fleet("vm-3")
    fleet.platform_tells("vm-3", document)
    assert fleet.versions() == ({7} if not rest else {7, 0})

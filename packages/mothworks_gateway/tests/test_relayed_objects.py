"""Relayed objects: a VM without access to the store reads and writes through a peer."""

import itertools
import types

import gevent
import pytest
import result

import gateway_builders
from mothworks import membership, objects, peers, plugins
from mothworks_gateway import relayed_objects

KEY = "leases/orders"


class Store:
    """Fake store, shared by all VMs."""

    def __init__(self):
        self.versions = itertools.count(1)
        self.stored = None

    def put(self, key, body, version):
        stored_version = self.stored.version if self.stored else None
        if stored_version != version:
            return result.Err(objects.Conflict(key))
        self.stored = objects.Stored(key, str(next(self.versions)), body)
        return result.Ok(self.stored.version)


@plugins.register(plugins.OBJECT_API, "none")
class Link:
    """Fake object API of one VM, with a fault that a test injects."""

    store = Store()

    def __init__(self, _):
        self.fault = ""

    def get(self, key):
        if self.fault == "silent":
            gevent.sleep(30)
        if self.fault:
            return result.Err(objects.Unavailable("503"))
        stored = self.store.stored
        return result.Ok(stored) if stored else result.Err(objects.Missing(key))

    def put(self, key, body, version):
        if self.fault == "refuses":
            return result.Err(objects.Unavailable("503"))
        if self.fault == "silent":
            gevent.sleep(30)
        outcome = self.store.put(key, body, version)
        return result.Err(objects.Unknown("lost")) if self.fault == "lost" else outcome


class Peers:
    """Fake peers that deliver messages between the VMs of a test."""

    def __init__(self, peers_by_vm, name):
        self.peers_by_vm = peers_by_vm
        self.name = name
        self.handler_by_class = {}
        peers_by_vm[name] = self

    def handle(self, message_class, handler):
        self.handler_by_class[message_class] = handler

    def is_connected(self, name):
        return name in self.peers_by_vm

    def call(self, name, message, timeout_s):
        answer = gevent.event.AsyncResult()
        handler = self.peers_by_vm[name].handler_by_class[type(message)]
        handler(self.name, message, answer.set)
        try:
            return result.Ok(answer.get(timeout=timeout_s))
        except gevent.Timeout:
            return result.Err(peers.PeerFailure(name, "no reply in time", True))


@pytest.fixture
def vms():
    Link.store = Store()
    peers_by_vm = {}
    relays = []
    for name in ("vm-1", "vm-2"):
        others = [types.SimpleNamespace(name=n) for n in ("vm-1", "vm-2") if n != name]
        parts = {
            peers.Peers: Peers(peers_by_vm, name),
            membership.Membership: types.SimpleNamespace(
                region_peers=lambda o=others: o
            ),
        }
        kernel = gateway_builders.Kernel(parts)
        relays.append(relayed_objects.RelayedObjects(kernel))
    return relays


@pytest.mark.parametrize("fault", ["refuses", "silent"])
def test_a_vm_without_the_store_writes_through_a_peer(vms, fault):
    # The store is reachable for all VMs except the lease holder. Its renewals failed,
    # and for eight seconds nobody ordered the models that callers switched to.
    first, second = vms
    version = second.put(KEY, b"1", None).unwrap()
    first.store.plugin.fault = fault
    with gevent.Timeout(2):
        assert first.put(KEY, b"2", version).is_ok()
        assert first.get(KEY).unwrap().body == b"2"


def test_a_conflict_that_the_own_write_may_have_caused_is_unknown(vms):
    # The store applies the write and its answer is lost. The write through the peer
    # then conflicts: the writer must read back before it drops its lease.
    first, second = vms
    version = second.put(KEY, b"1", None).unwrap()
    first.store.plugin.fault = "lost"
    assert isinstance(first.put(KEY, b"2", version).err(), objects.Unknown)
    assert second.get(KEY).unwrap().body == b"2"


def test_a_conflict_is_reported_where_nothing_was_written(vms):
    first, second = vms
    second.put(KEY, b"1", None)
    first.store.plugin.fault = "refuses"
    assert isinstance(first.put(KEY, b"2", "none").err(), objects.Conflict)


def test_the_store_is_unavailable_while_no_vm_reaches_it(vms):
    for vm in vms:
        vm.store.plugin.fault = "refuses"
    assert isinstance(vms[0].put(KEY, b"2", None).err(), objects.Unavailable)
    assert isinstance(vms[0].get(KEY).err(), objects.Unavailable)

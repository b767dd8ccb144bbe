"""Relayed objects: a VM that the store turns away reads and writes by a peer."""

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
    """One store for all VMs."""

    def __init__(self):
        self.versions = itertools.count(1)
        self.stored = None

    def put(self, key, body, version):
        there = self.stored.version if self.stored else None
        if there != version:
            return result.Err(objects.Conflict(key))
        self.stored = objects.Stored(key, str(next(self.versions)), body)
        return result.Ok(self.stored.version)


@plugins.register(plugins.OBJECT_API, "none")
class Link:
    """One VM's way to the store, which fails as a test says."""

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
        done = self.store.put(key, body, version)
        return result.Err(objects.Unknown("lost")) if self.fault == "lost" else done


class Peers:
    """Delivers messages between the VMs of a test."""

    def __init__(self, all_vms, name):
        self.all_vms = all_vms
        self.name = name
        self.handler_by_class = {}
        all_vms[name] = self

    def handle(self, message_class, handler):
        self.handler_by_class[message_class] = handler

    def linked(self, name):
        return name in self.all_vms

    def call(self, name, message, timeout_s):
        answer = gevent.event.AsyncResult()
        handler = self.all_vms[name].handler_by_class[type(message)]
        handler(self.name, message, answer.set)
        try:
            return result.Ok(answer.get(timeout=timeout_s))
        except gevent.Timeout:
            return result.Err(peers.PeerFailure(name, "no reply in time", True))


@pytest.fixture
def vms():
    Link.store = Store()
    everybody = {}
    made = []
    for name in ("vm-1", "vm-2"):
        others = [types.SimpleNamespace(name=n) for n in ("vm-1", "vm-2") if n != name]
        parts = {
            peers.Peers: Peers(everybody, name),
            membership.Membership: types.SimpleNamespace(near=lambda o=others: o),
        }
        kernel = gateway_builders.Kernel(parts)
        made.append(relayed_objects.RelayedObjects(kernel))
    return made


@pytest.mark.parametrize("fault", ["refuses", "silent"])
def test_a_vm_that_the_store_turns_away_writes_by_a_peer(vms, fault):
    # The store serves all VMs but the one that holds the lease. Its renewals
    # failed, and for eight seconds nobody ordered models that callers moved to.
    first, second = vms
    version = second.put(KEY, b"1", None).unwrap()
    first.own.plugin.fault = fault
    with gevent.Timeout(2):
        assert first.put(KEY, b"2", version).is_ok()
        assert first.get(KEY).unwrap().body == b"2"


def test_a_conflict_that_its_own_write_may_have_caused_is_no_conflict(vms):
    # The store does the write and loses its answer. The peer's copy then meets
    # another version: the writer must read back before it gives up.
    first, second = vms
    version = second.put(KEY, b"1", None).unwrap()
    first.own.plugin.fault = "lost"
    assert isinstance(first.put(KEY, b"2", version).err(), objects.Unknown)
    assert second.get(KEY).unwrap().body == b"2"


def test_a_conflict_is_told_where_nothing_was_written(vms):
    first, second = vms
    second.put(KEY, b"1", None)
    first.own.plugin.fault = "refuses"
    assert isinstance(first.put(KEY, b"2", "none").err(), objects.Conflict)


def test_nothing_is_claimed_while_the_store_is_away_for_all(vms):
    for vm in vms:
        vm.own.plugin.fault = "refuses"
    assert isinstance(vms[0].put(KEY, b"2", None).err(), objects.Unavailable)
    assert isinstance(vms[0].get(KEY).err(), objects.Unavailable)

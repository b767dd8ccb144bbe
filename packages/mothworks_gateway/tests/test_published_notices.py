"""Endpoint notices: what endpoints announce in their answers, and what VMs share."""

import types

import attrs
import pytest
import result

import fleet_builders
import gateway_builders
from mothworks_gateway import (
    broadcast,
    discovery,
    endpoint_notices,
    endpoints_client,
    registry,
)


@attrs.frozen
class Answer:
    """An answer and what it announces."""

    leaving: bool = False
    backoff_s: float | None = None


class Protocol:
    """A fake protocol that reads what an :class:`Answer` announces."""

    def is_leaving(self, answer):
        return answer.leaving

    def backoff_s(self, answer):
        return result.Ok(answer.backoff_s)


class Vm:
    """One VM of a fleet, with a registry that contains one endpoint."""

    def __init__(self, name, names, network):
        self.registry = registry.Registry()
        self.registry.put(gateway_builders.endpoint("i-1").entry, b"")
        parts = {
            discovery.Discovery: types.SimpleNamespace(registry=self.registry),
            endpoints_client.EndpointsClient: types.SimpleNamespace(
                protocol=Protocol()
            ),
        }
        kernel = fleet_builders.make_kernel(name, names, network, parts)
        kernel.parts[broadcast.Broadcast] = broadcast.Broadcast(kernel)
        self.notices = endpoint_notices.EndpointNotices(kernel)

    def observe(self, **announced):
        endpoint = self.registry.by_id["i-1"]
        self.notices.observe(endpoint, Answer(**announced), "q-1")


@pytest.fixture
def network():
    return fleet_builders.Network()


@pytest.fixture
def vms(network):
    names = fleet_builders.vm_names(40)
    return [Vm(name, names, network) for name in names]


# Guards against VMs that each have to learn from an answer that an endpoint leaves.
def test_a_notice_of_leaving_reaches_all_vms_once(vms, network):
    vms[0].observe(leaving=True)
    assert [vm.registry.of_service("s") for vm in vms] == [[]] * len(vms)
    sent = sum(network.sent_by_vm.values())
    vms[0].observe(leaving=True)
    vms[7].observe(leaving=True)
    assert sum(network.sent_by_vm.values()) == sent == len(vms) - 1


# Guards against a notice that is lost because the endpoint's entry arrives after it.
def test_a_notice_may_arrive_before_the_entry(vms):
    vms[0].registry.record_leaving("i-2")
    vms[0].registry.put(gateway_builders.endpoint("i-2").entry, b"")
    assert not vms[0].registry.by_id["i-2"].available


# Guards against a backoff that another refusal shortens, or that is forgotten when the
# endpoint's entry lapses and is written again.
def test_the_longest_backoff_is_kept(vms):
    vm = vms[0]
    endpoint = vm.registry.by_id["i-1"]
    assert vm.notices.backoff(endpoint) is None
    vm.observe(backoff_s=30.0)
    backoff = vm.notices.backoff(endpoint)
    vm.observe(backoff_s=1.0)
    vm.registry.remove("i-1")
    vm.registry.notify_changed()
    vm.registry.put(endpoint.entry, b"")
    assert vm.notices.backoff(vm.registry.by_id["i-1"]) == backoff
    assert vms[1].notices.backoff(endpoint) is None


def test_ended_backoffs_are_removed(vms):
    vm = vms[0]
    vm.observe(backoff_s=0.0)
    assert vm.notices.backoff(vm.registry.by_id["i-1"]) is None
    vm.registry.notify_changed()
    assert vm.notices.backoff_by_id == {}

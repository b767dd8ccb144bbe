"""The endpoint task: refused unloads, and withheld models afterwards."""

import unittest.mock

import gevent
import pytest

import builders
import order_execution_world
from mothworks import (
    catalogue,
    configuration,
    endpoint_task,
    endpoints,
    health,
    ledger_store,
    move_messages,
    placement,
    slots,
)

UNLOAD = move_messages.Move("engine-1", endpoints.OrderKind.UNLOAD, "menu", "1")


@pytest.fixture
def task(monkeypatch):
    """The task of an endpoint that holds the model ``menu``."""
    monkeypatch.setattr(gevent, "sleep", lambda seconds: None)
    world = order_execution_world.World(fencing=True)
    executor = world.reconciled_owner()
    order_execution_world.execute_move(
        executor, world, endpoints.OrderKind.LOAD, order_execution_world.holding()
    )
    declared = builders.make_catalogue(endpoints=(world.endpoint,), services=())
    part = unittest.mock.Mock()
    part.configuration.index = catalogue.Index(declared)
    part.health.adapters.get.return_value = world.adapter
    part.health.withheld_by_endpoint = {"engine-1": frozenset(["menu"])}
    part.slots.running_requests.return_value = frozenset()
    part.store = ledger_store.LedgerStore(world.api, confirm_timeout_s=0.0)
    stub_by_class = {
        configuration.Configuration: part.configuration,
        health.Health: part.health,
        placement.Placement: part.placement,
        slots.Slots: part.slots,
    }
    part.kernel.get.side_effect = stub_by_class.get
    task = endpoint_task.EndpointTask(part, "engine-1")
    task.executor = executor
    task.reconciled_at = executor.clock.monotonic()
    task.world = world
    return task


def queue_and_step(task, open_endpoints):
    task.part.placement.open_endpoints.return_value = open_endpoints
    task.add(UNLOAD)
    task.take_step()


def test_an_unload_withholds_the_model_before_its_order(task):
    queue_and_step(task, open_endpoints=["engine-2"])
    task.part.slots.withhold.assert_called_with("engine-1", frozenset(["menu"]))
    assert task.executor.current.intent.kind is endpoints.OrderKind.UNLOAD
    task.take_step()
    assert task.world.engine.resident_by_key == {}


def test_the_last_replica_is_not_unloaded_and_is_announced_again(task):
    """Two planners in a partitioned region each unload one replica. Both owners
    have withheld the model; if both continued, no replica would remain.
    """
    queue_and_step(task, open_endpoints=[])
    assert task.executor.current.intent is None
    task.part.slots.withhold.assert_called_with("engine-1", frozenset())


def test_an_outage_does_not_leave_a_model_withheld(task):
    """The object API fails when an unload starts. The model is still resident
    and must continue to serve; the planner replans later.
    """
    task.world.api.down = True
    queue_and_step(task, open_endpoints=["engine-2"])
    task.part.slots.withhold.assert_called_with("engine-1", frozenset())
    assert not task.queue

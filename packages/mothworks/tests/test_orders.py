"""An owner's task: what it refuses to do, and what it offers afterwards."""

import unittest.mock

import gevent
import pytest

import builders
import movers
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
def work(monkeypatch):
    """The task of an endpoint that holds the model ``menu``."""
    monkeypatch.setattr(gevent, "sleep", lambda seconds: None)
    world = movers.World(fencing=True)
    owner = world.ready_owner()
    movers.run(owner, world, endpoints.OrderKind.LOAD, movers.holding())
    declared = builders.declared(endpoints=(world.endpoint,), services=())
    part = unittest.mock.Mock()
    part.configuration.index = catalogue.Index(declared)
    part.health.adapters.get.return_value = world.adapter
    part.health.withheld_by_endpoint = {"engine-1": frozenset(["menu"])}
    part.slots.running.return_value = frozenset()
    part.store = ledger_store.LedgerStore(world.api, patience_s=0.0)
    stub_by_class = {
        configuration.Configuration: part.configuration,
        health.Health: part.health,
        placement.Placement: part.placement,
        slots.Slots: part.slots,
    }
    part.kernel.get.side_effect = stub_by_class.get
    made = endpoint_task.EndpointTask(part, "engine-1")
    made.mover = owner
    made.reconciled_at = owner.clock.monotonic()
    made.world = world
    return made


def step(work, answering):
    work.part.placement.open_endpoints.return_value = answering
    work.add(UNLOAD)
    work.take_step()


def test_an_unload_withholds_the_model_before_its_order(work):
    step(work, answering=["engine-2"])
    work.part.slots.withhold.assert_called_with("engine-1", frozenset(["menu"]))
    assert work.mover.current.intent.kind is endpoints.OrderKind.UNLOAD
    work.take_step()
    assert work.world.engine.resident_by_key == {}


def test_the_last_replica_is_kept_and_offered_again(work):
    """Two planners, each with half of the region, gave up one replica each.
    Both owners withheld the model; if both went on, nobody would answer.
    """
    step(work, answering=[])
    assert work.mover.current.intent is None
    work.part.slots.withhold.assert_called_with("engine-1", frozenset())


def test_an_outage_does_not_leave_a_model_withheld(work):
    """The object API goes down when an unload begins. The model is resident
    and must go on answering; the planner decides anew later.
    """
    work.world.api.down = True
    step(work, answering=["engine-2"])
    work.part.slots.withhold.assert_called_with("engine-1", frozenset())
    assert not work.queue

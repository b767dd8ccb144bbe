"""Graceful shutdown of a node under load, with nodes in separate processes."""

import time

import gevent
import pytest

import builders
from mothworks_fakes import arrivals, engine, history, load, processes

NAMES = ("vm-1", "vm-2", "vm-3")
SPEED = engine.Speed(step_s=0.02, batch=4)


@pytest.fixture
def deployment(bed):
    endpoints = tuple(
        bed.add_engine(builders.endpoint(name, slots=SPEED.batch), SPEED)
        for name in ("engine-1", "engine-2")
    )
    for name in ("engine-1", "engine-2"):
        bed.fake_by_endpoint[name].place("menu", 16_000)
    for name in NAMES:
        bed.add_node(name, "dc-1", "region-1")
    bed.apply(builders.make_catalogue(endpoints=endpoints, services=()))
    processes.wait_until(lambda: bed.all_open(["engine-1", "engine-2"]))
    processes.wait_until(bed.all_know_all)
    return bed


@pytest.mark.parametrize("name", NAMES)
def test_shutdown_under_load_interrupts_no_request(deployment, name):
    """A VM shuts down while it serves, owns endpoints and queues requests.

    The load balancer notices late, so calls still arrive meanwhile. No response
    may be interrupted, no call refused, and requests in its queues must get
    their slots from the next owner.
    """
    leaving = deployment.node_by_name[name]
    sender = load.Load([node.url for node in deployment.node_by_name.values()])
    traffic = arrivals.Traffic("bulk", builders.BULK_KEY, "menu", 1.0, tokens=20)
    start = time.monotonic()
    stopping = None
    tasks = []
    for number in range(90):
        if number == 30:
            stopping = gevent.spawn(leaving.stop)
        if stopping is not None and not leaving.is_ready():
            sender.client_by_url.pop(leaving.url, None)
        arrival = arrivals.Arrival(number, time.monotonic() - start, traffic)
        tasks.append(gevent.spawn(sender.send, arrival, start))
        gevent.sleep(0.02)
    gevent.joinall(tasks, timeout=60, raise_error=True)
    assert stopping.get(timeout=60) == 0
    assert [item.error for item in sender.records if not item.complete] == []
    assert not history.check_answers(sender.records)
    runs = [run for item in deployment.engines() for run in item.runs]
    assert len(runs) == len(sender.records)


def test_idle_vm_serves_calls_that_the_balancer_still_sends(deployment):
    """A VM with no request in flight shuts down.

    The load balancer checks readiness only at intervals and keeps sending calls
    to it meanwhile. If the VM closed its port at once, they would fail.
    """
    leaving = deployment.node_by_name["vm-1"]
    sender = load.Load([leaving.url])
    traffic = arrivals.Traffic("bulk", builders.BULK_KEY, "menu", 1.0, tokens=2)
    start = time.monotonic()
    stopping = gevent.spawn(leaving.stop)
    processes.wait_until(lambda: not leaving.is_ready())
    tasks = []
    for number in range(20):
        arrival = arrivals.Arrival(number, time.monotonic() - start, traffic)
        tasks.append(gevent.spawn(sender.send, arrival, start))
        gevent.sleep(0.02)
    gevent.joinall(tasks, timeout=60, raise_error=True)
    assert [item.error for item in sender.records if not item.complete] == []
    assert stopping.get(timeout=60) == 0

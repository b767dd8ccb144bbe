"""Placement with node processes: what is declared becomes and stays resident."""

import attrs
import gevent
import geventhttpclient
import orjson
import pytest

import builders
from mothworks import catalogue
from mothworks_fakes import engine, processes

MEMORY_MB = 50_000


def chat(url, model):
    body = orjson.dumps({"model": model, "messages": [], "max_tokens": 2})
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    http = geventhttpclient.HTTPClient.from_url(url)
    reply = http.post("/v1/chat/completions", body, headers)
    reply.read()
    return reply.status_code


def wait_for_answer(url, model):
    processes.wait_until(lambda: chat(url, model) == 200, 30.0)


def resident(bed, endpoint):
    return set(bed.fake_by_endpoint[endpoint].memory.resident_by_key)


def names(bed, endpoint):
    return {key[0] for key in resident(bed, endpoint)}


@pytest.fixture
def deployment(bed):
    """Two empty engines in two data centres, and a node in each."""
    speed = engine.Speed(load_mb_per_s=40_000.0)
    engines = [
        bed.add_engine(
            builders.endpoint(
                f"engine-{number}", data_centre=f"dc-{number}", memory_mb=MEMORY_MB
            ),
            speed,
        )
        for number in (1, 2)
    ]
    for number in (1, 2):
        bed.add_node(f"vm-{number}", f"dc-{number}", "region-1")
    bed.declared = builders.declared(
        models=(builders.model("menu"), builders.model("tickets")),
        adapters=(catalogue.Adapter("menu-es", "menu", 200),),
        services=(),
        endpoints=tuple(engines),
    )
    bed.revision = bed.apply(bed.declared)
    yield bed
    for fake in bed.fake_by_endpoint.values():
        assert fake.memory.peak_mb <= MEMORY_MB


def change(bed, **fields):
    bed.declared = attrs.evolve(bed.declared, **fields)
    bed.revision = bed.apply(bed.declared, bed.revision)


class Calling:
    """A caller that asks for a model without a pause, and counts refusals."""

    def __init__(self, url, model):
        self.statuses = []
        self.task = gevent.spawn(self.run, url, model)

    def run(self, url, model):
        while True:
            self.statuses.append(chat(url, model))
            gevent.sleep(0.02)

    def stop(self):
        self.task.kill()
        assert set(self.statuses) == {200}


def test_declared_models_are_loaded_and_answer(deployment):
    wanted = {"menu", "tickets", "menu-es"}
    processes.wait_until(
        lambda: names(deployment, "engine-1") == names(deployment, "engine-2") == wanted
    )
    for node in deployment.node_by_name.values():
        for name in wanted:
            wait_for_answer(node.url, name)


def test_rolling_over_draining_and_retiring_refuse_nobody(deployment):
    """An operator rolls a model over, drains an endpoint and retires another
    model, while a guest chats. The guest must get every answer.
    """
    url = deployment.node_by_name["vm-1"].url
    for node in deployment.node_by_name.values():
        wait_for_answer(node.url, "menu")
    calling = Calling(url, "menu")
    models = (builders.model("menu", version="2"), builders.model("tickets"))
    change(deployment, models=models)
    processes.wait_until(
        lambda: (
            ("menu", "2") in resident(deployment, "engine-1")
            and ("menu", "1") not in resident(deployment, "engine-1")
        ),
        40.0,
    )
    change(deployment, models=models[:1])
    processes.wait_until(lambda: "tickets" not in names(deployment, "engine-2"))
    first, second = deployment.declared.endpoints
    change(deployment, endpoints=(attrs.evolve(first, drain=True), second))
    running = deployment.fake_by_endpoint["engine-1"]
    processes.wait_until(lambda: running.running == 0)
    asked = len(calling.statuses)
    processes.wait_until(lambda: len(calling.statuses) > asked + 20)
    calling.stop()


def test_a_restarted_engine_is_filled_again_after_an_outage(deployment):
    """The object API is down and an engine restarts empty. What the other
    engine holds goes on answering; nothing is loaded, since no intent can be
    written; after the outage the engine gets its models back.
    """
    url = deployment.node_by_name["vm-1"].url
    wanted = {"menu", "tickets", "menu-es"}
    processes.wait_until(
        lambda: names(deployment, "engine-1") == names(deployment, "engine-2") == wanted
    )
    wait_for_answer(url, "menu")
    deployment.object_api.faults.outage = True
    restarted = deployment.fake_by_endpoint["engine-1"]
    orders = len(restarted.order_ids)
    restarted.restart()
    wait_for_answer(url, "menu")
    assert len(restarted.order_ids) == orders
    deployment.object_api.faults.outage = False
    processes.wait_until(lambda: names(deployment, "engine-1") == wanted, 40.0)


def test_a_load_outlives_its_owner(deployment):
    """The VM that ordered a load dies while the engine loads. The next owner
    finds the intent in the ledger and finishes the load, with the same order.
    """
    loading = deployment.fake_by_endpoint["engine-1"]
    loading.speed.load_mb_per_s = 8_000.0
    processes.wait_until(lambda: loading.memory.loading_by_key)
    deployment.node_by_name.pop("vm-1").kill()
    del deployment.vm_list.vm_by_name["vm-1"]
    wanted = {"menu", "tickets", "menu-es"}
    processes.wait_until(lambda: names(deployment, "engine-1") == wanted, 60.0)
    wait_for_answer(deployment.node_by_name["vm-2"].url, "menu")

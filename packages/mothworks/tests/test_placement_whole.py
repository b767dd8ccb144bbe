"""Placement with node processes: declared models become and stay resident."""

import attrs
import gevent
import geventhttpclient
import orjson
import pytest

import builders
from mothworks import catalogue
from mothworks_fakes import engine, processes

MEMORY_MB = 50_000


def send_chat(url, model):
    body = orjson.dumps({"model": model, "messages": [], "max_tokens": 2})
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    http = geventhttpclient.HTTPClient.from_url(url)
    reply = http.post("/v1/chat/completions", body, headers)
    reply.read()
    return reply.status_code


def wait_for_answer(url, model):
    processes.wait_until(lambda: send_chat(url, model) == 200, 30.0)


def resident_keys(bed, endpoint):
    return set(bed.fake_by_endpoint[endpoint].memory.resident_by_key)


def resident_names(bed, endpoint):
    return {key[0] for key in resident_keys(bed, endpoint)}


@pytest.fixture
def deployment(bed):
    """Two engines without models in two data centres, and a node in each."""
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
    bed.declared = builders.make_catalogue(
        models=(builders.model("menu"), builders.model("tickets")),
        adapters=(catalogue.Adapter("menu-es", "menu", 200),),
        services=(),
        endpoints=tuple(engines),
    )
    bed.revision = bed.apply(bed.declared)
    yield bed
    for fake in bed.fake_by_endpoint.values():
        assert fake.memory.peak_mb <= MEMORY_MB


def apply_change(bed, **fields):
    bed.declared = attrs.evolve(bed.declared, **fields)
    bed.revision = bed.apply(bed.declared, bed.revision)


class RepeatingCaller:
    """A caller that sends chat requests continuously and records the statuses."""

    def __init__(self, url, model):
        self.statuses = []
        self.task = gevent.spawn(self.run, url, model)

    def run(self, url, model):
        while True:
            self.statuses.append(send_chat(url, model))
            gevent.sleep(0.02)

    def stop(self):
        self.task.kill()
        assert set(self.statuses) == {200}


def test_declared_models_are_loaded_and_serve(deployment):
    expected_names = {"menu", "tickets", "menu-es"}
    processes.wait_until(
        lambda: (
            resident_names(deployment, "engine-1")
            == resident_names(deployment, "engine-2")
            == expected_names
        )
    )
    for node in deployment.node_by_name.values():
        for name in expected_names:
            wait_for_answer(node.url, name)


def test_updates_drains_and_retirements_refuse_no_request(deployment):
    """An operator updates a model's version, drains an endpoint and retires
    another model while a caller sends requests. Every request must succeed.
    """
    url = deployment.node_by_name["vm-1"].url
    for node in deployment.node_by_name.values():
        wait_for_answer(node.url, "menu")
    caller = RepeatingCaller(url, "menu")
    models = (builders.model("menu", version="2"), builders.model("tickets"))
    apply_change(deployment, models=models)
    processes.wait_until(
        lambda: (
            ("menu", "2") in resident_keys(deployment, "engine-1")
            and ("menu", "1") not in resident_keys(deployment, "engine-1")
        ),
        40.0,
    )
    apply_change(deployment, models=models[:1])
    processes.wait_until(
        lambda: "tickets" not in resident_names(deployment, "engine-2")
    )
    first, second = deployment.declared.endpoints
    apply_change(deployment, endpoints=(attrs.evolve(first, drain=True), second))
    drained_engine = deployment.fake_by_endpoint["engine-1"]
    processes.wait_until(lambda: drained_engine.running == 0)
    answered_count = len(caller.statuses)
    processes.wait_until(lambda: len(caller.statuses) > answered_count + 20)
    caller.stop()


def test_a_restarted_engine_is_reloaded_after_an_outage(deployment):
    """The object API is down and an engine restarts without models. The other
    engine continues to serve; nothing is loaded, since no intent can be
    written. After the outage the engine's models are loaded again.
    """
    url = deployment.node_by_name["vm-1"].url
    expected_names = {"menu", "tickets", "menu-es"}
    processes.wait_until(
        lambda: (
            resident_names(deployment, "engine-1")
            == resident_names(deployment, "engine-2")
            == expected_names
        )
    )
    wait_for_answer(url, "menu")
    deployment.object_api.faults.outage = True
    restarted_engine = deployment.fake_by_endpoint["engine-1"]
    order_count = len(restarted_engine.order_ids)
    restarted_engine.restart()
    wait_for_answer(url, "menu")
    assert len(restarted_engine.order_ids) == order_count
    deployment.object_api.faults.outage = False
    processes.wait_until(
        lambda: resident_names(deployment, "engine-1") == expected_names, 40.0
    )


def test_a_load_completes_after_its_owner_failed(deployment):
    """The VM that ordered a load fails while the engine loads. The next owner
    reads the intent from the ledger and completes the load with the same order.
    """
    loading_engine = deployment.fake_by_endpoint["engine-1"]
    loading_engine.speed.load_mb_per_s = 8_000.0
    processes.wait_until(lambda: loading_engine.memory.loading_by_key)
    deployment.node_by_name.pop("vm-1").kill()
    del deployment.vm_list.vm_by_name["vm-1"]
    expected_names = {"menu", "tickets", "menu-es"}
    processes.wait_until(
        lambda: resident_names(deployment, "engine-1") == expected_names, 60.0
    )
    wait_for_answer(deployment.node_by_name["vm-2"].url, "menu")

"""Placement with node processes: what is declared becomes resident."""

import geventhttpclient
import orjson

import builders
from mothworks import catalogue
from mothworks_fakes import processes


def chat(url, model):
    body = orjson.dumps({"model": model, "messages": [], "max_tokens": 2})
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    http = geventhttpclient.HTTPClient.from_url(url)
    reply = http.post("/v1/chat/completions", body, headers)
    reply.read()
    return reply.status_code


def wait_for_answer(url, model):
    processes.wait_until(lambda: chat(url, model) == 200)


def resident(bed, endpoint):
    memory = bed.fake_by_endpoint[endpoint].memory
    return {key[0] for key in memory.resident_by_key}


def test_a_declared_model_is_loaded_and_answers(bed):
    engines = [
        bed.add_engine(builders.endpoint("engine-1", memory_mb=50_000)),
        bed.add_engine(
            builders.endpoint("engine-2", memory_mb=50_000, data_centre="dc-2")
        ),
    ]
    bed.add_node("vm-1", "dc-1", "region-1")
    bed.add_node("vm-2", "dc-2", "region-1")
    models = (builders.model("menu"), builders.model("tickets"))
    adapters = (catalogue.Adapter("menu-es", "menu", 200),)
    declared = builders.declared(
        models=models, adapters=adapters, services=(), endpoints=tuple(engines)
    )
    bed.apply(declared)
    names = {"menu", "tickets", "menu-es"}
    processes.wait_until(
        lambda: (resident(bed, "engine-1") | resident(bed, "engine-2")) >= names, 30.0
    )
    for node in bed.node_by_name.values():
        for name in names:
            wait_for_answer(node.url, name)
    for engine in bed.fake_by_endpoint.values():
        assert engine.memory.peak_mb <= 50_000

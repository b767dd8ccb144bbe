"""Placement with node processes: what is declared becomes resident."""

import geventhttpclient
import orjson

import builders
from mothworks import catalogue, statements
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


def resident_anywhere(bed, model):
    return any(model in resident(bed, name) for name in bed.fake_by_endpoint)


def test_an_operator_moves_a_model(bed):
    for name in ("engine-1", "engine-2"):
        bed.add_engine(builders.endpoint(name, memory_mb=50_000))
    endpoints = tuple(
        builders.endpoint(name, memory_mb=50_000, port=bed.fake_by_endpoint[name].port)
        for name in bed.fake_by_endpoint
    )
    node = bed.add_node("vm-1", "dc-1", "region-1")
    bed.add_node("vm-2", "dc-1", "region-1")
    bed.apply(builders.declared(services=(), endpoints=endpoints))
    # Requests that are refused until then would be demand for a second replica.
    processes.wait_until(lambda: resident_anywhere(bed, "menu"), 30.0)
    [source] = [name for name in bed.fake_by_endpoint if resident(bed, name)]
    [target] = bed.fake_by_endpoint.keys() - {source}
    operator = bed.operator(node)

    def move(model, origin, destination):
        order = statements.Move(model, origin, destination, "test")
        return operator.post("ask", statements.plain(order))

    assert move("menu", target, source).unwrap_err().status == 409
    assert move("menu", source, "absent").unwrap_err().status == 404
    # The planner answers once it has heard of both endpoints.
    processes.wait_until(lambda: move("menu", source, target).is_ok(), 30.0)
    processes.wait_until(lambda: resident(bed, target) == {"menu"}, 30.0)
    processes.wait_until(lambda: not resident(bed, source), 30.0)
    wait_for_answer(node.url, "menu")

"""End to end between separate processes: apply, route and stream."""

import geventhttpclient
import orjson
import pytest

import builders
from mothctl import client
from mothworks import documents
from mothworks_fakes import processes, testbed


@pytest.fixture
def deployment(bed):
    engine = bed.add_engine(builders.endpoint())
    bed.fake_by_endpoint["engine-1"].place("menu", 16_000)
    orders = bed.add_application(builders.service_endpoint())
    bed.add_node("vm-1", "dc-1", "region-1")
    bed.add_node("vm-2", "dc-2", "region-1")
    node = client.Client(bed.node_by_name["vm-1"].url, testbed.OPERATOR_KEY)
    declared = builders.make_catalogue(endpoints=(engine, orders))
    change = {"revision": 0, "why": "", "catalogue": documents.to_plain(declared)}
    assert node.put("catalogue", change).unwrap() == {"revision": 1}
    processes.wait_until(lambda: all(open_on_each_node(bed)))
    return bed


def open_on_each_node(bed):
    for node in bed.node_by_name.values():
        reply = client.Client(node.url, testbed.OPERATOR_KEY).get("show/endpoints")
        states = {row["endpoint"]: row["state"] for row in reply.unwrap()}
        yield states.get("engine-1") == "open" and states.get("orders-1") == "open"


def post(url, path, body, key=builders.CALLER_KEY, **headers):
    http = geventhttpclient.HTTPClient.from_url(url)
    headers = {"Authorization": f"Bearer {key}", **headers}
    reply = http.post(path, body, headers)
    return reply.status_code, bytes(reply.read())


def chat(**fields):
    messages = [{"role": "user", "content": "What is on the menu?"}]
    return orjson.dumps({"model": "menu", "messages": messages, **fields})


def test_each_node_streams_a_complete_answer(deployment):
    for node in deployment.node_by_name.values():
        body = chat(stream=True, max_tokens=5)
        status, answer = post(node.url, "/v1/chat/completions", body)
        assert status == 200
        assert answer.count(b"data: ") == 6
        assert answer.endswith(b"data: [DONE]\n\n")


def test_each_node_returns_a_complete_answer(deployment):
    for node in deployment.node_by_name.values():
        status, answer = post(node.url, "/v1/chat/completions", chat(max_tokens=3))
        assert status == 200
        content = orjson.loads(answer)["choices"][0]["message"]["content"]
        assert len(content.split()) == 3


def test_requests_to_services_are_routed(deployment):
    node = deployment.node_by_name["vm-2"]
    status, answer = post(node.url, "/services/orders/confirm?x=1", b"two trays")
    assert status == 200
    assert orjson.loads(answer) == {"path": "/confirm", "echo": "two trays"}


def test_invalid_requests_get_specific_errors(deployment):
    url = deployment.node_by_name["vm-1"].url
    path = "/v1/chat/completions"
    cases = (
        (post(url, path, chat(), key="wrong"), 401, "invalid_api_key"),
        (post(url, path, b"{"), 400, "invalid_json"),
        (post(url, path, b"\xff\xfe"), 400, "invalid_json"),
        (post(url, path, b'{"model": "absent"}'), 404, "model_not_found"),
        (post(url, path, b" " * (4 << 20) + b"{}"), 413, "body_too_long"),
    )
    for (status, body), expected_status, code in cases:
        error = orjson.loads(body)["error"]
        assert (status, error["code"], error["ran"]) == (expected_status, code, "no")


def test_a_node_shuts_down_with_code_zero(deployment):
    assert deployment.node_by_name["vm-2"].stop() == 0

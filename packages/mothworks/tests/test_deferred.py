"""Deferred work: accepted after it is stored, and never lost afterwards."""

import geventhttpclient
import msgpack
import orjson
import pytest

import builders
from mothworks import catalogue, deferred_records, objects
from mothworks_fakes import gates, object_api, processes, testbed, web

BODY = orjson.dumps({"model": "menu", "messages": [], "max_tokens": 3})
CHAT = "/v1/chat/completions"
ORDER = "/services/orders/confirm"


@pytest.fixture(scope="module")
def bed(tmp_path_factory):
    new_bed = testbed.Testbed(tmp_path_factory.mktemp("deferred"))
    engine = new_bed.add_engine(builders.endpoint())
    new_bed.fake_by_endpoint["engine-1"].place("menu", 16_000)
    orders = new_bed.add_application(builders.service_endpoint())
    for name in ("vm-1", "vm-2", "vm-3"):
        new_bed.add_node(name, "dc-1", "region-1")
    declared = builders.make_catalogue(
        services=(catalogue.Service("orders"),), endpoints=(engine, orders)
    )
    new_bed.apply(declared)
    processes.wait_until(lambda: new_bed.all_open(("engine-1", "orders-1")))
    yield new_bed
    new_bed.stop()


@pytest.fixture(autouse=True)
def no_faults(bed):
    yield
    bed.object_api.faults = web.Faults()


def call(bed, name, method, path, body=b"", key=builders.CALLER_KEY, **headers):
    url = bed.node_by_name[name].url
    http = geventhttpclient.HTTPClient.from_url(url, network_timeout=30)
    headers = {"Authorization": f"Bearer {key}", **headers}
    reply = http.request(method, path, body, headers)
    return reply.status_code, dict(reply.items()), bytes(reply.read())


def defer(bed, name, path, body, **headers):
    headers = {"Prefer": "respond-async", **headers}
    status, headers, reply = call(bed, name, "POST", path, body, **headers)
    assert status == 202, reply
    assert headers["Preference-Applied"] == "respond-async"
    return headers["Location"]


def wait_for(bed, name, location):
    answers = []

    def is_done():
        answers.append(call(bed, name, "GET", location))
        return answers[-1][1].get("Mothworks-State") == "done"

    processes.wait_until(is_done, 40)
    status, _, body = answers[-1]
    return status, body


def error_of(reply):
    status, _, body = reply
    value = orjson.loads(body)["error"]
    return status, value["code"], value["ran"]


def test_any_node_returns_the_complete_answer(bed):
    location = defer(bed, "vm-1", CHAT, BODY)
    status, body = wait_for(bed, "vm-2", location)
    assert status == 200
    content = orjson.loads(body)["choices"][0]["message"]["content"]
    assert len(content.split()) == 3
    assert wait_for(bed, "vm-3", location) == (status, body)


def test_only_the_same_caller_finds_the_answer(bed):
    location = defer(bed, "vm-1", CHAT, BODY)
    other = call(bed, "vm-1", "GET", location, key=builders.BULK_KEY)
    assert error_of(other) == (404, "work_not_found", "no")
    for path in ("/deferred/", "/deferred/zz-1", "/deferred/1-../../claims"):
        assert error_of(call(bed, "vm-1", "GET", path))[0] == 404


def test_a_bad_request_is_refused_before_it_is_stored(bed):
    refused = call(bed, "vm-1", "POST", CHAT, b"{", Prefer="respond-async")
    assert error_of(refused) == (400, "invalid_json", "no")


def test_a_resend_of_an_order_is_the_same_work(bed):
    # The reply 202 is lost, and the caller resends the order.
    key = {"Idempotency-Key": "lost-202"}
    first = defer(bed, "vm-1", ORDER, b"deferred tray", **key)
    again = defer(bed, "vm-2", ORDER, b"deferred tray", **key)
    assert wait_for(bed, "vm-3", first) == wait_for(bed, "vm-3", again)
    assert bed.fake_by_endpoint["orders-1"].calls_by_body[b"deferred tray"] == 1


def test_work_is_refused_during_an_outage_and_with_a_long_body(bed):
    bed.object_api.faults.outage = True
    headers = {"Prefer": "respond-async"}
    refused = call(bed, "vm-1", "POST", CHAT, BODY, **headers)
    assert error_of(refused) == (503, "object_api", "no")
    bed.object_api.faults.outage = False
    long_body = orjson.dumps({"model": "menu", "prompt": "x" * objects.MAX_VALUE_BYTES})
    refused = call(bed, "vm-1", "POST", "/v1/completions", long_body, **headers)
    assert error_of(refused) == (413, "body_too_long", "no")


def test_work_in_a_later_format_is_left_unchanged(bed):
    # A newer VM stored work in a format that this version can't decode.
    work_id = "79d0b-later"
    key = deferred_records.key(deferred_records.OPEN_PREFIX, work_id)
    version = object_api.Item(1, msgpack.packb(["later", {"form": 2}]))
    bed.object_api.item_by_key[key] = version
    error = error_of(call(bed, "vm-1", "GET", f"/deferred/{work_id}"))
    assert error == (503, "object_api", "no")
    status, body = wait_for(bed, "vm-1", defer(bed, "vm-2", CHAT, BODY))
    assert status == 200
    assert bed.object_api.item_by_key.pop(key) is version


def test_work_survives_the_death_of_every_node(bed):
    # Work is accepted, then every node dies, one of them while it runs the
    # work. New nodes find the work and store its answer.
    engine = bed.fake_by_endpoint["engine-1"]
    gate = engine.gates.close(gates.Step.SENT)
    location = defer(bed, "vm-1", CHAT, BODY)
    gate.reached.wait()
    for name in list(bed.node_by_name):
        bed.node_by_name.pop(name).kill()
        bed.vm_list.vm_by_name.pop(name)
    gate.opened.set()
    for name in ("vm-4", "vm-5"):
        bed.add_node(name, "dc-1", "region-1")
    processes.wait_until(lambda: bed.all_open(("engine-1",)))
    status, body = wait_for(bed, "vm-4", location)
    assert status == 200
    assert len(orjson.loads(body)["choices"]) == 1

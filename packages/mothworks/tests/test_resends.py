"""Tests of resends with an Idempotency-Key between nodes, some of which die."""

import gevent
import geventhttpclient
import orjson
import pytest

import builders
from mothworks import catalogue
from mothworks_fakes import gates, processes, testbed, web

NODES = ("vm-1", "vm-2", "vm-3")
ENDPOINTS = ("engine-1", "orders-1", "kitchen-1")


@pytest.fixture(scope="module")
def bed(tmp_path_factory):
    new_bed = testbed.Testbed(tmp_path_factory.mktemp("resends"))
    engine = new_bed.add_engine(builders.endpoint())
    new_bed.fake_by_endpoint["engine-1"].place("menu", 16_000)
    orders = new_bed.add_application(builders.service_endpoint(slots=64))
    kitchen = new_bed.add_application(
        builders.service_endpoint("kitchen-1", service="kitchen", slots=1)
    )
    for name in NODES:
        new_bed.add_node(name, "dc-1", "region-1")
    declared = builders.make_catalogue(
        services=(catalogue.Service("orders"), catalogue.Service("kitchen")),
        endpoints=(engine, orders, kitchen),
    )
    new_bed.apply(declared)
    processes.wait_until(lambda: new_bed.all_open(ENDPOINTS))
    yield new_bed
    new_bed.stop()


@pytest.fixture(autouse=True)
def reset_faults(bed):
    yield
    bed.object_api.faults = web.Faults()
    service(bed).work_s = 0.0


@pytest.fixture
def dying_node(bed, request):
    """An additional node, which the test kills."""
    name = f"doomed-{request.node.name}"
    node = bed.add_node(name, "dc-1", "region-1")
    processes.wait_until(lambda: bed.all_open(ENDPOINTS))
    yield node
    del bed.node_by_name[name]


def service(bed):
    return bed.fake_by_endpoint["orders-1"]


def count_runs(bed, body):
    return service(bed).calls_by_body[body]


def send(bed, name, body, key, path="/services/orders/confirm"):
    node = bed.node_by_name[name]
    http = geventhttpclient.HTTPClient.from_url(node.url, network_timeout=30)
    headers = {
        "Authorization": f"Bearer {builders.CALLER_KEY}",
        "Idempotency-Key": key,
    }
    reply = http.post(path, body, headers)
    return reply.status_code, bytes(reply.read())


def error(answer):
    status, body = answer
    value = orjson.loads(body)["error"]
    return status, value["code"], value["ran"]


def resend_until_settled(bed, body, key, *path):
    """Resend until the reply is neither 409 nor 503, and return that reply."""
    answers = []

    def settled():
        answers.append(send(bed, "vm-2", body, key, *path))
        return answers[-1][0] not in (409, 503)

    processes.wait_until(settled)
    return answers[-1]


def test_a_resend_on_any_node_gets_the_first_answer(bed):
    body = b"one tray, resent"
    answers = {send(bed, name, body, "resent") for name in NODES}
    assert answers == {(200, b'{"path":"/confirm","echo":"one tray, resent"}')}
    assert count_runs(bed, body) == 1


def test_of_concurrent_copies_one_runs_and_all_get_its_answer(bed):
    service(bed).work_s = 0.3
    body = b"one tray, many copies"
    copies = [gevent.spawn(send, bed, name, body, "copies") for name in NODES * 3]
    gevent.joinall(copies)
    assert {copy.value[0] for copy in copies} == {200}
    assert count_runs(bed, body) == 1


def test_a_key_reused_for_another_request_is_refused(bed):
    assert send(bed, "vm-1", b"first", "once")[0] == 200
    refused = send(bed, "vm-2", b"another", "once")
    assert error(refused) == (422, "idempotency_key_reused", "no")
    assert count_runs(bed, b"another") == 0


def test_a_model_request_with_a_key_is_replayed(bed):
    body = orjson.dumps(
        {"model": "menu", "messages": [], "stream": True, "max_tokens": 4}
    )
    path = "/v1/chat/completions"
    first = send(bed, "vm-1", body, "chat", path)
    assert first[1].endswith(b"[DONE]\n\n")
    assert send(bed, "vm-3", body, "chat", path) == first
    assert len(bed.fake_by_endpoint["engine-1"].runs) == 1


def test_a_resend_after_a_client_timeout_gets_the_answer(bed):
    # The caller's client times out, closes the connection and resends the order
    # while the first copy is still running.
    service(bed).work_s = 1.0
    body = b"one tray, impatient"
    impatient = gevent.spawn(send, bed, "vm-1", body, "impatient")
    processes.wait_until(lambda: count_runs(bed, body))
    impatient.kill()
    assert send(bed, "vm-2", body, "impatient")[0] == 200
    assert count_runs(bed, body) == 1


def test_an_outage_of_the_object_api_refuses_what_may_run_once(bed):
    # The service received the order, and the client resends it during an outage. A
    # node that cannot read claims must not report the order as not run: the client
    # would order again under another key, and the order would run twice.
    bed.object_api.faults.outage = True
    body = b"one tray, outage"
    answer = send(bed, "vm-1", body, "outage")
    assert error(answer) == (503, "object_api", "unknown")
    assert count_runs(bed, body) == 0
    chat = orjson.dumps({"model": "menu", "messages": [], "max_tokens": 1})
    answer = send(bed, "vm-1", chat, "outage-chat", "/v1/chat/completions")
    assert answer[0] == 200
    bed.object_api.faults.outage = False
    assert resend_until_settled(bed, body, "outage")[0] == 200
    assert count_runs(bed, body) == 1


def test_a_node_that_dies_after_sending_leaves_the_outcome_unknown(bed, dying_node):
    # The node sent the order and died before the response arrived. If the resend
    # ran, the order would run twice.
    service(bed).work_s = 1.0
    body = b"one tray, died after sending"
    first = gevent.spawn(send, bed, dying_node.settings.name, body, "after-send")
    processes.wait_until(lambda: count_runs(bed, body))
    dying_node.kill()
    answer = send(bed, "vm-1", body, "after-send")
    assert error(answer) == (502, "outcome_unknown", "unknown")
    assert count_runs(bed, body) == 1
    first.kill()


def test_a_node_that_dies_after_claiming_leaves_no_second_run(bed, dying_node):
    # The claim was written but its reply was lost, and the node died before it
    # could find out. Nothing ran, but no other node can know that.
    body = b"one tray, died after claiming"
    bed.object_api.faults = web.Faults(
        lost_reply=1.0, only="/objects/claims", writes_only=True
    )
    before = bed.object_api.writes
    first = gevent.spawn(send, bed, dying_node.settings.name, body, "after-claim")
    processes.wait_until(lambda: bed.object_api.writes > before)
    dying_node.kill()
    bed.object_api.faults = web.Faults()
    status, _ = resend_until_settled(bed, body, "after-claim")
    assert status in (200, 502)
    assert count_runs(bed, body) == (1 if status == 200 else 0)
    first.kill()


def test_a_node_that_dies_before_claiming_does_not_block_the_resend(bed, dying_node):
    # The node died while the ticket waited for the only slot of the service. No
    # claim was written, so the resend runs.
    kitchen = bed.fake_by_endpoint["kitchen-1"]
    path = "/services/kitchen/ticket"
    gate = kitchen.gates.close(gates.Step.MID_ANSWER)
    other = gevent.spawn(send, bed, "vm-1", b"other", "other", path)
    gate.reached.wait()
    first = gevent.spawn(
        send, bed, dying_node.settings.name, b"ticket", "before-claim", path
    )
    gevent.sleep(0.1)
    dying_node.kill()
    assert kitchen.calls_by_body[b"ticket"] == 0
    gate.opened.set()
    assert resend_until_settled(bed, b"ticket", "before-claim", path)[0] == 200
    assert kitchen.calls_by_body[b"ticket"] == 1
    other.join()
    first.kill()

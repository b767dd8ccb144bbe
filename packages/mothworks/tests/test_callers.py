"""Callers that send bad requests, stall or disconnect."""

import gevent
import pytest

import served
from mothworks import slot_owner, slot_rows
from mothworks_fakes import gates, processes

HEADER_COUNT_ABOVE_LIMIT = 150


@pytest.fixture(scope="module")
def shared():
    node = served.ServedNode(body_bytes=10_000, header_bytes=2_000)
    yield node
    node.stop()


@pytest.fixture
def serve():
    nodes = []

    def start(**options):
        nodes.append(served.ServedNode(**options))
        return nodes[-1]

    yield start
    for node in nodes:
        node.stop()


def chunked(*parts: bytes) -> bytes:
    start = served.head("POST", served.CHAT, Transfer_Encoding="chunked")
    return start + b"".join(parts)


BAD_REQUESTS = {
    "malformed JSON": (served.post(served.CHAT, b'{"model": '), 400, "invalid_json"),
    "invalid UTF-8": (served.post(served.CHAT, b'{"m": "\xff"}'), 400, "invalid_json"),
    "empty body": (served.post(served.CHAT, b""), 400, "invalid_json"),
    "no Content-Length": (served.head("POST", served.CHAT), 400, "invalid_json"),
    "not an object": (served.post(served.CHAT, b"[1]"), 400, "invalid_request"),
    "no model": (served.post(served.CHAT, b"{}"), 400, "invalid_request"),
    "unknown model": (
        served.post(served.CHAT, b'{"model": "absent"}'),
        404,
        "model_not_found",
    ),
    "stream is text": (
        served.post(served.CHAT, b'{"model": "menu", "stream": "yes"}'),
        400,
        "invalid_request",
    ),
    "stream is a list": (
        served.post(served.CHAT, b'{"model": "menu", "stream": []}'),
        400,
        "invalid_request",
    ),
    "tokens below one": (
        served.post(served.CHAT, b'{"model": "menu", "max_tokens": 0}'),
        400,
        "invalid_request",
    ),
    "wrong key": (
        served.head("GET", "/v1/models", key="wrong"),
        401,
        "invalid_api_key",
    ),
    "key not ASCII": (
        served.head("GET", "/v1/models", key="\u20ac"),
        401,
        "invalid_api_key",
    ),
    "wrong method": (served.head("GET", served.CHAT), 405, "method_not_allowed"),
    "unknown path": (served.head("GET", "/v1/absent"), 404, "not_found"),
    "path outside the API": (served.head("GET", "/absent"), 404, "not_found"),
    "unknown service": (
        served.head("GET", "/services/absent/x"),
        404,
        "service_not_found",
    ),
    "declared length too long": (
        served.head("POST", served.CHAT, Content_Length=10_001),
        413,
        "body_too_long",
    ),
    "too long": (served.post(served.CHAT, b" " * 2_000_000), 413, "body_too_long"),
    "chunks too long": (
        chunked(*(b"400\r\n" + b" " * 1024 + b"\r\n" for _ in range(2_000))),
        413,
        "body_too_long",
    ),
    "chunk size not hex": (chunked(b"zz\r\n"), 400, "truncated_body"),
    "chunk size missing": (chunked(b"\r\n\r\n"), 400, "truncated_body"),
    "chunk without its end": (chunked(b"1\r\nabc\r\n"), 400, "truncated_body"),
    "length not a number": (
        served.head("POST", served.CHAT, Content_Length="ten"),
        400,
        "invalid_head",
    ),
    "length with a sign": (
        served.head("POST", served.CHAT, Content_Length="+2") + b"{}",
        400,
        "invalid_head",
    ),
    "two lengths": (
        served.head("POST", served.CHAT, Content_Length="2\r\nContent-Length: 3"),
        400,
        "invalid_head",
    ),
    "unknown coding": (
        served.head("POST", served.CHAT, Transfer_Encoding="gzip, chunked"),
        400,
        "invalid_head",
    ),
    "malformed header line": (
        served.head("GET", "/v1/models", X="1\r\nnot a header"),
        400,
        "invalid_head",
    ),
    "folded header": (
        served.head("GET", "/v1/models", X="1\r\n 2"),
        400,
        "invalid_head",
    ),
    "long header line": (
        served.head("GET", "/v1/models", X="x" * 2_001),
        431,
        "head_too_long",
    ),
    "many header bytes": (
        served.head("GET", "/v1/models", **{f"X{n}": "x" * 1_900 for n in range(5)}),
        431,
        "head_too_long",
    ),
    "many headers": (
        served.head(
            "GET",
            "/v1/models",
            **{f"X{n}": "x" for n in range(HEADER_COUNT_ABOVE_LIMIT)},
        ),
        431,
        "head_too_long",
    ),
    "timeout not a number": (
        served.post(served.CHAT, b'{"model": "menu"}', Request_Timeout="soon"),
        400,
        "invalid_request",
    ),
    "timeout too long": (
        served.post(served.CHAT, b'{"model": "menu"}', Request_Timeout="9" * 1_900),
        400,
        "invalid_request",
    ),
    "long path": (served.head("GET", "/" + "x" * 10_000), 414, "head_too_long"),
    "not HTTP": (b"hello\r\n\r\n", 400, "invalid_head"),
    "service path not ASCII": (
        served.head("GET", "/services/orders/\xe9"),
        400,
        "invalid_request",
    ),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_a_bad_request_is_refused_without_side_effects(shared, name):
    raw_request, status, code = BAD_REQUESTS[name]
    runs = len(shared.engines[0].runs)
    answer = shared.send(raw_request)
    assert (answer.status, answer.error["code"]) == (status, code)
    assert answer.error["ran"] == answer.headers["mothworks-ran"] == "no"
    assert answer.headers["x-request-id"]
    assert len(shared.engines[0].runs) == runs
    assert shared.send(served.head("GET", "/healthz")).status == 200


def test_an_encoded_line_break_stays_encoded(shared):
    # If the path were decoded on its way to the service, the line break would
    # inject a second request, whose reply would go to the next caller.
    path = "/services/orders/a%0d%0aX:%20y%20b?q=%0a"
    answer = shared.send(served.head("GET", path))
    assert answer.status == 200
    assert b'"/a\\r\\nX: y b"' in answer.body


def test_a_truncated_upload_is_refused(shared):
    sock = shared.connect()
    sock.sendall(served.head("POST", served.CHAT, Content_Length=500) + b"{")
    sock.shutdown(gevent.socket.SHUT_WR)
    answer = served.read_answer(sock)
    assert (answer.status, answer.error["code"]) == (400, "truncated_body")


@pytest.mark.parametrize(
    ("raw_request", "code"),
    [
        (served.head("POST", served.CHAT, Content_Length=500) + b"{", "upload_timeout"),
        (b"GET /v1/models HTTP/1.1\r\nHost: te", "head_timeout"),
    ],
    ids=["body", "head"],
)
def test_a_stalled_upload_is_refused(serve, raw_request, code):
    answer = serve(upload_s=0.2).send(raw_request)
    assert (answer.status, answer.error["code"]) == (408, code)


def test_the_memory_of_arriving_bodies_is_limited(serve):
    # Many callers send long bodies slowly: each body is within its own limit,
    # but together they would exhaust the VM's memory.
    node = serve(body_bytes=10_000, uploads_bytes=15_000)
    slow = node.connect()
    slow.sendall(served.head("POST", served.CHAT, Content_Length=8_000))
    uploads = node.node.server.uploads
    processes.wait_until(lambda: uploads.reserved_bytes == 8_000)
    answer = node.send(served.head("POST", served.CHAT, Content_Length=8_000))
    assert (answer.status, answer.error["code"]) == (503, "uploads")
    assert answer.error["ran"] == "no"
    slow.close()
    processes.wait_until(lambda: uploads.reserved_bytes == 0)
    assert node.chat(max_tokens=1).status == 200


def test_a_connection_above_the_limit_gets_an_error_reply(serve):
    # A server that only stops accepting leaves callers in the kernel's accept
    # queue, without any reply until their own timeout.
    node = serve(connections=2)
    connections = [node.connect() for _ in range(2)]
    processes.wait_until(lambda: len(node.node.server.listener.connections) == 2)
    answer = node.send(served.head("GET", "/healthz"))
    assert (answer.status, answer.error["code"]) == (503, "connections")
    assert answer.headers["retry-after"] == "1"
    connections.pop().close()
    processes.wait_until(
        lambda: node.send(served.head("GET", "/healthz")).status == 200
    )


def test_a_stalled_reader_loses_its_connection_and_slot(serve):
    # A caller that stops reading lets the buffers fill. Without a timeout its
    # request keeps a slot at the engine indefinitely.
    event = b"data: " + b"x" * 60_000 + b"\n\n"
    events = (event for _ in range(10_000))
    engine = served.ScriptedEngine(lambda _: served.stream_reply(*events))
    node = serve(engines=[engine], write_s=0.3)
    sock = node.connect()
    sock.sendall(served.chat(stream=True))
    processes.wait_until(lambda: engine.bodies)
    processes.wait_until(node.idle)
    sock.close()


@pytest.mark.parametrize("step", [gates.Step.SENT, gates.Step.MID_ANSWER])
def test_a_disconnect_frees_the_slot(serve, step):
    # The server detects a disconnect only when it writes. Until then the slot of
    # a disconnected caller would stay occupied while other callers wait.
    node = serve()
    gate = node.engines[0].gates.close(step)
    sock = node.connect()
    sock.sendall(served.chat(stream=True))
    gate.reached.wait()
    assert not node.idle()
    sock.close()
    processes.wait_until(node.idle)
    gate.opened.set()
    processes.wait_until(lambda: node.engines[0].running == 0)


def test_a_disconnect_removes_the_request_from_the_queue(serve):
    node = serve(slots=1)
    gate = node.engines[0].gates.close(gates.Step.SENT)
    first, second = node.connect(), node.connect()
    first.sendall(served.chat(stream=True))
    gate.reached.wait()
    second.sendall(served.chat(stream=True, max_tokens=99))
    part = node.get_part(slot_owner.SlotOwner)
    processes.wait_until(lambda: len(slot_rows.queued_rows(part)) == 1)
    second.close()
    processes.wait_until(lambda: len(slot_rows.queued_rows(part)) == 0)
    gate.opened.set()
    assert served.read_answer(first).events[-1] == b"data: [DONE]"
    assert len(node.engines[0].runs) == 1


def test_a_disconnect_does_not_cancel_a_call_that_is_not_repeatable(serve):
    # Cancelling the call of a disconnected caller would leave it unknown whether
    # the service ran it.
    node = serve()
    node.orders.work_s = 0.2
    sock = node.connect()
    sock.sendall(served.post("/services/orders/confirm", b"two trays"))
    processes.wait_until(lambda: node.orders.calls_by_body[b"two trays"])
    sock.close()
    assert not node.idle()
    processes.wait_until(node.idle)
    assert node.orders.calls_by_body == {b"two trays": 1}


def test_pipelined_requests_get_their_own_answers(shared):
    sock = shared.connect()
    sock.sendall(served.chat(max_tokens=2) + served.chat(max_tokens=3))
    received = b""
    while received.count(b'"usage"') < 2:
        received += sock.recv(65536)
    assert received.index(b'"completion_tokens":2') < received.index(
        b'"completion_tokens":3'
    )
    sock.close()


def test_an_upgrade_request_is_ignored(shared):
    sock = shared.connect()
    body = b'{"model": "menu", "max_tokens": 1}'
    sock.sendall(served.post(served.CHAT, body, Upgrade="websocket"))
    assert served.read_answer(sock).status == 200
    sock.close()


def test_metrics_count_replies_refusals_and_tokens(shared):
    shared.chat(stream=True, max_tokens=4)
    shared.send(served.post(served.CHAT, b"{"))
    processes.wait_until(shared.idle)
    page = shared.send(served.head("GET", "/metrics")).body.decode()
    for line in (
        'mothworks_replies_total{status="200"}',
        'mothworks_refusals_total{code="invalid_json",ran="no"}',
        'mothworks_tokens_total{urgency="urgent"}',
        'mothworks_ends_total{outcome="ok"}',
        'mothworks_first_token_seconds_count{urgency="urgent"}',
        'mothworks_between_tokens_seconds_count{urgency="urgent"}',
        "mothworks_connections ",
    ):
        assert line in page

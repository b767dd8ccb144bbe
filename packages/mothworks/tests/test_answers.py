"""Tests of broken responses and the errors that callers receive for them."""

import itertools

import attrs
import gevent
import gevent.server
import orjson
import pytest
import result

import served
from mothworks import batches, dispatch, retries, transport
from mothworks_fakes import gates, processes, web

EVENT = b'data: {"choices": []}\n\n'
DONE = b"data: [DONE]\n\n"
BREAK = web.BreakConnection()


@pytest.fixture
def serve():
    nodes = []

    def start(*engines, **options):
        nodes.append(served.ServedNode(engines=engines, **options))
        return nodes[-1]

    yield start
    for node in nodes:
        node.stop()


def streaming_engine(*pieces):
    return served.ScriptedEngine(lambda _: served.stream_reply(*pieces))


def unstreamed_engine(length, *pieces):
    headers = [("Content-Length", str(length)), ("Content-Type", "application/json")]
    return served.ScriptedEngine(
        lambda _: web.Reply("200 OK", headers, served.yield_pieces(pieces))
    )


@pytest.mark.parametrize(
    "pieces",
    [(EVENT, BREAK), (EVENT, EVENT[:9], BREAK), (EVENT,), (EVENT, DONE[:-3])],
    ids=["broken", "broken in an event", "ended without [DONE]", "half [DONE]"],
)
def test_a_stream_that_is_not_complete_ends_with_an_error(serve, pieces):
    # The engine dies, or is stopped and ends its stream cleanly. Without an error
    # event the caller would take a partial response for a complete one.
    answered = serve(streaming_engine(*pieces)).chat(stream=True)
    assert answered.events[0] + b"\n\n" == EVENT
    assert DONE not in answered.body
    assert len(answered.events) == 2
    error = orjson.loads(answered.events[1].removeprefix(b"data: "))["error"]
    assert (error["code"], error["ran"]) == ("broken_stream", "unknown")


def send_until_engine_tried(node, engine, **fields):
    """Send requests until the engine gets one, since the order is random."""
    answers = [node.chat(**fields)]
    while not engine.bodies and len(answers) < 200:
        answers.append(node.chat(**fields))
    return answers


def test_a_long_unstreamed_answer_that_breaks_off_is_incomplete(serve):
    # The answer is too long to be buffered, so the caller already has its start.
    piece = b"x" * 200_000
    node = serve(unstreamed_engine(900_000, piece, piece, BREAK))
    answered = node.chat()
    assert answered.status == 200
    assert not answered.complete
    processes.wait_until(node.idle)


def test_a_short_unstreamed_answer_that_breaks_off_is_an_error(serve):
    answered = serve(unstreamed_engine(100, b"half", BREAK)).chat()
    assert (answered.status, answered.error["ran"]) == (502, "unknown")


def test_a_broken_short_unstreamed_answer_is_retried_elsewhere(serve):
    good = orjson.dumps({"choices": []})
    broken, working = (
        unstreamed_engine(100, b"half", BREAK),
        unstreamed_engine(len(good), good),
    )
    node = serve(broken, working)
    answers = send_until_engine_tried(node, broken)
    assert {(item.status, item.body) for item in answers} == {(200, good)}
    assert broken.bodies


def test_a_refused_request_is_retried_at_another_engine(serve):
    busy = served.ScriptedEngine(lambda _: web.json_reply({}, "503 Busy"))
    working = served.ScriptedEngine(None)
    node = serve(busy, working)
    assert [node.chat(max_tokens=1).status for _ in range(6)] == [200] * 6
    assert len(working.runs) == 6


# Guards against requests to an engine that refused one and asked for a pause.
def test_an_engine_that_asks_for_a_pause_gets_no_requests_meanwhile(serve):
    def refuse(_):
        reply = web.json_reply({}, "503 Busy")
        return attrs.evolve(reply, headers=[*reply.headers, ("Retry-After", "30")])

    busy = served.ScriptedEngine(refuse)
    node = serve(busy, served.ScriptedEngine(None))
    send_until_engine_tried(node, busy, max_tokens=1)
    gevent.sleep(1.2 * batches.REFUSAL_PAUSE_S)
    assert [node.chat(max_tokens=1).status for _ in range(20)] == [200] * 20
    assert len(busy.bodies) == 1


def test_a_failed_request_is_retried_at_another_engine(serve):
    # The engine responds with 500: it is alive, but the request may have run there.
    failing = served.ScriptedEngine(lambda _: web.json_reply({}, "500 Broken"))
    node = serve(failing, served.ScriptedEngine(None))
    answers = send_until_engine_tried(node, failing, max_tokens=1)
    assert {answered.status for answered in answers} == {200}
    assert failing.bodies


def test_an_engines_own_error_is_an_unknown_outcome(serve):
    failing = served.ScriptedEngine(lambda _: web.json_reply({}, "500 Broken"))
    answered = serve(failing).chat()
    assert (answered.status, answered.error["ran"]) == (502, "unknown")


def test_a_crash_before_the_first_event_is_retried_at_another_engine(serve):
    # Engines send the response head at once and the first token later. A crash in
    # between must not reach the caller, which has not received anything yet.
    crashing = streaming_engine(BREAK)
    node = serve(crashing, served.ScriptedEngine(None))
    answers = send_until_engine_tried(node, crashing, stream=True, max_tokens=2)
    assert all(answered.events[-1] == DONE.strip() for answered in answers)
    assert crashing.bodies


def test_retries_are_bounded_by_the_budget(serve):
    # All engines of a model crash on each request. Without a budget every request
    # would be sent three times while capacity is already short.
    engines = [streaming_engine(BREAK) for _ in range(3)]
    node = serve(*engines)
    node.get_part(dispatch.Dispatch).retry_budget.available = 2.0
    requests = 5
    for number in range(requests):
        # A repeated request would be quarantined and refused as not run.
        messages = [{"role": "user", "content": f"question {number}"}]
        refused = node.chat(stream=True, messages=messages)
        assert refused.error["ran"] == "unknown"
    sends = sum(len(engine.bodies) for engine in engines)
    assert requests < sends <= requests + 2 + requests * retries.SHARE + 2


@pytest.mark.parametrize("offset", [1, 3])
def test_a_stream_from_a_seed_is_resumed_elsewhere(serve, offset):
    # An engine crashes in the middle of a response that the caller has in part.
    # With the same seed another engine generates the same tokens.
    first, second = served.ScriptedEngine(None), served.ScriptedEngine(None)
    node = serve(first, second)
    expected = node.chat(stream=True, seed=7, max_tokens=6).events
    gate_by_engine = {
        engine: engine.gates.close(gates.Step.MID_ANSWER) for engine in (first, second)
    }
    sock = node.connect()
    sock.sendall(served.chat(stream=True, seed=7, max_tokens=6))
    processes.wait_until(
        lambda: any(gate.reached.is_set() for gate in gate_by_engine.values())
    )
    for engine, gate in gate_by_engine.items():
        if gate.reached.is_set():
            engine.crash()
        gate.reached.set()
    answered = served.read_answer(sock)
    assert texts(answered.events) == texts(expected)
    assert answered.events[-1] == DONE.strip()
    processes.wait_until(node.idle)


def test_a_stream_without_a_seed_is_not_resumed(serve):
    node = serve(streaming_engine(EVENT, BREAK), streaming_engine(EVENT, BREAK))
    answered = node.chat(stream=True)
    assert b"broken_stream" in answered.events[-1]
    assert sum(len(engine.bodies) for engine in node.engines) == 1


def test_an_engine_that_ignores_the_offset_is_not_used(serve):
    # It would start over, and the caller would get the start of the answer twice.
    node = serve(streaming_engine(EVENT, BREAK), streaming_engine(EVENT, BREAK))
    answered = node.chat(stream=True, seed=1)
    assert len(answered.events) == 2
    assert b"broken_stream" in answered.events[-1]


def texts(events):
    parsed = [orjson.loads(event[6:]) for event in events if b"[DONE]" not in event]
    return [event["choices"][0]["delta"]["content"] for event in parsed]


def test_an_order_whose_connection_breaks_is_not_sent_again(serve):
    # The service drops the connection after it received the order. If the order were
    # sent again, it would run, and be charged, twice.
    node = serve()
    node.orders.faults.lost_reply = 1.0
    node.orders.faults.only = "/confirm"
    answered = node.send(served.post("/services/orders/confirm", b"two trays"))
    assert (answered.status, answered.error["ran"]) == (502, "unknown")
    assert node.orders.calls_by_body == {b"two trays": 1}


def test_an_order_that_was_not_sent_is_reported_as_not_run(serve):
    node = serve()
    node.orders.server.stop(timeout=0)
    answered = node.send(served.post("/services/orders/confirm", b"two trays"))
    assert (answered.status, answered.error["ran"]) == (503, "no")
    assert answered.headers["retry-after"]


def test_no_caller_gets_bytes_of_another_answer(serve):
    # A caller disconnects in the middle of a response. If its connection to the
    # engine returned to the pool, the next caller would read the rest.
    marks = itertools.count()

    def script(_):
        mark = b"data: %d\n\n" % next(marks)
        return served.stream_reply(*[mark] * 200, DONE)

    node = serve(served.ScriptedEngine(script))
    for round_number in range(10):
        sock = node.connect()
        sock.sendall(served.chat(stream=True))
        sock.recv(1)
        sock.close()
        events = node.chat(stream=True).events
        assert len(set(events[:-1])) == 1, round_number
        assert len(events) == 201


class TestTransport:
    """Tests of the transport against a server that sends raw bytes."""

    @pytest.fixture
    def answer_of(self):
        servers = []

        def exchange(wire, stays_open=False):
            def serve(sock, _):
                sock.recv(65536)
                sock.sendall(wire)
                if stays_open:
                    gevent.sleep(served.READ_TIMEOUT_S)
                sock.close()

            server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
            server.start()
            servers.append(server)
            address = ("127.0.0.1", server.server_port)
            sender = transport.Transport(read_timeout_s=0.2)
            return sender.exchange(address, "POST", "/", (), b"{}")

        yield exchange
        for server in servers:
            server.stop(timeout=0)

    @pytest.mark.parametrize(
        "wire",
        [
            b"Content-Length: 9\r\n\r\nhalf",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n",
            b"\r\nhalf",
        ],
        ids=["length", "no last chunk", "half a chunk", "no chunk", "no length"],
    )
    @pytest.mark.parametrize("stays_open", [False, True], ids=["closed", "silent"])
    def test_an_answer_that_is_not_complete_raises(self, answer_of, wire, stays_open):
        match answer_of(b"HTTP/1.1 200 OK\r\n" + wire, stays_open):
            case result.Ok(answer):
                with pytest.raises(OSError):
                    b"".join(answer.chunks())
                answer.close()
            case result.Err(failure):
                # The fault arrived together with the head.
                assert (failure.may_have_arrived, failure.refused) == (True, False)

    def test_bytes_after_an_answer_are_not_added_to_it(self, answer_of):
        # An endpoint sends a second, unsolicited response. Its body must neither be
        # appended to the first one nor be given to the next caller.
        one = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
        match answer_of(one + b"two" + one + b"six", stays_open=True):
            case result.Ok(answer):
                with pytest.raises(OSError):
                    b"".join(answer.chunks())
                answer.close()
                assert answer.response.should_close()
            case result.Err(failure):
                assert (failure.may_have_arrived, failure.refused) == (True, False)

    def test_an_interim_answer_comes_before_the_answer(self, answer_of):
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
        answer = answer_of(interim + final).unwrap()
        assert (answer.status, b"".join(answer.chunks())) == (200, b"two")

    @pytest.mark.parametrize("wire", [b"", b"HTTP/1.1 200", b"\x00\x01"])
    def test_no_head_is_an_unknown_outcome(self, answer_of, wire):
        failure = answer_of(wire).unwrap_err()
        assert (failure.may_have_arrived, failure.refused) == (True, False)

    def test_no_connection_means_nothing_was_sent(self):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        address = listener.getsockname()
        sent = transport.Transport().exchange(address, "POST", "/", (), b"{}")
        assert not sent.unwrap_err().may_have_arrived
        listener.close()

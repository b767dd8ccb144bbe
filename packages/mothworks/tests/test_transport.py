"""Tests of the pooled connections to endpoints."""

import contextlib
import socket
import subprocess
import sys
import time

import gevent
import gevent.event
import gevent.server
import pytest

from mothworks import transport
from mothworks_fakes import application

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Endpoint:
    """A server that answers requests without bodies and counts open connections."""

    def __init__(self):
        self.open = 0
        self.may_answer = gevent.event.Event()
        self.may_answer.set()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        self.open += 1
        with sock:
            while sock.recv(4096):
                self.may_answer.wait()
                sock.sendall(ANSWER)
        self.open -= 1


@pytest.fixture
def endpoints():
    servers = [Endpoint(), Endpoint()]
    yield servers
    for endpoint in servers:
        endpoint.server.stop(timeout=0.1)


@pytest.fixture
def client(monkeypatch):
    monkeypatch.setattr(transport, "IDLE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(transport, "IDLE_CHECK_INTERVAL_S", 0.0)
    return transport.Transport()


# Guards against answers that miss their deadline and count as crashes.
def test_an_answer_that_misses_its_deadline_has_timed_out(endpoints):
    silent = endpoints[0]
    silent.may_answer.clear()
    client = transport.Transport()
    reasons = []

    def send():
        deadline = time.monotonic() + 0.1
        options = transport.SendOptions(deadline=deadline, head_deadline=deadline)
        sent = client.exchange(silent.address, "GET", "/", (), b"", options)
        reasons.append(sent.err_value.reason)

    for _ in range(6):
        gevent.joinall([gevent.spawn(send) for _ in range(20)], raise_error=True)
    assert set(reasons) == {"answer: timed out"}


def exchange(client, endpoint):
    answer = client.exchange(endpoint.address, "GET", "/", (), b"")
    assert transport.read_body(answer.unwrap()).unwrap() == b"ok"


# Guards against requests on a dead path, for which TCP sends no keep-alive probes.
def test_unacknowledged_data_and_silence_are_detected_equally_soon(endpoints):
    client = transport.Transport()
    assert client.open(endpoints[0].address) is None
    (sock,) = client.pool_by_idle
    options = {
        name: sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
    }
    probes_s = options["TCP_KEEPCNT"] * options["TCP_KEEPINTVL"]
    assert options["TCP_USER_TIMEOUT"] == 1000 * (options["TCP_KEEPIDLE"] + probes_s)


def test_new_connections_do_not_exhaust_the_pool():
    # Each exchange that opened a new connection returned it to the pool, from
    # which no such exchange takes one. Once the pool was full, returning the
    # next connection blocked for ever and kept its slot, until no slot was left.
    server = application.Application().start()
    client = transport.Transport(size=2)
    address = ("127.0.0.1", server.port)
    with gevent.Timeout(20):
        for _ in range(5):
            answer = client.exchange(
                address,
                "POST",
                "/",
                (),
                b"",
                transport.SendOptions(new_connection=True),
            )
            assert b"".join(answer.unwrap().chunks())
            answer.unwrap().close()
    server.stop()


# Guards against connections that stay idle for ever: they use up the file descriptors
# of this VM and the connections that an endpoint accepts from all VMs.
def test_connections_are_closed_after_their_idle_timeout(client, endpoints):
    first, second = endpoints
    exchange(client, first)
    assert first.open == 1
    gevent.sleep(0.1)
    exchange(client, second)
    with gevent.Timeout(5):
        while first.open:
            gevent.sleep(0.01)
    assert list(client.pool_by_address) == [second.address]


# Guards against running out of file descriptors after one request to each of thousands
# of endpoints.
def test_the_oldest_idle_connections_are_closed_above_the_maximum(endpoints):
    first, second = endpoints
    client = transport.Transport(max_idle=1)
    exchange(client, first)
    exchange(client, second)
    exchange(client, second)
    with gevent.Timeout(5):
        while first.open:
            gevent.sleep(0.01)
    assert second.open == 1


def test_a_connection_within_its_idle_timeout_is_reused(client, endpoints):
    first, _ = endpoints
    for _ in range(3):
        exchange(client, first)
    assert first.open == 1


# Guards against closing a connection, or removing the pool of its address, while an
# answer is in progress.
def test_a_connection_in_use_is_not_closed(client, endpoints):
    first, second = endpoints
    first.may_answer.clear()
    running = gevent.spawn(exchange, client, first)
    gevent.sleep(0.1)
    exchange(client, second)
    assert set(client.pool_by_address) == {first.address, second.address}
    first.may_answer.set()
    running.get(timeout=5)


# Guards against a check for idle connections that reorders the pool, which would then
# reuse the oldest connection first.
def test_the_idle_check_keeps_the_order_of_connections(client, endpoints):
    first, _ = endpoints
    first.may_answer.clear()
    running = [gevent.spawn(exchange, client, first) for _ in range(3)]
    gevent.sleep(0.02)
    first.may_answer.set()
    gevent.joinall(running, raise_error=True)
    pool = client.pool_by_address[first.address]
    before = list(pool._socket_queue.queue)
    pool.close_idle(transport.time.monotonic())
    assert list(pool._socket_queue.queue) == before
    assert len(before) == 3


# Guards against requests that are given up before anything else is granted, and against
# answers that are dropped though they arrived during the decision.
@pytest.mark.parametrize("arrives", ["later", "during the call", "never"])
def test_the_wait_for_a_head_can_be_extended(endpoints, arrives):
    slow = endpoints[0]
    slow.may_answer.clear()
    client = transport.Transport()
    started_at = time.monotonic()
    calls = []

    def on_head_late():
        calls.append(time.monotonic())
        if arrives == "during the call":
            slow.may_answer.set()
            gevent.sleep(0.05)
            return None
        if arrives == "later" and len(calls) == 3:
            slow.may_answer.set()
        return time.monotonic() + 0.05

    options = transport.SendOptions(
        deadline=started_at + 0.5,
        head_deadline=started_at + 0.05,
        on_head_late=on_head_late,
    )
    sent = client.exchange(slow.address, "GET", "/", (), b"", options)
    assert sent.is_ok() == (arrives != "never")
    assert len(calls) == {"later": 3, "during the call": 1}.get(arrives, len(calls))
    if arrives == "never":
        assert sent.err_value.reason == "answer: timed out"
        assert 0.45 <= time.monotonic() - started_at <= 1.0
        # It was asked in intervals, and not at the deadline.
        assert len(calls) <= 10
        slow.may_answer.set()


class Script:
    """A server that sends given bytes after each request, and counts connections.

    :param sends: the bytes to send after each request, by its number on a connection.
    """

    def __init__(self, *sends):
        self.sends = sends
        self.connections = 0
        self.closed = gevent.event.Event()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        self.connections += 1
        # The client resets a connection whose answer it does not read.
        with sock, contextlib.suppress(ConnectionResetError):
            for data in self.sends:
                if not sock.recv(4096):
                    break
                sock.sendall(data)
            else:
                sock.recv(4096)
        self.closed.set()


@pytest.fixture
def script():
    scripts = []

    def start(*sends):
        scripts.append(Script(*sends))
        return scripts[-1]

    yield start
    for item in scripts:
        item.server.stop(timeout=0.1)


# Guards against connections that are used again while a request still runs there,
# because a complete answer to another request was read first.
def test_closing_an_answer_that_was_not_read_closes_its_connection(script):
    server = script(ANSWER, ANSWER)
    client = transport.Transport()
    client.exchange(server.address, "GET", "/", (), b"").unwrap().close()
    assert server.closed.wait(5)
    exchange(client, server)
    assert server.connections == 2


def test_releasing_an_answer_that_was_not_read_keeps_its_connection(script):
    server = script(ANSWER, ANSWER)
    client = transport.Transport()
    client.exchange(server.address, "GET", "/", (), b"").unwrap().release()
    exchange(client, server)
    assert server.connections == 1


# Guards against the same after an interim answer, which is complete by itself.
@pytest.mark.parametrize("ends_by", ["deadline", "late head", "kill"])
def test_a_request_that_is_given_up_after_an_interim_answer_is_cancelled(
    script, ends_by
):
    server = script(b"HTTP/1.1 100 Continue\r\n\r\n", ANSWER)
    client = transport.Transport()
    end = time.monotonic() + 0.1
    options = {
        "deadline": transport.SendOptions(deadline=end),
        "late head": transport.SendOptions(head_deadline=end),
        "kill": transport.SendOptions(),
    }[ends_by]
    sending = gevent.spawn(
        client.exchange, server.address, "GET", "/", (), b"", options
    )
    gevent.sleep(0.2)
    sending.kill()
    assert server.closed.wait(5)
    assert not client.pool_by_idle


# Guards against a late copy of the answer to the first send of a request, which has the
# same id as the answer to the second.
def test_a_request_is_not_sent_twice_on_one_connection(script):
    server = script(*[ANSWER] * 30)
    client = transport.Transport()

    def send(request_id):
        options = transport.SendOptions(id=request_id)
        answer = client.exchange(server.address, "GET", "/", (), b"", options).unwrap()
        transport.read_body(answer)
        return answer.connection

    first = send("q-1")
    second = send("q-1")
    assert second != first
    assert send("q-2") in (first, second)
    assert send("q-1") not in (first, second)
    # One that carried many other requests since then may be used again.
    others = {send(f"p-{number}") for number in range(transport.RECENT_EXCHANGES)}
    assert send("q-1") in others


# Guards against a connection that can't be returned because all idle ones are excluded.
def test_connections_that_a_request_must_not_use_do_not_fill_the_pool(script):
    server = script(*[ANSWER] * 4)
    client = transport.Transport(size=2)
    with gevent.Timeout(5):
        for _ in range(4):
            options = transport.SendOptions(id="q-1")
            answer = client.exchange(server.address, "GET", "/", (), b"", options)
            assert transport.read_body(answer.unwrap()).unwrap() == b"ok"
    assert len(client.pool_by_idle) == 2


# Guards against a status that is none: it was delivered to callers, or taken for an
# interim answer, after which the request waited until its deadline.
@pytest.mark.parametrize(
    "status",
    ["000", "001", "042", "099", "101", "600", "700", "999", "20", "2000", "-200", ""],
)
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
def test_an_invalid_status_is_no_answer(script, status, interim):
    line = b"HTTP/1.1 %s Odd\r\n" % status.encode()
    server = script(interim + line + b"Content-Length: 2\r\n\r\nok", ANSWER)
    client = transport.Transport()
    options = transport.SendOptions(deadline=time.monotonic() + 5)
    with gevent.Timeout(2):
        sent = client.exchange(server.address, "GET", "/", (), b"", options)
        assert sent.err_value.may_have_arrived
        server.closed.wait()
    assert not client.pool_by_idle


# Guards against valid statuses that count as invalid.
@pytest.mark.parametrize("status", [200, 204, 299, 302, 421, 499, 500, 599])
@pytest.mark.parametrize(
    "interim", [b"", b"100 Continue", b"102 A", b"103 B", b"199 C"]
)
def test_a_valid_status_is_an_answer(script, status, interim):
    first = b"HTTP/1.1 %s\r\n\r\n" % interim if interim else b""
    body = b"" if status == 204 else b"ok"
    length = b"" if status == 204 else b"Content-Length: 2\r\n"
    server = script(first + b"HTTP/1.1 %d Odd\r\n%s\r\n%s" % (status, length, body))
    client = transport.Transport()
    answer = client.exchange(server.address, "GET", "/", (), b"").unwrap()
    assert answer.status == status
    assert transport.read_body(answer).unwrap() == body


def how_it_ends(sock):
    """Read until a connection ends; returns ``reset`` or ``closed``."""
    try:
        while sock.recv(4096):
            pass
    except ConnectionResetError:
        return "reset"
    return "closed"


class Listener:
    """A server that waits before it reads, and records how connections end."""

    def __init__(self, answer=b""):
        self.answer = answer
        self.may_read = gevent.event.Event()
        self.ended = gevent.event.AsyncResult()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        with sock:
            if self.answer:
                sock.recv(4096)
                sock.sendall(self.answer)
            self.may_read.wait()
            self.ended.set(how_it_ends(sock))


@pytest.fixture
def listener():
    listeners = []

    def start(answer=b""):
        listeners.append(Listener(answer))
        return listeners[-1]

    yield start
    for item in listeners:
        item.server.stop(timeout=0.1)


def give_up(client, address):
    deadline = time.monotonic() + 0.05
    options = transport.SendOptions(deadline=deadline, head_deadline=deadline)
    return client.exchange(address, "GET", "/", (), b"", options)


# Guards against a request, or an order, that was given up and arrives later, when the
# path that held it up has healed.
def test_a_connection_whose_request_was_given_up_is_reset(listener):
    server = listener()
    assert give_up(transport.Transport(), server.address).is_err()
    server.may_read.set()
    assert server.ended.get(timeout=5) == "reset"


def test_a_connection_is_reset_where_its_answer_is_not_whole(listener):
    server = listener(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
    client = transport.Transport()
    answer = client.exchange(server.address, "GET", "/", (), b"").unwrap()
    answer.close()
    server.may_read.set()
    assert server.ended.get(timeout=5) == "reset"


# Guards against endpoints that see resets where nothing was given up.
@pytest.mark.parametrize("closes", ["idle", "single use", "asked to"])
def test_a_connection_with_a_whole_answer_is_closed_in_order(listener, closes):
    close = b"Connection: close\r\n" if closes == "asked to" else b""
    server = listener(b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok" % close)
    client = transport.Transport()
    options = transport.SendOptions(new_connection=closes == "single use")
    answer = client.exchange(server.address, "GET", "/", (), b"", options).unwrap()
    assert transport.read_body(answer).unwrap() == b"ok"
    if closes == "idle":
        (sock,) = client.pool_by_idle
        client.pool_by_idle[sock].discard(sock)
    server.may_read.set()
    assert server.ended.get(timeout=5) == "closed"


#: Sends a request and is killed while it waits for the answer.
KILLED = """
import sys, gevent.monkey
gevent.monkey.patch_all()
from mothworks import transport
address = (sys.argv[1], int(sys.argv[2]))
print("sends", flush=True)
transport.Transport().exchange(address, "GET", "/", (), b"")
"""


# Guards against orders of a killed holder that its kernel still delivers, beside those
# of the next one.
def test_what_a_killed_process_has_sent_is_reset(listener):
    server = listener()
    command = [sys.executable, "-c", KILLED, *map(str, server.address)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout.readline() == b"sends\n"
        gevent.sleep(0.3)
    finally:
        process.kill()
        process.wait()
    server.may_read.set()
    assert server.ended.get(timeout=5) == "reset"

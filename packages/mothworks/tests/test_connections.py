"""Callers' connections: when they are closed, and what a drain waits for."""

import time

import gevent
import gevent.event
import pytest

import listeners
from mothworks import connections


@pytest.fixture
def start():
    started = []

    def make(**fields):
        started.append(listeners.start(**fields))
        return started[-1]

    yield make
    for listener in started:
        listener.stop(timeout=0)


# Guards against a request that is dropped because the idle timeout of its connection
# expires while the request waits to be read.
def test_a_request_that_arrives_before_the_idle_timeout_is_answered(start):
    sock = listeners.connect(start(idle_s=0.2))
    gevent.sleep(0.05)
    sock.sendall(listeners.REQUEST)
    # The event loop finds the timer and the request together.
    time.sleep(0.3)
    assert sock.recv(4096).startswith(b"HTTP/1.1 200")


# Guards against the timeout of writes, which closed idle connections before their own.
def test_a_connection_may_be_idle_for_longer_than_a_write_may_take(start):
    sock = listeners.connect(start(idle_s=5.0, write_s=0.1))
    gevent.sleep(0.4)
    sock.sendall(listeners.REQUEST)
    assert sock.recv(4096).startswith(b"HTTP/1.1 200")


# Guards against a caller who sends a part of the first line and gets no answer.
def test_a_request_line_that_does_not_arrive_in_time_is_refused(start):
    sock = listeners.connect(start(head_s=0.1))
    sock.sendall(listeners.REQUEST[:5])
    assert listeners.read_all(sock).startswith(b"HTTP/1.1 408")


def test_a_drain_closes_idle_connections_and_returns(start):
    listener = start()
    sock = listeners.connect(listener)
    gevent.sleep(0.05)
    listener.drain(time.monotonic() + 10)
    assert listeners.read_all(sock) == b""
    assert not listener.connections


# Guards against requests that wait in the kernel when the port is closed.
def test_a_drain_serves_connections_that_are_not_accepted_yet(start):
    listener = start()
    socks = [listeners.connect(listener) for _ in range(20)]
    for sock in socks:
        sock.sendall(listeners.REQUEST)
    listener.drain(time.monotonic() + 10)
    answers = [listeners.read_all(sock) for sock in socks]
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


# Guards against a drain that ends when the application has returned, while the caller
# has not got the end of its answer.
def test_a_drain_waits_until_the_end_of_an_answer_is_sent(start, monkeypatch):
    may_end = gevent.event.Event()
    send = connections.Connection._sendall

    def send_end_late(connection, data):
        if data == b"0\r\n\r\n":
            may_end.wait()
        send(connection, data)

    monkeypatch.setattr(connections.Connection, "_sendall", send_end_late)

    def answer_in_chunks(environ, start_response):
        start_response("200 OK", [])
        yield b"part"

    listener = start(application=answer_in_chunks)
    sock = listeners.connect(listener)
    sock.sendall(listeners.REQUEST)
    gevent.sleep(0.05)
    draining = gevent.spawn(listener.drain, time.monotonic() + 10)
    gevent.sleep(0.1)
    assert not draining.ready()
    may_end.set()
    draining.get(timeout=5)
    assert listeners.read_all(sock).endswith(b"0\r\n\r\n")

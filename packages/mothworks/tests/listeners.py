"""Listeners with a small application, and their raw callers."""

import gevent.socket

from mothworks import connections, settings

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
#: Read timeout of a caller, seconds.
READ_TIMEOUT_S = 10.0


def answer_ok(environ, start_response):
    """Answer a request with two bytes."""
    start_response("200 OK", [("Content-Type", "text/plain")])
    return [b"ok"]


def start(application=answer_ok, **limits):
    """Start a listener on a free port.

    :param application: its WSGI application.
    :param limits: fields of its limits.
    """
    listener = connections.Listener(
        ("127.0.0.1", 0), application, settings.Limits(**limits)
    )
    listener.start()
    return listener


def connect(listener):
    """Return a caller's connection to a listener."""
    sock = gevent.socket.create_connection(("127.0.0.1", listener.server_port))
    sock.settimeout(READ_TIMEOUT_S)
    return sock


def read_all(sock):
    """Read until the connection ends."""
    data = b""
    while chunk := sock.recv(4096):
        data += chunk
    return data

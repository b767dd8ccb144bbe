"""Base of the fakes: a small WSGI server with fault injection."""

import collections.abc
import random
import socket
import typing

import attrs
import gevent
import gevent.pool
import gevent.pywsgi
import orjson

from mothworks_fakes import gates

Body = collections.abc.Iterable[bytes]


@attrs.define
class Faults:
    """Faults to inject into a fake; set in code or by ``PUT /faults``.

    :param outage: every call fails with 503.
    :param delay_s: delay before a call is handled, seconds.
    :param lost_reply: fraction of calls that take effect, but whose connection
        breaks before the reply.
    :param dropped: fraction of calls whose connection breaks before they take
        effect.
    :param only: faults affect only paths with this prefix.
    :param writes_only: faults affect only calls other than GET.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_reply: float = 0.0
    dropped: float = 0.0
    only: str = ""
    writes_only: bool = False


@attrs.frozen
class Reply:
    """A fake's reply.

    :param status: status code and reason phrase.
    :param headers: the headers.
    :param body: the body's chunks.
    """

    status: str
    headers: list[tuple[str, str]]
    body: Body


def json_reply(value: typing.Any, status: str = "200 OK") -> Reply:
    """Return a JSON reply.

    :param value: a JSON-serialisable value.
    :param status: status code and reason phrase.
    """
    return Reply(status, [("Content-Type", "application/json")], [orjson.dumps(value)])


class BreakConnection(Exception):
    """Makes the server drop the connection without a reply."""


class _Handler(gevent.pywsgi.WSGIHandler):
    def __init__(self, sock, address, server, rfile=None):
        super().__init__(sock, address, server, rfile)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle_error(self, kind, value, trace):
        # By default the server sends a 500 before it closes the connection, but a
        # process that dies sends nothing.
        if isinstance(value, (BreakConnection, gevent.GreenletExit)):
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)


class Fake:
    """A server that injects faults; each subclass implements :meth:`serve`.

    :param port: TCP port; 0 lets the kernel choose.
    :param seed: seed of the random faults.
    """

    def __init__(self, port: int = 0, seed: int = 0):
        self.faults = Faults()
        self.gates = gates.Gates()
        self.random = random.Random(seed)
        self.pool = gevent.pool.Pool()
        self.server = gevent.pywsgi.WSGIServer(
            ("127.0.0.1", port),
            self._application,
            spawn=self.pool,
            log=None,
            handler_class=_Handler,
        )
        self.server.init_socket()
        self.port = self.server.socket.getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"

    def start(self) -> "Fake":
        """Start serving, until :meth:`stop`; return the fake itself."""
        self.server.start()
        return self

    def stop(self) -> None:
        """Close the listener and drop every connection."""
        self.server.stop(timeout=0)
        self.break_connections()

    def break_connections(self) -> None:
        """Drop every connection, as when the process dies and restarts."""
        self.pool.kill(block=False)

    def serve(self, method: str, path: str, environ: dict) -> Reply:
        """Handle one call; each fake implements this.

        :param method: the HTTP method.
        :param path: the path.
        :param environ: the WSGI environment.
        """
        raise NotImplementedError

    def is_exempt(self, path: str) -> bool:
        """Return whether a path is exempt from faults.

        :param path: the path.
        """
        return path == "/faults"

    def _application(self, environ: dict, start_response: typing.Callable) -> Body:
        path = environ["PATH_INFO"]
        reply = self._serve_with_faults(path, environ)
        start_response(reply.status, reply.headers)
        return reply.body

    def _serve_with_faults(self, path: str, environ: dict) -> Reply:
        method = environ["REQUEST_METHOD"]
        if path == "/faults":
            return self._configure_faults(environ)
        faults = self.faults
        unaffected = not path.startswith(faults.only)
        unaffected = unaffected or (faults.writes_only and method == "GET")
        if unaffected or self.is_exempt(path):
            return self.serve(method, path, environ)
        if faults.delay_s:
            gevent.sleep(faults.delay_s)
        if faults.outage:
            return json_reply({"error": "outage"}, "503 Service Unavailable")
        if self.random.random() < faults.dropped:
            raise BreakConnection
        reply = self.serve(method, path, environ)
        if self.random.random() < self.faults.lost_reply:
            raise BreakConnection
        return reply

    def _configure_faults(self, environ: dict) -> Reply:
        if environ["REQUEST_METHOD"] == "PUT":
            changed = orjson.loads(environ["wsgi.input"].read())
            self.faults = attrs.evolve(self.faults, **changed)
        return json_reply(attrs.asdict(self.faults))

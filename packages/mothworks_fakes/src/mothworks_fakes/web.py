"""What the stand-ins share: a small WSGI server and its fault knobs."""

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
    """Knobs that make a stand-in fail; set in code or by ``PUT /faults``.

    :param outage: every call is refused with 503.
    :param delay_s: time before a call is served, seconds.
    :param lost_reply: share of calls that take effect, but whose connection
        breaks before the reply.
    :param dropped: share of calls whose connection breaks before they take
        effect.
    :param only: faults touch only paths that start so.
    :param writes_only: faults touch only calls that are no GET.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_reply: float = 0.0
    dropped: float = 0.0
    only: str = ""
    writes_only: bool = False


@attrs.frozen
class Reply:
    """What a stand-in answers.

    :param status: status and reason.
    :param headers: the headers.
    :param body: the body's pieces.
    """

    status: str
    headers: list[tuple[str, str]]
    body: Body


def json_reply(value: typing.Any, status: str = "200 OK") -> Reply:
    """Return a reply of plain values.

    :param value: maps, lists, texts and numbers.
    :param status: status and reason.
    """
    return Reply(status, [("Content-Type", "application/json")], [orjson.dumps(value)])


class BreakConnection(Exception):
    """Makes the server drop the connection without a reply."""


class _Handler(gevent.pywsgi.WSGIHandler):
    def __init__(self, sock, address, server, rfile=None):
        super().__init__(sock, address, server, rfile)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle_error(self, kind, value, trace):
        # The server would send a 500 before it closes; a process that dies
        # sends nothing.
        if isinstance(value, (BreakConnection, gevent.GreenletExit)):
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)


class Fake:
    """Base of the stand-ins.

    :param port: TCP port; 0 lets the kernel choose.
    :param seed: seed of the faults' randomness.
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
        """Serve until :meth:`stop`; returns the stand-in itself."""
        self.server.start()
        return self

    def stop(self) -> None:
        """Close the listener and break every connection."""
        self.server.stop(timeout=0)
        self.break_connections()

    def break_connections(self) -> None:
        """Break every connection, as when the process dies and restarts."""
        self.pool.kill(block=False)

    def serve(self, method: str, path: str, environ: dict) -> Reply:
        """Answer one call; each stand-in has its own.

        :param method: the HTTP method.
        :param path: the path.
        :param environ: the WSGI environment.
        """
        raise NotImplementedError

    def immune(self, path: str) -> bool:
        """Return whether faults spare a path.

        :param path: the path.
        """
        return path == "/faults"

    def _application(self, environ: dict, start_response: typing.Callable) -> Body:
        path = environ["PATH_INFO"]
        reply = self._faulty(path, environ)
        start_response(reply.status, reply.headers)
        return reply.body

    def _faulty(self, path: str, environ: dict) -> Reply:
        method = environ["REQUEST_METHOD"]
        if path == "/faults":
            return self._set_faults(environ)
        faults = self.faults
        spared = not path.startswith(faults.only)
        spared = spared or (faults.writes_only and method == "GET")
        if spared or self.immune(path):
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

    def _set_faults(self, environ: dict) -> Reply:
        if environ["REQUEST_METHOD"] == "PUT":
            changed = orjson.loads(environ["wsgi.input"].read())
            self.faults = attrs.evolve(self.faults, **changed)
        return json_reply(attrs.asdict(self.faults))

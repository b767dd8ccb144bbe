"""Connections of callers: bounds, and notice when a caller leaves.

gevent's WSGI server reads requests and frames answers. This module adds what
it leaves open: a bound on connections that answers instead of letting callers
hang, bounds on the head of a request in bytes and time, error objects for
what never reaches a protocol, and the end of answers that broke off.
"""

import collections.abc
import email.errors
import socket
import typing

import gevent
import gevent.pywsgi

from mothworks import caller_watch, calls, outcomes, settings

#: Most header lines, the empty one included. The standard library has the
#: same bound, but answers beyond it with a traceback in the log.
MOST_HEADERS = 100
#: Time given to a caller to read a refusal while it still sends, seconds.
LINGER_S = 3.0
#: Most refused connections that linger at a time.
MOST_LINGERING = 256
#: Bytes read at once from a connection that lingers.
LINGER_BYTES = 64 << 10
#: Hint to a caller that found no free connection, seconds.
FULL_RETRY_S = 1.0
#: What the standard library notes of a line that is not a header.
HEADER_DEFECTS = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.InvalidHeaderDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


class BrokenAnswer(Exception):
    """An answer broke off after its head was sent.

    The connection is closed without the answer's end, so that no caller
    takes the part that came for the whole.
    """


class HeadTooLong(ValueError):
    """A request's head exceeds a bound."""


class Connection(gevent.pywsgi.WSGIHandler):
    """One caller's connection, serving its requests in turn."""

    server: "Listener"

    def __init__(self, sock, address, server, rfile=None):
        super().__init__(sock, address, server, rfile)
        self.refusal: outcomes.Refusal | None = None
        #: Whether the connection is open without a request.
        self.idle = False
        # Without it the kernel holds back the second of two small writes
        # until the first is acknowledged, up to 40 ms later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A reader that stalls must not hold a slot at an engine.
        sock.settimeout(server.limits.write_s)

    def handle_one_request(self):
        """Serve one request; see gevent's class for what is returned."""
        self.refusal = None
        outcome = super().handle_one_request()
        if not isinstance(outcome, tuple):
            return outcome
        refusal = self.refusal or outcomes.invalid(
            "the request line is too long", "head_too_long", 414
        )
        return str(refusal.status), calls.raw(calls.refuse(refusal), calls.new_id())

    def read_requestline(self) -> str:
        """Wait for the next request, for a bounded time."""
        self.idle = True
        try:
            with gevent.Timeout(self.server.limits.idle_s, TimeoutError("idle")):
                return super().read_requestline()
        finally:
            self.idle = False

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head, bounded in bytes and time, and check its length."""
        limits = self.server.limits
        seconds = min(limits.head_s, limits.upload_s)
        with gevent.Timeout(seconds, TimeoutError("head")):
            return super().read_request(raw_requestline)

    def MessageClass(self, *args):  # noqa: N802
        """Read the header lines; gevent's name for it."""
        lines = _BoundedLines(self.rfile, self.server.limits.header_bytes)
        headers = super().MessageClass(lines, *args[1:])
        # Here, before the base class drops a length beside a transfer coding.
        _check_framing(headers)
        return headers

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment, with this connection in it."""
        environ = super().get_environ()
        environ[calls.CONNECTION] = self
        # Where an upgrade is asked for, the base class puts the bare
        # connection here, and the body would take in the next request.
        environ["wsgi.input"] = self.wsgi_input
        self.wsgi_input = _Unread(self.wsgi_input, self)
        return environ

    def log_request(self) -> None:
        """Do nothing: the base class formats a line that nobody reads."""

    def process_result(self) -> None:
        """Send the reply's pieces; gevent's base class calls this."""
        try:
            super().process_result()
        except BrokenAnswer:
            self.close_connection = True
        except caller_watch.CallerGone:
            self.close_connection = True
        except TimeoutError:
            self.close_connection = True

    def _write(self, data: bytes) -> None:
        # Called for each piece of a body. The base class copies it into an
        # array and sends with a timer, which takes twice as long.
        if not data:
            return
        if self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._sendall(data)

    def _sendall(self, data: bytes) -> None:
        sent = self.socket.send(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])
        self.response_length += len(data)

    def _handle_client_error(self, ex: Exception):
        # The base class calls this for any failure to read a head.
        match ex:
            case TimeoutError():
                self.refusal = outcomes.invalid(
                    "the request's head did not arrive in time", "head_timeout", 408
                )
            case HeadTooLong():
                self.refusal = outcomes.invalid(str(ex), "head_too_long", 431)
            case OSError():
                self.refusal = outcomes.invalid("the head broke off", "truncated_head")
            case _:
                message = f"the request's head is not valid HTTP: {ex}"
                self.refusal = outcomes.invalid(f"{message:.200}", "invalid_head")
        return str(self.refusal.status), b""


class Listener(gevent.pywsgi.WSGIServer):
    """Accepts callers' connections, a bounded number of them.

    :param address: IP number and port.
    :param application: the WSGI application.
    :param limits: bounds of this VM.
    """

    handler_class = Connection

    def __init__(
        self,
        address: tuple[str, int],
        application: collections.abc.Callable,
        limits: settings.Limits,
    ):
        super().__init__(address, application, log=None, error_log=None)
        self.limits = limits
        self.connections: set[Connection] = set()
        self.lingering = 0

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection, or refuse it where there are too many."""
        if len(self.connections) >= self.limits.connections:
            self._refuse(sock)
            return
        connection = self.handler_class(sock, address, self)
        self.connections.add(connection)
        try:
            connection.handle()
        finally:
            self.connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections that carry no request now.

        A caller whose next request crosses with the close sees that it was
        not read, and may send it elsewhere.
        """
        for connection in list(self.connections):
            if connection.idle:
                try:
                    connection.socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The caller closed it at the same moment.
                    pass

    def _refuse(self, sock: socket.socket) -> None:
        if self.lingering >= MOST_LINGERING:
            return
        refusal = outcomes.overloaded(
            "this node has no free connection", FULL_RETRY_S, "connections"
        )
        self.lingering += 1
        try:
            sock.sendall(calls.raw(calls.refuse(refusal), calls.new_id()))
            linger(sock)
        except OSError:
            pass
        finally:
            self.lingering -= 1


def linger(sock: socket.socket) -> None:
    """Let a caller that still sends read the reply before the close.

    Closing with unread bytes resets the connection, and the reset can
    overtake the reply: the caller would see a broken connection instead.

    :param sock: the connection, its reply sent.
    """
    with gevent.Timeout(LINGER_S, False):
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(LINGER_BYTES):
            pass


class _BoundedLines:
    """Reads header lines of a bounded length and total.

    :param file: the connection's reader.
    :param most: longest line, bytes.
    """

    def __init__(self, file: typing.BinaryIO, most: int):
        self.file = file
        self.most = most
        self.left = most * 4
        self.lines = 0

    def readline(self, _: int = -1) -> bytes:
        line = self.file.readline(self.most + 1)
        self.left -= len(line)
        self.lines += 1
        if self.lines > MOST_HEADERS:
            raise HeadTooLong(f"there are more than {MOST_HEADERS} headers")
        if len(line) > self.most:
            raise HeadTooLong(f"a header line is longer than {self.most} bytes")
        if self.left < 0:
            raise HeadTooLong(f"the headers are longer than {self.most * 4} bytes")
        return line


class _Unread:
    """Stands for a request's body after the reply.

    The base class would read all that is left of it, however long and slow.

    :param body: the body's reader.
    :param connection: closed where something is left.
    """

    def __init__(self, body: gevent.pywsgi.Input, connection: Connection):
        self.body = body
        self.connection = connection

    def _discard(self) -> None:
        body = self.body
        if body.chunked_input:
            unread = body.chunk_length != 0 or body._chunked_input_error
        else:
            unread = body.position < (body.content_length or 0)
        if unread:
            self.connection.close_connection = True
            linger(self.connection.socket)


def _check_framing(headers: typing.Any) -> None:
    """Refuse a head whose body's end another server could see elsewhere.

    With two lengths, or a transfer coding that is not understood, the rest
    of one caller's body would be read as another request.
    """
    if any(isinstance(defect, HEADER_DEFECTS) for defect in headers.defects):
        raise ValueError("a line is not a header")
    if any("\n" in value or "\r" in value for value in headers.values()):
        raise ValueError("a header is folded over lines")
    lengths = headers.get_all("content-length", [])
    codings = headers.get_all("transfer-encoding", [])
    if len(set(lengths)) > 1 or not all(map(_is_number, lengths)):
        raise ValueError("Content-Length is not one number")
    if codings and [coding.lower() for coding in codings] != ["chunked"]:
        raise ValueError("the only transfer coding understood is chunked")
    if codings and lengths:
        raise ValueError("there is a length beside a transfer coding")


def _is_number(value: str) -> bool:
    return value.isascii() and value.isdecimal()

"""Callers' connections: limits, error replies and disconnects.

gevent's WSGI server reads requests and frames replies. This module adds a
limit on connections that replies with an error instead of leaving callers
waiting, limits on a request's head in bytes and time, error objects for
requests that never reach a protocol handler, and the closing of connections
whose reply is incomplete.
"""

import collections
import collections.abc
import email.errors
import enum
import io
import math
import select
import socket
import struct
import time
import typing

import gevent
import gevent.pywsgi
import gevent.socket
import logbook

from mothworks import caller_watch, calls, logs, outcomes, settings, tasks, transport

log = logbook.Logger("connections")

#: Maximum number of header lines, including the empty line at the end. The
#: standard library has the same limit, but logs a traceback when it is exceeded.
MAX_HEADER_LINES = 100
#: Time that a caller has to read a refusal while it is still sending, seconds.
LINGER_S = 3.0
#: Maximum number of refused connections that linger at a time.
MAX_LINGERING = 256
#: Bytes per read from a lingering connection, and most bytes that are read from it.
LINGER_BYTES = 64 << 10
MAX_LINGER_BYTES = 16 << 20
#: Bytes of a body in chunks that are read at a time.
PIECE_BYTES = 16 << 10
#: Bytes after which a connection that always has more to read lets other tasks run.
TURN_BYTES = 32 << 10
#: Time after the deadline of a drain for final replies to be sent, seconds.
FINAL_REPLIES_S = 0.2
#: Interval at which a drain looks for connections that became idle, seconds.
DRAIN_POLL_S = 0.02
#: Retry-After of the refusal above the connection limit, seconds.
CONNECTIONS_RETRY_AFTER_S = 1.0
#: Key of the server's name in the WSGI environment. Without it the base class looks up
#: the name of the address, in a thread and possibly over the network.
SERVER_NAME = "SERVER_NAME"
#: Longest start of a body that is copied to send it together with the head, bytes.
MAX_JOINED_BYTES = 16 << 10
#: Value of SO_LINGER with which closing a connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Defects that the standard library's parser records for malformed header lines.
HEADER_DEFECTS = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.InvalidHeaderDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


class BrokenAnswer(Exception):
    """An answer ended early, after its head was sent to the caller.

    The connection is closed without terminating the reply's body, so that the
    caller cannot mistake the partial answer for a complete one.
    """


class DrainTimeout(gevent.GreenletExit):
    """The time to shut down is over; thrown into the tasks of calls in progress.

    Calls whose reply has not begun get a final one. Others end early.
    """


class HeadTooLong(ValueError):
    """A request's head exceeds a limit."""


#: What ends a reply early in the course of things.
EARLY_ENDS = (BrokenAnswer, caller_watch.CallerDisconnected, TimeoutError)


class Stage(enum.Enum):
    """What a connection is doing."""

    #: It waits for the first byte of a request.
    IDLE = "idle"
    #: It reads the head of a request.
    HEAD = "head"
    #: It reads the body of a request, serves it and sends the reply.
    CALL = "call"
    #: The whole reply was sent.
    SENT = "sent"


class Connection(gevent.pywsgi.WSGIHandler):
    """One caller's connection; serves its requests one after the other."""

    server: "Listener"

    def __init__(self, sock, address, server, rfile=None):
        self.reader = _Reader(sock)
        super().__init__(sock, address, server, rfile or self.reader.buffered())
        self.refusal: outcomes.Refusal | None = None
        self.task = gevent.getcurrent()
        self.stage = Stage.IDLE
        #: Whether it was closed while it was idle.
        self.is_closed = False
        #: Id of the request in progress, for logs; empty before its head is read.
        self.request_id = ""
        # With Nagle's algorithm the kernel delays the second of two small
        # writes until the first is acknowledged, by up to 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A caller that stops reading must not keep a slot at an engine.
        sock.settimeout(server.limits.write_s)

    def handle_one_request(self):
        """Serve one request; the base class documents the return value."""
        self.refusal = None
        outcome = super().handle_one_request()
        is_refused = outcome is None and self.refusal is not None
        if not (is_refused or isinstance(outcome, tuple)):
            return outcome
        refusal = self.refusal or outcomes.invalid(
            "the request line is too long", "head_too_long", 414
        )
        return str(refusal.status), calls.serialize(
            calls.refuse(refusal), calls.new_id()
        )

    def read_requestline(self) -> str:
        """Wait for the next request, and read its first line.

        :raises TimeoutError: if the connection was idle for too long.
        """
        self.stage = Stage.IDLE
        self.request_id = ""
        self._wait_for_request()
        if self.is_closed:
            return ""
        self.stage = Stage.HEAD
        try:
            with gevent.Timeout(self._head_timeout_s, TimeoutError("head")):
                return super().read_requestline()
        except TimeoutError as error:
            self._handle_client_error(error)
            raise

    def _wait_for_request(self) -> None:
        """Wait for the first byte of a request, for at most the idle timeout."""
        write_timeout_s = self.socket.gettimeout()
        self.socket.settimeout(0)
        try:
            is_buffered = bool(self.rfile.peek(1))
        finally:
            self.socket.settimeout(write_timeout_s)
        if is_buffered:
            return
        gevent.socket.wait_read(
            self.socket.fileno(),
            timeout=self.server.limits.idle_s,
            timeout_exc=TimeoutError("idle"),
        )

    @property
    def _head_timeout_s(self) -> float:
        limits = self.server.limits
        return min(limits.head_s, limits.upload_s)

    def read_request(self, raw_requestline: str) -> bool:
        """Read a request's head within the limits on bytes and time."""
        with gevent.Timeout(self._head_timeout_s, TimeoutError("head")):
            return super().read_request(raw_requestline)

    def MessageClass(self, *args):  # noqa: N802
        """Read and check the header lines; the base class prescribes the name."""
        lines = _BoundedLineReader(self.rfile, self.server.limits.header_bytes)
        headers = super().MessageClass(lines, *args[1:])
        # The base class later drops a Content-Length beside a Transfer-Encoding,
        # so the check has to run here.
        _check_framing(headers)
        return headers

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment, which includes this connection."""
        environ = super().get_environ()
        self.stage = Stage.CALL
        environ[calls.CONNECTION] = self
        # For an upgrade request the base class sets the bare connection here, and
        # the application would read the next request as part of the body.
        environ["wsgi.input"] = self.wsgi_input
        self.wsgi_input = _UnreadBody(self.wsgi_input, self)
        return environ

    def read_body(self, source: gevent.pywsgi.Input, max_bytes: int) -> bytes:
        """Read the body of the request in progress.

        A body in chunks is read in pieces, each of which may have a limited number of
        bytes beside it: extensions of chunks and trailers may come without end.

        :param source: reads the body.
        :param max_bytes: the most bytes that are returned.
        :raises OSError: if the body is malformed, or too many bytes are no body.
        """
        if not source.chunked_input:
            return source.read(max_bytes)
        pieces = []
        left = max_bytes
        while left:
            length = min(left, PIECE_BYTES)
            allowed = (1 + transport.FRAMING_PER_BODY_BYTE) * length
            self.reader.remaining_bytes = transport.MAX_FRAMING_BYTES + allowed
            piece = source.read(length)
            pieces.append(piece)
            left -= len(piece)
            if len(piece) < length:
                break
        self.reader.remaining_bytes = math.inf
        return b"".join(pieces)

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the caller's close, wait to be read."""
        # select() fails on descriptors above 1023.
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def log_cut(self, reason: str) -> None:
        """Log that this VM ends the connection before a whole reply was sent.

        :param reason: why it ends.
        """
        logs.event(
            log,
            "connection cut",
            request=self.request_id,
            stage=self.stage.value,
            unread=self.has_unread_bytes,
            sent_bytes=getattr(self, "response_length", 0),
            reason=reason,
            outcome="no whole reply",
        )
        self.server.cut_by_stage[self.stage] += 1

    def log_request(self) -> None:
        """Do nothing: the base class would format a line that is not logged."""

    def process_result(self) -> None:
        """Send the reply; close the connection if the reply ends early.

        The base class calls this.
        """
        try:
            super().process_result()
            self.stage = Stage.SENT
        except BaseException as error:
            self.close_connection = True
            is_framed = self.response_use_chunked or self.provided_content_length
            if self.headers_sent and not is_framed:
                reset_on_close(self.socket)
            if isinstance(error, DrainTimeout):
                self.log_cut("the time to shut down is over")
            elif not isinstance(error, EARLY_ENDS):
                raise

    def interrupt(self) -> None:
        """Throw :class:`DrainTimeout` into the call in progress, if there is one."""
        gevent.get_hub().loop.run_callback(self._throw_drain_timeout)

    def _throw_drain_timeout(self) -> None:
        # Runs in the event loop while the task waits. Until then the call may end.
        if self.stage is Stage.CALL and not self.task.dead:
            self.task.throw(DrainTimeout)

    def _write_with_headers(self, data: bytes) -> None:
        # The base class sends the head and the start of the body separately, which
        # takes another system call and usually wakes the caller twice.
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"%b: %b\r\n" % header for header in self.response_headers]
        head = b"HTTP/1.1 %b\r\n%b\r\n" % (self.status, b"".join(lines))
        if len(data) <= MAX_JOINED_BYTES:
            self._sendall(head + self._frame(data))
        else:
            self._sendall(head)
            self._write(data)

    def _write(self, data: bytes) -> None:
        # Called for each chunk of a body. The base class copies it into an array
        # and sends with a timer, which takes twice as long.
        if data:
            self._sendall(self._frame(data))

    def _frame(self, data: bytes) -> bytes:
        if data and self.response_use_chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def _sendall(self, data: bytes) -> None:
        sent = self.socket.send(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])
        self.response_length += len(data)

    def _handle_client_error(self, ex: Exception):
        # The base class calls this for every error while it reads a head.
        match ex:
            case TimeoutError():
                self.refusal = outcomes.invalid(
                    "the request's head did not arrive in time", "head_timeout", 408
                )
            case HeadTooLong():
                self.refusal = outcomes.invalid(str(ex), "head_too_long", 431)
            case OSError():
                self.refusal = outcomes.invalid(
                    "the connection closed before the request's head ended",
                    "truncated_head",
                )
            case _:
                message = f"the request's head is not valid HTTP: {ex}"
                self.refusal = outcomes.invalid(f"{message:.200}", "invalid_head")
        return str(self.refusal.status), b""


class Listener(gevent.pywsgi.WSGIServer):
    """Accepts callers' connections up to a maximum number.

    :param address: IP address and port.
    :param application: the WSGI application.
    :param limits: limits of this VM.
    """

    handler_class = Connection

    def __init__(
        self,
        address: tuple[str, int],
        application: collections.abc.Callable,
        limits: settings.Limits,
    ):
        super().__init__(
            address,
            application,
            log=None,
            error_log=None,
            environ={SERVER_NAME: address[0]},
        )
        self.limits = limits
        self.connections: set[Connection] = set()
        self.lingering = 0
        #: Number of connections that were ended before a whole reply was sent.
        self.cut_by_stage: collections.Counter[Stage] = collections.Counter()

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection, or refuse it above the connection limit."""
        if len(self.connections) >= self.limits.connections:
            self._refuse(sock)
            return
        connection = self.handler_class(sock, address, self)
        self.connections.add(connection)
        try:
            connection.handle()
        finally:
            self.connections.discard(connection)

    def drain(self, deadline: float) -> None:
        """Close the port, serve what has arrived, and close all connections.

        :param deadline: monotonic time at which calls in progress are ended, seconds.
        """
        self._accept_pending()
        self.close()
        # Lets the accepted connections start.
        gevent.sleep(0)
        self._close_until(deadline)
        if not self.connections:
            return
        for connection in list(self.connections):
            connection.interrupt()
        self._close_until(time.monotonic() + FINAL_REPLIES_S)

    def _close_until(self, end: float) -> None:
        """Close connections as they become idle, until a time or until none is open."""
        while self.connections and time.monotonic() < end:
            self.close_idle()
            gevent.sleep(DRAIN_POLL_S)

    def close_idle(self) -> None:
        """Close the connections on which nothing of a request has arrived.

        A caller that sends its next request at the same moment sees a closed
        connection without a reply, and may retry on another VM because the
        request was not read.
        """
        for connection in list(self.connections):
            if connection.stage is Stage.IDLE and not connection.has_unread_bytes:
                connection.is_closed = True
                try:
                    connection.socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The caller closed it at the same moment.
                    pass

    def _accept_pending(self) -> None:
        """Accept the connections that wait in the kernel."""
        self.stop_accepting()
        try:
            while accepted := self.do_read():
                self.do_handle(*accepted)
        except OSError as error:
            logs.event(log, "accept", reason=str(error), outcome="failed")

    def stop(self, timeout: float | None = None) -> None:
        """Stop accepting; the connections that are still open end with the process."""
        for connection in list(self.connections):
            is_served = connection.stage is Stage.SENT
            is_idle = connection.stage is Stage.IDLE and not connection.has_unread_bytes
            if not (is_served or is_idle):
                connection.log_cut("the process ends")
        super().stop(timeout)

    def _refuse(self, sock: socket.socket) -> None:
        if self.lingering >= MAX_LINGERING:
            return
        refusal = outcomes.overloaded(
            "this node has no free connection", CONNECTIONS_RETRY_AFTER_S, "connections"
        )
        self.lingering += 1
        try:
            sock.sendall(calls.serialize(calls.refuse(refusal), calls.new_id()))
            linger(sock)
        except OSError:
            pass
        finally:
            self.lingering -= 1


def reset_on_close(sock: socket.socket) -> None:
    """Make a connection end with a reset, so that its bytes do not look complete.

    :param sock: the connection.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def linger(sock: socket.socket) -> None:
    """Read and drop what a caller still sends, so that it can read the reply.

    Closing a connection with unread bytes resets it, and the reset can reach
    the caller before the reply does.

    :param sock: the connection, on which the reply was sent.
    """
    with gevent.Timeout(LINGER_S, False):
        sock.shutdown(socket.SHUT_WR)
        remaining_bytes = MAX_LINGER_BYTES
        while remaining_bytes > 0 and (data := sock.recv(LINGER_BYTES)):
            remaining_bytes -= len(data)
            tasks.let_others_run()


class _Reader(socket.SocketIO):
    """Reads a caller's connection, in turn with other tasks.

    :param sock: the connection.
    """

    def __init__(self, sock: gevent.socket.socket):
        super().__init__(sock, "r")
        #: Bytes that may still arrive.
        self.remaining_bytes = math.inf
        self.bytes_in_turn = 0

    def buffered(self) -> io.BufferedReader:
        """Return a buffered file that holds the connection open, as makefile does."""
        self._sock._io_refs += 1
        return io.BufferedReader(self)

    def readinto(self, buffer) -> int | None:
        """Read as the base class does; raises OSError beyond the limit."""
        count = super().readinto(buffer)
        self.remaining_bytes -= count or 0
        if self.remaining_bytes < 0:
            raise OSError("too many bytes")
        self.bytes_in_turn += count or 0
        if self.bytes_in_turn >= TURN_BYTES:
            self.bytes_in_turn = 0
            tasks.let_others_run()
        return count


class _BoundedLineReader:
    """Reads header lines and limits their length, total length and number.

    :param file: the connection's reader.
    :param max_line_bytes: longest line, bytes; all lines together may have four
        times as many.
    """

    def __init__(self, file: typing.BinaryIO, max_line_bytes: int):
        self.file = file
        self.max_line_bytes = max_line_bytes
        self.remaining_bytes = max_line_bytes * 4
        self.line_count = 0

    def readline(self, _: int = -1) -> bytes:
        line = self.file.readline(self.max_line_bytes + 1)
        self.remaining_bytes -= len(line)
        self.line_count += 1
        if self.line_count > MAX_HEADER_LINES:
            raise HeadTooLong(f"there are more than {MAX_HEADER_LINES} headers")
        if len(line) > self.max_line_bytes:
            raise HeadTooLong(
                f"a header line is longer than {self.max_line_bytes} bytes"
            )
        if self.remaining_bytes < 0:
            raise HeadTooLong(
                f"the headers are longer than {self.max_line_bytes * 4} bytes"
            )
        return line


class _UnreadBody:
    """Replaces a request's body once the reply is sent.

    The base class would read the rest of the body, however long and slow.

    :param body: the body's reader.
    :param connection: the connection, which is closed if the body is unread.
    """

    def __init__(self, body: gevent.pywsgi.Input, connection: Connection):
        self.body = body
        self.connection = connection

    def _discard(self) -> None:
        body = self.body
        reader = self.connection.reader
        is_over_limit = reader.remaining_bytes < 0
        reader.remaining_bytes = math.inf
        if is_over_limit:
            unread = True
        elif body.chunked_input:
            unread = body.chunk_length != 0 or body._chunked_input_error
        else:
            unread = body.position < (body.content_length or 0)
        if unread:
            self.connection.close_connection = True
            linger(self.connection.socket)


def _check_framing(headers: typing.Any) -> None:
    """Reject a head for which servers could disagree on the body's length.

    With two lengths or an unsupported transfer coding, the rest of a body would
    be read as another request (request smuggling).
    """
    if any(isinstance(defect, HEADER_DEFECTS) for defect in headers.defects):
        raise ValueError("a header line is malformed")
    if any("\n" in value or "\r" in value for value in headers.values()):
        raise ValueError("a header is folded over several lines")
    lengths = headers.get_all("content-length", [])
    codings = headers.get_all("transfer-encoding", [])
    if len(set(lengths)) > 1 or not all(map(_is_number, lengths)):
        raise ValueError("Content-Length is not a single number")
    if codings and [coding.lower() for coding in codings] != ["chunked"]:
        raise ValueError("the only supported transfer coding is chunked")
    if codings and lengths:
        raise ValueError("both Content-Length and Transfer-Encoding are present")


def _is_number(value: str) -> bool:
    return value.isascii() and value.isdecimal()

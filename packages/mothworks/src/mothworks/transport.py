"""HTTP client for endpoints, built on geventhttpclient's pool and parser.

The library's own client may resend a request after a connection error, which
is unsafe for requests that must not run twice. Here each exchange sends its
request at most once and reports whether any byte may have been sent.
"""

import collections
import collections.abc
import contextlib
import itertools
import select
import struct
import time

import attrs
import gevent
import gevent.socket
import geventhttpclient.connectionpool
import geventhttpclient.response
import result

from mothworks import downloads, endpoints

#: Maximum number of connections to one endpoint.
POOL_SIZE = 512
#: Timeout for opening a connection, seconds.
CONNECT_TIMEOUT_S = 1.0
#: Longest time without a byte from an endpoint, seconds.
READ_TIMEOUT_S = 120.0
#: Idle time after which a pooled connection is closed, seconds, unless the
#: endpoint's Keep-Alive header states another timeout.
IDLE_TIMEOUT_S = 2.0
#: A connection is closed this long before the endpoint's own idle timeout,
#: seconds, so that no request is sent while the endpoint closes it.
IDLE_MARGIN_S = 0.5
#: Maximum number of idle connections to all endpoints together.
MAX_IDLE = 1024
#: Number of exchanges within which a connection does not carry a request again.
RECENT_EXCHANGES = 16
#: Seconds between checks for connections that exceed their idle timeout.
IDLE_CHECK_INTERVAL_S = 1.0
#: TCP keepalive: idle time before the first probe and time between probes,
#: seconds, and the number of unacknowledged probes that close the connection.
#: A path that fails without a reset is detected within about 4 s.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Time after which unacknowledged data closes a connection, milliseconds. TCP sends no
#: probes while data is unacknowledged, and with this timeout set it also decides when
#: probes give up, so it must not be shorter than they take.
ACK_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S)
#: Values of SO_LINGER. With the first one, a close resets the connection: the peer gets
#: nothing of what the kernel has not delivered yet, also after the process was killed.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
#: Maximum number of bytes per read from a socket.
RECEIVE_BYTES = 16 << 10

#: Methods whose requests carry no Content-Length where the body is empty.
METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))

#: Longest body that :func:`read_body` accepts, bytes, and its reason for a longer one.
MAX_BODY_BYTES = 8 << 20
TOO_LONG = "the body is too long"
#: Memory limit for all bodies that are read whole, bytes, and the reason for one that
#: is ended because of it.
MAX_BODIES_BYTES = 32 << 20
TOO_MUCH = "the bodies of all answers are too long"

#: Most bytes of an answer beyond those of its body, bytes: its head, interim answers,
#: chunk sizes and extensions, trailers. Each byte of the body allows some more, since
#: a chunk may be as small as one byte.
MAX_FRAMING_BYTES = 64 << 10
FRAMING_PER_BODY_BYTE = 16

#: Valid statuses, and the lowest one of a final answer; lower ones are interim (RFC
#: 9110, section 15).
VALID_STATUSES = range(100, 600)
LOWEST_FINAL_STATUS = 200
#: Status of an answer after which the connection no longer carries HTTP. It is only
#: valid where a request asks for it, which none does here.
SWITCHING_PROTOCOLS = 101

#: Exceptions raised by a failed connection or a malformed answer.
CONNECTION_ERRORS = (OSError, geventhttpclient.response.HTTPParseError)

#: Hop-by-hop headers: they apply to one connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


_connection_numbers = itertools.count(1)


class HttpAnswer(endpoints.Answer):
    """An HTTP answer whose body is streamed as it arrives.

    Its connection is used again only if the body is read to its end, or if the answer
    is released. Closing it cancels the request, which may still run there if this is
    not its answer.

    :param response: the library's response, its head already read.
    """

    def __init__(self, response: "_Response"):
        headers = [
            (name, value)
            for name, value in response.items()
            if name.lower() not in HOP_BY_HOP
        ]
        super().__init__(response.status_code, headers)
        self.response = response
        #: Number of its connection, for logs.
        self.connection = response.socket.number

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string if it is absent.

        :param name: the header's name, in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""

    @property
    def is_framed(self) -> bool:
        """Return whether more than the close of the connection marks its end."""
        return not self.response.unframed

    @property
    def framing(self) -> str:
        """Return how the end of the body is marked: length, chunked or close."""
        if self.response.unframed:
            return "close"
        return "length" if self.response.get("content-length") else "chunked"

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield the body in chunks, each with all bytes received since the last."""
        while True:
            try:
                data = self.response.read_available()
            except geventhttpclient.response.HTTPParseError as error:
                raise ConnectionResetError(f"the answer is not HTTP: {error}")
            if not data:
                self.response.is_read = True
                return
            yield data

    def end(self) -> None:
        """End the answer while another task reads it: there is no memory for it."""
        self.response.end(TOO_MUCH)

    def close(self) -> None:
        """Release the connection if the body was read, or close it to cancel."""
        if self.response.is_read:
            self.response.release()
        else:
            self.response.cancel()

    def release(self) -> None:
        """Return the connection to the pool if the answer has arrived whole.

        Otherwise close it. Only for answers to the request that was sent.
        """
        self.response.release()


class _Response(geventhttpclient.response.HTTPSocketPoolResponse):
    """The library's response, with a read that returns any available bytes.

    Chunks usually arrive one at a time, so a read waits until the socket is
    readable before it receives. One watcher and one timer serve the whole
    answer: a failed receive and a new timer for each chunk would take half of
    the time spent on a chunk.
    """

    def __init__(
        self, sock: "_Socket", pool: "_Pool", method: str, deadline: float | None
    ):
        self.body_chunks: list[bytes] = []
        #: Bytes received that are no body, less those that the body allows.
        self.framing_bytes = 0
        self.socket = sock
        self.downloads = pool.transport.downloads
        self.timed_out = False
        #: Why it was ended while it was read; empty if it was not.
        self.ended_reason = ""
        #: Whether the head was read, without an error.
        self.has_head = False
        #: Whether the body was read to its end.
        self.is_read = False
        self.pool_allows_unframed = pool.allow_unframed
        self.hub = gevent.get_hub()
        self.readable = self.hub.loop.io(sock.fileno(), 1)
        self.read_timer = self.hub.loop.timer(
            pool.network_timeout, pool.network_timeout
        )
        self.watchers = [self.readable, self.read_timer]
        if deadline is not None:
            deadline_timer = self.hub.loop.timer(max(0.0, deadline - time.monotonic()))
            deadline_timer.start(self._time_out)
            self.watchers.append(deadline_timer)
        try:
            super().__init__(sock, pool, method=method, block_size=RECEIVE_BYTES)
        except CONNECTION_ERRORS as error:
            self.cancel()
            if self.timed_out:
                # The shutdown by the timer cancels the read with another error, or
                # looks like an end of file.
                raise TimeoutError("timed out") from error
            raise
        except BaseException:
            self.cancel()
            raise
        self.has_head = True

    @property
    def unframed(self) -> bool:
        """Return whether only the close of the connection ends the answer."""
        return (
            self.get("content-length") is None
            and self.get("transfer-encoding") is None
            and self.get_code() not in (204, 304)
        )

    def read_available(self) -> bytes:
        """Wait for body bytes and return them; empty at the end of the body."""
        while not self.body_chunks and not self.message_complete:
            sock = self._sock
            if sock is None:
                raise ConnectionResetError("the answer was already closed")
            self.read_timer.again(self._time_out)
            self.hub.wait(self.readable)
            if self.ended_reason:
                raise ConnectionResetError(self.ended_reason)
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                self._handle_eof()
                break
            self.feed(data)
        body = (
            self.body_chunks[0]
            if len(self.body_chunks) == 1
            else b"".join(self.body_chunks)
        )
        self.body_chunks.clear()
        return body

    def release(self) -> None:
        """Return the connection to the pool if the answer is complete, or close it."""
        if not self.has_head:
            # The base class calls this for a short answer that is complete, before its
            # head was checked, and after an error, perhaps behind an interim answer.
            return
        self._stop_watchers()
        if self._sock is not None:
            self._sock.is_answered = self.message_complete
            self._sock.idle_timeout_s = _keep_alive_timeout_s(self.get("keep-alive"))
        super().release()

    def cancel(self) -> None:
        """Reset the connection, upon which the endpoint cancels the request."""
        self._stop_watchers()
        pool, sock = self._pool, self._sock
        self._pool = self._sock = None
        if sock is not None:
            pool.release_socket(sock)

    def end(self, reason: str) -> None:
        """Let the task that reads the body fail.

        :param reason: why.
        """
        self.ended_reason = reason
        self._wake_reader()

    def _stop_watchers(self) -> None:
        for watcher in self.watchers:
            watcher.stop()
            watcher.close()
        self.watchers = []

    def _handle_eof(self) -> None:
        """Complete an unframed answer at end of file; raise for any other."""
        if self.timed_out:
            raise TimeoutError("the answer did not arrive in time")
        if not (self.unframed and self.pool_allows_unframed):
            raise ConnectionResetError("the connection closed before the answer ended")
        # The peer closed in good order; a reset makes recv() raise instead.
        self.message_complete = True

    def _on_headers_complete(self) -> int | bool | None:
        # The library takes each status below 200 for an interim answer, and waits for
        # the final one, and passes statuses of 600 and more on.
        status = self.get_code()
        if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS:
            raise geventhttpclient.response.HTTPParseError(f"invalid status {status}")
        return super()._on_headers_complete()

    def _on_message_begin(self) -> None:
        # Otherwise the parser appends the body of a second answer to the first.
        if self.message_complete and self.get_code() >= LOWEST_FINAL_STATUS:
            raise geventhttpclient.response.HTTPParseError(
                "unexpected bytes after the answer"
            )
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        # Does not call the base class, which returns the connection to the pool
        # here, before it is known whether more bytes follow.
        self.message_complete = True

    def _time_out(self) -> None:
        self.timed_out = True
        self._wake_reader()

    def _wake_reader(self) -> None:
        """Wake the waiting task, which then reads an end of file."""
        with contextlib.suppress(OSError):
            # A connection that was reset can't be shut down, but is readable.
            self.socket.shutdown(gevent.socket.SHUT_RD)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :param data: the bytes.
        :raises HTTPParseError: if the answer is malformed, or has too many bytes that
            are no body. Otherwise an endpoint could send header fields or interim
            answers without end, and the loop that reads them would not end either.
        """
        self.framing_bytes += len(data)
        super().feed(data)
        if self.framing_bytes > MAX_FRAMING_BYTES:
            raise geventhttpclient.response.HTTPParseError(
                f"more than {MAX_FRAMING_BYTES} bytes beside the body"
            )

    def _on_body(self, buf: bytes) -> None:
        # Called by the parser; the base class would copy each chunk twice more.
        self.body_chunks.append(bytes(buf))
        allowed = (1 + FRAMING_PER_BODY_BYTE) * len(buf)
        self.framing_bytes = max(0, self.framing_bytes - allowed)


class _Socket(gevent.socket.socket):
    """A connection to an endpoint."""

    #: Its number among all connections of this process.
    number = 0
    #: Monotonic time at which it was returned to the pool, seconds.
    idle_since = 0.0
    #: Time after which it is closed if idle, seconds.
    idle_timeout_s = IDLE_TIMEOUT_S
    #: Whether it is closed after one request instead of being pooled.
    single_use = False
    #: Whether all its requests have whole answers. Otherwise it is reset when it is
    #: closed: a request that is given up must not arrive later.
    is_answered = True
    #: Ids of the last requests that it carried, the newest last.
    recent_ids: collections.deque[str]
    #: Called when a receive times out; returns the next timeout in seconds, or None to
    #: let it time out.
    on_timeout: collections.abc.Callable[[], float | None] | None = None

    def close(self) -> None:
        """Close the connection in good order if its last answer is whole."""
        if self.is_answered:
            with contextlib.suppress(OSError):
                self._set_linger(CLOSE_IN_ORDER)
        super().close()

    def reset_at_close(self) -> None:
        """Let any close reset the connection, also that by the end of the process."""
        self._set_linger(RESET_AT_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        self.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, value)

    def recv(self, *args) -> bytes:
        """Receive as the base class does, with a timeout that may be extended."""
        while True:
            try:
                return super().recv(*args)
            except TimeoutError:
                if self.on_timeout is None:
                    raise
                # The event loop may find the timer due together with the data, and the
                # call may take as long as the data needs to arrive.
                if _is_readable(self):
                    continue
                timeout_s = self.on_timeout()
                if timeout_s is not None:
                    self.settimeout(timeout_s)
                elif not _is_readable(self):
                    raise


class _Pool(geventhttpclient.connectionpool.ConnectionPool):
    """The library's pool, for IP addresses and with a bound on idle time."""

    def __init__(self, *args, transport: "Transport", **kwargs):
        super().__init__(*args, **kwargs)
        self.transport = transport
        #: Whether an answer without a length is complete once the endpoint closes
        #: the connection in good order.
        self.allow_unframed = transport.allow_unframed
        #: Idle connections of all pools, the most recently used last.
        self.pool_by_idle = transport.pool_by_idle

    def get_socket(self, request_id: str = "") -> _Socket:
        """Take the idle connection that was used last, or open one.

        :param request_id: a request that the connection must not have carried lately;
            empty if any will do.
        """
        self._semaphore.acquire()
        idle = self._socket_queue.queue
        for index in reversed(range(len(idle))):
            if request_id and request_id in idle[index].recent_ids:
                continue
            sock = idle.pop(index)
            if self._is_socket_alive(sock):
                return sock
            sock.close()
        return self._open()

    def open_idle(self) -> None:
        """Open a connection for later requests."""
        sock = self.open_for_one_request()
        sock.single_use = False
        self.return_socket(sock)

    def open_for_one_request(self) -> _Socket:
        """Open a connection that is closed after one request."""
        self._semaphore.acquire()
        sock = self._open()
        sock.single_use = True
        return sock

    def _open(self) -> _Socket:
        """Open a connection for a place that was acquired, or release the place."""
        try:
            return self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise

    def return_socket(self, sock: _Socket) -> None:
        """Return a connection to the pool once its answer is read completely."""
        if sock.single_use or self._socket_queue.full():
            # Requests that must not run twice never take a connection from the
            # pool. If their connections were returned to it, they would fill it
            # until the next return blocks for ever. It may also be full of connections
            # that a request must not use.
            self.release_socket(sock)
            return
        sock.idle_since = time.monotonic()
        super().return_socket(sock)
        self.pool_by_idle[sock] = self

    def close_idle(self, now: float) -> None:
        """Close the connections that exceed their idle timeout.

        :param now: monotonic time, seconds.
        """
        for sock in list(self._socket_queue.queue):
            if not _is_reusable(sock, now):
                self.discard(sock)

    def discard(self, sock: _Socket) -> None:
        """Close an idle connection.

        :param sock: the connection.
        """
        del self.pool_by_idle[sock]
        self._socket_queue.queue.remove(sock)
        sock.close()

    @property
    def unused(self) -> bool:
        """Return whether there is no connection, idle or in use."""
        return self._socket_queue.empty() and self._semaphore.counter == self.size

    def _create_socket(self) -> _Socket:
        # The base class would run the resolver in a thread, even for an IP address.
        host, port = self._connection_host, self._connection_port
        family = gevent.socket.AF_INET6 if ":" in host else gevent.socket.AF_INET
        sock = _Socket(family, gevent.socket.SOCK_STREAM)
        sock.number = next(_connection_numbers)
        sock.recent_ids = collections.deque(maxlen=RECENT_EXCHANGES)
        try:
            sock.settimeout(self.connection_timeout)
            self.transport.connect(sock, (host, port))
            _set_options(sock)
            sock.settimeout(self.network_timeout)
            self.transport.opened_at = time.monotonic()
        except BaseException:
            sock.close()
            raise
        return sock

    def _is_socket_alive(self, sock: _Socket) -> bool:
        # The base class calls this for each connection taken out of the pool.
        self.pool_by_idle.pop(sock, None)
        # Endpoints close idle connections too. A request sent while the endpoint
        # closes the connection looks as if it had crashed the endpoint.
        if not _is_reusable(sock, time.monotonic()):
            return False
        return not _is_readable(sock)


@attrs.frozen
class SendOptions:
    """Options of one exchange.

    :param new_connection: whether to open a new connection. The endpoint may close a
        pooled one just as the request is sent; it is then unknown whether the
        request ran.
    :param id: what identifies the request in its answer. A connection does not carry
        the same id again within :data:`RECENT_EXCHANGES`: the endpoint may send an
        answer twice, and a late copy of the first answer could not be distinguished
        from the answer to the second request. Empty for no such check.
    :param host: the Host header; empty for the address.
    :param deadline: monotonic time by which the whole answer must have arrived.
    :param head_deadline: monotonic time by which its head must have arrived.
    :param on_head_late: called when it has not arrived by then; returns the next
        monotonic time at which to call it again, or None to give the request up. An
        answer that begins during the call is returned.
    :param may_send: called once the connection is open, right before the first
        byte is sent; the request is not sent unless it returns true.
    """

    new_connection: bool = False
    id: str = ""
    host: str = ""
    deadline: float | None = None
    head_deadline: float | None = None
    on_head_late: collections.abc.Callable[[], float | None] | None = None
    may_send: collections.abc.Callable[[], bool] | None = None


class Transport:
    """Connection pools for all endpoints of one kind, one pool per address.

    :param read_timeout_s: longest time without a byte from an endpoint, seconds.
    :param size: maximum number of connections to one address.
    :param connect_s: timeout for opening a connection, seconds.
    :param allow_unframed: whether an answer without a length is complete once
        the endpoint closes the connection in good order.
    :param max_idle: maximum number of idle connections over all addresses.
    :param max_bodies_bytes: memory limit for all bodies that are read whole, bytes.
    """

    def __init__(
        self,
        read_timeout_s: float = READ_TIMEOUT_S,
        size: int = POOL_SIZE,
        connect_s: float = CONNECT_TIMEOUT_S,
        allow_unframed: bool = False,
        max_idle: int = MAX_IDLE,
        max_bodies_bytes: int = MAX_BODIES_BYTES,
    ):
        self.read_timeout_s = read_timeout_s
        self.size = size
        self.connect_s = connect_s
        self.allow_unframed = allow_unframed
        self.max_idle = max_idle
        self.downloads = downloads.Downloads(max_bodies_bytes)
        self.pool_by_address: dict[tuple[str, int], _Pool] = {}
        #: Idle connections of all pools, the most recently used last.
        self.pool_by_idle: dict[_Socket, _Pool] = {}
        #: Connects a socket to an address; tests replace it to cut paths.
        self.connect = gevent.socket.socket.connect
        #: Monotonic time at which a connection was last opened.
        self.opened_at = time.monotonic()
        self._idle_checked_at = self.opened_at

    def exchange(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        headers: collections.abc.Iterable[tuple[str, str]],
        body: bytes,
        options: SendOptions = SendOptions(),  # noqa: B008
    ) -> result.Result[HttpAnswer, endpoints.SendFailure]:
        """Send a request once and read the head of its answer.

        :param address: IP address and port.
        :param method: the HTTP method.
        :param path: path and query.
        :param headers: headers other than Host and Content-Length.
        :param body: the request's body.
        :param options: options of this exchange.
        :returns: the answer, its body not yet read, or why there is none.
        """
        # Before a connection is taken, which would not be returned if this failed.
        head = _encode_head(options.host or address, method, path, headers, len(body))
        self._close_idle()
        pool = self._pool_for(address)
        try:
            sock = (
                pool.open_for_one_request()
                if options.new_connection
                else pool.get_socket(options.id)
            )
        except CONNECTION_ERRORS as error:
            return result.Err(endpoints.SendFailure(f"connect: {error}", False))
        if options.may_send is not None and not options.may_send():
            pool.return_socket(sock)
            return result.Err(
                endpoints.SendFailure("no longer valid", False, withheld=True)
            )
        sock.recent_ids.append(options.id)
        sock.is_answered = False
        try:
            sock.settimeout(self._timeout_s(options, options.head_deadline))
            sock.sendall(head + body)
        except OSError as error:
            pool.release_socket(sock)
            return result.Err(endpoints.SendFailure(f"send: {error}", True))
        except BaseException:
            # The task was killed while sending. The connection carries part of
            # a request, so it cannot be used for another one.
            pool.release_socket(sock)
            raise
        if options.on_head_late is not None:
            sock.on_timeout = lambda: self._extended_timeout_s(options)
        try:
            response = _Response(sock, pool, method, options.deadline)
        except CONNECTION_ERRORS as error:
            return result.Err(endpoints.SendFailure(f"answer: {error}", True))
        finally:
            sock.on_timeout = None
        sock.settimeout(self.read_timeout_s)
        return result.Ok(HttpAnswer(response))

    def open(self, address: tuple[str, int]) -> str | None:
        """Open a connection for later requests; returns why that failed, or None.

        :param address: IP address and port.
        """
        self._close_idle()
        try:
            self._pool_for(address).open_idle()
        except CONNECTION_ERRORS as error:
            return f"connect: {error}"
        return None

    def _extended_timeout_s(self, options: SendOptions) -> float | None:
        """Return how much longer to wait for an answer's head; None to give it up."""
        deadline = options.deadline
        if deadline is not None and time.monotonic() >= deadline:
            return None
        head_deadline = options.on_head_late()
        if head_deadline is None:
            return None
        return self._timeout_s(options, head_deadline)

    def _timeout_s(self, options: SendOptions, head_deadline: float | None) -> float:
        deadlines = (options.deadline, head_deadline)
        now = time.monotonic()
        remaining_s = [end - now for end in deadlines if end is not None]
        return max(0.001, min([self.read_timeout_s, *remaining_s]))

    def _close_idle(self) -> None:
        """Close connections that exceed their idle timeout or the maximum number.

        Pools without a connection are removed, because endpoints come and go and
        new ones have new addresses. The number of callers' connections bounds the
        pools that remain.
        """
        while len(self.pool_by_idle) > self.max_idle:
            oldest = next(iter(self.pool_by_idle))
            self.pool_by_idle[oldest].discard(oldest)
        now = time.monotonic()
        if now - self._idle_checked_at < IDLE_CHECK_INTERVAL_S:
            return
        self._idle_checked_at = now
        for address, pool in list(self.pool_by_address.items()):
            pool.close_idle(now)
            if pool.unused:
                del self.pool_by_address[address]

    def _pool_for(self, address: tuple[str, int]) -> _Pool:
        pool = self.pool_by_address.get(address)
        if pool is None:
            pool = _Pool(
                *address,
                *address,
                size=self.size,
                connection_timeout=self.connect_s,
                network_timeout=self.read_timeout_s,
                transport=self,
            )
            self.pool_by_address[address] = pool
        return pool


def read_body(answer: HttpAnswer) -> result.Result[bytes, str]:
    """Read an answer's whole body and release its connection.

    :param answer: the answer, its body not yet read.
    :returns: the body, or why it could not be read completely.
    """
    chunks = []
    length = 0
    reading = answer.response.downloads
    try:
        for chunk in answer.chunks():
            chunks.append(chunk)
            length += len(chunk)
            if length > MAX_BODY_BYTES:
                return result.Err(TOO_LONG)
            reading.add(answer, len(chunk), answer.end)
    except CONNECTION_ERRORS as error:
        return result.Err(f"answer: {error}")
    finally:
        reading.remove(answer)
        answer.close()
    return result.Ok(b"".join(chunks))


def _is_readable(sock: gevent.socket.socket) -> bool:
    """Return whether data, or the end of the connection, can be received now."""
    # select() fails on descriptors above 1023.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def _is_reusable(sock: _Socket, now: float) -> bool:
    """Return whether an idle connection is within its idle timeout."""
    return now - sock.idle_since <= sock.idle_timeout_s


def _set_options(sock: _Socket) -> None:
    sock.reset_at_close()
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_KEEPALIVE, 1)
    for option, value in (
        (gevent.socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (gevent.socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (gevent.socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (gevent.socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
    ):
        sock.setsockopt(gevent.socket.IPPROTO_TCP, option, value)


def _keep_alive_timeout_s(keep_alive: str | list[str] | None) -> float:
    """Return a connection's idle timeout from the answer's Keep-Alive header."""
    if not isinstance(keep_alive, str):
        return IDLE_TIMEOUT_S
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdecimal():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return IDLE_TIMEOUT_S


def _encode_head(
    address: tuple[str, int] | str,
    method: str,
    path: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    body_length: int,
) -> bytes:
    host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body_length or method not in METHODS_WITHOUT_BODY:
        lines.append(f"Content-Length: {body_length}")
    lines += ["", ""]
    return "\r\n".join(lines).encode("latin-1")

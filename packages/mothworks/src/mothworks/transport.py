"""HTTP exchanges with endpoints, over geventhttpclient's pool and parser.

The library's own client may send a request again after a connection broke,
which must not happen to work that may run only once. Here each exchange
sends its bytes exactly once and says whether any of them left.
"""

import collections
import collections.abc
import select
import time

import gevent
import gevent.socket
import geventhttpclient.connectionpool
import geventhttpclient.response
import result

from mothworks import endpoints

#: Most connections to one endpoint.
POOL_SIZE = 512
#: Time for a connection to open, seconds.
CONNECT_S = 1.0
#: Longest silence of an endpoint, seconds.
SILENCE_S = 120.0
#: Longest time that an idle connection is kept for the next request, seconds.
IDLE_S = 2.0
#: Bytes taken from a socket at once.
RECEIVE_BYTES = 16 << 10

#: Lowest status of an answer that is not interim.
FINAL_STATUS = 200

#: What a broken connection or answer raises.
FAILURES = (OSError, geventhttpclient.response.HTTPParseError)

#: Headers that concern one connection only and are not passed on.
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


class HttpAnswer(endpoints.Answer):
    """An answer over HTTP whose body is passed on as it arrives.

    :param response: the library's response, head already read.
    """

    def __init__(self, response: "_Response"):
        headers = [
            (name, value)
            for name, value in response.items()
            if name.lower() not in HOP_BY_HOP
        ]
        super().__init__(response.status_code, headers)
        self.response = response

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield whatever has arrived, as few times as possible."""
        while True:
            try:
                data = self.response.read_available()
            except geventhttpclient.response.HTTPParseError as error:
                raise ConnectionResetError(f"the answer is not HTTP: {error}")
            if not data:
                return
            yield data

    def close(self) -> None:
        """Return the connection to the pool, or close it to cancel."""
        self.response.release()


class _Response(geventhttpclient.response.HTTPSocketPoolResponse):
    """The library's response, with a read that waits for any bytes at all.

    Most chunks come one by one, so the read waits before it receives, with
    one watcher and one timer for the whole answer: a receive that finds
    nothing, and a timer made for each, take half of a chunk's time.
    """

    def __init__(self, sock: "_Socket", pool: "_Pool", method: str):
        self.pieces: list[bytes] = []
        self.hub = gevent.get_hub()
        self.readable = self.hub.loop.io(sock.fileno(), 1)
        self.silence = self.hub.loop.timer(pool.network_timeout, pool.network_timeout)
        super().__init__(sock, pool, method=method, block_size=RECEIVE_BYTES)

    def read_available(self) -> bytes:
        """Return what has arrived; nothing at the end."""
        while not self.pieces and not self.message_complete:
            sock = self._sock
            if sock is None:
                raise ConnectionResetError("the answer was released")
            self.silence.again(self._fall_silent)
            self.hub.wait(self.readable)
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                # Also an answer without any length ends here: whether all of
                # it came cannot be told, so it counts as broken.
                raise ConnectionResetError("the answer broke off")
            self.feed(data)
        body = self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)
        self.pieces.clear()
        return body

    def release(self) -> None:
        """Return the connection to the pool, or close it to cancel."""
        for watcher in (self.readable, self.silence):
            watcher.stop()
            watcher.close()
        super().release()

    def _on_message_begin(self) -> None:
        # The parser would add the body of a second answer to the first.
        if self.message_complete and self.get_code() >= FINAL_STATUS:
            raise geventhttpclient.response.HTTPParseError("bytes after the answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        # The library returns the connection to the pool here, before it is
        # known whether more bytes follow.
        self.message_complete = True

    def _fall_silent(self) -> None:
        # The waiting task then sees the answer break off.
        self._sock.shutdown(gevent.socket.SHUT_RD)

    def _on_body(self, buf: bytes) -> None:
        # Called by the parser; the library would copy each piece twice more.
        self.pieces.append(bytes(buf))


class _Socket(gevent.socket.socket):
    """A connection to an endpoint."""

    #: Monotonic time since when it is in the pool, seconds.
    idle_since = 0.0
    #: Whether it was opened for one request.
    fresh = False


class _Pool(geventhttpclient.connectionpool.ConnectionPool):
    """The library's pool, for IP numbers and with a bound on idle time."""

    def get_fresh(self) -> _Socket:
        """Return a new connection."""
        self._semaphore.acquire()
        try:
            sock = self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise
        sock.fresh = True
        return sock

    def return_socket(self, sock: _Socket) -> None:
        """Take back a connection whose answer was read completely."""
        if sock.fresh:
            # Work that may run once takes none from the pool: kept there, its
            # connections fill the pool until giving one back waits for ever.
            self.release_socket(sock)
            return
        sock.idle_since = time.monotonic()
        super().return_socket(sock)

    def _create_socket(self) -> _Socket:
        # The library would ask the resolver, in a thread, for an IP number.
        host, port = self._connection_host, self._connection_port
        family = gevent.socket.AF_INET6 if ":" in host else gevent.socket.AF_INET
        sock = _Socket(family, gevent.socket.SOCK_STREAM)
        try:
            sock.settimeout(self.connection_timeout)
            sock.connect((host, port))
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            sock.settimeout(self.network_timeout)
        except BaseException:
            sock.close()
            raise
        return sock

    def _is_socket_alive(self, sock: _Socket) -> bool:
        # An endpoint closes idle connections too. Where its close crosses
        # with a request, the request looks as if it crashed the endpoint.
        if time.monotonic() - sock.idle_since > IDLE_S:
            return False
        # The library's select() fails on descriptors above 1023.
        readable = select.poll()
        readable.register(sock, select.POLLIN)
        return not readable.poll(0)


class Transport:
    """Connections to all endpoints of one kind, pooled by address.

    :param silence_s: longest silence of an endpoint, seconds.
    :param size: most connections to one address.
    """

    def __init__(self, silence_s: float = SILENCE_S, size: int = POOL_SIZE):
        self.silence_s = silence_s
        self.size = size
        self.pool_by_address: dict[tuple[str, int], _Pool] = {}

    def exchange(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        headers: collections.abc.Iterable[tuple[str, str]],
        body: bytes,
        fresh: bool = False,
    ) -> result.Result[HttpAnswer, endpoints.SendFailure]:
        """Send a request once and read the head of its answer.

        :param address: IP number and port.
        :param method: the HTTP method.
        :param path: path and query.
        :param headers: headers beside Host and Content-Length.
        :param body: the request's body.
        :param fresh: whether to open a connection for it. On a connection
            from the pool a request may cross with the endpoint's close, and
            it cannot be told whether it ran.
        """
        pool = self._pool(address)
        try:
            sock = pool.get_fresh() if fresh else pool.get_socket()
        except FAILURES as error:
            return result.Err(endpoints.SendFailure(f"connect: {error}", False))
        head = _head(address, method, path, headers, len(body))
        try:
            sock.sendall(head + body)
        except OSError as error:
            pool.release_socket(sock)
            return result.Err(endpoints.SendFailure(f"send: {error}", True))
        except BaseException:
            # The task was stopped in the middle of the request; what is left
            # of it must not go before another one.
            pool.release_socket(sock)
            raise
        try:
            response = _Response(sock, pool, method)
        except FAILURES as error:
            return result.Err(endpoints.SendFailure(f"answer: {error}", True))
        return result.Ok(HttpAnswer(response))

    def _pool(self, address: tuple[str, int]) -> _Pool:
        pool = self.pool_by_address.get(address)
        if pool is None:
            pool = _Pool(
                *address,
                *address,
                size=self.size,
                connection_timeout=CONNECT_S,
                network_timeout=self.silence_s,
            )
            self.pool_by_address[address] = pool
        return pool


def _head(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    length: int,
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}:{address[1]}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {length}", "", ""]
    return "\r\n".join(lines).encode("latin-1")
